package jkreport

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"jasmineknot.example/core/jkobjective"
)

// WriteText writes the report as a table for a terminal.
func WriteText(w io.Writer, r Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "OBJECTIVE\tMEASURE\tSCOPE\tTARGET\tWINDOW\tSTATE\tEVENTS 6H\tBURN 5M\t30M\t1H\t6H")
	for _, o := range r.Objectives {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d", o.Name, measure(o), scope(o), percent(o.Target), shortDuration(o.Window), o.State, o.Windows[len(o.Windows)-1].Total)
		for _, v := range o.Windows {
			fmt.Fprintf(t, "\t%s", burnText(v))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, line := range Notes(r) {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// Notes returns remarks on the figures: firing alarms, missing hosts and gaps in the
// counters.
func Notes(r Report) []string {
	var notes []string
	if len(r.Objectives) == 0 {
		notes = append(notes, "the configuration has no objectives; add some to the section objectives")
	}
	if r.IsPartial() {
		notes = append(notes, fmt.Sprintf("the figures are partial: %d of %d hosts gave no answer", len(r.Missing), len(r.Missing)+len(r.Hosts)))
		for _, m := range r.Missing {
			notes = append(notes, fmt.Sprintf("  %s: %s", m.Host, m.Reason))
		}
	}
	for _, o := range r.Objectives {
		notes = append(notes, objectiveNotes(o)...)
	}
	notes = append(notes, restartNotes(r.Hosts)...)
	return notes
}

func objectiveNotes(o Objective) []string {
	var notes []string
	for _, p := range o.AlarmRules {
		if p.Firing {
			c := o.sum(0, p.Long)
			notes = append(notes, fmt.Sprintf("%s burns faster than %.3g over both %d and %d minutes: %d of %d events were bad",
				o.Name, p.Threshold, p.Short, p.Long, c.total-c.good, c.total))
		}
	}
	if len(o.ExcludedHosts) > 0 {
		notes = append(notes, fmt.Sprintf("%s is defined otherwise at %s, whose events are left out", o.Name, strings.Join(o.ExcludedHosts, ", ")))
	}
	var gaps []string
	for _, w := range o.Windows {
		if shown := math.Floor(w.Coverage * 100); shown < 100 {
			gaps = append(gaps, fmt.Sprintf("%.0f%% of %d min", shown, w.Length))
		}
	}
	if len(gaps) > 0 {
		notes = append(notes, fmt.Sprintf("%s was counted for %s", o.Name, strings.Join(gaps, ", ")))
	}
	if kept := int64(jkobjective.RetentionMinutes * 60); o.Window > kept {
		notes = append(notes, fmt.Sprintf("%s has a window of %s; daemons keep %s, so the budget left is not known here", o.Name, shortDuration(o.Window), shortDuration(kept)))
	}
	return notes
}

// restartNotes returns a note for each host that lost counters of the report's windows
// through a restart.
func restartNotes(hosts []Host) []string {
	var notes []string
	for _, h := range hosts {
		if h.Uptime < jkobjective.RetentionMinutes*60 {
			notes = append(notes, fmt.Sprintf("%s started %s ago; its earlier counters are lost", h.Host, shortDuration(h.Uptime)))
		}
	}
	return notes
}

func measure(o Objective) string {
	return fmt.Sprintf("%s within %v", o.Measure, time.Duration(o.Within)*time.Millisecond)
}

func scope(o Objective) string {
	var parts []string
	if o.Workspace != "" {
		parts = append(parts, "workspace "+o.Workspace)
	}
	if o.Class != "" {
		parts = append(parts, "class "+o.Class)
	}
	if len(parts) == 0 {
		return "all"
	}
	return strings.Join(parts, ", ")
}

func percent(ratio float64) string { return fmt.Sprintf("%.4g%%", ratio*100) }

func burnText(w Window) string {
	if w.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g", w.Burn)
}

// shortDuration formats seconds without trailing units that are zero.
func shortDuration(seconds int64) string {
	d := time.Duration(seconds) * time.Second
	if d >= 48*time.Hour && d%(24*time.Hour) == 0 {
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

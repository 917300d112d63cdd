// Package jkreport builds the service-level burn report of a site from the
// counters of its daemons, and writes it as text or as an HTML page.
package jkreport

import (
	"math"
	"sort"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkobjective"
)

// State tells how fast an objective's error budget is being spent.
type State string

// States of an objective.
const (
	StateOK     State = "ok"
	StateSlow   State = "slow_burn"
	StateFast   State = "fast_burn"
	StateNoData State = "no_events"
)

// windows are the windows of the burn rates. The short one of a pair ends an
// alarm soon after the cause is gone; the long one keeps a short peak from
// raising it.
var windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// pairs raise an alarm when both windows burn faster than the threshold: the
// rate at which the long window alone spends the share of the whole budget.
var pairs = []struct {
	short, long time.Duration
	share       float64
	state       State
}{
	{5 * time.Minute, time.Hour, 0.02, StateFast},
	{30 * time.Minute, 6 * time.Hour, 0.05, StateSlow},
}

// rounding keeps the floating-point error of a burn rate that equals a threshold
// from raising the alarm.
const rounding = 1e-9

// Missing is a host without an answer.
type Missing struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// Window is an objective's events in the time before the report.
type Window struct {
	// Length is in minutes.
	Length int    `json:"length_min"`
	Good   uint64 `json:"good"`
	Total  uint64 `json:"total"`
	// Burn is the ratio of bad events to the ratio that the target allows; 1
	// spends the budget exactly over the objective's window.
	Burn float64 `json:"burn"`
	// Coverage is the share of the window, over all hosts, that was counted.
	Coverage float64 `json:"coverage"`
}

// Pair is one alarm rule.
type Pair struct {
	Short     int     `json:"short_min"`
	Long      int     `json:"long_min"`
	Threshold float64 `json:"threshold"`
	Firing    bool    `json:"firing"`
}

// Objective is one objective over all hosts that answered.
type Objective struct {
	Name      string           `json:"name"`
	Measure   jkconfig.Measure `json:"measure"`
	Workspace string           `json:"workspace,omitempty"`
	Class     string           `json:"class,omitempty"`
	Within    int64            `json:"within_ms"`
	Target    float64          `json:"target"`
	// Window is the objective's own window in seconds. It can be longer than
	// what the daemons keep; the budget spent before that is not known here.
	Window  int64    `json:"window_s"`
	State   State    `json:"state"`
	Windows []Window `json:"windows"`
	Pairs   []Pair   `json:"pairs"`
	// Differs names hosts whose configuration has another definition of the
	// objective; their counters are left out.
	Differs []string `json:"differs,omitempty"`

	// perMinute holds the merged counters by age in minutes.
	perMinute []count
}

type count struct{ good, total uint64 }

// Host is one daemon that answered.
type Host struct {
	Host string `json:"host"`
	// Uptime is in seconds; counters from before the start are lost.
	Uptime int64 `json:"uptime_s"`
}

// Report is the burn report of a site.
type Report struct {
	Hosts      []Host      `json:"hosts"`
	Missing    []Missing   `json:"missing"`
	Objectives []Objective `json:"objectives"`
}

// IsPartial reports whether hosts are missing.
func (r Report) IsPartial() bool { return len(r.Missing) > 0 }

// Build merges the counters of the hosts that answered.
func Build(snapshots []jkobjective.Snapshot, missing []Missing) Report {
	r := Report{Missing: missing, Objectives: []Objective{}}
	series := map[string]map[string]jkobjective.Series{}
	for _, s := range snapshots {
		r.Hosts = append(r.Hosts, Host{Host: s.Host, Uptime: s.Uptime})
		for _, o := range s.Objectives {
			if series[o.Name] == nil {
				series[o.Name] = map[string]jkobjective.Series{}
			}
			series[o.Name][s.Host] = o
		}
	}
	sort.Slice(r.Hosts, func(i, j int) bool { return r.Hosts[i].Host < r.Hosts[j].Host })
	hosts := len(snapshots) + len(missing)
	for _, byHost := range series {
		r.Objectives = append(r.Objectives, merge(byHost, hosts))
	}
	sort.Slice(r.Objectives, func(i, j int) bool { return r.Objectives[i].Name < r.Objectives[j].Name })
	return r
}

// definition is what has to be equal for counters to be added up.
type definition struct {
	measure          jkconfig.Measure
	workspace, class string
	within           int64
}

func definitionOf(s jkobjective.Series) definition {
	return definition{s.Measure, s.Workspace, s.Class, s.Within}
}

// common returns the definition that most hosts have and one series of it.
func common(byHost map[string]jkobjective.Series) jkobjective.Series {
	votes := map[definition]int{}
	var best jkobjective.Series
	for _, host := range names(byHost) {
		s := byHost[host]
		votes[definitionOf(s)]++
		if best.Name == "" || votes[definitionOf(s)] > votes[definitionOf(best)] {
			best = s
		}
	}
	return best
}

func names(byHost map[string]jkobjective.Series) []string {
	hosts := make([]string, 0, len(byHost))
	for h := range byHost {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	return hosts
}

func merge(byHost map[string]jkobjective.Series, hosts int) Objective {
	base := common(byHost)
	o := Objective{
		Name: base.Name, Measure: base.Measure, Workspace: base.Workspace, Class: base.Class,
		Within: base.Within, Target: base.Target, Window: base.Window, perMinute: make([]count, jkobjective.Minutes),
	}
	var covered []int64
	for _, host := range names(byHost) {
		s := byHost[host]
		if definitionOf(s) != definitionOf(base) {
			o.Differs = append(o.Differs, host)
			continue
		}
		covered = append(covered, s.Covered)
		for _, b := range s.Buckets {
			if b.Age >= 0 && b.Age < len(o.perMinute) {
				o.perMinute[b.Age].good += b.Good
				o.perMinute[b.Age].total += b.Total
			}
		}
	}
	for _, w := range windows {
		o.Windows = append(o.Windows, o.window(w, covered, hosts))
	}
	o.judge()
	return o
}

func (o *Objective) window(length time.Duration, covered []int64, hosts int) Window {
	w := Window{Length: int(length / time.Minute)}
	c := o.sum(0, w.Length)
	w.Good, w.Total, w.Burn = c.good, c.total, burn(c, o.Target)
	var seconds float64
	for _, s := range covered {
		seconds += min(float64(s), length.Seconds())
	}
	if hosts > 0 {
		w.Coverage = seconds / (float64(hosts) * length.Seconds())
	}
	return w
}

// sum adds up the minutes from an age on.
func (o *Objective) sum(age, minutes int) count {
	var c count
	for _, m := range o.perMinute[age:min(age+minutes, len(o.perMinute))] {
		c.good += m.good
		c.total += m.total
	}
	return c
}

func burn(c count, target float64) float64 {
	if c.total == 0 || target >= 1 {
		return 0
	}
	return float64(c.total-c.good) / float64(c.total) / (1 - target)
}

// judge applies the alarm rules. A threshold is at least 1: a slower burn never
// spends the whole budget.
func (o *Objective) judge() {
	o.State = StateOK
	if o.sum(0, len(o.perMinute)).total == 0 {
		o.State = StateNoData
	}
	for i := len(pairs) - 1; i >= 0; i-- {
		p := pairs[i]
		threshold := math.Max(1, p.share*float64(o.Window)/p.long.Seconds())
		pair := Pair{Short: int(p.short / time.Minute), Long: int(p.long / time.Minute), Threshold: threshold}
		limit := threshold * (1 + rounding)
		pair.Firing = o.burnOf(pair.Short) > limit && o.burnOf(pair.Long) > limit
		if pair.Firing {
			o.State = p.state
		}
		o.Pairs = append(o.Pairs, pair)
	}
	sort.Slice(o.Pairs, func(i, j int) bool { return o.Pairs[i].Short < o.Pairs[j].Short })
}

func (o *Objective) burnOf(minutes int) float64 { return burn(o.sum(0, minutes), o.Target) }

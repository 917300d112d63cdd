// Package jkreport builds the report of error-budget burn rates of a site from the
// counters of its daemons, and writes it as text or as an HTML page. It doesn't collect
// the counters.
package jkreport

import (
	"math"
	"sort"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkobjective"
)

// State classifies how fast an objective's error budget is being spent.
type State string

// States of an objective.
const (
	StateOK     State = "ok"
	StateSlow   State = "slow_burn"
	StateFast   State = "fast_burn"
	StateNoData State = "no_events"
)

// burnWindows are the windows over which burn rates are computed. In an alarm rule, the
// short window ends the alarm soon after the cause is gone, and the long one keeps a
// short peak from raising it.
var burnWindows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// alarmRules are the multi-window burn-rate alarms. A rule fires if the burn rate over
// both windows exceeds a threshold, which is the rate that spends budgetShare of the
// whole error budget within the long window.
var alarmRules = []struct {
	short, long time.Duration
	budgetShare float64
	state       State
}{
	{5 * time.Minute, time.Hour, 0.02, StateFast},
	{30 * time.Minute, 6 * time.Hour, 0.05, StateSlow},
}

// thresholdTolerance is a relative tolerance. It keeps a burn rate that equals the
// threshold from raising the alarm through floating-point error.
const thresholdTolerance = 1e-9

// MissingHost is a host that gave no answer.
type MissingHost struct {
	Host   string `json:"host"`
	Reason string `json:"reason"`
}

// Window holds an objective's events in a period that ends at the report.
type Window struct {
	// Length is in minutes.
	Length int    `json:"length_min"`
	Good   uint64 `json:"good"`
	Total  uint64 `json:"total"`
	// Burn is the burn rate: the ratio of bad events divided by the ratio that the target
	// allows. A rate of 1 spends the budget exactly over the objective's window.
	Burn float64 `json:"burn"`
	// Coverage is the share of the window, over all hosts, in which events were counted.
	Coverage float64 `json:"coverage"`
}

// AlarmRule is a burn-rate alarm with its two windows, and whether it fires.
type AlarmRule struct {
	Short     int     `json:"short_min"`
	Long      int     `json:"long_min"`
	Threshold float64 `json:"threshold"`
	Firing    bool    `json:"firing"`
}

// Objective is an objective with the merged counters of all hosts that answered.
type Objective struct {
	Name      string           `json:"name"`
	Measure   jkconfig.Measure `json:"measure"`
	Workspace string           `json:"workspace,omitempty"`
	Class     string           `json:"class,omitempty"`
	Within    int64            `json:"within_ms"`
	Target    float64          `json:"target"`
	// Window is the objective's own window in seconds. It can be longer than the daemons
	// retain counters; the budget spent before that is unknown.
	Window     int64       `json:"window_s"`
	State      State       `json:"state"`
	Windows    []Window    `json:"windows"`
	AlarmRules []AlarmRule `json:"pairs"`
	// ExcludedHosts lists the hosts whose configuration defines the objective differently.
	// Their counters are excluded.
	ExcludedHosts []string `json:"differs,omitempty"`

	// perMinute holds the merged counters by age in minutes.
	perMinute []eventCount
}

type eventCount struct{ good, total uint64 }

// Host is a host whose daemon answered.
type Host struct {
	Host string `json:"host"`
	// Uptime is in seconds. Counters from before the daemon's start are lost.
	Uptime int64 `json:"uptime_s"`
}

// Report is the burn-rate report of a site.
type Report struct {
	Hosts      []Host        `json:"hosts"`
	Missing    []MissingHost `json:"missing"`
	Objectives []Objective   `json:"objectives"`
}

// IsPartial reports whether the counters of some hosts are missing.
func (r Report) IsPartial() bool { return len(r.Missing) > 0 }

// Build merges the counters of the hosts that answered into a report.
func Build(snapshots []jkobjective.Snapshot, missing []MissingHost) Report {
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
		r.Objectives = append(r.Objectives, mergeSeries(byHost, hosts))
	}
	sort.Slice(r.Objectives, func(i, j int) bool { return r.Objectives[i].Name < r.Objectives[j].Name })
	return r
}

// definition holds the properties of an objective that must be equal on two hosts before
// their counters may be added up.
type definition struct {
	measure          jkconfig.Measure
	workspace, class string
	within           int64
}

func definitionOf(s jkobjective.Series) definition {
	return definition{s.Measure, s.Workspace, s.Class, s.Within}
}

// majoritySeries returns a series with the definition that most hosts have.
func majoritySeries(byHost map[string]jkobjective.Series) jkobjective.Series {
	votes := map[definition]int{}
	var best jkobjective.Series
	for _, host := range sortedHosts(byHost) {
		s := byHost[host]
		votes[definitionOf(s)]++
		if best.Name == "" || votes[definitionOf(s)] > votes[definitionOf(best)] {
			best = s
		}
	}
	return best
}

func sortedHosts(byHost map[string]jkobjective.Series) []string {
	hosts := make([]string, 0, len(byHost))
	for h := range byHost {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	return hosts
}

func mergeSeries(byHost map[string]jkobjective.Series, hosts int) Objective {
	base := majoritySeries(byHost)
	o := Objective{
		Name: base.Name, Measure: base.Measure, Workspace: base.Workspace, Class: base.Class,
		Within: base.Within, Target: base.Target, Window: base.Window, perMinute: make([]eventCount, jkobjective.RetentionMinutes),
	}
	var covered []int64
	for _, host := range sortedHosts(byHost) {
		s := byHost[host]
		if definitionOf(s) != definitionOf(base) {
			o.ExcludedHosts = append(o.ExcludedHosts, host)
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
	for _, w := range burnWindows {
		o.Windows = append(o.Windows, o.window(w, covered, hosts))
	}
	o.evaluateAlarms()
	return o
}

func (o *Objective) window(length time.Duration, covered []int64, hosts int) Window {
	w := Window{Length: int(length / time.Minute)}
	c := o.sum(0, w.Length)
	w.Good, w.Total, w.Burn = c.good, c.total, burnRate(c, o.Target)
	var seconds float64
	for _, s := range covered {
		seconds += min(float64(s), length.Seconds())
	}
	if hosts > 0 {
		w.Coverage = seconds / (float64(hosts) * length.Seconds())
	}
	return w
}

// sum adds up the counters of the given number of minutes, from the minute of that age
// into the past.
func (o *Objective) sum(age, minutes int) eventCount {
	var c eventCount
	for _, m := range o.perMinute[age:min(age+minutes, len(o.perMinute))] {
		c.good += m.good
		c.total += m.total
	}
	return c
}

func burnRate(c eventCount, target float64) float64 {
	if c.total == 0 || target >= 1 {
		return 0
	}
	return float64(c.total-c.good) / float64(c.total) / (1 - target)
}

// evaluateAlarms applies the alarm rules and sets the state. A threshold is at least 1,
// because a lower burn rate never spends the whole budget.
func (o *Objective) evaluateAlarms() {
	o.State = StateOK
	if o.sum(0, len(o.perMinute)).total == 0 {
		o.State = StateNoData
	}
	for i := len(alarmRules) - 1; i >= 0; i-- {
		rule := alarmRules[i]
		threshold := math.Max(1, rule.budgetShare*float64(o.Window)/rule.long.Seconds())
		alarm := AlarmRule{Short: int(rule.short / time.Minute), Long: int(rule.long / time.Minute), Threshold: threshold}
		limit := threshold * (1 + thresholdTolerance)
		alarm.Firing = o.burnRateOver(alarm.Short) > limit && o.burnRateOver(alarm.Long) > limit
		if alarm.Firing {
			o.State = rule.state
		}
		o.AlarmRules = append(o.AlarmRules, alarm)
	}
	sort.Slice(o.AlarmRules, func(i, j int) bool { return o.AlarmRules[i].Short < o.AlarmRules[j].Short })
}

func (o *Objective) burnRateOver(minutes int) float64 { return burnRate(o.sum(0, minutes), o.Target) }

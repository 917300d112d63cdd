// Package jkobjective counts the good and total events of service-level objectives in one
// daemon, in a ring buffer of per-minute counters for each objective. It doesn't compute
// burn rates; jkreport does, from the counters of all daemons.
package jkobjective

import (
	"sort"
	"sync"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jktimer"
)

// RetentionMinutes is the number of per-minute counters of an objective. It covers the
// longest burn-rate window, 6 h.
const RetentionMinutes = 360

// Event is one measured event. A failed event is never good.
type Event struct {
	Measure   jkconfig.Measure
	Workspace string
	// Class is the priority class; empty if it is not known.
	Class  string
	Took   time.Duration
	Failed bool
	// HasDeadline is set if the caller set a deadline, which replaces the objective's
	// latency bound. Late is set if the deadline was missed.
	HasDeadline bool
	Late        bool
}

// isGood reports whether the event succeeded within the caller's deadline or, without
// one, within the objective's latency bound.
func (e Event) isGood(within time.Duration) bool {
	switch {
	case e.Failed:
		return false
	case e.HasDeadline:
		return !e.Late
	}
	return e.Took <= within
}

// Options configures a Recorder.
type Options struct {
	Timer *jktimer.Service
	// OnEvent, if set, is called for each event of an objective, to update the metrics.
	OnEvent func(objective string, good bool)
}

// Recorder counts the events of one daemon. The counters are only in memory and lost when
// the daemon stops.
type Recorder struct {
	options Options
	started time.Time

	mu    sync.Mutex
	rings map[string]*ring
}

// ring is a ring buffer with the counters of one objective.
type ring struct {
	objective jkconfig.Objective
	// countedSince is when counting started.
	countedSince time.Time
	buckets      []bucket
}

type bucket struct {
	minute      int64
	good, total uint64
}

// New returns a recorder without objectives.
func New(o Options) *Recorder {
	return &Recorder{options: o, started: o.Timer.Now(), rings: map[string]*ring{}}
}

// SetObjectives replaces the objectives. The counters of an objective are kept if only
// its target or window changed, and reset if it now measures something else.
func (r *Recorder) SetObjectives(objectives map[string]jkconfig.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Timer.Now()
	rings := map[string]*ring{}
	for name, o := range objectives {
		next := &ring{objective: o, countedSince: now}
		if previous := r.rings[name]; previous != nil && isSameMeasure(previous.objective, o) {
			next.countedSince, next.buckets = previous.countedSince, previous.buckets
		}
		rings[name] = next
	}
	r.rings = rings
}

func isSameMeasure(a, b jkconfig.Objective) bool {
	return a.Measure() == b.Measure() && a.Workspace() == b.Workspace() && a.Class() == b.Class() && a.Within() == b.Within()
}

// Record counts an event for every objective that it matches.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := unixMinute(r.options.Timer.Now())
	for name, ring := range r.rings {
		if !matches(e, ring.objective) {
			continue
		}
		good := e.isGood(ring.objective.Within())
		ring.add(minute, good)
		if r.options.OnEvent != nil {
			r.options.OnEvent(name, good)
		}
	}
}

func matches(e Event, o jkconfig.Objective) bool {
	return o.Measure() == e.Measure &&
		(o.Workspace() == "" || o.Workspace() == e.Workspace) &&
		(o.Class() == "" || o.Class() == e.Class)
}

func unixMinute(t time.Time) int64 { return t.Unix() / 60 }

func (r *ring) add(minute int64, good bool) {
	if r.buckets == nil {
		r.buckets = make([]bucket, RetentionMinutes)
	}
	b := &r.buckets[minute%RetentionMinutes]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if good {
		b.good++
	}
}

// Bucket holds the counters of the minute that started Age minutes before the current
// one. Ages are relative, so that hosts need no common clock.
type Bucket struct {
	Age   int    `json:"age_min"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series is an objective with its counters. Minutes without events are omitted.
type Series struct {
	Name      string           `json:"name"`
	Measure   jkconfig.Measure `json:"measure"`
	Workspace string           `json:"workspace,omitempty"`
	Class     string           `json:"class,omitempty"`
	Within    int64            `json:"within_ms"`
	Target    float64          `json:"target"`
	Window    int64            `json:"window_s"`
	// Covered is for how many seconds events were counted, at most the ring's length.
	Covered int64    `json:"covered_s"`
	Buckets []Bucket `json:"buckets"`
}

// Snapshot is the response of /v1/report: the counters of one daemon.
type Snapshot struct {
	Host string `json:"host"`
	// Uptime is the time since the daemon's start, in seconds.
	Uptime     int64    `json:"uptime_s"`
	Objectives []Series `json:"objectives"`
}

// Snapshot returns the counters, sorted by the objectives' names.
func (r *Recorder) Snapshot(host string) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Timer.Now()
	s := Snapshot{Host: host, Uptime: int64(now.Sub(r.started).Seconds()), Objectives: []Series{}}
	for name, ring := range r.rings {
		s.Objectives = append(s.Objectives, ring.series(now, name))
	}
	sort.Slice(s.Objectives, func(i, j int) bool { return s.Objectives[i].Name < s.Objectives[j].Name })
	return s
}

func (r *ring) series(now time.Time, name string) Series {
	o := r.objective
	s := Series{
		Name: name, Measure: o.Measure(), Workspace: o.Workspace(), Class: o.Class(),
		Within: o.Within().Milliseconds(), Target: o.Target(), Window: int64(o.Window().Seconds()),
		Covered: int64(min(now.Sub(r.countedSince), RetentionMinutes*time.Minute).Seconds()), Buckets: []Bucket{},
	}
	currentMinute := unixMinute(now)
	for _, b := range r.buckets {
		age := currentMinute - b.minute
		if b.total > 0 && age >= 0 && age < RetentionMinutes {
			s.Buckets = append(s.Buckets, Bucket{Age: int(age), Good: b.good, Total: b.total})
		}
	}
	sort.Slice(s.Buckets, func(i, j int) bool { return s.Buckets[i].Age < s.Buckets[j].Age })
	return s
}

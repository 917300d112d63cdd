// Package jkobjective counts good and total events of service-level objectives in
// one daemon, in a ring of counters per minute for each objective.
package jkobjective

import (
	"sort"
	"sync"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jktimer"
)

// Minutes is the length of a ring. The longest burn-rate window is 6 h.
const Minutes = 360

// Event is one measured event. An event that failed is never good.
type Event struct {
	Measure   jkconfig.Measure
	Workspace string
	// Class is the priority class; empty if it is not known.
	Class  string
	Took   time.Duration
	Failed bool
	// HasDeadline tells that the caller set a deadline, which replaces the
	// objective's bound; Late tells that it was missed.
	HasDeadline bool
	Late        bool
}

// isGood reports whether the event was in time.
func (e Event) isGood(within time.Duration) bool {
	switch {
	case e.Failed:
		return false
	case e.HasDeadline:
		return !e.Late
	}
	return e.Took <= within
}

// Options holds what a recorder needs.
type Options struct {
	Timer *jktimer.Service
	// Count is told about each event of an objective, for the metrics.
	Count func(objective string, good bool)
}

// Recorder counts the events of one daemon. The rings are lost with it.
type Recorder struct {
	options Options
	started time.Time

	mu    sync.Mutex
	rings map[string]*ring
}

// ring holds the counters of one objective.
type ring struct {
	objective jkconfig.Objective
	// since is when the counting began.
	since   time.Time
	buckets []bucket
}

type bucket struct {
	minute      int64
	good, total uint64
}

// New returns a recorder without objectives.
func New(o Options) *Recorder {
	return &Recorder{options: o, started: o.Timer.Now(), rings: map[string]*ring{}}
}

// SetObjectives replaces the objectives. An objective that measures something
// else than before starts with empty counters; a new target or window keeps
// them.
func (r *Recorder) SetObjectives(objectives map[string]jkconfig.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Timer.Now()
	rings := map[string]*ring{}
	for name, o := range objectives {
		next := &ring{objective: o, since: now}
		if former := r.rings[name]; former != nil && isSameMeasure(former.objective, o) {
			next.since, next.buckets = former.since, former.buckets
		}
		rings[name] = next
	}
	r.rings = rings
}

func isSameMeasure(a, b jkconfig.Objective) bool {
	return a.Measure() == b.Measure() && a.Workspace() == b.Workspace() && a.Class() == b.Class() && a.Within() == b.Within()
}

// Record counts an event for every objective that it belongs to.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minute := minuteOf(r.options.Timer.Now())
	for name, ring := range r.rings {
		if !belongs(e, ring.objective) {
			continue
		}
		good := e.isGood(ring.objective.Within())
		ring.add(minute, good)
		if r.options.Count != nil {
			r.options.Count(name, good)
		}
	}
}

func belongs(e Event, o jkconfig.Objective) bool {
	return o.Measure() == e.Measure &&
		(o.Workspace() == "" || o.Workspace() == e.Workspace) &&
		(o.Class() == "" || o.Class() == e.Class)
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (r *ring) add(minute int64, good bool) {
	if r.buckets == nil {
		r.buckets = make([]bucket, Minutes)
	}
	b := &r.buckets[minute%Minutes]
	if b.minute != minute {
		*b = bucket{minute: minute}
	}
	b.total++
	if good {
		b.good++
	}
}

// Bucket holds the events of one minute that began Age minutes before the
// present one. Ages need no common clock of the hosts.
type Bucket struct {
	Age   int    `json:"age_min"`
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Series is an objective with its counters; minutes without events are left out.
type Series struct {
	Name      string           `json:"name"`
	Measure   jkconfig.Measure `json:"measure"`
	Workspace string           `json:"workspace,omitempty"`
	Class     string           `json:"class,omitempty"`
	Within    int64            `json:"within_ms"`
	Target    float64          `json:"target"`
	Window    int64            `json:"window_s"`
	// Covered is the time for which events were counted in seconds, at most the
	// ring's length.
	Covered int64    `json:"covered_s"`
	Buckets []Bucket `json:"buckets"`
}

// Snapshot is the answer of /v1/report: one daemon's counters.
type Snapshot struct {
	Host string `json:"host"`
	// Uptime is the time since the daemon's start in seconds.
	Uptime     int64    `json:"uptime_s"`
	Objectives []Series `json:"objectives"`
}

// Snapshot returns the counters, ordered by objective.
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
		Covered: int64(min(now.Sub(r.since), Minutes*time.Minute).Seconds()), Buckets: []Bucket{},
	}
	present := minuteOf(now)
	for _, b := range r.buckets {
		age := present - b.minute
		if b.total > 0 && age >= 0 && age < Minutes {
			s.Buckets = append(s.Buckets, Bucket{Age: int(age), Good: b.good, Total: b.total})
		}
	}
	sort.Slice(s.Buckets, func(i, j int) bool { return s.Buckets[i].Age < s.Buckets[j].Age })
	return s
}

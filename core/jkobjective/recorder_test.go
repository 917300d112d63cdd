package jkobjective

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jktimer"
)

var start = time.Unix(600_000, 0)

func objective(t *testing.T, text string) jkconfig.Objective {
	t.Helper()
	var o jkconfig.Objective
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		t.Fatal(err)
	}
	return o
}

func turn(workspace, class string, took time.Duration) Event {
	return Event{Measure: jkconfig.MeasureTurns, Workspace: workspace, Class: class, Took: took}
}

// Guards against events that are counted for the wrong objective or minute, and against
// stale counts that reappear when a slot of the ring is reused.
func TestRingPerMinute(t *testing.T) {
	timer, clock := jktimer.NewManual(start)
	counted := map[string]int{}
	r := New(Options{Timer: timer, OnEvent: func(name string, _ bool) { counted[name]++ }})
	r.SetObjectives(map[string]jkconfig.Objective{
		"all":  objective(t, `{"measure":"turns","within":"1s","target":0.9,"window":"24h"}`),
		"gold": objective(t, `{"measure":"turns","workspace":"w","class":"gold","within":"1s","target":0.9,"window":"24h"}`),
		"ttft": objective(t, `{"measure":"first_token","within":"1s","target":0.9,"window":"24h"}`),
	})
	r.Record(turn("w", "gold", time.Second))
	r.Record(turn("w", "", 2*time.Second))
	clock.Advance(3 * time.Minute)
	r.Record(turn("x", "gold", time.Millisecond))
	want := [][]Bucket{
		{{Age: 0, Good: 1, Total: 1}, {Age: 3, Good: 1, Total: 2}}, {{Age: 3, Good: 1, Total: 1}}, {},
	}
	for i, s := range r.Snapshot("h").Objectives {
		if !reflect.DeepEqual(s.Buckets, want[i]) || s.Covered != 180 {
			t.Errorf("%s: got %+v, want %+v and 180 s covered", s.Name, s, want[i])
		}
	}
	if counted["all"] != 3 || counted["gold"] != 1 || counted["ttft"] != 0 {
		t.Errorf("got counts %v", counted)
	}
	clock.Advance(RetentionMinutes*time.Minute - 3*time.Minute)
	r.Record(turn("x", "gold", time.Millisecond))
	got := r.Snapshot("h").Objectives[0].Buckets
	if !reflect.DeepEqual(got, []Bucket{{Age: 0, Good: 1, Total: 1}, {Age: RetentionMinutes - 3, Good: 1, Total: 1}}) {
		t.Errorf("after the ring's length: got %+v", got)
	}
}

// Guards against an event that counts as good although it failed or missed the caller's
// deadline, and against the objective's bound overriding a deadline.
func TestGood(t *testing.T) {
	const within = time.Second
	tests := map[string]struct {
		event Event
		good  bool
	}{
		"in time":                {Event{Took: within}, true},
		"late":                   {Event{Took: within + 1}, false},
		"failed":                 {Event{Failed: true}, false},
		"within a long deadline": {Event{Took: time.Hour, HasDeadline: true}, true},
		"past a short deadline":  {Event{Took: time.Millisecond, HasDeadline: true, Late: true}, false},
	}
	for name, test := range tests {
		if got := test.event.isGood(within); got != test.good {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Guards against counts of a previous latency bound that are reported for the new one,
// and against a changed target that resets the counts.
func TestChangedObjective(t *testing.T) {
	timer, clock := jktimer.NewManual(start)
	r := New(Options{Timer: timer})
	set := func(text string) {
		r.SetObjectives(map[string]jkconfig.Objective{"o": objective(t, text)})
	}
	set(`{"measure":"turns","within":"1s","target":0.9,"window":"24h"}`)
	r.Record(turn("w", "", time.Millisecond))
	clock.Advance(time.Minute)
	set(`{"measure":"turns","within":"1s","target":0.99,"window":"48h"}`)
	if s := r.Snapshot("h").Objectives[0]; len(s.Buckets) != 1 || s.Covered != 60 || s.Target != 0.99 {
		t.Errorf("a new target: got %+v", s)
	}
	set(`{"measure":"turns","within":"2s","target":0.99,"window":"48h"}`)
	if s := r.Snapshot("h").Objectives[0]; len(s.Buckets) != 0 || s.Covered != 0 {
		t.Errorf("a new bound: got %+v", s)
	}
}

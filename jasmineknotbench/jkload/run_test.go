package jkload

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func smallRun(t *testing.T, mode string, change func(*Options)) Report {
	t.Helper()
	_, entry, account := newFakeSite(t, mode)
	o := DefaultOptions()
	o.Entries, o.Services = []string{entry, entry}, map[string]string{"orders": account}
	o.Programs, o.Rate, o.Duration, o.Grace = 10, 1000, 10*time.Second, 10*time.Second
	o.Turns, o.Pause, o.ServiceShare, o.StragglerShare = 4, 0, 0.5, 0
	change(&o)
	runner, err := NewRunner(o, jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return runner.Run(t.Context())
}

// Guards against a run that misses a fault of the site, or reports a violation where
// there is none. Every mode of the fake site but the first and the last four injects
// one kind of fault.
func TestRunFindsFaults(t *testing.T) {
	for _, test := range []struct {
		mode  string
		fault func(r Report) bool
		clean bool
	}{
		{"none", func(r Report) bool { return r.Completed == 10 && r.Retries > 0 && r.Comparison.Ran > 0 }, true},
		{"twice", func(r Report) bool { return r.Comparison.RanTwice == r.Comparison.Actions }, false},
		{"lost", func(r Report) bool { return r.Comparison.Lost == r.Comparison.Actions }, false},
		{"not run", func(r Report) bool { return r.Comparison.NotRunRan > 0 }, false},
		{"no outcome", func(r Report) bool { return r.Comparison.NoOutcome > 0 && r.Incomplete > 0 }, false},
		{"wrong answer", func(r Report) bool { return strings.Contains(strings.Join(r.Details, " "), "answer differs") }, false},
		{"unknown", func(r Report) bool { return r.Comparison.Unknown > 0 && r.Completed == 10 }, true},
		{"retry later", func(r Report) bool { return r.Completed == 10 }, true},
		{"new home", func(r Report) bool { return r.Completed == 10 && r.Outcomes["resume"]["completed"] > 0 }, true},
		{"truncated", func(r Report) bool { return r.Outcomes["chat"]["none"] > 0 && r.Incomplete > 0 }, true},
	} {
		r := smallRun(t, test.mode, func(*Options) {})
		if !test.fault(r) || test.clean != (r.Violations == 0) || r.Comparison.Actions == 0 {
			t.Errorf("%s: got %+v", test.mode, r)
		}
		var text, object bytes.Buffer
		if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "violations=") {
			t.Errorf("text: %q, %v", text.String(), err)
		}
		if err := r.WriteJSON(&object); err != nil || !json.Valid(object.Bytes()) {
			t.Errorf("JSON: %q, %v", object.String(), err)
		}
	}
}

// Guards against a run that does not end: it must be bounded in time and in programs
// in flight, whatever the site does.
func TestRunIsBounded(t *testing.T) {
	started := time.Now()
	r := smallRun(t, "none", func(o *Options) {
		o.Programs, o.Rate, o.MaxInFlight, o.Pause = 1000, 500, 5, time.Hour
		o.Duration, o.Grace = 300*time.Millisecond, 200*time.Millisecond
	})
	if took := time.Since(started); took > 3*time.Second || r.Dropped == 0 || r.Completed+r.Incomplete > 100 {
		t.Fatalf("took %s: %+v", took, r)
	}
}

// Guards against plans that depend on anything but the options and the index, against
// arrivals that don't follow the peak, and against a run that starts with invalid
// options.
func TestPlanAndOptions(t *testing.T) {
	o := DefaultOptions()
	o.Services = map[string]string{"a": "", "b": "", "c": ""}
	if !reflect.DeepEqual(newPlan(o, 7), newPlan(o, 7)) || reflect.DeepEqual(newPlan(o, 7), newPlan(o, 8)) {
		t.Fatal("plans do not depend on seed and index alone")
	}
	o.Programs, o.Rate, o.Duration = 100_000, 100, 40*time.Second
	o.PeakFactor, o.PeakStart, o.PeakLength = 10, 10*time.Second, 10*time.Second
	peak, all := 0, arrivals(o)
	for _, at := range all {
		if at >= 10*time.Second && at < 20*time.Second {
			peak++
		}
	}
	if peak < 9500 || peak > 10500 || len(all)-peak < 2800 || len(all)-peak > 3200 {
		t.Fatalf("got %d arrivals, %d of them in the peak; want about 13000 and 10000", len(all), peak)
	}
	for field, change := range map[string]func(*Options){
		"entry": func(o *Options) { o.Entries = nil }, "rate": func(o *Options) { o.Rate = 0 },
		"service": func(o *Options) { o.Services = nil }, "stream-share": func(o *Options) { o.StreamShare = 1.5 },
	} {
		bad := o
		bad.Entries = []string{"http://127.0.0.1:1"}
		change(&bad)
		if _, err := NewRunner(bad, jktimer.New(), jklog.Discard()); err == nil || !strings.HasPrefix(err.Error(), field+":") {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

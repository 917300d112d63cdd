package jkdaemon

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkobjective"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktimer"
)

// newCountingDaemon returns a daemon that has only metrics and objectives, with one
// objective of 1 s for each measure.
func newCountingDaemon(t *testing.T) *Daemon {
	t.Helper()
	timer, _ := jktimer.NewManual(time.Unix(600_000, 0))
	d := &Daemon{options: Options{Timer: timer}, metrics: &metrics{set: vm.NewSet()}, rules: &rules{document: jkconfig.Empty}}
	d.objectives = jkobjective.New(jkobjective.Options{Timer: timer, OnEvent: d.countObjective})
	objectives := map[string]jkconfig.Objective{}
	for _, m := range []jkconfig.Measure{jkconfig.MeasureTurns, jkconfig.MeasureFirstToken, jkconfig.MeasureProgram} {
		var o jkconfig.Objective
		if err := json.Unmarshal([]byte(`{"measure":"`+string(m)+`","within":"1s","target":0.9,"window":"1h"}`), &o); err != nil {
			t.Fatal(err)
		}
		objectives[string(m)] = o
	}
	d.objectives.SetObjectives(objectives)
	return d
}

// eventCounts returns the good and total events of a measure.
func eventCounts(d *Daemon, m jkconfig.Measure) (good, total uint64) {
	for _, s := range d.objectives.Snapshot("h").Objectives {
		for _, b := range s.Buckets {
			if s.Name == string(m) {
				good += b.Good
				total += b.Total
			}
		}
	}
	return good, total
}

// Guards against requests that count towards the wrong objective, client errors that burn
// an error budget, and refusals that don't.
func TestObservationsOfObjectives(t *testing.T) {
	const quick, slow = time.Second, 2 * time.Second
	completed, failed := string(jkprogram.OutcomeCompleted), string(jkprogram.OutcomeFailed)
	tests := map[string]struct {
		o jkapi.Observation
		// turns and first are good and total events.
		turns, first [2]uint64
	}{
		"in time":               {jkapi.Observation{Kind: "chat", Outcome: completed, Status: http.StatusOK, Duration: quick}, [2]uint64{1, 1}, [2]uint64{}},
		"slow":                  {jkapi.Observation{Kind: "chat", Outcome: completed, Status: http.StatusOK, Duration: slow}, [2]uint64{0, 1}, [2]uint64{}},
		"slow within deadline":  {jkapi.Observation{Kind: "chat", Outcome: completed, Status: http.StatusOK, Duration: slow, HasDeadline: true}, [2]uint64{1, 1}, [2]uint64{}},
		"slow stream":           {jkapi.Observation{Kind: "chat", Outcome: completed, Status: http.StatusOK, Duration: slow, Streamed: true, FirstToken: quick}, [2]uint64{0, 1}, [2]uint64{1, 1}},
		"stream without token":  {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusBadGateway, Duration: quick, Streamed: true}, [2]uint64{0, 1}, [2]uint64{0, 1}},
		"overloaded":            {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusTooManyRequests}, [2]uint64{0, 1}, [2]uint64{}},
		"unavailable":           {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusServiceUnavailable}, [2]uint64{0, 1}, [2]uint64{}},
		"client error":          {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusConflict}, [2]uint64{}, [2]uint64{}},
		"abandoned by caller":   {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusBadGateway, Abandoned: true}, [2]uint64{}, [2]uint64{}},
		"abandoned at deadline": {jkapi.Observation{Kind: "chat", Outcome: failed, Status: http.StatusGatewayTimeout, Abandoned: true, HasDeadline: true, Late: true}, [2]uint64{0, 1}, [2]uint64{}},
		"service call, no turn": {jkapi.Observation{Kind: "service", Outcome: completed, Status: http.StatusOK}, [2]uint64{}, [2]uint64{}},
	}
	for name, test := range tests {
		d := newCountingDaemon(t)
		d.observe(test.o)
		var turns, first [2]uint64
		turns[0], turns[1] = eventCounts(d, jkconfig.MeasureTurns)
		first[0], first[1] = eventCounts(d, jkconfig.MeasureFirstToken)
		if turns != test.turns || first != test.first {
			t.Errorf("%s: got turns %v and first tokens %v, want %v and %v", name, turns, first, test.turns, test.first)
		}
	}
}

// Guards against sub-programs and cancelled programs that count as whole ones, and against
// idle time that counts as the service's.
func TestProgramEndsOfObjectives(t *testing.T) {
	now := time.Unix(600_000, 0)
	meta := jkprogram.Meta{Template: "t", Created: now.Add(-time.Hour)}
	recent := jkprogram.Meta{Template: "t", Created: now.Add(-time.Second)}
	tests := map[string]struct {
		e           jkprogram.Ended
		good, total uint64
	}{
		"in time":            {jkprogram.Ended{Meta: recent, Turns: 1, Reason: jkprogram.EndCompleted}, 1, 1},
		"late":               {jkprogram.Ended{Meta: meta, Turns: 1, Reason: jkprogram.EndCompleted}, 0, 1},
		"idle, served early": {jkprogram.Ended{Meta: meta, Turns: 1, Reason: jkprogram.EndIdle, LastActive: meta.Created.Add(time.Second)}, 1, 1},
		"too long":           {jkprogram.Ended{Meta: recent, Turns: 1, Reason: jkprogram.EndMaxDuration}, 0, 1},
		"cancelled":          {jkprogram.Ended{Meta: recent, Turns: 1, Reason: jkprogram.EndCancelled}, 0, 0},
		"turn limit reached": {jkprogram.Ended{Meta: recent, Turns: 1, Reason: jkprogram.EndMaxTurns}, 0, 0},
		"no call":            {jkprogram.Ended{Meta: recent, Reason: jkprogram.EndIdle}, 0, 0},
		"sub-program":        {jkprogram.Ended{Meta: jkprogram.Meta{Template: "t", Parent: "p"}, Turns: 1, Reason: jkprogram.EndCompleted}, 0, 0},
		"single call":        {jkprogram.Ended{Turns: 1, Reason: jkprogram.EndCompleted}, 0, 0},
	}
	for name, test := range tests {
		d := newCountingDaemon(t)
		d.programEnded(test.e)
		if good, total := eventCounts(d, jkconfig.MeasureProgram); good != test.good || total != test.total {
			t.Errorf("%s: got %d of %d, want %d of %d", name, good, total, test.good, test.total)
		}
	}
}

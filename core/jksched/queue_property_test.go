package jksched

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueChecker applies random events to a queue and checks that every accepted call
// leaves it exactly once.
type queueChecker struct {
	t       *rapid.T
	queue   *Queue
	now     time.Time
	pushed  int
	waiting map[callKey]bool
	running map[callKey]bool
}

// apply records a command and fails the test if the call isn't in the state for it.
func (l *queueChecker) apply(c Command) {
	key := callKey{c.Call.ID, c.Endpoint}
	switch c.Kind {
	case CommandDispatch:
		if !l.waiting[key] {
			l.t.Fatalf("dispatch of %v, which isn't waiting", key)
		}
		delete(l.waiting, key)
		l.running[key] = true
	case CommandRefuse, CommandMove:
		if !l.waiting[key] {
			l.t.Fatalf("%s of %v, which isn't waiting", c.Kind, key)
		}
		delete(l.waiting, key)
	case CommandCancel, CommandSecondDispatch:
		if !l.running[key] {
			l.t.Fatalf("%s of %v, which isn't running", c.Kind, key)
		}
		if c.Kind == CommandSecondDispatch && !c.Call.Repeatable {
			l.t.Fatalf("second dispatch of %v, which may not be repeated", key)
		}
	}
}

func (l *queueChecker) tick() {
	for _, c := range l.queue.Tick(l.now) {
		l.apply(c)
	}
	for _, load := range l.queue.Loads(l.now) {
		running, waiting := 0, 0
		for k := range l.running {
			if k.endpoint == load.Endpoint {
				running++
			}
		}
		for k := range l.waiting {
			if k.endpoint == load.Endpoint {
				waiting++
			}
		}
		if load.Running != running || load.Queued != waiting {
			l.t.Fatalf("%s: load says %d running, %d queued; want %d, %d",
				load.Endpoint, load.Running, load.Queued, running, waiting)
		}
		if load.Queued > 2*DefaultOptions().MaxQueued {
			l.t.Fatalf("%s: %d calls wait, more than the bound", load.Endpoint, load.Queued)
		}
	}
}

func (l *queueChecker) push() {
	l.pushed++
	c := Call{
		ID: fmt.Sprint(l.pushed), Program: fmt.Sprint(l.pushed % 7), Workspace: "w", Kind: KindModel, Model: "m",
		PromptTokens: rapid.Int64Range(1, 9000).Draw(l.t, "prompt"), MaxTokens: rapid.Int64Range(1, 900).Draw(l.t, "max"),
		Attained: rapid.Int64Range(0, 100000).Draw(l.t, "attained"), Repeatable: rapid.Bool().Draw(l.t, "repeatable"),
	}
	if rapid.Bool().Draw(l.t, "has deadline") {
		c.Deadline = l.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(l.t, "deadline")) * time.Millisecond)
	}
	endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(l.t, "endpoint")
	err := l.queue.Push(l.now, c, endpoint)
	var refused *RefusedError
	switch {
	case err == nil:
		l.waiting[callKey{c.ID, endpoint}] = true
	case !errors.As(err, &refused):
		l.t.Fatalf("push: %v isn't a typed refusal", err)
	}
}

// drawKey draws one of the keys; they are visited in a fixed order for reproducibility.
func (l *queueChecker) drawKey(keys map[callKey]bool) (callKey, bool) {
	for id := 1; id <= l.pushed; id++ {
		for _, e := range []string{"e1", "e2"} {
			k := callKey{fmt.Sprint(id), e}
			if keys[k] && rapid.IntRange(0, 2).Draw(l.t, "pick") == 0 {
				return k, true
			}
		}
	}
	return callKey{}, false
}

func (l *queueChecker) finish() {
	if k, ok := l.drawKey(l.running); ok {
		delete(l.running, k)
		outcome := rapid.SampledFrom([]Outcome{OutcomeCompleted, OutcomeFailed, OutcomeCancelled}).Draw(l.t, "outcome")
		l.queue.Finished(l.now, k.call, k.endpoint, Result{
			Outcome: outcome, Generated: 5, EndpointFault: outcome == OutcomeFailed,
		})
	}
}

func (l *queueChecker) cancel() {
	if k, ok := l.drawKey(l.waiting); ok {
		l.queue.Cancel(l.now, k.call, k.endpoint)
		delete(l.waiting, k)
	}
	if k, ok := l.drawKey(l.running); ok {
		l.queue.Cancel(l.now, k.call, k.endpoint)
	}
}

func (l *queueChecker) changeState() {
	l.queue.SetEndpoint(Endpoint{
		ID: rapid.SampledFrom([]string{"e1", "e2"}).Draw(l.t, "endpoint"), Kind: KindModel, Models: []string{"m"},
		Slots: 2, CacheTokens: 12000,
		State: rapid.SampledFrom([]State{StateLive, StateLive, StateLeaving, StateDown}).Draw(l.t, "state"),
	})
}

func (l *queueChecker) generateTokens() {
	if k, ok := l.drawKey(l.running); ok {
		l.queue.Tokens(l.now, k.call, k.endpoint, rapid.Int64Range(1, 30).Draw(l.t, "tokens"))
	}
}

// Guards against calls that the queue loses or runs twice, against a wrong number of
// running calls, and against a queue beyond its bound, for any order of events, slow
// endpoints, faults and changes of state.
func TestQueueNeitherLosesNorDuplicatesCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &queueChecker{t: t, queue: NewQueue(testOptions()), now: start, waiting: map[callKey]bool{}, running: map[callKey]bool{}}
		for _, id := range []string{"e1", "e2"} {
			l.queue.SetEndpoint(Endpoint{ID: id, Kind: KindModel, Models: []string{"m"}, Slots: 2, CacheTokens: 12000, State: StateLive})
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			l.now = l.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			l.queue.SetLoad(Load{Endpoint: "p1", Model: "m", At: l.now, CurrentPace: 20 * time.Millisecond})
			rapid.SampledFrom([]func(){l.push, l.push, l.push, l.finish, l.generateTokens, l.cancel, l.changeState}).Draw(t, "step")()
			l.tick()
		}
	})
}

// Guards against starvation: the call of a program with much attained service starts
// within the bound that AgeStep sets, although newer programs keep all slots in use and
// although it has to wait for memory.
func TestStragglerStartsWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(testOptions())
		q.SetEndpoint(Endpoint{ID: "e1", Kind: KindModel, Models: []string{"m"}, Slots: 4, CacheTokens: 100000, State: StateLive})
		attained := rapid.Int64Range(0, 1<<20).Draw(t, "attained")
		prompt := rapid.SampledFrom([]int64{100, 70000, 110000}).Draw(t, "prompt")
		ends, started := map[string]time.Time{}, 0
		for step := range 600 {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			if step == 20 {
				c := Call{ID: "straggler", Program: "s", Kind: KindModel, Attained: attained, PromptTokens: prompt, MaxTokens: 900}
				if err := q.Push(now, c, "e1"); err != nil {
					t.Fatal(err)
				}
			}
			for id, end := range ends {
				if !now.Before(end) {
					delete(ends, id)
					q.Finished(now, id, "e1", Result{Outcome: OutcomeCompleted, Generated: 20})
				}
			}
			for len(ends)+q.Loads(now)[0].Queued < 12 {
				id := fmt.Sprint(step, "-", len(ends)+q.Loads(now)[0].Queued)
				if q.Push(now, Call{ID: id, Program: id, Kind: KindModel, PromptTokens: 9000, MaxTokens: 20}, "e1") != nil {
					break
				}
			}
			for _, c := range q.Tick(now) {
				if c.Kind != CommandDispatch {
					continue
				}
				if c.Call.ID == "straggler" {
					return
				}
				ends[c.Call.ID] = now.Add(time.Duration(300+100*(started%4)) * time.Millisecond)
				started++
			}
		}
		t.Fatal("the straggler hasn't started within 58 s")
	})
}

package jkaccount

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
)

// Guards against a flood of messages while a copy is gone for good: the records of each turn
// were retried separately, through other hosts (49,287 messages in an incident of
// bulles-pull).
func TestLostCopyDoesNotFloodOtherHosts(t *testing.T) {
	f := newFixture(t)
	f.lost["c"] = true
	var asked atomic.Int64
	f.client.RelayAddrs = func() []string {
		asked.Add(1)
		return nil
	}
	for range 300 {
		f.client.Settle(jkforward.Settlement{Program: "p", Request: "r", Tokens: 1, Retention: time.Minute})
	}
	time.Sleep(3 * retryBackoff)
	if n := asked.Load(); n > 5 {
		t.Errorf("other hosts asked %d times, want a few", n)
	}
}

// Guards against records that a copy never gets because it was out of reach when they were
// written.
func TestRecordsReachACopyThatReturns(t *testing.T) {
	f := newFixture(t)
	f.startCopy(t, "a-2", "a")
	var back atomic.Bool
	f.client.Reachable = func(host string) bool { return (host == "c") == back.Load() && host != "b" }
	f.client.ZoneReachable = func(zone string) bool { return zone == "a" || back.Load() }
	f.keep(t, jkforward.Turn{Request: "1", Input: []byte("in "), Output: []byte("out\n")})
	back.Store(true)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		got, err := f.client.Chain(t.Context(), "p", "1")
		if err == nil && string(got.Content) == "in out\n" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the copy that came back never got the turn")
}

// Guards against settlements that are lost when an entry stops, so that a program is charged
// more tokens than it used.
func TestSettlementsAreDeliveredBeforeAStop(t *testing.T) {
	f := newManualFixture(t)
	reserve := func(request string) error {
		return f.client.Reserve(t.Context(), jkforward.Reservation{Program: "p", Request: request, Tokens: 100, Budget: 150, Retention: time.Minute})
	}
	if err := reserve("1"); err != nil {
		t.Fatal(err)
	}
	f.client.Settle(jkforward.Settlement{Program: "p", Request: "1", Tokens: 10, Retention: time.Minute})
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		f.client.Flush(time.Second)
	}()
	for !isDone(flushed) {
		f.clock.Advance(flushPollInterval)
		// The copies sync to the disk of the machine, which the clock of the test waits for.
		time.Sleep(100 * time.Millisecond)
	}
	if err := reserve("2"); err != nil {
		t.Error(err)
	}
}

// Guards against budgets that are spent by refused tries, since their entry was killed before it settled them.
func TestRefusedTryIsSettledBeforeItsAnswer(t *testing.T) {
	f := newManualFixture(t)
	// A turn before leaves a settlement that waits for others.
	f.client.Settle(jkforward.Settlement{Program: "p", Request: "0", Tokens: 1, Retention: time.Minute})
	r := jkforward.Reservation{Program: "p", Request: "1", Tokens: 100, Budget: 50, Retention: time.Minute}
	var spent *jkforward.BudgetSpentError
	if err := f.client.Reserve(t.Context(), r); !errors.As(err, &spent) {
		t.Fatalf("error is %v, want a *BudgetSpentError", err)
	}
	f.client = NewClient(f.client.Options)
	r.Request, r.Tokens, r.Budget = "2", 50, 100
	if err := f.client.Reserve(t.Context(), r); err != nil {
		t.Error(err)
	}
}

// Guards against the same where the admission ends before the copies, which have got the reservation, answer it: so it does
// once the turn's chain isn't found.
func TestTryThatEndsBeforeItsCopiesAnswerIsSettledBeforeItsAnswer(t *testing.T) {
	f := newManualFixture(t)
	end := sync.OnceFunc(f.stall("a", "b", "c"))
	defer end()
	ctx, endAdmission := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- f.client.Reserve(ctx, reservation("1")) }()
	f.awaitStalled(t, 2*timeoutStep, result)
	endAdmission()
	time.AfterFunc(2*timeoutStep, end)
	if err := <-result; err == nil {
		t.Fatal("tokens were reserved without an answer")
	}
	f.client = NewClient(f.client.Options)
	end()
	time.Sleep(stallTime)
	if err := f.client.Reserve(t.Context(), reservation("2")); err != nil {
		t.Error(err)
	}
}

// Guards against the same beside copies that the entry has lost and found again just before.
func TestRefusedTryIsSettledOnCopiesThatAreBack(t *testing.T) {
	f := newManualFixture(t)
	f.lost["a"], f.lost["b"], f.lost["c"] = true, true, true
	failed := make(chan outcome, len(f.copies))
	for _, target := range f.copies {
		f.client.outbox.send(target, nil, func(o outcome) bool {
			failed <- o
			return false
		})
	}
	for range f.copies {
		<-failed
	}
	clear(f.lost)
	r := jkforward.Reservation{Program: "p", Request: "1", Tokens: 100, Budget: 50, Retention: time.Minute}
	var spent *jkforward.BudgetSpentError
	if err := f.client.Reserve(t.Context(), r); !errors.As(err, &spent) {
		t.Fatalf("error is %v, want a *BudgetSpentError", err)
	}
	f.client = NewClient(f.client.Options)
	r.Request, r.Tokens, r.Budget = "2", 50, 100
	if err := f.client.Reserve(t.Context(), r); err != nil {
		t.Error(err)
	}
}

// isDone reports whether a channel is closed.
func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Guards against an entry whose stop waits for a copy that is gone.
func TestStopDoesNotWaitForAGoneCopy(t *testing.T) {
	f := newFixture(t)
	f.lost["c"] = true
	f.client.Settle(jkforward.Settlement{Program: "p", Request: "1", Tokens: 10, Retention: time.Minute})
	began := time.Now()
	f.client.Flush(5 * time.Second)
	if took := time.Since(began); took > time.Second {
		t.Errorf("the stop took %s", took)
	}
}

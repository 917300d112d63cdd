package jkaccount

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// stallTime is longer than callTimeout by the clock of the machine too.
const stallTime = 700 * time.Millisecond

// stall keeps copies from handling messages and returns the function that ends that.
func (f *fixture) stall(hosts ...string) (end func()) {
	for _, host := range hosts {
		f.stalls[host].Lock()
	}
	return func() {
		for _, host := range hosts {
			f.stalls[host].Unlock()
		}
	}
}

// awaitStalled lets the time of the client and of the machine pass, and fails if an operation ends
// meanwhile.
func (f *fixture) awaitStalled(t *testing.T, d time.Duration, result <-chan error) {
	t.Helper()
	for range d / timeoutStep {
		select {
		case err := <-result:
			t.Fatalf("ended while the copies were stalled: %v", err)
		case <-time.After(timeoutStep):
			f.clock.Advance(timeoutStep)
		}
	}
}

// write writes a turn to one copy.
func (f *fixture) write(t *testing.T, to Copy, turn jkledger.Turn) {
	t.Helper()
	message := &jkledger.WriteRequest{Records: []jkledger.Record{{Turn: &turn}}, Sync: true}
	if err := f.client.Pool.Call(t.Context(), to.Addr, jkledger.TypeWrite, message, nil); err != nil {
		t.Fatal(err)
	}
}

// reservation returns one whose tokens are most of the budget that a partition may grant.
func reservation(request string) jkforward.Reservation {
	return jkforward.Reservation{Program: "p", Request: request, Tokens: 100, Budget: 150, Retention: time.Minute}
}

// Guards against turns that are refused in all tries while the disks of the copies are slow: a
// reservation is on disk before it is answered.
func TestTokensAreReservedOnceStalledCopiesAnswer(t *testing.T) {
	f := newManualFixture(t)
	end := sync.OnceFunc(f.stall("a", "b", "c"))
	defer end()
	result := make(chan error, 1)
	go func() { result <- f.client.Reserve(t.Context(), reservation("1")) }()
	f.awaitStalled(t, stallTime, result)
	end()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// Guards against the same refusal of turns that go on.
func TestChainIsFoundOnceStalledCopiesAnswer(t *testing.T) {
	f := newManualFixture(t)
	for _, c := range f.copies {
		f.write(t, c, jkledger.Turn{Request: "1", Program: "p", Input: []byte("in"), Retention: time.Minute})
	}
	end := sync.OnceFunc(f.stall("a", "b", "c"))
	defer end()
	result := make(chan error, 1)
	go func() {
		_, err := f.client.Chain(t.Context(), "p", "1")
		result <- err
	}()
	f.awaitStalled(t, stallTime, result)
	end()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// Guards against a turn that waits for a stalled copy though another one has the chain.
func TestChainIsFoundBesideAStalledCopy(t *testing.T) {
	f := newManualFixture(t)
	for _, c := range f.copies {
		f.write(t, c, jkledger.Turn{Request: "1", Program: "p", Input: []byte("in"), Retention: time.Minute})
	}
	defer f.stall("a")()
	result := make(chan error, 1)
	go func() {
		_, err := f.client.Chain(t.Context(), "p", "1")
		result <- err
	}()
	for {
		select {
		case err := <-result:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(timeoutStep):
			f.clock.Advance(timeoutStep)
		}
	}
}

// Guards against turns that are held though they can't be admitted: nobody reaches the copies.
func TestTurnIsRefusedAtOnceIfNoCopyIsInReach(t *testing.T) {
	f := newManualFixture(t)
	f.lost["a"], f.lost["b"], f.lost["c"], f.confirmed = true, true, true, nil
	f.client.LossConfirmed = func(string) bool { return false }
	if err := f.client.Reserve(t.Context(), reservation("1")); !isNoQuorum(err) {
		t.Errorf("error of a reservation is %v, want a *NoQuorumError", err)
	}
	if _, err := f.client.Chain(t.Context(), "p", "1"); !isNoQuorum(err) {
		t.Errorf("error of a chain is %v, want a *NoQuorumError", err)
	}
}

// Guards against a chain that is never found because the copies that have its last turn lack an
// earlier one, which others have.
func TestChainIsFoundOnSeveralCopies(t *testing.T) {
	f := newManualFixture(t)
	turns := []jkledger.Turn{
		{Request: "1", Program: "p", Input: []byte("one "), Retention: time.Minute},
		{Request: "2", Previous: "1", Program: "p", Input: []byte("two "), Retention: time.Minute},
		{Request: "3", Previous: "2", Program: "p", Input: []byte("three"), Retention: time.Minute},
	}
	for i, host := range []int{1, 0, 2} {
		f.write(t, f.copies[host], turns[i])
	}
	got, err := f.client.Chain(t.Context(), "p", "3")
	if err != nil || string(got.Content) != "one two three" {
		t.Errorf("chain is %q, %v", got, err)
	}
}

// Guards against a reservation that outlives its caller.
func TestReservationEndsWithItsCaller(t *testing.T) {
	f := newManualFixture(t)
	defer f.stall("a", "b", "c")()
	ctx, cancel := context.WithCancelCause(t.Context())
	result := make(chan error, 1)
	go func() { result <- f.client.Reserve(ctx, reservation("1")) }()
	cancel(context.DeadlineExceeded)
	var noQuorum *jkforward.NoQuorumError
	if err := <-result; !errors.As(err, &noQuorum) {
		t.Errorf("error is %v, want a *NoQuorumError", err)
	}
}

// Guards against turns that are refused five times while a stopped host isn't confirmed as lost, since
// they come back before that.
func TestRefusalSaysWhenALossIsConfirmed(t *testing.T) {
	f := newManualFixture(t)
	f.client.LossConfirmedAfter = 2 * time.Second
	if err := f.client.Reserve(t.Context(), reservation("1")); err != nil {
		t.Fatal(err)
	}
	// A copy may still be answering the first reservation.
	end := f.stall("a", "b", "c")
	f.lost["c"], f.confirmed = true, nil
	end()
	f.client.LossConfirmed = func(string) bool { return false }
	f.client.UnreachableFor = func(host string) time.Duration {
		if host == "c" {
			return 900 * time.Millisecond
		}
		return 0
	}
	r := reservation("2")
	r.Tokens = 50
	err := f.client.Reserve(t.Context(), r)
	var noQuorum *jkforward.NoQuorumError
	if !errors.As(err, &noQuorum) || noQuorum.RetryAfter != 1100*time.Millisecond {
		t.Errorf("error is %v, want a *NoQuorumError that may succeed after 1.1 s", err)
	}
}

// Guards against turns of a zone that is being cut off that are refused, or admitted before the other
// zones have noticed it: two more parts of the fleet may then hand out half of the budget each.
func TestTurnIsAdmittedOnceTheCutOfItsZoneIsNoticed(t *testing.T) {
	f := newManualFixture(t)
	defer f.stall("b", "c")()
	f.client.LossConfirmedAfter = confirmedAfter
	var cut, excluded atomic.Bool
	isOther := func(zone string) bool { return zone != "a" }
	f.client.Reachable = func(host string) bool { return !cut.Load() || !isOther(host) }
	f.client.ZoneSettled = func(zone string) bool { return !cut.Load() || !isOther(zone) }
	f.client.ZoneReachable = func(zone string) bool { return !excluded.Load() || !isOther(zone) }
	result := make(chan error, 1)
	go func() { result <- f.client.Reserve(t.Context(), reservation("1")) }()
	f.awaitStalled(t, 2*callTimeout, result)
	cut.Store(true)
	f.awaitStalled(t, 2*timeoutStep, result)
	excluded.Store(true)
	for {
		select {
		case err := <-result:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(timeoutStep):
			f.clock.Advance(timeoutStep)
		}
	}
}

// Guards against programs that are told that their budget is spent by reservations of refused tries, on
// the word of one copy that lacks their settlement.
func TestBudgetIsNotSpentByReservationsThatMayBeSettled(t *testing.T) {
	for _, c := range []struct {
		name string
		// onCopy is what the copy that answers has of an earlier try.
		onCopy  jkledger.Spending
		answers bool
		want    any
	}{
		{name: "settled elsewhere", onCopy: jkledger.Spending{Tokens: 100}, answers: true},
		{name: "not known", onCopy: jkledger.Spending{Tokens: 100}, want: new(*jkforward.NoQuorumError)},
		{name: "spent", onCopy: jkledger.Spending{Tokens: 100, Settled: true}, want: new(*jkforward.BudgetSpentError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newManualFixture(t)
			for _, target := range f.copies {
				s := jkledger.Spending{Settled: true}
				if target.Host == "a" {
					s = c.onCopy
				}
				s.Program, s.Request, s.Retention = "p", "1", time.Minute
				message := &jkledger.WriteRequest{Records: []jkledger.Record{{Spending: &s}}}
				if err := f.client.Pool.Call(t.Context(), target.Addr, jkledger.TypeWrite, message, nil); err != nil {
					t.Fatal(err)
				}
			}
			end := sync.OnceFunc(f.stall("b", "c"))
			defer end()
			result := make(chan error, 1)
			go func() { result <- f.client.Reserve(t.Context(), reservation("2")) }()
			if c.answers {
				f.awaitStalled(t, stallTime, result)
				end()
			}
			for {
				select {
				case err := <-result:
					if c.want == nil && err != nil || c.want != nil && !errors.As(err, c.want) {
						t.Errorf("error is %v", err)
					}
					return
				case <-time.After(timeoutStep):
					f.clock.Advance(timeoutStep)
				}
			}
		})
	}
}

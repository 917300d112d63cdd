package jkaccount

import (
	"errors"
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// unlist makes a host with a copy one that is no longer listed.
func (f *budgetFixture) unlist(host string) {
	f.copies = slices.DeleteFunc(f.copies, func(c Copy) bool { return c.Host == host })
	for _, e := range f.entries {
		e.client.Observe()
	}
}

// reserveTimes reserves several turns in a row.
func (f *budgetFixture) reserveTimes(n int, e *budgetEntry) {
	for range n {
		f.reserve(e, turnTokens, turnBudget)
	}
}

// Guards against the share of a cut zone that is granted once more, by a copy that has copied nothing: the host in whose place it is
// is being emptied. The former one may have granted the share, or the others the rest since that one had recorded it.
func TestBudgetOfACutZoneWhoseCopyIsEmptied(t *testing.T) {
	for name, isAlone := range map[string]bool{"the zone had granted it": true, "the others had": false} {
		t.Run(name, func(t *testing.T) {
			f := newBudgetFixture(3, 2, 3)
			a, c := f.entries[0], f.entries[2]
			f.advance(5 * time.Second)
			if !isAlone {
				f.reserveTimes(2, a)
			}
			f.cut("c")
			f.advance(1500 * time.Millisecond)
			if isAlone {
				f.reserveTimes(2, c)
			}
			f.reserveTimes(2, a)
			f.unlist(f.copyIn(c, "c"))
			f.advance(100 * time.Millisecond)
			f.reserveTimes(2, c)
			f.check(t)
		})
	}
}

// Guards against two majorities without a copy in common: a host is being emptied, and the one in its place has copied nothing.
// The other one of them was cut off while the rest was granted beside it.
func TestBudgetOfAnEmptiedCopyBesideOneThatWasCutOff(t *testing.T) {
	f := newBudgetFixture(3, 2, 3)
	a, b := f.entries[0], f.entries[1]
	f.advance(5 * time.Second)
	own, emptied := f.copyIn(b, "b"), f.copyIn(b, "c")
	f.reserveTimes(2, b)
	f.cut("a")
	f.advance(1500 * time.Millisecond)
	f.reserveTimes(2, b)
	f.heal()
	f.unlist(emptied)
	f.advance(100 * time.Millisecond)
	f.down(own)
	f.reserveTimes(2, a)
	f.check(t)
}

// Guards against holdings of a copy that has lost its disk: its host was removed and is added again under its name, and has
// copied from a host only that lacks what the former one had recorded.
func TestBudgetOfACopyThatIsAddedAgainWithoutItsDisk(t *testing.T) {
	f := newBudgetFixture(3, 1, 3)
	a, b, c := f.entries[0], f.entries[1], f.entries[2]
	f.advance(5 * time.Second)
	f.cut("a")
	f.advance(1500 * time.Millisecond)
	f.reserveTimes(2, b)
	f.down("c0")
	f.advance(10 * time.Second)
	f.heal()
	f.advance(time.Second)
	f.down("b0")
	f.advance(10 * time.Second)
	f.unlist("c0")
	delete(f.downSince, "c0")
	f.addCopy(Copy{Host: "c0", Zone: "c"})
	f.advance(10 * time.Second)
	f.upAgain("b0")
	f.advance(100 * time.Millisecond)
	f.cut("c")
	f.advance(2200 * time.Millisecond)
	f.reserveTimes(4, a)
	f.reserveTimes(4, c)
	f.check(t)
}

// Guards against holdings of a turn that ends after a copy which has recorded it has lost its disk, with what only that one knew.
func TestBudgetOfACopyThatLostItsDiskDuringATurn(t *testing.T) {
	f := newBudgetFixture(3, 1, 3)
	a, c := f.entries[0], f.entries[2]
	f.advance(5 * time.Second)
	f.cut("c")
	f.advance(1500 * time.Millisecond)
	f.reserveTimes(2, c)
	f.heal()
	f.abandon(a, 1, turnBudget)
	f.down("c0")
	f.loseDisk("c0")
	f.advance(time.Second)
	f.upAgain("c0")
	f.advance(10 * time.Second)
	f.cut("c")
	f.advance(2 * time.Second)
	f.settleAbandoned()
	f.reserveTimes(4, a)
	f.reserveTimes(4, c)
	f.check(t)
}

// Guards against holdings of no disk, which say nothing of copies whose disks are listed.
func TestHoldingsNameTheDisksThatAnswer(t *testing.T) {
	f := newFixture(t)
	if err := f.client.Reserve(t.Context(), jkforward.Reservation{Program: "p", Request: "1", Tokens: 50, Budget: 100, Retention: time.Minute}); err != nil {
		t.Fatal(err)
	}
	r := f.client.recordings.take("1")
	all := spendings{}
	for _, one := range r.settlement(jkledger.Spending{Program: "p", Request: "1", Tokens: 50, Settled: true, Retention: time.Minute}, "a") {
		all.merge([]jkledger.Spending{*one.Spending})
	}
	if disk := r.disks["a"]; disk == "" || all.heldBy(jkledger.HolderName("a", disk), r.begunAt) != 50 || all.heldBy("a", r.begunAt) != 0 {
		t.Errorf("a with the disk %q isn't the one that is known to count 50 tokens", disk)
	}
}

// Guards against three silent copies that each grant a turn which is larger than those of the others. What a turn is at most counts once.
func TestBudgetOfSilentCopiesThatGrantLargerTurns(t *testing.T) {
	const budget, small, large = 100, 1, 20
	f := newBudgetFixture(7, 1, 7)
	f.advance(5 * time.Second)
	for range 10 {
		f.reserve(f.entries[0], 4, budget)
	}
	for _, zone := range []string{"e", "f", "g"} {
		f.cut(zone)
	}
	f.advance(2 * time.Second)
	for range 40 {
		f.reserve(f.entries[0], small, budget)
	}
	for _, e := range f.entries[4:] {
		f.reserve(e, large, budget)
	}
	if f.granted > budget+large {
		t.Errorf("%d tokens are handed out of a budget of %d and one turn of %d", f.granted, budget, large)
	}
}

// Guards against a budget that is granted without the word of a copy in reach, which knows that it is spent and is a little slower.
func TestBudgetSpentOnACopyThatAnswersLater(t *testing.T) {
	f := newFixture(t)
	spend := func(host, request string, known jkledger.Holdings) {
		spent := jkledger.Spending{Program: "p", Request: request, Tokens: 100, Settled: true, Retention: time.Minute}
		records := []jkledger.Record{{Spending: &spent}}
		if known.Tokens != nil {
			said := known.Spending("p", request, time.Minute)
			records = append(records, jkledger.Record{Spending: &said})
		}
		to := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })]
		if err := f.client.Pool.Call(t.Context(), to.Addr, jkledger.TypeWrite, &jkledger.WriteRequest{Records: records, Sync: true}, nil); err != nil {
			t.Fatal(err)
		}
	}
	half := jkledger.Holdings{At: f.client.Timer.Now(), Tokens: map[string]int64{"a": 100, "b": 100}, Requests: []string{"1"}}
	spend("a", "1", half)
	spend("b", "1", half)
	spend("b", "2", jkledger.Holdings{})
	end := f.stall("b")
	time.AfterFunc(100*time.Millisecond, end)
	err := f.client.Reserve(t.Context(), jkforward.Reservation{Program: "p", Request: "3", Tokens: 50, Budget: 200, Retention: time.Minute})
	var spent *jkforward.BudgetSpentError
	if !errors.As(err, &spent) {
		t.Errorf("turn beyond the budget: %v, want that it is spent", err)
	}
}

// Guards against holdings that outlast what they tell of: a copy may have dropped what it recorded before a long turn was settled.
func TestHoldingsOfALongTurnEndBeforeACopyForgets(t *testing.T) {
	begun := time.Unix(1000, 0)
	r := &recording{
		begunAt: begun, reservation: jkforward.Reservation{Program: "p", Request: "long", Tokens: 10, Budget: 10},
		answers: map[string][]jkledger.Spending{"a-1": {{Request: "long", Tokens: 10}}},
	}
	known := spendings{}
	for _, one := range r.settlement(jkledger.Spending{Program: "p", Request: "long", Tokens: 10, Settled: true, Retention: time.Minute}, "a-1") {
		known.merge([]jkledger.Spending{*one.Spending})
	}
	if got := known.heldBy("a-1", begun.Add(66*time.Second)); got != 0 {
		t.Errorf("a-1 is taken to count %d tokens 66 s after it recorded them, for a retention of a minute", got)
	}
}

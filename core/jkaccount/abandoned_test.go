package jkaccount

import (
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Guards against a program that is told that its budget is spent, though it holds one more turn, since the entry of a try
// ended before that was settled; and against more than one turn beyond the budget.
func TestBudgetCoversATurnWhoseEntryHasEnded(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "after a fault of all": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newBudgetFixture(3, 1, 3)
			e := f.entries[0]
			for range 3 {
				f.reserve(e, turnTokens, turnBudget)
			}
			f.abandon(e, turnTokens, turnBudget)
			if wait > 0 {
				for _, c := range f.copies {
					f.down(c.Host)
				}
				f.advance(time.Second)
				f.up()
				f.advance(wait)
			}
			before := f.granted
			f.reserve(f.entries[1], turnTokens, turnBudget)
			if f.granted != before+turnTokens {
				t.Errorf("a turn after %d tokens of %d, %d of them abandoned, isn't granted", before, turnBudget, turnTokens)
			}
			f.reserve(f.entries[2], turnTokens, turnBudget)
			f.check(t)
		})
	}
}

// Guards against two turns beyond the budget, of three at once each of which lacks another copy: all copies have recorded
// an abandoned turn, and each has two of the three, one of which knows of the other.
func TestBudgetOfTurnsAtOnceThatLackDifferentCopies(t *testing.T) {
	recorded := func(requests ...string) *jkledger.ReserveAnswer {
		a := &jkledger.ReserveAnswer{Certain: true, Abandoned: []string{"lost"}}
		for _, request := range append(requests, "first", "lost") {
			a.Spendings = append(a.Spendings, jkledger.Spending{Request: request, Tokens: turnTokens, Settled: request == "first"})
		}
		return a
	}
	granted := 2 * turnTokens
	for _, answers := range [][]*jkledger.ReserveAnswer{
		{recorded("a"), recorded("b", "a")},
		{recorded("b"), recorded("c", "b")},
		{recorded("c"), recorded("a", "c")},
	} {
		q := newQuorum(3)
		for _, a := range answers {
			q.add(a, false)
		}
		// The silent copy is known to count as much as a part of the fleet may grant.
		q.allowance = 4 * turnTokens
		if q.decide(jkforward.Reservation{Tokens: turnTokens, Budget: 3 * turnTokens}) == nil {
			granted += turnTokens
		}
	}
	if granted > 4*turnTokens {
		t.Errorf("%d tokens are granted of a budget of %d", granted, 3*turnTokens)
	}
}

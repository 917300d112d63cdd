package jkaccount

import (
	"testing"
	"time"
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

package jkaccount

import (
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// quorum collects the answers of a program's copies to one reservation.
type quorum struct {
	spendings spendings
	copies    int
	// certain counts the answers of copies that have lost nothing.
	certain int
	// regular counts those of them that stand in for no other copy.
	regular int
	// whole is set once no other part of the fleet can admit turns of the program
	// by itself: each copy has answered, or is down in a zone that is in reach.
	whole bool
}

func (q *quorum) add(a *jkledger.ReserveAnswer, standsIn bool) {
	q.spendings.merge(a.Spendings)
	if !a.Certain {
		return
	}
	q.certain++
	if !standsIn {
		q.regular++
	}
}

// majority is the number of copies of which any two sets have one in common.
func majority(copies int) int { return copies/2 + 1 }

func (q *quorum) hasMajority() bool { return q.certain >= majority(q.copies) }

// half is what one part of the fleet may hand out while another part may admit
// turns of the same program: half of what may be handed out at most, which is
// the budget and one more turn. Programs ask for about twice of what they use,
// so that half is enough for nearly all of them.
func half(r jkforward.Reservation) int64 { return (r.Budget + r.Tokens) / 2 }

// isEnough reports whether the answers so far admit the turn, so that the other
// copies needn't be waited for.
func (q *quorum) isEnough(r jkforward.Reservation) bool {
	return q.hasMajority() && q.spendings.total() <= min(half(r), r.Budget)
}

// decide tells whether the budget holds the reservation, after all copies that
// can be reached were asked.
func (q *quorum) decide(r jkforward.Reservation) error {
	total := q.spendings.total()
	uncertain := &jkforward.NoQuorumError{Operation: "reserve", Answers: q.certain, Needed: majority(q.copies)}
	switch {
	case q.certain == 0:
		return uncertain
	case total > r.Budget:
		return &jkforward.BudgetSpentError{Program: r.Program, Spent: total - r.Tokens, Budget: r.Budget}
	case q.hasMajority() && q.whole:
		return nil
	case total <= half(r) && (q.hasMajority() || q.regular > 0):
		// Without a majority, the copy that another one stands in for may be in use on
		// the other side of a cut, or have been used on this one.
		return nil
	}
	return uncertain
}

// spendings are those of one program by request, merged from several copies.
type spendings map[string]jkledger.Spending

func (s spendings) merge(list []jkledger.Spending) {
	for _, next := range list {
		known, ok := s[next.Request]
		if !ok || (!known.Settled && next.Settled) {
			s[next.Request] = next
		}
	}
}

func (s spendings) total() int64 {
	sum := int64(0)
	for _, one := range s {
		sum += one.Tokens
	}
	return sum
}

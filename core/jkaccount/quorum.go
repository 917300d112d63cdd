package jkaccount

import (
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// quorum collects the answers of a program's copies to one reservation.
type quorum struct {
	spendings spendings
	places    []place
	// partial is set while there may be zones that aren't known.
	partial bool
	// certain holds the hosts of the copies that answered and have lost nothing.
	certain map[string]bool
	// view is set after all copies that can be reached were asked.
	view view
}

func newQuorum(places []place) *quorum {
	return &quorum{spendings: spendings{}, places: places, certain: map[string]bool{}}
}

func (q *quorum) add(host string, a *jkledger.ReserveAnswer) {
	q.spendings.merge(a.Spendings)
	if a.Certain {
		q.certain[host] = true
	}
}

// split returns the copies of the zones that count, and those that would be needed
// for the others to count.
func (q *quorum) split() (answered, missing []Copy, zones int) {
	for _, p := range q.places {
		n := len(missing)
		for _, target := range p.needed {
			if !q.certain[target.Host] {
				missing = append(missing, target)
			}
		}
		if len(missing) == n {
			answered = append(answered, p.needed...)
			zones++
		}
	}
	return answered, missing, zones
}

// majority is the number of zones of which any two sets have one in common.
func majority(zones int) int { return zones/2 + 1 }

// half is what one part of the fleet may hand out while another part may admit
// turns of the same program: half of what may be handed out at most, which is
// the budget and one more turn. Programs ask for about twice of what they use,
// so that half is enough for nearly all of them.
func half(r jkforward.Reservation) int64 { return (r.Budget + r.Tokens) / 2 }

// isEnough reports whether the answers so far admit the turn, so that the other
// copies needn't be waited for.
func (q *quorum) isEnough(r jkforward.Reservation) bool {
	_, _, zones := q.split()
	return zones >= majority(len(q.places)) && q.spendings.total() <= min(half(r), r.Budget)
}

// decide tells whether the budget holds the reservation, after all copies that
// can be reached were asked.
func (q *quorum) decide(r jkforward.Reservation) error {
	_, missing, zones := q.split()
	total := q.spendings.total()
	hasMajority := zones >= majority(len(q.places))
	switch {
	case len(q.certain) > 0 && total > r.Budget:
		return &jkforward.BudgetSpentError{Program: r.Program, Spent: total - r.Tokens, Budget: r.Budget}
	case zones > 0 && len(missing) == 0 && !q.partial,
		hasMajority && q.view.harmless && !q.partial,
		hasMajority && total <= half(r),
		zones > 0 && q.view.parted && total <= half(r):
		return nil
	}
	return &jkforward.UncertainError{Operation: "reserve", Answers: zones, Needed: majority(len(q.places))}
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

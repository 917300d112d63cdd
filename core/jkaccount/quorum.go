package jkaccount

import (
	"maps"
	"slices"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// quorum collects the answers of a program's copies to one reservation.
type quorum struct {
	spendings spendings
	// connected are the requests whose reservations a copy doesn't call abandoned.
	connected map[string]bool
	// copies is the number of copies that were asked.
	copies int
	// certainAnswers counts the answers of copies that have lost no records.
	certainAnswers int
	// unprovenAnswers counts those of them that don't count towards a majority, since other hosts
	// may use another copy in place of the one that answered.
	unprovenAnswers int
	// regularAnswers counts the certain answers of copies that don't stand in for another
	// one and aren't behind others.
	regularAnswers int
	// exclusive is set if no other part of the fleet can admit turns of the program by
	// itself: each copy has answered, or is down in a reachable zone.
	exclusive bool
	// allowance is how many tokens all turns may have together whatever the copies that didn't answer grant without a
	// majority, by Client.allowance.
	allowance int64
	// parted is set if the copies that answered may admit turns without a majority, by Client.isParted.
	parted bool
}

func newQuorum(copies int) *quorum {
	return &quorum{spendings: spendings{}, connected: map[string]bool{}, copies: copies}
}

// add counts the answer of a copy. The argument standsIn has the meaning of
// Client.standsIn.
func (q *quorum) add(a *jkledger.ReserveAnswer, standsIn bool) {
	q.addSpendings(a)
	if !a.Certain {
		return
	}
	q.certainAnswers++
	if !standsIn && !a.Behind {
		q.regularAnswers++
	}
}

// addSpendings adds the spendings of an answer.
func (q *quorum) addSpendings(a *jkledger.ReserveAnswer) {
	q.spendings.merge(a.Spendings)
	for _, s := range a.Spendings {
		if !s.Settled && !slices.Contains(a.Abandoned, s.Request) {
			q.connected[s.Request] = true
		}
	}
}

// majority returns the size at which any two sets of copies have one in common.
func majority(copies int) int { return copies/2 + 1 }

// votes returns the number of answers that count towards a majority.
func (q *quorum) votes() int { return q.certainAnswers - q.unprovenAnswers }

func (q *quorum) hasMajority() bool { return q.votes() >= majority(q.copies) }

// hasRegularMajority reports whether copies with the records of all majorities are a majority themselves.
func (q *quorum) hasRegularMajority() bool { return q.regularAnswers >= majority(q.copies) }

// isAllowed reports whether the budget covers the turn and all that other parts of the fleet may grant by themselves. Of turns
// at once each may lack another one, on a copy that hasn't answered, so that only one without others goes beyond the budget.
func (q *quorum) isAllowed(r jkforward.Reservation) bool {
	total := q.spendings.total()
	isAlone := total-q.spendings.settled()-q.abandoned() <= r.Tokens
	return q.hasRegularMajority() && total <= q.allowance && !q.isSpent(r) && (total <= r.Budget || isAlone)
}

// isSpent reports whether the budget doesn't cover the turn. Abandoned reservations are covered by the one turn that may be
// granted beyond the budget: nobody knows whether they were used, and their callers ask for the same turn again.
func (q *quorum) isSpent(r jkforward.Reservation) bool {
	total := q.spendings.total()
	return total-q.abandoned() > r.Budget || total > r.Budget+r.Tokens
}

// abandoned returns the tokens of all abandoned reservations.
func (q *quorum) abandoned() int64 {
	sum := int64(0)
	for request, one := range q.spendings {
		if !one.Settled && !q.connected[request] {
			sum += one.Tokens
		}
	}
	return sum
}

// partitionShare returns the tokens that one side of a network partition may grant while
// the other side may admit turns of the same program. It is half of what may be granted at
// most, which is the budget and one more turn. Programs request about twice the tokens that
// they use, so that half is enough for nearly all of them.
func partitionShare(r jkforward.Reservation) int64 { return (r.Budget + r.Tokens) / 2 }

// coversAlone reports whether the answers cover the turn where they may admit it without a majority.
// An answer of a stand-in doesn't suffice: the copy that it replaces may be in use on the other side
// of a partition, or have been used on this side. Nor does that of a copy that is behind: while it was
// down, the others may have granted the whole budget.
func (q *quorum) coversAlone(r jkforward.Reservation) bool {
	return q.regularAnswers > 0 && q.spendings.total() <= min(partitionShare(r), r.Budget)
}

// isEnough reports whether the answers so far admit the turn without waiting for the other
// copies.
func (q *quorum) isEnough(r jkforward.Reservation) bool {
	return q.hasMajority() && q.spendings.total() <= min(partitionShare(r), r.Budget)
}

// decide returns an error unless the budget covers the reservation. It is called once all
// copies that can be reached were asked.
func (q *quorum) decide(r jkforward.Reservation) error {
	total := q.spendings.total()
	noQuorum := &jkforward.NoQuorumError{Operation: "reserve", Answers: q.votes(), Needed: majority(q.copies)}
	switch {
	case q.certainAnswers == 0:
		return noQuorum
	case q.isSpent(r):
		return &jkforward.BudgetSpentError{Program: r.Program, Spent: total - r.Tokens, Budget: r.Budget}
	case q.hasMajority() && q.exclusive:
		return nil
	case q.hasMajority() && total <= partitionShare(r):
		return nil
	case q.isAllowed(r):
		return nil
	case q.parted && q.coversAlone(r):
		return nil
	}
	return noQuorum
}

// spendings holds the spendings of one program by request, merged from several copies.
type spendings map[string]jkledger.Spending

// merge adds spendings. A settled one replaces a reserved one of the same request.
func (s spendings) merge(list []jkledger.Spending) {
	for _, next := range list {
		existing, ok := s[next.Request]
		if !ok || (!existing.Settled && next.Settled) {
			s[next.Request] = next
		}
	}
}

// versionOf returns the version in the name of a request's spending. If there are several, it isn't
// known which of them brought events.
func (s spendings) versionOf(request string) (version string, ok bool) {
	for name := range s {
		found, named := jkforward.VersionOf(name, request)
		if named && ok && found != version {
			return "", false
		}
		if named {
			version, ok = found, true
		}
	}
	return version, ok
}

// total returns the number of tokens of all spendings.
func (s spendings) total() int64 {
	sum := int64(0)
	for _, one := range s {
		sum += one.Tokens
	}
	return sum
}

// heldBy returns how many tokens the copy with a jkledger.HolderName is known to count.
func (s spendings) heldBy(holder string, now time.Time) int64 {
	return jkledger.HeldBy(holder, slices.Collect(maps.Values(s)), now)
}

// settled returns the number of tokens of the spendings that are no reservations.
func (s spendings) settled() int64 {
	sum := int64(0)
	for _, one := range s {
		if one.Settled {
			sum += one.Tokens
		}
	}
	return sum
}

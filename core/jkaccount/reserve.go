package jkaccount

import (
	"cmp"
	"context"
	"slices"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Reserve reserves tokens of the program's budget on its copies. It fails with a
// *jkforward.BudgetSpentError if the budget doesn't cover them, and with a
// *jkforward.NoQuorumError if too few copies answered; the reservation is then settled with
// no tokens.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	if err := c.checkKnownCopies("reserve", c.replicas(r.Program)); err != nil {
		return err
	}
	answers := newAnswerLog(c)
	q := c.collectReservation(ctx, r, answers)
	err := q.decide(r)
	if err != nil {
		c.Log.Info("tokens not reserved", "request", r.Request, "program", r.Program, "error", err,
			"exclusive", q.exclusive, "copies", answers.describe(c.replicas(r.Program)))
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// collectReservation sends a reservation to the program's copies and collects their answers
// until these are enough, all have answered or the timeout has passed.
func (c *Client) collectReservation(ctx context.Context, r jkforward.Reservation, log *answerLog) *quorum {
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	copies := c.replicas(r.Program)
	extra := c.extraCopies(r.Program, copies)
	q := &quorum{spendings: spendings{}, copies: len(copies)}
	type reserveAnswer struct {
		from    Copy
		content *jkledger.ReserveAnswer
	}
	asked := slices.Concat(copies, extra)
	answers := make(chan reserveAnswer, len(asked))
	for _, target := range asked {
		go func() {
			var a jkledger.ReserveAnswer
			if err := c.call(ctx, target, jkledger.TypeReserve, request, &a); err != nil {
				log.add(target.Host, describeFailure(err))
				answers <- reserveAnswer{from: target}
				return
			}
			log.add(target.Host, describeReserveAnswer(&a))
			answers <- reserveAnswer{from: target, content: &a}
		}()
	}
	reports := newLossReports()
	for range asked {
		var a reserveAnswer
		select {
		case a = <-answers:
		case <-ctx.Done():
		}
		if a.content == nil {
			continue
		}
		reports.add(a.from.Host, a.content.Losses)
		if slices.Contains(extra, a.from) {
			q.spendings.merge(a.content.Spendings)
			continue
		}
		q.add(a.content, c.standsIn(r.Program, a.from))
		if q.isEnough(r) {
			// The calls of the other copies go on, so that these get the reservation too.
			c.Timer.After(callTimeout, cancel)
			return q
		}
	}
	cancel()
	q.exclusive = c.isExclusive(r.Program, copies, reports)
	return q
}

// Settle replaces a reservation by the tokens that were used, on all copies of the program.
// It doesn't wait for them. If a settlement is lost, the reservation stays, so that the
// program is charged more tokens than it used.
func (c *Client) Settle(s jkforward.Settlement) {
	records := []jkledger.Record{{Spending: &jkledger.Spending{
		Program: s.Program, Request: s.Request, Tokens: s.Tokens, Settled: true, Retention: s.Retention,
	}}}
	copies := c.replicas(s.Program)
	for _, target := range slices.Concat(copies, c.extraCopies(s.Program, copies)) {
		c.outbox.send(target, records, nil)
	}
}

// extraCopies returns further copies that record the spendings of a program if so few of its own
// are in reach that these may all lose their disks. They have no vote, since other hosts don't ask
// them.
func (c *Client) extraCopies(program string, chosen []Copy) []Copy {
	missing := c.MaxLostDisks + 1
	for _, target := range chosen {
		if c.isInReach(target) {
			missing--
		}
	}
	if missing <= 0 {
		return nil
	}
	extra := slices.DeleteFunc(slices.Clone(c.knownCopies()), func(known Copy) bool {
		return !c.Reachable(known.Host) || slices.Contains(chosen, known)
	})
	slices.SortFunc(extra, func(a, b Copy) int { return cmp.Compare(rank(program, b.Host), rank(program, a.Host)) })
	return extra[:min(missing, len(extra))]
}

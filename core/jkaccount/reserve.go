package jkaccount

import (
	"context"

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
	q := c.collectReservation(ctx, r)
	err := q.decide(r)
	if err != nil {
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// collectReservation sends a reservation to the program's copies and collects their answers
// until these are enough, all have answered or the timeout has passed.
func (c *Client) collectReservation(ctx context.Context, r jkforward.Reservation) *quorum {
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	copies := c.replicas(r.Program)
	q := &quorum{spendings: spendings{}, copies: len(copies)}
	type reserveAnswer struct {
		from    Copy
		content *jkledger.ReserveAnswer
	}
	answers := make(chan reserveAnswer, len(copies))
	for _, target := range copies {
		go func() {
			var a jkledger.ReserveAnswer
			if err := c.call(ctx, target, jkledger.TypeReserve, request, &a); err != nil {
				answers <- reserveAnswer{from: target}
				return
			}
			answers <- reserveAnswer{from: target, content: &a}
		}()
	}
	reports := newLossReports()
	for range copies {
		var a reserveAnswer
		select {
		case a = <-answers:
		case <-ctx.Done():
		}
		if a.content == nil {
			continue
		}
		reports.add(a.from.Host, a.content.Losses)
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
	for _, target := range c.replicas(s.Program) {
		c.outbox.send(target, records, nil)
	}
}

package jkaccount

import (
	"context"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Reserve holds tokens at the program's copies and fails if its budget doesn't
// hold them.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	if err := c.tooFew("reserve", c.replicas(r.Program)); err != nil {
		return err
	}
	q := c.ask(ctx, r)
	err := q.decide(r)
	if err != nil {
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// ask sends a reservation to the program's copies and collects their answers
// until they are enough.
func (c *Client) ask(ctx context.Context, r jkforward.Reservation) *quorum {
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
	missing := len(copies)
	for range copies {
		var a reserveAnswer
		select {
		case a = <-answers:
		case <-ctx.Done():
		}
		if a.content == nil {
			continue
		}
		missing--
		q.add(a.content, c.standsIn(r.Program, a.from))
		if q.isEnough(r) {
			// The reservation is still written to the copies that are late.
			c.Timer.After(callTimeout, cancel)
			return q
		}
	}
	cancel()
	q.whole = missing == 0 || missing <= c.down(copies)
	return q
}

// Settle replaces a reservation at all copies by what was used. A settlement
// that is lost leaves the reservation as it is, so that the program is charged
// more than it used.
func (c *Client) Settle(s jkforward.Settlement) {
	records := []jkledger.Record{{Spending: &jkledger.Spending{
		Program: s.Program, Request: s.Request, Tokens: s.Tokens, Settled: true, Retention: s.Retention,
	}}}
	for _, target := range c.replicas(s.Program) {
		c.outbox.send(target, records, nil)
	}
}

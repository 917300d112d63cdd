package jkaccount

import (
	"context"
	"strings"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Reserve holds tokens at the program's copies and fails if its budget doesn't
// hold them.
func (c *Client) Reserve(ctx context.Context, r jkforward.Reservation) error {
	places := c.places(r.Program)
	if err := c.tooFew("reserve", c.copiesOf(places)); err != nil {
		return err
	}
	q := c.ask(ctx, r, places)
	err := q.decide(r)
	if err != nil {
		c.logRefused(r, q)
		c.Settle(jkforward.Settlement{Program: r.Program, Request: r.Request, Retention: r.Retention})
	}
	return err
}

// ask sends a reservation to the program's copies and collects their answers
// until they are enough.
func (c *Client) ask(ctx context.Context, r jkforward.Reservation, places []place) *quorum {
	request := &jkledger.ReserveRequest{Spending: jkledger.Spending{
		Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention,
	}}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	copies := c.copiesOf(places)
	q := c.newQuorum(places)
	type answer struct {
		host    string
		content *jkledger.ReserveAnswer
	}
	answers := make(chan answer, len(copies))
	for _, target := range copies {
		go func() {
			var a jkledger.ReserveAnswer
			if err := c.call(ctx, target, jkledger.TypeReserve, request, &a); err != nil {
				answers <- answer{}
				return
			}
			answers <- answer{target.Host, &a}
		}()
	}
	for range copies {
		a := <-answers
		if a.content == nil {
			continue
		}
		q.add(a.host, a.content)
		if q.isEnough(r) {
			// The reservation is still written to the copies that are late.
			c.Timer.After(callTimeout, cancel)
			return q
		}
	}
	cancel()
	c.judge(q)
	return q
}

func (c *Client) newQuorum(places []place) *quorum {
	q := newQuorum(places)
	q.partial = len(places) < c.Zones && !c.MembersSettled()
	return q
}

// judge adds what this host knows of the copies that didn't answer.
func (c *Client) judge(q *quorum) {
	answered, missing, _ := q.split()
	q.view = c.reach.view(c.Timer.Now(), answered, missing)
}

// logRefused names the copies that were asked, so that the decisions of several
// hosts can be compared.
func (c *Client) logRefused(r jkforward.Reservation, q *quorum) {
	answered, missing, _ := q.split()
	c.Log.Info("reservation refused", "program", r.Program, "request", r.Request, "known", q.spendings.total(),
		"answered", hosts(answered), "missing", hosts(missing), "harmless", q.view.harmless, "parted", q.view.parted)
}

func hosts(copies []Copy) string {
	names := make([]string, len(copies))
	for i, target := range copies {
		names[i] = target.Host
	}
	return strings.Join(names, " ")
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

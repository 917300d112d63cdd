package jkaccount

import (
	"context"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Keep writes a turn and its spending to all copies and returns once as many
// disks hold it as may be lost, and one more.
func (c *Client) Keep(ctx context.Context, t jkforward.Turn) error {
	records := []jkledger.Record{
		{Spending: &jkledger.Spending{Program: t.Program, Request: t.Request, Tokens: t.Tokens, Settled: true, Retention: t.Retention}},
		{Turn: &jkledger.Turn{Request: t.Request, Previous: t.Previous, Program: t.Program, Input: t.Input, Output: t.Output, Retention: t.Retention}},
	}
	copies := c.replicas(t.Program)
	if err := c.tooFew("keep", copies); err != nil {
		return err
	}
	needed := c.needed(copies)
	results := make(chan bool, len(copies))
	for _, target := range copies {
		c.outbox.send(target, records, results)
	}
	kept := 0
	for range copies {
		select {
		case ok := <-results:
			if ok {
				kept++
			}
		case <-ctx.Done():
			return &jkforward.UncertainError{Operation: "keep", Answers: kept, Needed: needed}
		}
		if kept >= needed {
			return nil
		}
	}
	return &jkforward.UncertainError{Operation: "keep", Answers: kept, Needed: needed}
}

// needed is the number of disks that have to hold a turn before it counts. A
// zone that is cut off has fewer in reach; its turns then count with those, and
// this host goes on to deliver them to the others.
func (c *Client) needed(copies []Copy) int {
	reachable := 0
	for _, target := range copies {
		if c.Reachable(target.Host) || c.ZoneReachable(target.Zone) {
			reachable++
		}
	}
	return max(min(c.Losses+1, len(copies), reachable), 1)
}

package jkaccount

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// outcome is what became of records at one copy.
type outcome string

const (
	outcomeWaiting outcome = "waiting"
	outcomeWritten outcome = "written"
	// No host in reach can reach the copy.
	outcomeUnreachable outcome = "unreachable"
	// The copy was asked and gave no answer or an error.
	outcomeFailed outcome = "failed"
	// An earlier write to the copy failed and hasn't been repeated yet.
	outcomeBehind outcome = "behind_failed_write"
)

// delivery is the outcome of a parcel at one copy.
type delivery struct {
	host    string
	outcome outcome
}

// keeping is one turn on its way to its copies.
type keeping struct {
	client  *Client
	turn    jkforward.Turn
	records []jkledger.Record
	results chan delivery
	asked   []Copy
	// outcomes are the last known ones by host.
	outcomes map[string]outcome
}

// Keep writes a turn and its spending to all copies and returns once as many
// disks hold it as may be lost, and one more.
func (c *Client) Keep(ctx context.Context, t jkforward.Turn) error {
	began := c.Timer.Now()
	k := c.newKeeping(t)
	err := k.run(ctx)
	took := c.Timer.Now().Sub(began)
	c.Metrics.kept(resultOf(ctx, err), took)
	if err != nil {
		c.Log.Warn("turn reached too few copies", "request", t.Request, "program", t.Program,
			"copies", k.describe(), "took", took, "error", err)
	}
	return err
}

func resultOf(ctx context.Context, err error) keepResult {
	switch {
	case err == nil:
		return keepDone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return keepExpired
	case ctx.Err() != nil:
		return keepLeft
	}
	return keepTooFew
}

func (c *Client) newKeeping(t jkforward.Turn) *keeping {
	return &keeping{
		client: c, turn: t, outcomes: map[string]outcome{},
		records: []jkledger.Record{
			{Spending: &jkledger.Spending{Program: t.Program, Request: t.Request, Tokens: t.Tokens, Settled: true, Retention: t.Retention}},
			{Turn: &jkledger.Turn{Request: t.Request, Previous: t.Previous, Program: t.Program, Input: t.Input, Output: t.Output, Retention: t.Retention}},
		},
	}
}

func (k *keeping) run(ctx context.Context) error {
	c := k.client
	k.asked = c.replicas(k.turn.Program)
	if err := c.tooFew("keep", k.asked); err != nil {
		return err
	}
	needed := c.needed(k.asked)
	k.results = make(chan delivery, len(k.asked))
	for _, target := range k.asked {
		k.outcomes[target.Host] = outcomeWaiting
		c.outbox.send(target, k.records, k.results)
	}
	kept := 0
	for range k.asked {
		select {
		case d := <-k.results:
			k.outcomes[d.host] = d.outcome
			if d.outcome == outcomeWritten {
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

// describe names each copy that was asked, what became of the turn there and what
// this host believes of the copy.
func (k *keeping) describe() string {
	var out []string
	for _, target := range k.asked {
		state := fmt.Sprintf("%s=%s", target.Host, k.outcomes[target.Host])
		if silent := k.client.Silent(target.Host); silent > 0 {
			state += fmt.Sprintf(" silent=%s", silent.Round(time.Millisecond))
		}
		if target.New {
			state += " new"
		}
		if k.client.Lost(target.Host) {
			state += " lost"
		}
		out = append(out, state)
	}
	return strings.Join(out, ", ")
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

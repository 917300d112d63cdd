package jkaccount

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// outcome is what became of records at one copy.
type outcome string

const (
	outcomeWaiting outcome = "waiting"
	outcomeWritten outcome = "written"
	// No host in reach can reach the copy. The records are tried again.
	outcomeUnreachable outcome = "unreachable"
	// The copy was asked and gave no answer or an error. The records are tried again.
	outcomeFailed outcome = "failed"
	// The records were given up.
	outcomeDropped outcome = "dropped"
)

// recheckEvery is how often a turn that waits for its copies looks for others, and for
// zones that were cut off meanwhile.
const recheckEvery = 100 * time.Millisecond

// keeping is one turn on its way to its copies.
type keeping struct {
	client  *Client
	turn    jkforward.Turn
	records []jkledger.Record
	// changed holds a token after an outcome has changed.
	changed chan struct{}
	asked   []Copy

	mu       sync.Mutex
	outcomes map[string]outcome
	// over is set once nobody waits for the turn any more.
	over bool
}

// Keep writes a turn and its spending to its copies and returns once as many zones
// hold it as disks may be lost, and one more. It goes on trying until the context
// ends; a copy that is out of reach is replaced by another one of its zone.
func (c *Client) Keep(ctx context.Context, t jkforward.Turn) error {
	began := c.Timer.Now()
	k := c.newKeeping(t)
	err := k.run(ctx)
	k.end()
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
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return keepExpired
	case ctx.Err() != nil:
		return keepLeft
	}
	return keepTooFew
}

func (c *Client) newKeeping(t jkforward.Turn) *keeping {
	return &keeping{
		client: c, turn: t, changed: make(chan struct{}, 1), outcomes: map[string]outcome{},
		records: []jkledger.Record{
			{Spending: &jkledger.Spending{Program: t.Program, Request: t.Request, Tokens: t.Tokens, Settled: true, Retention: t.Retention}},
			{Turn: &jkledger.Turn{Request: t.Request, Previous: t.Previous, Program: t.Program, Input: t.Input, Output: t.Output, Retention: t.Retention}},
		},
	}
}

func (k *keeping) run(ctx context.Context) error {
	c := k.client
	chosen := c.replicas(k.turn.Program)
	if err := c.tooFew("keep", chosen); err != nil {
		return err
	}
	for _, target := range chosen {
		k.ask(target)
	}
	recheck := make(chan struct{}, 1)
	stop := c.Timer.Every(recheckEvery, func() { notify(recheck) })
	defer stop()
	for {
		k.askSubstitutes()
		// Copies may write the turn at any moment, so this is asked before they are counted.
		givenUp := k.isGivenUp()
		kept, needed := k.kept(), c.neededZones()
		if kept >= needed {
			return nil
		}
		if givenUp {
			return &jkforward.NoQuorumError{Operation: "keep", Answers: kept, Needed: needed}
		}
		select {
		case <-k.changed:
		case <-recheck:
		case <-ctx.Done():
			return &jkforward.NoQuorumError{Operation: "keep", Answers: kept, Needed: needed}
		}
	}
}

func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

func (k *keeping) ask(target Copy) {
	k.asked = append(k.asked, target)
	k.set(target.Host, outcomeWaiting)
	k.client.outbox.send(target, k.records, func(o outcome) bool {
		defer notify(k.changed)
		return k.set(target.Host, o)
	})
}

// set records an outcome and reports whether the turn is still waited for.
func (k *keeping) set(host string, o outcome) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes[host] = o
	return !k.over
}

func (k *keeping) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.over = true
}

func (k *keeping) outcome(host string) outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcomes[host]
}

// kept returns the number of zones that hold the turn.
func (k *keeping) kept() int {
	zones := map[string]bool{}
	for _, target := range k.asked {
		if k.outcome(target.Host) == outcomeWritten {
			zones[target.Zone] = true
		}
	}
	return len(zones)
}

// isGivenUp reports whether no copy is tried any more.
func (k *keeping) isGivenUp() bool {
	for _, target := range k.asked {
		if o := k.outcome(target.Host); o != outcomeWritten && o != outcomeDropped {
			return false
		}
	}
	return true
}

// askSubstitutes sends the turn to another copy of each zone whose copies so far don't
// answer. A turn is looked for at all copies, so that any of them may hold it.
func (k *keeping) askSubstitutes() {
	answering := map[string]bool{}
	for _, target := range k.asked {
		answering[target.Zone] = answering[target.Zone] || k.mayAnswer(target)
	}
	best := map[string]Copy{}
	for _, candidate := range k.client.Copies() {
		if answering[candidate.Zone] || !k.client.Reachable(candidate.Host) || k.outcome(candidate.Host) != "" {
			continue
		}
		known, ok := best[candidate.Zone]
		if !ok || ranksBefore(k.turn.Program, candidate, known) {
			best[candidate.Zone] = candidate
		}
	}
	for _, target := range best {
		k.ask(target)
	}
}

// mayAnswer reports whether a copy has the turn or is likely to take it.
func (k *keeping) mayAnswer(target Copy) bool {
	switch k.outcome(target.Host) {
	case outcomeWritten:
		return true
	case outcomeWaiting:
		return k.client.Reachable(target.Host)
	}
	return false
}

// describe names each copy that was asked, what became of the turn there and what
// this host believes of the copy.
func (k *keeping) describe() string {
	var out []string
	for _, target := range k.asked {
		state := fmt.Sprintf("%s=%s", target.Host, k.outcome(target.Host))
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

// neededZones is the number of zones that have to hold a turn before it counts: one
// more than disks may be lost. A zone that is cut off has fewer in reach; its turns
// then count with those, and this host goes on to deliver them to the others.
func (c *Client) neededZones() int {
	reachable := map[string]bool{}
	for _, target := range c.Copies() {
		reachable[target.Zone] = reachable[target.Zone] || c.Reachable(target.Host) || c.ZoneReachable(target.Zone)
	}
	zones := 0
	for _, isReachable := range reachable {
		if isReachable {
			zones++
		}
	}
	return max(min(c.Losses+1, zones), 1)
}

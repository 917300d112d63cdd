package jkaccount

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// outcome is the result of writing records to one copy.
type outcome string

const (
	outcomeWaiting outcome = "waiting"
	outcomeWritten outcome = "written"
	// Neither this host nor the relays can reach the copy. The write is retried.
	outcomeUnreachable outcome = "unreachable"
	// The copy gave no answer or an error. The write is retried.
	outcomeFailed outcome = "failed"
	// The records were dropped from the queue.
	outcomeDropped outcome = "dropped"
)

// recheckInterval is the interval at which a turn that waits for its copies is sent to
// substitutes, and at which zones that have become unreachable are noticed.
const recheckInterval = 100 * time.Millisecond

// keepOperation writes one turn to copies in several zones.
type keepOperation struct {
	client *Client
	turn   jkforward.Turn
	// recording is what the copies have answered to the turn's reservation, or nil.
	recording *recording
	// changed signals that an outcome has changed.
	changed chan struct{}
	// targets holds the copies that the turn was sent to.
	targets []Copy

	mu       sync.Mutex
	outcomes map[string]outcome
	// ended is set once the caller no longer waits for the turn.
	ended bool
}

// Keep writes a turn and its spending to copies, and returns once as many zones and disks hold
// them as requiredSpread says. It retries until the context ends. A copy that doesn't answer is
// replaced by another one of its zone.
func (c *Client) Keep(ctx context.Context, t jkforward.Turn) error {
	began := c.Timer.Now()
	k := c.newKeepOperation(t)
	err := k.run(ctx)
	written := k.written()
	k.end()
	took := c.Timer.Now().Sub(began)
	result := c.keepResultOf(ctx, written, err)
	c.Metrics.observeKeep(result, took)
	switch {
	case err != nil:
		c.Log.Warn("turn reached too few copies", "request", t.Request, "program", t.Program,
			"copies", k.describe(), "took", took, "error", err)
	case result == keepFewZones:
		c.Log.Info("turn kept in few zones", "request", t.Request, "program", t.Program,
			"zones", written.zones, "disks", written.disks, "copies", k.describe(), "took", took)
	}
	return err
}

func (c *Client) keepResultOf(ctx context.Context, written spread, err error) keepResult {
	switch {
	case err == nil && written.zones < min(c.MaxLostDisks+1, c.ZoneCount):
		return keepFewZones
	case err == nil:
		return keepWritten
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return keepTimedOut
	}
	return keepCallerLeft
}

func (c *Client) newKeepOperation(t jkforward.Turn) *keepOperation {
	return &keepOperation{
		client: c, turn: t, changed: make(chan struct{}, 1), outcomes: map[string]outcome{},
		recording: c.recordings.take(cmp.Or(t.Reservation, t.Request)),
	}
}

// recordsFor returns the records of the turn and its spending for a host.
func (k *keepOperation) recordsFor(host string) []jkledger.Record {
	t := k.turn
	spending := jkledger.Spending{Program: t.Program, Request: cmp.Or(t.Reservation, t.Request), Tokens: t.Tokens, Settled: true, Retention: t.Retention}
	return append(k.recording.settlement(spending, host), k.turnRecord())
}

func (k *keepOperation) turnRecord() jkledger.Record {
	t := k.turn
	return jkledger.Record{Turn: &jkledger.Turn{Request: t.Request, Previous: t.Previous, Program: t.Program, Input: t.Input, Output: t.Output, Retention: t.Retention}}
}

func (k *keepOperation) run(ctx context.Context) error {
	c := k.client
	for _, target := range c.replicas(k.turn.Program) {
		k.sendTo(target)
	}
	k.renewChain()
	recheck := make(chan struct{}, 1)
	stop := c.Timer.Every(recheckInterval, func() { notify(recheck) })
	defer stop()
	for {
		needed := c.requiredSpread()
		k.sendToSubstitutes(needed)
		written := k.written()
		if written.covers(needed) {
			return nil
		}
		// Also if no write is left: a copy that is listed later or back in reach is written to.
		select {
		case <-k.changed:
		case <-recheck:
		case <-ctx.Done():
			return written.shortage(needed)
		}
	}
}

// renewChain sends the turn to the copies of the other programs that its chain has turns of: a turn renews the retention of
// those before it only where it is. Nobody waits for these copies, and they don't count for the turn.
func (k *keepOperation) renewChain() {
	c := k.client
	sent := map[string]bool{}
	for _, target := range k.targets {
		sent[target.Host] = true
	}
	for _, program := range k.turn.ChainPrograms {
		for _, target := range c.replicas(program) {
			if !sent[target.Host] {
				sent[target.Host] = true
				c.outbox.send(target, []jkledger.Record{k.turnRecord()}, nil)
			}
		}
	}
}

// notify signals on a channel of capacity one without blocking.
func notify(changed chan<- struct{}) {
	select {
	case changed <- struct{}{}:
	default:
	}
}

// sendTo queues the turn for a copy.
func (k *keepOperation) sendTo(target Copy) {
	k.targets = append(slices.DeleteFunc(k.targets, func(t Copy) bool { return t.Host == target.Host }), target)
	k.set(target.Host, outcomeWaiting)
	k.client.outbox.send(target, k.recordsFor(target.Host), func(o outcome) bool {
		defer notify(k.changed)
		return k.set(target.Host, o)
	})
}

// set stores an outcome and reports whether the caller still waits for the turn.
func (k *keepOperation) set(host string, o outcome) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes[host] = o
	return !k.ended
}

func (k *keepOperation) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
}

func (k *keepOperation) outcome(host string) outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.outcomes[host]
}

// written returns the zones and disks that hold the turn.
func (k *keepOperation) written() spread {
	return spreadOf(slices.DeleteFunc(slices.Clone(k.targets), func(t Copy) bool { return k.outcome(t.Host) != outcomeWritten }))
}

// sendToSubstitutes sends the turn to another copy of each zone whose copies so far don't
// answer, and to further copies until enough disks may answer. Any copy may hold a turn, since
// Chain asks all copies.
func (k *keepOperation) sendToSubstitutes(needed spread) {
	answering, disks := map[string]int{}, 0
	for _, target := range k.targets {
		if k.mayAnswer(target) {
			answering[target.Zone]++
			disks++
		}
	}
	for {
		best, ok := k.nextSubstitute(answering)
		if !ok || answering[best.Zone] > 0 && disks >= needed.disks {
			return
		}
		k.sendTo(best)
		answering[best.Zone]++
		disks++
	}
}

// nextSubstitute returns the copy that the turn is sent to next: one in reach that it wasn't sent
// to, of the zone in which the fewest copies may answer. One that was removed from the list, so
// that its write was dropped, may be listed again.
func (k *keepOperation) nextSubstitute(answering map[string]int) (best Copy, ok bool) {
	for _, candidate := range k.client.Copies() {
		o := k.outcome(candidate.Host)
		if !k.client.Reachable(candidate.Host) || o != "" && o != outcomeDropped {
			continue
		}
		n, fewest := answering[candidate.Zone], answering[best.Zone]
		if !ok || n < fewest || n == fewest && ranksBefore(k.turn.Program, candidate, best) {
			best, ok = candidate, true
		}
	}
	return best, ok
}

// mayAnswer reports whether a copy has written the turn or is likely to do so.
func (k *keepOperation) mayAnswer(target Copy) bool {
	switch k.outcome(target.Host) {
	case outcomeWritten:
		return true
	case outcomeWaiting:
		return k.client.Reachable(target.Host)
	}
	return false
}

// describe returns, for a log line, each copy that the turn was sent to with its outcome and
// what this host knows of the copy's state.
func (k *keepOperation) describe() string {
	var out []string
	for _, target := range k.targets {
		state := fmt.Sprintf("%s=%s", target.Host, k.outcome(target.Host))
		if unreachableFor := k.client.UnreachableFor(target.Host); unreachableFor > 0 {
			state += fmt.Sprintf(" silent=%s", unreachableFor.Round(time.Millisecond))
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

// spread is the number of zones and of disks that hold a turn.
type spread struct{ zones, disks int }

// spreadOf returns the zones and disks of copies.
func spreadOf(copies []Copy) spread {
	zones := map[string]bool{}
	for _, c := range copies {
		zones[c.Zone] = true
	}
	return spread{zones: len(zones), disks: len(copies)}
}

func (s spread) covers(needed spread) bool { return s.zones >= needed.zones && s.disks >= needed.disks }

// shortage returns the error for too few disks or, if these are enough, for too few zones.
func (s spread) shortage(needed spread) error {
	if s.disks < needed.disks {
		return &jkforward.NoQuorumError{Operation: "keep", Answers: s.disks, Needed: needed.disks}
	}
	return &jkforward.NoQuorumError{Operation: "keep", Answers: s.zones, Needed: needed.zones}
}

// requiredSpread returns the zones and disks that have to hold a turn before it counts as kept:
// MaxLostDisks+1 each, so that the loss of MaxLostDisks disks leaves one copy. During a network
// partition the zones that can be reached have to do, with several copies in one zone, and the
// outbox continues to deliver the turn to the others. A host that may not know all copies doesn't
// take the few that it knows for all.
func (c *Client) requiredSpread() spread {
	return c.requiredSpreadOf(c.knownCopies(), c.isInReach)
}

// requiredSpreadOf is requiredSpread for the given copies and those of them that are in reach.
func (c *Client) requiredSpreadOf(copies []Copy, isInReach func(Copy) bool) spread {
	known, inReach := map[string]bool{}, map[string]bool{}
	for _, target := range copies {
		known[target.Zone] = true
		if isInReach(target) {
			inReach[target.Zone] = true
		}
	}
	most, least := c.MaxLostDisks+1, 1
	if !c.knowsEnough(len(known)) {
		least = min(most, c.ZoneCount)
	}
	return spread{zones: max(min(most, len(inReach)), least), disks: max(min(most, len(copies)), least)}
}

// CanKeep returns a *jkforward.NoQuorumError if the copies that are known and in reach, or answer
// through other hosts, are in fewer zones or on fewer disks than have to hold a turn of a program.
func (c *Client) CanKeep(ctx context.Context, program string) error {
	if err := c.checkKnownCopies("keep", c.replicas(program)); err != nil {
		return err
	}
	needed := c.requiredSpread()
	live := slices.DeleteFunc(slices.Clone(c.knownCopies()), func(known Copy) bool { return !c.mayTake(known) })
	if !spreadOf(live).covers(needed) {
		live = append(live, c.relayedCopies(ctx, program)...)
	}
	if found := spreadOf(live); !found.covers(needed) {
		return found.shortage(needed)
	}
	return nil
}

// CanKeepTurns reports whether the copies in zones that answer are in enough zones and on enough disks
// to hold a turn. Unlike CanKeep it is for no certain program, asks no other host, and doesn't count a
// zone that has just become silent.
func (c *Client) CanKeepTurns(answers func(zone string) bool) bool {
	copies := c.knownCopies()
	needed := c.requiredSpreadOf(copies, func(known Copy) bool { return answers(known.Zone) && c.isInReach(known) })
	live := slices.DeleteFunc(slices.Clone(copies), func(known Copy) bool { return !answers(known.Zone) || !c.mayTake(known) })
	return spreadOf(live).covers(needed)
}

// mayTake reports whether a copy is likely to take a turn, or its zone to be excluded by the time at
// which the turn ends: a zone that has just been cut off counts as in reach for a moment.
func (c *Client) mayTake(target Copy) bool {
	return c.mayAnswer(target) || c.ZoneReachable(target.Zone) && !c.ZoneSettled(target.Zone)
}

// isInReach reports whether a copy is expected to take records: its host is in reach, or others of
// its zone are, which relay them.
func (c *Client) isInReach(target Copy) bool {
	return c.Reachable(target.Host) || c.ZoneReachable(target.Zone)
}

// relayedCopies returns a program's copies that are out of reach and answer through other hosts.
func (c *Client) relayedCopies(ctx context.Context, program string) []Copy {
	ctx, cancel := c.withTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []Copy
	var asking sync.WaitGroup
	for _, target := range c.replicas(program) {
		if c.mayTake(target) {
			continue
		}
		asking.Go(func() {
			if c.relay(ctx, target, jkledger.TypeChain, &jkledger.ChainRequest{}, &jkledger.ChainAnswer{}) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, target)
		})
	}
	asking.Wait()
	return out
}

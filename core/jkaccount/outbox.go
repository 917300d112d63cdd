package jkaccount

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
)

// outbox delivers records to copies: one sender for each copy takes what waits for it.
// A copy that doesn't answer gets its records later.
type outbox struct {
	client *Client

	mu     sync.Mutex
	queues map[string]*queue
}

// queue holds the records that wait for one copy.
type queue struct {
	target  Copy
	pending []parcel
	// running is set while a sender is at work or about to begin.
	running bool
	// failure is the outcome of the last write if it failed, and else empty.
	failure outcome
}

// parcel is a set of records that is delivered as a whole.
type parcel struct {
	records []jkledger.Record
	since   time.Time
	// sync is set where the records have to be on disk before the copy answers.
	sync bool
	// report is called with the outcome of each try and tells whether somebody still
	// waits; it is nil where nobody does.
	report func(outcome) bool
}

// Bounds of a queue: how long a parcel is kept for a copy that doesn't answer,
// which covers a cut between zones, and how many wait at most.
const (
	deliverFor = 20 * time.Second
	maxWaiting = 20000
)

// Pauses after a failed write. Callers wait for the records of their turns, so that
// these are tried again sooner.
const (
	deliverPause = 300 * time.Millisecond
	waitedPause  = 100 * time.Millisecond
)

// settleDelay is how long a settlement waits for others to the same copy. It is
// short against the time between two turns of a program.
const settleDelay = 30 * time.Millisecond

// writeTimeout bounds one write to a copy.
const writeTimeout = time.Second

// maxWrite bounds the bytes of the turns in one write, unless one parcel alone is
// larger. It is well under the largest message, and a link of 130 Mbit/s carries it
// in a small part of writeTimeout.
const maxWrite = 1 << 20

func newOutbox(c *Client) *outbox { return &outbox{client: c, queues: map[string]*queue{}} }

// send queues records for a copy. The function report, if there is one, is called with
// the outcome of each try until they are written or dropped, and tells whether somebody
// still waits. While the last write to the copy has failed, that outcome is reported at
// once: records are tried in their order.
func (o *outbox) send(target Copy, records []jkledger.Record, report func(outcome) bool) {
	o.mu.Lock()
	q := o.queues[target.Host]
	if q == nil {
		q = &queue{}
		o.queues[target.Host] = q
	}
	q.target = target
	q.pending = append(q.pending, parcel{records: records, since: o.client.Timer.Now(), sync: report != nil, report: report})
	over := q.pending[:max(0, len(q.pending)-maxWaiting)]
	q.pending = q.pending[len(over):]
	idle, failure := !q.running, q.failure
	q.running = true
	o.mu.Unlock()
	o.drop(target, over)
	if report != nil && failure != "" {
		report(failure)
	}
	if !idle {
		return
	}
	delay := settleDelay
	if report != nil {
		delay = 0
	}
	o.client.Timer.After(delay, func() { o.run(q) })
}

// flushEvery is how often Flush looks whether all is delivered.
const flushEvery = 20 * time.Millisecond

// Flush waits until all records are delivered, or for a time. It is called before the
// process ends, since records that still wait are lost with it.
func (c *Client) Flush(within time.Duration) {
	end := c.Timer.Now().Add(within)
	for c.outbox.isBusy() && c.Timer.Now().Before(end) {
		c.Timer.Wait(flushEvery, nil)
	}
}

// isBusy reports whether a copy in reach is still to get records.
func (o *outbox) isBusy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for host, q := range o.queues {
		if q.running && o.client.Reachable(host) {
			return true
		}
	}
	return false
}

// run delivers until nothing waits.
func (o *outbox) run(q *queue) {
	for {
		target, batch := o.take(q)
		if len(batch) == 0 {
			return
		}
		result := outcomeOf(o.write(target, batch))
		o.client.Metrics.written(result)
		if result == outcomeWritten {
			o.setFailure(q, "")
			report(batch, result)
			continue
		}
		o.retry(q, batch, result)
	}
}

func (o *outbox) setFailure(q *queue, failure outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q.failure = failure
}

// retry puts a batch back that wasn't written, and returns when it is to be tried again.
func (o *outbox) retry(q *queue, batch []parcel, result outcome) {
	o.setFailure(q, result)
	waited := report(batch, result)
	o.putBack(q, batch)
	pause := deliverPause
	if waited {
		pause = waitedPause
	}
	o.client.Timer.Wait(pause, nil)
	if !o.refresh(q) {
		o.forget(q)
	}
}

// report calls the functions of those that wait and forgets those that don't any more.
// It returns whether any still waits.
func report(batch []parcel, result outcome) bool {
	waited := false
	for i, p := range batch {
		if p.report == nil {
			continue
		}
		if !p.report(result) {
			batch[i].report = nil
			continue
		}
		waited = true
	}
	return waited
}

// take removes the oldest parcels that fit into one write. Without any, the sender
// ends.
func (o *outbox) take(q *queue) (Copy, []parcel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(q.pending) {
		size += q.pending[n].size()
		if n > 0 && size > maxWrite {
			break
		}
		n++
	}
	batch := q.pending[:n:n]
	q.pending = q.pending[n:]
	if len(q.pending) == 0 {
		q.pending = nil
	}
	q.running = n > 0
	return q.target, batch
}

// size returns the number of bytes in the parcel's turns.
func (p parcel) size() int {
	size := 0
	for _, r := range p.records {
		if r.Turn != nil {
			size += len(r.Turn.Input) + len(r.Turn.Output)
		}
	}
	return size
}

// putBack puts parcels back in front of those that wait, and drops all that are too old.
// Those behind the batch hear that the copy doesn't answer.
func (o *outbox) putBack(q *queue, batch []parcel) {
	now := o.client.Timer.Now()
	var young, old []parcel
	o.mu.Lock()
	behind := slices.Clone(q.pending)
	for _, p := range slices.Concat(batch, q.pending) {
		if now.Sub(p.since) < deliverFor {
			young = append(young, p)
			continue
		}
		old = append(old, p)
	}
	q.pending = young
	target, failure := q.target, q.failure
	o.mu.Unlock()
	report(behind, failure)
	o.drop(target, old)
}

// refresh takes over the address at which the copy is known by now, and reports whether
// it is known.
func (o *outbox) refresh(q *queue) bool {
	copies := o.client.Copies()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, known := range copies {
		if known.Host == q.target.Host {
			q.target = known
			return true
		}
	}
	return false
}

// forget drops what waits for a copy that is no longer listed.
func (o *outbox) forget(q *queue) {
	o.mu.Lock()
	pending, target := q.pending, q.target
	q.pending, q.failure = nil, ""
	o.mu.Unlock()
	o.drop(target, pending)
}

func (o *outbox) drop(target Copy, batch []parcel) {
	if len(batch) == 0 {
		return
	}
	o.client.Log.Warn("records not delivered", "host", target.Host, "parcels", len(batch))
	report(batch, outcomeDropped)
}

func (o *outbox) write(target Copy, batch []parcel) error {
	request := &jkledger.WriteRequest{}
	for _, p := range batch {
		request.Records = append(request.Records, p.records...)
		request.Sync = request.Sync || p.sync
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return o.client.call(ctx, target, jkledger.TypeWrite, request, nil)
}

func outcomeOf(err error) outcome {
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return outcomeWritten
	case errors.As(err, &unreachable):
		return outcomeUnreachable
	}
	return outcomeFailed
}

package jkaccount

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
)

// outbox delivers records to copies: one sender for each copy takes all that
// waits for it. A copy that doesn't answer gets its records later.
type outbox struct {
	client *Client

	mu     sync.Mutex
	queues map[string]*queue
}

// queue holds the records that wait for one copy.
type queue struct {
	target  Copy
	pending []parcel
	running bool
	// failing is set while the copy doesn't take records.
	failing bool
}

// parcel is a set of records that is delivered as a whole.
type parcel struct {
	records []jkledger.Record
	since   time.Time
	// done gets the result of the first try; it is nil where nobody waits.
	done chan<- delivery
}

// Bounds of a queue: how long a parcel is kept for a copy that doesn't answer,
// which covers a cut between zones, and how many wait at most.
const (
	deliverFor   = 20 * time.Second
	maxWaiting   = 20000
	deliverPause = 300 * time.Millisecond
)

// settleDelay is how long a settlement waits for others to the same copy. It is
// short against the time between two turns of a program.
const settleDelay = 30 * time.Millisecond

// writeTimeout bounds one write to a copy.
const writeTimeout = time.Second

func newOutbox(c *Client) *outbox { return &outbox{client: c, queues: map[string]*queue{}} }

// send queues records for a copy. The channel, if there is one, gets the result
// of the first try.
func (o *outbox) send(target Copy, records []jkledger.Record, done chan<- delivery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[target.Host]
	if q == nil {
		q = &queue{}
		o.queues[target.Host] = q
	}
	q.target = target
	if q.failing && done != nil {
		done <- delivery{target.Host, outcomeBehind}
		done = nil
	}
	q.pending = append(q.pending, parcel{records: records, since: o.client.Timer.Now(), done: done})
	if over := len(q.pending) - maxWaiting; over > 0 {
		o.client.Log.Warn("records dropped", "host", target.Host, "parcels", over)
		q.pending = q.pending[over:]
	}
	if q.running {
		return
	}
	q.running = true
	delay := settleDelay
	if done != nil {
		delay = 0
	}
	o.client.Timer.After(delay, func() { o.run(q) })
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
		for _, p := range batch {
			if p.done != nil {
				p.done <- delivery{target.Host, result}
			}
		}
		o.mu.Lock()
		q.failing = result != outcomeWritten
		o.mu.Unlock()
		if result == outcomeWritten {
			continue
		}
		o.keep(q, batch)
		o.client.Timer.Wait(deliverPause, nil)
	}
}

// take removes all parcels. Without any, the sender ends.
func (o *outbox) take(q *queue) (Copy, []parcel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := q.pending
	q.pending = nil
	q.running = len(batch) > 0
	return q.target, batch
}

// keep puts parcels back that are young enough to be tried again.
func (o *outbox) keep(q *queue, batch []parcel) {
	now := o.client.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := batch[:0]
	for _, p := range batch {
		if now.Sub(p.since) < deliverFor {
			p.done = nil
			kept = append(kept, p)
		}
	}
	if old := len(batch) - len(kept); old > 0 {
		o.client.Log.Warn("records not delivered", "host", q.target.Host, "parcels", old)
	}
	q.pending = append(kept, q.pending...)
}

func (o *outbox) write(target Copy, batch []parcel) error {
	request := &jkledger.WriteRequest{}
	for _, p := range batch {
		request.Records = append(request.Records, p.records...)
		request.Sync = request.Sync || p.done != nil
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

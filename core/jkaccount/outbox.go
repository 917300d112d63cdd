package jkaccount

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"jasmineknot.example/core/jkledger"
)

// outbox delivers records to copies, with one queue and one sender for each copy. Records
// for a copy that doesn't answer stay in its queue and are retried.
type outbox struct {
	client *Client

	mu     sync.Mutex
	queues map[string]*queue
}

// queue holds the records that are to be written to one copy.
type queue struct {
	target  Copy
	pending []pendingWrite
	// running is set while a sender runs or is about to start.
	running bool
	// endDelay cancels the start of a sender after settleBatchDelay, and reports whether it had not begun.
	endDelay func() bool
	// failure is the outcome of the last write if it failed, and empty otherwise.
	failure outcome
	// awaited ends the backoff after a failed write.
	awaited chan struct{}
}

// pendingWrite is a set of records that is written to a copy as a whole.
type pendingWrite struct {
	records  []jkledger.Record
	queuedAt time.Time
	// sync is set if the records have to be on disk before the copy answers.
	sync bool
	// onOutcome is called with the outcome of each attempt and reports whether its caller
	// still waits. It is nil if none does.
	onOutcome func(outcome) bool
}

// Bounds of a queue: maxQueueAge is how long a write is kept for a copy that doesn't
// answer, which covers a network partition between zones, and maxQueued is the number of
// queued writes.
const (
	maxQueueAge = 20 * time.Second
	maxQueued   = 20000
)

// Backoff after a failed write. Callers wait for the records of their turns, so that these
// are retried sooner.
const (
	retryBackoff        = 300 * time.Millisecond
	awaitedRetryBackoff = 100 * time.Millisecond
)

// settleBatchDelay is how long a settlement waits for others to the same copy, to be written
// together with them. It is short compared to the time between two turns of a program.
const settleBatchDelay = 30 * time.Millisecond

// writeTimeout bounds one write to a copy.
const writeTimeout = time.Second

// maxWriteBytes bounds the turns in one message, unless one pendingWrite alone is larger. It
// is well under the size limit of messages, and a link of 130 Mbit/s transfers it in a small
// part of writeTimeout.
const maxWriteBytes = 1 << 20

func newOutbox(c *Client) *outbox { return &outbox{client: c, queues: map[string]*queue{}} }

// send queues records for a copy. If onOutcome isn't nil, it is called with the outcome of
// each attempt until the records are written or dropped, and reports whether its caller
// still waits. If the last write to the copy failed, that outcome is reported at once, since
// records are written in the order of the queue.
func (o *outbox) send(target Copy, records []jkledger.Record, onOutcome func(outcome) bool) {
	o.mu.Lock()
	q := o.queues[target.Host]
	if q == nil {
		q = &queue{awaited: make(chan struct{}, 1)}
		o.queues[target.Host] = q
	}
	q.target = target
	q.pending = append(q.pending, pendingWrite{records: records, queuedAt: o.client.Timer.Now(), sync: onOutcome != nil, onOutcome: onOutcome})
	overflow := q.pending[:max(0, len(q.pending)-maxQueued)]
	q.pending = q.pending[len(overflow):]
	starts, failure := !q.running, q.failure
	if !starts && onOutcome != nil {
		starts = q.endDelay()
	}
	q.running = true
	if starts {
		delay := settleBatchDelay
		if onOutcome != nil {
			delay = 0
		}
		q.endDelay = o.start(q, delay)
	}
	o.mu.Unlock()
	o.drop(target, overflow)
	if onOutcome == nil || failure == "" {
		return
	}
	onOutcome(failure)
	if failure == outcomeUnreachable && o.client.Reachable(target.Host) {
		// The copy is back since.
		notify(q.awaited)
	}
}

// start starts the sender of a queue after a delay.
func (o *outbox) start(q *queue, delay time.Duration) (cancel func() bool) {
	if delay > 0 {
		return o.client.Timer.After(delay, func() { o.run(q) })
	}
	go o.run(q)
	return func() bool { return false }
}

// flushPollInterval is the interval at which Flush checks whether all records are
// delivered.
const flushPollInterval = 20 * time.Millisecond

// Flush waits until all records for reachable copies are delivered, or until a duration has
// passed. It is called before the process ends, since queued records are lost with it.
func (c *Client) Flush(within time.Duration) {
	end := c.Timer.Now().Add(within)
	for c.outbox.hasDeliverable() && c.Timer.Now().Before(end) {
		c.Timer.Wait(flushPollInterval, nil)
	}
}

// hasDeliverable reports whether records are queued for a reachable copy.
func (o *outbox) hasDeliverable() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for host, q := range o.queues {
		if q.running && o.client.Reachable(host) {
			return true
		}
	}
	return false
}

// run is the sender of a queue. It returns once the queue is empty.
func (o *outbox) run(q *queue) {
	for {
		target, batch := o.nextBatch(q)
		if len(batch) == 0 {
			return
		}
		result := outcomeOf(o.write(target, batch))
		o.client.Metrics.countWrite(result)
		if result == outcomeWritten {
			o.setFailure(q, "")
			reportOutcome(batch, result)
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

// retry puts a batch that wasn't written back into the queue, and returns after the backoff.
// If the copy is no longer listed, it empties the queue.
func (o *outbox) retry(q *queue, batch []pendingWrite, result outcome) {
	o.setFailure(q, result)
	awaited := reportOutcome(batch, result)
	o.requeue(q, batch)
	pause := retryBackoff
	if awaited {
		pause = awaitedRetryBackoff
	}
	o.client.Timer.Wait(pause, q.awaited)
	if !o.refreshTarget(q) {
		o.dropAll(q)
	}
}

// reportOutcome calls the onOutcome functions of a batch and removes those whose callers no
// longer wait. It reports whether any caller still waits.
func reportOutcome(batch []pendingWrite, result outcome) bool {
	awaited := false
	for i, p := range batch {
		if p.onOutcome == nil {
			continue
		}
		if !p.onOutcome(result) {
			batch[i].onOutcome = nil
			continue
		}
		awaited = true
	}
	return awaited
}

// nextBatch removes the oldest writes that fit into one message from the queue. If there are
// none, the sender ends.
func (o *outbox) nextBatch(q *queue) (Copy, []pendingWrite) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size, n := 0, 0
	for n < len(q.pending) {
		size += q.pending[n].size()
		if n > 0 && size > maxWriteBytes {
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

// size returns the number of bytes of the turns.
func (p pendingWrite) size() int {
	size := 0
	for _, r := range p.records {
		if r.Turn != nil {
			size += len(r.Turn.Input) + len(r.Turn.Output)
		}
	}
	return size
}

// requeue puts a batch back in front of the queue and drops all writes that are older than
// maxQueueAge. The writes behind the batch get the outcome of the failed write as well.
func (o *outbox) requeue(q *queue, batch []pendingWrite) {
	now := o.client.Timer.Now()
	var retained, expired []pendingWrite
	o.mu.Lock()
	waiting := slices.Clone(q.pending)
	for _, p := range slices.Concat(batch, q.pending) {
		if now.Sub(p.queuedAt) < maxQueueAge {
			retained = append(retained, p)
			continue
		}
		expired = append(expired, p)
	}
	q.pending = retained
	target, failure := q.target, q.failure
	o.mu.Unlock()
	reportOutcome(waiting, failure)
	o.drop(target, expired)
}

// refreshTarget updates the address of the queue's copy, and reports whether the copy is
// still listed.
func (o *outbox) refreshTarget(q *queue) bool {
	copies := o.client.knownCopies()
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

// dropAll drops all writes to a copy that is no longer listed.
func (o *outbox) dropAll(q *queue) {
	o.mu.Lock()
	pending, target := q.pending, q.target
	q.pending, q.failure = nil, ""
	o.mu.Unlock()
	o.drop(target, pending)
}

// drop logs and reports writes that were removed from the queue without being written.
func (o *outbox) drop(target Copy, batch []pendingWrite) {
	if len(batch) == 0 {
		return
	}
	o.client.Log.Warn("records not delivered", "host", target.Host, "parcels", len(batch))
	reportOutcome(batch, outcomeDropped)
}

// write sends a batch to a copy in one message.
func (o *outbox) write(target Copy, batch []pendingWrite) error {
	request := &jkledger.WriteRequest{}
	for _, p := range batch {
		request.Records = append(request.Records, p.records...)
		request.Sync = request.Sync || p.sync
	}
	ctx, cancel := o.client.withTimeout(context.Background(), writeTimeout)
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

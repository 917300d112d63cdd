package jkdaemon

import (
	"context"
	"sync"
	"time"
)

// endedCheckDelay batches concurrent takeovers into one read of the platform, which bounds
// the reads to 100 a second for each host.
const endedCheckDelay = 10 * time.Millisecond

// endedCheck reads from the platform whether this host was declared ended. Concurrent
// callers share a read that begins after all of them have called.
type endedCheck struct {
	daemon *Daemon

	mu   sync.Mutex
	next *endedRead
}

// endedRead is one shared read and its result.
type endedRead struct {
	done  chan struct{}
	ended bool
	err   error
}

func (c *endedCheck) isEnded(ctx context.Context) (bool, error) {
	c.mu.Lock()
	r := c.next
	if r == nil {
		r = &endedRead{done: make(chan struct{})}
		c.next = r
		c.daemon.options.Timer.After(endedCheckDelay, func() { c.read(r) })
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.ended, r.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// read performs a shared read and releases the callers that wait for it.
func (c *endedCheck) read(r *endedRead) {
	c.mu.Lock()
	c.next = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	r.ended, r.err = c.daemon.router.IsEnded(ctx, c.daemon.home.Self())
	close(r.done)
}

package jkdaemon

import (
	"context"
	"sync"
	"time"
)

// ownCheckDelay gathers takeovers that happen together into one read of the
// platform, which bounds the reads to 100 a second for each host.
const ownCheckDelay = 10 * time.Millisecond

// ownCheck asks the platform whether this host was declared ended. Callers share
// a read that begins after all of them have asked.
type ownCheck struct {
	daemon *Daemon

	mu   sync.Mutex
	next *ownRead
}

// ownRead is one read and its answer.
type ownRead struct {
	done  chan struct{}
	ended bool
	err   error
}

func (c *ownCheck) isEnded(ctx context.Context) (bool, error) {
	c.mu.Lock()
	r := c.next
	if r == nil {
		r = &ownRead{done: make(chan struct{})}
		c.next = r
		c.daemon.options.Timer.After(ownCheckDelay, func() { c.read(r) })
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.ended, r.err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// read answers everyone who asked before it began.
func (c *ownCheck) read(r *ownRead) {
	c.mu.Lock()
	c.next = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	r.ended, r.err = c.daemon.router.IsEnded(ctx, c.daemon.home.Self())
	close(r.done)
}

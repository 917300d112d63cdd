package jkorder

import (
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// bucket is the token bucket that limits reads from the weight store; one token permits
// one load.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds a token per interval, up to burst.
func (b *bucket) refill(now time.Time, interval time.Duration, burst int) {
	if now.After(b.refilledAt) {
		b.tokens = min(float64(burst), b.tokens+float64(now.Sub(b.refilledAt))/float64(interval))
		b.refilledAt = now
	}
}

// takeLoadToken reports whether another load may start, and takes a token for it.
func (c *Core) takeLoadToken(now time.Time) bool {
	c.bucket.refill(now, c.options.LoadInterval, c.options.LoadBurst)
	if c.bucket.tokens < 1 || c.Loading() >= c.options.MaxLoads {
		return false
	}
	c.bucket.tokens--
	return true
}

// Loading returns the number of engines of the zone that load a model or adapter or
// were ordered to.
func (c *Core) Loading() int {
	n := 0
	for _, e := range c.zoneEngines {
		if e.pending != nil && needsWeights(e.pending.order) || e.isLoading() {
			n++
		}
	}
	return n
}

// needsWeights reports whether an order reads from the weight store.
func needsWeights(o jkendpoint.Order) bool {
	switch o.Kind {
	case jkendpoint.OrderLoad, jkendpoint.OrderVersion:
		return true
	case jkendpoint.OrderAdapter:
		return !o.Remove
	case jkendpoint.OrderUnload, jkendpoint.OrderRole:
	}
	return false
}

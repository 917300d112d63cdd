package jkorder

import (
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// bucket is the token bucket of the weight store; one token is one load.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) fill(now time.Time, interval time.Duration, burst int) {
	if now.After(b.at) {
		b.level = min(float64(burst), b.level+float64(now.Sub(b.at))/float64(interval))
		b.at = now
	}
}

// takeLoad reports whether another load may start, and counts it.
func (c *Core) takeLoad(now time.Time) bool {
	c.bucket.fill(now, c.options.LoadInterval, c.options.LoadBurst)
	if c.bucket.level < 1 || c.Loading() >= c.options.MaxLoads {
		return false
	}
	c.bucket.level--
	return true
}

// Loading returns the number of engines of the zone that load something.
func (c *Core) Loading() int {
	n := 0
	for _, e := range c.own {
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

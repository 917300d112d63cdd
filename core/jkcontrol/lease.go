package jkcontrol

import (
	"context"
	"errors"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// keepLease renews or tries to acquire the lease, and reports whether this host holds
// it.
func (c *Controller) keepLease() bool {
	now := c.options.Timer.Now()
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return c.acquire(now)
	}
	if now.Sub(t.renewedAt) >= renewAfter {
		c.renew(now, t)
	}
	return c.leaseRemaining() > 0
}

// leaseRemaining returns how long this host still holds the lease by its own clock.
func (c *Controller) leaseRemaining() time.Duration {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return 0
	}
	return c.term.expiresAt.Sub(now)
}

func (c *Controller) renew(now time.Time, t *term) {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	_, err := c.options.Platform.RenewLease(ctx, t.lease, LeaseTTL)
	var lost *jkplatform.ConflictError
	switch {
	case err == nil:
		c.mu.Lock()
		t.expiresAt, t.renewedAt = now.Add(LeaseTTL), now
		c.mu.Unlock()
	case errors.As(err, &lost), now.After(t.expiresAt):
		c.endTerm(t, "the lease has expired or another host holds it")
	}
}

// endTerm stops all orders until the lease is acquired again.
func (c *Controller) endTerm(t *term, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != t {
		return
	}
	c.term = nil
	c.lastAcquire = c.options.Timer.Now()
	c.options.Log.Warn("this host no longer controls the zone's engines", "reason", reason, "token", t.lease.Token)
}

func (c *Controller) acquire(now time.Time) bool {
	retry := otherRetryInterval
	if c.options.IsLeader() {
		retry = leaderRetryInterval
	}
	if now.Sub(c.lastAcquire) < retry {
		return false
	}
	c.lastAcquire = now
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	lease, err := c.options.Platform.AcquireLease(ctx, LeaseKey(c.options.Limits.Zone), c.options.Holder(), LeaseTTL)
	if err != nil {
		c.recordHolder(err)
		return false
	}
	c.beginTerm(now, lease)
	return true
}

// recordHolder records the host that holds the lease, if the platform named it.
func (c *Controller) recordHolder(err error) {
	var exists *jkplatform.ExistsError
	if errors.As(err, &exists) {
		c.mu.Lock()
		c.holder = string(exists.Present.Value)
		c.mu.Unlock()
	}
}

// beginTerm starts a term. The former holder sent its last renewal before the platform
// granted this lease, so by its own clock its lease ends at most one LeaseTTL after the
// platform's answer arrived here. This doesn't rely on the platform's clock. An order
// for which it checked the lease just before that end takes effect within
// DeliveryBound.
func (c *Controller) beginTerm(sent time.Time, lease jkplatform.Lease) {
	now := c.options.Timer.Now()
	t := &term{lease: lease, expiresAt: sent.Add(LeaseTTL), renewedAt: sent, barrier: now.Add(LeaseTTL + DeliveryBound)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
	c.holder = ""
	c.revision = 0
	c.core.BeginTerm(now, t.barrier)
	c.options.Log.Info("this host controls the zone's engines", "token", lease.Token, "zone", c.options.Limits.Zone)
}

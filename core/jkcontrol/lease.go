package jkcontrol

import (
	"context"
	"errors"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// keepLease renews the lease or tries to take it, and reports whether this host
// holds it.
func (c *Controller) keepLease() bool {
	now := c.options.Timer.Now()
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return c.acquire(now)
	}
	if now.Sub(t.renewed) >= renewAfter {
		c.renew(now, t)
	}
	return c.remaining() > 0
}

// remaining returns how long this host still holds the lease by its own clock.
func (c *Controller) remaining() time.Duration {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return 0
	}
	return c.term.until.Sub(now)
}

func (c *Controller) renew(now time.Time, t *term) {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	_, err := c.options.Platform.RenewLease(ctx, t.lease, TTL)
	var lost *jkplatform.ConflictError
	switch {
	case err == nil:
		c.mu.Lock()
		t.until, t.renewed = now.Add(TTL), now
		c.mu.Unlock()
	case errors.As(err, &lost), now.After(t.until):
		c.endTerm(t, "the lease is lost")
	}
}

// endTerm stops all orders until the lease is held again.
func (c *Controller) endTerm(t *term, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != t {
		return
	}
	c.term = nil
	c.asked = c.options.Timer.Now()
	c.options.Log.Warn("this host no longer controls the zone's engines", "reason", reason, "token", t.lease.Token)
}

func (c *Controller) acquire(now time.Time) bool {
	retry := otherRetry
	if c.options.IsLeader() {
		retry = leaderRetry
	}
	if now.Sub(c.asked) < retry {
		return false
	}
	c.asked = now
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	lease, err := c.options.Platform.AcquireLease(ctx, LeaseKey(c.options.Limits.Zone), c.options.Host(), TTL)
	if err != nil {
		c.noteHolder(err)
		return false
	}
	c.begin(now, lease)
	return true
}

func (c *Controller) noteHolder(err error) {
	var exists *jkplatform.ExistsError
	if errors.As(err, &exists) {
		c.mu.Lock()
		c.holder = string(exists.Present.Value)
		c.mu.Unlock()
	}
}

// begin starts a term. The former holder's last renewal was sent before the
// platform granted this lease, so its lease has ended by its own count one TTL
// after the answer at the latest. That holds without trust in the platform's
// clock. An order that it checked just before takes effect within Delivery.
func (c *Controller) begin(sent time.Time, lease jkplatform.Lease) {
	now := c.options.Timer.Now()
	t := &term{lease: lease, until: sent.Add(TTL), renewed: sent, barrier: now.Add(TTL + Delivery)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
	c.holder = ""
	c.revision = 0
	c.core.BeginTerm(now, t.barrier)
	c.options.Log.Info("this host controls the zone's engines", "token", lease.Token, "zone", c.options.Limits.Zone)
}

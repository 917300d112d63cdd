package jkcontrol

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkplatform"
)

// haltPrefix returns the prefix of the platform's keys for a zone's halted rollouts.
// A halt is stored so that the next controller doesn't try the version on one more
// engine. Each model has one record, which every halt and every resumption writes; the
// model in the record is empty after a resumption.
func haltPrefix(zone string) string { return "orders/halt/" + zone + "/" }

// restoreHalts reads the halts of former controllers once in a term. No
// orders are sent before that.
func (c *Controller) restoreHalts() bool {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil || t.haltsRestored {
		return t != nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	records, err := c.options.Platform.List(ctx, haltPrefix(c.options.Limits.Zone))
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		var h jkorder.Halt
		if err := json.Unmarshal(r.Value, &h); err != nil {
			c.options.Log.Error("stored halt of a rollout can't be decoded", err, "key", r.Key)
			continue
		}
		c.core.RestoreHalt(h)
	}
	for _, h := range c.unsavedHalts {
		c.core.RestoreHalt(h)
	}
	t.haltsRestored = true
	return true
}

// saveHalts stores the halted rollouts at the platform. A failed write is retried on
// the next tick.
func (c *Controller) saveHalts() {
	c.mu.Lock()
	for _, h := range c.core.TakeHalts() {
		c.unsavedHalts[h.Model] = h
		c.options.Log.Warn("rollout halted", "model", h.Model, "version", h.Version, "endpoint", h.Engine, "reason", h.Reason)
	}
	halts := make([]jkorder.Halt, 0, len(c.unsavedHalts))
	for _, h := range c.unsavedHalts {
		halts = append(halts, h)
	}
	c.mu.Unlock()
	for _, h := range halts {
		if c.writeHalt(h.Model, h) != nil {
			return
		}
		c.mu.Lock()
		delete(c.unsavedHalts, h.Model)
		c.mu.Unlock()
	}
}

// writeHalt creates or replaces the record of a model's halt.
func (c *Controller) writeHalt(model string, h jkorder.Halt) error {
	value, err := json.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encode halt")
	}
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	key := haltPrefix(c.options.Limits.Zone) + model
	_, err = c.options.Platform.Create(ctx, key, value)
	var exists *jkplatform.ExistsError
	if errors.As(err, &exists) {
		_, err = c.options.Platform.CompareAndSwap(ctx, key, value, exists.Present.Version)
	}
	return err
}

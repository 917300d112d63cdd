package jkcontrol

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkplatform"
)

// A halted rollout is kept at the platform, so that the next controller doesn't
// try the version on one more engine. One record is written for each halt and
// each resumption; its model is empty after a resumption.
func haltPrefix(zone string) string { return "orders/halt/" + zone + "/" }

// restore reads the halts of former controllers once in a term. There are no
// orders before that.
func (c *Controller) restore() bool {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil || t.restored {
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
			c.options.Log.Error("record of a halted rollout can't be read", err, "key", r.Key)
			continue
		}
		c.core.RestoreHalt(h)
	}
	for _, h := range c.unsaved {
		c.core.RestoreHalt(h)
	}
	t.restored = true
	return true
}

// saveHalts writes the rollouts that were halted. A record that can't be written
// is tried again on the next tick.
func (c *Controller) saveHalts() {
	c.mu.Lock()
	for _, h := range c.core.TakeHalts() {
		c.unsaved[h.Model] = h
		c.options.Log.Warn("rollout is halted", "model", h.Model, "version", h.Version, "endpoint", h.Engine, "reason", h.Reason)
	}
	halts := make([]jkorder.Halt, 0, len(c.unsaved))
	for _, h := range c.unsaved {
		halts = append(halts, h)
	}
	c.mu.Unlock()
	for _, h := range halts {
		if c.write(h.Model, h) != nil {
			return
		}
		c.mu.Lock()
		delete(c.unsaved, h.Model)
		c.mu.Unlock()
	}
}

func (c *Controller) write(model string, h jkorder.Halt) error {
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

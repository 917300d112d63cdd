package jkorder

import "time"

// move shifts one replica from the model with the least load per replica to the
// one with the most. The sum of the configured replicas stays, and each model
// keeps one. Hysteresis keeps a replica from moving to and fro: the load must
// differ by MoveRatio even after the move, for MoveAfter.
func (c *Core) move(now time.Time) {
	hot := c.hottest()
	for _, m := range c.models {
		if m != hot {
			m.hotSince = time.Time{}
		}
	}
	if hot == nil {
		return
	}
	cold := c.coldest(now, hot)
	if cold == nil || hot.demand/float64(hot.target()) <= c.options.MoveRatio*cold.demand/float64(cold.target()-1) {
		hot.hotSince = time.Time{}
		return
	}
	if hot.hotSince.IsZero() {
		hot.hotSince = now
	}
	if now.Sub(hot.hotSince) < c.options.MoveAfter || now.Sub(c.movedAt) < c.options.MovePause {
		return
	}
	hot.moved++
	cold.moved--
	hot.hotSince = time.Time{}
	c.movedAt = now
}

// hottest returns the movable model with the most load per replica, above one
// call per replica.
func (c *Core) hottest() *model {
	var hot *model
	for _, name := range c.names {
		m := c.models[name]
		if m.spec.Replicas == 0 || m.target() < 1 || m.rollout.Phase == PhaseHalted || m.demand <= float64(m.target()) {
			continue
		}
		if hot == nil || m.demand*float64(hot.target()) > hot.demand*float64(m.target()) {
			hot = m
		}
	}
	return hot
}

// coldest returns the model that gives up a replica most easily: one that an
// engine holds which could hold the hot model.
func (c *Core) coldest(now time.Time, hot *model) *model {
	var cold *model
	for _, name := range c.names {
		m := c.models[name]
		if m == hot || m.spec.Replicas == 0 || m.target() < 2 || m.rollout.Phase != PhaseSettled || !c.canSwap(now, m, hot) {
			continue
		}
		if cold == nil || m.demand*float64(cold.target()-1) < cold.demand*float64(m.target()-1) {
			cold = m
		}
	}
	return cold
}

func (c *Core) canSwap(now time.Time, from, to *model) bool {
	for _, e := range c.holders(now, from) {
		if e.canHold(to.spec.Name) && !e.holds(to.spec.Name) {
			return true
		}
	}
	return false
}

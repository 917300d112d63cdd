package jkorder

import "time"

// moveReplica moves one replica from the model with the least load per replica to the
// one with the most. The sum of the configured replicas stays the same, and each model
// keeps at least one. Hysteresis keeps a replica from moving back and forth: the load
// must differ by MoveRatio even after the move, for MoveAfter.
func (c *Core) moveReplica(now time.Time) {
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
	if now.Sub(hot.hotSince) < c.options.MoveAfter || now.Sub(c.lastMoveAt) < c.options.MovePause {
		return
	}
	hot.moved++
	cold.moved--
	hot.hotSince = time.Time{}
	c.lastMoveAt = now
}

// hottest returns the model with the most load per replica among those that may get a
// replica and have more than one call per replica.
func (c *Core) hottest() *model {
	var hot *model
	for _, name := range c.modelNames {
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

// coldest returns the model that would have the least load per replica after it gives
// up one, among those held by an engine that could hold the hot model.
func (c *Core) coldest(now time.Time, hot *model) *model {
	var cold *model
	for _, name := range c.modelNames {
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

// canSwap reports whether an engine that holds one model could hold the other instead.
func (c *Core) canSwap(now time.Time, from, to *model) bool {
	for _, e := range c.holders(now, from) {
		if e.canHold(to.spec.Name) && !e.holds(to.spec.Name) {
			return true
		}
	}
	return false
}

package jkorder

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// setShares divides the replicas of each model among the zones in proportion to the
// engines that can hold it. All zones compute the same division from the same revision.
// Moved replicas keep their place unless a share has changed.
func (c *Core) setShares() {
	same, sum := true, 0
	for _, name := range c.modelNames {
		m := c.models[name]
		capable := map[string]int{}
		m.otherZoneEngines = nil
		for _, id := range c.engineIDs {
			e := c.engines[id]
			if !e.canHold(name) {
				continue
			}
			if len(m.spec.Endpoints) == 0 || slices.Contains(m.spec.Endpoints, id) {
				capable[e.spec.Zone]++
			}
			if !c.inZone(e) {
				m.otherZoneEngines = append(m.otherZoneEngines, e)
			}
		}
		m.shares = capable
		if len(m.spec.Endpoints) == 0 {
			m.shares = divide(m.spec.Replicas, capable)
		}
		same = same && m.share == m.shares[c.options.Zone]
		m.share = m.shares[c.options.Zone]
		sum += m.moved
	}
	if same && sum == 0 {
		return
	}
	for _, m := range c.models {
		m.moved = 0
	}
}

// divide assigns replicas one by one, each to the zone with the lowest ratio of
// replicas to capable engines.
func divide(replicas int, capable map[string]int) map[string]int {
	zones := slices.Sorted(maps.Keys(capable))
	assigned := map[string]int{}
	for range replicas {
		best := ""
		for _, z := range zones {
			// Compares (assigned+1)/capable without division.
			if assigned[z] < capable[z] && (best == "" || (assigned[z]+1)*capable[best] < (assigned[best]+1)*capable[z]) {
				best = z
			}
		}
		if best == "" {
			break
		}
		assigned[best]++
	}
	return assigned
}

// ordersFor returns at most limit orders for one model. Missing replicas are loaded
// before surplus ones are unloaded.
func (c *Core) ordersFor(now time.Time, m *model, limit int) []Command {
	if m.rollout.Phase == PhaseHalted || !c.isFullyObserved(now, m) {
		return nil
	}
	out := c.rolloutOrder(now, m)
	for len(out) < limit {
		cmd, ok := c.loadOrder(now, m)
		if !ok {
			break
		}
		out = append(out, cmd)
	}
	if len(out) < limit {
		out = append(out, c.adapterOrder(now, m)...)
	}
	if len(out) < limit {
		out = append(out, c.unloadOrder(now, m)...)
	}
	return out
}

// isFullyObserved reports whether the state of every engine that may hold the model is
// known in this term. Until then an existing replica could be counted as missing.
func (c *Core) isFullyObserved(now time.Time, m *model) bool {
	return !slices.ContainsFunc(c.zoneEngines, func(e *engine) bool {
		return e.canHold(m.spec.Name) && e.observedAt.IsZero() && !c.isLost(now, e)
	})
}

// holders returns the engines of the zone that hold a model or have a pending order to
// load it, without those that must not hold it, are ordered to unload it or are lost.
func (c *Core) holders(now time.Time, m *model) []*engine {
	var out []*engine
	for _, e := range c.zoneEngines {
		if !e.canHold(m.spec.Name) || m.mustNotHold(e) || c.isLost(now, e) {
			continue
		}
		holds := e.holds(m.spec.Name)
		if p := e.pending; p != nil && p.order.Model == m.spec.Name {
			holds = holds && p.order.Kind != jkendpoint.OrderUnload || p.order.Kind == jkendpoint.OrderLoad
		}
		if holds {
			out = append(out, e)
		}
	}
	return out
}

// mustHold reports whether the engine must hold the model: because of the operator's
// pin or, without one, because the configuration names the engine.
func (m *model) mustHold(e *engine) bool {
	if pin, ok := e.pins[m.spec.Name]; ok {
		return pin
	}
	return slices.Contains(m.spec.Endpoints, e.spec.ID)
}

// mustNotHold reports whether the engine must not hold the model: because of the
// operator's pin or, without one, because the configuration names only other engines.
func (m *model) mustNotHold(e *engine) bool {
	if pin, ok := e.pins[m.spec.Name]; ok {
		return !pin
	}
	return len(m.spec.Endpoints) > 0 && !slices.Contains(m.spec.Endpoints, e.spec.ID)
}

// loadOrder returns an order to load one more replica if one is missing.
func (c *Core) loadOrder(now time.Time, m *model) (Command, bool) {
	holders := c.holders(now, m)
	missing := m.target() - len(holders)
	if m.surge {
		missing++
	}
	// Only one engine loads a version until one has loaded it successfully.
	if !c.isVersionProven(now, m) && c.isLoadInProgress(m) {
		return Command{}, false
	}
	e := c.loadTarget(now, m, missing > 0)
	if e == nil || !c.takeLoadToken(now) {
		return Command{}, false
	}
	return c.newCommand(now, e, jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: m.spec.Name, Version: m.spec.version()}), true
}

// loadTarget returns the engine for one more replica: one that must hold the model or
// else, if anyEngine is set, the one with the fewest models and calls. It returns nil
// if an engine that unloads a model at present will have fewer models than that one.
func (c *Core) loadTarget(now time.Time, m *model, anyEngine bool) *engine {
	var best *engine
	fewestAfterUnload := math.MaxInt
	for _, e := range c.zoneEngines {
		if !e.canHold(m.spec.Name) || e.holds(m.spec.Name) || m.mustNotHold(e) || now.Before(e.backoff[m.spec.Name]) {
			continue
		}
		if !c.mayOrder(now, e) {
			if e.pending != nil && e.pending.order.Kind == jkendpoint.OrderUnload && !e.unreachable {
				fewestAfterUnload = min(fewestAfterUnload, len(e.state.Models)-1)
			}
			continue
		}
		if m.mustHold(e) {
			return e
		}
		if anyEngine && (best == nil || cmp.Or(len(e.state.Models)-len(best.state.Models), e.running-best.running) < 0) {
			best = e
		}
	}
	if best != nil && fewestAfterUnload < len(best.state.Models) {
		return nil
	}
	return best
}

// adapterOrder returns an order to load the model's adapter where it is missing.
func (c *Core) adapterOrder(now time.Time, m *model) []Command {
	if m.spec.Adapter == "" {
		return nil
	}
	for _, e := range c.holders(now, m) {
		_, has := e.find(e.state.Adapters, m.spec.Adapter)
		if has || !c.mayOrder(now, e) || now.Before(e.backoff[m.spec.Name]) || !e.isReady(m.spec.Name) || !c.takeLoadToken(now) {
			continue
		}
		return []Command{c.newCommand(now, e, jkendpoint.Order{Kind: jkendpoint.OrderAdapter, Adapter: m.spec.Adapter, Model: m.spec.Name})}
	}
	return nil
}

// unloadOrder returns an order to unload the model from one engine that shouldn't hold
// it.
func (c *Core) unloadOrder(now time.Time, m *model) []Command {
	surplus := len(c.holders(now, m)) - m.target()
	var worst *engine
	for _, e := range c.zoneEngines {
		if !c.mayOrder(now, e) || !e.holds(m.spec.Name) || e.spec.Leaving || m.mustHold(e) {
			continue
		}
		unwanted := m.mustNotHold(e) || !e.canHold(m.spec.Name)
		if !unwanted && (surplus <= 0 || c.readyOthers(now, m, e) < m.target()) {
			continue
		}
		if !c.mayUnload(now, m, e) {
			continue
		}
		if worst == nil || m.compareSurplus(e, worst) >= 0 {
			worst = e
		}
	}
	if worst == nil {
		return nil
	}
	return []Command{c.newCommand(now, worst, jkendpoint.Order{Kind: jkendpoint.OrderUnload, Model: m.spec.Name})}
}

// compareSurplus returns a positive number if the replica on a should be unloaded
// rather than the one on b: an old version goes first, then the engine with more
// models, then the one with fewer calls.
func (m *model) compareSurplus(a, b *engine) int {
	old := func(e *engine) int {
		if e.version(m.spec.Name) != m.spec.version() {
			return 1
		}
		return 0
	}
	return cmp.Or(old(a)-old(b), len(a.state.Models)-len(b.state.Models), b.running-a.running)
}

// readyOthers returns the number of ready replicas of the zone, without that of one
// engine. A replica that is about to be unloaded or reloaded doesn't count.
func (c *Core) readyOthers(now time.Time, m *model, except *engine) int {
	n := 0
	for _, e := range c.zoneEngines {
		if e != except && c.isServing(now, m, e) {
			n++
		}
	}
	return n
}

// isServing reports whether an engine's replica of a model is ready and recently
// observed, and neither a pending order nor the configuration takes it away.
func (c *Core) isServing(now time.Time, m *model, e *engine) bool {
	return !e.spec.Leaving && e.pending == nil && c.isFresh(now, e) && e.isReady(m.spec.Name)
}

// mayUnload reports whether an engine may unload the model: another replica serves it,
// or it is not in use. A replica of another zone counts only with the wanted version,
// because that zone's rollout may otherwise be about to reload it.
func (c *Core) mayUnload(now time.Time, m *model, e *engine) bool {
	return c.mayReload(now, m, e, m.spec.version())
}

// mayReload reports whether an engine may stop serving the model while it loads another
// version. A replica of another zone counts with any version if version is empty,
// because the zones roll out one after the other; otherwise only with the given
// version.
func (c *Core) mayReload(now time.Time, m *model, e *engine, version string) bool {
	if !e.isReady(m.spec.Name) || c.readyOthers(now, m, e) > 0 || now.Sub(m.lastUsed) > c.options.Idle {
		return true
	}
	return slices.ContainsFunc(m.otherZoneEngines, func(o *engine) bool {
		return m.shares[o.spec.Zone] > 0 && c.isServing(now, m, o) && (version == "" || o.servesVersion(m.spec.Name, version))
	})
}

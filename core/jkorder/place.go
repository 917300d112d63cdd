package jkorder

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// setShares divides the replicas of each model among the zones in proportion to
// the engines that can hold it. All zones compute the same division from the
// same revision. Replicas that have moved stay so unless a share has changed.
func (c *Core) setShares() {
	same, sum := true, 0
	for _, name := range c.names {
		m := c.models[name]
		able := map[string]int{}
		m.foreign = nil
		for _, id := range c.order {
			e := c.engines[id]
			if !e.canHold(name) {
				continue
			}
			if len(m.spec.Endpoints) == 0 || slices.Contains(m.spec.Endpoints, id) {
				able[e.spec.Zone]++
			}
			if !c.isOwn(e) {
				m.foreign = append(m.foreign, e)
			}
		}
		m.shares = able
		if len(m.spec.Endpoints) == 0 {
			m.shares = divide(m.spec.Replicas, able)
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

// divide gives out replicas one by one, each to the zone with the lowest ratio
// of replicas to engines.
func divide(replicas int, able map[string]int) map[string]int {
	zones := slices.Sorted(maps.Keys(able))
	given := map[string]int{}
	for range replicas {
		best := ""
		for _, z := range zones {
			// (given+1)/able, compared without division.
			if given[z] < able[z] && (best == "" || (given[z]+1)*able[best] < (given[best]+1)*able[z]) {
				best = z
			}
		}
		if best == "" {
			break
		}
		given[best]++
	}
	return given
}

// place returns the orders for one model, at most limit. Replicas are loaded
// before surplus ones are unloaded.
func (c *Core) place(now time.Time, m *model, limit int) []Command {
	if m.rollout.Phase == PhaseHalted || !c.isSurveyed(now, m) {
		return nil
	}
	out := c.rollOut(now, m)
	for len(out) < limit {
		cmd, ok := c.load(now, m)
		if !ok {
			break
		}
		out = append(out, cmd)
	}
	if len(out) < limit {
		out = append(out, c.adapt(now, m)...)
	}
	if len(out) < limit {
		out = append(out, c.unload(now, m)...)
	}
	return out
}

// isSurveyed reports whether the state of every engine that may hold the model
// is known in this term. Before, a replica could be taken for missing.
func (c *Core) isSurveyed(now time.Time, m *model) bool {
	return !slices.ContainsFunc(c.own, func(e *engine) bool {
		return e.canHold(m.spec.Name) && e.seen.IsZero() && !c.isLost(now, e)
	})
}

// holders returns the engines of the zone that hold a model or have been told
// to, without those that shall drop it or are lost.
func (c *Core) holders(now time.Time, m *model) []*engine {
	var out []*engine
	for _, e := range c.own {
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

// mustHold and mustNotHold tell whether an engine is named by the configuration
// or by the operator.
func (m *model) mustHold(e *engine) bool {
	if pin, ok := e.pins[m.spec.Name]; ok {
		return pin
	}
	return slices.Contains(m.spec.Endpoints, e.spec.ID)
}

func (m *model) mustNotHold(e *engine) bool {
	if pin, ok := e.pins[m.spec.Name]; ok {
		return !pin
	}
	return len(m.spec.Endpoints) > 0 && !slices.Contains(m.spec.Endpoints, e.spec.ID)
}

// load orders one more replica where one is missing.
func (c *Core) load(now time.Time, m *model) (Command, bool) {
	holders := c.holders(now, m)
	missing := m.target() - len(holders)
	if m.surge {
		missing++
	}
	// Until one engine has shown that the version loads, only one tries.
	if !c.isProven(now, m) && c.isBusy(m) {
		return Command{}, false
	}
	e := c.loadTarget(now, m, missing > 0)
	if e == nil || !c.takeLoad(now) {
		return Command{}, false
	}
	return c.command(now, e, jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: m.spec.Name, Version: m.spec.version()}), true
}

// loadTarget returns the engine for one more replica: one that is named, or
// else, if any will do, the one with the fewest models and calls. It returns nil
// while an engine that is about to drop a model will be the better one.
func (c *Core) loadTarget(now time.Time, m *model, anyone bool) *engine {
	var best *engine
	soon := math.MaxInt
	for _, e := range c.own {
		if !e.canHold(m.spec.Name) || e.holds(m.spec.Name) || m.mustNotHold(e) || now.Before(e.backoff[m.spec.Name]) {
			continue
		}
		if !c.mayOrder(now, e) {
			if e.pending != nil && e.pending.order.Kind == jkendpoint.OrderUnload && !e.silent {
				soon = min(soon, len(e.state.Models)-1)
			}
			continue
		}
		if m.mustHold(e) {
			return e
		}
		if anyone && (best == nil || cmp.Or(len(e.state.Models)-len(best.state.Models), e.running-best.running) < 0) {
			best = e
		}
	}
	if best != nil && soon < len(best.state.Models) {
		return nil
	}
	return best
}

// adapt orders the model's adapter where it is missing.
func (c *Core) adapt(now time.Time, m *model) []Command {
	if m.spec.Adapter == "" {
		return nil
	}
	for _, e := range c.holders(now, m) {
		_, has := e.find(e.state.Adapters, m.spec.Adapter)
		if has || !c.mayOrder(now, e) || now.Before(e.backoff[m.spec.Name]) || !e.isReady(m.spec.Name) || !c.takeLoad(now) {
			continue
		}
		return []Command{c.command(now, e, jkendpoint.Order{Kind: jkendpoint.OrderAdapter, Adapter: m.spec.Adapter, Model: m.spec.Name})}
	}
	return nil
}

// unload orders one engine to drop the model where it is not wanted.
func (c *Core) unload(now time.Time, m *model) []Command {
	surplus := len(c.holders(now, m)) - m.target()
	var worst *engine
	for _, e := range c.own {
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
	return []Command{c.command(now, worst, jkendpoint.Order{Kind: jkendpoint.OrderUnload, Model: m.spec.Name})}
}

// compareSurplus is positive if the replica on a is the better one to give up:
// one with an old version, on an engine with more models, with fewer calls.
func (m *model) compareSurplus(a, b *engine) int {
	old := func(e *engine) int {
		if e.version(m.spec.Name) != m.spec.version() {
			return 1
		}
		return 0
	}
	return cmp.Or(old(a)-old(b), len(a.state.Models)-len(b.state.Models), b.running-a.running)
}

// readyOthers counts the ready replicas of the zone besides one engine. A
// replica about to be taken down doesn't count.
func (c *Core) readyOthers(now time.Time, m *model, not *engine) int {
	n := 0
	for _, e := range c.own {
		if e != not && c.isServing(now, m, e) {
			n++
		}
	}
	return n
}

func (c *Core) isServing(now time.Time, m *model, e *engine) bool {
	return !e.spec.Leaving && e.pending == nil && c.isFresh(now, e) && e.isReady(m.spec.Name)
}

// mayUnload reports whether an engine may drop the model: another replica serves
// it, or nobody uses it. A replica of another zone counts only with the wanted
// version, because its own rollout may otherwise be about to take it down.
func (c *Core) mayUnload(now time.Time, m *model, e *engine) bool {
	return c.mayReload(now, m, e, m.spec.version())
}

// mayReload reports whether an engine may stop serving the model while it loads
// another version. A replica of another zone counts with any version, because
// the zones take turns; only a version given restricts it.
func (c *Core) mayReload(now time.Time, m *model, e *engine, version string) bool {
	if !e.isReady(m.spec.Name) || c.readyOthers(now, m, e) > 0 || now.Sub(m.used) > c.options.Idle {
		return true
	}
	return slices.ContainsFunc(m.foreign, func(o *engine) bool {
		return m.shares[o.spec.Zone] > 0 && c.isServing(now, m, o) && (version == "" || o.runs(m.spec.Name, version))
	})
}

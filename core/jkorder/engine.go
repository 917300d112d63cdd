package jkorder

import (
	"cmp"
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

func (c *Core) isOwn(e *engine) bool { return e.spec.Zone == c.options.Zone }

// isFresh reports whether the engine's state is known well enough to act on.
func (c *Core) isFresh(now time.Time, e *engine) bool {
	return !e.silent && !e.seen.IsZero() && now.Sub(e.seen) <= c.options.Fresh
}

// mayOrder reports whether an engine may get an order now: its state was read
// after the term's barrier and no earlier order is pending.
func (c *Core) mayOrder(now time.Time, e *engine) bool {
	return c.isOwn(e) && e.pending == nil && !e.isLoading() && c.isFresh(now, e) &&
		!now.Before(e.orderAt) && !e.seen.Before(e.orderAt)
}

func (e *engine) find(list []jkendpoint.ModelState, name string) (jkendpoint.ModelState, bool) {
	i := slices.IndexFunc(list, func(m jkendpoint.ModelState) bool { return m.Name == name })
	if i < 0 {
		return jkendpoint.ModelState{}, false
	}
	return list[i], true
}

func (e *engine) holds(name string) bool {
	_, ok := e.find(e.state.Models, name)
	return ok
}

func (e *engine) version(name string) string {
	m, _ := e.find(e.state.Models, name)
	return m.Version
}

func (e *engine) isReady(name string) bool {
	m, ok := e.find(e.state.Models, name)
	return ok && m.Phase == jkendpoint.ModelReady
}

// runs reports whether the engine serves exactly this version.
func (e *engine) runs(name, version string) bool {
	return e.isReady(name) && e.version(name) == version
}

func (e *engine) isLoading() bool {
	loading := func(m jkendpoint.ModelState) bool { return m.Phase == jkendpoint.ModelLoading }
	return slices.ContainsFunc(e.state.Models, loading) || slices.ContainsFunc(e.state.Adapters, loading)
}

func (e *engine) canHold(name string) bool {
	return !e.spec.Leaving && slices.Contains(e.spec.Models, name)
}

// Reads returns the engines to ask for their state now: first those with a
// pending order, then those of models with something to do, then the others.
// Engines of other zones are read only for models with something to do.
func (c *Core) Reads(now time.Time) []Command {
	urgent := c.urgent(now)
	class := func(e *engine) int {
		switch {
		case e.pending != nil:
			return 0
		case urgent[e]:
			return 1
		}
		return 2
	}
	due := slices.Clone(c.own)
	for e := range urgent {
		if !c.isOwn(e) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), a.asked.Compare(b.asked), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	var out []Command
	for _, e := range due[:min(len(due), c.options.MaxReads)] {
		e.asked = now
		out = append(out, Command{Engine: e.spec.ID, Addr: e.spec.Addr, ChecksFencing: e.spec.ChecksFencing})
	}
	return out
}

// urgent returns the engines of models that want a load, an unload or another
// version.
func (c *Core) urgent(now time.Time) map[*engine]bool {
	out := map[*engine]bool{}
	for _, m := range c.models {
		if m.rollout.Phase == PhaseHalted || c.outdated(now, m) == nil && len(c.holders(now, m)) == m.target() {
			continue
		}
		for _, e := range c.own {
			if e.canHold(m.spec.Name) || e.holds(m.spec.Name) {
				out[e] = true
			}
		}
		for _, e := range m.foreign {
			out[e] = true
		}
	}
	return out
}

// Observe takes the state that an engine gave to a question asked at the given
// time.
func (c *Core) Observe(asked time.Time, id string, s jkendpoint.State) {
	e := c.engines[id]
	if e == nil || asked.Before(e.seen) {
		return
	}
	e.state, e.seen, e.silent = s, asked, false
	if c.isOwn(e) {
		c.settle(asked, e)
		c.adopt(asked, e)
	}
}

// Unreachable notes that an engine did not tell its state.
func (c *Core) Unreachable(asked time.Time, id string) {
	e := c.engines[id]
	if e == nil {
		return
	}
	if !e.silent {
		e.silentAt = asked
	}
	e.silent = true
}

// isLost reports whether an engine has been silent for so long that its
// replicas are replaced.
func (c *Core) isLost(now time.Time, e *engine) bool {
	return e.silent && now.Sub(e.silentAt) > c.options.Fresh
}

// adopt watches a load that a former controller has started.
func (c *Core) adopt(asked time.Time, e *engine) {
	if e.pending != nil {
		return
	}
	for _, s := range e.state.Models {
		if s.Phase == jkendpoint.ModelLoading && c.models[s.Name] != nil {
			e.pending = &pending{since: asked, order: jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: s.Name, Version: s.Version}}
			return
		}
	}
}

// SetLoads takes the running and queued calls of each engine as its dispatcher
// reports them. The calls of an engine that holds several models count in equal
// parts, because dispatchers don't report them by model.
func (c *Core) SetLoads(now time.Time, calls map[string]int) {
	demand := map[string]float64{}
	for id, n := range calls {
		e := c.engines[id]
		if e == nil || !c.isOwn(e) {
			continue
		}
		e.running = n
		for _, m := range e.state.Models {
			demand[m.Name] += float64(n) / float64(len(e.state.Models))
		}
	}
	for name, m := range c.models {
		if demand[name] > 0 {
			m.used = now
		}
		// Smoothing over about ten ticks keeps single bursts out of the moves.
		m.demand += (demand[name] - m.demand) / 10
	}
}

// settle ends a pending order that the observed state confirms or refutes. The
// state must have been asked for after the order was sent.
func (c *Core) settle(asked time.Time, e *engine) {
	p := e.pending
	if p == nil || !asked.After(p.since) {
		return
	}
	o := p.order
	switch o.Kind {
	case jkendpoint.OrderUnload:
		if !e.holds(o.Model) {
			e.pending = nil
		}
	case jkendpoint.OrderRole:
		if e.state.Role == o.Role {
			e.pending = nil
		}
	case jkendpoint.OrderAdapter:
		a, ok := e.find(e.state.Adapters, o.Adapter)
		if ok != o.Remove && (o.Remove || a.Phase == jkendpoint.ModelReady) {
			e.pending = nil
		}
	case jkendpoint.OrderLoad, jkendpoint.OrderVersion:
		c.settleLoad(asked, e, p)
	}
}

func (c *Core) settleLoad(now time.Time, e *engine, p *pending) {
	name, got := p.order.Model, e.version(p.order.Model)
	switch {
	case e.runs(name, p.order.Version):
		e.pending = nil
		delete(e.failures, name)
		delete(e.backoff, name)
	case e.isReady(name) && got != p.former:
		c.fail(now, e, p.order, "engine reports version "+shown(got)+" instead of "+shown(p.order.Version))
	}
}

func shown(version string) string {
	if version == "" {
		return "(none)"
	}
	return version
}

// Sent takes the result of an order.
func (c *Core) Sent(now time.Time, cmd Command, r Result, detail string) {
	e := c.engines[cmd.Engine]
	if e == nil || e.pending == nil || e.pending.order != cmd.Order {
		return
	}
	switch r {
	case ResultAccepted, ResultUncertain:
		// A state asked for while the order was on its way doesn't count.
		e.pending.since = now
	case ResultNotSent:
		e.pending = nil
	case ResultRefused:
		c.fail(now, e, cmd.Order, "order refused: "+detail)
	}
}

// expire fails orders that have not taken effect in time.
func (c *Core) expire(now time.Time) {
	for _, e := range c.own {
		if e.pending != nil && now.Sub(e.pending.since) > c.options.LoadTimeout {
			c.fail(now, e, e.pending.order, "no effect within "+c.options.LoadTimeout.String())
		}
	}
}

package jkorder

import (
	"cmp"
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// inZone reports whether an engine belongs to the zone of this core.
func (c *Core) inZone(e *engine) bool { return e.spec.Zone == c.options.Zone }

// isFresh reports whether an engine responds and its observed state is recent enough to
// act on.
func (c *Core) isFresh(now time.Time, e *engine) bool {
	return !e.unreachable && !e.observedAt.IsZero() && now.Sub(e.observedAt) <= c.options.MaxStateAge
}

// mayOrder reports whether an order may be sent to an engine now: its state was read
// after the barrier of the term, no earlier order is pending and it loads nothing.
func (c *Core) mayOrder(now time.Time, e *engine) bool {
	return c.inZone(e) && e.pending == nil && !e.isLoading() && c.isFresh(now, e) &&
		!now.Before(e.noOrderBefore) && !e.observedAt.Before(e.noOrderBefore)
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

// servesVersion reports whether the engine has exactly this version of a model ready.
func (e *engine) servesVersion(name, version string) bool {
	return e.isReady(name) && e.version(name) == version
}

func (e *engine) isLoading() bool {
	loading := func(m jkendpoint.ModelState) bool { return m.Phase == jkendpoint.ModelLoading }
	return slices.ContainsFunc(e.state.Models, loading) || slices.ContainsFunc(e.state.Adapters, loading)
}

// canHold reports whether the configuration permits the engine to hold a model.
func (e *engine) canHold(name string) bool {
	return !e.spec.Leaving && slices.Contains(e.spec.Models, name)
}

// DueReads returns the engines whose state is to be read now: first those with a pending
// order, then those of models with work to do, then the others; within a group the one
// read longest ago comes first. Engines of other zones are read only for models with
// work to do.
func (c *Core) DueReads(now time.Time) []Command {
	enginesWithWork := c.enginesWithWork(now)
	class := func(e *engine) int {
		switch {
		case e.pending != nil:
			return 0
		case enginesWithWork[e]:
			return 1
		}
		return 2
	}
	due := slices.Clone(c.zoneEngines)
	for e := range enginesWithWork {
		if !c.inZone(e) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), a.readAt.Compare(b.readAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	var out []Command
	for _, e := range due[:min(len(due), c.options.MaxReads)] {
		e.readAt = now
		out = append(out, Command{Engine: e.spec.ID, Addr: e.spec.Addr, ChecksFencing: e.spec.ChecksFencing})
	}
	return out
}

// enginesWithWork returns the engines of models that need a load, an unload or another
// version.
func (c *Core) enginesWithWork(now time.Time) map[*engine]bool {
	out := map[*engine]bool{}
	for _, m := range c.models {
		if m.rollout.Phase == PhaseHalted || c.outdated(now, m) == nil && len(c.holders(now, m)) == m.target() {
			continue
		}
		for _, e := range c.zoneEngines {
			if e.canHold(m.spec.Name) || e.holds(m.spec.Name) {
				out[e] = true
			}
		}
		for _, e := range m.otherZoneEngines {
			out[e] = true
		}
	}
	return out
}

// Observe records the state of an engine. ReadAt is the time at which the read was
// sent, so that an older state doesn't replace a newer one.
func (c *Core) Observe(readAt time.Time, id string, s jkendpoint.State) {
	e := c.engines[id]
	if e == nil || readAt.Before(e.observedAt) {
		return
	}
	e.state, e.observedAt, e.unreachable = s, readAt, false
	if c.inZone(e) {
		c.resolvePending(readAt, e)
		c.adoptLoad(readAt, e)
	}
}

// MarkUnreachable records that a read of an engine's state failed.
func (c *Core) MarkUnreachable(readAt time.Time, id string) {
	e := c.engines[id]
	if e == nil {
		return
	}
	if !e.unreachable {
		e.unreachableSince = readAt
	}
	e.unreachable = true
}

// isLost reports whether an engine has been unreachable for so long that its replicas
// are replaced.
func (c *Core) isLost(now time.Time, e *engine) bool {
	return e.unreachable && now.Sub(e.unreachableSince) > c.options.MaxStateAge
}

// adoptLoad registers a load that a former controller has started as pending, so that
// it is watched and can time out.
func (c *Core) adoptLoad(readAt time.Time, e *engine) {
	if e.pending != nil {
		return
	}
	for _, s := range e.state.Models {
		if s.Phase == jkendpoint.ModelLoading && c.models[s.Name] != nil {
			e.pending = &pending{since: readAt, order: jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: s.Name, Version: s.Version}}
			return
		}
	}
}

// SetLoads updates the demand of the models from the running and queued calls that each
// engine's dispatcher reports. The calls of an engine that holds several models are
// divided equally among them, because dispatchers don't report them by model.
func (c *Core) SetLoads(now time.Time, calls map[string]int) {
	demand := map[string]float64{}
	for id, n := range calls {
		e := c.engines[id]
		if e == nil || !c.inZone(e) {
			continue
		}
		e.running = n
		for _, m := range e.state.Models {
			demand[m.Name] += float64(n) / float64(len(e.state.Models))
		}
	}
	for name, m := range c.models {
		if demand[name] > 0 {
			m.lastUsed = now
		}
		// Exponential smoothing over about ten ticks, so that a single burst moves
		// no replica.
		m.demand += (demand[name] - m.demand) / 10
	}
}

// resolvePending ends a pending order that the observed state confirms or refutes. The
// state must have been read after the order was sent.
func (c *Core) resolvePending(readAt time.Time, e *engine) {
	p := e.pending
	if p == nil || !readAt.After(p.since) {
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
		c.resolveLoad(readAt, e, p)
	}
}

// resolveLoad ends a pending load or change of version: with success if the engine
// serves the ordered version, with a failure if it serves neither that nor the previous
// one.
func (c *Core) resolveLoad(now time.Time, e *engine, p *pending) {
	name, got := p.order.Model, e.version(p.order.Model)
	switch {
	case e.servesVersion(name, p.order.Version):
		e.pending = nil
		delete(e.failures, name)
		delete(e.backoff, name)
	case e.isReady(name) && got != p.previousVersion:
		c.fail(now, e, p.order, "engine reports version "+displayVersion(got)+" instead of "+displayVersion(p.order.Version))
	}
}

func displayVersion(version string) string {
	if version == "" {
		return "(none)"
	}
	return version
}

// RecordResult records the result of sending an order.
func (c *Core) RecordResult(now time.Time, cmd Command, r Result, detail string) {
	e := c.engines[cmd.Engine]
	if e == nil || e.pending == nil || e.pending.order != cmd.Order {
		return
	}
	switch r {
	case ResultAccepted, ResultUncertain:
		// A state that was read while the order was in flight proves nothing about it.
		e.pending.since = now
	case ResultNotSent:
		e.pending = nil
	case ResultRefused:
		c.fail(now, e, cmd.Order, "order refused: "+detail)
	}
}

// failOverdue fails the orders that have not taken effect within LoadTimeout.
func (c *Core) failOverdue(now time.Time) {
	for _, e := range c.zoneEngines {
		if e.pending != nil && now.Sub(e.pending.since) > c.options.LoadTimeout {
			c.fail(now, e, e.pending.order, "no effect within "+c.options.LoadTimeout.String())
		}
	}
}

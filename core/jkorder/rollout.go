package jkorder

import (
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// Phase is the phase of a model's rollout in this zone.
type Phase string

// Phases of a rollout. A halted rollout stays so until the model's entry changes or an
// operator resumes it.
const (
	PhaseSettled Phase = "settled"
	PhaseRunning Phase = "running"
	PhaseWaiting Phase = "waiting"
	PhaseHalted  Phase = "halted"
)

// Rollout is the progress of changing one model to its wanted version.
type Rollout struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Phase    Phase  `json:"phase"`
	Engine   string `json:"engine,omitempty"` // whose change is in progress, waits or failed
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"config_revision,omitempty"` // in force at the halt
}

// Halt is the record of a halted rollout, which is stored for the next controller.
type Halt struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Engine   string `json:"engine"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"config_revision"`
	// Spec is the entry whose rollout failed. The halt doesn't apply to a changed
	// entry.
	Spec ModelSpec `json:"spec"`
}

// rolloutOrder returns the order to load the wanted version on the next engine that has
// another one. Zones roll out one after the other, by name, so that a version that
// fails does so on one engine of the site only.
func (c *Core) rolloutOrder(now time.Time, m *model) []Command {
	m.surge = false
	next := c.outdated(now, m)
	if next == nil && !c.isLoadInProgress(m) {
		m.rollout = m.settledRollout()
		return nil
	}
	if c.isLoadInProgress(m) || !c.mayOrder(now, next) {
		return nil
	}
	if zone := c.blockingZone(now, m); zone != "" {
		m.setWaiting(next, "zone "+zone+" comes first")
		return nil
	}
	if len(c.holders(now, m)) > m.target() {
		// A surplus replica is unloaded instead of changed to the wanted version.
		if out := c.unloadOrder(now, m); len(out) > 0 {
			return out
		}
	}
	if !c.mayReload(now, m, next, "") {
		m.surge = c.loadTarget(now, m, true) != nil
		m.setWaiting(next, "the last ready replica is in use")
		return nil
	}
	if !c.takeLoadToken(now) {
		m.setWaiting(next, "the weight store's limit is reached")
		return nil
	}
	m.rollout = Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseRunning, Engine: next.spec.ID}
	return []Command{c.newCommand(now, next, jkendpoint.Order{Kind: jkendpoint.OrderVersion, Model: m.spec.Name, Version: m.spec.version()})}
}

// settledRollout returns the state of a model without a rollout in progress.
func (m *model) settledRollout() Rollout {
	return Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseSettled}
}

// setWaiting records why the change of an engine's version has to wait.
func (m *model) setWaiting(e *engine, reason string) {
	m.rollout = Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseWaiting, Engine: e.spec.ID, Reason: reason}
}

// outdated returns an engine of the zone whose version differs from the wanted one.
// Versions are compared as exact strings: 1.10 differs from 1.1, and an empty version
// is no wildcard.
func (c *Core) outdated(now time.Time, m *model) *engine {
	for _, e := range c.holders(now, m) {
		if e.pending == nil && e.holds(m.spec.Name) && !e.unreachable && e.version(m.spec.Name) != m.spec.version() {
			return e
		}
	}
	return nil
}

// isLoadInProgress reports whether an engine of the zone loads the model or was ordered
// to.
func (c *Core) isLoadInProgress(m *model) bool {
	for _, e := range c.zoneEngines {
		if p := e.pending; p != nil && p.order.Model == m.spec.Name && needsWeights(p.order) {
			return true
		}
		if s, ok := e.find(e.state.Models, m.spec.Name); ok && s.Phase == jkendpoint.ModelLoading && !e.unreachable {
			return true
		}
	}
	return false
}

// isVersionProven reports whether any engine serves the wanted version.
func (c *Core) isVersionProven(now time.Time, m *model) bool {
	proves := func(e *engine) bool { return c.isFresh(now, e) && e.servesVersion(m.spec.Name, m.spec.version()) }
	return slices.ContainsFunc(c.zoneEngines, proves) || slices.ContainsFunc(m.otherZoneEngines, proves)
}

// blockingZone returns a zone whose rollout has to finish before this one's, or "". An
// unreachable engine is ignored unless all engines of its zone are unreachable.
func (c *Core) blockingZone(now time.Time, m *model) string {
	reachable, capable := map[string]bool{}, map[string]bool{}
	for _, e := range m.otherZoneEngines {
		if e.spec.Zone >= c.options.Zone {
			continue
		}
		capable[e.spec.Zone] = true
		switch {
		case e.unreachable:
		case !c.isFresh(now, e):
			return e.spec.Zone
		case e.holds(m.spec.Name) && !e.servesVersion(m.spec.Name, m.spec.version()):
			return e.spec.Zone
		default:
			reachable[e.spec.Zone] = true
		}
	}
	first := ""
	for zone := range capable {
		if !reachable[zone] && (first == "" || zone < first) {
			first = zone
		}
	}
	return first
}

// fail ends a pending order as failed. A failed change of version halts the model's
// rollout, and so does a failed load of a version that no engine serves. A failed load
// of a version that is served elsewhere is a fault of that engine, which gets no load
// of the model for a backoff.
func (c *Core) fail(now time.Time, e *engine, o jkendpoint.Order, reason string) {
	e.pending = nil
	m := c.models[o.Model]
	if m == nil || !needsWeights(o) {
		return
	}
	if o.Kind == jkendpoint.OrderVersion || o.Kind == jkendpoint.OrderLoad && !c.isVersionProven(now, m) {
		h := Halt{
			Model: m.spec.Name, Version: o.Version, Engine: e.spec.ID, Reason: reason, Revision: c.wanted.Revision, Spec: m.spec,
		}
		c.newHalts = append(c.newHalts, h)
		c.RestoreHalt(h)
		return
	}
	pause := c.options.Backoff << min(e.failures[o.Model], 10)
	e.failures[o.Model]++
	e.backoff[o.Model] = now.Add(min(pause, c.options.MaxBackoff))
}

// TakeHalts returns the rollouts that were halted since the last call.
func (c *Core) TakeHalts() []Halt {
	out := c.newHalts
	c.newHalts = nil
	return out
}

// RestoreHalt applies a halt that this or a former controller has recorded.
func (c *Core) RestoreHalt(h Halt) {
	if h.Model == "" {
		return
	}
	c.halted[h.Model] = h
	if m := c.models[h.Model]; m != nil {
		m.applyHalt(h)
	}
}

// applyHalt halts the rollout if the halt was recorded for the model's present entry.
func (m *model) applyHalt(h Halt) {
	if m.spec.equal(h.Spec) {
		m.rollout = Rollout{Model: h.Model, Version: h.Version, Phase: PhaseHalted, Engine: h.Engine, Reason: h.Reason, Revision: h.Revision}
	}
}

// Rollouts returns the rollouts of all models, sorted by name.
func (c *Core) Rollouts() []Rollout {
	out := make([]Rollout, 0, len(c.modelNames))
	for _, name := range c.modelNames {
		out = append(out, c.models[name].rollout)
	}
	return out
}

// IsHalted reports whether a model's rollout is halted.
func (c *Core) IsHalted(name string) bool {
	m := c.models[name]
	return m != nil && m.rollout.Phase == PhaseHalted
}

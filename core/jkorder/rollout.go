package jkorder

import (
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// Phase is the state of a model's rollout in this zone.
type Phase string

// Phases of a rollout. A halted one waits for a changed entry of the model or
// for an operator.
const (
	PhaseSettled Phase = "settled"
	PhaseRunning Phase = "running"
	PhaseWaiting Phase = "waiting"
	PhaseHalted  Phase = "halted"
)

// Rollout is the state of bringing one model to its wanted version.
type Rollout struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Phase    Phase  `json:"phase"`
	Engine   string `json:"engine,omitempty"` // that is in progress or failed
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"config_revision,omitempty"` // in force at the halt
}

// Halt is a stopped rollout, to be kept for the next controller.
type Halt struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Engine   string `json:"engine"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"config_revision"`
	// Spec is the entry that failed; a halt of another entry doesn't count.
	Spec ModelSpec `json:"spec"`
}

// rollOut orders the wanted version for the next engine with another one. Zones
// take turns in the order of their names, so that a version that fails does so
// on one engine of the site.
func (c *Core) rollOut(now time.Time, m *model) []Command {
	m.surge = false
	next := c.outdated(now, m)
	if next == nil && !c.isBusy(m) {
		m.rollout = m.settled()
		return nil
	}
	if c.isBusy(m) || !c.mayOrder(now, next) {
		return nil
	}
	if zone := c.earlierZone(now, m); zone != "" {
		m.wait(next, "zone "+zone+" comes first")
		return nil
	}
	if len(c.holders(now, m)) > m.target() {
		// A surplus replica is dropped rather than loaded again.
		if out := c.unload(now, m); len(out) > 0 {
			return out
		}
	}
	if !c.mayReload(now, m, next, "") {
		m.surge = c.loadTarget(now, m, true) != nil
		m.wait(next, "the last ready replica is in use")
		return nil
	}
	if !c.takeLoad(now) {
		m.wait(next, "the weight store's limit is reached")
		return nil
	}
	m.rollout = Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseRunning, Engine: next.spec.ID}
	return []Command{c.command(now, next, jkendpoint.Order{Kind: jkendpoint.OrderVersion, Model: m.spec.Name, Version: m.spec.version()})}
}

func (m *model) settled() Rollout {
	return Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseSettled}
}

func (m *model) wait(e *engine, reason string) {
	m.rollout = Rollout{Model: m.spec.Name, Version: m.spec.version(), Phase: PhaseWaiting, Engine: e.spec.ID, Reason: reason}
}

// outdated returns an engine of the zone whose version differs from the wanted
// one. Versions are compared exactly: 1.10 is not 1.1, and none is not any.
func (c *Core) outdated(now time.Time, m *model) *engine {
	for _, e := range c.holders(now, m) {
		if e.pending == nil && e.holds(m.spec.Name) && !e.silent && e.version(m.spec.Name) != m.spec.version() {
			return e
		}
	}
	return nil
}

// isBusy reports whether an engine of the zone loads the model.
func (c *Core) isBusy(m *model) bool {
	for _, e := range c.own {
		if p := e.pending; p != nil && p.order.Model == m.spec.Name && needsWeights(p.order) {
			return true
		}
		if s, ok := e.find(e.state.Models, m.spec.Name); ok && s.Phase == jkendpoint.ModelLoading && !e.silent {
			return true
		}
	}
	return false
}

// isProven reports whether any engine serves the wanted version.
func (c *Core) isProven(now time.Time, m *model) bool {
	proves := func(e *engine) bool { return c.isFresh(now, e) && e.runs(m.spec.Name, m.spec.version()) }
	return slices.ContainsFunc(c.own, proves) || slices.ContainsFunc(m.foreign, proves)
}

// earlierZone returns a zone that has to finish first, or "". Silent engines
// count only if the whole zone is silent.
func (c *Core) earlierZone(now time.Time, m *model) string {
	answered, able := map[string]bool{}, map[string]bool{}
	for _, e := range m.foreign {
		if e.spec.Zone >= c.options.Zone {
			continue
		}
		able[e.spec.Zone] = true
		switch {
		case e.silent:
		case !c.isFresh(now, e):
			return e.spec.Zone
		case e.holds(m.spec.Name) && !e.runs(m.spec.Name, m.spec.version()):
			return e.spec.Zone
		default:
			answered[e.spec.Zone] = true
		}
	}
	first := ""
	for zone := range able {
		if !answered[zone] && (first == "" || zone < first) {
			first = zone
		}
	}
	return first
}

// fail ends a pending order without success. A version that no engine has shown
// to work, and every failed change of a version, halts the model; a failed load
// of a proven version is a fault of that engine, which then pauses.
func (c *Core) fail(now time.Time, e *engine, o jkendpoint.Order, reason string) {
	e.pending = nil
	m := c.models[o.Model]
	if m == nil || !needsWeights(o) {
		return
	}
	if o.Kind == jkendpoint.OrderVersion || o.Kind == jkendpoint.OrderLoad && !c.isProven(now, m) {
		h := Halt{
			Model: m.spec.Name, Version: o.Version, Engine: e.spec.ID, Reason: reason, Revision: c.wanted.Revision, Spec: m.spec,
		}
		c.halts = append(c.halts, h)
		c.Restore(h)
		return
	}
	pause := c.options.Backoff << min(e.failures[o.Model], 10)
	e.failures[o.Model]++
	e.backoff[o.Model] = now.Add(min(pause, c.options.MaxBackoff))
}

// TakeHalts returns the rollouts that were stopped since the last call.
func (c *Core) TakeHalts() []Halt {
	out := c.halts
	c.halts = nil
	return out
}

// Restore takes a halt that this or a former controller has found.
func (c *Core) Restore(h Halt) {
	if h.Model == "" {
		return
	}
	c.kept[h.Model] = h
	if m := c.models[h.Model]; m != nil {
		m.halt(h)
	}
}

// halt stops the rollout if the halt is of the present entry.
func (m *model) halt(h Halt) {
	if m.spec.equal(h.Spec) {
		m.rollout = Rollout{Model: h.Model, Version: h.Version, Phase: PhaseHalted, Engine: h.Engine, Reason: h.Reason, Revision: h.Revision}
	}
}

// Rollouts returns the state of all models by name.
func (c *Core) Rollouts() []Rollout {
	out := make([]Rollout, 0, len(c.names))
	for _, name := range c.names {
		out = append(out, c.models[name].rollout)
	}
	return out
}

// IsHalted reports whether a model's rollout is halted.
func (c *Core) IsHalted(name string) bool {
	m := c.models[name]
	return m != nil && m.rollout.Phase == PhaseHalted
}

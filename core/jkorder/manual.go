package jkorder

import (
	"fmt"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// maxManual bounds the operator's orders that wait for one engine.
const maxManual = 16

// RequestError says why an operator's order is not possible.
type RequestError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: got %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// Request takes an operator's order for an engine. A load or unload of a model
// stays in force until the model's entry changes or the controller does. Force
// allows to unload the last ready replica of a model in use.
func (c *Core) Request(now time.Time, id string, o jkendpoint.Order, force bool) error {
	e := c.engines[id]
	if e == nil || !c.isOwn(e) {
		return &RequestError{"endpoint", id, "an engine of zone " + c.options.Zone}
	}
	if len(e.manual) >= maxManual {
		return &RequestError{"endpoint", id, "an engine with fewer waiting orders"}
	}
	m := c.models[o.Model]
	switch o.Kind {
	case jkendpoint.OrderLoad:
		if m == nil || !e.canHold(o.Model) {
			return &RequestError{"model", o.Model, "a configured model that the endpoint can hold"}
		}
		if o.Version == "" {
			o.Version = m.spec.version()
		}
		if o.Version != m.spec.version() {
			return &RequestError{"version", o.Version, "the wanted version, " + m.spec.version()}
		}
		if e.holds(o.Model) && e.version(o.Model) != o.Version {
			return &RequestError{"model", o.Model, "a model that the endpoint doesn't hold; versions change by a rollout"}
		}
		e.pins[o.Model] = true
	case jkendpoint.OrderUnload:
		if !e.holds(o.Model) {
			return &RequestError{"model", o.Model, "a model that the endpoint holds"}
		}
		if m != nil && !force && !c.mayUnload(now, m, e) {
			return &RequestError{"model", o.Model, "a model with another ready replica, or force"}
		}
		if m != nil {
			e.pins[o.Model] = false
		}
	case jkendpoint.OrderAdapter, jkendpoint.OrderRole:
	case jkendpoint.OrderVersion:
		return &RequestError{"kind", string(o.Kind), "load, unload, adapter or role"}
	}
	e.manual = append(e.manual, o)
	return nil
}

// Resume continues a halted rollout on behalf of an operator.
func (c *Core) Resume(name string) error {
	m := c.models[name]
	if m == nil || m.rollout.Phase != PhaseHalted {
		return &RequestError{"model", name, "a model whose rollout is halted"}
	}
	delete(c.kept, name)
	m.rollout = m.settled()
	return nil
}

// manualOrder returns the next of the operator's orders for an engine. The limit
// of the weight store holds for them too.
func (c *Core) manualOrder(now time.Time, e *engine) []Command {
	if len(e.manual) == 0 || !c.mayOrder(now, e) {
		return nil
	}
	o := e.manual[0]
	if o.Kind == jkendpoint.OrderLoad && e.runs(o.Model, o.Version) {
		e.manual = e.manual[1:]
		return nil
	}
	if needsWeights(o) && !c.takeLoad(now) {
		return nil
	}
	e.manual = e.manual[1:]
	return []Command{c.command(now, e, o)}
}

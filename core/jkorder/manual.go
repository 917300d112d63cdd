package jkorder

import (
	"fmt"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// maxOperatorOrders bounds the operator's orders that are queued for one engine.
const maxOperatorOrders = 16

// RequestError describes why an operator's request can't be carried out: the field, its
// value and what is allowed.
type RequestError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: got %q, allowed: %s", e.Field, e.Value, e.Allowed)
}

// Request queues an operator's order for an engine. A load or unload of a model pins
// the model to the engine, or keeps it away, until the model's entry changes or another
// controller takes over. Force permits unloading the last ready replica of a model in
// use.
func (c *Core) Request(now time.Time, id string, o jkendpoint.Order, force bool) error {
	e := c.engines[id]
	if e == nil || !c.inZone(e) {
		return &RequestError{"endpoint", id, "an engine of zone " + c.options.Zone}
	}
	if len(e.operatorOrders) >= maxOperatorOrders {
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
	e.operatorOrders = append(e.operatorOrders, o)
	return nil
}

// Resume continues a halted rollout on behalf of an operator.
func (c *Core) Resume(name string) error {
	m := c.models[name]
	if m == nil || m.rollout.Phase != PhaseHalted {
		return &RequestError{"model", name, "a model whose rollout is halted"}
	}
	delete(c.halted, name)
	m.rollout = m.settledRollout()
	return nil
}

// nextOperatorOrder returns the next queued operator's order for an engine, if it may
// be sent now. The limit of the weight store applies to these orders too.
func (c *Core) nextOperatorOrder(now time.Time, e *engine) []Command {
	if len(e.operatorOrders) == 0 || !c.mayOrder(now, e) {
		return nil
	}
	o := e.operatorOrders[0]
	if o.Kind == jkendpoint.OrderLoad && e.servesVersion(o.Model, o.Version) {
		e.operatorOrders = e.operatorOrders[1:]
		return nil
	}
	if needsWeights(o) && !c.takeLoadToken(now) {
		return nil
	}
	e.operatorOrders = e.operatorOrders[1:]
	return []Command{c.newCommand(now, e, o)}
}

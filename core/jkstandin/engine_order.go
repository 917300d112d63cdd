package jkstandin

import (
	"net/http"

	"jasmineknot.example/core/jkendpoint"
)

// engineOrdersKept bounds the orders in the account.
const engineOrdersKept = 100

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order jkendpoint.Order
	if !serviceDecode(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.fencing
	if e.options.CheckFencing && order.FencingToken < current {
		e.note(order, false)
		serviceReply(w, http.StatusConflict, jkendpoint.ErrorBody{Error: jkendpoint.ErrorDetail{
			Code: jkendpoint.CodeFenced, Message: "order with an old fencing token",
			Token: order.FencingToken, CurrentToken: current,
		}})
		return
	}
	if !e.apply(order) {
		e.note(order, false)
		serviceRefuse(w, http.StatusBadRequest, "invalid_order", "kind: got "+string(order.Kind)+", or a name is missing")
		return
	}
	e.fencing = max(current, order.FencingToken)
	e.note(order, true)
	e.record()
	w.WriteHeader(http.StatusAccepted)
}

// note adds an order to the account. The caller holds mu.
func (e *Engine) note(order jkendpoint.Order, accepted bool) {
	e.account.Orders = append(e.account.Orders, EngineOrder{Order: order, Accepted: accepted})
	e.account.Orders = e.account.Orders[max(0, len(e.account.Orders)-engineOrdersKept):]
}

// apply carries out a valid order. The caller holds mu.
func (e *Engine) apply(order jkendpoint.Order) bool {
	switch order.Kind {
	case jkendpoint.OrderLoad, jkendpoint.OrderVersion:
		return e.startLoad(e.models, order.Model, order.Version)
	case jkendpoint.OrderUnload:
		delete(e.models, order.Model)
		return order.Model != ""
	case jkendpoint.OrderAdapter:
		if order.Remove {
			delete(e.adapters, order.Adapter)
			return order.Adapter != ""
		}
		return e.startLoad(e.adapters, order.Adapter, order.Version)
	case jkendpoint.OrderRole:
		e.role = order.Role
		return order.Role != ""
	}
	return false
}

// startLoad loads a model or adapter unless that version is there already. The
// caller holds mu.
func (e *Engine) startLoad(into map[string]*engineModel, name, version string) bool {
	if name == "" {
		return false
	}
	if m := into[name]; m != nil && m.version == version {
		return true
	}
	m := &engineModel{version: version, phase: jkendpoint.ModelLoading}
	into[name] = m
	e.timer.After(e.scaled(e.options.LoadTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		m.phase = jkendpoint.ModelReady
		e.record()
	})
	return true
}

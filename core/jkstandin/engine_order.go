package jkstandin

import (
	"net/http"

	"jasmineknot.example/core/jkendpoint"
)

// engineMaxOrders is the number of orders that the account retains.
const engineMaxOrders = 100

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order jkendpoint.Order
	if !serviceDecode(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.fencingToken
	if e.options.CheckFencing && order.FencingToken < current {
		e.recordOrder(order, false)
		serviceReply(w, http.StatusConflict, jkendpoint.ErrorBody{Error: jkendpoint.ErrorDetail{
			Code: jkendpoint.CodeFenced, Message: "order with an old fencing token",
			Token: order.FencingToken, CurrentToken: current,
		}})
		return
	}
	if !e.applyOrder(order) {
		e.recordOrder(order, false)
		serviceRefuse(w, http.StatusBadRequest, "invalid_order", "kind: got "+string(order.Kind)+", or a name is missing")
		return
	}
	e.fencingToken = max(current, order.FencingToken)
	e.recordOrder(order, true)
	e.recordLoad()
	w.WriteHeader(http.StatusAccepted)
}

// recordOrder adds an order to the account and drops the oldest ones above
// engineMaxOrders. The caller holds mu.
func (e *Engine) recordOrder(order jkendpoint.Order, accepted bool) {
	e.account.Orders = append(e.account.Orders, EngineOrder{Order: order, Accepted: accepted})
	e.account.Orders = e.account.Orders[max(0, len(e.account.Orders)-engineMaxOrders):]
}

// applyOrder carries out an order and reports whether it was valid. The caller holds mu.
func (e *Engine) applyOrder(order jkendpoint.Order) bool {
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

// startLoad starts to load a model or adapter unless this version is loaded or loading
// already. It reports whether the name is valid. The caller holds mu.
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
		e.recordLoad()
	})
	return true
}

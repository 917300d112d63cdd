package jkcontrol

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkorder"
)

// sendOrders runs the core and sends its orders, all in parallel.
func (c *Controller) sendOrders() {
	calls := c.options.Calls()
	now := c.options.Timer.Now()
	c.mu.Lock()
	c.core.SetLoads(now, calls)
	t := c.term
	if t == nil || !now.Before(t.expiresAt) {
		c.mu.Unlock()
		return
	}
	commands := c.core.Tick(now)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, cmd := range commands {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.send(t, cmd)
		}()
	}
	wg.Wait()
}

// send sends one order. It checks the lease against the clock directly before that,
// because this process may have been paused since the core decided.
func (c *Controller) send(t *term, cmd jkorder.Command) {
	cmd.Order.FencingToken = t.lease.Token
	timeout, ok := c.orderTimeout(t, cmd.ChecksFencing)
	if !ok {
		c.reportResult(t, cmd, jkorder.ResultNotSent, "too little of the lease is left")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	err := c.options.SendOrder(ctx, cmd.Addr, cmd.Order)
	r := resultOf(err)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.reportResult(t, cmd, r, detail)
	var fenced *jkendpoint.FencedError
	if errors.As(err, &fenced) {
		c.endTerm(t, detail)
	}
}

// orderTimeout returns the timeout of an order's request, which ends before the lease
// does, and whether the order may be sent at all. An engine that ignores the token
// gets no order before the barrier or when less than DeliveryBound is left.
func (c *Controller) orderTimeout(t *term, checksFencing bool) (time.Duration, bool) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != t {
		return 0, false
	}
	left := t.expiresAt.Sub(now)
	if !checksFencing && (left < DeliveryBound || now.Before(t.barrier)) {
		return 0, false
	}
	timeout := min(OrderTimeout, left-LeaseMargin)
	return timeout, timeout > 0
}

func resultOf(err error) jkorder.Result {
	var notSent *jkendpoint.NotSentError
	var status *jkendpoint.StatusError
	var fenced *jkendpoint.FencedError
	switch {
	case err == nil:
		return jkorder.ResultAccepted
	case errors.As(err, &notSent), errors.As(err, &fenced):
		return jkorder.ResultNotSent
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return jkorder.ResultRefused
	}
	return jkorder.ResultUncertain
}

// reportResult counts and logs an order's result and passes it to the core.
func (c *Controller) reportResult(t *term, cmd jkorder.Command, r jkorder.Result, detail string) {
	o := cmd.Order
	c.options.OnOrderResult(o.Kind, r)
	pairs := []any{
		"endpoint", cmd.Engine, "kind", o.Kind, "model", o.Model, "version", o.Version,
		"result", r, "token", t.lease.Token, "detail", detail,
	}
	if r == jkorder.ResultAccepted {
		c.options.Log.Info("order accepted by engine", pairs...)
	} else {
		c.options.Log.Warn("order not confirmed by engine", pairs...)
	}
	cmd.Order.FencingToken = 0 // the core's own command has no token
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == t {
		c.core.RecordResult(now, cmd, r, detail)
	}
}

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

// sendOrders runs the core and sends its orders, all at once.
func (c *Controller) sendOrders() {
	calls := c.options.Calls()
	now := c.options.Timer.Now()
	c.mu.Lock()
	c.core.SetLoads(now, calls)
	t := c.term
	if t == nil || !now.Before(t.until) {
		c.mu.Unlock()
		return
	}
	commands := c.core.Tick(now)
	c.mu.Unlock()
	var all sync.WaitGroup
	for _, cmd := range commands {
		all.Add(1)
		go func() {
			defer all.Done()
			c.send(t, cmd)
		}()
	}
	all.Wait()
}

// send gives one order. The lease is checked by the timer directly before it,
// because this process may have been paused since the core decided.
func (c *Controller) send(t *term, cmd jkorder.Command) {
	cmd.Order.FencingToken = t.lease.Token
	timeout, ok := c.timeout(t, cmd.ChecksFencing)
	if !ok {
		c.finish(t, cmd, jkorder.ResultNotSent, "too little of the lease is left")
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	err := c.options.Order(ctx, cmd.Addr, cmd.Order)
	r := resultOf(err)
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	c.finish(t, cmd, r, detail)
	var fenced *jkendpoint.FencedError
	if errors.As(err, &fenced) {
		c.endTerm(t, detail)
	}
}

// timeout returns the time that an order's request may take, which ends before
// the lease does, and whether it may be sent at all. An engine that ignores the
// token gets none when less than Delivery is left.
func (c *Controller) timeout(t *term, checksFencing bool) (time.Duration, bool) {
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != t {
		return 0, false
	}
	left := t.until.Sub(now)
	if !checksFencing && (left < Delivery || now.Before(t.barrier)) {
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

func (c *Controller) finish(t *term, cmd jkorder.Command, r jkorder.Result, detail string) {
	o := cmd.Order
	c.options.Count(o.Kind, r)
	pairs := []any{
		"endpoint", cmd.Engine, "kind", o.Kind, "model", o.Model, "version", o.Version,
		"result", r, "token", t.lease.Token, "detail", detail,
	}
	if r == jkorder.ResultAccepted {
		c.options.Log.Info("order is given", pairs...)
	} else {
		c.options.Log.Warn("order is not confirmed", pairs...)
	}
	cmd.Order.FencingToken = 0 // as the core knows it
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == t {
		c.core.RecordResult(now, cmd, r, detail)
	}
}

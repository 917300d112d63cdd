// Package jkforward takes requests of callers and forwards them to endpoints.
// It decides what may be repeated, keeps promises about what has run, and
// passes streams on event by event.
package jkforward

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// Options holds what a handler needs.
type Options struct {
	Timer   *jktimer.Service
	Log     jklog.Logger
	Metrics *Metrics
	// Rules returns the rules in force, or nil while none are known.
	Rules   func() *jkruleset.Set
	Dialect Dialect
	Account Account
	Fleet   *Fleet
	Pool    *jkupstream.Pool
	// Leaving reports whether the host is about to stop, so that callers are
	// asked to close their connections.
	Leaving func() bool
}

// Handler serves callers.
type Handler struct{ Options }

// NewHandler returns a handler.
func NewHandler(o Options) *Handler { return &Handler{Options: o} }

// refusal is an answer of the system's own. With status 402, 404, 413 or 503 it
// states that the request didn't run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// noRulesRetry is when a caller may return to a host that knows no rules yet.
const noRulesRetry = 300 * time.Millisecond

// defaultWait bounds requests where neither caller nor route names a time.
const defaultWait = 30 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{writer: w, request: r, began: h.Timer.Now(), facts: h.Dialect.Read(r.Header)}
	c.lastEvent = c.facts.LastEvent
	h.Metrics.inFlight.Add(1)
	defer h.Metrics.inFlight.Add(-1)
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	defer h.finish(c)
	for _, step := range []func(*call) *refusal{h.match, h.readBody, h.chain, h.reserve} {
		if no := step(c); no != nil {
			h.refuse(c, no)
			return
		}
	}
	defer h.settle(c)
	if no := h.run(c); no != nil {
		h.refuse(c, no)
	}
}

// match finds the route and the service.
func (h *Handler) match(c *call) *refusal {
	rules := h.Rules()
	if rules == nil {
		return &refusal{status: 503, reason: "no_rules", retryAfter: noRulesRetry}
	}
	c.route = rules.Match(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		return &refusal{status: 404, reason: "no_route"}
	}
	c.service = rules.Service(c.route.Service(hashOf(c.key())))
	if c.service == nil {
		return &refusal{status: 503, reason: "no_service", retryAfter: noRulesRetry}
	}
	wait := defaultWait
	if c.facts.Wait > 0 {
		wait = c.facts.Wait
	}
	if t := c.route.Timeout(); t > 0 {
		wait = min(wait, t)
	}
	c.deadline = c.began.Add(wait)
	return nil
}

func (h *Handler) readBody(c *call) *refusal {
	limit := h.Rules().Limits().MaxBodyBytes
	if limit <= 0 {
		limit = 4 << 20
	}
	if c.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	body, err := readAll(http.MaxBytesReader(c.writer, c.request.Body, limit), c.request.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
	}
	c.body, c.input = body, body
	return nil
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// chain puts the turns before this one in front of its input.
func (h *Handler) chain(c *call) *refusal {
	if !c.route.Retain() || c.facts.Previous == "" {
		return nil
	}
	before, err := h.Account.Chain(c.request.Context(), c.facts.Program, c.facts.Previous)
	if err != nil {
		h.Log.Warn("turn not continued", "request", c.facts.Request, "previous", c.facts.Previous, "error", err)
		return refusalOf(err)
	}
	c.body = slices.Concat(before, c.input)
	return nil
}

// reserve holds the most that the turn can generate in the program's budget.
func (h *Handler) reserve(c *call) *refusal {
	if !c.isStream() || c.facts.Budget <= 0 || c.facts.Program == "" {
		return nil
	}
	stride := max(c.service.EventTokens(), 1)
	tokens := (c.facts.MaxTokens + stride - 1) / stride * stride
	err := h.Account.Reserve(c.request.Context(), Reservation{
		Program: c.facts.Program, Request: c.facts.Request, Tokens: tokens,
		Budget: c.facts.Budget, Retention: c.route.Retention(),
	})
	if err != nil {
		h.Log.Info("turn not admitted", "request", c.facts.Request, "program", c.facts.Program, "error", err)
		return refusalOf(err)
	}
	c.reserved = tokens
	return nil
}

// settle returns what the turn didn't use to the budget.
func (h *Handler) settle(c *call) {
	if c.reserved == 0 {
		return
	}
	h.Account.Settle(Settlement{
		Program: c.facts.Program, Request: c.facts.Request,
		Tokens: c.events * max(c.service.EventTokens(), 1), Retention: c.route.Retention(),
	})
}

// refuse sends an answer of the system's own.
func (h *Handler) refuse(c *call, no *refusal) {
	c.reason = no.reason
	if c.started {
		// The header of a success is out: only a broken connection tells the
		// caller that the stream isn't whole.
		c.status = statusAborted
		panic(http.ErrAbortHandler)
	}
	c.status = no.status
	if no.retryAfter > 0 {
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(no.retryAfter.Seconds(), 'f', 3, 64))
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(no.status)
}

// statusAborted stands in logs and metrics for a stream that was broken off.
const statusAborted = 599

func (h *Handler) finish(c *call) {
	took := h.Timer.Now().Sub(c.began)
	h.Metrics.observe(c, took)
	if c.status >= 200 && c.status < 300 {
		h.Log.Info("request served", c.fields(took)...)
		return
	}
	h.Log.Info("request not served", c.fields(took)...)
}

func (c *call) fields(took time.Duration) []any {
	route := ""
	if c.route != nil {
		route = c.route.Name()
	}
	return []any{
		"request", c.facts.Request, "program", c.facts.Program, "route", route, "status", c.status,
		"reason", c.reason, "endpoint", c.lastEndpoint, "attempts", c.attempts, "events", c.events,
		"may_have_run", c.mayHaveRun, "sent_ms", millisSince(c.began, c.sent), "first_ms", millisSince(c.began, c.first),
		"took_ms", took.Milliseconds(),
	}
}

// millisSince returns the milliseconds from one time to another, or -1 if there
// is no other.
func millisSince(from, to time.Time) int64 {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from).Milliseconds()
}

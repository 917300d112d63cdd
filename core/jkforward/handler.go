// Package jkforward is a reverse proxy: it forwards the requests of callers to
// endpoints. It decides which requests may be retried, never states that a request
// didn't run if it may have run, and forwards streams event by event. The choice of
// an endpoint is left to jksched, connections to jkupstream, and the storage of
// budgets and turns to the Account.
package jkforward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// Options holds the dependencies of a handler.
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
	Crashes *CrashWatch
	// Currency tells how current the rules are, and Quota counts requests against the caps of
	// workspaces.
	Currency Currency
	Quota    Quota
	// Programs admits new programs; nil admits all of them.
	Programs *ProgramAdmission
	// Isolated reports whether this host has no way to any endpoint; nil means that it has.
	Isolated func() bool
	// OutOfRotation reports whether this host takes no new connections for now, so that callers
	// should open theirs elsewhere; nil means that it doesn't.
	OutOfRotation func() bool
	// Stop is the planned stop of this host.
	Stop *HostStop
	// MaxHeldOutputs bounds the sum of the outputs of retained turns in progress, in bytes; zero
	// means defaultHeldOutputs.
	MaxHeldOutputs int64
	// MaxBodies bounds the requests' bodies and the whole answers. It has always room for a body of the
	// rules' limit.
	MaxBodies jkintake.Limits
}

// Handler is the http.Handler that serves callers.
type Handler struct {
	Options
	outputs *heldOutputs
	bodies  *jkintake.Bodies
	// largeEvents is a semaphore of the large events that are held.
	largeEvents chan struct{}
}

// NewHandler returns a handler with the given options.
func NewHandler(o Options) *Handler {
	return &Handler{Options: o, outputs: newHeldOutputs(o.MaxHeldOutputs), bodies: jkintake.NewBodies(o.MaxBodies, o.Timer), largeEvents: make(chan struct{}, maxLargeEvents)}
}

// refusal is a response that the handler generates itself. With status 401, 402, 404, 408, 413,
// 429 or 503 it states that the request didn't run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// noRulesRetryAfter is the Retry-After of a host that hasn't received its rules yet.
const noRulesRetryAfter = 300 * time.Millisecond

// defaultTimeout bounds requests for which neither caller nor route sets a timeout.
const defaultTimeout = 30 * time.Second

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{writer: w, request: r, receivedAt: h.Timer.Now(), info: h.Dialect.DecodeRequest(r.Header)}
	c.lastEventID = c.info.LastEvent
	c.hashKey()
	h.Metrics.inFlight.Add(1)
	defer h.Metrics.inFlight.Add(-1)
	if h.Stop.Begun() || h.OutOfRotation != nil && h.OutOfRotation() {
		w.Header().Set("Connection", "close")
	}
	defer h.finish(c)
	defer h.Programs.end(c)
	defer func() { h.outputs.release(len(c.output)) }()
	defer c.endBody()
	defer h.releasePermit(c)
	steps := []func(*call) *refusal{
		h.match, h.authenticate, h.Stop.refusal, h.checkWays, h.readBody, h.Crashes.refusal, h.admitProgram, h.takePermit, h.checkCopies, h.admit,
	}
	for _, step := range steps {
		if refused := step(c); refused != nil {
			h.refuse(c, refused)
			return
		}
	}
	defer h.settle(c)
	if refused := h.run(c); refused != nil {
		// A status that leaves open whether the request has run promises nothing about its budget.
		if !c.headerSent && !c.mayHaveRun {
			h.release(c)
		}
		h.refuse(c, refused)
	}
}

// match finds the route and the service of a request and sets its deadline.
func (h *Handler) match(c *call) *refusal {
	rules := h.Rules()
	if rules == nil {
		return &refusal{status: 503, reason: "no_rules", retryAfter: noRulesRetryAfter}
	}
	c.route = rules.Match(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		return h.noRoute(rules)
	}
	c.service = rules.Service(c.route.Service(hashOf(c.affinityKey())))
	if c.service == nil {
		return &refusal{status: 503, reason: "no_service", retryAfter: noRulesRetryAfter}
	}
	timeout := defaultTimeout
	if c.info.Wait > 0 {
		timeout = c.info.Wait
	}
	if t := c.route.Timeout(); t > 0 {
		timeout = min(timeout, t)
	}
	c.deadline = c.receivedAt.Add(timeout)
	return nil
}

// checkWays refuses a request that can reach no endpoint. Its caller may find another entry.
func (h *Handler) checkWays(*call) *refusal {
	if h.Isolated == nil || !h.Isolated() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "isolated", retryAfter: slotRetryAfter}
}

// readBody reads the caller's body up to the limit of the rules.
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
	c.bodyBegun = true
	interrupt := func() { _ = http.NewResponseController(c.writer).SetReadDeadline(time.Unix(1, 0)) }
	c.held = h.bodies.Begin(c.deadline, interrupt)
	body, err := c.held.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit), c.request.ContentLength, limit)
	if err != nil {
		return refusalForBody(err)
	}
	c.body, c.input = body, body
	return nil
}

// reserve reserves the maximum number of tokens that the turn can generate in the program's budget,
// and binds a stream that is resumable to a software version.
func (h *Handler) reserve(ctx context.Context, c *call) *refusal {
	if !c.isStream() || !c.hasBudget() && !c.route.Resumable() {
		return nil
	}
	c.reservation = c.scoped(c.info.Request)
	if c.route.Resumable() && !c.isContinued() {
		if refused := h.bindNew(c); refused != nil {
			return refused
		}
	}
	r := c.newReservation()
	err := h.reserveOrContinue(ctx, c, r)
	var unknown *UnknownStreamError
	switch {
	case errors.As(err, &unknown):
		c.reservedTokens = r.Tokens
		return h.bindUnknown(c)
	case err != nil:
		h.Log.Info("turn not admitted", "request", c.info.Request, "program", c.info.Program, "error", err)
		return h.accountRefusal(err)
	}
	c.reservedTokens = r.Tokens
	return nil
}

// reserveOrContinue reserves tokens, and binds a continued stream to the version of its origin.
func (h *Handler) reserveOrContinue(ctx context.Context, c *call, r Reservation) error {
	switch {
	case !c.isContinued():
		return h.Account.Reserve(ctx, r)
	case c.info.Resumes == "":
		if err := h.Account.Reserve(ctx, r); err != nil {
			return err
		}
		return &UnknownStreamError{}
	}
	version, err := h.Account.Continue(ctx, r, c.scoped(c.info.Resumes))
	if err == nil {
		c.bind(version)
		h.Metrics.countContinued(continuedRecorded)
		h.Log.Info("stream continued", "request", c.info.Request, "resumes", c.info.Resumes, "version", version)
	}
	return err
}

func (c *call) hasBudget() bool { return c.info.Budget > 0 && c.info.Program != "" }

// newReservation returns the reservation of the call. Without a budget it only records a version.
func (c *call) newReservation() Reservation {
	r := Reservation{Program: c.scoped(c.info.Program), Request: c.reservation, Budget: c.info.Budget, Retention: c.route.Retention()}
	if c.hasBudget() {
		r.Tokens = c.maxTokens()
	} else {
		r.Program, r.Budget = c.scoped(streamProgram(c.origin())), 0
	}
	if c.route.Resumable() && r.Retention <= 0 {
		r.Retention = streamRetention
	}
	return r
}

// maxTokens returns the maximum number of tokens that the turn can generate.
func (c *call) maxTokens() int64 {
	perEvent := max(c.service.EventTokens(), 1)
	return (c.info.MaxTokens + perEvent - 1) / perEvent * perEvent
}

// settle returns the unused part of the reservation to the budget.
func (h *Handler) settle(c *call) {
	if c.reservedTokens == 0 {
		return
	}
	h.Account.Settle(h.settlement(c))
}

// release returns the whole reservation of a request to the budget, before it is refused. A host that stops waits for no
// answer that comes after its end or the request's deadline.
func (h *Handler) release(c *call) {
	if c.reservedTokens == 0 {
		return
	}
	ctx, cancel := h.deadlineContext(c, max(c.deadline.Sub(h.Timer.Now()), 0))
	defer cancel()
	defer h.Stop.onEnd(cancel)()
	h.Account.Release(ctx, h.settlement(c))
	c.reservedTokens = 0
}

func (h *Handler) settlement(c *call) Settlement {
	return Settlement{
		Program: c.scoped(c.info.Program), Request: c.reservation,
		Tokens: c.events * max(c.service.EventTokens(), 1), Retention: c.route.Retention(),
	}
}

// refuse sends a refusal. If part of a stream was sent already, it aborts the
// connection instead.
func (h *Handler) refuse(c *call, refused *refusal) {
	c.reason = refused.reason
	if c.headerSent {
		// A success status was sent already: only an aborted connection tells the
		// caller that the stream is incomplete.
		c.status = statusAborted
		c.abort()
	}
	c.boundRest()
	c.status = refused.status
	if refused.retryAfter > 0 {
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(refused.status)
}

// abort ends the connection to the caller and the handler, so that the response isn't taken
// for a complete one. HTTP/1.0 has no chunks: there a closed connection ends the body, and
// only a reset one shows that it is incomplete.
func (c *call) abort() {
	if !c.request.ProtoAtLeast(1, 1) {
		c.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the connection to the caller.
func (c *call) resetConnection() {
	conn, _, err := http.NewResponseController(c.writer).Hijack()
	if err != nil {
		// The server closes the connection after the panic in abort.
		return
	}
	// Listeners may wrap connections.
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// statusAborted is the status in logs and metrics of a stream that was aborted.
const statusAborted = 599

// finish records the request in the metrics and the log.
func (h *Handler) finish(c *call) {
	took := h.Timer.Now().Sub(c.receivedAt)
	h.Metrics.observe(c, took)
	if c.status >= 200 && c.status < 300 {
		h.Log.Info("request served", c.logFields(took)...)
		return
	}
	h.Log.Info("request not served", c.logFields(took)...)
}

func (c *call) logFields(took time.Duration) []any {
	route := ""
	if c.route != nil {
		route = c.route.Name()
	}
	fields := []any{
		"request", c.info.Request, "program", c.info.Program, "route", route, "status", c.status,
		"reason", c.reason, "endpoint", c.last.id, "attempts", c.attempts, "events", c.events,
		"may_have_run", c.mayHaveRun, "sent_ms", millisSince(c.receivedAt, c.firstSentAt), "first_ms", millisSince(c.receivedAt, c.firstEventAt),
		"took_ms", took.Milliseconds(),
	}
	if c.workspace != nil {
		fields = append(fields, "workspace", c.workspaceName())
	}
	return fields
}

// millisSince returns the milliseconds between two times, or -1 if the second one is
// zero.
func millisSince(from, to time.Time) int64 {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from).Milliseconds()
}

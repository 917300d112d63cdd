// Package jkapi implements the HTTP API for callers: chat completions, programs and
// service calls. It decodes and checks requests and encodes their results. The calls
// themselves are made by functions that the host passes to Register.
package jkapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jktimer"
)

// Headers of requests and answers.
const (
	HeaderProgram     = "X-Program-Id"
	HeaderToken       = "X-Program-Token"
	HeaderRequest     = "X-Request-Id"
	HeaderPriority    = "X-Priority"
	HeaderDeadline    = "X-Deadline-Ms"
	HeaderWorkspace   = "X-Workspace"
	HeaderTemplate    = "X-Program-Template"
	HeaderHistory     = "X-Program-History"
	HeaderOutcome     = "X-Outcome"
	HeaderDigest      = "X-Content-Digest"
	HeaderReplayed    = "X-Replayed"
	HeaderIdempotency = "Idempotency-Key"
)

// defaultTemplate is used for a program or a chat request that names none.
const defaultTemplate = "default"

// Values of HeaderHistory: a caller resends all messages, or sends only those that
// follow the history up to the turn of its token.
const (
	historyResend = "resend"
	historyAppend = "append"
)

// maxHeaderBytes bounds the length of each header value that is stored with a call.
const maxHeaderBytes = 2048

// Options holds the functions that the handlers call, and the limits of requests.
type Options struct {
	Timer   *jktimer.Service
	Call    func(ctx context.Context, m jkmsg.Call, emit func(text string) error) jkmsg.CallResult
	Service func(ctx context.Context, m jkmsg.Call, repeatable bool) jkmsg.CallResult
	Create  func(ctx context.Context, m jkmsg.Create) jkmsg.ProgramResult
	Program func(ctx context.Context, m jkmsg.Program) jkmsg.ProgramResult
	// Repeatable reports whether a service call may be repeated.
	Repeatable func(service, method, path string) bool
	// StopsAt returns when this host, which is being stopped, breaks off the calls in
	// flight; zero while it isn't being stopped.
	StopsAt func() time.Time
	// Observe records a finished request for the metrics.
	Observe func(Observation)
	// BodyLimit bounds a request body in bytes, and Bodies what is held of all requests.
	BodyLimit int64
	Bodies    *jkintake.Bodies
	// MaxCalls bounds the calls that this host serves at once.
	MaxCalls int
}

// Observation holds what the metrics record about a finished request.
type Observation struct {
	Kind       string
	Workspace  string
	Outcome    string
	Duration   time.Duration
	FirstToken time.Duration
	// HasDeadline is true if the caller set a deadline, and Late if the answer came
	// after it.
	HasDeadline bool
	Late        bool
	// Template is that of the program; empty if its home was not reached.
	Template string
	// Status is the HTTP status of the answer.
	Status int
	// Streamed is true if FirstToken is the time to the first token of a stream.
	Streamed bool
	// Abandoned is true if the caller has closed the connection.
	Abandoned bool
}

// api implements the handlers.
type api struct {
	Options
	slots chan struct{} // one element for each call in flight
}

// Register adds the handlers to an echo router.
func Register(e *echo.Echo, f Options) {
	a := &api{Options: f, slots: make(chan struct{}, f.MaxCalls)}
	e.POST("/v1/chat/completions", countBody(a.limitConcurrency(kindChat, a.chat)))
	e.Any("/v1/services/:service", countBody(a.limitConcurrency(kindService, a.service)))
	e.Any("/v1/services/:service/*", countBody(a.limitConcurrency(kindService, a.service)))
	e.POST("/v1/programs", countBody(a.create))
	e.GET("/v1/programs", a.list)
	e.GET("/v1/programs/:id", a.action(jkmsg.ActionShow))
	e.POST("/v1/programs/:id/resume", a.action(jkmsg.ActionResume))
	e.POST("/v1/programs/:id/cancel", a.action(jkmsg.ActionCancel))
	e.POST("/v1/programs/:id/finish", a.action(jkmsg.ActionFinish))
	e.DELETE("/v1/programs/:id", a.action(jkmsg.ActionCancel))
}

// limitConcurrency refuses requests beyond MaxCalls. A non-repeatable request may have
// run at an earlier attempt, so the outcome of a refused request is unknown.
func (a *api) limitConcurrency(kind string, next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
			return next(c)
		default:
			p := jkproblem.Newf(jkproblem.TypeUnavailable, "this host serves %d calls already", cap(a.slots)).WithRetryAfter(time.Second)
			now := a.Timer.Now()
			a.observe(c, jkmsg.Call{}, kind, now, now, jkmsg.CallResult{Outcome: p.Outcome, Status: p.Status, Problem: p})
			return sendProblem(c, p)
		}
	}
}

// readHeaders reads the headers that all calls share.
func (a *api) readHeaders(c echo.Context) (jkmsg.Call, *jkproblem.Problem) {
	h := c.Request().Header
	m := jkmsg.Call{
		Token:     h.Get(HeaderToken),
		Program:   h.Get(HeaderProgram),
		RequestID: h.Get(HeaderRequest),
	}
	for _, name := range []string{HeaderProgram, HeaderRequest, HeaderIdempotency, HeaderWorkspace, HeaderTemplate} {
		if len(h.Get(name)) > maxHeaderBytes {
			return m, jkproblem.Newf(jkproblem.TypeBadRequest, "%s has %d bytes, allowed: at most %d", name, len(h.Get(name)), maxHeaderBytes).WithField(name)
		}
	}
	switch v := h.Get(HeaderHistory); {
	case v == historyAppend && m.Token != "":
		m.Append = true
	case v != "" && v != historyResend:
		return m, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is %q, allowed: %s, or %s together with %s", HeaderHistory, v, historyResend, historyAppend, HeaderToken).WithField(HeaderHistory)
	}
	if v := h.Get(HeaderPriority); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < -100 || n > 100 {
			return m, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is %q, allowed: -100 to 100", HeaderPriority, v).WithField(HeaderPriority)
		}
		m.Priority = n
		m.HasPriority = true
	}
	if v := h.Get(HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 1 || n > maxDeadline.Milliseconds() {
			return m, jkproblem.Newf(jkproblem.TypeBadRequest, "%s is %q, allowed: 1 to %d", HeaderDeadline, v, maxDeadline.Milliseconds()).WithField(HeaderDeadline)
		}
		m.Deadline = a.Timer.Now().Add(time.Duration(n) * time.Millisecond)
	}
	return m, a.stopProblem(m)
}

// stoppingRetryAfter is the time after which a caller should try another host. The host
// list of a balancer that hasn't noticed the stop yet still names this one.
const stoppingRetryAfter = 200 * time.Millisecond

// stopProblem refuses a call that may last longer than this host, which is being stopped.
// The call may have run at an earlier attempt, so its outcome is unknown.
func (a *api) stopProblem(m jkmsg.Call) *jkproblem.Problem {
	end := a.StopsAt()
	last := m.Deadline
	if last.IsZero() {
		last = a.Timer.Now()
	}
	if end.IsZero() || !last.After(end) {
		return nil
	}
	return jkproblem.New(jkproblem.TypeUnavailable, "this host stops before the deadline of the call").WithRetryAfter(stoppingRetryAfter)
}

// maxDeadline bounds the deadline that a caller may set.
const maxDeadline = time.Hour

// requestContext returns a context that ends with the request or at its deadline.
func (a *api) requestContext(c echo.Context, m jkmsg.Call) (context.Context, context.CancelFunc) {
	if m.Deadline.IsZero() {
		return context.WithCancel(c.Request().Context())
	}
	return context.WithTimeout(c.Request().Context(), m.Deadline.Sub(a.Timer.Now()))
}

// Kinds of observed requests.
const (
	kindChat    = "chat"
	kindService = "service"
)

// observe records a finished call.
func (a *api) observe(c echo.Context, m jkmsg.Call, kind string, start, first time.Time, r jkmsg.CallResult) {
	now := a.Timer.Now()
	o := Observation{
		Kind: kind, Workspace: r.Workspace, Outcome: string(r.Outcome), Duration: now.Sub(start),
		HasDeadline: !m.Deadline.IsZero(), Late: !m.Deadline.IsZero() && now.After(m.Deadline),
		Template: r.Template, Status: r.Status, Streamed: m.Stream, Abandoned: c.Request().Context().Err() != nil,
	}
	if o.Workspace == "" {
		o.Workspace = c.Request().Header.Get(HeaderWorkspace)
	}
	if r.Problem != nil {
		o.Status = r.Problem.Status
	}
	if !first.IsZero() {
		o.FirstToken = first.Sub(start)
	}
	a.Observe(o)
}

// sendProblem sends a problem as the response.
func sendProblem(c echo.Context, p *jkproblem.Problem) error {
	boundRest(c)
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	h.Set(echo.HeaderContentType, "application/problem+json")
	return c.JSON(p.Status, p)
}

// setResultHeaders sets the headers for the outcome of a call and for the program and
// token with which the caller continues.
func setResultHeaders(c echo.Context, r jkmsg.CallResult) {
	h := c.Response().Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	if r.Program != "" {
		h.Set(HeaderProgram, r.Program)
	}
	if r.Token != "" {
		h.Set(HeaderToken, r.Token)
	}
	if r.Replayed {
		h.Set(HeaderReplayed, "true")
	}
}

// ErrorHandler answers the errors of echo itself, such as an unknown path.
func ErrorHandler(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := jkproblem.From(err)
	if e, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo returns its errors unwrapped
		p = jkproblem.New(jkproblem.TypeBadRequest, http.StatusText(e.Code))
		p.Status = e.Code
	}
	_ = sendProblem(c, p)
}

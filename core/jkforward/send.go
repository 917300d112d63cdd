package jkforward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkupstream"
)

// verdict tells what follows from one exchange with an endpoint.
type verdict string

// Verdicts. A refused request didn't run at the endpoint; a broken one may have.
const (
	verdictDone    verdict = "done"
	verdictRefused verdict = "refused"
	verdictNotSent verdict = "not_sent"
	verdictBroken  verdict = "broken"
	verdictLeft    verdict = "caller_left"
	// The answer is whole, but the turn isn't kept.
	verdictUnkept verdict = "unkept"
	// The stream has more events than the turn can generate, and the caller has
	// too many of them already.
	verdictTooLong verdict = "too_long"
)

// maxRefusals bounds the endpoints that are asked for room: after a few
// refusals the service is full, and the caller hears so.
const maxRefusals = 3

// minLeft is the least time worth a further attempt.
const minLeft = 20 * time.Millisecond

// fullRetry is when a caller may return after endpoints refused for lack of
// room: about the time in which a call ends and frees a slot.
const fullRetry = 120 * time.Millisecond

// run sends the request until it is answered or nothing more may be tried.
func (h *Handler) run(c *call) *refusal {
	for refusals := 0; ; {
		left := c.deadline.Sub(h.Timer.Now())
		if left < minLeft {
			return c.giveUp("deadline", fullRetry)
		}
		id, addr, err := h.choose(c)
		if err != nil {
			return h.noEndpoint(c, err)
		}
		c.lastEndpoint = id
		v := h.attempt(c, id, addr, left)
		h.Metrics.attempt(string(v))
		switch v {
		case verdictDone:
			return nil
		case verdictLeft:
			c.status, c.reason = statusLeft, "caller_left"
			panic(http.ErrAbortHandler)
		case verdictUnkept:
			c.status, c.reason = statusAborted, "turn_not_kept"
			panic(http.ErrAbortHandler)
		case verdictTooLong:
			c.status, c.reason = statusAborted, "turn_too_long"
			panic(http.ErrAbortHandler)
		case verdictRefused:
			refusals++
			if refusals >= maxRefusals {
				return c.giveUp("endpoints_full", fullRetry)
			}
		case verdictBroken:
			c.mayHaveRun = true
			if !h.mayRepeat(c, id) {
				return c.giveUp("endpoint_failed", 0)
			}
		case verdictNotSent:
		}
	}
}

// statusLeft stands in logs and metrics for a caller that left.
const statusLeft = 499

// giveUp is the answer after the last attempt.
func (c *call) giveUp(reason string, retry time.Duration) *refusal {
	switch {
	case !c.mayHaveRun:
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retry}
	case reason == "deadline":
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// mayRepeat reports whether a request that may have run is sent once more.
// Endpoints that can't be reached don't count as attempts.
func (h *Handler) mayRepeat(c *call, id string) bool {
	if !c.route.Repeatable() {
		return false
	}
	if !h.Fleet.zoneReachable(id) {
		c.exclude = append(c.exclude, id)
		return true
	}
	c.attempts++
	if c.attempts < max(c.route.MaxAttempts(), 1) {
		c.exclude = append(c.exclude, id)
		return true
	}
	return c.attempts < maxSends
}

// maxSends bounds how often one request is sent at all.
const maxSends = 4

// choose places the request. Once all endpoints that a route allows were used,
// it stays at the last one, which may be asked again.
func (h *Handler) choose(c *call) (id, addr string, err error) {
	if c.attempts >= max(c.route.MaxAttempts(), 1) && !slices.Contains(c.exclude, c.lastEndpoint) {
		if addr, ok := h.Fleet.again(c.lastEndpoint); ok {
			return c.lastEndpoint, addr, nil
		}
	}
	return h.Fleet.place(c.scheduled(), c.exclude)
}

func (h *Handler) noEndpoint(c *call, err error) *refusal {
	var refused *jksched.RefusedError
	if !errors.As(err, &refused) {
		return c.giveUp("no_endpoint", fullRetry)
	}
	return c.giveUp(string(refused.Reason), max(refused.RetryAfter, minLeft))
}

// attempt performs one exchange with an endpoint.
func (h *Handler) attempt(c *call, id, addr string, left time.Duration) verdict {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	stop := h.Timer.After(left, func() { cancel(context.DeadlineExceeded) })
	defer stop()
	if c.route.Repeatable() {
		h.Fleet.track(id, c, cancel)
		defer h.Fleet.untrack(id, c)
		c.watchdog = newWatchdog(h.Timer, c.firstStall(), cancel, func() bool { return c.events == 0 && h.Fleet.isCrowded(id) })
		defer c.watchdog.stop()
	}
	header := c.forwarded(h.Dialect)
	h.Dialect.Prepare(header, Outgoing{Endpoint: id, Left: left, Urgency: urgency(c), LastEvent: c.lastEvent})
	began := h.Timer.Now()
	if c.sent.IsZero() {
		c.sent = began
	}
	resp, err := h.Pool.Send(ctx, jkupstream.Request{
		Addr: addr, Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host,
		Header: header, Body: c.body, Repeatable: c.route.Repeatable(), MaxBody: h.maxAnswer(c),
		Accept: func(a http.Header) bool { return h.Dialect.Answer(a).Request == c.facts.Request },
	})
	if err != nil {
		return h.failed(c, ctx, id, err)
	}
	defer resp.Close()
	answer := h.Dialect.Answer(resp.Header)
	if answer.HasLoad {
		h.Fleet.report(id, answer.Load)
	}
	v := h.pass(ctx, c, resp, answer)
	h.Fleet.done(id, h.outcomeOf(c, ctx, v), h.Timer.Now().Sub(began))
	if v == verdictRefused {
		c.exclude = append(c.exclude, id)
	}
	if v == verdictBroken && c.request.Context().Err() != nil {
		return verdictLeft
	}
	return v
}

func (h *Handler) outcomeOf(c *call, ctx context.Context, v verdict) jksched.DirectOutcome {
	switch v {
	case verdictDone, verdictUnkept:
		return jksched.DirectServed
	case verdictRefused:
		return jksched.DirectRefused
	}
	if c.request.Context().Err() != nil || errors.Is(context.Cause(ctx), errEndpointLost) {
		return jksched.DirectAbandoned
	}
	return jksched.DirectFault
}

// firstStall is how long the first byte of an answer may take.
func (c *call) firstStall() time.Duration {
	if c.isStream() {
		return stallFirst
	}
	return stallCall
}

// failed judges an exchange without an answer.
func (h *Handler) failed(c *call, ctx context.Context, id string, err error) verdict {
	var notSent *jkupstream.NotSentError
	gone := c.request.Context().Err() != nil
	h.Fleet.done(id, jksched.DirectAbandoned, 0)
	if errors.As(err, &notSent) {
		if gone {
			return verdictLeft
		}
		c.exclude = append(c.exclude, id)
		switch notSent.Reason {
		case jkupstream.ReasonUnreachable:
			h.Fleet.unreachable(id)
		case jkupstream.ReasonConnectionLimit, jkupstream.ReasonCancelled:
		}
		h.Log.Info("endpoint not reached", "request", c.facts.Request, "endpoint", id, "error", err)
		return verdictNotSent
	}
	if gone {
		return verdictLeft
	}
	if !errors.Is(context.Cause(ctx), errEndpointLost) {
		h.Fleet.fault(id)
	}
	h.noteTooLong(c, err)
	h.Log.Info("exchange broke off", "request", c.facts.Request, "endpoint", id, "error", err)
	return verdictBroken
}

// pass gives an endpoint's answer to the caller, if it is one.
func (h *Handler) pass(ctx context.Context, c *call, resp *jkupstream.Response, a AnswerFacts) verdict {
	if a.NotRun {
		return verdictRefused
	}
	success := resp.Status >= 200 && resp.Status < 300
	if resp.Header.Get("Content-Encoding") != "" || (success && !a.Signed) {
		return verdictBroken
	}
	if !success && resp.Status >= 500 && c.route.Repeatable() && c.attempts+1 < max(c.route.MaxAttempts(), 1) {
		return verdictBroken
	}
	if c.isStream() && success {
		return h.passStream(c, resp)
	}
	if c.started {
		// A stream can't end with another answer.
		return verdictBroken
	}
	body, err := resp.ReadAll(ctx)
	if err != nil {
		h.noteTooLong(c, err)
		return verdictBroken
	}
	copyHeader(c.writer.Header(), resp.Header)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.status = resp.Status
	c.writer.WriteHeader(resp.Status)
	// A caller that can't be written to has left.
	_, _ = c.writer.Write(body)
	return verdictDone
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

// urgency ranks the request at a model engine: the route of the highest priority
// comes one rank before requests that don't say theirs.
func urgency(c *call) int {
	const usual = 5
	return min(usual-1+c.route.Priority(), 9)
}

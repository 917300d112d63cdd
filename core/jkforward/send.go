package jkforward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkupstream"
)

// attemptOutcome is the outcome of one exchange with an endpoint.
type attemptOutcome string

// Outcomes of an attempt. A refused request didn't run at the endpoint; a broken
// exchange leaves open whether it did.
const (
	outcomeDone       attemptOutcome = "done"
	outcomeRefused    attemptOutcome = "refused"
	outcomeNotSent    attemptOutcome = "not_sent"
	outcomeBroken     attemptOutcome = "broken"
	outcomeCallerLeft attemptOutcome = "caller_left"
	// The endpoint, which may have run the request, didn't answer a connection.
	outcomeUnconnected attemptOutcome = "unconnected"
	// The response is complete, but the turn could not be stored.
	outcomeTurnNotKept attemptOutcome = "unkept"
	// The stream has more events than the turn can generate, and the caller has
	// received too many of them already.
	outcomeTurnTooLong attemptOutcome = "too_long"
)

// maxRefusals bounds the endpoints that are tried for a free slot: after a few
// refusals the service counts as full, and the caller gets a refusal.
const maxRefusals = 3

// minAttemptTime is the least remaining time in which a further attempt is made, unless a part of the response was sent.
const minAttemptTime = 20 * time.Millisecond

// slotRetryAfter is the Retry-After of a request for which no endpoint had a free
// slot: about the time in which a call ends and frees one.
const slotRetryAfter = 120 * time.Millisecond

// run sends the request to endpoints until one answers or no further attempt is
// allowed.
func (h *Handler) run(c *call) *refusal {
	for refusals := 0; ; {
		if h.Stop.hasEnded() {
			return c.finalRefusal("host_stopped", stoppingRetryAfter)
		}
		if refused := h.authenticate(c); refused != nil {
			return c.endDenied(refused)
		}
		if err := c.ended(); err != nil {
			return refusalForBody(err)
		}
		left := c.deadline.Sub(h.Timer.Now())
		// Only the end of its time limit ends a stream that has begun.
		if left <= 0 || left < minAttemptTime && !c.headerSent {
			return c.finalRefusal("deadline", slotRetryAfter)
		}
		to, err := h.chooseEndpoint(c)
		// One that no endpoint got is refused where another one is full, as its caller may find one.
		mayWait := c.givenUp && (c.mayHaveRun || refusals == 0)
		if err != nil && mayWait && mayPass(err) {
			// The endpoint may be sound, so the request waits for any that it may go on at.
			c.excluded = nil
			if !h.Timer.Wait(slotRetryAfter, c.request.Context().Done()) {
				c.leave()
			}
			continue
		}
		if err != nil {
			return h.placementRefusal(c, err)
		}
		c.last, c.uncached = to, to.uncached
		h.Programs.begin(c, to.prediction)
		h.Metrics.countPlacement(to.reason)
		outcome := outcomeNotSent
		if h.awaitPlace(c, to) {
			outcome = h.attempt(c, to.id, to.addr, min(left, c.deadline.Sub(h.Timer.Now())))
		} else if c.request.Context().Err() != nil {
			outcome = outcomeCallerLeft
		}
		h.Metrics.countAttempt(string(outcome))
		if outcome == outcomeRefused || outcome == outcomeNotSent {
			c.isAtEndpoint = false
			if c.held != nil && !c.mayHaveRun {
				c.held.Wait()
			}
		}
		switch outcome {
		case outcomeDone:
			h.Crashes.served(c)
			h.writeAnswer(c)
			return nil
		case outcomeCallerLeft:
			c.leave()
		case outcomeTurnNotKept:
			c.status, c.reason = statusAborted, "turn_not_kept"
			c.abort()
		case outcomeTurnTooLong:
			c.status, c.reason = statusAborted, "turn_too_long"
			c.abort()
		case outcomeRefused:
			refusals++
			if refusals >= maxRefusals && (!c.givenUp || !c.mayHaveRun) {
				return c.finalRefusal("endpoints_full", slotRetryAfter)
			}
			if c.isTiedTo(to.id) {
				// The context ends if the caller leaves, which the next attempt notices.
				h.Timer.Wait(slotRetryAfter, c.request.Context().Done())
			}
		case outcomeUnconnected:
			// That an endpoint doesn't answer doesn't show that it has ended, and the request may go
			// to no other one.
			h.Timer.Wait(slotRetryAfter, c.request.Context().Done())
		case outcomeBroken:
			c.mayHaveRun, c.mayHaveRunAt, c.givenUp = true, to.id, c.broken == exchangeCancelled
			if c.broken != exchangeWhole {
				h.Crashes.brokeOff(c, to.id, to.addr, c.broken == exchangeEnded)
			}
			before := c.attempts
			if !h.Stop.hasEnded() && (!h.mayRetry(c, to) || h.Crashes.refusal(c) != nil) {
				return c.finalRefusal("endpoint_failed", 0)
			}
			h.Log.Info("request may be sent again", "request", c.info.Request, "endpoint", to.id, "broken", c.broken,
				"counted", c.attempts > before, "attempts", c.attempts, "allowed", c.route.MaxAttempts())
		case outcomeNotSent:
		}
	}
}

// statusCallerLeft is the status in logs and metrics of a request whose caller closed
// its connection.
const statusCallerLeft = 499

// leave ends a request whose caller has closed its connection.
func (c *call) leave() {
	c.status, c.reason = statusCallerLeft, "caller_left"
	c.abort()
}

// finalRefusal returns the refusal after the last attempt. Its status depends on
// whether the request may have run.
func (c *call) finalRefusal(reason string, retry time.Duration) *refusal {
	switch {
	case !c.mayHaveRun:
		return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retry}
	case reason == "deadline" || reason == "host_stopped":
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// mayRetry reports whether a request that may have run is sent again. Endpoints that are
// cut off don't count as attempts.
func (h *Handler) mayRetry(c *call, to target) bool {
	if !c.route.Repeatable() {
		return false
	}
	if h.Fleet.isCutOff(to.zone) {
		c.excluded = append(c.excluded, to.id)
		return true
	}
	c.attempts++
	if c.attempts < max(c.route.MaxAttempts(), 1) || h.Crashes.hasEnded(to.id, c.sentAt) {
		c.excluded = append(c.excluded, to.id)
		return true
	}
	return c.attempts+c.spares < maxSends
}

// maxSends bounds how often a repeatable request is sent if its route allows fewer
// endpoints; the last endpoint gets the further attempts.
const maxSends = 4

// isTiedTo reports whether a request may be sent to no other endpoint than the given one: it may
// have run there and at as many endpoints as its route allows.
func (c *call) isTiedTo(id string) bool {
	return c.attempts >= max(c.route.MaxAttempts(), 1) && c.mayHaveRunAt == id
}

// attempt performs one exchange with an endpoint.
func (h *Handler) attempt(c *call, id, addr string, left time.Duration) attemptOutcome {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	stop := h.Timer.After(left, func() { cancel(context.DeadlineExceeded) })
	defer stop()
	defer h.Stop.onEnd(func() { cancel(errHostStopped) })()
	exchange, supersede := context.WithCancelCause(ctx)
	defer supersede(nil)
	c.spare = nil
	if c.route.Repeatable() {
		if c.isStream() {
			c.spare = h.newSpare(ctx, c, supersede)
		}
		h.Fleet.track(id, c, tracked{cancel: cancel, request: c.schedulerCall(), exclude: append(slices.Clone(c.excluded), id)})
		defer h.Fleet.untrack(id, c)
		c.watchdog = newWatchdog(h.Timer, c.firstByteTimeout(), cancel, h.newStall(c, id, addr).judge)
		defer c.watchdog.stop()
	}
	if c.givenUp && c.mayHaveRunAt == id {
		// The connections that were open may be as dead as the one that was given up, but for those that have
		// answered since its endpoint was checked.
		h.Pool.CloseIdleBefore(addr, h.Timer.Now().Add(-stallRecheckInterval))
	}
	c.broken = exchangeWhole
	c.sentAt = h.Timer.Now()
	if c.firstSentAt.IsZero() {
		c.firstSentAt = c.sentAt
	}
	outcome := h.exchange(exchange, c, id, addr, left)
	if answer := c.spare.end(); answer != nil {
		return h.takeOver(c, answer)
	}
	return outcome
}

// exchange sends the request to an endpoint and the response to the caller.
func (h *Handler) exchange(ctx context.Context, c *call, id, addr string, left time.Duration) attemptOutcome {
	r := h.upstreamRequest(c, id, addr, left, c.lastEventID)
	r.MaySend, r.OnSend = func() error { return h.maySend(c, r.Header) }, c.recordSend
	resp, err := h.Pool.Send(ctx, r)
	if err != nil {
		return h.handleSendError(c, ctx, id, err)
	}
	defer resp.Close()
	respInfo := h.noteResponse(c, id, resp.Header)
	outcome := h.endExchange(ctx, c, id, h.forwardResponse(ctx, c, resp, respInfo))
	if outcome == outcomeRefused && !c.isTiedTo(id) {
		c.excluded = append(c.excluded, id)
	}
	return outcome
}

// upstreamRequest returns the request to an endpoint, without what is called before it is sent.
func (h *Handler) upstreamRequest(c *call, id, addr string, left time.Duration, lastEventID string) jkupstream.Request {
	header := c.forwardHeader(h.Dialect)
	h.Dialect.AddHeaders(header, ForwardInfo{Endpoint: id, Workspace: c.workspaceName(), TimeLeft: left, Urgency: urgency(c), LastEvent: lastEventID})
	return jkupstream.Request{
		Addr: addr, Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host,
		Header: header, Body: c.body, Repeatable: c.route.Repeatable(), Start: h.startOf(c), MaxBody: h.maxBodyBytes(c),
		Accept: func(a http.Header) bool { return h.Dialect.DecodeResponse(a).Request == c.info.Request },
	}
}

// noteResponse tells the fleet what the header of a response says about its endpoint.
func (h *Handler) noteResponse(c *call, id string, header http.Header) ResponseInfo {
	h.Fleet.heard(id)
	info := h.Dialect.DecodeResponse(header)
	c.reportedLoad = nil
	if info.HasLoad {
		c.reportedLoad = &info.Load
		h.Fleet.reportLoad(id, info.Load)
	}
	if h.Fleet.reportNotice(id, info.Limit, info.Leaving) {
		h.Log.Info("endpoint said something new", "endpoint", id, "limit_per_second", info.Limit, "leaving", info.Leaving, "request", c.info.Request)
	}
	return info
}

// endExchange ends the call at an endpoint that has answered, and returns the outcome of the exchange.
func (h *Handler) endExchange(ctx context.Context, c *call, id string, outcome attemptOutcome) attemptOutcome {
	h.endCall(c, id, h.endpointOutcome(c, ctx, outcome), h.Timer.Now().Sub(c.sentAt))
	if outcome == outcomeBroken && c.request.Context().Err() != nil {
		return outcomeCallerLeft
	}
	return outcome
}

// endpointOutcome returns what an attempt says about the health of its endpoint.
func (h *Handler) endpointOutcome(c *call, ctx context.Context, outcome attemptOutcome) jksched.DirectOutcome {
	switch outcome {
	case outcomeDone, outcomeTurnNotKept:
		return jksched.DirectServed
	case outcomeRefused:
		return jksched.DirectRefused
	}
	if c.request.Context().Err() != nil || isNoFault(ctx) {
		return jksched.DirectAbandoned
	}
	return jksched.DirectFault
}

// isNoFault reports whether an exchange was cancelled for another reason than its endpoint.
func isNoFault(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errCutOff) || errors.Is(cause, errSuperseded)
}

// recordSend records that the request is sent now, and tells the watchdog, which doesn't count the time that
// its connection took.
func (c *call) recordSend() {
	c.isAtEndpoint = true
	if c.watchdog != nil {
		c.isSent.Store(true)
		c.watchdog.progress(c.firstByteTimeout())
	}
}

// firstByteTimeout is how long the first byte of a response may take.
func (c *call) firstByteTimeout() time.Duration {
	if c.isStream() {
		return firstEventStallTimeout
	}
	return callStallTimeout
}

// handleSendError returns the outcome of an exchange without a response and reports
// it to the fleet.
func (h *Handler) handleSendError(c *call, ctx context.Context, id string, err error) attemptOutcome {
	var notSent *jkupstream.NotSentError
	callerLeft := c.request.Context().Err() != nil
	h.endCall(c, id, jksched.DirectAbandoned, 0)
	if errors.As(err, &notSent) {
		if callerLeft {
			return outcomeCallerLeft
		}
		outcome := outcomeNotSent
		if notSent.Reason == jkupstream.ReasonNotAllowed {
			// The check before the next attempt ends the request. The endpoint is sound.
			return outcome
		}
		switch notSent.Reason {
		case jkupstream.ReasonUnreachable:
			h.Fleet.unreachable(id)
			if c.isTiedTo(id) && !refusesConnections(err) {
				outcome = outcomeUnconnected
			}
		case jkupstream.ReasonOtherStart:
			// Its entry will change soon. Until then it takes no calls that belong to another start.
			h.Fleet.unreachable(id)
		case jkupstream.ReasonUnknownStart:
			h.Fleet.fault(id)
			if c.isTiedTo(id) {
				outcome = outcomeUnconnected
			}
		case jkupstream.ReasonConnectionLimit, jkupstream.ReasonCancelled:
			if c.isTiedTo(id) {
				outcome = outcomeRefused
			}
			if errors.Is(context.Cause(ctx), errStalled) {
				// A stream's connection is open by then, and the endpoint is asked for its start.
				c.givenUp = c.givenUp || c.isStream()
				if c.isTiedTo(id) {
					outcome = outcomeUnconnected
				}
			}
		}
		if outcome == outcomeNotSent {
			c.excluded = append(c.excluded, id)
		}
		h.Log.Info("request not sent to endpoint", "request", c.info.Request, "endpoint", id, "error", err)
		return outcome
	}
	if callerLeft {
		return outcomeCallerLeft
	}
	if !isNoFault(ctx) {
		h.Fleet.fault(id)
	}
	c.recordBroken(ctx)
	h.recordTooLong(c, err)
	h.Log.Info("exchange broke off", "request", c.info.Request, "endpoint", id, "error", err)
	return outcomeBroken
}

// forwardResponse sends an endpoint's response to the caller, unless the endpoint
// refused the request or the response is invalid or to be retried.
func (h *Handler) forwardResponse(ctx context.Context, c *call, resp *jkupstream.Response, respInfo ResponseInfo) attemptOutcome {
	if respInfo.NotRun {
		return outcomeRefused
	}
	success := isSuccess(resp.Status)
	if resp.Header.Get("Content-Encoding") != "" || (success && !respInfo.Signed) {
		return outcomeBroken
	}
	if !success && resp.Status >= 500 && c.route.Repeatable() && c.attempts+1 < max(c.route.MaxAttempts(), 1) {
		return outcomeBroken
	}
	if c.isStream() && success {
		if c.headerSent && mediaType(resp.Header) != mediaType(c.writer.Header()) {
			// The text of an error must not become a part of the stream.
			h.Log.Info("stream not continued", "request", c.info.Request, "endpoint", c.last.id, "content_type", resp.Header.Get("Content-Type"))
			return outcomeBroken
		}
		return h.forwardStream(ctx, c, resp, newEventReader(ctx, resp, h.largeEvents))
	}
	if c.headerSent {
		// A stream can't be followed by another response.
		return outcomeBroken
	}
	c.recordProgress()
	resp.OnRead, resp.OnWait = c.recordProgress, c.recordWait
	body, err := h.readAnswer(ctx, c, resp)
	if err != nil {
		c.recordBroken(ctx)
		h.recordTooLong(c, err)
		return outcomeBroken
	}
	copyHeader(c.writer.Header(), resp.Header)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.status, c.answer = resp.Status, body
	return outcomeDone
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// copyHeader copies all headers except hopHeaders.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
			to[name] = values
		}
	}
}

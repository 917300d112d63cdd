package jkforward

import (
	"context"
	"errors"
	"slices"
	"time"

	"jasmineknot.example/core/jksched"
)

// endCall tells the placer how the latest exchange of a call ended.
func (h *Handler) endCall(c *call, id string, outcome jksched.DirectOutcome, took time.Duration) {
	finished := jksched.FinishedCall{Endpoint: id, Ticket: c.last.ticket, Outcome: outcome, Took: took}
	if c.isStream() && !c.isContinued() {
		// Of a stream that its caller continues, the part before isn't known.
		finished.Tokens = c.events * c.service.EventTokens()
	}
	ratio, ok := h.Fleet.done(finished)
	if !ok {
		return
	}
	kind := jksched.KindService
	if c.service.Model() {
		kind = jksched.KindModel
	}
	h.Metrics.observePrediction(kind, ratio)
}

// mayPass reports whether the reason for which a request couldn't be placed may pass: its endpoints
// are full, or can't be reached.
func mayPass(err error) bool {
	var refused *jksched.RefusedError
	return !errors.As(err, &refused) || refused.Reason != jksched.ReasonVersion && refused.Reason != jksched.ReasonLeaving
}

// chooseEndpoint chooses the endpoint of the next attempt. Once the route's maximum
// of endpoints was tried, it reuses the last one unless that one has ended or is cut off:
// another one would be one more than the route allows.
func (h *Handler) chooseEndpoint(c *call) (target, error) {
	if c.attempts < max(c.route.MaxAttempts(), 1) || slices.Contains(c.excluded, c.last.id) {
		return h.Fleet.place(c.schedulerCall(), c.excluded)
	}
	if !h.isGone(c) {
		to, err := h.Fleet.reuse(c.last, c.schedulerCall(), c.givenUp)
		// An endpoint that has left the registry may still be at work.
		if err != nil || to.id != "" || !h.Crashes.awaitEnd(c.last.id, c.last.addr, c.sentAt) {
			return orLeaving(to, err)
		}
	}
	c.excluded = append(c.excluded, c.last.id)
	return h.Fleet.place(c.schedulerCall(), c.excluded)
}

// isGone reports whether the last endpoint is cut off, or has ended since the request was sent
// to it.
func (h *Handler) isGone(c *call) bool {
	return h.Fleet.isCutOff(c.last.zone) || h.Crashes.hasEnded(c.last.id, c.sentAt)
}

// orLeaving returns the endpoint, or the refusal of a request for which there is none.
func orLeaving(to target, err error) (target, error) {
	if err == nil && to.id == "" {
		return to, &jksched.RefusedError{Reason: jksched.ReasonLeaving}
	}
	return to, err
}

// awaitPlace waits until the request may be sent to an endpoint that limits the rate of
// requests. It reports false if the caller has left, or if the endpoint takes no new calls
// by then.
func (h *Handler) awaitPlace(c *call, to target) bool {
	if to.delay <= 0 {
		return true
	}
	h.Metrics.countLimited("delayed")
	ctx, cancel := context.WithCancel(c.request.Context())
	defer cancel()
	mayWait := c.interrupts(cancel)
	defer c.interrupts(nil)
	if mayWait && h.Timer.Wait(to.delay, ctx.Done()) && h.Fleet.takesCalls(to) {
		return true
	}
	h.endCall(c, to.id, jksched.DirectAbandoned, 0)
	return false
}

// placementRefusal returns the refusal for a request that couldn't be placed.
func (h *Handler) placementRefusal(c *call, err error) *refusal {
	var refused *jksched.RefusedError
	if !errors.As(err, &refused) {
		return c.finalRefusal("no_endpoint", slotRetryAfter)
	}
	if refused.Reason == jksched.ReasonLimited {
		h.Metrics.countLimited("refused")
	}
	return c.finalRefusal(string(refused.Reason), max(refused.RetryAfter, minAttemptTime))
}

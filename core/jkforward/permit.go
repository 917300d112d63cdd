package jkforward

import (
	"errors"
	"net/http"
	"time"
)

// minPermitRetryAfter is the least Retry-After of a request without a permit: Retry-After is sent in
// milliseconds, and a caller without one may try again at once.
const minPermitRetryAfter = 20 * time.Millisecond

// takePermit takes a permit for a request of a workspace with a cap. The body may have taken long,
// so that the key is checked again before.
func (h *Handler) takePermit(c *call) *refusal {
	if refused := h.authenticate(c); refused != nil {
		return refused
	}
	if h.Quota.Take == nil || c.workspace == nil || !c.workspace.IsCapped() {
		return nil
	}
	ctx, cancel := h.admissionContext(c)
	defer cancel()
	release, err := h.Quota.Take(ctx, c.workspace, c.rulesVersion, c.isFirstTurn() || c.beginsProgram)
	if err == nil {
		c.release = release
		return nil
	}
	if c.request.Context().Err() != nil {
		c.leave()
	}
	h.Log.Info("request has no permit", "request", c.info.Request, "workspace", c.workspaceName(), "error", err)
	return quotaRefusal(err)
}

// quotaRefusal maps an error of Quota.Take to a refusal. One that isn't a *QuotaError leaves open
// whether the cap allows the request, like an issuer that doesn't answer.
func quotaRefusal(err error) *refusal {
	var quota *QuotaError
	if !errors.As(err, &quota) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "cap_uncertain", retryAfter: slotRetryAfter}
	}
	retryAfter := max(quota.RetryAfter, minPermitRetryAfter)
	if quota.Unknown {
		return &refusal{status: http.StatusServiceUnavailable, reason: "cap_uncertain", retryAfter: retryAfter}
	}
	return &refusal{status: http.StatusTooManyRequests, reason: "cap_reached", retryAfter: retryAfter}
}

// releasePermit gives back the permit of a request that hasn't run: no endpoint got it, or each one
// that did stated that it didn't run it.
func (h *Handler) releasePermit(c *call) {
	if c.release != nil && !c.mayHaveRun && !c.isAtEndpoint {
		c.release()
	}
}

// isFirstTurn reports whether the request begins a program's chain. Without a record of turns a first
// one looks like any other, and counts as one that goes on, like the rest of a stream.
func (c *call) isFirstTurn() bool {
	return c.isStream() && c.service.Model() && c.route.Retain() && c.info.Previous == "" && !c.isContinued()
}

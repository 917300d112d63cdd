package jkforward

import (
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

package jkforward

import (
	"errors"

	"jasmineknot.example/core/jkupstream"
	"jasmineknot.example/core/jkwire"
)

const (
	// minAnswerBound is the least bound of a whole body, for rules that allow
	// callers only short ones.
	minAnswerBound = 1 << 20
	// maxStreamBytes bounds a stream of unknown length. A turn that is to be kept
	// has to fit into one frame.
	maxStreamBytes = jkwire.MaxFrame
	// maxTokenBytes is the length of the longest tokens in common vocabularies.
	maxTokenBytes = 128
	// minEventBound is the least bound of an event's mean size, for its fields
	// beside the tokens.
	minEventBound = 4 << 10
	// maxStreamEvents bounds a stream whose tokens aren't known: an engine that runs
	// nothing else generates as many in defaultWait, one per event.
	maxStreamEvents = 1 << 15
	// maxTurnTokens exceeds what any model generates in a turn. A caller that
	// names more has named no bound.
	maxTurnTokens = 1 << 30
	// eventSlack and eventSlackFactor allow for rules that state another number
	// of tokens per event than the endpoints use.
	eventSlack       = 16
	eventSlackFactor = 2
)

// maxAnswer bounds the body of an answer in bytes. Answers aren't expected to be
// longer than what the rules allow callers to send.
func (h *Handler) maxAnswer(c *call) int64 {
	if !c.isStream() {
		if limit := h.Rules().Limits().MaxBodyBytes; limit > 0 {
			return max(limit, minAnswerBound)
		}
		return jkupstream.DefaultMaxBody
	}
	events := c.maxEvents()
	size := max(c.service.EventTokens()*maxTokenBytes, minEventBound)
	if events > maxStreamBytes/size {
		return maxStreamBytes
	}
	return min(events*size+maxEventBytes, maxStreamBytes)
}

// maxEvents bounds the events of a turn by the most tokens that it generates.
func (c *call) maxEvents() int64 {
	tokens, stride := c.facts.MaxTokens, c.service.EventTokens()
	if tokens <= 0 || tokens > maxTurnTokens || stride <= 0 {
		return maxStreamEvents
	}
	return (tokens+stride-1)/stride*eventSlackFactor + eventSlack
}

// noteTooLong counts and logs an answer that was given up for its size.
func (h *Handler) noteTooLong(c *call, err error) {
	var long *jkupstream.TooLongError
	if !errors.As(err, &long) {
		return
	}
	h.Metrics.tooLong(string(long.Part))
	h.Log.Warn("answer too long", "request", c.facts.Request, "endpoint", c.lastEndpoint, "part", string(long.Part), "limit", long.Limit)
}

package jkforward

import (
	"errors"

	"jasmineknot.example/core/jkupstream"
	"jasmineknot.example/core/jkwire"
)

const (
	// minBodyBound is the lower limit of the bound of a whole body, for rules that
	// allow callers only short bodies.
	minBodyBound = 1 << 20
	// maxStreamBytes bounds a stream of unknown length. A retained turn has to fit
	// into one frame.
	maxStreamBytes = jkwire.MaxFrame
	// maxTokenBytes is the length of the longest tokens in common vocabularies.
	maxTokenBytes = 128
	// minEventBound is the lower limit of the bound of an event's mean size; it
	// leaves room for fields other than the tokens.
	minEventBound = 4 << 10
	// maxStreamEvents bounds a stream whose number of tokens is unknown: an engine
	// that runs nothing else generates as many in defaultTimeout, one per event.
	maxStreamEvents = 1 << 15
	// maxTurnTokens exceeds what any model generates in a turn. A larger value from
	// a caller is treated as no bound.
	maxTurnTokens = 1 << 30
	// eventSlack and eventSlackFactor allow for rules whose number of tokens per
	// event differs from what the endpoints send.
	eventSlack       = 16
	eventSlackFactor = 2
)

// maxBodyBytes bounds the body of a response in bytes. Responses aren't expected to
// be longer than the bodies that the rules allow callers to send.
func (h *Handler) maxBodyBytes(c *call) int64 {
	if !c.isStream() {
		if limit := h.Rules().Limits().MaxBodyBytes; limit > 0 {
			return max(limit, minBodyBound)
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

// maxEvents bounds the number of events of a turn by the maximum number of tokens
// that it generates.
func (c *call) maxEvents() int64 {
	tokens, perEvent := c.info.MaxTokens, c.service.EventTokens()
	if tokens <= 0 || tokens > maxTurnTokens || perEvent <= 0 {
		return maxStreamEvents
	}
	return (tokens+perEvent-1)/perEvent*eventSlackFactor + eventSlack
}

// recordTooLong counts and logs a response that was abandoned because it exceeded a
// size limit; it ignores other errors.
func (h *Handler) recordTooLong(c *call, err error) {
	var long *jkupstream.TooLongError
	if !errors.As(err, &long) {
		return
	}
	h.Metrics.countTooLong(string(long.Part))
	h.Log.Warn("answer too long", "request", c.info.Request, "endpoint", c.last.id, "part", string(long.Part), "limit", long.Limit)
}

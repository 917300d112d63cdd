package jkforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"jasmineknot.example/core/jkupstream"
)

// passStream gives the events of an answer to the caller as they arrive.
func (h *Handler) passStream(c *call, resp *jkupstream.Response) verdict {
	flusher := http.NewResponseController(c.writer)
	if !c.started {
		copyHeader(c.writer.Header(), resp.Header)
		c.status = resp.Status
		c.writer.WriteHeader(resp.Status)
		if err := flusher.Flush(); err != nil {
			return verdictLeft
		}
		c.started = true
	}
	events := newEventReader(resp)
	last := time.Time{}
	limit := c.maxEvents()
	// comments is the number of bytes in blocks of comments since the last event.
	comments := 0
	c.noteProgress()
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			return h.endStream(c, resp)
		}
		if err != nil {
			h.noteTooLong(c, err)
			h.Log.Info("stream broke off", "request", c.facts.Request, "endpoint", c.lastEndpoint, "events", c.events, "error", err)
			return verdictBroken
		}
		if !e.hasField {
			// Comments may come without end, so they are no progress.
			if comments += len(e.raw); comments > maxEventBytes {
				h.noteTooLong(c, resp.TooLong(jkupstream.PartEvent, maxEventBytes))
				return verdictBroken
			}
			if !c.hand(flusher, e, !events.isBehind()) {
				return verdictLeft
			}
			continue
		}
		if c.events >= limit {
			h.noteTooLong(c, resp.TooLong(jkupstream.PartEvents, limit))
			return verdictTooLong
		}
		last = h.notePace(c, last)
		if !c.hand(flusher, e, true) {
			return verdictLeft
		}
		comments = 0
		c.took(e)
		c.noteProgress()
	}
}

// notePace records that an event arrived after another, and returns when.
func (h *Handler) notePace(c *call, last time.Time) time.Time {
	now := h.Timer.Now()
	if c.first.IsZero() {
		c.first = now
	}
	if !last.IsZero() {
		h.Fleet.progress(c.lastEndpoint, c.service.EventTokens(), now.Sub(last))
	}
	return now
}

// hand gives the caller an event and reports whether the caller is still there.
func (c *call) hand(flusher *http.ResponseController, e event, flush bool) bool {
	if _, err := c.writer.Write(e.raw); err != nil {
		return false
	}
	return !flush || flusher.Flush() == nil
}

// noteProgress tells the watchdog that an event arrived, or the header.
func (c *call) noteProgress() {
	if c.watchdog != nil {
		c.watchdog.progress(c.nextStall())
	}
}

// nextStall is how long the next event may take. The header of a stream may come
// well before its first event.
func (c *call) nextStall() time.Duration {
	if c.events == 0 {
		return stallFirst
	}
	return stallNext
}

// took records an event that was handed to the caller.
func (c *call) took(e event) {
	c.events++
	if e.id != "" {
		c.lastEvent = e.id
	}
	if c.route.Retain() {
		c.output = append(append(c.output, e.data...), '\n')
	}
}

// endStream keeps the turn before the caller learns that it is complete.
func (h *Handler) endStream(c *call, resp *jkupstream.Response) verdict {
	if !resp.Framed() {
		h.Log.Warn("stream ended with its connection", "request", c.facts.Request, "endpoint", c.lastEndpoint)
	}
	if !c.route.Retain() {
		return verdictDone
	}
	ctx, cancel := h.timeLeft(c)
	defer cancel()
	err := h.Account.Keep(ctx, Turn{
		Request: c.facts.Request, Previous: c.facts.Previous, Program: c.facts.Program,
		Input: c.input, Output: c.output, Tokens: c.events * max(c.service.EventTokens(), 1),
		Retention: c.route.Retention(),
	})
	switch {
	case err == nil:
		c.reserved = 0
		return verdictDone
	case c.request.Context().Err() != nil:
		return verdictLeft
	}
	// A turn that isn't kept must not look complete.
	h.Log.Warn("turn not kept", "request", c.facts.Request, "error", err)
	return verdictUnkept
}

// keepLeast is the least time in which a turn is written whose answer ended at the end
// of the request's time: some round trips between zones and a sync.
const keepLeast = 100 * time.Millisecond

// timeLeft returns a context that ends with the request's time, or with its caller.
func (h *Handler) timeLeft(c *call) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	left := max(c.deadline.Sub(h.Timer.Now()), keepLeast)
	stop := h.Timer.After(left, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

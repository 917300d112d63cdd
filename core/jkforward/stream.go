package jkforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jasmineknot.example/core/jkupstream"
)

// forwardStream sends the events of a response to the caller as they arrive.
func (h *Handler) forwardStream(ctx context.Context, c *call, resp *jkupstream.Response, events *eventReader) attemptOutcome {
	flusher := http.NewResponseController(c.writer)
	continued := c.headerSent
	if !c.headerSent {
		copyHeader(c.writer.Header(), resp.Header)
		c.status = resp.Status
		c.writer.WriteHeader(resp.Status)
		if err := flusher.Flush(); err != nil {
			return outcomeCallerLeft
		}
		c.headerSent = true
	}
	defer events.close()
	lastEventAt := time.Time{}
	limit := c.maxEvents()
	// commentBytes is the size of the blocks of comments since the last event.
	commentBytes := 0
	c.recordProgress()
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			if !c.spare.claim() {
				return outcomeBroken
			}
			c.stopWatchdog()
			return h.endStream(c)
		}
		if err != nil {
			c.recordBroken(ctx)
			h.recordTooLong(c, err)
			h.Log.Info("stream broke off", "request", c.info.Request, "endpoint", c.last.id, "events", c.events, "error", err)
			return outcomeBroken
		}
		if !e.hasField {
			// An endpoint may send comments without end, so they don't count as
			// progress.
			if commentBytes += len(e.raw); commentBytes > maxEventBytes {
				h.recordTooLong(c, resp.TooLong(jkupstream.PartEvent, maxEventBytes))
				return outcomeBroken
			}
			if !c.writeEvent(flusher, e, !events.hasBuffered()) {
				return outcomeCallerLeft
			}
			continue
		}
		if continued && !followsID(e.id, c.lastEventID) {
			h.Log.Info("stream started over", "request", c.info.Request, "endpoint", c.last.id, "event", e.id, "after", c.lastEventID)
			return outcomeBroken
		}
		if !c.spare.claim() {
			return outcomeBroken
		}
		if c.events >= limit {
			h.recordTooLong(c, resp.TooLong(jkupstream.PartEvents, limit))
			return outcomeTurnTooLong
		}
		lastEventAt = h.recordPace(c, lastEventAt)
		if !c.writeEvent(flusher, e, true) {
			return outcomeCallerLeft
		}
		commentBytes = 0
		if !h.recordEvent(c, e) {
			h.recordTooLong(c, resp.TooLong(jkupstream.PartOutputs, h.outputs.limit))
			return outcomeTurnTooLong
		}
		c.recordProgress()
	}
}

// followsID reports whether an event may come after another one. Ids that aren't numbers
// can't be compared.
func followsID(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// recordPace reports the time since the previous event to the fleet and returns the
// time of this one.
func (h *Handler) recordPace(c *call, last time.Time) time.Time {
	now := h.Timer.Now()
	if c.firstEventAt.IsZero() {
		c.firstEventAt = now
		h.Programs.firstEvent(c, now.Sub(c.sentAt))
	}
	if c.events == 0 && c.reportedLoad != nil {
		h.Fleet.firstEvent(c.last.id, c.uncached, now.Sub(c.sentAt), *c.reportedLoad)
	}
	if !last.IsZero() {
		h.Fleet.progress(c.last.id, c.last.ticket, c.service.EventTokens(), now.Sub(last))
	}
	return now
}

// writeEvent sends an event to the caller and reports whether the caller is still
// connected.
func (c *call) writeEvent(flusher *http.ResponseController, e event, flush bool) bool {
	if _, err := c.writer.Write(e.raw); err != nil {
		return false
	}
	return !flush || flusher.Flush() == nil
}

// recordProgress tells the watchdog that the header, an event or a part of the body arrived.
func (c *call) recordProgress() {
	if c.watchdog != nil {
		c.hasEvents.Store(c.events > 0)
		c.hasNewEvents.Store(c.events > c.eventsBefore)
		c.watchdog.progress(c.nextEventTimeout())
	}
}

// recordWait tells the watchdog that this host begins or ends to wait before it reads on.
func (c *call) recordWait(begins bool) {
	if c.watchdog != nil {
		c.watchdog.paused.Store(begins)
		c.recordProgress()
	}
}

// stopWatchdog ends the watch over an exchange whose response is complete.
func (c *call) stopWatchdog() {
	if c.watchdog != nil {
		c.watchdog.stop()
	}
}

// nextEventTimeout is how long the next event may take. The header of a stream may
// arrive well before its first event.
func (c *call) nextEventTimeout() time.Duration {
	if c.events == 0 {
		return firstEventStallTimeout
	}
	return nextEventStallTimeout
}

// recordEvent records an event that was sent to the caller. It reports false if the turn is
// retained and there is no room for its output.
func (h *Handler) recordEvent(c *call, e event) bool {
	c.events++
	if e.id != "" {
		c.lastEventID = e.id
	}
	if !c.route.Retain() || !e.hasData {
		return true
	}
	if !h.outputs.grow(len(c.output), len(c.output)+len(e.data)+1) {
		return false
	}
	c.output = append(append(c.output, e.data...), '\n')
	return true
}

// endStream stores a retained turn before the caller sees the end of the stream.
func (h *Handler) endStream(c *call) attemptOutcome {
	if !c.route.Retain() {
		return outcomeDone
	}
	ctx, cancel := h.keepContext(c)
	defer cancel()
	err := h.Account.Keep(ctx, Turn{
		Request: c.scoped(c.info.Request), Previous: c.previousTurn(), Program: c.scoped(c.info.Program), Reservation: c.reservation,
		Input: c.input, Output: c.output, Tokens: c.events * max(c.service.EventTokens(), 1),
		Retention: c.route.Retention(), ChainPrograms: c.chainPrograms,
	})
	switch {
	case err == nil:
		c.reservedTokens = 0
		return outcomeDone
	case c.request.Context().Err() != nil:
		return outcomeCallerLeft
	}
	// A turn that isn't stored must not look complete.
	h.Log.Warn("turn not kept", "request", c.info.Request, "error", err)
	return outcomeTurnNotKept
}

// previousTurn returns the scoped name of the turn that this one continues, or "" for a first turn.
func (c *call) previousTurn() string {
	if c.info.Previous == "" {
		return ""
	}
	return c.scoped(c.info.Previous)
}

// minKeepTime is the least time for storing a turn whose stream ended at the request's
// deadline: some round trips between zones and a sync.
const minKeepTime = 100 * time.Millisecond

// keepContext returns the context for storing a turn. It ends at the request's
// deadline, or when the caller closes its connection.
func (h *Handler) keepContext(c *call) (context.Context, func()) {
	return h.deadlineContext(c, max(c.deadline.Sub(h.Timer.Now()), minKeepTime))
}

// deadlineContext returns a context that ends after a time, or when the caller closes its
// connection.
func (h *Handler) deadlineContext(c *call, left time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.request.Context())
	stop := h.Timer.After(left, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

package jkforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jkupstream"
)

const (
	// refusedBodyTime is how long the rest of a refused request's body is awaited.
	refusedBodyTime = time.Second
	// bodiesFullRetryAfter is the Retry-After of a request whose body had no room.
	bodiesFullRetryAfter = 300 * time.Millisecond
	// answerPartBytes is the size of the parts in which a whole answer is written.
	answerPartBytes = 64 << 10
)

// refusalForBody returns the refusal of a request whose body couldn't be read. Nothing of it was sent to an
// endpoint.
func refusalForBody(err error) *refusal {
	var large *http.MaxBytesError
	var ended *jkintake.BodyEndedError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.As(err, &ended) && ended.Reason == jkintake.BodyOverShare:
		return &refusal{status: http.StatusServiceUnavailable, reason: string(ended.Reason), retryAfter: bodiesFullRetryAfter}
	case errors.As(err, &ended):
		return &refusal{status: http.StatusRequestTimeout, reason: string(ended.Reason)}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
}

// boundRest bounds how long net/http awaits the rest of a refused request's body before it sends the
// refusal. Deadlines of connections are times of the machine's clock.
func (c *call) boundRest() {
	if !c.bodyBegun && c.request.ContentLength != 0 {
		_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(refusedBodyTime))
	}
}

// HeldBytes returns the size of the bodies and the whole answers that are held.
func (h *Handler) HeldBytes() int64 { return h.bodies.Held() }

// endBody ends the count of what is held of the request.
func (c *call) endBody() {
	c.dropBodies()
	if c.held != nil {
		_ = c.held.End()
	}
}

// dropBodies releases the bodies. Timers that have been stopped may refer to the call for seconds.
func (c *call) dropBodies() { c.body, c.input, c.answer = nil, nil, nil }

// ended returns the error of a request that this host has ended to make room for others.
func (c *call) ended() error {
	if c.held == nil {
		return nil
	}
	return c.held.Err()
}

// interrupts sets what ends the wait of the request if this host ends it, and reports whether it hasn't.
func (c *call) interrupts(cancel func()) bool {
	return c.held == nil || c.held.Interrupt(cancel) == nil
}

// readAnswer reads a whole answer of an endpoint, which counts until it is written. A large one waits for room.
func (h *Handler) readAnswer(ctx context.Context, c *call, resp *jkupstream.Response) ([]byte, error) {
	if c.held == nil {
		c.held = h.bodies.Begin(c.deadline, nil)
		_ = c.held.Send()
	}
	// Two buffers exist while one is copied into a larger one.
	least := 2 * (h.maxBodyBytes(c) + 1)
	resp.Room = func(ctx context.Context, more int64) error { return c.held.GrowAnswer(ctx, more, least) }
	body, err := resp.ReadAll(ctx)
	if err == nil {
		err = c.held.Answered()
	}
	return body, err
}

// writeAnswer writes a whole answer, if there is one. The body isn't needed any more then.
func (h *Handler) writeAnswer(c *call) {
	if c.answer == nil {
		return
	}
	c.writer.WriteHeader(c.status)
	answer := c.answer
	c.dropBodies()
	interrupt := func() { _ = http.NewResponseController(c.writer).SetWriteDeadline(time.Unix(1, 0)) }
	err := c.held.Answer(int64(cap(answer)), interrupt)
	if err == nil {
		for rest := answer; len(rest) > 0 && err == nil; c.held.Progress() {
			part := rest[:min(len(rest), answerPartBytes)]
			_, err = c.writer.Write(part)
			rest = rest[len(part):]
		}
		err = errors.Join(err, c.held.End())
	}
	var ended *jkintake.BodyEndedError
	if errors.As(err, &ended) {
		c.status, c.reason = statusAborted, string(ended.Reason)
		c.abort()
	}
}

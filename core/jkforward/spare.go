package jkforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkupstream"
)

// errSuperseded is the cause of an exchange that is cancelled because its spare has the next event.
var errSuperseded = errors.New("another connection has the next event")

// spareState is what has become of a spare.
type spareState string

// States of a spare. Once it is closed, none is sent any more.
const (
	spareNone   spareState = "none"
	spareOpen   spareState = "open"
	spareWon    spareState = "won"
	spareClosed spareState = "closed"
)

// spare sends a stream to its endpoint once more beside an exchange that is silent, though its connection is newer
// than the one that was given up. Nothing tells whether that connection is dead or the endpoint is at work for long,
// so neither is ended before one of them has the next event of the stream or its end.
type spare struct {
	h *Handler
	c *call
	// ctx is that of the attempt, and supersede ends the exchange.
	ctx       context.Context //nolint:containedctx // A spare lives as long as one attempt.
	supersede context.CancelCauseFunc
	// request describes the call, and lastEventID is the last event before the exchange.
	request     jksched.Call
	lastEventID string
	// mediaType is that of the part of the stream that the caller has.
	mediaType string
	// maxSent bounds how often the stream is sent.
	maxSent int
	running sync.WaitGroup

	mu     sync.Mutex
	state  spareState
	cancel context.CancelFunc
	sent   int
	answer *spareAnswer
}

// spareAnswer is the answer to a spare, of which the first event or the end has been read.
type spareAnswer struct {
	ctx    context.Context //nolint:containedctx // It is that of the exchange, which goes on.
	to     target
	sentAt time.Time
	resp   *jkupstream.Response
	events *eventReader
}

func (h *Handler) newSpare(ctx context.Context, c *call, supersede context.CancelCauseFunc) *spare {
	return &spare{
		h: h, c: c, ctx: ctx, supersede: supersede, request: c.schedulerCall(), lastEventID: c.lastEventID,
		mediaType: mediaType(c.writer.Header()), maxSent: maxSends - 1 - c.attempts - c.spares, state: spareNone,
	}
}

// open sends the spare, unless one is open or the stream was sent too often.
func (s *spare) open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != spareNone || s.sent >= s.maxSent {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.state, s.cancel = spareOpen, cancel
	s.running.Go(func() { s.run(ctx) })
}

// claim closes the spare and reports whether the exchange goes on, which is so unless the spare has the next event.
func (s *spare) claim() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state {
	case spareWon:
		return false
	case spareOpen:
		s.cancel()
	case spareNone, spareClosed:
	}
	s.state = spareClosed
	return true
}

// end closes the spare after the exchange, and returns the answer with which the stream goes on, or nil.
func (s *spare) end() *spareAnswer {
	if s == nil {
		return nil
	}
	s.claim()
	s.running.Wait()
	s.c.spares += s.sent
	return s.answer
}

// run sends the stream and waits for its next event. The run whose connection may be dead can take the last slot, so an
// endpoint that is full is asked again.
func (s *spare) run(ctx context.Context) {
	var answer *spareAnswer
	for {
		to, err := s.h.Fleet.reuse(s.c.last, s.request, true)
		if err != nil || to.id == "" {
			break
		}
		var outcome jksched.DirectOutcome
		if answer, outcome = s.exchange(ctx, to); answer != nil {
			break
		}
		s.h.Fleet.done(jksched.FinishedCall{Endpoint: to.id, Outcome: outcome})
		if outcome != jksched.DirectRefused || !s.h.Timer.Wait(slotRetryAfter, ctx.Done()) {
			break
		}
	}
	if s.finish(answer) || answer == nil {
		return
	}
	answer.close()
	s.h.Fleet.done(jksched.FinishedCall{Endpoint: answer.to.id, Outcome: jksched.DirectAbandoned})
}

// finish reports whether the stream goes on with an answer, and ends the exchange then.
func (s *spare) finish(answer *spareAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.state != spareOpen:
		return false
	case answer == nil:
		s.cancel()
		s.state = spareNone
		return false
	}
	s.state, s.answer = spareWon, answer
	s.supersede(errSuperseded)
	return true
}

// exchange returns an answer with an event that the caller doesn't have or the end of the stream, or nil and what its
// absence says about the endpoint.
func (s *spare) exchange(ctx context.Context, to target) (*spareAnswer, jksched.DirectOutcome) {
	h, c := s.h, s.c
	if to.delay > 0 && (!h.Timer.Wait(to.delay, ctx.Done()) || !h.Fleet.takesCalls(to)) {
		return nil, jksched.DirectAbandoned
	}
	left := c.deadline.Sub(h.Timer.Now())
	if left < minAttemptTime {
		return nil, jksched.DirectAbandoned
	}
	h.Log.Info("stream sent on another connection", "request", c.info.Request, "endpoint", to.id, "after", s.lastEventID)
	h.Pool.CloseIdleBefore(to.addr, h.Timer.Now().Add(-stallRecheckInterval))
	a := &spareAnswer{ctx: ctx, to: to}
	r := h.upstreamRequest(c, to.id, to.addr, left, s.lastEventID)
	r.MaySend = func() error { return h.maySendBeside(c, r.Header) }
	r.OnSend = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.sentAt = h.Timer.Now()
		s.sent++
	}
	resp, err := h.Pool.Send(ctx, r)
	if err != nil {
		return nil, jksched.DirectAbandoned
	}
	a.resp, a.events = resp, newEventReader(ctx, resp, h.largeEvents)
	info := h.Dialect.DecodeResponse(resp.Header)
	switch {
	case info.NotRun:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sent--
		a.close()
		return nil, jksched.DirectRefused
	case !info.Signed, !isSuccess(resp.Status), resp.Header.Get("Content-Encoding") != "", mediaType(resp.Header) != s.mediaType:
		a.close()
		return nil, jksched.DirectAbandoned
	}
	e, err := a.events.peek()
	if err != nil && !errors.Is(err, io.EOF) || err == nil && !followsID(e.id, s.lastEventID) {
		a.close()
		return nil, jksched.DirectAbandoned
	}
	return a, ""
}

func (a *spareAnswer) close() {
	a.events.close()
	a.resp.Close()
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// takeOver goes on with the answer to a spare in place of the exchange that it has superseded.
func (h *Handler) takeOver(c *call, a *spareAnswer) attemptOutcome {
	h.Metrics.countAttempt(string(outcomeBroken))
	c.last, c.uncached, c.sentAt, c.broken = a.to, a.to.uncached, a.sentAt, exchangeWhole
	c.spare = nil
	defer a.close()
	h.noteResponse(c, a.to.id, a.resp.Header)
	outcome := h.forwardStream(a.ctx, c, a.resp, a.events)
	return h.endExchange(a.ctx, c, a.to.id, outcome)
}

// maySendBeside is maySend beside an exchange of the same call, which it leaves as it is.
func (h *Handler) maySendBeside(c *call, header http.Header) error {
	rules, _, refused := h.checkKey(c)
	if refused != nil {
		return &deniedError{refused}
	}
	if rules.HasWorkspaces() {
		h.dropCredentials(header)
	}
	return c.recordSent()
}

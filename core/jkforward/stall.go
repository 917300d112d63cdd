package jkforward

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// errStalled is the cause of exchanges that are cancelled because nothing arrives, and the
// request may go on at another endpoint or on another connection.
var errStalled = errors.New("nothing arrives")

// Timeouts without a byte after which an exchange counts as stalled. They are longer than the
// gaps of a crowded endpoint, and leave time for another attempt before callers abandon a
// stream, which they do after a gap of two seconds.
const (
	callStallTimeout       = 350 * time.Millisecond
	firstEventStallTimeout = 900 * time.Millisecond
	nextEventStallTimeout  = 600 * time.Millisecond
)

// stallRecheckInterval is the time between two checks of an exchange that has stalled, and
// stallCheckTime the usual time of a check.
const (
	stallRecheckInterval = 200 * time.Millisecond
	stallCheckTime       = 20 * time.Millisecond
)

// maxCheckDelay is the lateness of a check that shows that this process was short of processor time,
// so that what has arrived may be unread.
const maxCheckDelay = 100 * time.Millisecond

// maxQueueTime is how long a request is left in the queue of a crowded endpoint from which nothing
// arrives.
const maxQueueTime = 2 * time.Second

// watchdog cancels an exchange that has stalled, unless it may go on.
type watchdog struct {
	timer  *jktimer.Service
	cancel func(error)
	began  time.Time
	// timeoutNanos is the current stall timeout, and progressNanos the time from
	// began to the latest progress, by the monotonic clock.
	timeoutNanos  atomic.Int64
	progressNanos atomic.Int64
	stopped       atomic.Bool
	// paused is set while this host itself doesn't read.
	paused atomic.Bool
	// judge returns why an exchange that has stalled since a time is given up, or when to ask again
	// and nil if it goes on.
	judge func(since time.Time) (again time.Duration, cause error)
}

func newWatchdog(timer *jktimer.Service, timeout time.Duration, cancel func(error), judge func(since time.Time) (time.Duration, error)) *watchdog {
	w := &watchdog{timer: timer, cancel: cancel, began: timer.Now(), judge: judge}
	w.progress(timeout)
	w.arm(timeout)
	return w
}

// progress records that something arrived and sets the timeout of the next gap.
func (w *watchdog) progress(timeout time.Duration) {
	w.timeoutNanos.Store(int64(timeout))
	w.progressNanos.Store(int64(w.timer.Now().Sub(w.began)))
}

func (w *watchdog) stop() { w.stopped.Store(true) }

// arm schedules the next check of the exchange.
func (w *watchdog) arm(after time.Duration) {
	due := w.timer.Now().Add(after)
	w.timer.After(after, func() {
		if w.stopped.Load() {
			return
		}
		if w.paused.Load() || w.timer.Now().Sub(due) > maxCheckDelay {
			w.arm(stallRecheckInterval)
			return
		}
		since := w.began.Add(time.Duration(w.progressNanos.Load()))
		left := time.Duration(w.timeoutNanos.Load()) - w.timer.Now().Sub(since)
		if left <= 0 {
			again, cause := w.judge(since)
			if cause != nil {
				w.cancel(cause)
				return
			}
			left = again
		}
		w.arm(left)
	})
}

// stall judges an exchange from whose endpoint nothing arrives. A sound endpoint may fall silent
// for a second or so, so silence alone ends an exchange only if another endpoint accepts connections
// and may take the request.
type stall struct {
	h        *Handler
	id, addr string
	// request describes the call, exclude holds the endpoints that it may not go on at, and tried those
	// that were checked besides.
	request        jksched.Call
	exclude, tried []string
	// resendable is set on requests that may be sent to the same endpoint again, and movable on those
	// that may go to a further one.
	resendable, movable bool
	// wasGivenUp is set if the request was given up at the endpoint before.
	wasGivenUp bool
	// hasEvents reports whether the caller has an event of the response, and hasNewEvents whether one has come
	// since the exchange began.
	hasEvents, hasNewEvents func() bool
	// isSent reports whether the request is sent: until then the connection is opened, and the endpoint asked for
	// its start.
	isSent func() bool
	// sendSpare sends a stream to the endpoint beside the exchange, if it can.
	sendSpare func()
	// check is the latest check of the endpoint, and other that of the endpoint at which the request
	// would go on.
	check, other *endedCheck
	// checkedAt is when the endpoint was last checked.
	checkedAt time.Time
}

func (h *Handler) newStall(c *call, id, addr string) *stall {
	c.hasEvents.Store(c.events > 0)
	c.hasNewEvents.Store(false)
	c.isSent.Store(false)
	c.eventsBefore = c.events
	return &stall{
		h: h, id: id, addr: addr, request: c.schedulerCall(), exclude: append(slices.Clone(c.excluded), id),
		resendable: c.attempts+c.spares+1 < maxSends, movable: c.attempts+1 < max(c.route.MaxAttempts(), 1),
		wasGivenUp: c.givenUp && c.mayHaveRunAt == id,
		hasEvents:  c.hasEvents.Load, hasNewEvents: c.hasNewEvents.Load, isSent: c.isSent.Load, sendSpare: c.spare.open,
	}
}

// judge returns why an exchange that has stalled since a time is given up, or when to judge it again
// and nil.
func (s *stall) judge(since time.Time) (time.Duration, error) {
	if !s.hasEvents() && s.h.Timer.Now().Sub(since) < maxQueueTime && s.h.Fleet.isCrowded(s.id) {
		// A retry would lose the request's place in the queue and waste the time that the
		// endpoint has spent on it.
		return stallRecheckInterval, nil
	}
	again := stallRecheckInterval
	if s.movable {
		switch s.checkOther(since) {
		case checkConnected:
			return 0, errStalled
		case checkPending:
			again = stallCheckTime
		case checkNone, checkRefused, checkUnanswered:
		}
	}
	return again, s.judgeEndpoint(since)
}

// checkOther checks whether another endpoint that may take the request accepts connections, one
// endpoint after the other.
func (s *stall) checkOther(since time.Time) checkResult {
	switch found := s.other.resultSince(since); found {
	case checkPending, checkConnected:
		return found
	case checkNone, checkRefused, checkUnanswered:
	}
	other, ok := s.h.Fleet.peek(s.request, slices.Concat(s.exclude, s.tried))
	if !ok {
		s.tried = nil
		return checkNone
	}
	s.tried = append(s.tried, other.id)
	s.other = s.h.Crashes.checkEndpoint(other.id, other.addr)
	return checkPending
}

// mayResend reports whether the request may be sent to the same endpoint again. One that says nothing again may be
// at work for longer than a stall lasts, and its work is lost by another request. Without one there is no work.
func (s *stall) mayResend() bool {
	return s.resendable && (!s.wasGivenUp || s.hasNewEvents() || !s.isSent())
}

// maySendSpare reports whether a request that says nothing again may be sent beside its exchange: it is a stream that only
// the end of its time limit ends, and its endpoint isn't slow because of others.
func (s *stall) maySendSpare(since time.Time) bool {
	if !s.resendable || !s.hasEvents() {
		return false
	}
	return s.h.Timer.Now().Sub(since) >= maxQueueTime || !s.h.Fleet.isCrowded(s.id)
}

// judgeEndpoint returns why an exchange is given up by what the endpoint itself shows.
func (s *stall) judgeEndpoint(since time.Time) error {
	switch s.check.resultSince(since) {
	case checkPending:
		return nil
	case checkConnected:
		// What the endpoint has sent is lost, or the connection is dead.
		switch {
		case s.h.Timer.Now().Sub(s.checkedAt) < stallRecheckInterval, !s.h.Fleet.canReuse(s.id, s.request):
		case s.mayResend():
			return errStalled
		case s.maySendSpare(since):
			s.sendSpare()
		}
		return nil
	case checkNone, checkUnanswered, checkRefused:
		// An endpoint that refuses connections may still be at work on those that it has.
	}
	s.check = s.h.Crashes.checkEndpoint(s.id, s.addr)
	s.checkedAt = s.h.Timer.Now()
	return nil
}

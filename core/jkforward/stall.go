package jkforward

import (
	"errors"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jktimer"
)

// errStalled is the cause of exchanges that are cancelled because nothing arrives.
// The response may be lost, or the connection may be dead while new connections
// work.
var errStalled = errors.New("nothing arrives")

// Timeouts without a byte after which a repeatable exchange is cancelled. They are
// longer than the gaps of a crowded endpoint, and leave time for another attempt
// before callers abandon a stream, which they do after a gap of two seconds.
const (
	callStallTimeout       = 350 * time.Millisecond
	firstEventStallTimeout = 900 * time.Millisecond
	nextEventStallTimeout  = 600 * time.Millisecond
)

// crowdedRecheckInterval is the time between two checks of a crowded endpoint.
const crowdedRecheckInterval = 200 * time.Millisecond

// watchdog cancels an exchange that stalls.
type watchdog struct {
	timer  *jktimer.Service
	cancel func(error)
	began  time.Time
	// timeoutNanos is the current stall timeout, and progressNanos the time from
	// began to the latest progress, by the monotonic clock.
	timeoutNanos  atomic.Int64
	progressNanos atomic.Int64
	stopped       atomic.Bool
	// mayExtend reports whether the first byte may take longer because the endpoint
	// is crowded.
	mayExtend func() bool
}

func newWatchdog(timer *jktimer.Service, timeout time.Duration, cancel func(error), mayExtend func() bool) *watchdog {
	w := &watchdog{timer: timer, cancel: cancel, began: timer.Now(), mayExtend: mayExtend}
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
	w.timer.After(after, func() {
		if w.stopped.Load() {
			return
		}
		silent := int64(w.timer.Now().Sub(w.began)) - w.progressNanos.Load()
		left := time.Duration(w.timeoutNanos.Load() - silent)
		if left <= 0 && w.mayExtend() {
			// A retry would lose the request's place in the queue and waste the time
			// that the endpoint has spent on it.
			left = crowdedRecheckInterval
		}
		if left <= 0 {
			w.cancel(errStalled)
			return
		}
		w.arm(left)
	})
}

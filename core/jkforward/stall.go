package jkforward

import (
	"errors"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jktimer"
)

// errStalled is the cause of exchanges that are given up because nothing
// arrives. The answer may be lost, or the connection silent for good while new
// ones work.
var errStalled = errors.New("nothing arrives")

// Times without a byte after which a repeatable exchange is given up. They
// exceed what a crowded endpoint takes, and leave room for another attempt
// before callers leave a stream, which is after a gap of two seconds.
const (
	stallCall  = 350 * time.Millisecond
	stallFirst = 900 * time.Millisecond
	stallNext  = 600 * time.Millisecond
)

// patience is the time between two looks at a crowded endpoint.
const patience = 200 * time.Millisecond

// watchdog cancels an exchange in which nothing arrives.
type watchdog struct {
	timer  *jktimer.Service
	cancel func(error)
	began  time.Time
	// limit and last are in nanoseconds; last is the time from began to the last
	// progress, by the steady clock.
	limit   atomic.Int64
	last    atomic.Int64
	stopped atomic.Bool
	// patient tells that a first byte may take longer, as the endpoint is crowded.
	patient func() bool
}

func newWatchdog(timer *jktimer.Service, limit time.Duration, cancel func(error), patient func() bool) *watchdog {
	w := &watchdog{timer: timer, cancel: cancel, began: timer.Now(), patient: patient}
	w.progress(limit)
	w.arm(limit)
	return w
}

// progress records that something arrived and sets how long the next silence
// may be.
func (w *watchdog) progress(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.last.Store(int64(w.timer.Now().Sub(w.began)))
}

func (w *watchdog) stop() { w.stopped.Store(true) }

func (w *watchdog) arm(after time.Duration) {
	w.timer.After(after, func() {
		if w.stopped.Load() {
			return
		}
		silent := int64(w.timer.Now().Sub(w.began)) - w.last.Load()
		left := time.Duration(w.limit.Load() - silent)
		if left <= 0 && w.patient() {
			// A request that is sent again loses its place in the queue, and the
			// endpoint its time.
			left = patience
		}
		if left <= 0 {
			w.cancel(errStalled)
			return
		}
		w.arm(left)
	})
}

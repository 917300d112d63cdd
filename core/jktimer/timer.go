// Package jktimer is the clock and timer service for all components. They use it instead
// of sleeping or reading the system clock, so that a test can control time with a manual
// clock.
package jktimer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Service returns the current time and runs functions at later times. Its clock is set
// by function fields: New uses the operating system's clock, NewManual one that moves
// only when a test advances it.
type Service struct {
	now    func() time.Time
	after  func(d time.Duration, run func()) (stop func() bool)
	uptime func() time.Duration
}

// New returns a service on the operating system's clock.
func New() *Service {
	return &Service{
		now: time.Now,
		after: func(d time.Duration, run func()) func() bool {
			if d <= 0 {
				return runNow(run)
			}
			return time.AfterFunc(d, run).Stop
		},
		uptime: uptime,
	}
}

// runNow is time.AfterFunc without a delay. In a bubble of testing/synctest that one starts run with the race context
// of all timers of the bubble while others may be firing, at which the race detector of go1.26.8 ends the process.
func runNow(run func()) (stop func() bool) {
	var decided atomic.Bool
	go func() {
		if decided.CompareAndSwap(false, true) {
			run()
		}
	}()
	return func() bool { return decided.CompareAndSwap(false, true) }
}

// WithUptime returns a service with the same clock and another source of Uptime. It is meant for
// tests in a bubble of testing/synctest, where only the package time has a clock of its own.
func (s *Service) WithUptime(uptime func() time.Duration) *Service {
	return &Service{now: s.now, after: s.after, uptime: uptime}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return s.now() }

// Uptime returns the time since the machine was started, including the time for which it was
// suspended. Steps of the wall clock don't change it.
func (s *Service) Uptime() time.Duration { return s.uptime() }

// After runs a function once, d from now, on its own goroutine. The returned function
// cancels the run and reports whether it did so before the run started.
func (s *Service) After(d time.Duration, run func()) (stop func() bool) {
	return s.after(d, run)
}

// Every runs a function periodically, at interval d, until the returned function is
// called. Runs never overlap; a slow run delays the next one.
func (s *Service) Every(d time.Duration, run func()) (stop func()) {
	sub := &subscription{service: s, interval: d, run: run}
	sub.schedule()
	return sub.cancel
}

// Wait blocks for d or until done is closed, and reports whether d has passed.
func (s *Service) Wait(d time.Duration, done <-chan struct{}) bool {
	fired := make(chan struct{})
	stop := s.After(d, func() { close(fired) })
	select {
	case <-fired:
		return true
	case <-done:
		stop()
		return false
	}
}

// subscription is a function that Every runs periodically.
type subscription struct {
	service  *Service
	interval time.Duration
	run      func()

	mu        sync.Mutex
	stop      func() bool
	cancelled bool
}

func (s *subscription) schedule() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelled {
		return
	}
	s.stop = s.service.After(s.interval, func() {
		s.mu.Lock()
		cancelled := s.cancelled
		s.mu.Unlock()
		if cancelled {
			return
		}
		s.run()
		s.schedule()
	})
}

func (s *subscription) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	if s.stop != nil {
		s.stop()
	}
}

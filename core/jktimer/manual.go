package jktimer

import (
	"sort"
	"sync"
	"time"
)

// Manual is a clock for tests that moves only by Advance; Suspend moves its uptime alone. Functions that are due run on
// the goroutine that calls Advance, in the order of their due times.
type Manual struct {
	mu      sync.Mutex
	current time.Time
	// ahead is how much more the uptime has grown than the clock.
	ahead   time.Duration
	start   time.Time
	serial  int
	pending []*manualTimer
}

type manualTimer struct {
	at     time.Time
	serial int
	run    func()
	// of is the service it was set on.
	of *Service
}

// NewManual returns a service and the manual clock that controls it.
func NewManual(start time.Time) (*Service, *Manual) {
	m := &Manual{current: start, start: start}
	s, _ := m.Split()
	return s, m
}

// Split returns another service on the clock, and Due of what is set on that service alone. A test that waits for
// one goroutine gives it a service of its own, since others may set functions for the same time.
func (m *Manual) Split() (s *Service, due func(at time.Time) int) {
	s = &Service{now: m.now, uptime: m.uptime}
	s.after = func(d time.Duration, run func()) func() bool { return m.after(s, d, run) }
	return s, func(at time.Time) int {
		return m.count(func(t *manualTimer) bool { return t.of == s && t.at.Equal(at) })
	}
}

// Advance moves the clock by d and runs every function that becomes due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	target := m.current.Add(d)
	m.mu.Unlock()
	for {
		next := m.popBefore(target)
		if next == nil {
			break
		}
		next.run()
	}
	m.mu.Lock()
	m.current = target
	m.mu.Unlock()
}

// Suspend moves only the uptime, as the suspension of a machine does: its clock stands still and no
// function runs.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ahead += d
}

// Due returns the number of functions that are to run at a time. A test waits for one before
// it advances the clock past what another goroutine is about to wait for.
func (m *Manual) Due(at time.Time) int {
	return m.count(func(t *manualTimer) bool { return t.at.Equal(at) })
}

func (m *Manual) count(counts func(*manualTimer) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, t := range m.pending {
		if counts(t) {
			n++
		}
	}
	return n
}

func (m *Manual) now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

func (m *Manual) uptime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current.Sub(m.start) + m.ahead
}

func (m *Manual) after(of *Service, d time.Duration, run func()) func() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serial++
	t := &manualTimer{at: m.current.Add(d), serial: m.serial, run: run, of: of}
	m.pending = append(m.pending, t)
	return func() bool { return m.remove(t) }
}

func (m *Manual) remove(t *manualTimer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range m.pending {
		if p == t {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return true
		}
	}
	return false
}

// popBefore removes and returns the earliest timer that is due at or before target, and
// sets the clock to its due time. It returns nil if there is none.
func (m *Manual) popBefore(target time.Time) *manualTimer {
	m.mu.Lock()
	defer m.mu.Unlock()
	sort.Slice(m.pending, func(i, j int) bool {
		a, b := m.pending[i], m.pending[j]
		if a.at.Equal(b.at) {
			return a.serial < b.serial
		}
		return a.at.Before(b.at)
	})
	if len(m.pending) == 0 || m.pending[0].at.After(target) {
		return nil
	}
	t := m.pending[0]
	m.pending = m.pending[1:]
	m.current = t.at
	return t
}

package jkforward

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// stoppingRetryAfter is the Retry-After of a request that a stopping host can't finish:
// other hosts serve it now, so that the caller only needs a new connection.
const stoppingRetryAfter = 20 * time.Millisecond

// errHostStopped is the cause of exchanges that are cancelled at the end of a planned stop.
var errHostStopped = errors.New("the host has stopped")

// HostStop is the planned stop of a host. From Begin on, the host takes only requests
// whose whole time limit ends before it breaks off the requests in flight, so that each
// request that reaches an endpoint also gets its response. It is safe for concurrent use.
type HostStop struct {
	mu     sync.Mutex
	endsAt time.Time
	ended  bool
	// refused is set once a request was refused for the stop.
	refused bool
	// onEnds holds what End calls, by the number of its registration.
	onEnds map[int]func()
	last   int
}

// NewHostStop returns the stop of a host that isn't stopping yet.
func NewHostStop() *HostStop { return &HostStop{onEnds: map[int]func(){}} }

// Begin starts the stop of a host that breaks off its requests at the given time.
func (s *HostStop) Begin(endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = endsAt
}

// Begun reports whether the host is stopping.
func (s *HostStop) Begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endsAt.IsZero()
}

// HasRefused reports whether a request was refused because it may last longer than the host.
func (s *HostStop) HasRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// End breaks off the exchanges in flight, whose callers get a response that says so.
func (s *HostStop) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, cancel := range s.onEnds {
		cancel()
	}
}

// hasEnded reports whether End was called.
func (s *HostStop) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// onEnd registers a function that End calls, unless the returned function is called before.
// The function must not block.
func (s *HostStop) onEnd(cancel func()) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		cancel()
	}
	s.last++
	n := s.last
	s.onEnds[n] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.onEnds, n)
	}
}

// refusal refuses a request that may last longer than its host.
func (s *HostStop) refusal(c *call) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endsAt.IsZero() || !c.deadline.After(s.endsAt) {
		return nil
	}
	s.refused = true
	return &refusal{status: http.StatusServiceUnavailable, reason: "host_stopping", retryAfter: stoppingRetryAfter}
}

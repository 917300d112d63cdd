package jkdaemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// requests counts the HTTP requests in flight and ends them at a planned stop.
type requests struct {
	inFlight atomic.Int64
	// base is the context of all requests.
	base context.Context
	end  context.CancelFunc

	mu     sync.Mutex
	endsAt time.Time
}

func newRequests() *requests {
	r := &requests{}
	r.base, r.end = context.WithCancel(context.Background())
	return r
}

// beginStop sets when the requests in flight are broken off.
func (r *requests) beginStop(endsAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endsAt = endsAt
}

// stopsAt returns when the requests in flight are broken off, zero before the stop.
func (r *requests) stopsAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endsAt
}

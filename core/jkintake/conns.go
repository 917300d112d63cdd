package jkintake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jktimer"
)

// Conns holds the connections of callers. It is safe for concurrent use.
type Conns struct {
	timer *jktimer.Service

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// heads is the number of bytes that were read of heads so far, and headLimit its bound.
	heads, headLimit int64
	headsClosed      *metrics.Counter
	// lingering is the number of connections that have ended and are still read.
	lingering int
	// unreadClosed counts the connections that were closed because their callers don't read.
	unreadClosed *metrics.Counter
	// connLimit bounds the number of connections, and idleClosed counts those that were closed for it.
	connLimit  int
	idleClosed *metrics.Counter
	// checks is set once the checks of writes have begun, which is with the first connection.
	checks bool
}

type callerConn struct {
	// busy is set while a request was read and its response hasn't been sent to its end.
	busy bool
	// since is when it was opened or became idle.
	since time.Time
	// expired is set if EndIdle has ended its reads.
	expired bool
	// head is the number of bytes that were read since the connection was opened or became idle.
	head int64
	// acknowledged is the number of bytes that the caller had taken at the last check, and checks the number
	// of checks in which a write has waited without progress.
	acknowledged uint64
	checks       int
}

// NewConns returns a set without connections.
func NewConns(timer *jktimer.Service) *Conns {
	return &Conns{timer: timer, conns: map[net.Conn]*callerConn{}}
}

// Observe records a new state of a connection.
func (b *Conns) Observe(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.checks {
		b.checks = true
		b.timer.Every(checkInterval, b.checkWrites)
	}
	if state == http.StateClosed || state == http.StateHijacked {
		if one := b.conns[c]; one != nil {
			b.forgetHead(one)
		}
		delete(b.conns, c)
		return
	}
	one := b.conns[c]
	if one == nil {
		one = &callerConn{}
		b.conns[c] = one
	}
	one.since = b.timer.Now()
	if b.connLimit > 0 && len(b.conns) > b.connLimit && state == http.StateNew {
		b.closeIdlest()
	}
	b.forgetHead(one)
	one.busy = state == http.StateActive
	if one.busy && one.expired {
		// Its request was read before the reads ended. net/http reads on while the handler runs.
		one.expired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// closeIdlest closes the connection that has had no request for longest. The caller holds the lock.
func (b *Conns) closeIdlest() {
	var idlest net.Conn
	for c, one := range b.conns {
		if !one.busy && (idlest == nil || one.since.Before(b.conns[idlest].since)) {
			idlest = c
		}
	}
	b.forgetHead(b.conns[idlest])
	delete(b.conns, idlest)
	closeNow(idlest)
	b.idleClosed.Inc()
}

// EndIdle ends the reads of all connections without a request, so that net/http closes them, but for
// those with unread bytes, which a process that is short of processor time may have for long. It
// doesn't close them itself: a request may have been read that isn't reported yet, and is answered.
// A connection that becomes idle sets a deadline of its own, so that one call isn't enough.
func (b *Conns) EndIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, one := range b.conns {
		if !one.busy && !hasUnread(c) {
			one.expired = true
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// HasUnread reports whether a connection without a request has bytes that weren't read.
func (b *Conns) HasUnread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, one := range b.conns {
		if !one.busy && hasUnread(c) {
			return true
		}
	}
	return false
}

// Idle returns the number of connections without a request.
func (b *Conns) Idle() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, one := range b.conns {
		if !one.busy {
			n++
		}
	}
	return n
}

// Count returns the number of open connections.
func (b *Conns) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns) + b.lingering
}

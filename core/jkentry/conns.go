package jkentry

import (
	"net"
	"net/http"
	"sync"
)

// busyConns holds the connections of callers with a request that was read and whose response
// hasn't been sent to its end. It is safe for concurrent use.
type busyConns struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newBusyConns() *busyConns { return &busyConns{conns: map[net.Conn]bool{}} }

// observe records a new state of a connection.
func (b *busyConns) observe(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state == http.StateActive {
		b.conns[c] = true
		return
	}
	delete(b.conns, c)
}

func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

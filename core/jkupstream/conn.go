package jkupstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	pool    *Pool
	addr    string
	nc      net.Conn
	bounded *boundedReader
	reader  *bufio.Reader
	// relayed is set on a connection through another host.
	relayed  bool
	openedAt time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	idleSince   time.Time
	// startAsked is set once the endpoint was asked for its start, and hasStart if it reported one, at
	// born.
	startAsked, hasStart bool
	born                 int64

	mu     sync.Mutex
	closed bool
}

func newConn(p *Pool, addr string, nc net.Conn, relayed bool) *conn {
	bounded := &boundedReader{conn: nc, addr: addr}
	return &conn{pool: p, addr: addr, nc: nc, relayed: relayed, openedAt: p.timer.Now(), bounded: bounded, reader: bufio.NewReaderSize(bounded, 4<<10), idleTimeout: p.opt.IdleTimeout}
}

// close closes the connection and reports whether it was open.
func (c *conn) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	_ = c.nc.Close()
	return true
}

// isReusable reports whether the endpoint has neither sent anything nor closed the
// connection while it was idle. Bytes that arrived then belong to no request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

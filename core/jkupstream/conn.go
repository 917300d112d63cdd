package jkupstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	pool    *Pool
	addr    string
	nc      net.Conn
	bounded *boundedReader
	reader  *bufio.Reader
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	idleSince   time.Time

	mu     sync.Mutex
	closed bool
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	bounded := &boundedReader{conn: nc, addr: addr}
	return &conn{pool: p, addr: addr, nc: nc, bounded: bounded, reader: bufio.NewReaderSize(bounded, 4<<10), idleTimeout: p.opt.IdleTimeout}
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
	tc, ok := c.nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tc.SyscallConn()
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

// userTimeout is how long sent bytes may stay unacknowledged before the
// connection fails: several round trips between zones, and short enough to try
// another endpoint within a caller's deadline.
const userTimeout = 900 * time.Millisecond

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	// An operating system without the option keeps its default, which only delays the
	// detection of an unresponsive endpoint.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

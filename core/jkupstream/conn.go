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
	pool   *Pool
	addr   string
	nc     net.Conn
	in     *inflow
	reader *bufio.Reader
	// keep is how long the connection may be idle.
	keep      time.Duration
	idleSince time.Time

	mu     sync.Mutex
	closed bool
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	in := &inflow{conn: nc, addr: addr}
	return &conn{pool: p, addr: addr, nc: nc, in: in, reader: bufio.NewReaderSize(in, 4<<10), keep: p.opt.IdleTimeout}
}

// close reports whether this call closed the connection.
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

// isQuiet reports whether the endpoint has sent nothing and not closed the
// connection while it was idle. Bytes that arrived belong to no request.
func (c *conn) isQuiet() bool {
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
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// userTimeout is how long sent bytes may stay unacknowledged before the
// connection fails: several round trips between zones, and short enough to try
// another endpoint within a caller's deadline.
const userTimeout = 900 * time.Millisecond

func setUserTimeout(nc net.Conn) {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	// A system without the option keeps its default, which only delays the
	// detection of a silent endpoint.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

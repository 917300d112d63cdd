package jkintake

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// MaxHead bounds the head of one request.
	MaxHead = 64 << 10
	// minHeads is the least bound of the heads, which is that of two of the longest ones.
	minHeads = 2 * MaxHead
)

// listener accepts connections of callers and counts what is read of requests' heads.
type listener struct {
	net.Listener
	conns *Conns
}

// callerTCPConn is a connection whose reads are counted while it has no request.
type callerTCPConn struct {
	*net.TCPConn
	conns *Conns
	// writes is the number of writes that wait for the caller.
	writes atomic.Int32
	// answered is set once something was written, and closesNow once Close doesn't wait.
	answered, closesNow atomic.Bool
}

// Listen returns a listener whose connections are closed where the heads that are being read exceed a
// number of bytes in sum, the largest one first, where a caller doesn't read its answer, and where there are too many.
func (b *Conns) Listen(l net.Listener, limits Limits, set *metrics.Set) net.Listener {
	b.headLimit, b.connLimit = max(limits.Heads, minHeads), limits.Conns
	b.idleClosed = set.GetOrCreateCounter("jk_idle_connections_closed_total")
	b.headsClosed = set.GetOrCreateCounter("jk_heads_closed_total")
	b.unreadClosed = set.GetOrCreateCounter("jk_unread_answers_closed_total")
	return listener{Listener: l, conns: b}
}

// SyscallConn implements syscall.Conn where the listener does.
func (l listener) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := l.Listener.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &callerTCPConn{TCPConn: tcp, conns: l.conns}, nil
	}
	return c, nil
}

func (c *callerTCPConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.conns.countHead(c, int64(n))
	}
	return n, err
}

// countHead counts bytes that were read from a connection. The bytes of a body aren't counted.
func (b *Conns) countHead(c net.Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.conns[c]
	if one == nil || one.busy {
		return
	}
	one.head += n
	b.heads += n
	for b.heads > b.headLimit {
		b.closeLargest()
	}
}

// closeLargest closes the connection with the largest head. The caller holds the lock.
func (b *Conns) closeLargest() {
	var largest net.Conn
	for c, one := range b.conns {
		if largest == nil || one.head > b.conns[largest].head {
			largest = c
		}
	}
	b.forgetHead(b.conns[largest])
	closeNow(largest)
	b.headsClosed.Inc()
}

// forgetHead ends the count of a connection's head. The caller holds the lock.
func (b *Conns) forgetHead(one *callerConn) {
	b.heads -= one.head
	one.head = 0
}

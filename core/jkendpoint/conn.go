package jkendpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// countedConn counts the bytes of a connection and can be sealed against
// further writes.
type countedConn struct {
	net.Conn

	mu sync.Mutex
	// sent counts the bytes that were written or may still be: a write counts
	// when it starts, because a response can arrive before it returns.
	sent   int64
	read   int64
	sealed bool
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.sent += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	c.sent -= int64(len(b) - n)
	c.mu.Unlock()
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.read += int64(n)
	c.mu.Unlock()
	return n, err
}

// byteCounts holds the bytes sent and read on a connection.
type byteCounts struct{ sent, read int64 }

func (c *countedConn) byteCounts() byteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return byteCounts{c.sent, c.read}
}

// sealUnwritten returns the counts and, if nothing was written since base,
// prevents any later write. After a cancelled request net/http may still write
// from another goroutine; without the seal, "nothing written" could become
// untrue after it was reported.
func (c *countedConn) sealUnwritten(base byteCounts) byteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.sent == base.sent
	return byteCounts{c.sent, c.read}
}

// attempt tracks the connection and the byte counts of one request, to tell whether it may
// have run.
type attempt struct {
	addr   string
	cancel context.CancelFunc
	status int // of the response, 0 before its header arrived

	mu      sync.Mutex
	conn    *countedConn
	base    byteCounts // of the connection before this request
	reused  bool
	earlier byteCounts // of connections before the current one
}

// gotConn records the connection that net/http has chosen for the request.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.earlier = a.total(a.conn.byteCounts())
	}
	if !ok {
		return
	}
	a.conn, a.base, a.reused = conn, conn.byteCounts(), info.Reused
}

// total returns the request's byte counts over its current and earlier connections. The
// caller holds mu.
func (a *attempt) total(now byteCounts) byteCounts {
	return byteCounts{
		sent: a.earlier.sent + now.sent - a.base.sent,
		read: a.earlier.read + now.read - a.base.read,
	}
}

// failure turns a transport error into a *NotSentError or an *UncertainError.
func (a *attempt) failure(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return &NotSentError{Addr: a.addr, Err: err}
	}
	sum := a.total(a.conn.sealUnwritten(a.base))
	if sum.sent == 0 {
		return &NotSentError{Addr: a.addr, Err: err}
	}
	return &UncertainError{
		Addr: a.addr, BytesSent: sum.sent, ResponseStarted: sum.read > 0 || a.status != 0,
		Status: a.status, Reused: a.reused, Err: err,
	}
}

// done ends the request. An unread body closes the connection, which tells the
// endpoint to cancel.
func (a *attempt) done(resp *http.Response) {
	a.cancel()
	resp.Body.Close()
}

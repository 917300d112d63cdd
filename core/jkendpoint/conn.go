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
	// when it starts, because an answer can arrive before it returns.
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

type counts struct{ sent, read int64 }

func (c *countedConn) counts() counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return counts{c.sent, c.read}
}

// sealUnwritten returns the counts and, if nothing was written since base,
// prevents any later write. After a cancelled request net/http may still write
// from another goroutine; without the seal, "nothing written" could become
// untrue after it was reported.
func (c *countedConn) sealUnwritten(base counts) counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || c.sent == base.sent
	return counts{c.sent, c.read}
}

// attempt records what one request put on the wire.
type attempt struct {
	addr   string
	cancel context.CancelFunc
	status int // of the answer, 0 before its header arrived

	mu      sync.Mutex
	conn    *countedConn
	base    counts // counts of the connection before this request
	reused  bool
	earlier counts // written on connections before the current one
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.earlier = a.total(a.conn.counts())
	}
	if !ok {
		return
	}
	a.conn, a.base, a.reused = conn, conn.counts(), info.Reused
}

// total adds the current connection's counts to those of earlier ones. The
// caller holds mu.
func (a *attempt) total(now counts) counts {
	return counts{
		sent: a.earlier.sent + now.sent - a.base.sent,
		read: a.earlier.read + now.read - a.base.read,
	}
}

// failure turns an error of the transport into a *NotSentError or an
// *UncertainError.
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
		Addr: a.addr, BytesSent: sum.sent, Answered: sum.read > 0 || a.status != 0,
		Status: a.status, Reused: a.reused, Err: err,
	}
}

// done ends the request. An unread body closes the connection, which tells the
// endpoint to cancel.
func (a *attempt) done(resp *http.Response) {
	a.cancel()
	resp.Body.Close()
}

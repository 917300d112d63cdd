package jkintake

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// lingerTime and lingerBytes bound how long and how much is read of a connection that ends,
// maxLingering is the number of such connections, and lingerStep the time between two looks at what
// the caller hasn't received.
const (
	lingerTime   = 5 * time.Second
	lingerBytes  = 256 << 10
	maxLingering = 256
	lingerStep   = 50 * time.Millisecond
)

// SetLinger sets what Close does with unsent data, which it doesn't wait for then.
func (c *callerTCPConn) SetLinger(seconds int) error {
	c.closesNow.Store(true)
	return c.TCPConn.SetLinger(seconds)
}

// ReadFrom implements io.ReaderFrom.
func (c *callerTCPConn) ReadFrom(r io.Reader) (int64, error) {
	c.answered.Store(true)
	return c.TCPConn.ReadFrom(r)
}

// Close implements net.Conn. The kernel resets a connection that is closed with unread bytes, and
// discards what the caller hasn't received of its answer.
func (c *callerTCPConn) Close() error {
	if !c.answered.Load() || c.closesNow.Swap(true) || !hasUnread(c.TCPConn) || !c.conns.beginLingering() {
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// closeNow closes a connection without receiving what its caller sends.
func closeNow(c net.Conn) {
	if one, ok := c.(*callerTCPConn); ok {
		one.closesNow.Store(true)
	}
	_ = c.Close()
}

// linger reads a connection until its caller has received all or has closed it, and closes it.
func (c *callerTCPConn) linger() {
	defer c.conns.endLingering()
	defer func() { _ = c.TCPConn.Close() }()
	if c.CloseWrite() != nil {
		return
	}
	var buf [1024]byte
	read := 0
	for end := time.Now().Add(lingerTime); read < lingerBytes && time.Now().Before(end); {
		if err := c.SetReadDeadline(time.Now().Add(lingerStep)); err != nil {
			return
		}
		n, err := c.TCPConn.Read(buf[:])
		read += n
		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || !hasUnsent(c.TCPConn)) {
			return
		}
	}
}

// beginLingering reports whether one more connection that has ended may be read.
func (b *Conns) beginLingering() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lingering >= maxLingering {
		return false
	}
	b.lingering++
	return true
}

func (b *Conns) endLingering() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lingering--
}

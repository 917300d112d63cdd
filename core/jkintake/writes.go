package jkintake

import (
	"net"
	"time"
)

const (
	// checkInterval is the interval at which bodies and answers without progress are noticed.
	checkInterval = time.Second
	// maxChecks is the number of checks without progress after which a body or an answer is ended. A pause of
	// this process takes one of them.
	maxChecks = 10
)

func (c *callerTCPConn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	c.writes.Add(1)
	defer c.writes.Add(-1)
	return c.TCPConn.Write(p)
}

// checkWrites resets the connections whose callers take nothing of an answer that waits for them. Closed
// ones would keep the part that the kernel has.
func (b *Conns) checkWrites() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, one := range b.conns {
		if b.isStalled(c, one) {
			_ = c.(*callerTCPConn).SetLinger(0)
			_ = c.Close()
			b.unreadClosed.Inc()
		}
	}
}

// isStalled checks one connection. The caller holds the lock.
func (b *Conns) isStalled(c net.Conn, one *callerConn) bool {
	tcp, ok := c.(*callerTCPConn)
	if !ok || tcp.writes.Load() == 0 {
		one.checks = 0
		return false
	}
	if n, known := acknowledged(tcp); !known || n != one.acknowledged {
		one.acknowledged, one.checks = n, 0
		return false
	}
	one.checks++
	return one.checks > maxChecks
}

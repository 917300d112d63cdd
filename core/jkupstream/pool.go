// Package jkupstream sends requests to endpoints over HTTP/1.1 on pooled connections.
// It sends each request once, and its errors tell whether the request may have run.
// It doesn't retry and doesn't choose endpoints; jkforward does.
package jkupstream

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasmineknot.example/core/jktimer"
)

// Options configure a pool. Zero values aren't replaced: start from DefaultOptions.
type Options struct {
	// DialTimeout bounds the time in which a connection is established.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open if the endpoint sends no
	// Keep-Alive timeout.
	IdleTimeout time.Duration
	// MaxIdleNonRepeatable is how long a connection may have been idle to carry a
	// request that can't be repeated. An endpoint may close an idle connection
	// without notice, and then it isn't known whether the request ran.
	MaxIdleNonRepeatable time.Duration
	// MaxPerAddress bounds the open connections to one endpoint.
	MaxPerAddress int
	// Dial opens a connection to an endpoint and reports whether it leads through another host; nil
	// means a TCP connection of this host's own.
	Dial func(ctx context.Context, addr string) (conn net.Conn, relayed bool, err error)
	// OnAnswer is called for each response on a connection of this host's own; nil if nobody is told.
	OnAnswer func()
}

// DefaultOptions suit endpoints within a region.
func DefaultOptions() Options {
	return Options{
		DialTimeout:          350 * time.Millisecond,
		IdleTimeout:          4 * time.Second,
		MaxIdleNonRepeatable: 700 * time.Millisecond,
		// The endpoints' own limits divide among all hosts; 48 leaves room for a
		// few hosts that get most of the traffic.
		MaxPerAddress: 48,
	}
}

// maxRelayedAge is the age up to which a connection through another host carries further requests, so
// that this host returns to its own ones, and the other one can stop.
const maxRelayedAge = 1500 * time.Millisecond

// Pool holds idle connections to endpoints and counts the open ones.
type Pool struct {
	opt   Options
	timer *jktimer.Service
	// opened is called for each new connection.
	opened func()
	// largeBodies is a semaphore of the large bodies that are being read.
	largeBodies chan struct{}
	// bodies counts the buffers of the bodies that are being read.
	bodies heldBytes

	mu        sync.Mutex
	idle      map[string][]*conn
	openCount map[string]int
}

// NewPool returns an empty pool. It calls opened for each new connection.
func NewPool(opt Options, timer *jktimer.Service, opened func()) *Pool {
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	if opt.OnAnswer == nil {
		opt.OnAnswer = func() {}
	}
	p := &Pool{
		opt: opt, timer: timer, opened: opened,
		largeBodies: make(chan struct{}, maxLargeBodies), idle: map[string][]*conn{}, openCount: map[string]int{},
	}
	timer.Every(time.Second, p.closeExpired)
	return p
}

func dialTCP(ctx context.Context, addr string) (net.Conn, bool, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	return conn, false, err
}

// BodyBytes returns the size of the buffers of the bodies that are being read.
func (p *Pool) BodyBytes() int64 { return p.bodies.now.Load() }

// acquire returns an idle connection to the address or opens one. Of the idle
// connections, only a recently used one carries a request that can't be repeated.
func (p *Pool) acquire(ctx context.Context, addr string, repeatable bool) (*conn, error) {
	now := p.timer.Now()
	for {
		c := p.takeIdle(addr)
		if c == nil {
			return p.dialConn(ctx, addr)
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleTimeout && (repeatable || idle < p.opt.MaxIdleNonRepeatable) && c.isReusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle removes the most recently used idle connection to the address from the pool
// and returns it, or nil if there is none.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// dialConn opens a connection unless the address has the maximum already.
func (p *Pool) dialConn(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.openCount[addr] >= p.opt.MaxPerAddress {
		p.mu.Unlock()
		return nil, &NotSentError{Addr: addr, Reason: ReasonConnectionLimit}
	}
	p.openCount[addr]++
	p.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	nc, relayed, err := p.opt.Dial(dialCtx, addr)
	if err != nil {
		p.releaseSlot(addr)
		reason := ReasonUnreachable
		if ctx.Err() != nil {
			reason = ReasonCancelled
		}
		return nil, &NotSentError{Addr: addr, Reason: reason, Cause: err}
	}
	p.opened()
	return newConn(p, addr, nc, relayed), nil
}

func (p *Pool) releaseSlot(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount[addr]--
	if p.openCount[addr] <= 0 {
		delete(p.openCount, addr)
	}
}

func (p *Pool) discard(c *conn) {
	if c.close() {
		p.releaseSlot(c.addr)
	}
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = p.timer.Now()
	if c.relayed && c.idleSince.Sub(c.openedAt) > maxRelayedAge {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// closeExpired closes the connections that have been idle for too long.
func (p *Pool) closeExpired() {
	now := p.timer.Now()
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// CloseIdle closes the idle connections to an address whose endpoint was removed.
func (p *Pool) CloseIdle(addr string) { p.closeIdle(addr, func(*conn) bool { return true }) }

// CloseIdleBefore closes those to an address that have carried no response since a time: the endpoint may have lost
// them.
func (p *Pool) CloseIdleBefore(addr string, since time.Time) {
	p.closeIdle(addr, func(c *conn) bool { return c.idleSince.Before(since) })
}

func (p *Pool) closeIdle(addr string, isClosed func(c *conn) bool) {
	var closed, kept []*conn
	p.mu.Lock()
	for _, c := range p.idle[addr] {
		if isClosed(c) {
			closed = append(closed, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle[addr] = kept
	if len(kept) == 0 {
		delete(p.idle, addr)
	}
	p.mu.Unlock()
	for _, c := range closed {
		p.discard(c)
	}
}

// HasIdle reports whether any connection is idle.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// CloseIdleDirect closes all idle connections of this host's own, because it is cut off from the
// endpoints.
func (p *Pool) CloseIdleDirect() {
	var closed []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if c.relayed {
				kept = append(kept, c)
				continue
			}
			closed = append(closed, c)
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range closed {
		p.discard(c)
	}
}

// keepAliveMargin is subtracted from an endpoint's Keep-Alive timeout, so that a
// request isn't sent while the endpoint closes the connection.
const keepAliveMargin = 700 * time.Millisecond

// keepAliveTimeout returns the idle timeout for the value of a Keep-Alive header, or the
// fallback if it has no valid timeout.
func keepAliveTimeout(header string, fallback time.Duration) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return fallback
		}
		return min(time.Duration(seconds)*time.Second-keepAliveMargin, fallback*4)
	}
	return fallback
}

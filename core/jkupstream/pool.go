// Package jkupstream sends requests to endpoints over HTTP/1.1. It sends each
// request exactly once, and its errors tell whether the request may have run.
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

// Options configure a pool. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the set-up of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the endpoint doesn't
	// say for how long it keeps it.
	IdleTimeout time.Duration
	// FreshIdle is how long a connection may have been idle to carry a request
	// that can't be repeated. An endpoint may drop an idle connection without
	// notice, after which it isn't known whether the request ran.
	FreshIdle time.Duration
	// MaxPerAddress bounds the open connections to one endpoint.
	MaxPerAddress int
}

// DefaultOptions suit endpoints within a region.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 350 * time.Millisecond,
		IdleTimeout: 4 * time.Second,
		FreshIdle:   700 * time.Millisecond,
		// The endpoints' own limits divide among all hosts; 48 leaves room for a
		// few hosts that get most of the traffic.
		MaxPerAddress: 48,
	}
}

// Pool keeps connections to endpoints.
type Pool struct {
	opt   Options
	timer *jktimer.Service
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	// opened counts the connections opened so far.
	opened func()
	// large holds a token for each large body that is being read.
	large chan struct{}

	mu    sync.Mutex
	idle  map[string][]*conn
	count map[string]int
}

// NewPool returns an empty pool. The function opened is called for each new
// connection.
func NewPool(opt Options, timer *jktimer.Service, opened func()) *Pool {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	p := &Pool{
		opt: opt, timer: timer, opened: opened,
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
		large: make(chan struct{}, maxLargeBodies), idle: map[string][]*conn{}, count: map[string]int{},
	}
	timer.Every(time.Second, p.sweep)
	return p
}

// get returns a kept connection to the address or opens one. Only a recently
// used connection carries a request that can't be repeated.
func (p *Pool) get(ctx context.Context, addr string, repeatable bool) (*conn, error) {
	now := p.timer.Now()
	for {
		c := p.take(addr)
		if c == nil {
			return p.open(ctx, addr)
		}
		idle := now.Sub(c.idleSince)
		if idle < c.keep && (repeatable || idle < p.opt.FreshIdle) && c.isQuiet() {
			return c, nil
		}
		p.discard(c)
	}
}

// take removes the most recently used connection of the address.
func (p *Pool) take(addr string) *conn {
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

func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.count[addr] >= p.opt.MaxPerAddress {
		p.mu.Unlock()
		return nil, &NotSentError{Addr: addr, Reason: ReasonConnectionLimit}
	}
	p.count[addr]++
	p.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	nc, err := p.dial(dialCtx, addr)
	if err != nil {
		p.release(addr)
		reason := ReasonUnreachable
		if ctx.Err() != nil {
			reason = ReasonCancelled
		}
		return nil, &NotSentError{Addr: addr, Reason: reason, Cause: err}
	}
	p.opened()
	setUserTimeout(nc)
	return newConn(p, addr, nc), nil
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[addr]--
	if p.count[addr] <= 0 {
		delete(p.count, addr)
	}
}

func (p *Pool) discard(c *conn) {
	if c.close() {
		p.release(c.addr)
	}
}

func (p *Pool) put(c *conn) {
	c.idleSince = p.timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// sweep closes connections that have been idle for too long.
func (p *Pool) sweep() {
	now := p.timer.Now()
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keep {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// Forget closes the idle connections to an address, because its endpoint left.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		p.discard(c)
	}
}

// keepMargin is taken off the time for which an endpoint says that it keeps a
// connection, so that a request doesn't cross its close.
const keepMargin = 700 * time.Millisecond

// keepTime reads the timeout of a Keep-Alive header.
func keepTime(header string, fallback time.Duration) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return fallback
		}
		return min(time.Duration(seconds)*time.Second-keepMargin, fallback*4)
	}
	return fallback
}

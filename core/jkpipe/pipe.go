// Package jkpipe connects hosts in memory, for tests in a bubble of testing/synctest. Time
// passes there only while all goroutines wait, which those that read from sockets never do.
package jkpipe

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network connects the listeners of addresses, which are any names.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*listener{}} }

// Listen returns the listener of an address.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{addr: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// RefusedError is returned by Dial if nothing listens on the address.
type RefusedError struct{ Addr string }

func (e *RefusedError) Error() string { return fmt.Sprintf("nothing listens on %s", e.Addr) }

// Dial connects to the listener of an address.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, &RefusedError{Addr: addr}
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, &RefusedError{Addr: addr}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// address implements net.Addr.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// listener implements net.Listener.
type listener struct {
	addr      address
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }

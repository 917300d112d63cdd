package jkstandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktimer"
)

// Server serves a stand-in on a TCP address. Unlike httptest.Server it can refuse
// connections for some time and then listen on the same address again.
type Server struct {
	handler http.Handler
	timer   *jktimer.Service
	address string
	open    func(address string) (net.Listener, error)

	mu            sync.Mutex
	httpServer    *http.Server
	closed        bool
	cancelRestart func() bool // cancels the pending restart after a crash
}

// Serve starts a server for a handler; port 0 selects a free port. If the handler is an
// Engine, its crashes close the address for as long as the engine is down.
func Serve(address string, handler http.Handler, timer *jktimer.Service) (*Server, error) {
	return serveOn(openTCP, address, handler, timer)
}

func openTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// serveOn starts a server that opens its listeners by a function.
func serveOn(open func(string) (net.Listener, error), address string, handler http.Handler, timer *jktimer.Service) (*Server, error) {
	s := &Server{handler: handler, timer: timer, address: address, open: open}
	if err := s.listen(); err != nil {
		return nil, err
	}
	if e, ok := handler.(*Engine); ok {
		e.OnCrash(s.Crash)
	}
	return s, nil
}

// listen starts an HTTP server on the address. The caller holds mu, or no other
// goroutine has the server yet.
func (s *Server) listen() error {
	l, err := s.open(s.address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.httpServer = server
	go func() { _ = server.Serve(l) }() // returns after Close or Shutdown
	return nil
}

// Address returns the address that the server listens on, with the actual port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Crash closes the address and all connections, and restarts the server after d.
func (s *Server) Crash(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.httpServer.Close() // the connections are closed even on an error
	if s.cancelRestart != nil {
		s.cancelRestart()
	}
	s.cancelRestart = s.timer.After(d, s.restart)
}

// restart listens on the address again. A connection that is being torn down may still
// occupy the port, so it retries until it succeeds.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.listen() != nil {
		s.cancelRestart = s.timer.After(10*time.Millisecond, s.restart)
	}
}

// Shutdown stops accepting connections and waits for requests in flight until ctx is
// done; then it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	server := s.markClosed()
	err := server.Shutdown(ctx)
	if err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}

// Close stops the server and closes all connections.
func (s *Server) Close() error { return s.markClosed().Close() }

// markClosed prevents further restarts and returns the HTTP server to close.
func (s *Server) markClosed() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.cancelRestart != nil {
		s.cancelRestart()
	}
	return s.httpServer
}

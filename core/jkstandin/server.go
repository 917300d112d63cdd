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

// Server serves a stand-in on a TCP address. Unlike an httptest server it can
// refuse connections for a while and come back on the same address.
type Server struct {
	handler http.Handler
	timer   *jktimer.Service
	address string

	mu     sync.Mutex
	http   *http.Server
	closed bool
	stop   func() bool // cancels the restart
}

// Serve starts to serve a handler; port 0 picks a free port. The crashes of an
// Engine close the address for as long as it is down.
func Serve(address string, handler http.Handler, timer *jktimer.Service) (*Server, error) {
	s := &Server{handler: handler, timer: timer, address: address}
	if err := s.listen(); err != nil {
		return nil, err
	}
	if e, ok := handler.(*Engine); ok {
		e.OnCrash(s.Crash)
	}
	return s, nil
}

// listen starts an HTTP server on the address. The caller holds mu or is the
// only user.
func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.http = server
	go func() { _ = server.Serve(l) }() // ends with Close or Shutdown
	return nil
}

// Address returns the address in use, with its real port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Crash closes the address and all connections and returns after d.
func (s *Server) Crash(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	_ = s.http.Close() // the connections are gone either way
	if s.stop != nil {
		s.stop()
	}
	s.stop = s.timer.After(d, s.restart)
}

// restart listens again. The port may still be taken by a connection that is
// being torn down, so it tries until it succeeds.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.listen() != nil {
		s.stop = s.timer.After(10*time.Millisecond, s.restart)
	}
}

// Shutdown stops accepting and waits for requests in flight until ctx ends;
// then it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	server := s.end()
	err := server.Shutdown(ctx)
	if err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}

// Close stops the server and closes all connections.
func (s *Server) Close() error { return s.end().Close() }

func (s *Server) end() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.stop != nil {
		s.stop()
	}
	return s.http
}

package jkwire

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is compared exactly when two daemons connect.
const ProtocolVersion = 1

// typeHello is the first stream of each connection.
const typeHello = "hello"

// Hello introduces the dialling daemon.
type Hello struct {
	Host    string `msgpack:"host"`
	Start   uint64 `msgpack:"start"`
	Zone    string `msgpack:"zone"`
	Version int    `msgpack:"version"`
}

// maxStreams bounds the streams that one connection may have open at a server;
// beyond it a new stream is refused with code too_many_streams.
const maxStreams = 16384

// Server accepts connections of other daemons and runs one handler per stream.
type Server struct {
	listener net.Listener
	self     Hello
	handle   func(ctx context.Context, s *Incoming)
	control  func(messageType string) bool
	counters *Counters
	faults   *Faults

	mu     sync.Mutex
	conns  map[*serverConn]bool
	closed bool
	done   sync.WaitGroup
}

// ServerOptions holds what a server needs.
type ServerOptions struct {
	Self Hello
	// Handle runs on its own goroutine for each stream.
	Handle func(ctx context.Context, s *Incoming)
	// Control tells which message types count as control traffic.
	Control  func(messageType string) bool
	Counters *Counters
	Faults   *Faults
}

// NewServer starts to accept connections on the listener.
func NewServer(l net.Listener, o ServerOptions) *Server {
	s := &Server{
		listener: l,
		self:     o.Self,
		handle:   o.Handle,
		control:  o.Control,
		counters: o.Counters,
		faults:   o.Faults,
		conns:    map[*serverConn]bool{},
	}
	s.done.Add(1)
	go s.accept()
	return s
}

// Close stops the server, cancels the context of every handler and waits for
// them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.link.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &serverConn{server: s, link: newLink(conn, s.counters, s.faults), streams: map[uint64]context.CancelFunc{}}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[c] = true
		s.done.Add(1)
		s.mu.Unlock()
		go c.serve()
	}
}

func (s *Server) forget(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	link   *link
	peer   Hello

	mu       sync.Mutex
	streams  map[uint64]context.CancelFunc
	handlers sync.WaitGroup
}

func (c *serverConn) serve() {
	defer c.server.done.Done()
	defer c.server.forget(c)
	defer c.handlers.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.link.conn.Close()
	for {
		f, err := c.link.read()
		if err != nil {
			return
		}
		if !c.accept(ctx, f) {
			return
		}
	}
}

// accept handles one frame and reports whether the connection goes on.
func (c *serverConn) accept(ctx context.Context, f *Frame) bool {
	switch {
	case f.Kind == KindCancel:
		c.cancel(f.Stream)
		return true
	case f.Kind != KindOpen && f.Kind != KindNotify:
		return false
	case f.Type == typeHello:
		return c.hello(f)
	case c.peer.Host == "":
		return false
	}
	in := &Incoming{conn: c, stream: f.Stream, messageType: f.Type, body: f.Body, control: c.server.control(f.Type), silent: f.Kind == KindNotify}
	streamCtx, cancel := context.WithCancel(ctx)
	if !c.add(f.Stream, cancel) {
		cancel()
		return in.Fail("too_many_streams", "the connection has too many open streams") == nil
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer c.cancel(f.Stream)
		c.server.handle(streamCtx, in)
	}()
	return true
}

func (c *serverConn) hello(f *Frame) bool {
	var h Hello
	if err := msgpack.Unmarshal(f.Body, &h); err != nil || h.Host == "" {
		return false
	}
	reply := &Incoming{conn: c, stream: f.Stream, messageType: f.Type, control: true}
	if h.Version != ProtocolVersion {
		_ = reply.Fail("protocol_version", "the daemons speak different protocol versions")
		return false
	}
	c.peer = h
	c.link.setPeer(h.Host)
	return reply.End(&c.server.self) == nil
}

func (c *serverConn) add(stream uint64, cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) >= maxStreams || c.streams[stream] != nil {
		return false
	}
	c.streams[stream] = cancel
	return true
}

func (c *serverConn) cancel(stream uint64) {
	c.mu.Lock()
	cancel := c.streams[stream]
	delete(c.streams, stream)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Incoming is one stream at its server.
type Incoming struct {
	conn        *serverConn
	stream      uint64
	messageType string
	body        msgpack.RawMessage
	control     bool
	// silent is set for a notification, whose answers are dropped.
	silent bool
}

// Type returns the message type of the request.
func (s *Incoming) Type() string { return s.messageType }

// Peer returns the daemon that opened the stream.
func (s *Incoming) Peer() Hello { return s.conn.peer }

// Decode reads the request's body.
func (s *Incoming) Decode(v any) error {
	return eris.Wrapf(msgpack.Unmarshal(s.body, v), "decode %s", s.messageType)
}

// Send sends one message of the answer.
func (s *Incoming) Send(v any) error { return s.send(KindData, v) }

// End sends the last message of the answer.
func (s *Incoming) End(v any) error { return s.send(KindEnd, v) }

// Fail ends the stream with an error that the peer sees as *RemoteError.
func (s *Incoming) Fail(code, message string) error {
	return s.send(KindError, &RemoteError{Code: code, Message: message})
}

func (s *Incoming) send(kind Kind, v any) error {
	if s.silent {
		return nil
	}
	body, err := Encode(v)
	if err != nil {
		return err
	}
	f := Frame{Stream: s.stream, Kind: kind, Body: body}
	err = s.conn.link.write(&f, s.control)
	var large *FrameTooLargeError
	if err != nil && !errors.As(err, &large) {
		_ = s.conn.link.conn.Close()
	}
	return err
}

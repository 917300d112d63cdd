package jkwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jktimer"
)

// ProtocolVersion must be equal on both sides of a connection.
const ProtocolVersion = 1

// typeHello is the message type of the first stream of each connection.
const typeHello = "hello"

// Hello identifies a daemon to its peer. Both sides of a connection exchange it before
// any other stream is opened.
type Hello struct {
	Host string `msgpack:"host"`
	// Start distinguishes the incarnations of a host.
	Start   uint64 `msgpack:"start"`
	Zone    string `msgpack:"zone"`
	Version int    `msgpack:"version"`
}

// maxConnStreams is the largest number of streams that one connection may have open at a
// server. A new stream beyond it is refused with the code too_many_streams.
const maxConnStreams = 16384

// Server accepts connections from other daemons and runs one handler for each stream.
type Server struct {
	listener  net.Listener
	self      Hello
	handle    func(ctx context.Context, s *ServerStream)
	tunnel    func(ctx context.Context, s *ServerStream, conn net.Conn)
	isControl func(messageType string) bool
	counters  *Counters
	faults    *Faults
	intake    *intake

	mu    sync.Mutex
	conns map[*serverConn]bool
	// maxConns bounds the connections that aren't in use.
	maxConns int
	closed   bool
	// stopping is set once the server runs no new streams.
	stopping bool
	done     sync.WaitGroup
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Self Hello
	// Handle runs on its own goroutine for each stream.
	Handle func(ctx context.Context, s *ServerStream)
	// Tunnel runs for each connection that a client has opened with DialTunnel. It answers the
	// stream, and after End it may use the connection until it returns. If nil, there are no tunnels.
	Tunnel func(ctx context.Context, s *ServerStream, conn net.Conn)
	// IsControl reports whether a message type counts as control traffic.
	IsControl func(messageType string) bool
	Counters  *Counters
	Faults    *Faults
	// MaxHeldBytes bounds what all peers make the server hold; at least minHeldBytes.
	MaxHeldBytes int64
}

// NewServer returns a server that accepts connections on the listener.
func NewServer(l net.Listener, o ServerOptions) *Server {
	s := &Server{
		listener:  l,
		self:      o.Self,
		handle:    o.Handle,
		tunnel:    o.Tunnel,
		isControl: o.IsControl,
		counters:  o.Counters,
		faults:    o.Faults,
		conns:     map[*serverConn]bool{},
		maxConns:  maxServerConns,
		intake:    newIntake(o.MaxHeldBytes, func() { o.Counters.closedConns.Add(1) }),
	}
	s.done.Add(1)
	go s.acceptLoop()
	return s
}

// Close stops the server, cancels the context of every handler and waits for all of
// them to return.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.intake.stop()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.link.conn.Close()
		c.end()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// Shutdown stops the server gracefully: it runs no new streams, tells the clients so and
// waits until they have the responses to all others and close their connections. Then, or
// when ctx ends, it calls Close. A client's stream that didn't run ends with a
// *ConnectionError whose Sent is false.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	_ = s.listener.Close()
	for c := range s.conns {
		// A client that can't be told loses its connection in Close.
		go func() { _ = c.link.write(&Frame{Kind: KindGoAway}, true) }()
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.done.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	s.Close()
}

// isStopping reports whether new streams are refused.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// acceptRetryInterval is the time until connections are accepted again after an error.
const acceptRetryInterval = 50 * time.Millisecond

// isEnding reports whether no more connections are accepted.
func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || s.stopping
}

func (s *Server) acceptLoop() {
	defer s.done.Done()
	timer := jktimer.New()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.isEnding() || errors.Is(err, net.ErrClosed) {
				return
			}
			// Likely too many open files, which another connection may leave.
			timer.Wait(acceptRetryInterval, nil)
			continue
		}
		c := &serverConn{server: s, streams: map[uint64]context.CancelFunc{}}
		c.running, c.end = context.WithCancel(context.Background())
		c.link = newServerLink(conn, s.counters, s.faults, s.intake.add(func() {
			_ = conn.Close()
			c.end()
		}))
		s.mu.Lock()
		if s.closed || s.stopping {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[c] = true
		s.done.Add(1)
		if len(s.conns) > s.maxConns {
			s.endUnused(c)
		}
		s.mu.Unlock()
		go c.serve()
	}
}

// endUnused closes the connection without a hello that is silent for longest, or the one without streams
// if all but the newest have sent one. The caller holds the lock.
func (s *Server) endUnused(newest *serverConn) {
	var unused *serverConn
	for c := range s.conns {
		if c != newest && !c.isUsed() && (unused == nil || c.isBefore(unused)) {
			unused = c
		}
	}
	if unused == nil {
		return
	}
	delete(s.conns, unused)
	unused.end()
	_ = unused.link.conn.Close()
	s.counters.closedConns.Add(1)
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serverConn is an accepted connection and its running handlers.
type serverConn struct {
	server *Server
	link   *link
	peer   Hello
	// running ends with the connection or the server.
	running context.Context
	end     context.CancelFunc

	mu sync.Mutex
	// greeted is set after a hello, and tunnelled once the connection carries a tunnel.
	greeted, tunnelled bool
	streams            map[uint64]context.CancelFunc
	handlers           sync.WaitGroup
}

// isUsed reports whether the connection has open streams or a tunnel.
func (c *serverConn) isUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tunnelled || len(c.streams) > 0
}

// isBefore reports whether the connection is closed before another one where there are too many.
func (c *serverConn) isBefore(other *serverConn) bool {
	a, b := c.isGreeted(), other.isGreeted()
	if a != b {
		return b
	}
	return c.link.intake.read.Load() < other.link.intake.read.Load()
}

func (c *serverConn) isGreeted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.greeted
}

func (c *serverConn) serve() {
	defer c.server.done.Done()
	defer c.server.removeConn(c)
	defer c.link.intake.leave()
	defer c.handlers.Wait()
	defer c.end()
	defer c.link.conn.Close()
	if err := c.link.conn.SetReadDeadline(deadline(helloTimeout)); err != nil {
		return
	}
	for {
		f, held, err := c.link.read()
		if err != nil || !c.handleFrame(c.running, f, held) {
			return
		}
	}
}

// handleFrame handles one frame, for which the intake counts held bytes, and reports whether the connection
// stays open.
func (c *serverConn) handleFrame(ctx context.Context, f *Frame, held int64) bool {
	if c.startsStream(f) {
		return c.startStream(ctx, f, held)
	}
	defer c.link.intake.release(held)
	return c.handleOther(ctx, f)
}

// startsStream reports whether a frame is to run a handler.
func (c *serverConn) startsStream(f *Frame) bool {
	return (f.Kind == KindOpen || f.Kind == KindNotify) && f.Type != typeHello && c.peer.Host != "" && !c.server.isStopping()
}

// handleOther handles a frame that runs no handler.
func (c *serverConn) handleOther(ctx context.Context, f *Frame) bool {
	switch {
	case f.Kind == KindCancel:
		c.cancelStream(f.Stream)
		return true
	case f.Kind == KindTunnel:
		c.serveTunnel(ctx, f)
		return false
	case f.Kind != KindOpen && f.Kind != KindNotify:
		return false
	case f.Type == typeHello:
		return c.handleHello(f)
	case c.peer.Host == "":
		return false
	}
	return c.newStream(f).Fail(codeShuttingDown, "the host is shutting down") == nil
}

func (c *serverConn) newStream(f *Frame) *ServerStream {
	return &ServerStream{conn: c, stream: f.Stream, messageType: f.Type, body: f.Body, control: c.server.isControl(f.Type), notification: f.Kind == KindNotify}
}

// startStream runs the handler of a frame, for which the intake counts held bytes.
func (c *serverConn) startStream(ctx context.Context, f *Frame, held int64) bool {
	in := c.newStream(f)
	streamCtx, cancel := context.WithCancel(ctx)
	if !c.addStream(f.Stream, cancel) {
		cancel()
		defer c.link.intake.release(held)
		return in.Fail("too_many_streams", "the connection has too many open streams") == nil
	}
	if c.link.intake.grow(streamBytes) != nil {
		c.cancelStream(f.Stream)
		return false
	}
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		defer c.link.intake.release(held + streamBytes)
		defer c.cancelStream(f.Stream)
		if c.running.Err() == nil {
			c.server.handle(streamCtx, in)
		}
	}()
	return true
}

func (c *serverConn) handleHello(f *Frame) bool {
	var h Hello
	if err := msgpack.Unmarshal(f.Body, &h); err != nil || h.Host == "" {
		return false
	}
	reply := &ServerStream{conn: c, stream: f.Stream, messageType: f.Type, control: true}
	if h.Version != ProtocolVersion {
		_ = reply.Fail("protocol_version", "the daemons speak different protocol versions")
		return false
	}
	c.peer = h
	c.mu.Lock()
	c.greeted = true
	c.mu.Unlock()
	c.link.setPeer(h.Host)
	c.link.maxFrame = MaxFrame
	if err := c.link.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	return reply.End(&c.server.self) == nil
}

func (c *serverConn) addStream(stream uint64, cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.streams) >= maxConnStreams || c.streams[stream] != nil {
		return false
	}
	c.streams[stream] = cancel
	return true
}

func (c *serverConn) cancelStream(stream uint64) {
	c.mu.Lock()
	cancel := c.streams[stream]
	delete(c.streams, stream)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// ServerStream is the server side of one request.
type ServerStream struct {
	conn        *serverConn
	stream      uint64
	messageType string
	body        msgpack.RawMessage
	control     bool
	// notification is set for a one-way message: responses to it are discarded.
	notification bool
}

// Type returns the message type of the request.
func (s *ServerStream) Type() string { return s.messageType }

// Peer returns the daemon that opened the stream.
func (s *ServerStream) Peer() Hello { return s.conn.peer }

// Disconnected returns a channel that is closed once the connection to the peer has ended.
func (s *ServerStream) Disconnected() <-chan struct{} { return s.conn.running.Done() }

// Decode decodes the request's body into v.
func (s *ServerStream) Decode(v any) error {
	return eris.Wrapf(msgpack.Unmarshal(s.body, v), "decode %s", s.messageType)
}

// Send sends one message of the response; more follow.
func (s *ServerStream) Send(v any) error { return s.send(KindData, v) }

// End sends the last message of the response.
func (s *ServerStream) End(v any) error { return s.send(KindEnd, v) }

// Fail ends the stream with an error, which the peer receives as a *RemoteError.
func (s *ServerStream) Fail(code, message string) error {
	return s.send(KindError, &RemoteError{Code: code, Message: message})
}

func (s *ServerStream) send(kind Kind, v any) error {
	if s.notification {
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

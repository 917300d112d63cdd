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

// dialTimeout bounds the connection set-up, the hello exchange included.
const dialTimeout = 2 * time.Second

// streamBuffer is the number of undelivered messages after which a stream is
// ended, so that one slow reader cannot stop the others on its connection.
const streamBuffer = 4096

// Pool keeps one connection to each peer address.
type Pool struct {
	self     Hello
	control  func(messageType string) bool
	counters *Counters
	faults   *Faults
	dial     func(ctx context.Context, addr string) (net.Conn, error)
	timer    *jktimer.Service
	// silentAfter is zero where silence is no reason to close a connection.
	silentAfter time.Duration

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// PoolOptions holds what a pool needs.
type PoolOptions struct {
	Self     Hello
	Control  func(messageType string) bool
	Counters *Counters
	Faults   *Faults
	// SilentAfter is how long a peer may take to send anything on a connection on which
	// a stream's time ended without an answer; then the connection is closed, as it may
	// be silent for good while a new one works. Zero is for pools with streams on which
	// nothing has to arrive for long. It needs a Timer.
	SilentAfter time.Duration
	Timer       *jktimer.Service
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	var d net.Dialer
	return &Pool{
		self:     o.Self,
		control:  o.Control,
		counters: o.Counters,
		faults:   o.Faults,
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
		timer:       o.Timer,
		silentAfter: o.SilentAfter,
		conns:       map[string]*clientConn{},
	}
}

// Close closes all connections; their streams end with a *LostError.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string]*clientConn{}
	p.mu.Unlock()
	for _, c := range conns {
		c.fail(net.ErrClosed)
	}
}

// Drop closes the connection to an address, for example because membership
// found the host dead.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if c != nil {
		c.fail(eris.New("peer is not reachable"))
	}
}

// Call opens a stream, waits for its end and decodes the last message into
// reply, which may be nil.
func (p *Pool) Call(ctx context.Context, addr, messageType string, request, reply any) error {
	s, err := p.Open(ctx, addr, messageType, request)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		m, err := s.Receive(ctx)
		if err != nil {
			return err
		}
		if !m.Last {
			continue
		}
		if reply == nil {
			return nil
		}
		return m.Decode(reply)
	}
}

// Notify sends a message that gets no answer. It may be lost without a word.
func (p *Pool) Notify(ctx context.Context, addr, messageType string, body msgpack.RawMessage) error {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return eris.Wrap(&LostError{Addr: addr, Cause: err}, "connect")
	}
	c.mu.Lock()
	c.next++
	id := c.next
	c.mu.Unlock()
	err = c.link.write(&Frame{Stream: id, Kind: KindNotify, Type: messageType, Body: body}, p.control(messageType))
	if err != nil {
		c.fail(err)
	}
	return err
}

// Open starts a stream. A *LostError tells whether the request was sent.
func (p *Pool) Open(ctx context.Context, addr, messageType string, request any) (*Stream, error) {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return nil, eris.Wrap(&LostError{Addr: addr, Cause: err}, "connect")
	}
	return c.open(messageType, request)
}

func (p *Pool) conn(ctx context.Context, addr string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, net.ErrClosed
	}
	c := p.conns[addr]
	if c == nil {
		c = &clientConn{pool: p, addr: addr, ready: make(chan struct{}), streams: map[uint64]*Stream{}}
		p.conns[addr] = c
		go c.connect()
	}
	p.mu.Unlock()
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c, c.failure
}

func (p *Pool) forget(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
}

// clientConn is one dialled connection.
type clientConn struct {
	pool  *Pool
	addr  string
	ready chan struct{}

	mu      sync.Mutex
	link    *link
	next    uint64
	streams map[uint64]*Stream
	failure error
	// silentSince is when the first stream was opened that ended without an answer
	// since something was last received; it is zero if there is none.
	silentSince time.Time
	// received counts the frames received.
	received uint64
}

func (c *clientConn) connect() {
	err := c.handshake()
	if err != nil {
		c.fail(err)
	}
	close(c.ready)
	if err == nil {
		c.readLoop()
	}
}

func (c *clientConn) handshake() error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.pool.dial(ctx, c.addr)
	if err != nil {
		return err
	}
	l := newLink(conn, c.pool.counters, c.pool.faults)
	if c.pool.silentAfter > 0 {
		l.timeout = c.pool.silentAfter
	}
	peer, err := exchangeHello(l, c.pool.self)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if c.pool.faults.IsCut(peer.Host) {
		_ = conn.Close()
		return eris.Errorf("host %s is cut off", peer.Host)
	}
	l.setPeer(peer.Host)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil {
		_ = conn.Close()
		return c.failure
	}
	c.link = l
	return nil
}

func exchangeHello(l *link, self Hello) (Hello, error) {
	body, err := Encode(&self)
	if err != nil {
		return Hello{}, err
	}
	if err := l.conn.SetReadDeadline(deadline(dialTimeout)); err != nil {
		return Hello{}, err
	}
	if err := l.write(&Frame{Kind: KindOpen, Type: typeHello, Body: body}, true); err != nil {
		return Hello{}, err
	}
	f, err := l.read()
	if err != nil {
		return Hello{}, err
	}
	m := Message{Last: true, body: f.Body}
	if f.Kind == KindError {
		return Hello{}, m.remoteError()
	}
	var peer Hello
	if err := m.Decode(&peer); err != nil {
		return Hello{}, err
	}
	return peer, l.conn.SetReadDeadline(time.Time{})
}

func (c *clientConn) readLoop() {
	for {
		f, err := c.link.read()
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.silentSince = time.Time{}
		c.received++
		c.mu.Unlock()
		c.deliver(f)
	}
}

func (c *clientConn) deliver(f *Frame) {
	c.mu.Lock()
	s := c.streams[f.Stream]
	if s != nil && f.Kind != KindData {
		delete(c.streams, f.Stream)
	}
	c.mu.Unlock()
	if s == nil {
		return
	}
	m := Message{Last: f.Kind == KindEnd, body: f.Body}
	if f.Kind == KindError {
		s.finish(m.remoteError())
		return
	}
	if !s.push(m) {
		c.remove(s.id)
		s.finish(eris.Wrap(&LostError{Addr: c.addr, Sent: true, Cause: errSlowReader}, "receive"))
	}
}

var errSlowReader = errors.New("the reader fell behind")

func (c *clientConn) open(messageType string, request any) (*Stream, error) {
	body, err := Encode(request)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.failure != nil {
		err := c.failure
		c.mu.Unlock()
		return nil, eris.Wrap(&LostError{Addr: c.addr, Cause: err}, "open stream")
	}
	c.next++
	s := &Stream{conn: c, id: c.next, control: c.pool.control(messageType), arrived: make(chan struct{}, 1), failed: make(chan struct{}), receivedBefore: c.received}
	if c.pool.silentAfter > 0 {
		s.opened = c.pool.timer.Now()
	}
	c.streams[s.id] = s
	c.mu.Unlock()
	err = c.link.write(&Frame{Stream: s.id, Kind: KindOpen, Type: messageType, Body: body}, s.control)
	if err == nil {
		return s, nil
	}
	c.remove(s.id)
	var large *FrameTooLargeError
	if errors.As(err, &large) {
		return nil, err
	}
	c.fail(err)
	return nil, eris.Wrap(&LostError{Addr: c.addr, Sent: true, Cause: err}, "open stream")
}

func (c *clientConn) remove(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.streams[id]
	delete(c.streams, id)
	return open
}

// fail ends the connection and all its streams.
func (c *clientConn) fail(cause error) {
	c.pool.forget(c)
	c.mu.Lock()
	if c.failure == nil {
		c.failure = cause
	}
	streams := c.streams
	c.streams = map[uint64]*Stream{}
	l := c.link
	c.mu.Unlock()
	if l != nil {
		_ = l.conn.Close()
	}
	for _, s := range streams {
		s.finish(eris.Wrap(&LostError{Addr: c.addr, Sent: true, Cause: cause}, "receive"))
	}
}

var errSilent = errors.New("nothing was received")

// suspect closes the connection if nothing has arrived on it for long since a stream
// was opened whose time is over now.
func (c *clientConn) suspect(s *Stream) {
	if c.pool.silentAfter == 0 {
		return
	}
	c.mu.Lock()
	if c.received != s.receivedBefore {
		c.mu.Unlock()
		return
	}
	if c.silentSince.IsZero() {
		c.silentSince = s.opened
	}
	silent := c.pool.timer.Now().Sub(c.silentSince)
	c.mu.Unlock()
	if silent >= c.pool.silentAfter {
		c.fail(errSilent)
	}
}

// Message is one message of an answer.
type Message struct {
	// Last marks the end of the answer.
	Last bool
	body msgpack.RawMessage
}

// Decode reads the message's body.
func (m Message) Decode(v any) error {
	return eris.Wrap(msgpack.Unmarshal(m.body, v), "decode answer")
}

func (m Message) remoteError() error {
	var e RemoteError
	if err := m.Decode(&e); err != nil {
		return err
	}
	return eris.Wrap(&e, "peer")
}

// Stream is one request at the daemon that opened it.
type Stream struct {
	conn    *clientConn
	id      uint64
	control bool
	// opened is set where the pool closes silent connections, and receivedBefore is
	// the number of frames that the connection had received then.
	opened         time.Time
	receivedBefore uint64

	mu       sync.Mutex
	messages []Message
	// arrived holds a token while messages may be waiting.
	arrived chan struct{}

	once    sync.Once
	failed  chan struct{}
	failure error
}

func (s *Stream) finish(err error) {
	s.once.Do(func() {
		s.failure = err
		close(s.failed)
	})
}

// push adds a message and reports false when the reader is too far behind.
func (s *Stream) push(m Message) bool {
	s.mu.Lock()
	full := len(s.messages) >= streamBuffer
	if !full {
		s.messages = append(s.messages, m)
	}
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default:
	}
	return !full
}

func (s *Stream) pop() (Message, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.messages) == 0 {
		return Message{}, false
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	return m, true
}

// Receive returns the next message. Messages that arrived before a failure are
// delivered first.
func (s *Stream) Receive(ctx context.Context) (Message, error) {
	for {
		if m, ok := s.pop(); ok {
			return m, nil
		}
		select {
		case <-s.arrived:
		case <-s.failed:
			if m, ok := s.pop(); ok {
				return m, nil
			}
			return Message{}, s.failure
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				s.conn.suspect(s)
			}
			return Message{}, eris.Wrap(ctx.Err(), "receive")
		}
	}
}

// Close gives the stream up and tells the peer if it is still open.
func (s *Stream) Close() {
	if !s.conn.remove(s.id) {
		return
	}
	// A failed write closes the connection, which cancels the stream too.
	if err := s.conn.link.write(&Frame{Stream: s.id, Kind: KindCancel}, s.control); err != nil {
		s.conn.fail(err)
	}
}

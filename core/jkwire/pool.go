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

// dialTimeout bounds the dial of a connection and, separately, its hello exchange.
const dialTimeout = 2 * time.Second

// maxBufferedMessages is the number of messages that a stream buffers for its reader. A
// stream beyond it is ended, so that one slow reader cannot block the other streams of
// its connection.
const maxBufferedMessages = 4096

// Pool keeps one connection to each peer address and dials it on first use.
type Pool struct {
	self      Hello
	isControl func(messageType string) bool
	counters  *Counters
	faults    *Faults
	dial      func(ctx context.Context, addr string) (net.Conn, error)
	timer     *jktimer.Service
	// receiveTimeout is zero if a connection on which nothing is received stays open.
	receiveTimeout time.Duration

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	Self Hello
	// IsControl reports whether a message type counts as control traffic.
	IsControl func(messageType string) bool
	Counters  *Counters
	Faults    *Faults
	// Dial opens a connection to an address; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// ReceiveTimeout bounds how long nothing may be received on a connection on which a
	// stream reached its deadline without a response. The connection is then closed, as it
	// may be stalled for good while a new one works. It also replaces the default write
	// timeout. Zero disables it, for pools whose streams may receive nothing for long. It
	// needs a Timer.
	ReceiveTimeout time.Duration
	Timer          *jktimer.Service
}

// NewPool returns a pool without connections.
func NewPool(o PoolOptions) *Pool {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return &Pool{
		self:           o.Self,
		isControl:      o.IsControl,
		counters:       o.Counters,
		faults:         o.Faults,
		dial:           o.Dial,
		timer:          o.Timer,
		receiveTimeout: o.ReceiveTimeout,
		conns:          map[string]*clientConn{},
	}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Close closes all connections. Their streams end with a *ConnectionError.
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

// Disconnect closes the connection to an address, for example because the host
// counts as down in the membership table.
func (p *Pool) Disconnect(addr string) {
	p.mu.Lock()
	c := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if c != nil {
		c.fail(eris.New("peer is not reachable"))
	}
}

// Call opens a stream, waits for its end and decodes the last message into reply, which
// may be nil. The messages before it are discarded.
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

// Notify sends a one-way message. There is no response, and a lost message is not
// reported.
func (p *Pool) Notify(ctx context.Context, addr, messageType string, body msgpack.RawMessage) error {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return eris.Wrap(&ConnectionError{Addr: addr, Cause: err}, "connect")
	}
	c.mu.Lock()
	c.lastStreamID++
	id := c.lastStreamID
	c.mu.Unlock()
	err = c.link.write(&Frame{Stream: id, Kind: KindNotify, Type: messageType, Body: body}, p.isControl(messageType))
	if err != nil {
		c.fail(err)
	}
	return err
}

// Open starts a stream. A *ConnectionError reports whether the request may have been sent.
func (p *Pool) Open(ctx context.Context, addr, messageType string, request any) (*Stream, error) {
	c, err := p.conn(ctx, addr)
	if err != nil {
		return nil, eris.Wrap(&ConnectionError{Addr: addr, Cause: err}, "connect")
	}
	return c.openStream(messageType, request)
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

func (p *Pool) removeConn(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
}

// clientConn is a dialled connection and its open streams.
type clientConn struct {
	pool  *Pool
	addr  string
	ready chan struct{}
	// peer is how the host at the address introduced itself. It is set before ready is closed.
	peer Hello

	mu           sync.Mutex
	link         *link
	lastStreamID uint64
	streams      map[uint64]*Stream
	failure      error
	// peerStopping is set once the peer runs no new streams. The connection is closed after
	// the last response.
	peerStopping bool
	// unansweredSince is when the first of the streams was opened that have timed out since
	// a frame was last received. It is zero if there is none.
	unansweredSince time.Time
	// receivedFrames counts the frames received on the connection.
	receivedFrames uint64
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
	if c.pool.receiveTimeout > 0 {
		l.timeout = c.pool.receiveTimeout
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
	c.link, c.peer = l, peer
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
	f, _, err := l.read()
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
		f, _, err := c.link.read()
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.unansweredSince = time.Time{}
		c.receivedFrames++
		c.mu.Unlock()
		if f.Kind == KindGoAway {
			c.handleGoAway()
		} else {
			c.deliver(f)
		}
		c.closeIfDone()
	}
}

// errPeerStopping is the cause if the peer is shutting down and did not run a request.
var errPeerStopping = errors.New("the peer is shutting down")

// handleGoAway keeps new streams off the connection to a peer that is shutting down.
func (c *clientConn) handleGoAway() {
	c.pool.removeConn(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerStopping = true
}

// closeIfDone closes the connection to a peer that is shutting down once no stream is open.
func (c *clientConn) closeIfDone() {
	c.mu.Lock()
	done := c.peerStopping && len(c.streams) == 0
	c.mu.Unlock()
	if done {
		c.fail(errPeerStopping)
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
		s.endWithError(c.streamError(m.remoteError()))
		return
	}
	if !s.push(m) {
		c.removeStream(s.id)
		s.endWithError(eris.Wrap(&ConnectionError{Addr: c.addr, Sent: true, Cause: errSlowReader}, "receive"))
	}
}

// streamError returns the error of a stream that the peer ended with one. If the peer did
// not run the request because it is shutting down, it is a *ConnectionError.
func (c *clientConn) streamError(err error) error {
	var remote *RemoteError
	if errors.As(err, &remote) && remote.Code == codeShuttingDown {
		return eris.Wrap(&ConnectionError{Addr: c.addr, Cause: errPeerStopping}, "receive")
	}
	return err
}

var errSlowReader = errors.New("the reader fell behind")

func (c *clientConn) openStream(messageType string, request any) (*Stream, error) {
	body, err := Encode(request)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	if c.failure != nil {
		err := c.failure
		c.mu.Unlock()
		return nil, eris.Wrap(&ConnectionError{Addr: c.addr, Cause: err}, "open stream")
	}
	if c.peerStopping {
		c.mu.Unlock()
		return nil, eris.Wrap(&ConnectionError{Addr: c.addr, Cause: errPeerStopping}, "open stream")
	}
	c.lastStreamID++
	s := &Stream{conn: c, id: c.lastStreamID, control: c.pool.isControl(messageType), arrived: make(chan struct{}, 1), failed: make(chan struct{}), receivedAtOpen: c.receivedFrames}
	if c.pool.receiveTimeout > 0 {
		s.openedAt = c.pool.timer.Now()
	}
	c.streams[s.id] = s
	c.mu.Unlock()
	err = c.link.write(&Frame{Stream: s.id, Kind: KindOpen, Type: messageType, Body: body}, s.control)
	if err == nil {
		return s, nil
	}
	c.removeStream(s.id)
	var large *FrameTooLargeError
	if errors.As(err, &large) {
		return nil, err
	}
	c.fail(err)
	return nil, eris.Wrap(&ConnectionError{Addr: c.addr, Sent: true, Cause: err}, "open stream")
}

func (c *clientConn) removeStream(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.streams[id]
	delete(c.streams, id)
	return open
}

// fail closes the connection and ends all its streams with the cause.
func (c *clientConn) fail(cause error) {
	c.pool.removeConn(c)
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
		s.endWithError(eris.Wrap(&ConnectionError{Addr: c.addr, Sent: true, Cause: cause}, "receive"))
	}
}

var errReceiveTimeout = errors.New("nothing was received")

// checkReceiveTimeout closes the connection if nothing has been received on it for the
// receive timeout, counted from the opening of the first stream that timed out since the
// last received frame. It is called for a stream that has now timed out.
func (c *clientConn) checkReceiveTimeout(s *Stream) {
	if c.pool.receiveTimeout == 0 {
		return
	}
	c.mu.Lock()
	if c.receivedFrames != s.receivedAtOpen {
		c.mu.Unlock()
		return
	}
	if c.unansweredSince.IsZero() {
		c.unansweredSince = s.openedAt
	}
	elapsed := c.pool.timer.Now().Sub(c.unansweredSince)
	c.mu.Unlock()
	if elapsed >= c.pool.receiveTimeout {
		c.fail(errReceiveTimeout)
	}
}

// Message is one message of a response.
type Message struct {
	// Last marks the end of the response.
	Last bool
	body msgpack.RawMessage
}

// Decode decodes the message's body into v.
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

// Stream is the client side of one request.
type Stream struct {
	conn    *clientConn
	id      uint64
	control bool
	// openedAt is set if the pool has a receive timeout. receivedAtOpen is the number of
	// frames that the connection had received when the stream was opened.
	openedAt       time.Time
	receivedAtOpen uint64

	mu       sync.Mutex
	messages []Message
	// arrived holds a token while messages may be buffered.
	arrived chan struct{}

	once    sync.Once
	failed  chan struct{}
	failure error
}

// Peer identifies the host that answers the stream, which may not be the one that the caller expects
// at the address.
func (s *Stream) Peer() Hello { return s.conn.peer }

func (s *Stream) endWithError(err error) {
	s.once.Do(func() {
		s.failure = err
		close(s.failed)
	})
}

// push buffers a message. It returns false if the buffer is full.
func (s *Stream) push(m Message) bool {
	s.mu.Lock()
	full := len(s.messages) >= maxBufferedMessages
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

// Receive returns the next message. Messages that arrived before a failure are returned
// before the error.
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
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				s.conn.checkReceiveTimeout(s)
			}
			return Message{}, eris.Wrap(ctx.Err(), "receive")
		}
	}
}

// Close ends the stream. If it is still open, the peer's handler is cancelled.
func (s *Stream) Close() {
	if !s.conn.removeStream(s.id) {
		return
	}
	defer s.conn.closeIfDone()
	// If the write fails, closing the connection cancels the stream as well.
	if err := s.conn.link.write(&Frame{Stream: s.id, Kind: KindCancel}, s.control); err != nil {
		s.conn.fail(err)
	}
}

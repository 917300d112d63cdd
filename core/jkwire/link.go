package jkwire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// serverBuffer is the size of each buffer of an accepted connection.
const serverBuffer = 4 << 10

// writeTimeout bounds one flush, so that a peer that stops reading cannot block the
// writers of a connection for ever.
const writeTimeout = 10 * time.Second

// Counters counts the traffic of all connections of one daemon. Control traffic is what
// the Control options of the pool and the server select, which is neither calls nor
// dispatches.
type Counters struct {
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	controlBytes  atomic.Int64
	closedConns   atomic.Int64
}

// SentBytes returns the bytes written so far.
func (c *Counters) SentBytes() int64 { return c.sentBytes.Load() }

// ReceivedBytes returns the bytes read so far.
func (c *Counters) ReceivedBytes() int64 { return c.receivedBytes.Load() }

// ControlBytes returns the bytes written so far on streams of control types.
func (c *Counters) ControlBytes() int64 { return c.controlBytes.Load() }

// ClosedConns returns the number of accepted connections that were closed because peers exceeded a limit.
func (c *Counters) ClosedConns() int64 { return c.closedConns.Load() }

// Faults injects network partitions in tests: while a peer is cut off, frames to and
// from it are dropped, as in a partition.
type Faults struct {
	mu  sync.Mutex
	cut map[string]bool
}

// SetCut replaces the set of peer hosts from which the daemon is cut off.
func (f *Faults) SetCut(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[string]bool{}
	for _, h := range hosts {
		f.cut[h] = true
	}
}

// IsCut reports whether traffic with the host is dropped. It is false for a nil
// receiver.
func (f *Faults) IsCut(host string) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[host]
}

// link is a framed connection that is safe for concurrent writers.
type link struct {
	conn     net.Conn
	reader   *bufio.Reader
	counters *Counters
	faults   *Faults

	// mu is held during a write, which may wait until the peer reads. Reads don't take it: both sides
	// of a connection would wait for each other.
	mu             sync.Mutex
	writer         *bufio.Writer
	waitingWriters atomic.Int32

	// state guards peer and dropped.
	state sync.Mutex
	// peer is the host name of the other side, empty until the hello exchange.
	peer string
	// dropped is set once a frame has been dropped. The connection is unusable from then
	// on, because its streams have a gap.
	dropped bool
	// timeout bounds one flush.
	timeout time.Duration
	// maxFrame bounds the frames that are read.
	maxFrame int
	// intake counts what the peer makes this host hold; nil on dialled connections.
	intake *intakePart
}

func newLink(conn net.Conn, counters *Counters, faults *Faults) *link {
	return &link{
		conn:     conn,
		reader:   bufio.NewReaderSize(conn, 32<<10),
		writer:   bufio.NewWriterSize(conn, 32<<10),
		timeout:  writeTimeout,
		maxFrame: MaxFrame,
		counters: counters,
		faults:   faults,
	}
}

// newServerLink returns the link of an accepted connection, which may have a peer that isn't a host.
func newServerLink(conn net.Conn, counters *Counters, faults *Faults, part *intakePart) *link {
	return &link{
		conn:     conn,
		reader:   bufio.NewReaderSize(part.reader(conn), serverBuffer),
		writer:   bufio.NewWriterSize(part.writer(conn), serverBuffer),
		timeout:  writeTimeout,
		maxFrame: maxHelloFrame,
		counters: counters,
		faults:   faults,
		intake:   part,
	}
}

func (l *link) setPeer(host string) {
	l.state.Lock()
	defer l.state.Unlock()
	l.peer = host
}

// write sends one frame. Concurrent writers share a flush: only the last writer that
// waits for the lock flushes the buffer.
func (l *link) write(f *Frame, control bool) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	defer func() { _ = l.intake.growUnread(-int64(len(data))) }()
	if err := l.intake.growUnread(int64(len(data))); err != nil {
		return err
	}
	l.waitingWriters.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.waitingWriters.Add(-1) == 0
	if l.shouldDrop() {
		return nil
	}
	if err := l.conn.SetWriteDeadline(deadline(l.timeout)); err != nil {
		return err
	}
	if _, err := l.writer.Write(data); err != nil {
		return err
	}
	l.counters.sentBytes.Add(int64(len(data)))
	if control {
		l.counters.controlBytes.Add(int64(len(data)))
	}
	if !last {
		return nil
	}
	return l.writer.Flush()
}

// read returns the next frame, without those that a simulated partition drops, and the number of bytes
// that the intake counts for it.
func (l *link) read() (*Frame, int64, error) {
	for {
		f, n, err := readFrame(l.reader, l.maxFrame, l.intake)
		if err != nil {
			return nil, 0, err
		}
		l.counters.receivedBytes.Add(int64(n))
		held := int64(n - framePrefix)
		if !l.shouldDrop() {
			return f, held, nil
		}
		l.intake.release(held)
	}
}

// shouldDrop reports whether the current frame is to be dropped. A connection that has
// dropped a frame is closed once the partition heals.
func (l *link) shouldDrop() bool {
	l.state.Lock()
	defer l.state.Unlock()
	if l.faults.IsCut(l.peer) {
		l.dropped = true
		return true
	}
	if l.dropped {
		_ = l.conn.Close()
		return true
	}
	return false
}

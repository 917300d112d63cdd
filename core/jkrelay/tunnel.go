package jkrelay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"jasmineknot.example/core/jktimer"
)

const (
	// blockHeader is the size of the header of a block, which is its length.
	blockHeader = 2
	// maxBlock is the largest number of bytes in a block.
	maxBlock = 8 << 10
	// leavingBlock takes the place of a length if the relay is about to stop: the tunnel carries no
	// further requests.
	leavingBlock = 0xffff
)

var errLeaving = errors.New("the relay is about to stop")

// tunnelConn is the requesting end of a tunnel. What the endpoint sends arrives in blocks, and
// an empty block ends it. Without one, the end of the connection is an error: a response that
// ends with its connection must not look complete because the relay has ended.
type tunnelConn struct {
	*net.TCPConn
	// left is what is left of the block that is being read.
	left           int
	ended, leaving bool
}

// SyscallConn returns an error if the relay is about to stop, so that the connection isn't used again.
func (c *tunnelConn) SyscallConn() (syscall.RawConn, error) {
	if c.leaving {
		return nil, errLeaving
	}
	return c.TCPConn.SyscallConn()
}

func (c *tunnelConn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	for c.left == 0 {
		var header [blockHeader]byte
		if _, err := io.ReadFull(c.TCPConn, header[:]); err != nil {
			return 0, unexpected(err)
		}
		switch length := int(binary.BigEndian.Uint16(header[:])); length {
		case 0:
			c.ended = true
			return 0, io.EOF
		case leavingBlock:
			c.leaving = true
		default:
			c.left = length
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpected(err)
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadFrom and WriteTo hide those of the TCP connection, which know no blocks.
func (c *tunnelConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c.TCPConn}, r)
}

// WriteTo implements io.WriterTo.
func (c *tunnelConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

// tunnel joins the connection of the requesting host with one to an endpoint.
type tunnel struct {
	near, far net.Conn
	timer     *jktimer.Service
	// writing guards what is sent to the near end.
	writing sync.Mutex
	// sending is held during a write to the far end, and sendFailed is set if one has failed.
	sending    sync.Mutex
	sendFailed bool
}

// leave tells the requesting host that this one is about to stop.
func (t *tunnel) leave() { t.writeBack([]byte{leavingBlock >> 8, leavingBlock & 0xff}) }

func (t *tunnel) writeBack(b []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	return write(t.near, b)
}

// run copies between both ends until one of them ends or fails, or the context ends.
func (t *tunnel) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.copyBack()
		t.close()
	}()
	t.copyForth()
	t.close()
	<-done
}

func (t *tunnel) close() { _, _ = t.near.Close(), t.far.Close() }

// copyForth sends what arrives from the requesting host to the endpoint.
func (t *tunnel) copyForth() {
	b := make([]byte, maxBlock)
	for {
		n, err := t.near.Read(b)
		if n > 0 && !t.send(b[:n]) || err != nil {
			return
		}
	}
}

// send writes to the endpoint.
func (t *tunnel) send(b []byte) bool {
	t.sending.Lock()
	defer t.sending.Unlock()
	ok := write(t.far, b)
	t.sendFailed = t.sendFailed || !ok
	return ok
}

// A blocked write fails at once if its connection was reset. The steps let a pause of this process take only
// a part of the time.
const (
	sendEndStep  = 50 * time.Millisecond
	sendEndSteps = 5
)

// wasReset reports whether the connection to an endpoint was reset, once it has ended for the reader: the error
// of a reset may have reached a write, and the reader then sees a regular end. A write that is still
// blocked after a moment hasn't failed.
func (t *tunnel) wasReset() bool {
	for range sendEndSteps {
		if t.sending.TryLock() {
			defer t.sending.Unlock()
			return t.sendFailed
		}
		t.timer.Wait(sendEndStep, nil)
	}
	return false
}

// copyBack sends what arrives from the endpoint to the requesting host in blocks.
func (t *tunnel) copyBack() {
	b := make([]byte, blockHeader+maxBlock)
	for {
		n, err := t.far.Read(b[blockHeader:])
		binary.BigEndian.PutUint16(b, uint16(n))
		if n > 0 && !t.writeBack(b[:blockHeader+n]) {
			return
		}
		if errors.Is(err, io.EOF) && !t.wasReset() {
			t.writeBack(make([]byte, blockHeader))
		}
		if err != nil {
			return
		}
	}
}

func write(to net.Conn, b []byte) bool {
	_, err := to.Write(b)
	return err == nil
}

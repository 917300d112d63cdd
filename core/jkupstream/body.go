package jkupstream

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// smallBodyBytes is the size up to which bodies are read without a limit on their
	// number.
	smallBodyBytes = 64 << 10
	// firstBufferBytes is the first size of the buffer of a body of unknown length.
	firstBufferBytes = 512
	// maxLargeBodies bounds the larger bodies that are read at the same time, so that
	// endpoints which send endless responses to many requests can't exhaust the memory
	// of a small host.
	maxLargeBodies = 4
)

// heldBytes counts the buffers of the bodies that are being read.
type heldBytes struct {
	now  atomic.Int64
	peak atomic.Int64
}

func (h *heldBytes) add(n int64) {
	now := h.now.Add(n)
	for peak := h.peak.Load(); now > peak && !h.peak.CompareAndSwap(peak, now); {
		peak = h.peak.Load()
	}
}

// bodyBuffer is the buffer of a body that is being read.
type bodyBuffer struct {
	data []byte
	held *heldBytes
	// room is called with the bytes by which the buffers grow or shrink.
	room func(more int64) error
	// limit is the largest size that the buffer needs.
	limit int64
}

// count counts a growth of the buffers.
func (b *bodyBuffer) count(more int64) error {
	if b.room != nil {
		if err := b.room(more); err != nil {
			return err
		}
	}
	b.held.add(more)
	return nil
}

// grow makes room for a larger buffer. The old one is in use until its bytes were copied.
func (b *bodyBuffer) grow(size int64) error {
	old := int64(cap(b.data))
	if err := b.count(size); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return b.count(-old)
}

// release ends the count of the buffer, which the caller of ReadAll may hold on.
func (b *bodyBuffer) release() { b.held.add(-int64(cap(b.data))) }

// ReadAll reads the whole body. A large body may have to wait until others have been
// read, and for room. The caller ends the count of the room for a body that is returned.
func (r *Response) ReadAll(ctx context.Context) (data []byte, err error) {
	body := &bodyBuffer{held: &r.conn.pool.bodies, limit: r.limit + 1}
	if r.Room != nil {
		body.room = func(more int64) error { return r.Room(ctx, more) }
	}
	defer func() {
		body.release()
		if err != nil && body.room != nil {
			_ = body.room(-int64(cap(body.data)))
		}
	}()
	size := int64(firstBufferBytes)
	if r.Length >= 0 {
		// One byte more, so that the last read finds the end.
		size = min(r.Length+1, smallBodyBytes)
	}
	if err := r.enlarge(ctx, body, size); err != nil {
		return nil, err
	}
	if err := r.readUpTo(ctx, body, smallBodyBytes); err != nil {
		return nil, err
	}
	if r.ended {
		return body.data, nil
	}
	if err := r.waitForOthers(ctx); err != nil {
		return nil, err
	}
	defer func() { <-r.conn.pool.largeBodies }()
	if r.Length > int64(len(body.data)) && r.Length <= r.limit {
		if err := r.enlarge(ctx, body, r.Length+1); err != nil {
			return nil, err
		}
	}
	if err := r.readUpTo(ctx, body, r.limit+1); err != nil {
		return nil, err
	}
	return body.data, nil
}

// waitForOthers waits until one more large body may be read.
func (r *Response) waitForOthers(ctx context.Context) error {
	defer r.recordWait()()
	select {
	case r.conn.pool.largeBodies <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &ExchangeError{Addr: r.conn.addr, Stage: StageBody, Cause: context.Cause(ctx)}
	}
}

// recordWait records that a wait begins. The result records its end.
func (r *Response) recordWait() (end func()) {
	if r.OnWait == nil {
		return func() {}
	}
	r.OnWait(true)
	return func() { r.OnWait(false) }
}

// enlarge makes the buffer larger. A large one may have to wait for room.
func (r *Response) enlarge(ctx context.Context, body *bodyBuffer, size int64) error {
	if size > smallBodyBytes {
		defer r.recordWait()()
	}
	if err := body.grow(size); err != nil {
		return exchangeError(ctx, r.conn.addr, StageBody, err)
	}
	return nil
}

// readUpTo appends to a body until it reaches the size or ends.
func (r *Response) readUpTo(ctx context.Context, body *bodyBuffer, size int64) error {
	for int64(len(body.data)) < size {
		if len(body.data) == cap(body.data) {
			if err := r.enlarge(ctx, body, min(2*int64(cap(body.data)), body.limit)); err != nil {
				return err
			}
		}
		n, err := r.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

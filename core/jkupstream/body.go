package jkupstream

import (
	"context"
	"errors"
	"io"
	"slices"
)

const (
	// smallBodyBytes is the size up to which bodies are read without a limit on their
	// number.
	smallBodyBytes = 64 << 10
	// maxLargeBodies bounds the larger bodies that are read at the same time, so that
	// endpoints which send endless responses to many requests can't exhaust the memory
	// of a small host.
	maxLargeBodies = 4
)

// ReadAll reads the whole body. A large body may have to wait until others have been
// read.
func (r *Response) ReadAll(ctx context.Context) ([]byte, error) {
	size := int64(512)
	if r.Length >= 0 {
		// One byte more, so that the last read finds the end.
		size = min(r.Length, smallBodyBytes) + 1
	}
	body, err := r.readUpTo(make([]byte, 0, size), smallBodyBytes)
	if err != nil || r.ended {
		return body, err
	}
	select {
	case r.conn.pool.largeBodies <- struct{}{}:
		defer func() { <-r.conn.pool.largeBodies }()
	case <-ctx.Done():
		return nil, &ExchangeError{Addr: r.conn.addr, Stage: StageBody, Cause: context.Cause(ctx)}
	}
	if r.Length > int64(len(body)) && r.Length <= r.limit {
		body = slices.Grow(body, int(r.Length)+1-len(body))
	}
	return r.readUpTo(body, r.limit+1)
}

// readUpTo appends to a body until it reaches the size or ends.
func (r *Response) readUpTo(body []byte, size int64) ([]byte, error) {
	for int64(len(body)) < size {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

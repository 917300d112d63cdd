package jkupstream

import (
	"context"
	"errors"
	"io"
	"slices"
)

const (
	// smallBody is the size up to which any number of bodies is read at once.
	smallBody = 64 << 10
	// maxLargeBodies bounds the larger ones, so that endpoints which send without
	// end to many requests can't fill the memory of a small host.
	maxLargeBodies = 4
)

// ReadAll reads the whole body. A large one may have to wait for others.
func (r *Response) ReadAll(ctx context.Context) ([]byte, error) {
	size := int64(512)
	if r.Length >= 0 {
		// One byte more lets the last read find the end.
		size = min(r.Length, smallBody) + 1
	}
	body, err := r.readUpTo(make([]byte, 0, size), smallBody)
	if err != nil || r.ended {
		return body, err
	}
	select {
	case r.conn.pool.large <- struct{}{}:
		defer func() { <-r.conn.pool.large }()
	case <-ctx.Done():
		return nil, &BrokenError{Addr: r.conn.addr, Stage: StageBody, Cause: context.Cause(ctx)}
	}
	if r.Length > int64(len(body)) && r.Length <= r.limit {
		body = slices.Grow(body, int(r.Length)+1-len(body))
	}
	return r.readUpTo(body, r.limit+1)
}

// readUpTo adds to a body until it has the size or ends.
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

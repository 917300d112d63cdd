package jkupstream

import (
	"net"
	"time"

	"jasmineknot.example/core/jktimer"
)

// maxInlineBody is the size up to which a body is written before the response is
// read. An endpoint may respond before it has read a longer one.
const maxInlineBody = 2 << 10

// requestWrite is the state of a request that is being written.
type requestWrite struct {
	conn net.Conn
	done chan struct{}
	err  error
}

// write sends the request. A failed write shows as a failed read, or as a response that ends with its
// connection, since an endpoint may respond without reading the whole body.
func (c *conn) write(r *Request) *requestWrite {
	w := &requestWrite{conn: c.nc, done: make(chan struct{})}
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		head = append(head, r.Body...)
		_, w.err = c.nc.Write(head)
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		if _, w.err = c.nc.Write(append(head, r.Body...)); w.err != nil {
			return
		}
	}()
	return w
}

// succeeded reports whether the whole request was written. While a part of its body
// is still to be sent, the connection can't carry another request.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// A blocked write fails at once if its connection was reset. The steps let a pause of this process, after
// which the writer may not have run yet, take only a part of the time. In a process that lacks processor
// time the writer took up to 1.2 s longer, so that the kernel is asked at the end.
const (
	writeEndStep  = 50 * time.Millisecond
	writeEndSteps = 5
)

// fails reports whether the request couldn't be written, once the connection has ended for the reader. A
// write that is still blocked after a moment hasn't failed: the endpoint has ended only its own direction.
func (w *requestWrite) fails(timer *jktimer.Service) bool {
	for range writeEndSteps {
		if !timer.Wait(writeEndStep, w.done) {
			return w.err != nil
		}
	}
	return isReset(w.conn)
}

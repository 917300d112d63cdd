package jkupstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Request is one request to an endpoint.
type Request struct {
	Addr   string
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable requests may use any kept connection.
	Repeatable bool
	// MaxBody bounds the body of the answer in bytes; zero means DefaultMaxBody.
	MaxBody int64
	// Accept tells whether an answer's header belongs to this request.
	Accept func(h http.Header) bool
}

// Response is the answer of an endpoint. The caller reads the body and calls
// Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it isn't known.
	Length int64

	conn *conn
	body io.ReadCloser
	// limit bounds the body and read is what was read of it, in bytes.
	limit int64
	read  int64
	// framed is false where the body ends with the connection.
	framed   bool
	reusable bool
	written  *writing
	release  func() bool
	once     sync.Once
	ended    bool
}

// errForeignAnswer is the cause where an answer to another request arrived.
var errForeignAnswer = errors.New("the answer belongs to another request")

// maxForeign is the number of answers to other requests that are skipped before
// the connection is given up.
const maxForeign = 2

// inlineBody is the size up to which a body is written before the answer is
// read. An endpoint may answer before it has read a longer one.
const inlineBody = 2 << 10

// writing is the state of a request that is being written.
type writing struct {
	done chan struct{}
	err  error
}

// Send sends a request once and returns the header of its answer. Cancelling
// the context closes the connection, which tells the endpoint to stop. The
// error is a *NotSentError or a *BrokenError.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	if r.MaxBody <= 0 {
		r.MaxBody = DefaultMaxBody
	}
	c, err := p.get(ctx, r.Addr, r.Repeatable)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { p.discard(c) })
	w := c.write(&r)
	resp, foreign, err := c.readHeader(&r) //nolint:bodyclose // Response.Close ends the exchange.
	if err != nil {
		release()
		p.discard(c)
		return nil, broken(ctx, r.Addr, StageHeader, err)
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		conn: c, body: resp.Body, limit: r.MaxBody, written: w, release: release,
		framed: resp.ContentLength >= 0 || isChunked(resp),
	}
	out.reusable = out.framed && !resp.Close && foreign == 0
	c.keep = keepTime(resp.Header.Get("Keep-Alive"), p.opt.IdleTimeout)
	return out, nil
}

func broken(ctx context.Context, addr string, stage Stage, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &BrokenError{Addr: addr, Stage: stage, Cause: err}
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// write sends the request. Its error shows as a failed read, since an endpoint
// may answer without reading the whole body.
func (c *conn) write(r *Request) *writing {
	w := &writing{done: make(chan struct{})}
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
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

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Write replaces line breaks in values, so that no header is smuggled in.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader returns the header of the request's own answer and the number of
// answers to other requests that came before it.
func (c *conn) readHeader(r *Request) (*http.Response, int, error) {
	informational := 0
	c.in.expect(PartHead, maxHeadBytes)
	for foreign := 0; ; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, foreign, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			informational++
			if informational > maxInformational {
				return nil, foreign, &TooLongError{Addr: c.addr, Part: PartInformational, Limit: maxInformational}
			}
			continue
		}
		if r.Accept(resp.Header) {
			c.in.expectBody()
			return resp, foreign, nil
		}
		if foreign == maxForeign || resp.ContentLength < 0 && !isChunked(resp) {
			return nil, foreign, errForeignAnswer
		}
		if err := c.skip(resp, r.MaxBody); err != nil {
			return nil, foreign, err
		}
		foreign++
	}
}

// skip reads the body of an answer to another request, which is bounded as the
// own one is.
func (c *conn) skip(resp *http.Response, limit int64) error {
	if resp.ContentLength > limit {
		return &TooLongError{Addr: c.addr, Part: PartOtherAnswer, Limit: limit}
	}
	c.in.expect(PartOtherAnswer, limit)
	_, err := io.Copy(io.Discard, resp.Body)
	c.in.expect(PartHead, maxHeadBytes)
	var long *TooLongError
	if err != nil && !errors.As(err, &long) {
		return errForeignAnswer
	}
	return err
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.read += int64(n)
	if n > 0 && max(r.read, r.Length) > r.limit {
		return 0, r.TooLong(PartBody, r.limit)
	}
	if err == io.EOF {
		r.ended = true
		return n, err
	}
	if err != nil {
		return n, &BrokenError{Addr: r.conn.addr, Stage: StageBody, Cause: err}
	}
	return n, nil
}

// TooLong returns the error for a part of the body that exceeds its bound.
func (r *Response) TooLong(part Part, limit int64) error {
	cause := &TooLongError{Addr: r.conn.addr, Part: part, Limit: limit}
	return &BrokenError{Addr: r.conn.addr, Stage: StageBody, Cause: cause}
}

// Framed reports whether the end of the body is marked, so that a body that
// ends with its connection can be told from one that broke off.
func (r *Response) Framed() bool { return r.framed }

// Close ends the exchange. The connection is kept if the answer was read to its
// end and the endpoint keeps it as well; else it is closed, which tells the
// endpoint to stop.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.release()
		if !active || !r.ended || !r.reusable || r.conn.reader.Buffered() > 0 || !r.written.finished() {
			r.conn.pool.discard(r.conn)
			return
		}
		r.conn.pool.put(r.conn)
	})
}

// finished reports whether the whole request was written. While the endpoint is
// still due the rest of a body, no other request may follow.
func (w *writing) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

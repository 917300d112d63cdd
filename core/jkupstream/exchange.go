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
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Repeatable requests may use any idle connection; others need a recently used
	// or new one.
	Repeatable bool
	// Start is the start of the endpoint that may get the request; nil means any.
	Start *Start
	// MaxBody bounds the body of the response in bytes; zero means DefaultMaxBody.
	MaxBody int64
	// Accept reports whether a response's header belongs to this request.
	Accept func(h http.Header) bool
	// MaySend is called when there is a connection, immediately before OnSend; its error keeps the
	// request from being sent. Nil allows it.
	MaySend func() error
	// OnSend is called when there is a connection, before the request is sent; nil if nobody is told.
	OnSend func()
}

// Response is the response of an endpoint. The caller reads the body and calls
// Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it isn't known.
	Length int64
	// OnRead is called for each part of the body that arrives; nil if nobody is told.
	OnRead func()
	// OnWait is called when ReadAll begins and when it ends to wait before it reads on; nil if nobody is told.
	OnWait func(begins bool)
	// Room is called by ReadAll before its buffers grow by a number of bytes, and with a negative number when
	// one isn't in use any more. Its error ends the read; nil if nobody counts the buffers.
	Room func(ctx context.Context, more int64) error

	conn *conn
	body io.ReadCloser
	// limit bounds the body, and read is the part of it that was read, both in bytes.
	limit int64
	read  int64
	// framed is set if the body has a length or chunks, so that its end doesn't need that of the connection.
	framed       bool
	reusable     bool
	requestWrite *requestWrite
	stopCancel   func() bool
	once         sync.Once
	ended        bool
}

// errOtherAnswer is the cause if a response to another request arrived and couldn't be
// skipped.
var errOtherAnswer = errors.New("response belongs to another request")

// maxOtherAnswers is the number of responses to other requests that are skipped before
// the connection is closed.
const maxOtherAnswers = 2

// Send sends a request once and returns the header of its response. Cancelling
// the context closes the connection, which tells the endpoint to stop. The
// error is a *NotSentError or an *ExchangeError.
func (p *Pool) Send(ctx context.Context, r Request) (*Response, error) {
	if r.MaxBody <= 0 {
		r.MaxBody = DefaultMaxBody
	}
	c, err := p.acquireFor(ctx, &r)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { p.discard(c) })
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			stopCancel()
			p.discard(c)
			return nil, &NotSentError{Addr: r.Addr, Reason: ReasonNotAllowed, Cause: err}
		}
	}
	if r.OnSend != nil {
		r.OnSend()
	}
	w := c.write(&r)
	resp, otherAnswers, err := c.readHeader(&r) //nolint:bodyclose // Response.Close ends the exchange.
	if err != nil {
		stopCancel()
		p.discard(c)
		return nil, exchangeError(ctx, r.Addr, StageHeader, err)
	}
	out := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		conn: c, body: resp.Body, limit: r.MaxBody, requestWrite: w, stopCancel: stopCancel,
	}
	// A body without length and chunks ends with its connection.
	out.framed = resp.ContentLength >= 0 || isChunked(resp)
	out.reusable = out.framed && !resp.Close && otherAnswers == 0
	c.idleTimeout = keepAliveTimeout(resp.Header.Get("Keep-Alive"), p.opt.IdleTimeout)
	if c.relayed {
		c.idleTimeout = min(c.idleTimeout, maxRelayedAge)
	} else {
		p.opt.OnAnswer()
	}
	return out, nil
}

// exchangeError returns an ExchangeError, whose cause is that of the context if it ended.
func exchangeError(ctx context.Context, addr string, stage Stage, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &ExchangeError{Addr: addr, Stage: stage, Cause: err}
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
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
	// Write replaces line breaks in values, which prevents header injection.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader returns the header of the response to this request and the number of
// responses to other requests that came before it.
func (c *conn) readHeader(r *Request) (*http.Response, int, error) {
	informational := 0
	c.bounded.setPart(PartHead, maxHeadBytes)
	for otherAnswers := 0; ; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, otherAnswers, err
		}
		// ReadResponse takes any three digits for a status.
		if resp.StatusCode < 100 || resp.StatusCode > 599 {
			return nil, otherAnswers, &InvalidStatusError{Addr: c.addr, Status: resp.Status}
		}
		if resp.StatusCode < 200 {
			informational++
			if informational > maxInformational {
				return nil, otherAnswers, &TooLongError{Addr: c.addr, Part: PartInformational, Limit: maxInformational}
			}
			continue
		}
		if r.Accept(resp.Header) {
			c.bounded.setBody()
			return resp, otherAnswers, nil
		}
		if otherAnswers == maxOtherAnswers || resp.ContentLength < 0 && !isChunked(resp) {
			return nil, otherAnswers, errOtherAnswer
		}
		if err := c.skipOtherAnswer(resp, r.MaxBody); err != nil {
			return nil, otherAnswers, err
		}
		otherAnswers++
	}
}

// skipOtherAnswer reads and drops the body of a response to another request. It has the
// same bound as the body of the request's own response.
func (c *conn) skipOtherAnswer(resp *http.Response, limit int64) error {
	if resp.ContentLength > limit {
		return &TooLongError{Addr: c.addr, Part: PartOtherAnswer, Limit: limit}
	}
	c.bounded.setPart(PartOtherAnswer, limit)
	_, err := io.Copy(io.Discard, resp.Body)
	c.bounded.setPart(PartHead, maxHeadBytes)
	var long *TooLongError
	if err != nil && !errors.As(err, &long) {
		return errOtherAnswer
	}
	return err
}

// Read reads the body. It returns io.EOF only at the end of a complete body, which is the
// end of the connection if the body has neither a length nor chunks. Such a body isn't complete if the
// request couldn't be written: a reset is reported to either the writer or the reader of a connection, and
// the other one may see its regular end. A relay watches the connection to the endpoint itself.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.read += int64(n)
	if n > 0 && r.OnRead != nil {
		r.OnRead()
	}
	if n > 0 && max(r.read, r.Length) > r.limit {
		return 0, r.TooLong(PartBody, r.limit)
	}
	if err == io.EOF && !r.framed && !r.conn.relayed && r.requestWrite.fails(r.conn.pool.timer) {
		return n, &ExchangeError{Addr: r.conn.addr, Stage: StageBody, Cause: io.ErrUnexpectedEOF}
	}
	if err == io.EOF {
		r.ended = true
		return n, err
	}
	if err != nil {
		return n, &ExchangeError{Addr: r.conn.addr, Stage: StageBody, Cause: err}
	}
	return n, nil
}

// TooLong returns the error for a part of the body that exceeds its bound.
func (r *Response) TooLong(part Part, limit int64) error {
	cause := &TooLongError{Addr: r.conn.addr, Part: part, Limit: limit}
	return &ExchangeError{Addr: r.conn.addr, Stage: StageBody, Cause: cause}
}

// Close ends the exchange. The connection returns to the pool if the response was read
// to its end and the endpoint keeps the connection open as well. Otherwise it is
// closed, which tells the endpoint to stop.
func (r *Response) Close() {
	r.once.Do(func() {
		active := r.stopCancel()
		if !active || !r.ended || !r.reusable || r.conn.reader.Buffered() > 0 || !r.requestWrite.succeeded() {
			r.conn.pool.discard(r.conn)
			return
		}
		r.conn.pool.putIdle(r.conn)
	})
}

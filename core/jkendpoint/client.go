// Package jkendpoint is the HTTP client for model engines and plain services. It never
// retries a request by itself, and its errors say whether a request may have run. Retries
// and the choice of an endpoint are up to its callers.
package jkendpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"
)

// Options configure a client.
type Options struct {
	// Dial opens a connection; nil means that of net.Dialer.
	Dial             func(ctx context.Context, network, addr string) (net.Conn, error)
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // of pooled connections
	IdlePerAddress   int
	MaxBodyBytes     int64 // of a response that is not streamed
	MaxEventBytes    int   // of one event of a stream
	MaxStreamBytes   int64 // of a whole stream
	MaxHeaderBytes   int64
	UserAgent        string
	StreamBufferSize int
}

// DefaultOptions suit endpoints in the same zone.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 2 * time.Second,
		// Shorter than the idle timeout of common servers, so that a server
		// rarely closes a pooled connection just as it is reused.
		IdleTimeout:      5 * time.Second,
		IdlePerAddress:   16,
		MaxBodyBytes:     4 << 20,
		MaxEventBytes:    1 << 20,
		MaxStreamBytes:   64 << 20,
		MaxHeaderBytes:   64 << 10,
		UserAgent:        "jasmineknot",
		StreamBufferSize: 4 << 10,
	}
}

// Client sends requests to any number of endpoints.
type Client struct {
	options Options
	// pooled reuses connections; only repeatable requests go through it.
	pooled *http.Transport
	// oneShot opens one connection per request. net/http replays a request only
	// on a reused connection, so a request sent here is written at most once.
	oneShot *http.Transport
}

// New returns a client. Zero options take their default.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{options: options, pooled: newTransport(options, true), oneShot: newTransport(options, false)}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	if o.DialTimeout <= 0 {
		o.DialTimeout = d.DialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = d.IdleTimeout
	}
	if o.IdlePerAddress <= 0 {
		o.IdlePerAddress = d.IdlePerAddress
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = d.MaxBodyBytes
	}
	if o.MaxEventBytes <= 0 {
		o.MaxEventBytes = d.MaxEventBytes
	}
	if o.MaxStreamBytes <= 0 {
		o.MaxStreamBytes = d.MaxStreamBytes
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = d.MaxHeaderBytes
	}
	if o.UserAgent == "" {
		o.UserAgent = d.UserAgent
	}
	if o.StreamBufferSize <= 0 {
		o.StreamBufferSize = d.StreamBufferSize
	}
	return o
}

func newTransport(o Options, keepAlive bool) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.IdlePerAddress,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
		ReadBufferSize:         o.StreamBufferSize,
	}
}

// Close closes idle connections. Requests in flight are not interrupted.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.oneShot.CloseIdleConnections()
}

// outgoing describes one HTTP request to an endpoint.
type outgoing struct {
	method, addr, path string
	header             http.Header
	body               []byte
	repeatable         bool
}

// send writes a request and returns the response with its body unread. The attempt
// classifies an error while the body is read. The caller calls its done method when the
// body is no longer needed.
func (c *Client) send(ctx context.Context, o outgoing) (*http.Response, *attempt, error) {
	a := &attempt{addr: o.addr}
	ctx, a.cancel = context.WithCancel(ctx)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), o.method, "http://"+o.addr+o.path, nil)
	if err != nil {
		a.cancel()
		return nil, a, &NotSentError{Addr: o.addr, Err: eris.Wrap(err, "build request")}
	}
	if o.header != nil {
		req.Header = o.header
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", c.options.UserAgent)
	}
	if len(o.body) > 0 {
		// GetBody stays nil: net/http replays a body only through it.
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(o.body)), int64(len(o.body))
	}
	transport := c.oneShot
	if o.repeatable {
		transport = c.pooled
	}
	// RoundTrip follows no redirects and stores no cookies.
	resp, err := transport.RoundTrip(req)
	if err != nil {
		defer a.cancel()
		return nil, a, a.failure(err)
	}
	a.status = resp.StatusCode
	return resp, a, nil
}

// call sends a control request with a JSON body and decodes the JSON response.
func (c *Client) call(ctx context.Context, o outgoing, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &NotSentError{Addr: o.addr, Err: eris.Wrap(err, "encode request")}
		}
		o.body, o.header = body, http.Header{"Content-Type": {"application/json"}}
	}
	resp, a, err := c.send(ctx, o)
	if err != nil {
		return err
	}
	defer a.done(resp)
	body, err := c.readBody(resp, a)
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		return statusError(o.addr, resp, body)
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return a.failure(eris.Wrap(err, "decode answer"))
	}
	return nil
}

// errBodyTooLarge reports a response above MaxBodyBytes.
var errBodyTooLarge = errors.New("answer too large")

func (c *Client) readBody(resp *http.Response, a *attempt) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxBodyBytes+1))
	if err != nil {
		return nil, a.failure(eris.Wrap(err, "read answer"))
	}
	if int64(len(body)) > c.options.MaxBodyBytes {
		return nil, a.failure(errBodyTooLarge)
	}
	return body, nil
}

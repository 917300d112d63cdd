package jkupstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Start is a start of an endpoint. A request that names one is sent to no other start: an endpoint may
// have started again under its id and address, and its registry entry shows that only later. A
// connection leads to one start as long as it lasts, so the endpoint is asked once for each.
type Start struct {
	// Born is the time of the start, in the endpoint's own unit.
	Born int64
	// Target is the path at which an endpoint reports its start.
	Target string
	// Decode returns the time of the start that a report names, if it names one.
	Decode func(report []byte) (born int64, ok bool)
	// IsOther reports whether a response is that to another request, which may come late; nil if
	// no response tells.
	IsOther func(header http.Header) bool
}

// OtherStartError is the cause if a connection leads to another start of the endpoint.
type OtherStartError struct {
	Addr       string
	Born, Want int64
}

func (e *OtherStartError) Error() string {
	return fmt.Sprintf("endpoint at %s was started at %d, want %d", e.Addr, e.Born, e.Want)
}

// reportError is the cause if a connection can't be used after the endpoint was asked for its start.
type reportError struct{ detail string }

func (e *reportError) Error() string { return "start not reported: " + e.detail }

// maxReportBytes bounds a report. It holds the state of an endpoint and of its runs.
const maxReportBytes = 256 << 10

// acquireFor returns a connection for a request: one to the start that it names, if it names one.
func (p *Pool) acquireFor(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, err := p.acquire(ctx, r.Addr, r.Repeatable)
		if err != nil || r.Start == nil {
			return c, err
		}
		isNew := c.idleSince.IsZero()
		if err = c.checkStart(ctx, r); err == nil {
			return c, nil
		}
		p.discard(c)
		// An idle connection may be from before a restart, or have been closed by the endpoint.
		if isNew || ctx.Err() != nil {
			return nil, startError(ctx, r.Addr, err)
		}
	}
}

func startError(ctx context.Context, addr string, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return &NotSentError{Addr: addr, Reason: ReasonCancelled, Cause: cause}
	}
	var other *OtherStartError
	if errors.As(err, &other) {
		return &NotSentError{Addr: addr, Reason: ReasonOtherStart, Cause: err}
	}
	return &NotSentError{Addr: addr, Reason: ReasonUnknownStart, Cause: err}
}

// checkStart asks the endpoint for its start, unless it was asked on this connection before. One that
// has no report, or reports no start, may be any.
func (c *conn) checkStart(ctx context.Context, r *Request) error {
	if !c.startAsked {
		stopCancel := context.AfterFunc(ctx, func() { c.pool.discard(c) })
		err := c.askStart(r)
		if !stopCancel() && err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
		c.startAsked = true
	}
	if c.hasStart && c.born != r.Start.Born {
		return &OtherStartError{Addr: c.addr, Born: c.born, Want: r.Start.Born}
	}
	return nil
}

func (c *conn) askStart(r *Request) error {
	ask := &Request{Method: http.MethodGet, Target: r.Start.Target, Host: c.addr, Accept: func(http.Header) bool { return true }}
	if w := c.write(ask); w.err != nil {
		return w.err
	}
	resp, _, err := c.readHeader(ask) //nolint:bodyclose // To close it would read an endless body.
	if err != nil {
		return err
	}
	report, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return err
	case len(report) > maxReportBytes:
		return &reportError{"the report is too long"}
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode >= http.StatusInternalServerError:
		return &reportError{fmt.Sprintf("status %d", resp.StatusCode)}
	case resp.Close || resp.ContentLength < 0 && !isChunked(resp):
		return &reportError{"the endpoint closes the connection"}
	}
	if resp.StatusCode == http.StatusOK {
		c.born, c.hasStart = r.Start.Decode(report)
	}
	if !c.hasStart && r.Start.IsOther != nil && r.Start.IsOther(resp.Header) {
		return &reportError{"the response is that to another request"}
	}
	return nil
}

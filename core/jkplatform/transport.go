package jkplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/rotisserie/eris"
)

// maxResponseBytes bounds a response. The largest is a list of one block of configuration
// records.
const maxResponseBytes = 256 << 20

// writeCall is one write: its key, the version the caller named, and the JSON body.
type writeCall struct {
	key     string
	version uint64
	body    any
}

// read sends a GET request. The transport may retry it, which is harmless for a read.
func (h *httpClient) read(ctx context.Context, operation, path string, query url.Values, response any) error {
	fail := func(cause error) error { return &UnavailableError{Operation: operation, Cause: cause} }
	if err := h.limit.Wait(ctx); err != nil {
		return fail(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return fail(err)
	}
	res, err := h.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		if err := decode(res.Body, response); err != nil {
			return fail(err)
		}
		return nil
	}
	var e ErrorResponse
	if err := decode(res.Body, &e); err == nil && e.Code == CodeNotFound {
		return &NotFoundError{Key: query.Get("key")}
	}
	return fail(eris.Errorf("status %d: %s", res.StatusCode, e.Detail))
}

// write sends a POST request exactly once. The request has neither GetBody nor
// an Idempotency-Key header, so the transport can't send it a second time on
// another connection.
func (h *httpClient) write(ctx context.Context, operation, path string, c writeCall, response any) error {
	if err := h.limit.Wait(ctx); err != nil {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	req, body, err := h.newWrite(ctx, path, c.body)
	if err != nil {
		return &UnavailableError{Operation: operation, Cause: err}
	}
	res, err := h.http.Do(req)
	if err != nil {
		if body.abandon() {
			return &UncertainError{Operation: operation, Key: c.key, Cause: err}
		}
		return &UnavailableError{Operation: operation, Cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		if err := decode(res.Body, response); err != nil {
			return &UncertainError{Operation: operation, Key: c.key, Cause: err}
		}
		return nil
	}
	return writeError(res, operation, c)
}

// newWrite builds the POST request of a write.
func (h *httpClient) newWrite(ctx context.Context, path string, body any) (*http.Request, *onceBody, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, nil, eris.Wrap(err, "encode request")
	}
	once := &onceBody{reader: bytes.NewReader(text)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, once)
	if err != nil {
		return nil, nil, eris.Wrap(err, "build request")
	}
	req.GetBody = nil
	req.ContentLength = int64(len(text))
	req.Header.Set("Content-Type", "application/json")
	return req, once, nil
}

// writeError maps an error response. Only responses that carry a known code prove that the
// write did not take effect; a load balancer's own 502 doesn't.
func writeError(res *http.Response, operation string, c writeCall) error {
	var e ErrorResponse
	if err := decode(res.Body, &e); err != nil {
		cause := eris.Wrapf(err, "status %d", res.StatusCode)
		return &UncertainError{Operation: operation, Key: c.key, Cause: cause}
	}
	switch e.Code {
	case CodeExists:
		return &ExistsError{Key: c.key, Present: e.Present}
	case CodeConflict:
		return &ConflictError{Key: c.key, Version: c.version, Present: e.Present}
	case CodeNotFound:
		return &NotFoundError{Key: c.key}
	case CodeRateLimited, CodeUnavailable, CodeInvalid:
		cause := eris.Errorf("%s: %s", e.Code, e.Detail)
		return &UnavailableError{Operation: operation, Cause: cause}
	}
	cause := eris.Errorf("status %d with code %q", res.StatusCode, e.Code)
	return &UncertainError{Operation: operation, Key: c.key, Cause: cause}
}

func decode(r io.Reader, to any) error {
	return eris.Wrap(json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(to), "decode answer")
}

// onceBody is a request body that records whether the transport has read from it. A write
// whose body was never read can't have taken effect. The transport's writer may still run
// after a cancelled request has returned; abandon makes its later reads fail.
type onceBody struct {
	mu        sync.Mutex
	reader    *bytes.Reader
	started   bool
	abandoned bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.abandoned {
		return 0, eris.New("request is abandoned")
	}
	b.started = true
	return b.reader.Read(p)
}

// Close does nothing; the content is in memory.
func (b *onceBody) Close() error { return nil }

// abandon stops further reads and reports whether any has happened.
func (b *onceBody) abandon() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.abandoned = true
	return b.started
}

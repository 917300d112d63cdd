// Package jkcaller is the HTTP client of the commands: it sends their requests to a
// daemon's API and decodes the answers. It doesn't retry, and it doesn't cover the
// configuration API, whose client is in jkcommand.
package jkcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/jasmineknot/jkcommand"
)

// maxResponseBytes bounds the body of an answer. A history of 110,000 tokens fits.
const maxResponseBytes = 64 << 20

// client doesn't follow redirects, because it can't send a body again.
var client = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Request is one request of the command line.
type Request struct {
	Method string
	// Server is the URL of a daemon, or its address without a scheme.
	Server string
	Path   string
	Header map[string]string
	// Body is sent as JSON; nil sends none.
	Body any
}

// Response holds the status, header and body of a daemon's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// URL returns the URL of a server that may be given as a bare address.
func URL(server string) string {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	return strings.TrimSuffix(server, "/")
}

// maxRedirects bounds the redirects of a request. Hosts that disagree on the
// controller of a zone could redirect it without end.
const maxRedirects = 3

// Send sends a request once, and once more to each host that it is redirected to,
// which is safe because a host that redirects has not run it. If no answer comes,
// it returns a *jkcommand.NoAnswerError.
func Send(ctx context.Context, r Request) (Response, error) {
	for range maxRedirects {
		a, err := sendOnce(ctx, r)
		if err != nil || a.Status != http.StatusTemporaryRedirect {
			return a, err
		}
		to, err := url.Parse(a.Header.Get("Location"))
		if err != nil || to.Host == "" {
			return a, err
		}
		r.Server, r.Path = to.Host, to.RequestURI()
	}
	return Response{}, &jkcommand.NoAnswerError{Server: r.Server, Cause: errors.New("too many redirects between hosts")}
}

func sendOnce(ctx context.Context, r Request) (Response, error) {
	var body io.Reader
	if r.Body != nil {
		text, err := json.Marshal(r.Body)
		if err != nil {
			return Response{}, err
		}
		// The transport can't rewind a reader of unknown type, so it doesn't
		// replay the request on another connection.
		body = io.NopCloser(bytes.NewReader(text))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, URL(r.Server)+r.Path, body)
	if err != nil {
		return Response{}, &jkcommand.UsageError{Detail: err.Error()}
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range r.Header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	res, err := client.Do(req)
	if err != nil {
		return Response{}, &jkcommand.NoAnswerError{Server: r.Server, Cause: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return Response{}, &jkcommand.NoAnswerError{Server: r.Server, Cause: err}
	}
	return Response{Status: res.StatusCode, Header: res.Header, Body: text}, nil
}

// SendAndDecode is Send and decodes the answer's body into a value, unless that is
// nil. A problem in the answer is returned as *jkproblem.Problem.
func SendAndDecode(ctx context.Context, r Request, into any) (Response, error) {
	a, err := Send(ctx, r)
	if err != nil {
		return a, err
	}
	if a.Status >= http.StatusBadRequest {
		return a, decodeProblem(r, a)
	}
	if into == nil {
		return a, nil
	}
	if err := json.Unmarshal(a.Body, into); err != nil {
		return a, &jkcommand.NoAnswerError{Server: r.Server, Cause: err}
	}
	return a, nil
}

func decodeProblem(r Request, a Response) error {
	var p jkproblem.Problem
	if err := json.Unmarshal(a.Body, &p); err != nil || p.Type == "" {
		p = *jkproblem.Newf(jkproblem.TypeInternal, "%s %s got status %d: %.200s", r.Method, r.Path, a.Status, a.Body)
		p.Status = a.Status
	}
	return &p
}

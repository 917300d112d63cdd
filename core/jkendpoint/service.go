package jkendpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

// ServiceRequest is one call of a plain service. Path starts with a slash and
// may have a query. Only a Repeatable request may reuse a connection.
type ServiceRequest struct {
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
}

// ServiceResult is the complete response of a service, whatever its status.
type ServiceResult struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service runs one call of a plain service.
func (c *Client) Service(ctx context.Context, addr string, r ServiceRequest) (ServiceResult, error) {
	path, err := validatePath(r.Path)
	if err != nil {
		return ServiceResult{}, &NotSentError{Addr: addr, Err: err}
	}
	resp, a, err := c.send(ctx, outgoing{
		method: r.Method, addr: addr, path: path, header: endToEnd(r.Header), body: r.Body, repeatable: r.Repeatable,
	})
	if err != nil {
		return ServiceResult{}, err
	}
	defer a.done(resp)
	body, err := c.readBody(resp, a)
	if err != nil {
		return ServiceResult{}, err
	}
	return ServiceResult{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}, nil
}

// validatePath returns the request URI of a path. It refuses one that would change the
// address of the request.
func validatePath(path string) (string, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") || u.Host != "" {
		return "", fmt.Errorf("path: got %q, allowed: an absolute path", path)
	}
	return u.RequestURI(), nil
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1). Expect is
// among them because this process answers it itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd copies a header without the fields that concern one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		return http.Header{}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

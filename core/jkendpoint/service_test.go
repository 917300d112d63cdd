package jkendpoint

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against hop-by-hop headers that are passed on, against redirects that are
// followed, and against lost statuses and bodies.
func TestServicePassesEndToEnd(t *testing.T) {
	var seen *http.Request
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Kept", "2")
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI())
	}))
	defer server.Close()
	c := New(Options{})
	defer c.Close()
	got, err := c.Service(t.Context(), server.Listener.Addr().String(), ServiceRequest{
		Method: "PUT", Path: "/items/a%2Fb?x=1", Body: []byte("body"), Repeatable: true, Header: http.Header{
			"Connection": {"keep-alive, x-drop"}, "X-Drop": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"},
			"Content-Length": {"999"}, "Idempotency-Key": {"k"}, "Accept-Encoding": {"br"},
		},
	})
	if err != nil || got.Status != http.StatusTemporaryRedirect || string(got.Body) != "PUT /items/a%2Fb?x=1" {
		t.Fatalf("got %+v, %v", got, err)
	}
	if got.Header.Get("X-Hop") != "" || got.Header.Get("X-Kept") != "2" || got.Header.Get("Content-Length") != "" {
		t.Errorf("answer has header %v", got.Header)
	}
	h := seen.Header
	if h.Get("X-Drop") != "" || h.Get("Te") != "" || h.Get("Expect") != "" || seen.ContentLength != 4 {
		t.Errorf("request has header %v", h)
	}
	if h.Get("Idempotency-Key") != "k" || h.Get("Accept-Encoding") != "br" {
		t.Errorf("request lost a header: %v", h)
	}
}

// Guards against a path that changes the address, and against a response that is too large
// and comes back truncated as if it were complete.
func TestServiceRefusesPathsAndLargeBodies(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 101))
	}))
	defer server.Close()
	c := New(Options{MaxBodyBytes: 100})
	defer c.Close()
	addr := server.Listener.Addr().String()
	for _, path := range []string{"", "a", "@192.0.2.1/", "http://192.0.2.1/", "//192.0.2.1/", "/a\r\nHost: x"} {
		var notSent *NotSentError
		if _, err := c.Service(t.Context(), addr, ServiceRequest{Method: "GET", Path: path}); !errors.As(err, &notSent) {
			t.Errorf("%q: got %v", path, err)
		}
	}
	var uncertain *UncertainError
	_, err := c.Service(t.Context(), addr, ServiceRequest{Method: "GET", Path: "/"})
	if !errors.As(err, &uncertain) || !uncertain.ResponseStarted || uncertain.Status != 200 {
		t.Errorf("too large: got %v", err)
	}
}

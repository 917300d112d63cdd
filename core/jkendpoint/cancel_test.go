package jkendpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// Guards against a cancelled call that is reported as not sent while net/http
// still writes it from another goroutine.
func TestCancelledCallNeverRunsAfterNotSent(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		ran[r.URL.Path] = true
	}))
	defer server.Close()
	c := New(Options{})
	defer c.Close()
	notSent := map[string]bool{}
	answered, uncertain := 0, 0
	for i := range 3000 {
		path := fmt.Sprintf("/actions/%d", i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%300)*time.Microsecond)
		_, err := c.Service(ctx, server.Listener.Addr().String(), ServiceRequest{
			Method: "POST", Path: path, Body: []byte("{}"), Repeatable: i%2 == 0,
		})
		cancel()
		var never *NotSentError
		switch {
		case err == nil:
			answered++
		case errors.As(err, &never):
			notSent[path] = true
		default:
			uncertain++
		}
	}
	time.Sleep(50 * time.Millisecond) // late writes would still arrive
	mu.Lock()
	defer mu.Unlock()
	for path := range notSent {
		if ran[path] {
			t.Errorf("%s ran although it was reported as not sent", path)
		}
	}
	t.Logf("%d answered, %d not sent, %d uncertain", answered, len(notSent), uncertain)
	if len(notSent) == 0 || answered == 0 {
		t.Fatal("the timeouts do not cover both ends of a call")
	}
}

// Guards against a connection that still writes after nothing was reported as
// written, and against a seal on a connection that has written.
func TestSealUnwritten(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &countedConn{Conn: near}
	if _, err := c.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	if got := c.sealUnwritten(byteCounts{}); got.sent != 5 {
		t.Fatalf("got %+v", got)
	}
	if _, err := c.Write([]byte("second")); err != nil {
		t.Fatalf("sealed although bytes were written: %v", err)
	}
	base := c.byteCounts()
	if got := c.sealUnwritten(base); got != base {
		t.Fatalf("got %+v", got)
	}
	if n, err := c.Write([]byte("third")); err == nil || n != 0 || c.byteCounts() != base {
		t.Fatalf("wrote %d bytes after the seal, %v", n, err)
	}
}

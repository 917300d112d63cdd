package jkendpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"jasmineknot.example/core/jkchat"
)

// cuttingEndpoint sends the first bytes of a response, then closes or resets the
// connection.
type cuttingEndpoint struct {
	listener net.Listener

	mu    sync.Mutex
	part  string
	reset bool
}

func newCuttingEndpoint(t *testing.T) *cuttingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &cuttingEndpoint{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.answer(c)
		}
	}()
	return e
}

func (e *cuttingEndpoint) set(part string, reset bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.part, e.reset = part, reset
}

func (e *cuttingEndpoint) answer(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = io.WriteString(c, e.part)
	if tcp, ok := c.(*net.TCPConn); ok && e.reset {
		_ = tcp.SetLinger(0)
	}
}

// expectUncertain checks the error of a request whose response was cut.
func expectUncertain(t *testing.T, what string, err error) {
	t.Helper()
	var uncertain *UncertainError
	if !errors.As(err, &uncertain) {
		t.Errorf("%s: error %v, want one that says the request may have run", what, err)
	}
}

// Guards against a response that breaks off in its head or body and counts as complete, or
// as one of a request that did not run.
func TestResponsesThatBreakOffAreNoResults(t *testing.T) {
	const content = "the whole answer"
	chunk := `data: {"id":"c","choices":[{"index":0,"delta":{"content":"text"},"finish_reason":"stop"}]}` + "\n\n"
	for name, response := range map[string]struct{ head, body string }{
		"length":   {fmt.Sprintf("Content-Length: %d\r\n", len(content)), content},
		"chunked":  {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(content), content)},
		"unframed": {"", content},
		"chat":     {"Content-Type: text/event-stream\r\n", chunk + "data: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newCuttingEndpoint(t)
			client := New(Options{})
			defer client.Close()
			head := "HTTP/1.1 200 OK\r\n" + response.head + "\r\n"
			whole := head + response.body
			send := func() error {
				if name == "chat" {
					_, err := client.Chat(context.Background(), e.listener.Addr().String(), ChatRequest{}, func(jkchat.Chunk) error { return nil })
					return err
				}
				r, err := client.Service(context.Background(), e.listener.Addr().String(), ServiceRequest{Method: http.MethodPost, Path: "/x", Body: []byte("hi")})
				if err == nil && string(r.Body) != content {
					t.Errorf("body %q without an error", r.Body)
				}
				return err
			}
			e.set(whole, false)
			if err := send(); err != nil {
				t.Fatalf("whole response: %v", err)
			}
			// The last line break of a stream follows its final event.
			for cut := range len(strings.TrimRight(whole, "\n")) {
				for _, reset := range []bool{false, true} {
					if name == "unframed" && cut >= len(head) && !reset {
						// This is a whole response by its framing.
						continue
					}
					e.set(whole[:cut], reset)
					expectUncertain(t, fmt.Sprintf("cut after %d of %d bytes, reset %t", cut, len(whole), reset), send())
				}
			}
		})
	}
}

package jkendpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jkchat"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveConns answers the first request of each connection. It runs every later one, but
// closes the connection without a response.
func serveConns(t *testing.T) (addr string, runs *atomic.Int64) {
	t.Helper()
	runs = &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOne(conn, runs)
		}
	}()
	return l.Addr().String(), runs
}

// serveOne serves one connection as serveConns describes.
func serveOne(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		runs.Add(1)
		if i > 0 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// runsOfTwo sends two actions one after the other and returns how many ran.
func runsOfTwo(t *testing.T, send func(addr, method, body string)) int64 {
	t.Helper()
	addr, runs := serveConns(t)
	for _, action := range []struct{ method, body string }{{"POST", "deposit"}, {"DELETE", ""}} {
		send(addr, action.method, action.body)
	}
	return runs.Load()
}

// Guards against net/http sending a request twice by itself when it carries an
// Idempotency-Key and a reused connection breaks after the action ran. The
// plain client shows that the stand-in provokes exactly this.
func TestNoHiddenReplay(t *testing.T) {
	header := http.Header{"Idempotency-Key": {"k1"}}
	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	ran := runsOfTwo(t, func(addr, method, body string) {
		req, err := http.NewRequest(method, "http://"+addr+"/actions/pay", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header = header.Clone()
		if resp, err := plain.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	if ran <= 2 {
		t.Fatalf("plain client: 2 actions ran %d times; the stand-in does not provoke a replay", ran)
	}
	c := New(Options{})
	defer c.Close()
	for _, repeatable := range []bool{false, true} {
		ran = runsOfTwo(t, func(addr, method, body string) {
			// A failure is correct here; only a second run is not.
			_, _ = c.Service(t.Context(), addr, ServiceRequest{
				Method: method, Path: "/actions/pay", Header: header, Body: []byte(body), Repeatable: repeatable,
			})
		})
		if !repeatable && ran != 2 {
			t.Fatalf("non-repeatable: 2 actions ran %d times", ran)
		}
		if repeatable && ran > 3 {
			t.Fatalf("repeatable: 2 actions ran %d times", ran)
		}
	}
}

// Guards against a failure reported with the wrong certainty: "not sent" for a
// request that ran loses exactly-once, "uncertain" for one that did not run
// loses a retry.
func TestFailureCertainty(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/cut":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		case "/hang":
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	live := server.Listener.Addr().String()
	// Not earlier: the server could be given the port.
	_ = closed.Close()
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	for _, test := range []struct {
		path, addr        string
		ctx               context.Context
		notSent, answered bool
	}{
		{"/refused", closed.Addr().String(), t.Context(), true, false},
		{"/expired", live, expired, true, false},
		{"/abort", live, t.Context(), false, false},
		{"/cut", live, t.Context(), false, true},
		{"/hang", live, shortContext(t), false, false},
	} {
		c := New(Options{})
		_, err := c.Service(test.ctx, test.addr, ServiceRequest{Method: "POST", Path: test.path, Body: []byte("{}")})
		var notSent *NotSentError
		var uncertain *UncertainError
		if errors.As(err, &notSent) != test.notSent || errors.As(err, &uncertain) == test.notSent {
			t.Fatalf("%s: got %T: %v", test.path, err, err)
		}
		if uncertain != nil && (uncertain.ResponseStarted != test.answered || uncertain.BytesSent == 0) {
			t.Fatalf("%s: got %+v", test.path, uncertain)
		}
		c.Close()
	}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a truncated stream that is taken for a complete response, and against
// lost chunks.
func TestChatNeedsFinalEvent(t *testing.T) {
	contentEvent := func(text, finish string) string {
		return `data: {"id":"c1","choices":[{"index":0,"delta":{"content":"` + text + `"},"finish_reason":` + finish + "}]}\n\n"
	}
	for _, test := range []struct {
		name, body string
		complete   bool
	}{
		{"complete", contentEvent("a", "null") + ": ping\n\n" + contentEvent("b", `"stop"`) + "data: [DONE]\n\n", true},
		{"no done", contentEvent("a", "null") + contentEvent("b", `"stop"`), false},
		{"done without finish", contentEvent("a", "null") + contentEvent("b", "null") + "data: [DONE]\n\n", false},
		{"cut in event", contentEvent("a", "null") + contentEvent("b", `"stop"`) + "data: [DONE]", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", jkchat.ContentType)
			_, _ = io.WriteString(w, test.body)
		}))
		c := New(Options{})
		emitted := 0
		got, err := c.Chat(t.Context(), server.Listener.Addr().String(), ChatRequest{}, func(jkchat.Chunk) error {
			emitted++
			return nil
		})
		var uncertain *UncertainError
		if test.complete != (err == nil) || (err != nil && !errors.As(err, &uncertain)) {
			t.Fatalf("%s: got error %v", test.name, err)
		}
		if got.Message.Content.String() != "ab" || got.Chunks != 2 || emitted != 2 {
			t.Fatalf("%s: got %+v, %d chunks emitted", test.name, got, emitted)
		}
		c.Close()
		server.Close()
	}
}

// Guards against one connection per repeatable call, which costs a handshake each, against
// reuse by other calls, and against an engine that keeps its response open after the final
// event.
func TestChatReusesConnections(t *testing.T) {
	for _, test := range []struct {
		repeatable, open bool
		connections      int64
	}{{true, false, 1}, {false, false, 3}, {true, true, 3}} {
		var connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", jkchat.ContentType)
			_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
			if test.open {
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		c := New(Options{})
		for range 3 {
			got, err := c.Chat(t.Context(), server.Listener.Addr().String(), ChatRequest{Repeatable: test.repeatable},
				func(jkchat.Chunk) error { return nil })
			if err != nil || got.Message.Content.String() != "a" {
				t.Fatalf("%+v: got %+v, %v", test, got, err)
			}
		}
		if connections.Load() != test.connections {
			t.Errorf("%+v: got %d connections", test, connections.Load())
		}
		c.Close()
		server.Close()
	}
}

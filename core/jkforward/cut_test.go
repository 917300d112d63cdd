package jkforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// cutFraming is how the end of a body is marked.
type cutFraming string

// Framings of a response. Without a length the end of the connection ends the body.
const (
	cutLength   cutFraming = "length"
	cutChunked  cutFraming = "chunked"
	cutUnframed cutFraming = "unframed"
)

// cutBody is the body of a response, as a stream or not.
func cutBody(stream bool) string {
	if stream {
		return "id: 1\ndata: first\n\nid: 2\ndata: second\n\n"
	}
	return "the whole answer"
}

// cutResponse returns a whole response and the length of its head.
func cutResponse(framing cutFraming, body string) (whole string, head int) {
	whole = "HTTP/1.1 200 OK\r\n" + testRequest + ": r1\r\n" + testSigned + ": 1\r\n"
	if strings.HasPrefix(body, "id:") {
		whole += "Content-Type: text/event-stream\r\n"
	}
	switch framing {
	case cutLength:
		whole += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case cutChunked:
		whole += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case cutUnframed:
	}
	whole += "\r\n"
	return whole + body, len(whole)
}

// cutFixture is a handler behind a server, with one endpoint.
type cutFixture struct {
	front    *httptest.Server
	endpoint net.Listener
	handler  atomic.Pointer[Handler]

	mu sync.Mutex
	// part is what the endpoint sends before it closes the connection, or resets it.
	part  string
	reset bool
	// received counts the requests that the endpoint has read.
	received int
}

func newCutFixture(t *testing.T) *cutFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &cutFixture{endpoint: l}
	f.front = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handler.Load().ServeHTTP(w, r) }))
	t.Cleanup(f.front.Close)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.answer(c)
		}
	}()
	return f
}

// answer reads a request and sends the part.
func (f *cutFixture) answer(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	_, _ = io.WriteString(c, f.part)
	if tcp, ok := c.(*net.TCPConn); ok && f.reset {
		_ = tcp.SetLinger(0)
	}
}

// send sends a request and returns what the caller reads. A body that ends early is an
// error. Each request has a handler of its own, as an endpoint that fails gets no more.
func (f *cutFixture) send(t *testing.T, part string, reset bool, route, proto string) (status int, body string, err error) {
	t.Helper()
	f.mu.Lock()
	f.part, f.reset, f.received = part, reset, 0
	f.mu.Unlock()
	timer, _ := jktimer.NewManual(time.Now())
	fleet := NewFleet("h", jksched.DefaultDirectOptions(), timer)
	fleet.SetEndpoint(jksched.Endpoint{ID: "e", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, f.endpoint.Addr().String(), 1)
	f.handler.Store(NewHandler(Options{
		Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Rules: testRules,
		Dialect: testDialect(), Account: (&memoryAccount{}).account(), Fleet: fleet, Stop: NewHostStop(),
		Pool:    jkupstream.NewPool(jkupstream.DefaultOptions(), timer, func() {}),
		Crashes: NewCrashWatch(timer, jklog.Discard()),
	}))
	conn, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Thousands of connections that are closed in order would use up the ports.
		_ = tcp.SetLinger(0)
	}
	_, err = fmt.Fprintf(conn, "POST /%s/x %s\r\nHost: site.example\r\n%s: r1\r\nContent-Length: 2\r\n\r\nhi", route, proto, testRequest)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// hasReceived reports whether the endpoint has read the last request.
func (f *cutFixture) hasReceived() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received > 0
}

// Guards against responses that break off in their head or body and reach the caller as
// complete ones, and against requests that may have run and are called not run. HTTP/1.0
// has no chunks, so that only a reset connection tells a caller that a stream is incomplete.
func TestResponsesThatBreakOffNeverLookComplete(t *testing.T) {
	for _, framing := range []cutFraming{cutLength, cutChunked, cutUnframed} {
		for _, route := range []string{"safe", "once", "stream", "chat"} {
			for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(fmt.Sprintf("%s %s %s", framing, route, proto), func(t *testing.T) {
					t.Parallel()
					cutEverywhere(t, framing, route, proto)
				})
			}
		}
	}
}

// cutEverywhere cuts a response at each of its bytes, by a close and by a reset.
func cutEverywhere(t *testing.T, framing cutFraming, route, proto string) {
	f := newCutFixture(t)
	body := cutBody(route == "stream" || route == "chat")
	whole, head := cutResponse(framing, body)
	if status, got, err := f.send(t, whole, false, route, proto); err != nil || status != http.StatusOK || got != body {
		t.Fatalf("whole response: status %d, body %q, error %v", status, got, err)
	}
	for cut := range len(whole) {
		for _, reset := range []bool{false, true} {
			if framing == cutUnframed && !reset && cut >= head {
				// This is a whole response by its framing.
				continue
			}
			status, got, err := f.send(t, whole[:cut], reset, route, proto)
			switch {
			case err == nil && status < 300 && got != body:
				t.Errorf("cut after %d of %d bytes, reset %t: complete response with status %d, body %q", cut, len(whole), reset, status, got)
			case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && route == "once" && f.hasReceived():
				t.Errorf("cut after %d of %d bytes, reset %t: status %d for a request that may have run", cut, len(whole), reset, status)
			}
		}
	}
}

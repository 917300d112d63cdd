package jkforward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// uploadBytes is the size of a body that doesn't fit into the buffers of two sockets, of which the
// endpoint's has earlyReadBuffer.
const (
	uploadBytes     = 6 << 20
	earlyReadBuffer = 64 << 10
)

// earlyEndpoint is an endpoint that answers a request before it has read its body.
type earlyEndpoint struct {
	listener net.Listener
	// answer is what it sends.
	answer string
	// end is called once the answer was sent.
	end func(c *net.TCPConn, body io.Reader)
}

func newEarlyEndpoint(t *testing.T, answer string, end func(c *net.TCPConn, body io.Reader)) *earlyEndpoint {
	t.Helper()
	e := &earlyEndpoint{listener: listenTCP(t), answer: answer, end: end}
	t.Cleanup(func() { _ = e.listener.Close() })
	go func() {
		for {
			c, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e
}

func (e *earlyEndpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(earlyReadBuffer)
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, e.answer)
	e.end(c, req.Body)
}

// resetInUpload resets the connection while the upload is blocked.
func resetInUpload(c *net.TCPConn, _ io.Reader) {
	time.Sleep(20 * time.Millisecond)
	_ = c.SetLinger(0)
}

// closeInUpload closes the connection with unread bytes, which resets it.
func closeInUpload(*net.TCPConn, io.Reader) { time.Sleep(20 * time.Millisecond) }

// earlyRules returns the routes of the tests: a plain one that may be repeated, one that may not, one of
// streams and one of turns that are kept.
func earlyRules() *jkruleset.Set {
	route := func(name string, kind jkruleset.Kind, retain bool) *jkruleset.Route {
		return jkruleset.NewRoute(jkruleset.RouteConfig{
			Name: name, Host: "site.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second,
			MaxAttempts: 1, Retain: retain, Shares: []jkruleset.Share{{Service: "s", Weight: 1}},
		})
	}
	return jkruleset.NewSet(1, jkruleset.Limits{MaxBodyBytes: 16 << 20}, []*jkruleset.Service{
		jkruleset.NewService(jkruleset.ServiceConfig{Name: "s", EventTokens: 5}),
	}, []*jkruleset.Route{
		route("safe", jkruleset.KindIdempotent, false), route("once", jkruleset.KindNonIdempotent, false),
		route("stream", jkruleset.KindStream, false), route("chat", jkruleset.KindStream, true),
	})
}

// earlyRoutes are the names of the routes of earlyRules.
var earlyRoutes = []string{"safe", "once", "stream", "chat"}

func newEarlyFront(t *testing.T, e *earlyEndpoint) *httptest.Server {
	t.Helper()
	timer := jktimer.New()
	fleet, rules := NewFleet("h", jksched.DefaultDirectOptions(), timer), earlyRules()
	fleet.SetEndpoint(jksched.Endpoint{ID: "e1", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, e.listener.Addr().String(), 1)
	pool := jkupstream.NewPool(jkupstream.DefaultOptions(), timer, func() {})
	t.Cleanup(pool.CloseIdleDirect)
	front := httptest.NewServer(NewHandler(Options{
		Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Rules: func() *jkruleset.Set { return rules },
		Dialect: testDialect(), Account: (&memoryAccount{}).account(), Fleet: fleet, Stop: NewHostStop(),
		Pool: pool, Crashes: NewCrashWatch(timer, jklog.Discard()),
	}))
	t.Cleanup(front.Close)
	return front
}

// upload sends a request with a body to a route. The answer is complete if err is nil.
func upload(front *httptest.Server, route string, size int) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, front.URL+"/"+route+"/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, "", err
	}
	req.Host = "site.example"
	req.Header.Set(testRequest, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// earlyHead is the start of an answer to the request of upload.
func earlyHead(status, header string) string {
	return fmt.Sprintf("%s\r\n%s: r1\r\n%s: 1\r\nContent-Type: text/event-stream\r\n%s\r\n", status, testRequest, testSigned, header)
}

const earlyEvent = "id: 1\ndata: one\n\n"

// Guards against a part of an answer that looks complete: the endpoint answers an upload at once,
// sends a part of the body and resets the connection while the upload is being written. The error of the
// reset reaches either the reader or the writer of the connection, so that some reads see its end.
func TestResetInAnUploadDoesNotCompleteAResponse(t *testing.T) {
	answers := map[string]string{
		"unframed":  earlyHead("HTTP/1.1 200 X", "") + earlyEvent,
		"http1.0":   earlyHead("HTTP/1.0 200 X", "") + earlyEvent,
		"close":     earlyHead("HTTP/1.1 200 X", "Connection: close\r\n") + earlyEvent,
		"keepalive": earlyHead("HTTP/1.0 200 X", "Connection: keep-alive\r\n") + earlyEvent,
		"length":    earlyHead("HTTP/1.1 200 X", "Content-Length: 100\r\n") + earlyEvent,
		"chunked":   earlyHead("HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n") + "11\r\n" + earlyEvent + "\r\n",
		"failed":    earlyHead("HTTP/1.1 500 X", "") + earlyEvent,
	}
	ends := map[string]func(*net.TCPConn, io.Reader){"reset": resetInUpload, "closed": closeInUpload}
	for name, answer := range answers {
		for how, end := range ends {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				front := newEarlyFront(t, newEarlyEndpoint(t, answer, end))
				for _, route := range earlyRoutes {
					complete := 0
					for range 3 {
						_, body, err := upload(front, route, uploadBytes)
						if err == nil && strings.Contains(body, "data: one") {
							complete++
						}
					}
					if complete > 0 {
						t.Errorf("%s: %d of 3 answers that were reset are complete", route, complete)
					}
				}
			})
		}
	}
}

// Guards against an endpoint that answers before it has read a long body, and reads on later: its
// answer is complete, and what it reads of the body is what was sent.
func TestAnswerBeforeTheUploadIsReadIsComplete(t *testing.T) {
	answers := map[string]string{
		"length":  earlyHead("HTTP/1.1 200 X", "Content-Length: 17\r\n") + earlyEvent,
		"chunked": earlyHead("HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n") + "11\r\n" + earlyEvent + "\r\n0\r\n\r\n",
		// The endpoint ends only its own direction.
		"unframed": earlyHead("HTTP/1.1 200 X", "") + earlyEvent,
		"http1.0":  earlyHead("HTTP/1.0 200 X", "") + earlyEvent,
	}
	for name, answer := range answers {
		for how, pause := range map[string]time.Duration{"soon": 20 * time.Millisecond, "late": 600 * time.Millisecond} {
			t.Run(name+"/"+how, func(t *testing.T) {
				t.Parallel()
				wrong := make(chan int, 64)
				front := newEarlyFront(t, newEarlyEndpoint(t, answer, func(c *net.TCPConn, body io.Reader) {
					if name == "unframed" || name == "http1.0" {
						_ = c.CloseWrite()
					}
					time.Sleep(pause)
					data, _ := io.ReadAll(body)
					wrong <- len(bytes.Trim(data, "\x00"))
				}))
				for _, route := range earlyRoutes {
					status, body, err := upload(front, route, uploadBytes)
					if status != http.StatusOK || body != earlyEvent || err != nil {
						t.Errorf("%s: status %d, body %q, error %v", route, status, body, err)
					}
					if n := <-wrong; n > 0 {
						t.Errorf("%s: %d bytes aren't of the body", route, n)
					}
				}
			})
		}
	}
}

// Guards against an answer whose status isn't one, which reaches the caller or ends its connection.
func TestAnswerWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "600", "700", "999"} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for framing, header := range map[string]string{"length": "Content-Length: 17\r\n", "unframed": ""} {
				t.Run(strings.Join([]string{status, proto[5:], framing}, "/"), func(t *testing.T) {
					front := newEarlyFront(t, newEarlyEndpoint(t, earlyHead(proto+" "+status+" X", header)+earlyEvent, func(_ *net.TCPConn, body io.Reader) {
						_, _ = io.Copy(io.Discard, body)
					}))
					for _, route := range earlyRoutes {
						got, body, err := upload(front, route, 10)
						if got != http.StatusBadGateway || err != nil || strings.Contains(body, "data: one") {
							t.Errorf("%s: status %d, body %q, error %v, want 502", route, got, body, err)
						}
					}
				})
			}
		}
	}
}

package jkupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

// endlessEndpoint is an endpoint that repeats a piece of its response until its
// connection is closed.
type endlessEndpoint struct {
	listener net.Listener
	start    string
	piece    string
	// pause is the time between two writes.
	pause    time.Duration
	requests atomic.Int64
	written  atomic.Int64
	closed   chan struct{}
}

func newEndlessEndpoint(t *testing.T, start, piece string) *endlessEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessEndpoint{listener: l, start: start, piece: piece, closed: make(chan struct{}, 64)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *endlessEndpoint) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	e.requests.Add(1)
	if _, err := io.WriteString(c, e.start); err != nil {
		return
	}
	block := []byte(strings.Repeat(e.piece, 1+(16<<10)/len(e.piece)))
	for {
		n, err := c.Write(block)
		e.written.Add(int64(n))
		if err != nil {
			e.closed <- struct{}{}
			return
		}
		time.Sleep(e.pause)
	}
}

const (
	ownHead   = "HTTP/1.1 200 X\r\nId: own\r\n"
	otherHead = "HTTP/1.1 200 X\r\nId: other\r\n"
)

// endlessAnswers are the parts of a response that an endpoint can repeat.
var endlessAnswers = []struct {
	name  string
	start string
	piece string
	part  Part
}{
	{"head lines", ownHead, "A: b\r\n", PartHead},
	{"head line", ownHead + "A: ", "b", PartHead},
	{"status line", "HTTP/1.1 200 ", "X", PartHead},
	{"informational answers", "", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n", PartInformational},
	{"large informational answers", "HTTP/1.1 103 X\r\n", "Link: a\r\n", PartHead},
	{"body without length", ownHead + "\r\n", "b", PartBody},
	{"chunks", ownHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", PartBody},
	{"one chunk", ownHead + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffff\r\n", "b", PartBody},
	{"body of a huge length", ownHead + "Content-Length: 9000000000000000\r\n\r\n", "b", PartBody},
	{"huge answer to another request", otherHead + "Content-Length: 9000000000000000\r\n\r\n", "b", PartOtherAnswer},
	{"chunks for another request", otherHead + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", PartOtherAnswer},
	// net/http bounds these to a few kilobytes.
	{"chunk extension", ownHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x", ""},
	{"trailer", ownHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", ""},
}

// maxWritten is what an endpoint can write before it notices the close: the bound
// of a response and the buffers of both sockets.
const maxWritten = 24 << 20

// maxTime is well under the timeout, and enough for a busy machine.
const maxTime = 4 * time.Second

// Guards against an endpoint that exhausts the memory, or uses up a caller's whole
// timeout, with a response that doesn't end.
func TestEndlessAnswer(t *testing.T) {
	timer := jktimer.New()
	for _, tc := range endlessAnswers {
		t.Run(tc.name, func(t *testing.T) {
			e := newEndlessEndpoint(t, tc.start, tc.piece)
			pool := NewPool(DefaultOptions(), timer, func() {})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			began := time.Now()
			err := exchange(ctx, pool, e.listener.Addr().String())
			took := time.Since(began)
			var broken *ExchangeError
			if !errors.As(err, &broken) {
				t.Errorf("error is %v, want an *ExchangeError", err)
			}
			var long *TooLongError
			if tc.part != "" && (!errors.As(err, &long) || long.Part != tc.part || long.Addr == "") {
				t.Errorf("error is %v, want %s too long", err, tc.part)
			}
			select {
			case <-e.closed:
			case <-ctx.Done():
				t.Error("the connection stays open")
			}
			if took > maxTime {
				t.Errorf("gave up after %s, want under %s", took, maxTime)
			}
			if n := e.written.Load(); n > maxWritten {
				t.Errorf("the endpoint wrote %d bytes, want at most %d", n, maxWritten)
			}
			if n := e.requests.Load(); n != 1 {
				t.Errorf("sent %d times, want once", n)
			}
		})
	}
}

func exchange(ctx context.Context, pool *Pool, addr string) error {
	resp, err := pool.Send(ctx, Request{
		Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", MaxBody: 1 << 20,
		Accept: func(h http.Header) bool { return h.Get("Id") == "own" },
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp)
	return err
}

// Guards against a bound that truncates complete responses.
func TestBodyUpToItsBound(t *testing.T) {
	for _, size := range []int{0, 1000, smallBodyBytes, 5 * smallBodyBytes} {
		body := strings.Repeat("b", size)
		sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
		for name, answer := range map[string]string{
			"length":                             ownHead + sized,
			"connection":                         ownHead + "\r\n" + body,
			"chunks":                             ownHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", size) + "0\r\n\r\n",
			"after five informational answers":   strings.Repeat("HTTP/1.1 103 X\r\n\r\n", maxInformational) + ownHead + sized,
			"after an answer to another request": otherHead + sized + ownHead + sized,
			"large head":                         ownHead + "A: " + strings.Repeat("a", maxHeadBytes/2) + "\r\n" + sized,
		} {
			t.Run(fmt.Sprintf("%s %d", name, size), func(t *testing.T) {
				got, err := readBounded(t, answer, int64(size))
				if err != nil || got != body {
					t.Errorf("body has %d bytes and error %v, want %d", len(got), err, size)
				}
			})
		}
	}
}

// readBounded sends a request with a bound to an endpoint that sends one response.
func readBounded(t *testing.T, answer string, limit int64) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	}()
	pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
	resp, err := pool.Send(context.Background(), Request{
		Addr: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaxBody: limit,
		Accept: func(h http.Header) bool { return h.Get("Id") == "own" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(context.Background())
	return string(body), err
}

// Guards against many simultaneous endless bodies that exhaust the memory together.
func TestManyEndlessBodies(t *testing.T) {
	const (
		requests = 40
		maxHeap  = 96 << 20
		// A full buffer is held until its bytes were copied to one of twice its size, which is
		// rounded up by an eighth at most.
		maxBytes = (requests*smallBodyBytes + maxLargeBodies*DefaultMaxBody) * (1 + 2) * 9 / 8
	)
	e := newEndlessEndpoint(t, ownHead+"\r\n", "b")
	// All bodies grow at the same time.
	e.pause = time.Millisecond
	pool := NewPool(DefaultOptions(), jktimer.New(), func() {})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	done := make(chan error, requests)
	for range requests {
		go func() { done <- readAll(ctx, pool, e.listener.Addr().String()) }()
	}
	peakHeap, left := uint64(0), requests
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	for left > 0 {
		select {
		case err := <-done:
			left--
			var long *TooLongError
			if !errors.As(err, &long) {
				t.Errorf("error is %v, want a body too long", err)
			}
		case <-time.After(time.Millisecond):
			// A collection counts what is allocated while it runs, which the next one doesn't if it
			// isn't held. The bodies' own count below has no such gaps.
			runtime.GC()
			metrics.Read(live)
			once := live[0].Value.Uint64()
			runtime.GC()
			metrics.Read(live)
			peakHeap = max(peakHeap, min(once, live[0].Value.Uint64()))
		}
	}
	if peakHeap > maxHeap {
		t.Errorf("the heap took %d bytes, want at most %d", peakHeap, maxHeap)
	}
	peak := pool.bodies.peak.Load()
	if peak > maxBytes {
		t.Errorf("the bodies took %d bytes, want at most %d", peak, maxBytes)
	}
	if peak < maxLargeBodies*DefaultMaxBody || pool.BodyBytes() != 0 {
		t.Errorf("the bodies took %d bytes, and %d at the end, want at least the large ones, and none", peak, pool.BodyBytes())
	}
	t.Logf("the bodies took at most %d bytes, the heap %d", peak, peakHeap)
}

func readAll(ctx context.Context, pool *Pool, addr string) error {
	resp, err := pool.Send(ctx, Request{
		Addr: addr, Method: http.MethodGet, Target: "/", Host: "h",
		Accept: func(h http.Header) bool { return h.Get("Id") == "own" },
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = resp.ReadAll(ctx)
	return err
}

package jkplatform_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPlatform returns a stand-in platform and a client of it with its own connections.
func startPlatform(t *testing.T, limits jkstandin.PlatformLimits) (*jkstandin.Platform, *jkplatform.Client) {
	t.Helper()
	p := jkstandin.NewPlatform(jktimer.New(), limits)
	server := httptest.NewServer(p)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return p, jkplatform.NewHTTPLimited(server.URL, &http.Client{Transport: transport}, 10000, 10000)
}

// Guards against errors of reads and writes that callers can't tell apart by type.
func TestRecords(t *testing.T) {
	_, c := startPlatform(t, jkstandin.PlatformLimits{})
	ctx := t.Context()
	var notFound *jkplatform.NotFoundError
	if _, err := c.Get(ctx, "a"); !errors.As(err, &notFound) {
		t.Fatalf("get of a missing key: %v", err)
	}
	first, err := c.Create(ctx, "a", []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	var exists *jkplatform.ExistsError
	if _, err := c.Create(ctx, "a", []byte("2")); !errors.As(err, &exists) || string(exists.Present.Value) != "1" {
		t.Fatalf("second create: %v", err)
	}
	second, err := c.CompareAndSwap(ctx, "a", []byte("2"), first.Version)
	if err != nil || second.Version <= first.Version {
		t.Fatalf("swap: %+v %v", second, err)
	}
	var conflict *jkplatform.ConflictError
	if _, err := c.CompareAndSwap(ctx, "a", []byte("3"), first.Version); !errors.As(err, &conflict) || string(conflict.Present.Value) != "2" {
		t.Fatalf("swap of an old version: %v", err)
	}
	var invalid *jkplatform.InvalidError
	if _, err := c.Create(ctx, "b", make([]byte, jkplatform.MaxValue+1)); !errors.As(err, &invalid) {
		t.Fatalf("value too large: %v", err)
	}
	if _, err := c.Create(ctx, "b", bytes.Repeat([]byte{7}, jkplatform.MaxValue)); err != nil {
		t.Fatalf("largest value: %v", err)
	}
	list, err := c.List(ctx, "")
	if err != nil || len(list) != 2 || list[0].Key != "a" || len(list[1].Value) != jkplatform.MaxValue {
		t.Fatalf("list: %d records, %v", len(list), err)
	}
}

// Guards against a watch that misses a write, returns too early, or counts more
// than once at the platform.
func TestWatch(t *testing.T) {
	p, c := startPlatform(t, jkstandin.PlatformLimits{})
	first, err := c.Create(t.Context(), "config/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	timer := jktimer.New()
	stop := timer.After(50*time.Millisecond, func() {
		_, _ = c.Create(context.Background(), "other", nil)
		_, _ = c.Create(context.Background(), "config/2", []byte("x"))
	})
	defer stop()
	records, position, err := c.Watch(t.Context(), "config/", first.Version, 5*time.Second)
	if err != nil || len(records) != 1 || records[0].Key != "config/2" || position != records[0].Version {
		t.Fatalf("watch: %+v at %d, %v", records, position, err)
	}
	records, _, err = c.Watch(t.Context(), "config/", position, 20*time.Millisecond)
	if err != nil || len(records) != 0 {
		t.Fatalf("watch without a write: %+v %v", records, err)
	}
	if n := p.Counts(); n.Watches != 2 || n.Waiting != 0 || n.Writes != 3 {
		t.Fatalf("counts: %+v", n)
	}
}

// Guards against a lost response that is taken for a failed write: the caller would write a
// second time.
func TestLostAnswerIsUncertain(t *testing.T) {
	p, c := startPlatform(t, jkstandin.PlatformLimits{})
	p.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
	var uncertain *jkplatform.UncertainError
	if _, err := c.Create(t.Context(), "a", []byte("1")); !errors.As(err, &uncertain) {
		t.Fatalf("want an uncertain write, got %v", err)
	}
	if r, err := c.Get(t.Context(), "a"); err != nil || string(r.Value) != "1" {
		t.Fatalf("the write took effect, but get returns %+v, %v", r, err)
	}
}

// Guards against an outage that blocks callers or is taken for an uncertain
// write, which would have to be read back.
func TestOutageIsUnavailable(t *testing.T) {
	p, c := startPlatform(t, jkstandin.PlatformLimits{})
	p.SetFaults(jkstandin.PlatformFaults{Down: true})
	var unavailable *jkplatform.UnavailableError
	if _, err := c.Create(t.Context(), "a", nil); !errors.As(err, &unavailable) {
		t.Fatalf("platform down: %v", err)
	}
	if _, err := c.Get(t.Context(), "a"); !errors.As(err, &unavailable) {
		t.Fatalf("platform down: %v", err)
	}
	closed := jkplatform.NewHTTP("http://127.0.0.1:1", &http.Client{Transport: &http.Transport{}})
	if _, err := closed.Create(t.Context(), "a", nil); !errors.As(err, &unavailable) {
		t.Fatalf("no server: %v", err)
	}
}

// Guards against rate limits that are exceeded or reported as uncertain.
func TestRateLimits(t *testing.T) {
	_, c := startPlatform(t, jkstandin.PlatformLimits{Writes: 1})
	if _, err := c.Create(t.Context(), "a", nil); err != nil {
		t.Fatal(err)
	}
	var unavailable *jkplatform.UnavailableError
	if _, err := c.Create(t.Context(), "b", nil); !errors.As(err, &unavailable) {
		t.Fatalf("above the platform's limit: %v", err)
	}
	own := jkplatform.NewHTTPLimited("http://127.0.0.1:1", nil, 0.001, 1)
	_, _ = own.Get(t.Context(), "a")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := own.Get(ctx, "a"); !errors.As(err, &unavailable) {
		t.Fatalf("above our own limit: %v", err)
	}
}

// Guards against a transport that replays a write on another connection when a
// reused one breaks. The server answers the first request of a connection and
// drops the second without a response.
func TestWriteIsNeverReplayed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var writes atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go dropSecond(conn, &writes)
		}
	}()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := jkplatform.NewHTTP("http://"+listener.Addr().String(), &http.Client{Transport: transport})
	if _, err := c.Create(t.Context(), "a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	var uncertain *jkplatform.UncertainError
	if _, err := c.Create(t.Context(), "b", []byte("2")); !errors.As(err, &uncertain) {
		t.Fatalf("want an uncertain write, got %v", err)
	}
	if n := writes.Load(); n != 2 {
		t.Fatalf("the server saw %d writes, want 2", n)
	}
}

// dropSecond answers the first request of a connection and closes it after the second.
func dropSecond(conn net.Conn, writes *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := new(bytes.Buffer).ReadFrom(req.Body); err != nil {
			return
		}
		writes.Add(1)
		if i == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"key\":\"a\",\"version\":1}  "))
		}
	}
}

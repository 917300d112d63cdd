package jkrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
	"jasmineknot.example/core/jkwire"
)

// cutMode is how an entry is cut off from endpoints.
type cutMode string

const (
	cutNone   cutMode = ""
	cutHang   cutMode = "hang"
	cutRefuse cutMode = "refuse"
	// cutSlow lets connections through late.
	cutSlow cutMode = "slow"
)

// entry is one entry with its dialer, relay and pool.
type entry struct {
	dialer *Dialer
	relay  *Relay
	server *jkwire.Server
	pool   *jkupstream.Pool
	addr   string
	zone   string

	mu   sync.Mutex
	mode cutMode
	// from holds the address of the only endpoint that the cut is from; if empty, it is from all.
	from string
	// direct counts the connections of the entry's own.
	direct int
}

func (e *entry) cut(m cutMode) { e.cutFrom(m, "") }

func (e *entry) cutFrom(m cutMode, addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.from = m, addr
}

// fixture is a few entries and endpoints.
type fixture struct {
	entries map[string]*entry
	// endpoints holds the addresses of the endpoints by id, of which one has ended.
	endpoints map[string]string
}

func newFixture(t *testing.T, hosts ...string) *fixture {
	t.Helper()
	f := &fixture{entries: map[string]*entry{}, endpoints: map[string]string{}}
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(serveEndpoint)}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		f.endpoints[fmt.Sprint("e", i)] = l.Addr().String()
	}
	ended, err := jkstandin.NewEnded()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ended.Close() })
	f.endpoints["ended"] = ended.Addr()
	for _, host := range hosts {
		f.addEntry(t, host)
	}
	return f
}

// serveEndpoint answers at once, or with a body without an end that lasts for long.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", "own")
	if r.URL.Path == "/slow" {
		time.Sleep(400 * time.Millisecond)
	}
	if r.URL.Path != "/endless" {
		_, _ = io.WriteString(w, "hello")
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 X\r\nId: own\r\n\r\nhello")
	_ = buffered.Flush()
	time.Sleep(time.Second)
	_ = conn.Close()
}

func (f *fixture) addEntry(t *testing.T, host string) {
	t.Helper()
	timer := jktimer.New()
	e := &entry{}
	var addrs []string
	for _, addr := range f.endpoints {
		addrs = append(addrs, addr)
	}
	e.dialer = NewDialer(DialerOptions{
		Timer: timer, Log: jklog.Discard(), Self: jkwire.Hello{Host: host, Version: jkwire.ProtocolVersion},
		EndpointAt: func(addr string) (string, bool) {
			for id, known := range f.endpoints {
				if known == addr {
					return id, true
				}
			}
			return "", false
		},
		Addrs: func() []string { return slices.Clone(addrs) },
		Relays: func(string) []Host {
			var out []Host
			for name, other := range f.entries {
				if name != host {
					out = append(out, Host{Name: name, Addr: other.addr, Zone: other.zone})
				}
			}
			return out
		},
	})
	t.Cleanup(e.dialer.Close)
	dial := e.dialer.dial
	e.dialer.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if !slices.Contains(addrs, addr) {
			return dial(ctx, addr)
		}
		e.mu.Lock()
		mode := e.mode
		if e.from != "" && e.from != addr {
			mode = cutNone
		}
		e.direct++
		e.mu.Unlock()
		switch mode {
		case cutHang:
			<-ctx.Done()
			return nil, os.ErrDeadlineExceeded
		case cutRefuse:
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		case cutSlow:
			time.Sleep(relayDelay + 50*time.Millisecond)
		case cutNone:
		}
		return dial(ctx, addr)
	}
	e.relay = NewRelay(Options{
		Log: jklog.Discard(), Dialer: e.dialer, MaxTunnels: 8, Stopping: func() bool { return false },
		AddrOf: func(id string) (string, bool) { addr, ok := f.endpoints[id]; return addr, ok },
		IsHost: func(host string) bool { return f.entries[host] != nil },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.addr = l.Addr().String()
	always := func(string) bool { return true }
	e.server = jkwire.NewServer(l, jkwire.ServerOptions{Self: jkwire.Hello{Host: host, Version: jkwire.ProtocolVersion}, Tunnel: e.relay.Handle, IsControl: always, Counters: &jkwire.Counters{}})
	t.Cleanup(e.server.Close)
	opt := jkupstream.DefaultOptions()
	opt.Dial, opt.OnAnswer = e.dialer.Dial, e.dialer.Heard
	e.pool = jkupstream.NewPool(opt, timer, func() {})
	f.entries[host] = e
}

// get sends a request to an endpoint and returns the body.
func (f *fixture) get(host, endpoint, path string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := f.entries[host].pool.Send(ctx, jkupstream.Request{
		Addr: f.endpoints[endpoint], Method: http.MethodGet, Target: path, Host: "h",
		Accept: func(h http.Header) bool { return h.Get("Id") == "own" },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against an entry that serves nobody while it is cut off from the endpoints and others
// aren't, and against one that doesn't return to its own connections afterwards.
func TestEntryWithoutAWayOfItsOwnServesThroughOthers(t *testing.T) {
	for _, mode := range []cutMode{cutHang, cutRefuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			// One of the relays is cut off too.
			f := newFixture(t, "a", "b", "c", "d")
			cut := f.entries["a"]
			cut.cut(mode)
			f.entries["b"].cut(mode)
			for i := range 12 {
				began := time.Now()
				body, err := f.get("a", fmt.Sprint("e", i%4), "/")
				if err != nil || body != "hello" {
					t.Errorf("request %d: body %q, error %v after %s", i, body, err, time.Since(began))
				}
			}
			if cut.dialer.IsIsolated() {
				t.Error("isolated, though relays reach the endpoints")
			}
			cut.cut(cutNone)
			// The way back is found within retryAfter and two checks, relayed connections are given up
			// after another 1.5 s.
			time.Sleep(retryAfter + 2*checkInterval + 1500*time.Millisecond)
			relayed, slow := cut.dialer.Relayed(), cut.dialer.Slow()
			for i := range 4 {
				if _, err := f.get("a", fmt.Sprint("e", i), "/"); err != nil {
					t.Error(err)
				}
			}
			relayed, slow = cut.dialer.Relayed()-relayed, cut.dialer.Slow()-slow
			if relayed > slow {
				t.Errorf("%d connections through relays after the cut, want none but for %d of its own that took long", relayed, slow)
			}
		})
	}
}

// Guards against the refusals of a cut that count as the end of an endpoint, whose requests would go
// beyond their bound of endpoints, and count as crashes.
func TestRefusalsOfACutAreNoEnd(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	ctx := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	for host, e := range f.entries {
		if _, err := f.get(host, "e3", "/"); err != nil {
			t.Fatal(err)
		}
		if host == "a" {
			e.cut(cutRefuse)
		}
	}
	if err := f.entries["a"].dialer.Reach(ctx(), f.endpoints["e0"]); err != nil {
		t.Errorf("sound endpoint: %v", err)
	}
	if err := f.entries["b"].dialer.Reach(ctx(), f.endpoints["ended"]); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("endpoint that has ended: %v, want a refusal", err)
	}
	for _, e := range f.entries {
		e.cut(cutRefuse)
	}
	for range 2 {
		for id, addr := range f.endpoints {
			if err := f.entries["c"].dialer.Reach(ctx(), addr); id != "ended" && (err == nil || errors.Is(err, syscall.ECONNREFUSED)) {
				t.Errorf("%s behind a cut of all entries: %v, want neither a connection nor a refusal", id, err)
			}
		}
	}
}

// Guards against callers who wait while there is no way to any endpoint, and against an entry that
// doesn't notice the end of that.
func TestEntryWithoutAnyWayKnowsIt(t *testing.T) {
	f := newFixture(t, "a", "b")
	for _, e := range f.entries {
		e.cut(cutHang)
	}
	a := f.entries["a"]
	for i := range 4 {
		if _, err := f.get("a", fmt.Sprint("e", i), "/"); err == nil {
			t.Fatal("served in spite of the cut")
		}
	}
	await(t, "isolated", 2*time.Second, a.dialer.IsIsolated)
	began := time.Now()
	if _, err := f.get("a", "e1", "/"); err == nil || time.Since(began) > 50*time.Millisecond {
		t.Errorf("error %v after %s, want one at once", err, time.Since(began))
	}
	f.entries["b"].cut(cutNone)
	await(t, "served through b", 4*time.Second, func() bool {
		body, err := f.get("a", "e1", "/")
		return err == nil && body == "hello"
	})
}

func await(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not %s within %s", what, within)
		}
	}
}

// Guards against a response without a length that looks complete because its relay has ended.
func TestEndOfARelayDoesNotCompleteAResponse(t *testing.T) {
	f := newFixture(t, "a", "b")
	if body, err := f.get("a", "e0", "/endless"); err != nil || body != "hello" {
		t.Fatalf("body %q, error %v without a relay", body, err)
	}
	f.entries["a"].cut(cutRefuse)
	if body, err := f.get("a", "e1", "/endless"); err != nil || body != "hello" {
		t.Errorf("body %q, error %v through a relay", body, err)
	}
	time.AfterFunc(300*time.Millisecond, f.entries["b"].server.Close)
	if body, err := f.get("a", "e2", "/endless"); err == nil {
		t.Errorf("body %q is complete, though the relay has ended", body)
	}
}

// Guards against a relay that connects strangers, or others than the endpoints of its registry, or
// without a bound.
func TestRelayServesItsOwnHostsAndEndpointsOnly(t *testing.T) {
	f := newFixture(t, "a", "b")
	b := f.entries["b"]
	ask := func(host, endpoint string) (net.Conn, Result) {
		var answer JoinAnswer
		self := jkwire.Hello{Host: host, Version: jkwire.ProtocolVersion}
		conn, err := jkwire.DialTunnel(t.Context(), f.entries["a"].dialer.dial, self, b.addr, TypeJoin, &JoinRequest{Endpoint: endpoint}, &answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, answer.Result
	}
	for _, c := range []struct {
		host, endpoint string
		want           Result
	}{{"a", "e0", ResultJoined}, {"stranger", "e0", ResultUnknown}, {"a", b.addr, ResultUnknown}, {"a", "e9", ResultUnknown}} {
		if _, got := ask(c.host, c.endpoint); got != c.want {
			t.Errorf("%s asks for %s: %s, want %s", c.host, c.endpoint, got, c.want)
		}
	}
	var results []string
	for range 10 {
		_, got := ask("a", "e0")
		results = append(results, string(got))
	}
	// One tunnel was open before.
	want := strings.Repeat("joined ", int(b.relay.MaxTunnels)-1)
	if all := strings.Join(results, " "); !strings.HasPrefix(all, want+"busy") {
		t.Errorf("results %s, want %sbusy", all, want)
	}
}

package jkrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Guards against the refusals of a cut that count as the end of an endpoint, because the entry has
// no other one to ask.
func TestRefusalsOfACutOfTheOnlyEntryAreNoEnd(t *testing.T) {
	f := newFixture(t, "a")
	f.entries["a"].cut(cutRefuse)
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		if err := f.entries["a"].dialer.Reach(t.Context(), f.endpoints[id]); errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: %v, want no refusal", id, err)
		}
	}
}

// Guards against an endpoint that counts as ended because this host, or all entries of its zone, are cut off
// from it only, with refusals.
func TestRefusalsOfACutFromOneEndpointAreNoEnd(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	for host, e := range f.entries {
		e.zone = "near"
		if host == "d" {
			e.zone = "far"
			continue
		}
		e.cutFrom(cutRefuse, f.endpoints["e0"])
	}
	for _, host := range []string{"a", "b", "c"} {
		if err := f.entries[host].dialer.Reach(t.Context(), f.endpoints["e0"]); err != nil {
			t.Errorf("%s: %v", host, err)
		}
		if body, err := f.get(host, "e0", "/"); err != nil || body != "hello" {
			t.Errorf("%s: body %q, error %v", host, body, err)
		}
	}
}

// Guards against an entry that asks the same relays each time, which are cut off from the endpoint as well.
func TestEndIsAskedOfOtherRelaysTheNextTime(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e", "f", "g")
	for host, e := range f.entries {
		if host != "g" {
			e.cutFrom(cutRefuse, f.endpoints["e0"])
		}
	}
	await(t, "reached through g", 10*retryAfter, func() bool {
		return f.entries["a"].dialer.Reach(t.Context(), f.endpoints["e0"]) == nil
	})
}

// Guards against requests that look for a way again and again while open connections live on and new ones are
// refused, and against an entry that is slow and counts as isolated although endpoints answer.
func TestAnswersOnOpenConnectionsDontShowAWay(t *testing.T) {
	for _, mode := range []cutMode{cutRefuse, cutHang} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a", "b")
			for _, e := range f.entries {
				e.cut(mode)
			}
			a := f.entries["a"].dialer
			for id, addr := range f.endpoints {
				if err := a.Reach(t.Context(), addr); err == nil {
					t.Fatalf("%s is reached", id)
				}
			}
			await(t, "isolated", 3*time.Second, a.IsIsolated)
			a.Heard()
			if got, want := a.IsIsolated(), mode == cutRefuse; got != want {
				t.Errorf("isolated %t after an answer, want %t", got, want)
			}
		})
	}
}

// Guards against an entry that goes through relays for a second because a connection of its own was slow once, and
// against relays that are asked for each connection to an endpoint that accepts late.
func TestSlowConnectionLeavesTheOwnWay(t *testing.T) {
	f := newFixture(t, "a", "b")
	a, addr := f.entries["a"], f.endpoints["e0"]
	a.cutFrom(cutSlow, addr)
	for i, want := range []bool{true, false} {
		conn, relayed, err := a.dialer.Dial(t.Context(), addr)
		if err != nil || relayed != want {
			t.Fatalf("slow connection %d: through a relay %t, error %v, want %t", i, relayed, err, want)
		}
		_ = conn.Close()
		time.Sleep(2 * relayDelay)
	}
	a.cut(cutNone)
	if conn, relayed, err := a.dialer.Dial(t.Context(), addr); err != nil || relayed {
		t.Errorf("connection after the slow ones: %v, through a relay %t, error %v", conn, relayed, err)
	}
}

// Guards against a relay that is cut off from one endpoint and says that it has ended, while
// another relay reaches it.
func TestRelayThatIsCutOffFromOneEndpointDoesNotEndIt(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.entries["a"].cut(cutRefuse)
	sound := f.endpoints["e0"]
	dialB, dialC := f.entries["b"].dialer.dial, f.entries["c"].dialer.dial
	f.entries["b"].dialer.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == sound {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
		return dialB(ctx, addr)
	}
	f.entries["c"].dialer.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == sound {
			time.Sleep(30 * time.Millisecond)
		}
		return dialC(ctx, addr)
	}
	if err := f.entries["a"].dialer.Reach(t.Context(), sound); err != nil {
		t.Errorf("endpoint that c reaches: %v", err)
	}
}

// lone is a dialer with one relay that joins no endpoint, and endpoints that come and go.
type lone struct {
	mu    sync.Mutex
	addrs []string
	dials map[string]int
}

func (l *lone) list() []string { l.mu.Lock(); defer l.mu.Unlock(); return slices.Clone(l.addrs) }

// Guards against connections to the address of an endpoint that has left the registry.
func TestRemovedEndpointIsNotDialed(t *testing.T) {
	f := newFixture(t, "a", "b")
	a, addr := f.entries["a"].dialer, f.endpoints["e0"]
	l := &lone{dials: map[string]int{}}
	for _, one := range f.endpoints {
		l.addrs = append(l.addrs, one)
	}
	a.Addrs = l.list
	dial := a.dial
	at := a.EndpointAt
	a.EndpointAt = func(one string) (string, bool) {
		if !slices.Contains(l.list(), one) {
			return "", false
		}
		return at(one)
	}
	begun := make(chan struct{}, 10)
	removed := make(chan struct{})
	a.dial = func(ctx context.Context, one string) (net.Conn, error) {
		l.mu.Lock()
		l.dials[one]++
		l.mu.Unlock()
		if one == addr {
			select {
			case <-removed:
				return nil, os.NewSyscallError("connect", syscall.EHOSTUNREACH)
			default:
				begun <- struct{}{}
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}
		return dial(ctx, one)
	}
	relays := a.Relays
	a.Relays = func(id string) []Host {
		<-removed
		return relays(id)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, _, err := a.Dial(t.Context(), addr)
		if err == nil {
			_ = conn.Close()
		}
	}()
	<-begun
	// The join has begun, and the endpoint is removed before the tunnel is open.
	time.Sleep(relayDelay + 50*time.Millisecond)
	l.mu.Lock()
	l.addrs = slices.DeleteFunc(l.addrs, func(one string) bool { return one == addr })
	l.mu.Unlock()
	a.Forget(addr)
	close(removed)
	<-done
	a.mu.Lock()
	failed, relayed := len(a.table.failed), len(a.table.relayed)
	a.mu.Unlock()
	l.mu.Lock()
	l.dials[addr] = 0
	l.mu.Unlock()
	time.Sleep(3500 * time.Millisecond)
	l.mu.Lock()
	n := l.dials[addr]
	l.mu.Unlock()
	if n > 0 {
		t.Errorf("%d connections to a removed endpoint, %d failed, %d relayed", n, failed, relayed)
	}
}

// Guards against a data race between a connection of the host's own that fails and the request to a
// relay (run with -race).
func TestDirectFailureDuringJoin(t *testing.T) {
	timer := jktimer.New()
	d := NewDialer(DialerOptions{
		Timer: timer, Log: jklog.Discard(), Self: jkwire.Hello{Host: "a", Version: jkwire.ProtocolVersion},
		EndpointAt: func(string) (string, bool) { time.Sleep(60 * time.Millisecond); return "e0", true },
		Addrs:      func() []string { return []string{"x"} },
		Relays:     func(string) []Host { return nil },
	})
	defer d.Close()
	d.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		time.Sleep(relayDelay + 20*time.Millisecond)
		return nil, os.NewSyscallError("connect", syscall.EHOSTUNREACH)
	}
	if _, _, err := d.Dial(t.Context(), "x"); err == nil {
		t.Error("connected")
	}
}

// Guards against an entry that counts as isolated while its relays have no tunnels left.
func TestBusyRelaysAreAWay(t *testing.T) {
	f := newFixture(t, "a", "b")
	a, b := f.entries["a"], f.entries["b"]
	a.cut(cutRefuse)
	b.relay.tunnels.Store(b.relay.MaxTunnels)
	for _, addr := range f.endpoints {
		_ = a.dialer.Reach(t.Context(), addr)
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a.dialer.IsIsolated() {
			t.Fatal("isolated, though b reaches all endpoints and is only busy")
		}
	}
}

// Guards against a server that takes long to close because an endpoint reads nothing.
func TestCloseDoesNotWaitForAnEndpoint(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	near, caller := net.Pipe()
	far, endpoint := net.Pipe()
	defer endpoint.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		(&tunnel{near: near, far: far}).run(ctx)
	}()
	if _, err := io.WriteString(caller, "hello"); err != nil {
		t.Fatal(err)
	}
	// As Server.Close does.
	_ = near.Close()
	cancel()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("tunnel still open 2 s after its server was closed")
	}
}

// Guards against an endpoint that has ended and isn't known to have, because the relays have found out
// just before.
func TestEndIsKnownToAllEntries(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	for _, e := range f.entries {
		for _, id := range []string{"e0", "e1"} {
			if err := e.dialer.Reach(t.Context(), f.endpoints[id]); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, host := range []string{"a", "b", "c"} {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		if err := f.entries[host].dialer.Reach(ctx, f.endpoints["ended"]); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: %v, want a refusal", host, err)
		}
		cancel()
	}
}

// Guards against the end of an endpoint that makes other entries connect to sound ones, or is asked about
// by each request.
func TestEndCostsOneConnectionOfEachRelay(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	for range 3 {
		if err := f.entries["a"].dialer.Reach(t.Context(), f.endpoints["ended"]); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%v, want a refusal", err)
		}
	}
	for _, host := range []string{"b", "c"} {
		e := f.entries[host]
		e.mu.Lock()
		if e.direct != 1 {
			t.Errorf("%s has opened %d connections, want 1", host, e.direct)
		}
		e.mu.Unlock()
	}
}

// Guards against a request that fails because its relay has ended, though its entry reaches the
// endpoint again.
func TestEndOfARelayLeavesTheOwnWay(t *testing.T) {
	f := newFixture(t, "a", "b")
	a := f.entries["a"]
	a.cut(cutRefuse)
	for i := range 4 {
		if err := a.dialer.Reach(t.Context(), f.endpoints[fmt.Sprint("e", i)]); err != nil {
			t.Fatal(err)
		}
	}
	a.cut(cutNone)
	f.entries["b"].server.Close()
	failed := 0
	for i := range 4 {
		if err := a.dialer.Reach(t.Context(), f.endpoints[fmt.Sprint("e", i)]); err != nil {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 4 connections failed, though a reaches all endpoints", failed)
	}
}

// Guards against a response without a length that looks complete because its endpoint was reset
// behind a relay.
func TestResetBehindARelayDoesNotCompleteAResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	pair := func() (*net.TCPConn, *net.TCPConn) {
		accepted := make(chan net.Conn, 1)
		go func() {
			c, _ := l.Accept()
			accepted <- c
		}()
		dialed, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return dialed.(*net.TCPConn), (<-accepted).(*net.TCPConn)
	}
	caller, near := pair()
	far, endpoint := pair()
	go (&tunnel{near: near, far: far}).run(t.Context())
	_, _ = io.WriteString(endpoint, "hello")
	time.Sleep(100 * time.Millisecond)
	_ = endpoint.SetLinger(0)
	_ = endpoint.Close()
	if body, err := io.ReadAll(&tunnelConn{TCPConn: caller}); err == nil {
		t.Errorf("body %q is complete, though the endpoint was reset", body)
	}
}

// Guards against requests that are sent through a relay after it has begun to stop, which would be cut off
// with it.
func TestStoppingRelayCarriesNoFurtherRequests(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.entries["a"].cut(cutRefuse)
	for _, when := range []string{"idle", "in a response"} {
		path := "/"
		if when == "in a response" {
			path = "/slow"
			time.AfterFunc(200*time.Millisecond, f.entries["b"].relay.Leave)
		}
		if body, err := f.get("a", "e0", path); err != nil || body != "hello" {
			t.Fatalf("%s: body %q, error %v", when, body, err)
		}
		if when == "idle" {
			f.entries["b"].relay.Leave()
		}
		time.Sleep(100 * time.Millisecond)
		before := f.entries["a"].dialer.Relayed()
		if body, err := f.get("a", "e0", "/"); err != nil || body != "hello" {
			t.Fatalf("%s: body %q, error %v", when, body, err)
		}
		if f.entries["a"].dialer.Relayed() == before {
			t.Errorf("%s: the tunnel of a stopping relay carries a further request", when)
		}
	}
}

// Guards against an entry that doesn't find its own way to an endpoint again after a cut, while the relays that reached
// the endpoint answer late and more than one request a second asks them.
func TestOwnWayIsFoundAgainBesideLateRelays(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e")
	a := f.entries["a"]
	a.cutFrom(cutRefuse, f.endpoints["e0"])
	if _, err := f.get("a", "e0", "/"); err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	for host, e := range f.entries {
		if host != "a" {
			e.server.Close()
			e.addr = silent.Addr().String()
		}
	}
	a.cut(cutNone)
	await(t, "served", 6*retryAfter, func() bool {
		_, err := f.get("a", "e0", "/")
		return err == nil
	})
}

// Guards against the end of an endpoint that isn't noticed because one of the endpoints to compare with hangs, although
// the other one is reached.
func TestHangingEndpointHidesNoEnd(t *testing.T) {
	f := newFixture(t, "a")
	f.entries["a"].cutFrom(cutHang, f.endpoints["e0"])
	for i := range 10 {
		if !f.entries["a"].dialer.hasEndedSoon(t.Context(), f.endpoints["ended"]) {
			t.Errorf("the end isn't noticed in try %d", i)
		}
	}
}

// Guards against an endpoint that stays out of reach because the same relays are asked first each time, which it hangs for
// as well, so that no time is left for the others.
func TestLaterRelaysOfAHangingEndpointAreAsked(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e", "f", "g")
	f.sortRelays("a")
	for host, e := range f.entries {
		if host != "g" {
			e.cutFrom(cutHang, f.endpoints["e0"])
		}
	}
	await(t, "reached through g", 10*retryAfter, func() bool {
		_, err := f.get("a", "e0", "/")
		return err == nil
	})
}

// Guards against relays that are left out by chance when the end of an endpoint is asked about: all have their turn.
func TestWitnessesTakeTurns(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e", "f", "g")
	d, addr := f.entries["a"].dialer, f.endpoints["e0"]
	asked := map[string]bool{}
	for range 3 {
		hosts := d.witnesses(addr, "e0")
		for _, h := range hosts {
			asked[h.Name] = true
		}
		d.missedBy(t.Context(), addr, hosts)
	}
	if len(asked) != 6 {
		t.Errorf("%d of 6 relays are asked in three rounds", len(asked))
	}
}

// sortRelays makes an entry ask its relays in the order of their names.
func (f *fixture) sortRelays(host string) {
	d := f.entries[host].dialer
	relays := d.Relays
	d.Relays = func(id string) []Host {
		out := relays(id)
		slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
		return out
	}
}

// Guards against relays that count as ones that missed an endpoint, since this host's own connection came while they
// were still asked.
func TestCancelledJoinIsNoMiss(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e")
	f.sortRelays("a")
	addr := f.endpoints["e0"]
	f.entries["a"].cutFrom(cutSlow, addr)
	for _, host := range []string{"b", "c"} {
		f.entries[host].cutFrom(cutHang, addr)
	}
	d := f.entries["a"].dialer
	conn, relayed, err := d.Dial(t.Context(), addr)
	if err != nil || relayed {
		t.Fatal(err, relayed)
	}
	_ = conn.Close()
	time.Sleep(500 * time.Millisecond)
	d.mu.Lock()
	missed := fmt.Sprint(d.table.missedAt[addr])
	d.mu.Unlock()
	if first := d.order(addr, d.Relays("e0"))[0].Name; first != "b" {
		t.Errorf("%s is asked first, want b; missed: %s", first, missed)
	}
}

// Guards against an endpoint that stays out of reach because the only relay that reaches it is always asked with the
// little time that two others have left, which the endpoint hangs for.
func TestLastOfFourRelaysIsAskedInTime(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d", "e")
	f.sortRelays("a")
	addr := f.endpoints["e0"]
	for host, e := range f.entries {
		if host != "e" {
			e.cutFrom(cutHang, addr)
		}
	}
	e := f.entries["e"]
	dial := e.dialer.dial
	e.dialer.dial = func(ctx context.Context, to string) (net.Conn, error) {
		time.Sleep(60 * time.Millisecond)
		return dial(ctx, to)
	}
	await(t, "reached through e", 10*retryAfter, func() bool {
		_, err := f.get("a", "e0", "/")
		return err == nil
	})
}

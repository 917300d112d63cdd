package jkrelay

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jkupstream"
)

// Guards against an entry that refuses all requests for good: it had no way to the endpoints that it knew, and
// then others joined, or those that it had failed to reach were replaced.
func TestIsolatedEntryReachesEndpointsThatJoin(t *testing.T) {
	for _, how := range []string{"join", "replace"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "a")
			a := f.entries["a"].dialer
			all := []string{f.endpoints["e0"], f.endpoints["e1"], f.endpoints["e2"], f.endpoints["e3"]}
			var mu sync.Mutex
			known := all[:1]
			a.Addrs = func() []string { mu.Lock(); defer mu.Unlock(); return slices.Clone(known) }
			at := a.EndpointAt
			a.EndpointAt = func(addr string) (string, bool) {
				if !slices.Contains(a.Addrs(), addr) {
					return "", false
				}
				return at(addr)
			}
			dial := a.dial
			a.dial = func(ctx context.Context, addr string) (net.Conn, error) {
				if how == "replace" && addr == all[1] {
					return nil, os.NewSyscallError("connect", syscall.EHOSTUNREACH)
				}
				return dial(ctx, addr)
			}
			f.entries["a"].cut(cutRefuse)
			for end := time.Now().Add(3 * time.Second); !a.IsIsolated(); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("not isolated")
				}
				_ = a.Reach(t.Context(), all[0])
			}
			f.entries["a"].cut(cutNone)
			mu.Lock()
			known = all
			if how == "replace" {
				known = all[1:]
			}
			mu.Unlock()
			if how == "replace" {
				a.Forget(all[0])
				// A single endpoint that isn't reached isolates no entry of three.
				_ = a.Reach(t.Context(), all[1])
			}
			var err error
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if err = a.Reach(t.Context(), all[2]); err == nil {
					return
				}
			}
			t.Errorf("3 s after the cut: %v, isolated %t", err, a.IsIsolated())
		})
	}
}

// Guards against an endpoint that isn't reached through a relay which has joined it, because it refuses this host
// while others don't answer: whether it has ended is found out first.
func TestRefusalAmongSilentEndpointsLeavesTheRelay(t *testing.T) {
	f := newFixture(t, "a", "b")
	a := f.entries["a"].dialer
	dial := a.dial
	a.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		switch {
		case addr == f.endpoints["e0"]:
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		case slices.Contains(a.Addrs(), addr):
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dial(ctx, addr)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := a.Reach(ctx, f.endpoints["e0"]); err != nil {
		t.Errorf("endpoint that b reaches: %v", err)
	}
}

// Guards against an endpoint that counts as ended by the refusals of a cut, though a relay reached it just before:
// all relays have no tunnels left.
func TestEndpointBehindBusyRelaysHasNotEnded(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	a, addr := f.entries["a"], f.endpoints["e0"]
	a.cutFrom(cutRefuse, addr)
	if conn, relayed, err := a.dialer.Dial(t.Context(), addr); err != nil || !relayed {
		t.Fatalf("through a relay %t, error %v", relayed, err)
	} else {
		_ = conn.Close()
	}
	for _, host := range []string{"b", "c"} {
		f.entries[host].relay.tunnels.Store(2 * f.entries[host].relay.MaxTunnels)
	}
	if err := a.dialer.Reach(t.Context(), addr); errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v, want no refusal", err)
	}
}

// Guards against the same while relays answer late.
func TestEndpointBehindLateRelaysHasNotEnded(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	a, addr := f.entries["a"], f.endpoints["e0"]
	a.cutFrom(cutRefuse, addr)
	if err := a.dialer.Reach(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	for _, host := range []string{"b", "c"} {
		f.entries[host].addr = silent.Addr().String()
	}
	if err := a.dialer.Reach(t.Context(), addr); errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v, want no refusal", err)
	}
}

// Guards against an end that isn't noticed because one of the two other endpoints that are asked hangs.
func TestEndIsNoticedBesideOneHangingEndpoint(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	a, ended := f.entries["a"], f.endpoints["ended"]
	// Whichever two others are asked, one hangs at least.
	dial := a.dialer.dial
	a.dialer.dial = func(ctx context.Context, to string) (net.Conn, error) {
		if to == f.endpoints["e0"] || to == f.endpoints["e1"] || to == f.endpoints["e2"] {
			<-ctx.Done()
			return nil, os.ErrDeadlineExceeded
		}
		return dial(ctx, to)
	}
	ctx, cancel := context.WithTimeout(t.Context(), jkupstream.DefaultOptions().DialTimeout)
	defer cancel()
	began := time.Now()
	err := a.dialer.Reach(ctx, ended)
	if took := time.Since(began); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("known after %v: %v", took, err)
	}
}

// Guards against a connection that hangs in a cut until it runs out of time, and asks no relay, because one to the same
// endpoint was slow just before the cut.
func TestCutAfterASlowConnectionGoesToRelays(t *testing.T) {
	f := newFixture(t, "a", "b")
	a, addr := f.entries["a"], f.endpoints["e0"]
	a.cutFrom(cutSlow, addr)
	if err := a.dialer.Reach(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * relayDelay)
	a.cut(cutHang)
	ctx, cancel := context.WithTimeout(t.Context(), jkupstream.DefaultOptions().DialTimeout)
	defer cancel()
	began := time.Now()
	err := a.dialer.Reach(ctx, addr)
	if took := time.Since(began); err != nil {
		t.Errorf("reached after %v, error %v", took, err)
	}
}

package jkaccount

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkwire"
)

// newRelayedFixture returns a client that is cut off from the copies of zones a and b, while
// zone c is cut off from the others. Another host, which is only cut off from zone c, relays
// its messages.
func newRelayedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.client.LossConfirmed = func(string) bool { return true }
	relayOptions := f.client.Options
	relayOptions.Reachable = func(host string) bool { return !f.cut[host] }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: "relay", Version: jkwire.ProtocolVersion}, Handle: NewClient(relayOptions).Handle,
		IsControl: func(string) bool { return false }, Counters: &jkwire.Counters{},
	})
	t.Cleanup(server.Close)
	f.client.RelayAddrs = func() []string { return []string{l.Addr().String()} }
	f.lost["a"], f.lost["b"], f.cut["c"] = true, true, true
	return f
}

// Guards against a 404 for a turn of a zone that is cut off, from a host that reaches the other
// zones' copies only through relays (review/3): it counted these as down.
func TestTurnOfACutZoneIsNotUnknownThroughRelays(t *testing.T) {
	f := newRelayedFixture(t)
	_, err := f.client.Chain(context.Background(), "p", "1")
	var noQuorum *jkforward.NoQuorumError
	if !errors.As(err, &noQuorum) || noQuorum.Answers != 2 || noQuorum.Needed != 3 {
		t.Errorf("error is %v, want a *NoQuorumError with 2 answers of 3", err)
	}
}

// Guards against a whole budget that is granted beside what a zone that is cut off grants, by a
// host that reaches the other zones' copies only through relays (review/3).
func TestBudgetOfACutZoneIsNotGrantedThroughRelays(t *testing.T) {
	f := newRelayedFixture(t)
	reserve := func(request string) error {
		return f.client.Reserve(context.Background(), jkforward.Reservation{
			Program: "p", Request: request, Tokens: 100, Budget: 300, Retention: time.Minute,
		})
	}
	for _, request := range []string{"1", "2"} {
		if err := reserve(request); err != nil {
			t.Fatalf("request %s of the half that this side may grant: %v", request, err)
		}
	}
	var noQuorum *jkforward.NoQuorumError
	if err := reserve("3"); !errors.As(err, &noQuorum) {
		t.Errorf("error beyond half of the budget is %v, want a *NoQuorumError", err)
	}
}

// Guards against turns that an entry refuses for as long as it is cut off from the other zones,
// though another host relays its messages to their copies.
func TestTurnIsAcceptedIfRelaysReachTheCopies(t *testing.T) {
	f := newRelayedFixture(t)
	clear(f.lost)
	clear(f.cut)
	f.client.Reachable = func(host string) bool { return host == "a" }
	f.client.ZoneReachable = func(zone string) bool { return zone == "a" }
	if err := f.keepWithin(t, "p", time.Second); err != nil {
		t.Fatal(err)
	}
	if err := f.client.CanKeep(t.Context(), "p"); err != nil {
		t.Errorf("a turn is refused after another one was kept: %v", err)
	}
}

// Guards against turns that are refused because another message, which relays don't know, couldn't
// be relayed to the same copies.
func TestOtherMessagesDontBlockTheLedgersRelays(t *testing.T) {
	f := newRelayedFixture(t)
	for _, known := range f.client.Copies() {
		if err := f.client.Call(context.Background(), known, "other", struct{}{}, &struct{}{}); err == nil {
			t.Fatalf("message to %s was relayed", known.Host)
		}
	}
	err := f.client.Reserve(context.Background(), jkforward.Reservation{Program: "p", Request: "1", Tokens: 100, Budget: 300, Retention: time.Minute})
	if err != nil {
		t.Error(err)
	}
}

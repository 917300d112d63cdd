package jkaccount

import (
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
)

// Guards against a flood of messages while a copy is gone for good: each turn's
// records were sent again on their own, through other hosts (49,287 messages on
// an incident of bulles-pull).
func TestLostCopyDoesNotFloodOtherHosts(t *testing.T) {
	f := newFixture(t)
	f.lost["c"] = true
	var asked atomic.Int64
	f.client.Relays = func() []string {
		asked.Add(1)
		return nil
	}
	for range 300 {
		f.client.Settle(jkforward.Settlement{Program: "p", Request: "r", Tokens: 1, Retention: time.Minute})
	}
	time.Sleep(3 * deliverPause)
	if n := asked.Load(); n > 5 {
		t.Errorf("other hosts asked %d times, want a few", n)
	}
}

// Guards against records that a copy never gets because it was out of reach when
// they were written.
func TestRecordsReachACopyThatReturns(t *testing.T) {
	f := newFixture(t)
	var back atomic.Bool
	f.client.Reachable = func(host string) bool { return host == "a" && !back.Load() || host == "c" && back.Load() }
	f.client.ZoneReachable = func(zone string) bool { return zone == "a" || back.Load() }
	f.keep(t, jkforward.Turn{Request: "1", Input: []byte("in "), Output: []byte("out\n")})
	back.Store(true)
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		got, err := f.client.Chain(t.Context(), "p", "1")
		if err == nil && string(got) == "in out\n" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the copy that came back never got the turn")
}

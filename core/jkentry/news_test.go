package jkentry

import (
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// Guards against entries that aren't ready for a second after a whole fleet has started,
// since their first question reached no other entry, and against one that is ready with
// nothing but its own answer.
func TestStartedEntryAsksAgain(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC))
	asked := 0
	n := &news{
		self: "a", timer: timer, log: jklog.Discard(), startedAt: timer.Now(), crashes: jkforward.NewCrashWatch(timer, jklog.Discard()),
		fleet: jkforward.NewFleet("a", jksched.DefaultDirectOptions(), timer), send: func([]byte) {}, ask: func(string) { asked++ },
	}
	n.hostAppeared(HostEntry{Host: "b", Addr: "10.0.0.2:7380"})
	n.hostAppeared(HostEntry{Host: "a", Addr: "10.0.0.1:7380"})
	n.hostAppeared(HostEntry{Host: "storage", Addr: "10.0.0.3:7380", Ledger: true})
	if asked != 1 {
		t.Fatalf("asked %d times, want the other entry once", asked)
	}
	clock.Advance(newsInterval)
	n.tick()
	if asked != 2 || n.settled() {
		t.Errorf("asked %d times, settled %t; want a second question", asked, n.settled())
	}
	n.receive(n.current())
	if !n.settled() {
		t.Error("not settled after an answer without news")
	}
	clock.Advance(newsInterval)
	n.tick()
	if asked != 2 {
		t.Errorf("asked %d times, want none after the answer", asked)
	}
}

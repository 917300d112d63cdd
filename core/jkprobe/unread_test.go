package jkprobe

import (
	"testing"
	"time"
)

// Guards against a copy that was paused and never notices it, so that it doesn't copy what others have admitted meanwhile: the
// answers to its last probes were unread, and are read ahead of the tick after the pause.
func TestPauseIsNoticedAfterUnreadAnswers(t *testing.T) {
	f := newFleet(t)
	host, silent, missed := f.up["a1"], map[string]bool{}, map[string]time.Duration{}
	host.OnHostChange = func(p Peer, reachable bool, since time.Duration) {
		silent[p.Host] = silent[p.Host] || !reachable
		if reachable {
			missed[p.Host] = max(missed[p.Host], since)
		}
	}
	f.clock.Advance(probeInterval)
	f.pause("a1", 5*time.Second)
	host.tick()
	f.pass(5*time.Second - probeInterval)
	f.clock.Advance(probeInterval)
	for _, deliver := range f.unread["a1"] {
		deliver()
	}
	delete(f.unread, "a1")
	delete(f.paused, "a1")
	host.tick()
	f.pass(30 * time.Second)
	if !silent["b1"] {
		t.Error("a1 was paused for 5s, and b1 never counted as silent")
	}
	if got := missed["b1"]; got < 5*time.Second {
		t.Errorf("a1 was paused for 5s, and b1 is back from a silence of %s", got)
	}
}

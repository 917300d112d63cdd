package jkprobe

import (
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// change is one call of OnZoneChange.
type change struct {
	name      string
	reachable bool
}

// listen starts a prober that reports changes of zones on the channel. With a nil channel
// it only answers probes.
func listen(t *testing.T, host, zone, addr string, zones chan change, digest func([]byte)) *Prober {
	t.Helper()
	p, err := Listen(Options{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: host, Zone: zone, Addr: addr, SendProbes: zones != nil,
		OnZoneChange: func(zone string, reachable bool) { zones <- change{zone, reachable} },
		OnHostChange: func(Peer, bool, time.Duration) {},
		OnDigest:     digest,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func expect(t *testing.T, zones chan change, want change, within time.Duration) {
	t.Helper()
	select {
	case got := <-zones:
		if got != want {
			t.Fatalf("change %v, want %v", got, want)
		}
	case <-time.After(within):
		t.Fatalf("no change within %s, want %v", within, want)
	}
}

// Guards against requests that are sent into a zone that doesn't answer, and against a
// zone that stays unreachable after its hosts answer again.
func TestSilentZoneIsUnreachableUntilItAnswers(t *testing.T) {
	zones := make(chan change, 4)
	p := listen(t, "a1", "a", "127.0.0.1:0", zones, nil)
	defer p.Close()
	other := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	addr := other.conn.LocalAddr().String()
	p.SetPeer(Peer{Host: "b1", Addr: addr, Zone: "b", AlwaysProbed: true})
	time.Sleep(2 * unreachableAfter)
	if !p.ZoneReachable("b") || !p.Reachable("b1") {
		t.Fatal("a zone that answers counts as unreachable")
	}
	other.Close()
	expect(t, zones, change{"b", false}, 2*unreachableAfter)
	if p.Reachable("b1") || p.ZoneSettled("b") {
		t.Error("a silent host counts as reachable")
	}
	if d := p.ZoneUnreachableFor("b"); d <= 0 || d > 2*unreachableAfter {
		t.Errorf("silent zone counts as unreachable for %s", d)
	}
	again := listen(t, "b1", "b", addr, nil, nil)
	defer again.Close()
	expect(t, zones, change{"b", true}, 2*unreachableAfter)
	if p.ZoneSettled("b") {
		t.Error("a zone that has just become reachable counts as settled")
	}
	if d := p.ZoneUnreachableFor("b"); d != 0 {
		t.Errorf("zone that is reachable again counts as unreachable for %s", d)
	}
}

// Guards against a zone that counts as unreachable because one of its hosts is down.
func TestOneAnsweringHostKeepsItsZoneReachable(t *testing.T) {
	zones := make(chan change, 4)
	p := listen(t, "a1", "a", "127.0.0.1:0", zones, nil)
	defer p.Close()
	up := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	defer up.Close()
	p.SetPeer(Peer{Host: "b1", Addr: up.conn.LocalAddr().String(), Zone: "b"})
	p.SetPeer(Peer{Host: "b2", Addr: "127.0.0.1:9", Zone: "b", AlwaysProbed: true})
	time.Sleep(3 * unreachableAfter)
	if !p.ZoneReachable("b") || p.Reachable("b2") {
		t.Errorf("zone reachable %t, silent host reachable %t", p.ZoneReachable("b"), p.Reachable("b2"))
	}
}

// Guards against a host that never answered a probe, or isn't probed any more, but counts
// as one that has answered.
func TestLastAnswerOfSilentAndRemovedHosts(t *testing.T) {
	p := listen(t, "a1", "a", "127.0.0.1:0", make(chan change, 4), nil)
	defer p.Close()
	up := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	defer up.Close()
	p.SetPeer(Peer{Host: "b1", Addr: up.conn.LocalAddr().String(), Zone: "b"})
	p.SetPeer(Peer{Host: "b2", Addr: "127.0.0.1:9", Zone: "b", AlwaysProbed: true})
	began := time.Now()
	time.Sleep(2 * unreachableAfter)
	if last, probed := p.LastAnswer("b1"); !probed || last.Before(began) {
		t.Errorf("answering host: last answer at %s, probed %t", last, probed)
	}
	if last, probed := p.LastAnswer("b2"); !probed || !last.IsZero() {
		t.Errorf("silent host: last answer at %s, probed %t", last, probed)
	}
	p.RemovePeer("b2")
	if _, probed := p.LastAnswer("b2"); probed {
		t.Error("removed host is probed")
	}
}

// Guards against load digests that don't arrive at the other entries.
func TestDigestReachesOtherEntries(t *testing.T) {
	got := make(chan string, 1)
	p := listen(t, "a1", "a", "127.0.0.1:0", make(chan change, 4), nil)
	defer p.Close()
	entry := listen(t, "a2", "a", "127.0.0.1:0", nil, func(data []byte) { got <- string(data) })
	defer entry.Close()
	p.SetPeer(Peer{Host: "a2", Addr: entry.conn.LocalAddr().String(), Zone: "a"})
	p.SendDigest([]byte("loads"))
	select {
	case data := <-got:
		if data != "loads" {
			t.Errorf("digest is %q", data)
		}
	case <-time.After(time.Second):
		t.Error("no digest arrived")
	}
}

// Guards against a silent host that counts as one whose records the others have, although
// its zone, or this one, was cut off shortly before its last answer or later.
func TestSettledWhenLost(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	p := &Prober{Options: Options{Timer: timer, Zone: "a"}, startedAt: timer.Now(), zones: map[string]bool{"b": true, "c": true}, zoneChangedAt: map[string]time.Time{}, peers: map[string]*peerRow{}}
	for _, host := range []string{"a2", "b1", "c1"} {
		p.peers[host] = &peerRow{peer: Peer{Host: host, Zone: host[:1]}, lastAnswer: timer.Now(), unreachable: true}
	}
	expectSettled := func(when string, want ...string) {
		t.Helper()
		for _, host := range []string{"a2", "b1", "c1"} {
			if got := p.SettledWhenLost(host); got != slices.Contains(want, host) {
				t.Errorf("%s: settled when %s was lost: %t", when, host, got)
			}
		}
	}
	answer := func() {
		for _, row := range p.peers {
			row.lastAnswer = timer.Now()
		}
	}
	expectSettled("after the start")
	clock.Advance(settleTime)
	answer()
	expectSettled("in calm", "a2", "b1", "c1")
	p.zones["b"], p.zoneChangedAt["b"] = false, timer.Now()
	expectSettled("while zone b is cut off", "c1")
	clock.Advance(time.Second)
	p.zones["b"], p.zoneChangedAt["b"] = true, timer.Now()
	clock.Advance(settleTime)
	expectSettled("without an answer since the cut", "c1")
	p.peers["b1"].lastAnswer = timer.Now().Add(-time.Millisecond)
	expectSettled("with an answer too soon after the cut", "c1")
	answer()
	expectSettled("with an answer long after the cut", "a2", "b1", "c1")
}

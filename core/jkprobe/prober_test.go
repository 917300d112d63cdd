package jkprobe

import (
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

type change struct {
	name      string
	reachable bool
}

// listen starts a prober whose changes of zones go to the channel.
func listen(t *testing.T, host, zone, addr string, zones chan change, digest func([]byte)) *Prober {
	t.Helper()
	p, err := Listen(Options{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: host, Zone: zone, Addr: addr, Probes: zones != nil,
		Zones:  func(zone string, reachable bool) { zones <- change{zone, reachable} },
		Hosts:  func(Peer, bool, time.Duration) {},
		Digest: digest,
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

// Guards against requests that are sent into a zone which doesn't answer, and
// against a zone that stays lost after it is back.
func TestSilentZoneIsLostAndFound(t *testing.T) {
	zones := make(chan change, 4)
	p := listen(t, "a1", "a", "127.0.0.1:0", zones, nil)
	defer p.Close()
	other := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	addr := other.conn.LocalAddr().String()
	p.SetPeer(Peer{Host: "b1", Addr: addr, Zone: "b", Always: true})
	time.Sleep(2 * lostAfter)
	if !p.ZoneReachable("b") || !p.Reachable("b1") {
		t.Fatal("a zone that answers counts as lost")
	}
	other.Close()
	expect(t, zones, change{"b", false}, 2*lostAfter)
	if p.Reachable("b1") || p.ZoneSettled("b") {
		t.Error("a silent host counts as reachable")
	}
	if lost := p.ZoneLostFor("b"); lost <= 0 || lost > 2*lostAfter {
		t.Errorf("the zone has been lost for %s", lost)
	}
	again := listen(t, "b1", "b", addr, nil, nil)
	defer again.Close()
	expect(t, zones, change{"b", true}, 2*lostAfter)
	if p.ZoneSettled("b") {
		t.Error("a zone that has just come back counts as settled")
	}
	if lost := p.ZoneLostFor("b"); lost != 0 {
		t.Errorf("a zone that is back has been lost for %s", lost)
	}
}

// Guards against a zone that counts as lost because one of its hosts is down.
func TestOneAnsweringHostKeepsItsZone(t *testing.T) {
	zones := make(chan change, 4)
	p := listen(t, "a1", "a", "127.0.0.1:0", zones, nil)
	defer p.Close()
	up := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	defer up.Close()
	p.SetPeer(Peer{Host: "b1", Addr: up.conn.LocalAddr().String(), Zone: "b"})
	p.SetPeer(Peer{Host: "b2", Addr: "127.0.0.1:9", Zone: "b", Always: true})
	time.Sleep(3 * lostAfter)
	if !p.ZoneReachable("b") || p.Reachable("b2") {
		t.Errorf("zone reachable %t, silent host reachable %t", p.ZoneReachable("b"), p.Reachable("b2"))
	}
}

// Guards against a host that was never probed, or was only just added, and is taken
// for one that has answered.
func TestHeardTellsAnswersFromNone(t *testing.T) {
	p := listen(t, "a1", "a", "127.0.0.1:0", make(chan change, 4), nil)
	defer p.Close()
	up := listen(t, "b1", "b", "127.0.0.1:0", nil, nil)
	defer up.Close()
	p.SetPeer(Peer{Host: "b1", Addr: up.conn.LocalAddr().String(), Zone: "b"})
	p.SetPeer(Peer{Host: "b2", Addr: "127.0.0.1:9", Zone: "b", Always: true})
	began := time.Now()
	time.Sleep(2 * lostAfter)
	if last, probed := p.Heard("b1"); !probed || last.Before(began) {
		t.Errorf("answering host: heard at %s, probed %t", last, probed)
	}
	if last, probed := p.Heard("b2"); !probed || !last.IsZero() {
		t.Errorf("silent host: heard at %s, probed %t", last, probed)
	}
	p.RemovePeer("b2")
	if _, probed := p.Heard("b2"); probed {
		t.Error("removed host is probed")
	}
}

// Guards against digests that don't reach the other entries, or reach hosts that
// take none.
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

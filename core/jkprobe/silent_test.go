package jkprobe

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// silentFixture is a prober whose probes are answered at once by the hosts of zones that aren't cut.
type silentFixture struct {
	prober *Prober
	clock  *jktimer.Manual
	cut    map[string]bool
}

func newSilentFixture(t *testing.T, disksPerZone int) *silentFixture {
	t.Helper()
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	p, err := Listen(Options{
		Timer: timer, Log: jklog.Discard(), Host: "a0", Zone: "a", Addr: "127.0.0.1:0", SendProbes: true,
		OnZoneChange: func(string, bool) {}, OnHostChange: func(Peer, bool, time.Duration) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	f := &silentFixture{prober: p, clock: clock, cut: map[string]bool{}}
	byHash := map[uint64]Peer{}
	p.sendTo = func(_ byte, key uint64, _ netip.AddrPort) {
		if peer := byHash[key]; !f.cut[peer.Zone] && !f.cut[peer.Host] {
			p.recordAnswer(key)
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		for i := range 4 + disksPerZone {
			peer := Peer{Host: fmt.Sprintf("%s%d", zone, i), Addr: "127.0.0.1:9", Zone: zone, AlwaysProbed: i >= 4}
			byHash[hostHash(peer.Host)] = peer
			p.SetPeer(peer)
		}
	}
	f.pass(3 * time.Second)
	return f
}

func (f *silentFixture) pass(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		f.clock.Advance(10 * time.Millisecond)
	}
}

// Guards against a cut that is noticed too late for two readiness checks a second apart within 2.5 s,
// in small and large fleets and at any time between two probes.
func TestSilentZonesAreKnownWithinHalfASecond(t *testing.T) {
	for _, disks := range []int{2, 12} {
		for phase := time.Duration(0); phase < time.Second; phase += 30 * time.Millisecond {
			f := newSilentFixture(t, disks)
			f.pass(phase)
			if silent, uncertain := f.prober.SilentZones(); len(silent) > 0 || uncertain {
				t.Fatalf("silent zones %v, uncertain %t, before the cut", silent, uncertain)
			}
			for _, zone := range []string{"b", "c", "d"} {
				f.cut[zone] = true
			}
			f.pass(460 * time.Millisecond)
			if silent, _ := f.prober.SilentZones(); len(silent) != 3 || silent["a"] {
				t.Fatalf("silent zones %v, want b, c and d", silent)
			}
			clear(f.cut)
			f.pass(2 * probeInterval)
			if silent, _ := f.prober.SilentZones(); len(silent) > 0 {
				t.Fatalf("silent zones %v after the cut", silent)
			}
		}
	}
}

// Guards against a zone that counts as silent because of one host, and against a host that is alone
// and doesn't notice that its own zone is silent.
func TestSilentZonesNeedAllHosts(t *testing.T) {
	f := newSilentFixture(t, 2)
	for _, host := range []string{"b0", "b1", "b2", "b3", "b4"} {
		f.cut[host] = true
	}
	for range 100 {
		f.pass(10 * time.Millisecond)
		if silent, _ := f.prober.SilentZones(); len(silent) > 0 {
			t.Fatalf("silent zones %v, though a host answers", silent)
		}
	}
	for _, zone := range []string{"a", "b", "c", "d"} {
		f.cut[zone] = true
	}
	f.pass(460 * time.Millisecond)
	if silent, _ := f.prober.SilentZones(); len(silent) != 4 {
		t.Errorf("silent zones %v, want all", silent)
	}
}

// Guards against a pause of this process that is taken for a partition before its next tick.
func TestSilentZonesAreUncertainAfterAPause(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	p := &Prober{Options: Options{Timer: timer}, tickedAt: timer.Now(), peers: map[string]*peerRow{
		"b1": {peer: Peer{Host: "b1", Zone: "b"}, isProbed: true, lastAnswer: timer.Now(), unansweredSince: timer.Now()},
	}}
	if _, uncertain := p.SilentZones(); uncertain {
		t.Error("the view is uncertain right after a tick")
	}
	clock.Advance(time.Second)
	if silent, uncertain := p.SilentZones(); !silent["b"] || !uncertain {
		t.Errorf("silent zones %v, uncertain %t, want an uncertain silence of b", silent, uncertain)
	}
}

// Guards against a silence that is told of while writes which the host has acknowledged may be on their way to others, and
// against two silences that look the same.
func TestSilenceIsToldOfOnceItsWritesAreOver(t *testing.T) {
	f := newSilentFixture(t, 2)
	f.cut["b4"] = true
	f.pass(writeTime)
	if last := f.prober.LastAnswerBeforeSilence("b4"); !last.IsZero() {
		t.Error("the silence is told of too early")
	}
	f.pass(2 * probeInterval)
	first := f.prober.LastAnswerBeforeSilence("b4")
	if first.IsZero() {
		t.Error("the silence isn't told of")
	}
	clear(f.cut)
	f.pass(2 * probeInterval)
	if last := f.prober.LastAnswerBeforeSilence("b4"); !last.IsZero() {
		t.Error("a host that answers is silent")
	}
	f.cut["b4"] = true
	f.pass(writeTime + 2*probeInterval)
	if last := f.prober.LastAnswerBeforeSilence("b4"); !last.After(first) {
		t.Errorf("last answers %v and %v before two silences", first, last)
	}
}

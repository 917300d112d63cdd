package jkmember

import (
	"fmt"
	"testing"
	"time"

	"jasmineknot.example/core/jktoken"
)

var start = time.Unix(1000, 0)

func host(name, zone string, startNumber uint64) Host {
	return Host{Incarnation: jktoken.Incarnation{Host: name, Start: startNumber}, Zone: zone, State: StateLive, Disk: true}
}

func table(names ...string) *Table {
	t := New(start, Options{Self: host("self", "z1", 1), Timeout: 3 * time.Second, Forget: time.Hour})
	for _, n := range names {
		t.Observe(start, host(n, "z1", 1))
	}
	t.Tick(start)
	return t
}

// Guards against a silent host that keeps getting work, and against a late
// heartbeat of a former incarnation that hides the present one.
func TestSilentHostGoesDown(t *testing.T) {
	tab := table("a", "b")
	later := start.Add(4 * time.Second)
	tab.Observe(later, host("b", "z1", 2))
	changes := tab.Tick(later)
	if len(changes) != 1 || changes[0].Host.Incarnation.Host != "a" || changes[0].Status != StatusDown {
		t.Fatalf("got %+v, want only a down", changes)
	}
	tab.Observe(later, host("b", "z1", 1))
	if h, _ := tab.Status("b"); h.Incarnation.Start != 2 {
		t.Fatalf("got start %d, want 2", h.Incarnation.Start)
	}
}

// Guards against a partition that makes a zone's hosts look dead.
func TestPartitionedZoneIsUnreachableNotDown(t *testing.T) {
	tab := table()
	d := ZoneDigest{Zone: "z2", Version: 5, Hosts: []Host{host("x", "z2", 1), host("y", "z2", 1)}}
	tab.ObserveZone(start, d, 0)
	tab.Tick(start)
	later := start.Add(10 * time.Second)
	tab.Tick(later)
	if _, s := tab.Status("x"); s != StatusUnreachable {
		t.Fatalf("got %s, want unreachable", s)
	}
	// The zone heals and reports that y is gone.
	tab.ObserveZone(later, ZoneDigest{Zone: "z2", Version: 6, Hosts: []Host{host("x", "z2", 1)}}, 0)
	tab.Tick(later)
	if _, s := tab.Status("x"); s != StatusUp {
		t.Fatalf("got %s for x, want up", s)
	}
	if _, s := tab.Status("y"); s != StatusDown {
		t.Fatalf("got %s for y, want down", s)
	}
}

// Guards against a change of one host that moves the endpoints of others, and
// against a leaving host that still dispatches.
func TestDispatcherMovesOnlyWhatItMust(t *testing.T) {
	tab := table("a", "b", "c")
	before := map[string]string{}
	for i := range 200 {
		e := fmt.Sprint("endpoint-", i)
		h, ok := tab.Dispatcher(e, "z1")
		if !ok {
			t.Fatal("no dispatcher")
		}
		before[e] = h.Incarnation.Host
	}
	leaving := host("a", "z1", 1)
	leaving.State = StateLeaving
	tab.Observe(start, leaving)
	for e, was := range before {
		h, _ := tab.Dispatcher(e, "z1")
		if was != "a" && h.Incarnation.Host != was {
			t.Fatalf("%s moved from %s to %s", e, was, h.Incarnation.Host)
		}
		if h.Incarnation.Host == "a" {
			t.Fatalf("%s is still at the leaving host", e)
		}
	}
}

// Guards against both copies of a history in one zone.
func TestCopiesAreInDifferentZones(t *testing.T) {
	tab := table("a", "b")
	tab.ObserveZone(start, ZoneDigest{Zone: "z2", Version: 1, Hosts: []Host{host("x", "z2", 1)}}, 0)
	for i := range 50 {
		copies := tab.Copies(fmt.Sprint("p", i))
		if len(copies) != 2 || copies[0].Zone == copies[1].Zone {
			t.Fatalf("got %+v", copies)
		}
	}
}

// Guards against hosts that disagree on the successor of a program.
func TestSuccessorDependsOnRecordOnly(t *testing.T) {
	list := []jktoken.Incarnation{{Host: "a", Start: 1}, {Host: "b", Start: 1}, {Host: "c", Start: 1}}
	reversed := []jktoken.Incarnation{list[2], list[1], list[0]}
	for i := range 50 {
		p := fmt.Sprint("p", i)
		x, _ := Successor(p, list)
		y, _ := Successor(p, reversed)
		if x != y {
			t.Fatalf("%s: %v and %v", p, x, y)
		}
	}
}

// Guards against a drained host that still gets endpoints, copies or programs,
// and against a zone without a leader, which would never learn of the edit that
// takes the drain back.
func TestDrainedHostGetsNothingNew(t *testing.T) {
	tab := table("a", "b")
	tab.SetDrained(map[string]bool{"a": true, "b": true})
	for i := range 50 {
		key := fmt.Sprint("k", i)
		if h, ok := tab.Dispatcher(key, "z1"); !ok || h.Incarnation.Host != "self" {
			t.Fatalf("dispatcher of %s is %s, want self", key, h.Incarnation.Host)
		}
		if c := tab.Copies(key); len(c) != 1 || c[0].Incarnation.Host != "self" {
			t.Fatalf("copies of %s are %v, want self", key, c)
		}
	}
	if s := tab.Successors(host("self", "z1", 1).Incarnation, "z1"); len(s) != 0 {
		t.Fatalf("successors are %v, want none", s)
	}
	tab.SetDrained(map[string]bool{"a": true, "b": true, "self": true})
	if h, ok := tab.Dispatcher("k", "z1"); ok {
		t.Fatalf("dispatcher is %s, want none", h.Incarnation.Host)
	}
	if _, ok := tab.Leader("z1"); !ok {
		t.Fatal("the zone has no leader")
	}
	alone := New(start, Options{Self: host("self", "z1", 1), Timeout: 3 * time.Second, Forget: time.Hour})
	alone.SetDrained(map[string]bool{"self": true})
	if !alone.Speaks(0) {
		t.Fatal("a drained zone sends no digest, so that the others take it for cut off")
	}
}

// Guards against a zone that stays unreachable because another host speaks for it
// now, against an old digest that comes back by way of a peer, and against two
// speakers whose equal digests are pulled again and again.
func TestSpeakersOfOneZone(t *testing.T) {
	near := New(start, Options{Self: host("near", "z1", 1), Timeout: 3 * time.Second, Forget: time.Hour})
	speakers := []*Table{}
	for _, name := range []string{"x", "y"} {
		s := New(start, Options{Self: host(name, "z2", 1), Timeout: 3 * time.Second, Forget: time.Hour})
		for _, other := range []string{"x", "y"} {
			s.Observe(start, host(other, "z2", 1))
		}
		s.Tick(start)
		speakers = append(speakers, s)
	}
	now := start
	pulls := 0
	for round := range 6 {
		now = now.Add(time.Second)
		d, _ := speakers[round%2].Zone("z2")
		seen := ZoneSeen{Version: d.Version}
		if near.NeedsZone(now, "z2", seen) {
			pulls++
			near.ObserveZone(now, d, 0)
		}
		near.RefreshZone(now, "z2", seen)
		near.Tick(now)
		if _, status := near.Status("x"); status != StatusUp {
			t.Fatalf("round %d: x is %s", round, status)
		}
	}
	if pulls != 1 {
		t.Errorf("equal digests were pulled %d times", pulls)
	}
	before, _ := near.Zone("z2")
	// x dies; y speaks with another content from now on.
	later := now.Add(4 * time.Second)
	speakers[1].Tick(later)
	d, _ := speakers[1].Zone("z2")
	if d.Version == before.Version || !near.NeedsZone(later, "z2", ZoneSeen{Version: d.Version}) {
		t.Fatal("the new content is not wanted")
	}
	near.ObserveZone(later, d, 0)
	near.Tick(later)
	if _, status := near.Status("x"); status != StatusDown {
		t.Fatalf("x is %s", status)
	}
	if near.NeedsZone(later, "z2", ZoneSeen{Version: before.Version, Age: 2 * time.Second}) || near.ObserveZone(later, before, 2*time.Second) {
		t.Fatal("an old digest came back by way of a peer")
	}
}

// Guards against heartbeats that repeat what came by heartbeat, which would put all
// zones into every one of them.
func TestOnlyHeardZonesAreRelayed(t *testing.T) {
	tab := table("a")
	d := ZoneDigest{Zone: "z2", Version: 5, Hosts: []Host{host("x", "z2", 1)}}
	tab.ObserveZone(start, d, 0)
	tab.RefreshZone(start.Add(time.Second), "z2", ZoneSeen{Version: 5})
	if seen := tab.Seen(start.Add(time.Second), time.Second); len(seen) != 0 {
		t.Errorf("a zone known from a peer is relayed: %v", seen)
	}
	tab.HeardZone(start.Add(time.Second), "z2")
	if seen := tab.Seen(start.Add(time.Second), time.Second); seen["z2"].Version != 5 {
		t.Errorf("got %v, want the zone that was heard", seen)
	}
}

// Guards against a host that has just started and tells the other zones that the
// hosts of its zone that it has not heard yet are down.
func TestStartedHostListensBeforeItSpeaks(t *testing.T) {
	tab := New(start, Options{Self: host("self", "z1", 2), Timeout: 3 * time.Second, Forget: time.Hour})
	tab.Seed(host("a", "z1", 0))
	tab.Seed(host("b", "z1", 0))
	tab.Seed(host("x", "z2", 0))
	speaks := func() bool { return tab.Speaks(0) || tab.Speaks(1) }
	tab.Tick(start)
	if _, ok := tab.Zone("z1"); ok || speaks() {
		t.Fatal("speaks for a zone of which it has heard nobody")
	}
	tab.Observe(start.Add(time.Second), host("a", "z1", 1))
	tab.Tick(start.Add(time.Second))
	if _, ok := tab.Zone("z1"); ok || speaks() {
		t.Fatal("speaks for a zone of which it has not heard b")
	}
	tab.Observe(start.Add(2*time.Second), host("b", "z1", 1))
	tab.Tick(start.Add(2 * time.Second))
	if d, ok := tab.Zone("z1"); !ok || len(d.Hosts) != 3 {
		t.Fatalf("after all were heard: %v, %t", d, ok)
	}
}

// Guards against a zone that is not heard any more because one of its hosts is
// gone for long.
func TestStartedHostSpeaksBesideADeadOne(t *testing.T) {
	tab := New(start, Options{Self: host("self", "z1", 2), Timeout: 3 * time.Second, Forget: time.Hour})
	tab.Seed(host("a", "z1", 0))
	tab.Tick(start.Add(3 * time.Second))
	if tab.Speaks(0) {
		t.Error("speaks before a silent host counts as down")
	}
	tab.Tick(start.Add(3*time.Second + 1))
	if _, ok := tab.Zone("z1"); !ok || !tab.Speaks(0) {
		t.Error("is silent although the other host counts as down")
	}
}

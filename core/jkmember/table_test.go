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

func newTable(names ...string) *Table {
	t := New(start, Options{Self: host("self", "z1", 1), Timeout: 3 * time.Second, Forget: time.Hour})
	for _, n := range names {
		t.ObserveHost(start, host(n, "z1", 1))
	}
	t.Tick(start)
	return t
}

// Guards against a silent host that still counts as up, and against a late heartbeat of an
// earlier incarnation that replaces the current one.
func TestSilentHostGoesDown(t *testing.T) {
	tab := newTable("a", "b")
	later := start.Add(4 * time.Second)
	tab.ObserveHost(later, host("b", "z1", 2))
	changes := tab.Tick(later)
	if len(changes) != 1 || changes[0].Host.Incarnation.Host != "a" || changes[0].Status != StatusDown {
		t.Fatalf("got %+v, want only a down", changes)
	}
	tab.ObserveHost(later, host("b", "z1", 1))
	if h, _ := tab.Status("b"); h.Incarnation.Start != 2 {
		t.Fatalf("got start %d, want 2", h.Incarnation.Start)
	}
}

// Guards against a network partition that makes the hosts of another zone count as down.
func TestPartitionedZoneIsUnreachableNotDown(t *testing.T) {
	tab := newTable()
	d := ZoneDigest{Zone: "z2", Version: 5, Hosts: []Host{host("x", "z2", 1), host("y", "z2", 1)}}
	tab.ObserveZone(start, d, 0)
	tab.Tick(start)
	later := start.Add(10 * time.Second)
	tab.Tick(later)
	if _, s := tab.Status("x"); s != StatusUnreachable {
		t.Fatalf("got %s, want unreachable", s)
	}
	// The partition heals, and the zone's digest no longer lists y.
	tab.ObserveZone(later, ZoneDigest{Zone: "z2", Version: 6, Hosts: []Host{host("x", "z2", 1)}}, 0)
	tab.Tick(later)
	if _, s := tab.Status("x"); s != StatusUp {
		t.Fatalf("got %s for x, want up", s)
	}
	if _, s := tab.Status("y"); s != StatusDown {
		t.Fatalf("got %s for y, want down", s)
	}
}

// Guards against a change of one host that moves endpoints between the other hosts, and
// against a leaving host that stays a dispatcher.
func TestDispatcherMovesOnlyWhatItMust(t *testing.T) {
	tab := newTable("a", "b", "c")
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
	tab.ObserveHost(start, leaving)
	for e, was := range before {
		h, _ := tab.Dispatcher(e, "z1")
		if was != "a" && h.Incarnation.Host != was {
			t.Fatalf("%s moved from %s to %s", e, was, h.Incarnation.Host)
		}
		if h.Incarnation.Host == "a" {
			t.Fatalf("%s is still dispatched by the leaving host", e)
		}
	}
}

// Guards against both copies of a program's history in the same zone.
func TestCopiesAreInDifferentZones(t *testing.T) {
	tab := newTable("a", "b")
	tab.ObserveZone(start, ZoneDigest{Zone: "z2", Version: 1, Hosts: []Host{host("x", "z2", 1)}}, 0)
	for i := range 50 {
		copies := tab.Copies(fmt.Sprint("p", i))
		if len(copies) != 2 || copies[0].Zone == copies[1].Zone {
			t.Fatalf("copies are %+v, want 2 in different zones", copies)
		}
	}
}

// Guards against hosts that choose different successors for a program because they have the
// list in another order.
func TestSuccessorDependsOnRecordOnly(t *testing.T) {
	list := []jktoken.Incarnation{{Host: "a", Start: 1}, {Host: "b", Start: 1}, {Host: "c", Start: 1}}
	reversed := []jktoken.Incarnation{list[2], list[1], list[0]}
	for i := range 50 {
		p := fmt.Sprint("p", i)
		x, _ := Successor(p, list)
		y, _ := Successor(p, reversed)
		if x != y {
			t.Fatalf("successors of %s are %v and %v, want the same", p, x, y)
		}
	}
}

// Guards against a drained host that still gets endpoints, copies or programs, and against
// a zone that has no leader because all its hosts are drained: it would never learn of the
// edit that undoes the drain.
func TestDrainedHostIsNotChosen(t *testing.T) {
	tab := newTable("a", "b")
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
	if !alone.SendsDigest(0) {
		t.Fatal("a drained zone sends no digest, so that the others consider it unreachable")
	}
}

// Guards against a zone that stays unreachable after another of its hosts starts to send
// its digests, against an old digest that is accepted again from a peer, and against two
// senders whose equal digests are pulled repeatedly.
func TestTwoDigestSendersOfOneZone(t *testing.T) {
	receiver := New(start, Options{Self: host("near", "z1", 1), Timeout: 3 * time.Second, Forget: time.Hour})
	senders := []*Table{}
	for _, name := range []string{"x", "y"} {
		s := New(start, Options{Self: host(name, "z2", 1), Timeout: 3 * time.Second, Forget: time.Hour})
		for _, other := range []string{"x", "y"} {
			s.ObserveHost(start, host(other, "z2", 1))
		}
		s.Tick(start)
		senders = append(senders, s)
	}
	now := start
	pulls := 0
	for round := range 6 {
		now = now.Add(time.Second)
		d, _ := senders[round%2].Zone("z2")
		seen := ZoneSeen{Version: d.Version}
		if receiver.NeedsZone(now, "z2", seen) {
			pulls++
			receiver.ObserveZone(now, d, 0)
		}
		receiver.RefreshZone(now, "z2", seen)
		receiver.Tick(now)
		if _, status := receiver.Status("x"); status != StatusUp {
			t.Fatalf("round %d: x is %s", round, status)
		}
	}
	if pulls != 1 {
		t.Errorf("equal digests were pulled %d times", pulls)
	}
	before, _ := receiver.Zone("z2")
	// x fails; the digests that y sends have another content from now on.
	later := now.Add(4 * time.Second)
	senders[1].Tick(later)
	d, _ := senders[1].Zone("z2")
	if d.Version == before.Version || !receiver.NeedsZone(later, "z2", ZoneSeen{Version: d.Version}) {
		t.Fatal("the new content isn't pulled")
	}
	receiver.ObserveZone(later, d, 0)
	receiver.Tick(later)
	if _, status := receiver.Status("x"); status != StatusDown {
		t.Fatalf("x is %s", status)
	}
	if receiver.NeedsZone(later, "z2", ZoneSeen{Version: before.Version, Age: 2 * time.Second}) || receiver.ObserveZone(later, before, 2*time.Second) {
		t.Fatal("an old digest is accepted from a peer")
	}
}

// Guards against heartbeats that repeat the zones which other heartbeats reported, so that
// every heartbeat would contain all zones.
func TestOnlyDirectlyReceivedZonesAreRelayed(t *testing.T) {
	tab := newTable("a")
	d := ZoneDigest{Zone: "z2", Version: 5, Hosts: []Host{host("x", "z2", 1)}}
	tab.ObserveZone(start, d, 0)
	tab.RefreshZone(start.Add(time.Second), "z2", ZoneSeen{Version: 5})
	if seen := tab.DirectZones(start.Add(time.Second), time.Second); len(seen) != 0 {
		t.Errorf("a zone known from a peer is relayed: %v", seen)
	}
	tab.RecordDirectDigest(start.Add(time.Second), "z2")
	if seen := tab.DirectZones(start.Add(time.Second), time.Second); seen["z2"].Version != 5 {
		t.Errorf("got %v, want the zone whose digest arrived directly", seen)
	}
}

// Guards against a host that has just started and whose digest reports hosts of its zone as
// down because it hasn't received their heartbeats yet.
func TestStartedHostSendsNoDigestUntilZoneIsComplete(t *testing.T) {
	tab := New(start, Options{Self: host("self", "z1", 2), Timeout: 3 * time.Second, Forget: time.Hour})
	tab.Seed(host("a", "z1", 0))
	tab.Seed(host("b", "z1", 0))
	tab.Seed(host("x", "z2", 0))
	sends := func() bool { return tab.SendsDigest(0) || tab.SendsDigest(1) }
	tab.Tick(start)
	if _, ok := tab.Zone("z1"); ok || sends() {
		t.Fatal("sends a digest before any heartbeat arrived")
	}
	tab.ObserveHost(start.Add(time.Second), host("a", "z1", 1))
	tab.Tick(start.Add(time.Second))
	if _, ok := tab.Zone("z1"); ok || sends() {
		t.Fatal("sends a digest before a heartbeat of b arrived")
	}
	tab.ObserveHost(start.Add(2*time.Second), host("b", "z1", 1))
	tab.Tick(start.Add(2 * time.Second))
	if d, ok := tab.Zone("z1"); !ok || len(d.Hosts) != 3 {
		t.Fatalf("after heartbeats of all hosts: %v, %t", d, ok)
	}
}

// Guards against a zone that counts as unreachable for the others because its restarted
// hosts send no digests while a configured host is down.
func TestStartedHostSendsDigestWhenSilentHostIsDown(t *testing.T) {
	tab := New(start, Options{Self: host("self", "z1", 2), Timeout: 3 * time.Second, Forget: time.Hour})
	tab.Seed(host("a", "z1", 0))
	tab.Tick(start.Add(3 * time.Second))
	if tab.SendsDigest(0) {
		t.Error("sends a digest before the silent host counts as down")
	}
	tab.Tick(start.Add(3*time.Second + 1))
	if _, ok := tab.Zone("z1"); !ok || !tab.SendsDigest(0) {
		t.Error("sends no digest although the silent host counts as down")
	}
}

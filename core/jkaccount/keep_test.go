package jkaccount

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// keepWithin keeps a turn of a program for a caller that waits for a limited time.
func (f *fixture) keepWithin(t *testing.T, program string, wait time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return f.client.Keep(ctx, jkforward.Turn{Request: "1", Program: program, Input: []byte("in "), Output: []byte("out\n"), Retention: time.Minute})
}

// addUnreachable adds a host that doesn't answer but is still listed.
func (f *fixture) addUnreachable(host, zone string) {
	f.copies = append(f.copies, Copy{Host: host, Addr: "127.0.0.1:1", Zone: zone})
	f.lost[host] = true
}

// programOf returns a program whose copies include the given hosts.
func (f *fixture) programOf(t *testing.T, hosts ...string) string {
	t.Helper()
	for i := range 1000 {
		program := fmt.Sprintf("p%d", i)
		chosen := f.client.replicas(program)
		if !slices.ContainsFunc(hosts, func(host string) bool {
			return !slices.ContainsFunc(chosen, func(c Copy) bool { return c.Host == host })
		}) {
			return program
		}
	}
	t.Fatalf("no program has its copies on %v", hosts)
	return ""
}

// Guards against a complete answer that is broken off because an entry that has just started
// chooses removed hosts of two zones as copies of the program.
func TestTurnIsKeptWhileRemovedHostsAreCounted(t *testing.T) {
	f := newFixture(t)
	f.addUnreachable("gone-b", "b")
	f.addUnreachable("gone-c", "c")
	program := f.programOf(t, "gone-b", "gone-c")
	if err := f.keepWithin(t, program, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	got, err := f.client.Chain(context.Background(), program, "1")
	if err != nil || string(got.Content) != "in out\n" {
		t.Errorf("chain is %q, %v", got, err)
	}
}

// Guards against a turn that counts as kept on two disks of one zone.
func TestCopiesInOneZoneDoNotSufficeForATurn(t *testing.T) {
	f := newFixture(t)
	f.copies = append(f.copies, f.copies[0])
	f.copies[3].Host = "a-2"
	f.lost["b"], f.lost["c"] = true, true
	var noQuorum *jkforward.NoQuorumError
	if err := f.keepWithin(t, "p", 300*time.Millisecond); !errors.As(err, &noQuorum) || noQuorum.Answers != 1 || noQuorum.Needed != 2 {
		t.Errorf("error of a turn that only one zone holds is %v, want a *NoQuorumError with 1 of 2", err)
	}
}

// Guards against a complete answer that is broken off because two copies restart while the
// turn is written, although the caller would wait.
func TestTurnIsKeptOnceItsCopiesAreBack(t *testing.T) {
	f := newFixture(t)
	addrs := []string{f.copies[1].Addr, f.copies[2].Addr}
	var back atomic.Bool
	f.copies[1].Addr, f.copies[2].Addr = "127.0.0.1:1", "127.0.0.1:1"
	copies := f.client.Copies
	f.client.Copies = func() []Copy {
		out := slices.Clone(copies())
		if back.Load() {
			out[1].Addr, out[2].Addr = addrs[0], addrs[1]
		}
		return out
	}
	time.AfterFunc(500*time.Millisecond, func() { back.Store(true) })
	if err := f.keepWithin(t, "p", 3*time.Second); err != nil {
		t.Error(err)
	}
}

// Guards against a complete answer that is broken off just after a zone was partitioned,
// before the entry has noticed.
func TestTurnIsKeptOnceACutIsNoticed(t *testing.T) {
	f := newFixture(t)
	f.startCopy(t, "a-2", "a")
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	f.copies[1].Addr, f.copies[2].Addr = silent.Addr().String(), silent.Addr().String()
	var noticed atomic.Bool
	f.client.Reachable = func(host string) bool { return host == "a" || host == "a-2" || !noticed.Load() }
	f.client.ZoneReachable = func(zone string) bool { return zone == "a" || !noticed.Load() }
	time.AfterFunc(800*time.Millisecond, func() { noticed.Store(true) })
	if err := f.keepWithin(t, "p", 3*time.Second); err != nil {
		t.Error(err)
	}
}

// Guards against records that never reach a copy because the backlog for it doesn't fit into
// one message.
func TestBacklogLargerThanAMessageIsDelivered(t *testing.T) {
	f := newFixture(t)
	f.startCopy(t, "a-2", "a")
	var back atomic.Bool
	f.client.Reachable = func(host string) bool { return (host == "c") == back.Load() && host != "b" }
	f.client.ZoneReachable = func(zone string) bool { return zone == "a" || back.Load() }
	const turns = 20
	for i := range turns {
		f.keep(t, jkforward.Turn{Request: fmt.Sprint(i), Input: make([]byte, 512<<10)})
	}
	back.Store(true)
	last := fmt.Sprint(turns - 1)
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if got, err := f.client.Chain(t.Context(), "p", last); err == nil && len(got.Content) == 512<<10 {
			return
		}
	}
	t.Error("the copy never got the last turn")
}

// Guards against a turn that is given up just when its copies have written it.
func TestWrittenTurnIsNotGivenUp(t *testing.T) {
	f := newFixture(t)
	var group errgroup.Group
	group.SetLimit(32)
	for i := range 10000 {
		group.Go(func() error {
			return f.keepWithin(t, fmt.Sprintf("p%d", i), 5*time.Second)
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// Guards against a turn that isn't sent to another copy because it waits behind a backlog
// for one that doesn't answer.
func TestTurnBehindABacklogIsKeptElsewhere(t *testing.T) {
	f := newFixture(t)
	live := slices.Clone(f.copies)
	f.copies[1].Host, f.copies[2].Host = "b-2", "c-2"
	f.copies = append(f.copies, Copy{Host: "b", Addr: "127.0.0.1:1", Zone: "b"}, Copy{Host: "c", Addr: "127.0.0.1:1", Zone: "c"})
	program := f.programOf(t, "b", "c")
	var group errgroup.Group
	for i := range 5 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			size := maxWriteBytes * 9 / 10
			if i == 4 {
				time.Sleep(200 * time.Millisecond)
				size = 10
			}
			return f.client.Keep(ctx, jkforward.Turn{Request: fmt.Sprint(i), Program: program, Input: make([]byte, size), Retention: time.Minute})
		})
	}
	if err := group.Wait(); err != nil {
		t.Errorf("with copies at %s and %s: %v", live[1].Addr, live[2].Addr, err)
	}
}

// Guards against a turn that a zone keeps on one disk while it is cut off, though it has three, and
// that is lost with that disk (LOST on bulles-pull-grown).
func TestTurnOfACutZoneIsOnAsManyDisksAsItNeeds(t *testing.T) {
	f := newFixture(t)
	f.startCopy(t, "a-2", "a")
	f.startCopy(t, "a-3", "a")
	f.client.MaxLostDisks = 2
	f.cut["b"], f.cut["c"] = true, true
	if err := f.keepWithin(t, "p", 3*time.Second); err != nil {
		t.Fatal(err)
	}
	for _, known := range f.copies {
		var a jkledger.ChainAnswer
		if err := f.client.Pool.Call(t.Context(), known.Addr, jkledger.TypeChain, &jkledger.ChainRequest{Request: "1"}, &a); err != nil {
			t.Fatal(err)
		}
		if holds := a.Missing == ""; holds != (known.Zone == "a") {
			t.Errorf("copy on %s holds the turn: %t", known.Host, holds)
		}
	}
}

// Guards against a turn that a zone keeps on too few disks while it is cut off, and that is lost
// with them: it is refused before it runs, and a stream that has run isn't completed.
func TestTurnOfACutZoneWithTooFewDisksIsNotAccepted(t *testing.T) {
	f := newFixture(t)
	f.cut["b"], f.cut["c"] = true, true
	var noQuorum *jkforward.NoQuorumError
	if err := f.client.CanKeep(t.Context(), "p"); !errors.As(err, &noQuorum) || noQuorum.Answers != 1 || noQuorum.Needed != 2 {
		t.Errorf("error is %v, want a *NoQuorumError with 1 of 2", err)
	}
	if err := f.keepWithin(t, "p", 300*time.Millisecond); err == nil {
		t.Error("the turn counts as kept on one disk")
	}
	f = newFixture(t)
	f.cut["c"] = true
	if err := f.client.CanKeep(t.Context(), "p"); err != nil {
		t.Errorf("with two zones in reach: %v", err)
	}
}

// Guards against a turn that runs and is then broken off, because an entry that has just started
// knows too few copies to keep it.
func TestTurnIsRefusedWhileTooFewCopiesAreKnown(t *testing.T) {
	f := newFixture(t)
	f.copies, f.starting = f.copies[:1], true
	var noQuorum *jkforward.NoQuorumError
	if err := f.client.CanKeep(t.Context(), "p"); !errors.As(err, &noQuorum) || noQuorum.Answers != 1 || noQuorum.Needed != 2 {
		t.Errorf("error is %v, want a *NoQuorumError with 1 of 2", err)
	}
}

// Guards against turns that are refused at an entry that reaches other hosts of the copies' zones only,
// and relays of which reach the copies, and against turns that run there without such relays and
// can't be kept.
func TestTurnIsAcceptedIfOthersReachTheCopies(t *testing.T) {
	f := newRelayedFixture(t)
	clear(f.lost)
	clear(f.cut)
	f.client.Reachable = func(string) bool { return false }
	var alone atomic.Bool
	relays := f.client.RelayAddrs
	f.client.RelayAddrs = func() []string {
		if alone.Load() {
			return nil
		}
		return relays()
	}
	if err := f.client.CanKeep(t.Context(), "p"); err != nil {
		t.Error(err)
	}
	if err := f.keepWithin(t, "p", 5*time.Second); err != nil {
		t.Errorf("accepted, but not kept: %v", err)
	}
	// Calls that nobody waits for may still use the relays.
	alone.Store(true)
	var noQuorum *jkforward.NoQuorumError
	if err := f.client.CanKeep(t.Context(), "p"); !errors.As(err, &noQuorum) {
		t.Errorf("error without relays is %v, want a *NoQuorumError", err)
	}
}

// Guards against turns that are refused in a zone that has just been cut off, which keeps them on its
// own disks once the others count as cut off (14 turns within 0.2 s on trouble-1 of bulles-pull-grown).
func TestTurnIsAcceptedAsACutIsNoticed(t *testing.T) {
	f := newFixture(t)
	f.startCopy(t, "a-2", "a")
	f.lost["b"], f.lost["c"] = true, true
	f.unsettled["b"], f.unsettled["c"] = true, true
	if err := f.client.CanKeep(t.Context(), "p"); err != nil {
		t.Error(err)
	}
}

// Guards against two hosts of one zone that count as two zones.
func TestHostsOfOneZoneCountOnce(t *testing.T) {
	k := newFixture(t).client.newKeepOperation(jkforward.Turn{})
	for _, host := range []string{"a-1", "a-2"} {
		k.targets = append(k.targets, Copy{Host: host, Zone: "a"})
		k.set(host, outcomeWritten)
	}
	if n := k.written(); n != (spread{zones: 1, disks: 2}) {
		t.Errorf("%d zones and %d disks hold the turn, want 1 and 2", n.zones, n.disks)
	}
}

// Guards against records that are queued without end for a copy that is no longer listed.
func TestBacklogOfAGoneCopyIsDropped(t *testing.T) {
	f := newFixture(t)
	gone := Copy{Host: "b-2", Addr: "127.0.0.1:1", Zone: "b"}
	dropped := make(chan struct{})
	f.client.outbox.send(gone, nil, func(o outcome) bool {
		if o == outcomeDropped {
			close(dropped)
		}
		return true
	})
	select {
	case <-dropped:
	case <-time.After(3 * time.Second):
		t.Error("records wait for a copy that isn't listed")
	}
}

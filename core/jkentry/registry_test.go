package jkentry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// registryFixture is a fleet of registries that share one store. Hosts in silent answer no
// probes, and those in storeCutOff don't reach the store.
type registryFixture struct {
	t        *testing.T
	timer    *jktimer.Service
	clock    *jktimer.Manual
	members  *members
	revision int64
	entries  map[string]HostEntry
	at       map[string]int64
	// running holds the registries of the running hosts.
	running     map[string]*registry
	silent      map[string]time.Time
	storeCutOff map[string]bool
	swaps       int
	// paused is set right after a pause of all processes, when nobody has heard from the others.
	paused bool
	// writesRefused is set while the store answers reads but refuses writes.
	writesRefused bool
	removed       []string
	// undelivered holds the store's changes that no host has received yet.
	undelivered []func()
}

func newRegistryFixture(t *testing.T) *registryFixture {
	f := &registryFixture{
		t: t, entries: map[string]HostEntry{}, at: map[string]int64{}, running: map[string]*registry{},
		silent: map[string]time.Time{}, storeCutOff: map[string]bool{},
	}
	f.timer, f.clock = jktimer.NewManual(time.Unix(1000, 0))
	f.members = newMembers(f.timer)
	for _, zone := range []string{"a", "b"} {
		f.run(HostEntry{Host: "entry-" + zone, Zone: zone, Addr: "entry-" + zone})
		for _, n := range []string{"1", "2"} {
			f.run(HostEntry{Host: "storage-" + zone + "-" + n, Zone: zone, Addr: zone + n, Ledger: true})
		}
	}
	return f
}

// run starts a host's registry with the entries that are in the store.
func (f *registryFixture) run(own HostEntry) {
	f.t.Helper()
	began := f.timer.Now()
	r := newRegistry(registryOptions{
		timer: f.timer, log: jklog.Discard(), own: own, observes: !own.Ledger,
		put: func(_ context.Context, e HostEntry) error { f.write(e); return nil },
		swap: func(_ context.Context, host string, next *HostEntry, revision int64) error {
			f.swaps++
			if f.writesRefused {
				return errors.New("store refuses")
			}
			if f.at[host] != revision {
				return &EntryChangedError{Host: host, Revision: revision}
			}
			if next != nil {
				f.write(*next)
				return nil
			}
			f.remove(host)
			return nil
		},
		storeReachable: func() bool { return !f.storeCutOff[own.Host] },
		lastAnswer: func(host string) (time.Time, bool) {
			if f.paused {
				return f.timer.Now().Add(-2 * observeInterval), true
			}
			if last, ok := f.silent[host]; ok && last.Before(began) {
				return time.Time{}, true
			} else if ok {
				return last, true
			}
			return f.timer.Now(), true
		},
		reachable: func(host string) bool { _, ok := f.silent[host]; return !ok && !f.paused },
		paused:    func() bool { return f.paused },
		runAsync:  func(call func()) { call() },
	})
	f.running[own.Host] = r
	for host, e := range f.entries {
		r.set(e, f.at[host])
	}
	r.announce(context.Background())
	f.deliver()
}

func (f *registryFixture) write(e HostEntry) {
	f.revision++
	f.entries[e.Host], f.at[e.Host] = e, f.revision
	revision := f.revision
	if e.Removed {
		f.removed = append(f.removed, e.Host)
		f.queue(func(r *registry) { r.set(e, revision) }, func() { f.members.remove(e.Host) })
		return
	}
	f.queue(func(r *registry) { r.set(e, revision) }, func() { f.members.set(e) })
}

func (f *registryFixture) remove(host string) {
	f.revision++
	delete(f.entries, host)
	delete(f.at, host)
	f.removed = append(f.removed, host)
	f.queue(func(r *registry) { r.remove(host) }, func() { f.members.remove(host) })
}

// queue adds a change that deliver passes to all hosts that reach the store.
func (f *registryFixture) queue(each func(r *registry), members func()) {
	f.undelivered = append(f.undelivered, func() {
		members()
		for host, r := range f.running {
			if !f.storeCutOff[host] {
				each(r)
			}
		}
	})
}

// deliver passes the queued changes to the hosts.
func (f *registryFixture) deliver() {
	for _, change := range f.undelivered {
		change()
	}
	f.undelivered = nil
}

// stop ends a host's process; from now on it answers no probes.
func (f *registryFixture) stop(host string) {
	delete(f.running, host)
	f.silent[host] = f.timer.Now()
}

// pass advances the clock and runs the registries of all running hosts.
func (f *registryFixture) pass(d time.Duration) {
	for range int(d / observeInterval) {
		f.deliver()
		f.clock.Advance(observeInterval)
		for _, r := range f.running {
			r.tick(context.Background())
		}
	}
	f.deliver()
}

// settled is long enough for all steps of a removal.
const settled = removeAfter + refuteTimeout + 2*observerSpread

// expectEntry checks whether a host has an entry. One that was removed leaves a mark.
func (f *registryFixture) expectEntry(host string, present bool) {
	f.t.Helper()
	e, listed := f.entries[host]
	if ok := listed && !e.Removed; ok != present {
		f.t.Errorf("entry of %s present %t, want %t", host, ok, present)
	}
	if mark := (HostEntry{Host: host, Zone: e.Zone, Addr: e.Addr, Ledger: true, Removed: true}); !present && e != mark {
		f.t.Errorf("the mark of %s is %+v, want %+v", host, e, mark)
	}
}

// Guards against entries of removed hosts that stay in the store forever (inc1: a 404 needed
// the answers of four of the five listed copies, of which only three were running).
func TestEntriesOfRemovedHostsAreDeleted(t *testing.T) {
	f := newRegistryFixture(t)
	if got := len(f.members.copies()); got != 4 {
		t.Fatalf("%d copies, want 4", got)
	}
	f.stop("storage-a-1")
	f.stop("storage-b-1")
	f.pass(removeAfter - observeInterval)
	f.expectEntry("storage-a-1", true)
	f.pass(settled - removeAfter)
	f.expectEntry("storage-a-1", false)
	f.expectEntry("storage-b-1", false)
	if got := len(f.members.copies()); got != 2 {
		t.Errorf("%d copies, want the 2 that run", got)
	}
	if f.swaps > 2*2*observersPerStorage {
		t.Errorf("%d calls to the store for two hosts", f.swaps)
	}
	f.pass(settled)
	if len(f.removed) != 2 {
		t.Errorf("removed %v, want the two stopped hosts", f.removed)
	}
}

// Guards against the removal of entries whose hosts may be alive: their zone is cut off, the
// observer doesn't reach the store, or the host refutes the mark.
func TestEntryIsKeptWhile(t *testing.T) {
	const host = "storage-a-1"
	for name, fault := range map[string]func(f *registryFixture){
		"the zone is cut off": func(f *registryFixture) {
			for _, other := range []string{"entry-a", "storage-a-1", "storage-a-2"} {
				f.stop(other)
			}
		},
		"the store is unreachable": func(f *registryFixture) {
			f.stop(host)
			f.storeCutOff["entry-a"], f.storeCutOff["entry-b"] = true, true
		},
		"the host runs and reaches the store": func(f *registryFixture) {
			f.silent[host] = f.timer.Now()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFixture(t)
			fault(f)
			f.pass(2 * settled)
			f.expectEntry(host, true)
			if len(f.removed) > 0 {
				t.Errorf("removed %v", f.removed)
			}
			if _, runs := f.running[host]; !runs && f.swaps > 0 {
				t.Errorf("%d calls to the store, want none", f.swaps)
			}
		})
	}
}

// Guards against an observer that counts silence from before it reached the store or the
// zone again: the silent host may have been cut off with them.
func TestObservationRestartsAfterFault(t *testing.T) {
	observerHosts := []string{"entry-a", "entry-b"}
	for name, fault := range map[string]func(f *registryFixture){
		"store": func(f *registryFixture) {
			f.storeCutOff["entry-a"], f.storeCutOff["entry-b"] = true, true
			f.pass(observeInterval)
			clear(f.storeCutOff)
		},
		"zone": func(f *registryFixture) {
			f.silent["entry-a"], f.silent["storage-a-2"] = f.timer.Now(), f.timer.Now()
			f.pass(3 * observeInterval)
			delete(f.silent, "entry-a")
			delete(f.silent, "storage-a-2")
		},
		"restart": func(f *registryFixture) {
			for _, host := range observerHosts {
				f.run(f.entries[host])
			}
		},
		"entry written again": func(f *registryFixture) {
			own := f.entries["storage-a-1"]
			own.Suspected = false
			f.write(own)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFixture(t)
			f.stop("storage-a-1")
			f.pass(removeAfter - observeInterval)
			f.expectEntry("storage-a-1", true)
			fault(f)
			f.pass(removeAfter - observeInterval)
			f.expectEntry("storage-a-1", true)
			f.pass(2 * settled)
			f.expectEntry("storage-a-1", false)
		})
	}
}

// Guards against a removal by an observer that was paused itself and counts its pause as
// the host's silence.
func TestPauseOfObserverDoesNotCountAsSilence(t *testing.T) {
	f := newRegistryFixture(t)
	f.silent["storage-a-1"] = f.timer.Now()
	f.pass(suspectStorageAfter - 2*observeInterval)
	f.clock.Advance(time.Minute)
	f.pass(observeInterval)
	if f.swaps != 0 {
		t.Errorf("%d calls to the store, want none", f.swaps)
	}
}

// Guards against a silent host that is never marked, since each pause of an observer makes it count anew.
func TestPausesOfObserversDoNotEndASilence(t *testing.T) {
	f := newRegistryFixture(t)
	f.stop("storage-a-1")
	for range 3 {
		f.pass(suspectStorageAfter / 2)
		f.paused = true
		f.pass(observeInterval)
		f.paused = false
	}
	if !f.entries["storage-a-1"].Suspected {
		t.Errorf("%+v isn't marked after %s of silence", f.entries["storage-a-1"], 3*suspectStorageAfter/2)
	}
	f.pass(settled)
	f.expectEntry("storage-a-1", false)
}

// Guards against a removal before a host could refute the mark: the store refused the mark
// for long, so that removeAfter has passed by the time it is written.
func TestSuspectedHostHasTimeToRefute(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	f.stop(host)
	f.writesRefused = true
	f.pass(2 * settled)
	if most := observersPerStorage * int(2*settled/callCooldown); f.swaps > most {
		t.Errorf("%d refused store calls, want at most %d", f.swaps, most)
	}
	f.writesRefused = false
	for range callCooldown / observeInterval {
		if !f.entries[host].Suspected {
			f.pass(observeInterval)
		}
	}
	f.pass(refuteTimeout - observeInterval)
	f.expectEntry(host, true)
	f.pass(2 * callCooldown)
	f.expectEntry(host, false)
}

// Guards against a started entry that, for the first 7 s, still counts copies which all
// other hosts exclude (inc1: "keep: 1 of 2 needed copies answered").
func TestStartedEntryExcludesSuspectedHosts(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	f.pass(observeInterval)
	f.stop(host)
	f.pass(suspectStorageAfter - observeInterval)
	if f.swaps > 0 {
		t.Error("host is marked before all others exclude it")
	}
	f.pass(2*observeInterval + observerSpread)
	f.run(HostEntry{Host: "entry-c", Zone: "c", Addr: "entry-c"})
	for name, want := range map[string]bool{"entry-c": true, "entry-a": false} {
		if got := f.running[name].suspectedByOthers(host); got != want {
			t.Errorf("%s excludes the suspected host by its mark: %t, want %t", name, got, want)
		}
	}
	started := f.running["entry-c"]
	reachable := started.reachable
	started.reachable = func(string) bool { return true }
	if started.suspectedByOthers(host) {
		t.Error("a suspected host is excluded before it could answer")
	}
	started.reachable = reachable
	delete(f.silent, host)
	if started.suspectedByOthers(host) {
		t.Error("a suspected host that answers is excluded")
	}
	f.silent["storage-b-1"] = time.Time{}
	if started.suspectedByOthers("storage-b-1") {
		t.Error("a host that isn't suspected is excluded")
	}
}

// Guards against store calls whose number grows with the number of entries.
func TestFewEntriesObserveOneStorageHost(t *testing.T) {
	f := newRegistryFixture(t)
	for i := range 40 {
		name := fmt.Sprintf("entry-c-%d", i)
		f.run(HostEntry{Host: name, Zone: "c", Addr: name})
	}
	f.stop("storage-a-1")
	f.pass(settled)
	f.expectEntry("storage-a-1", false)
	if f.swaps > 2*observersPerStorage {
		t.Errorf("%d calls to the store, want at most %d", f.swaps, 2*observersPerStorage)
	}
}

// Guards against a running host that stays without an entry: it was paused, or cut off from
// the store and all hosts, while the entry was removed. It learns of the mark or, after a list, of
// nothing.
func TestRunningHostRestoresItsRemovedEntry(t *testing.T) {
	const host = "storage-a-1"
	for name, learn := range map[string]func(f *registryFixture, r *registry){
		"mark":     func(f *registryFixture, r *registry) { r.set(f.entries[host], f.at[host]) },
		"no entry": func(_ *registryFixture, r *registry) { r.remove(host) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFixture(t)
			paused := f.running[host]
			f.stop(host)
			f.pass(settled)
			f.expectEntry(host, false)
			delete(f.silent, host)
			f.running[host] = paused
			learn(f, paused)
			f.pass(observeInterval)
			f.expectEntry(host, true)
			if got := len(f.members.copies()); got != 4 {
				t.Errorf("%d copies, want 4", got)
			}
			f.pass(settled)
			f.expectEntry(host, true)
		})
	}
}

// Guards against a late write of an earlier entry that puts a host which is being emptied
// back into use.
func TestLeavingHostStaysLeaving(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	before := f.entries[host]
	leaving := before
	leaving.Leaving = true
	f.running[host].setOwn(context.Background(), leaving)
	f.write(before)
	f.pass(writeVisibleWithin + observeInterval)
	if !f.entries[host].Leaving {
		t.Error("host isn't marked as leaving any more")
	}
}

// Guards against marks of removed storage hosts that fill the store: the oldest ones are deleted, and
// that of a host that returns is replaced by its entry.
func TestMarksOfRemovedHostsAreBounded(t *testing.T) {
	f := newRegistryFixture(t)
	marked := func() (out []string) {
		for host, e := range f.entries {
			if e.Removed {
				out = append(out, host)
			}
		}
		slices.Sort(out)
		return out
	}
	var hosts []string
	for i := range maxRemovedMarks + 2 {
		host := fmt.Sprintf("storage-a-1%02d", i)
		hosts = append(hosts, host)
		f.run(HostEntry{Host: host, Zone: "a", Addr: host, Ledger: true})
		f.stop(host)
		f.pass(settled)
	}
	f.pass(callCooldown)
	if got, want := marked(), hosts[2:]; !slices.Equal(got, want) {
		t.Errorf("marks of %v, want %v", got, want)
	}
	delete(f.silent, hosts[2])
	f.run(HostEntry{Host: hosts[2], Zone: "a", Addr: hosts[2], Ledger: true})
	if got, want := marked(), hosts[3:]; !slices.Equal(got, want) {
		t.Errorf("marks of %v after one host is back, want %v", got, want)
	}
	swaps := f.swaps
	f.pass(settled)
	if f.swaps > swaps {
		t.Errorf("%d calls to the store for marks within their bound, want none", f.swaps-swaps)
	}
}

// Guards against a mark that stays of an entry or of a host that has handed its records over.
func TestHostsWithoutRecordsLeaveNoMark(t *testing.T) {
	f := newRegistryFixture(t)
	f.run(HostEntry{Host: "entry-a-2", Zone: "a", Addr: "entry-a-2"})
	emptied := f.entries["storage-a-1"]
	emptied.Leaving, emptied.HandedOver = true, true
	f.running[emptied.Host].setOwn(context.Background(), emptied)
	for _, host := range []string{"entry-a-2", "storage-a-1"} {
		f.stop(host)
		f.pass(settled)
		if e, ok := f.entries[host]; ok {
			t.Errorf("entry of %s is %+v, want none", host, e)
		}
	}
}

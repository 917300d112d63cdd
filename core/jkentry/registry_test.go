package jkentry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// registryFixture is a fleet of registries with one store. Hosts in silent answer
// nobody, and those in apart don't reach the store.
type registryFixture struct {
	t        *testing.T
	timer    *jktimer.Service
	clock    *jktimer.Manual
	members  *members
	revision int64
	entries  map[string]HostEntry
	at       map[string]int64
	// running holds the processes that run, with the store's changes that they have.
	running map[string]*registry
	silent  map[string]time.Time
	apart   map[string]bool
	swaps   int
	// refused is set while the store answers reads only.
	refused bool
	removed []string
	// unheard are changes of the store that no host has heard of.
	unheard []func()
}

func newRegistryFixture(t *testing.T) *registryFixture {
	f := &registryFixture{
		t: t, entries: map[string]HostEntry{}, at: map[string]int64{}, running: map[string]*registry{},
		silent: map[string]time.Time{}, apart: map[string]bool{},
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

// run starts a host's process.
func (f *registryFixture) run(own HostEntry) {
	f.t.Helper()
	began := f.timer.Now()
	r := newRegistry(registryOptions{
		timer: f.timer, log: jklog.Discard(), own: own, observes: !own.Ledger,
		put: func(_ context.Context, e HostEntry) error { f.write(e); return nil },
		swap: func(_ context.Context, host string, next *HostEntry, revision int64) error {
			f.swaps++
			if f.refused {
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
		inTouch: func() bool { return !f.apart[own.Host] },
		heard: func(host string) (time.Time, bool) {
			if last, ok := f.silent[host]; ok && last.Before(began) {
				return time.Time{}, true
			} else if ok {
				return last, true
			}
			return f.timer.Now(), true
		},
		reachable: func(host string) bool { _, ok := f.silent[host]; return !ok },
		start:     func(call func()) { call() },
	})
	f.running[own.Host] = r
	for host, e := range f.entries {
		r.set(e, f.at[host])
	}
	r.announce(context.Background())
	f.hear()
}

func (f *registryFixture) write(e HostEntry) {
	f.revision++
	f.entries[e.Host], f.at[e.Host] = e, f.revision
	revision := f.revision
	f.tell(func(r *registry) { r.set(e, revision) }, func() { f.members.set(e) })
}

func (f *registryFixture) remove(host string) {
	f.revision++
	delete(f.entries, host)
	delete(f.at, host)
	f.removed = append(f.removed, host)
	f.tell(func(r *registry) { r.remove(host) }, func() { f.members.remove(host) })
}

// tell queues a change for all hosts that reach the store.
func (f *registryFixture) tell(each func(r *registry), members func()) {
	f.unheard = append(f.unheard, func() {
		members()
		for host, r := range f.running {
			if !f.apart[host] {
				each(r)
			}
		}
	})
}

func (f *registryFixture) hear() {
	for _, change := range f.unheard {
		change()
	}
	f.unheard = nil
}

// stop ends a host for good.
func (f *registryFixture) stop(host string) {
	delete(f.running, host)
	f.silent[host] = f.timer.Now()
}

// pass lets time pass on all hosts that run.
func (f *registryFixture) pass(d time.Duration) {
	for range int(d / registryEvery) {
		f.hear()
		f.clock.Advance(registryEvery)
		for _, r := range f.running {
			r.tick(context.Background())
		}
	}
	f.hear()
}

// settled exceeds all times of a removal.
const settled = removeAfter + answerTime + 2*observerSpread

func (f *registryFixture) expect(host string, present bool) {
	f.t.Helper()
	if _, ok := f.entries[host]; ok != present {
		f.t.Errorf("entry of %s present %t, want %t", host, ok, present)
	}
}

// Guards against entries of removed hosts that stay for good (inc1: four of five
// copies had to answer for a 404 while three lived).
func TestEntriesOfRemovedHostsGo(t *testing.T) {
	f := newRegistryFixture(t)
	if got := len(f.members.copies()); got != 4 {
		t.Fatalf("%d copies, want 4", got)
	}
	f.stop("storage-a-1")
	f.stop("storage-b-1")
	f.pass(removeAfter - registryEvery)
	f.expect("storage-a-1", true)
	f.pass(settled - removeAfter)
	f.expect("storage-a-1", false)
	f.expect("storage-b-1", false)
	if got := len(f.members.copies()); got != 2 {
		t.Errorf("%d copies, want the 2 that live", got)
	}
	if f.swaps > 2*2*observers {
		t.Errorf("%d calls to the store for two hosts", f.swaps)
	}
	f.pass(settled)
	if len(f.removed) != 2 {
		t.Errorf("removed %v, want the two hosts that are gone", f.removed)
	}
}

// Guards against the removal of hosts that are only out of reach for the observer.
func TestEntriesStayWhile(t *testing.T) {
	const host = "storage-a-1"
	for name, fault := range map[string]func(f *registryFixture){
		"the zone is cut off": func(f *registryFixture) {
			for _, other := range []string{"entry-a", "storage-a-1", "storage-a-2"} {
				f.stop(other)
			}
		},
		"the store is out of touch": func(f *registryFixture) {
			f.stop(host)
			f.apart["entry-a"], f.apart["entry-b"] = true, true
		},
		"the host lives and reaches the store": func(f *registryFixture) {
			f.silent[host] = f.timer.Now()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFixture(t)
			fault(f)
			f.pass(2 * settled)
			f.expect(host, true)
			if len(f.removed) > 0 {
				t.Errorf("removed %v", f.removed)
			}
			if _, lives := f.running[host]; !lives && f.swaps > 0 {
				t.Errorf("%d calls to the store, want none", f.swaps)
			}
		})
	}
}

// Guards against an observer that counts the time before its contact to the store or
// to the zone was back, in which the silent host was cut off as well.
func TestObservationStartsAnewAfterAFault(t *testing.T) {
	observed := []string{"entry-a", "entry-b"}
	for name, fault := range map[string]func(f *registryFixture){
		"store": func(f *registryFixture) {
			f.apart["entry-a"], f.apart["entry-b"] = true, true
			f.pass(registryEvery)
			clear(f.apart)
		},
		"zone": func(f *registryFixture) {
			f.silent["entry-a"], f.silent["storage-a-2"] = f.timer.Now(), f.timer.Now()
			f.pass(3 * registryEvery)
			delete(f.silent, "entry-a")
			delete(f.silent, "storage-a-2")
		},
		"restart": func(f *registryFixture) {
			for _, host := range observed {
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
			f.pass(removeAfter - registryEvery)
			f.expect("storage-a-1", true)
			fault(f)
			f.pass(removeAfter - registryEvery)
			f.expect("storage-a-1", true)
			f.pass(2 * settled)
			f.expect("storage-a-1", false)
		})
	}
}

// Guards against a removal by an observer that was itself paused: the host may have
// answered meanwhile.
func TestPauseOfTheObserverIsNotSilence(t *testing.T) {
	f := newRegistryFixture(t)
	f.silent["storage-a-1"] = f.timer.Now()
	f.pass(suspectStorageAfter - 2*registryEvery)
	f.clock.Advance(time.Minute)
	f.pass(registryEvery)
	if f.swaps != 0 {
		t.Errorf("%d calls to the store, want none", f.swaps)
	}
}

// Guards against a removal before a host that lives could answer the mark, after the
// store had refused to write it for long.
func TestMarkCanBeAnswered(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	f.stop(host)
	f.refused = true
	f.pass(2 * settled)
	if most := observers * int(2*settled/restAfterCall); f.swaps > most {
		t.Errorf("%d calls that were refused, want at most %d", f.swaps, most)
	}
	f.refused = false
	for range restAfterCall / registryEvery {
		if !f.entries[host].Suspected {
			f.pass(registryEvery)
		}
	}
	f.pass(answerTime - registryEvery)
	f.expect(host, true)
	f.pass(2 * restAfterCall)
	f.expect(host, false)
}

// Guards against an entry that counts copies which all others pass over, for the 7 s
// after its start (inc1: "keep: 1 of 2 needed copies answered").
func TestStartedEntryPassesMarkedHostsOver(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	f.pass(registryEvery)
	f.stop(host)
	f.pass(suspectStorageAfter - registryEvery)
	if f.swaps > 0 {
		t.Error("host is marked before all others pass it over")
	}
	f.pass(2*registryEvery + observerSpread)
	f.run(HostEntry{Host: "entry-c", Zone: "c", Addr: "entry-c"})
	for name, want := range map[string]bool{"entry-c": true, "entry-a": false} {
		if got := f.running[name].isGone(host); got != want {
			t.Errorf("%s takes the mark for its own silence %t, want %t", name, got, want)
		}
	}
	started := f.running["entry-c"]
	reachable := started.reachable
	started.reachable = func(string) bool { return true }
	if started.isGone(host) {
		t.Error("a marked host is passed over before it could answer")
	}
	started.reachable = reachable
	delete(f.silent, host)
	if started.isGone(host) {
		t.Error("a marked host that answers is passed over")
	}
	f.silent["storage-b-1"] = time.Time{}
	if started.isGone("storage-b-1") {
		t.Error("a host without mark is passed over")
	}
}

// Guards against calls to the store that grow with the entries.
func TestFewEntriesJudgeAStorageHost(t *testing.T) {
	f := newRegistryFixture(t)
	for i := range 40 {
		name := fmt.Sprintf("entry-c-%d", i)
		f.run(HostEntry{Host: name, Zone: "c", Addr: name})
	}
	f.stop("storage-a-1")
	f.pass(settled)
	f.expect("storage-a-1", false)
	if f.swaps > 2*observers {
		t.Errorf("%d calls to the store, want at most %d", f.swaps, 2*observers)
	}
}

// Guards against a host that lives and stays without an entry: it was paused or cut
// off from the store and all others while its entry was removed.
func TestRemovedHostThatLivesIsBackAtOnce(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	paused := f.running[host]
	f.stop(host)
	f.pass(settled)
	f.expect(host, false)
	delete(f.silent, host)
	f.running[host] = paused
	paused.remove(host)
	f.pass(registryEvery)
	f.expect(host, true)
	if got := len(f.members.copies()); got != 4 {
		t.Errorf("%d copies, want 4", got)
	}
	f.pass(settled)
	f.expect(host, true)
}

// Guards against a late write of an earlier entry that takes a host that is being
// emptied back into use.
func TestLeavingHostStaysLeaving(t *testing.T) {
	const host = "storage-a-1"
	f := newRegistryFixture(t)
	before := f.entries[host]
	leaving := before
	leaving.Leaving = true
	f.running[host].change(context.Background(), leaving)
	f.write(before)
	f.pass(announcedHeard + registryEvery)
	if !f.entries[host].Leaving {
		t.Error("host counts as staying")
	}
}

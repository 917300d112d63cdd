package jkentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"jasmineknot.example/core/jkfollow"
)

// retireWithin bounds the time in which a host is emptied in these tests.
const retireWithin = 3 * time.Second

// startRetire empties a host and returns the channel on which it is reported as emptied.
func startRetire(t *testing.T, s runningStorage, hosts int) <-chan struct{} {
	t.Helper()
	completed := make(chan struct{})
	s.platform.PutRetireStatus = func(_ context.Context, _ string, isCompleted bool) error {
		if isCompleted {
			close(completed)
		}
		return nil
	}
	eventually(t, "listed hosts", func() bool { return len(s.otherCopies()) == hosts })
	go s.retire(s.running, time.Minute)
	return completed
}

// awaitEmptied waits until a host is reported as emptied and checks that each of its turns is on
// two other disks then.
func awaitEmptied(t *testing.T, completed <-chan struct{}, turns int, others ...runningStorage) {
	t.Helper()
	select {
	case <-completed:
	case <-time.After(retireWithin):
		t.Fatalf("not emptied within %s", retireWithin)
	}
	copies := 0
	for _, s := range others {
		copies += s.turns()
	}
	if copies < 2*turns {
		t.Errorf("%d turns have %d copies on other hosts, want two each", turns, copies)
	}
}

// Guards against turns that are lost with the next disk after a host was emptied: other hosts
// took its records, but one of them only each.
func TestEmptiedHostLeavesTurnsOnEnoughDisks(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1", "b-2", "c-1")
	last := f.settings("c-1", true)
	retiring := f.run(f.source("a-1"))
	first, second := f.run(f.settings("b-1", true)), f.run(f.settings("b-2", true))
	completed := startRetire(t, retiring, 3)
	time.Sleep(leavingPropagation + 2*catchUpRetryInterval)
	awaitEmptied(t, completed, retiring.turns(), first, second, f.run(last))
}

// Guards against the same loss if the host learns late from the store that it is leaving, and
// still counts itself among the hosts that keep its programs.
func TestEmptiedHostLeavesItsProgramsToItsZone(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "a-2", "b-1", "c-1")
	settings, p := f.source("a-1"), f.store.platform()
	p.PutHost = func(context.Context, HostEntry) error { return nil }
	retiring := f.runOn(settings, p)
	neighbour, other := f.run(f.settings("a-2", true)), f.run(f.settings("b-1", true))
	completed := startRetire(t, retiring, 3)
	awaitEmptied(t, completed, retiring.turns(), neighbour, other)
}

// Guards against an emptied host for whose records others wait after it was removed.
func TestEmptiedHostSaysThatItHasHandedOver(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1", "c-1")
	retiring := f.run(f.source("a-1"))
	f.run(f.settings("b-1", true))
	f.run(f.settings("c-1", true))
	completed := make(chan HostEntry, 1)
	retiring.platform.PutRetireStatus = func(_ context.Context, host string, isCompleted bool) error {
		if isCompleted {
			completed <- f.entry(host)
		}
		return nil
	}
	eventually(t, "listed hosts", func() bool { return len(retiring.otherCopies()) == 2 })
	go retiring.retire(retiring.running, time.Minute)
	select {
	case e := <-completed:
		if !e.Leaving || !e.HandedOver {
			t.Errorf("entry is %+v when the host is reported as emptied, want leaving and handed over", e)
		}
	case <-time.After(3 * time.Second):
		t.Error("not emptied within 3s")
	}
}

// Guards against turns that are lost with a host that was emptied: an entry that learned late of
// its leaving went on to write to it after it had handed its records over.
func TestEmptiedHostTakesNoMoreTurns(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1", "c-1")
	retiring := f.run(f.source("a-1"))
	first, second := f.run(f.settings("b-1", true)), f.run(f.settings("c-1", true))
	completed := startRetire(t, retiring, 2)
	written := 0
	for isCompleted := false; !isCompleted; {
		select {
		case <-completed:
			isCompleted = true
		case <-time.After(10 * time.Millisecond):
		}
		if retiring.tryWrite(fmt.Sprint("late", written)) == nil {
			written++
		}
	}
	if written == 0 {
		t.Error("no turn was written while the host was emptied")
	}
	for _, s := range []runningStorage{first, second} {
		if want := recoveryPrograms + written; s.turns() != want {
			t.Errorf("%s has %d turns, want %d", s.settings.Host, s.turns(), want)
		}
	}
}

// retirePlatform is the platform of a fleet whose store may ask to empty host a-1.
func (f *recoveryFixture) retirePlatform() Platform {
	p := f.store.platform()
	decode := p.Decode
	p.Decode = func(item jkfollow.Item) (Change, error) {
		if item.Key == "retire" {
			return Change{RetireHost: "a-1", RetireWithin: time.Minute}, nil
		}
		return decode(item)
	}
	p.PutRetireStatus = func(context.Context, string, bool) error { return nil }
	return p
}

// Guards against turns that are lost with a host that was emptied: it was restarted before it was
// removed, and took turns again. A host that isn't to be emptied any more takes them.
func TestEmptiedHostTakesNoTurnsAfterARestart(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1", "c-1")
	settings := f.source("a-1")
	f.runOn(f.settings("b-1", true), f.retirePlatform())
	f.runOn(f.settings("c-1", true), f.retirePlatform())
	retiring := f.runOn(settings, f.retirePlatform())
	eventually(t, "listed hosts", func() bool { return len(retiring.otherCopies()) == 2 })
	f.put("retire", &HostEntry{})
	eventually(t, "emptied host", func() bool { return f.entry("a-1").HandedOver })
	retiring.stop()
	f.hold("a-1", settings.Inner)
	restarted := f.runOn(settings, f.retirePlatform())
	for i := 0; i < 20; i++ {
		if err := restarted.tryWrite(fmt.Sprint("late", i)); err == nil {
			t.Fatal("the emptied host takes a turn after a restart")
		}
		time.Sleep(50 * time.Millisecond)
	}
	if e := f.entry("a-1"); !e.Leaving {
		t.Errorf("entry is %+v after a restart, want a leaving host", e)
	}
	restarted.stop()
	f.hold("a-1", settings.Inner)
	f.put("retire", nil)
	kept := f.runOn(settings, f.store.platform())
	eventually(t, "turn on a host that isn't emptied", func() bool { return kept.tryWrite("later") == nil })
	eventually(t, "entry of a host that isn't leaving", func() bool { return !f.entry("a-1").Leaving })
}

// Guards against a host that is out of use for good because it can't be emptied, so that all turns
// are on the one disk that is left (review/2): it leaves once enough others can take its records.
func TestHostThatCannotBeEmptiedStaysInUse(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1")
	asked, other := f.run(f.source("a-1")), f.run(f.settings("b-1", true))
	completed := startRetire(t, asked, 1)
	time.Sleep(leavingPropagation + 2*catchUpRetryInterval)
	if f.entry("a-1").Leaving {
		t.Error("the host is leaving, although no two others can take its records")
	}
	if n := len(other.members.copies()); n != 2 {
		t.Errorf("%d copies are in use, want both", n)
	}
	if err := asked.tryWrite("late"); err != nil {
		t.Errorf("a turn isn't taken: %v", err)
	}
	f.add("c-1")
	added := f.entries["c-1"]
	f.put("c-1", &added)
	awaitEmptied(t, completed, asked.turns(), other, f.run(f.settings("c-1", false)))
	if !f.entry("a-1").Leaving {
		t.Error("the host was emptied and isn't leaving")
	}
}

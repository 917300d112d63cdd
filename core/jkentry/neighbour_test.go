package jkentry

import (
	"testing"
	"time"

	"jasmineknot.example/core/jkaccount"
)

// heldBy returns a function that reports whether a host holds a program among the hosts of a fleet.
func (f *recoveryFixture) heldBy(host string) func(program string) bool {
	var copies []jkaccount.Copy
	for _, e := range f.entries {
		copies = append(copies, jkaccount.Copy{Host: e.Host, Addr: e.Addr, Zone: e.Zone})
	}
	return jkaccount.ReplicaFilter(host, copies, func(string) bool { return false })
}

// Guards against a copy with a lost disk that fills its memory with the programs of all hosts of its
// zone, although these have them.
func TestCopyDoesNotGetWhatItsNeighboursHave(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "a-2", "b-1")
	neighbour, other := f.run(f.settings("a-1", true)), f.run(f.settings("b-1", true))
	// Until then they send the copy all programs.
	eventually(t, "listed hosts", func() bool { return len(neighbour.otherCopies()) == 2 && len(other.otherCopies()) == 2 })
	neighbour.writeHeld(t, recoveryPrograms, f.heldBy("a-1"))
	other.write(t, recoveryPrograms)
	want := recoveryPrograms - neighbour.turns()
	wiped := f.run(f.settings("a-2", false))
	eventually(t, "certain copy", wiped.vault.Certain)
	time.Sleep(2 * catchUpRetryInterval)
	if wiped.turns() != want {
		t.Errorf("%d turns, want the %d of the copy's own programs", wiped.turns(), want)
	}
}

// Guards against a copy with a lost disk that is certain without the records of a host that is down
// with its disk, although that host's zone couldn't take them over: the disk was lost before.
func TestCopyWaitsForASilentHostThatWasNotTakenOver(t *testing.T) {
	f := newRecoveryFixture(t, 1, "a-1", "b-1", "b-2", "c-1")
	down, successor := f.source("b-1"), f.run(f.source("b-2"))
	f.run(f.settings("c-1", true))
	f.suspect("b-1")
	wiped := f.run(f.settings("a-1", false))
	staysUncertain(t, wiped, successor.turns())
	time.Sleep(2 * time.Second)
	if wiped.vault.Certain() {
		t.Fatalf("the copy is certain with %d of %d turns, the others are on %s", wiped.turns(), recoveryPrograms, down.Host)
	}
	f.run(down)
	awaitComplete(t, wiped)
}

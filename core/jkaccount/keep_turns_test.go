package jkaccount

import (
	"testing"
)

// Guards against an entry that counts copies in zones which have just become silent, or refuses turns
// that the remaining copies could hold.
func TestCanKeepTurnsCountsZonesThatAnswer(t *testing.T) {
	f := newFixture(t)
	silent := map[string]bool{}
	canKeep := func() bool { return f.client.CanKeepTurns(func(zone string) bool { return !silent[zone] }) }
	if !canKeep() {
		t.Error("turns can't be kept although all copies answer")
	}
	silent["b"] = true
	if !canKeep() {
		t.Error("turns can't be kept on the two disks that are left")
	}
	silent["c"] = true
	if canKeep() {
		t.Error("turns can be kept on one disk")
	}
	f.copies = append(f.copies, Copy{Host: "a-2", Addr: "127.0.0.1:1", Zone: "a"})
	if !canKeep() {
		t.Error("turns can't be kept on two disks of the own zone")
	}
	f.lost["a-2"] = true
	if canKeep() {
		t.Error("a copy that is down counts")
	}
}

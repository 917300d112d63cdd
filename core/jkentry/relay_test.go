package jkentry

import (
	"fmt"
	"testing"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against an entry that finds no way to an endpoint for as long as the few entries that it would
// ask are cut off from it too, while others reach it.
func TestEachEntryMayRelay(t *testing.T) {
	const others = 12
	timer, _ := jktimer.NewManual(stopBegins)
	e, err := NewEntry(Settings{Host: "entry-a", Zone: "a", Zones: []string{"a", "b"}, Grace: stopGrace}.listening(t),
		stopTestPlatform(nil), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	for i := range others {
		host := fmt.Sprint("entry-b-", i)
		e.members.hosts[host] = HostEntry{Host: host, Zone: "b", Addr: host + ":1"}
	}
	if got := len(e.relaysFor("e")); got != others {
		t.Errorf("%d of %d entries may relay", got, others)
	}
}

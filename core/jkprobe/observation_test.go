package jkprobe

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the largest duration as the time since a zone that has always been in reach was last out of it.
func ExampleObservation() {
	never := Observation{reachable: true, zoneReachable: true, silent: 71 * time.Millisecond}
	fmt.Println(never)
	cut := Observation{silent: 1250 * time.Millisecond, zoneFor: 200 * time.Millisecond}
	fmt.Println(cut)
	// Output:
	// reachable last_answer=71ms zone=reachable since=always
	// unreachable last_answer=1.25s zone=unreachable since=200ms
}

func TestObservationOfAZoneThatWasAlwaysInReach(t *testing.T) {
	f := newFleet(t)
	first := f.up["a1"]
	// The whole system starts with this host.
	first.startedAt, first.zoneChangedAt = time.Time{}, map[string]time.Time{}
	if got := first.Observe("b1").zoneFor; got != 0 {
		t.Errorf("the zone changed %s ago, want never", got)
	}
}

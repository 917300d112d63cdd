package jkrelay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against endpoints that are reached through relays without need, or for longer than needed,
// and against requests that wait where no way is left.
func TestWays(t *testing.T) {
	const endpoints = 12
	datadriven.RunTest(t, "testdata/ways", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		one := newTable()
		for _, line := range strings.Split(d.Input, "\n") {
			var at int
			var event, addr string
			// The address is left out where an event has none.
			if n, err := fmt.Sscan(line, &at, &event, &addr); n < 2 {
				t.Fatalf("%q: %v", line, err)
			}
			now := time.Unix(100, 0).Add(time.Duration(at) * time.Millisecond)
			switch event {
			case "reached":
				one.reached(now, addr)
			case "connected":
				one.connected(now)
			case "missed":
				one.missed(now, addr)
			case "removed":
				one.forget(addr)
			case "joined":
				one.joined(now, addr)
			case "lost":
				one.notJoined(now, addr, ResultNoWay)
			case "checked":
				one.checkedRelays(relayCheck(addr), endpoints)
			case "choose":
				fmt.Fprintf(&out, "%d %s: %s\n", at, addr, one.choose(addr, endpoints))
			case "relay":
				fmt.Fprintf(&out, "%d relay %s: %t\n", at, addr, one.mayRelay(now, addr))
			case "due":
				fmt.Fprintf(&out, "%d due %v\n", at, one.due(now, endpoints))
			}
		}
		return out.String()
	})
}

package jkentry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a copy that grants half of a budget in a partition although it lacks what
// the others granted while it was down, or has dropped it, and against one that grants nothing in any partition.
func TestCopyIsBehind(t *testing.T) {
	var s *copySources
	run := func(line string) string {
		fields := strings.Fields(line)
		verb, hosts := fields[0], fields[1:]
		switch verb {
		case "behind":
			return fmt.Sprintln(s.behind())
		case "apart":
			return fmt.Sprintln(s.isApart(isSettledBut(hosts)))
		case "dropped":
			s.dropped(isSettledBut(hosts))
		case "add":
			s.add(HostEntry{Host: hosts[0], Zone: hosts[0][:1]}, len(hosts) > 1)
		case "copied":
			s.copied(hosts[0], s.begin())
		case "returned":
			s.returned(hosts[0], time.Unix(1000, 0), false)
		case "missed":
			s.missed(hosts[0])
		case "remove":
			s.remove(hosts[0])
		default:
			t.Fatalf("unknown step %q", line)
		}
		return ""
	}
	datadriven.RunTest(t, "testdata/behind", func(t *testing.T, d *datadriven.TestData) string {
		lines := strings.Split(d.Input, "\n")
		if d.Cmd == "start" {
			var zone string
			var zones int
			d.ScanArgs(t, "zone", &zone)
			d.ScanArgs(t, "zones", &zones)
			s = newCopySources(zone, zones)
		} else {
			lines = append([]string{strings.Join(append([]string{d.Cmd}, argNames(d)...), " ")}, lines...)
		}
		out := ""
		for _, line := range lines {
			if line != "" {
				out += run(line)
			}
		}
		return out
	})
}

func isSettledBut(zones []string) func(zone string) bool {
	return func(zone string) bool { return !slices.Contains(zones, zone) }
}

// argNames returns the arguments of a command without values.
func argNames(d *datadriven.TestData) []string {
	var out []string
	for _, arg := range d.CmdArgs {
		out = append(out, arg.Key)
	}
	return out
}

// Guards against a copy in a site of two zones that isn't behind though it has copied nothing since its start.
func TestCopyOfTwoZonesIsBehind(t *testing.T) {
	s := newCopySources("a", 2)
	s.add(HostEntry{Host: "b1", Zone: "b"}, true)
	if !s.behind() {
		t.Error("not behind before the other zone was copied")
	}
	s.copied("b1", s.begin())
	if s.behind() {
		t.Error("behind after the other zone was copied")
	}
}

package jkentry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against a copy that grants half of a budget in a partition although it lacks what
// the others granted while it was down, and against one that grants nothing in any partition.
func TestCopyIsBehind(t *testing.T) {
	var s *copySources
	unreachable := map[string]bool{}
	run := func(line string) string {
		fields := strings.Fields(line)
		verb, hosts := fields[0], fields[1:]
		switch verb {
		case "behind":
			return fmt.Sprintln(s.behind(func(host string) bool { return !unreachable[host] }))
		case "add":
			s.add(HostEntry{Host: hosts[0], Zone: hosts[0][:1]}, len(hosts) > 1)
		case "copied":
			s.copied(hosts[0])
		case "returned":
			s.returned(hosts[0])
		case "remove":
			s.remove(hosts[0])
		case "unreachable", "reachable":
			for _, host := range hosts {
				unreachable[host] = verb == "unreachable"
			}
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
			s, unreachable = newCopySources(zone, zones), map[string]bool{}
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

// argNames returns the arguments of a command without values.
func argNames(d *datadriven.TestData) []string {
	var out []string
	for _, arg := range d.CmdArgs {
		out = append(out, arg.Key)
	}
	return out
}

package jkentry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// rotationFleet is a fleet without a network: hosts hear from each other at each step unless a cut or
// a stop is between them.
type rotationFleet struct {
	timer   *jktimer.Service
	clock   *jktimer.Manual
	hosts   []HostEntry
	entries []*rotationEntry
	// side is the part of the network in which a host is, by its name or that of its zone.
	side map[string]string
	down map[string]bool
	// route is set if a route keeps turns, and settled if the entries know all hosts.
	route, settled bool
}

// rotationEntry is an entry with what it has heard from other hosts.
type rotationEntry struct {
	*rotation
	self    HostEntry
	heardAt map[string]time.Time
	// paused is set while the process doesn't run, and resumedAt is when it last did again.
	paused    bool
	resumedAt time.Time
	// changes counts the changes of its decision.
	changes int
}

// These are the times of package jkprobe.
const (
	fleetStep        = 50 * time.Millisecond
	fleetSilentAfter = 450 * time.Millisecond
	fleetUnreachable = 800 * time.Millisecond
)

func newRotationFleet(t *testing.T, d *datadriven.TestData) *rotationFleet {
	f := &rotationFleet{side: map[string]string{}, down: map[string]bool{}, route: !d.HasArg("plain"), settled: !d.HasArg("starting")}
	f.timer, f.clock = jktimer.NewManual(time.Unix(1000, 0))
	zones := 0
	for _, arg := range d.CmdArgs {
		if len(arg.Key) != 1 {
			continue
		}
		var entries, disks int
		d.ScanArgs(t, arg.Key, &entries, &disks)
		zones++
		for i := range entries {
			f.hosts = append(f.hosts, HostEntry{Host: fmt.Sprintf("%s%d", arg.Key, i+1), Zone: arg.Key})
		}
		for i := range disks {
			f.hosts = append(f.hosts, HostEntry{Host: fmt.Sprintf("%s-disk%d", arg.Key, i+1), Zone: arg.Key, Ledger: true})
		}
	}
	for _, h := range f.hosts {
		if !h.Ledger {
			f.addEntry(h, zones)
		}
	}
	return f
}

func (f *rotationFleet) addEntry(self HostEntry, zones int) {
	e := &rotationEntry{self: self, heardAt: map[string]time.Time{}}
	m := newMembers(f.timer)
	for _, h := range f.hosts {
		m.set(h)
		e.heardAt[h.Host] = f.timer.Now()
	}
	silentFor := func(host string) time.Duration { return f.timer.Now().Sub(e.heardAt[host]) }
	client := jkaccount.NewClient(jkaccount.Options{
		Timer: f.timer, Log: jklog.Discard(), Zone: self.Zone, MaxLostDisks: 2, ZoneCount: zones, Copies: m.copies,
		MembersSettled: func() bool { return f.settled }, Paused: func() bool { return f.isUncertain(e) },
		Reachable:      func(host string) bool { return silentFor(host) <= fleetUnreachable },
		UnreachableFor: func(host string) time.Duration { return max(0, silentFor(host)-fleetUnreachable) },
		ZoneReachable: func(zone string) bool {
			return zone == self.Zone || f.silence(e, zone) <= fleetUnreachable+zoneExcludedAfter
		},
		ZoneSettled: func(zone string) bool { return zone == self.Zone || f.silence(e, zone) <= fleetUnreachable },
	})
	e.rotation = newRotation(rotationOptions{
		log: jklog.Discard(), host: self.Host, zone: self.Zone, now: f.timer.Now, members: m, lostDisks: 2,
		keepsTurns: func() bool { return f.route }, settled: func() bool { return f.settled },
		silentZones: func() (map[string]bool, bool) {
			silent := map[string]bool{}
			for _, h := range f.hosts {
				if _, known := silent[h.Zone]; !known {
					silent[h.Zone] = f.silence(e, h.Zone) >= fleetSilentAfter
				}
			}
			return silent, f.isUncertain(e)
		},
		canKeepTurns: client.CanKeepTurns,
	})
	f.entries = append(f.entries, e)
}

// silence returns the time since an entry heard from any other host of a zone.
func (f *rotationFleet) silence(e *rotationEntry, zone string) time.Duration {
	least := time.Hour
	for _, h := range f.hosts {
		if h.Zone == zone && h.Host != e.self.Host {
			least = min(least, f.timer.Now().Sub(e.heardAt[h.Host]))
		}
	}
	return least
}

func (f *rotationFleet) isUncertain(e *rotationEntry) bool {
	return f.timer.Now().Sub(e.resumedAt) < fleetUnreachable
}

func (f *rotationFleet) sideOf(h HostEntry) string { return f.side[h.Zone] + f.side[h.Host] }

// run lets the fleet run for a time. Entries decide every 200 ms, at different moments.
func (f *rotationFleet) run(d time.Duration) {
	for range d / fleetStep {
		f.clock.Advance(fleetStep)
		now := f.timer.Now()
		for i, e := range f.entries {
			if e.paused || f.down[e.self.Host] {
				continue
			}
			if (now.UnixMilli()/fleetStep.Milliseconds()+int64(i))%4 == 0 {
				was := e.isOut()
				if e.decide() != was {
					e.changes++
				}
			}
			for _, h := range f.hosts {
				if !f.down[h.Host] && f.sideOf(h) == f.sideOf(e.self) {
					e.heardAt[h.Host] = now
				}
			}
		}
	}
}

// describe returns the entries that are out, and the most changes of a single entry.
func (f *rotationFleet) describe() string {
	out, changes := map[string]int{}, 0
	for _, e := range f.entries {
		if e.isOut() {
			out[e.self.Zone]++
		}
		changes = max(changes, e.changes)
	}
	if len(out) == 0 {
		return fmt.Sprintf("out: none, changes: %d\n", changes)
	}
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(out)) {
		zones = append(zones, fmt.Sprintf("%s=%d", zone, out[zone]))
	}
	return fmt.Sprintf("out: %s, changes: %d\n", strings.Join(zones, " "), changes)
}

// Guards against entries of a zone that can't keep turns and that stay in rotation, so that their
// callers' programs fail; against entries that leave where no other zone is better off; and against
// readiness that flaps. The format is described in testdata/rotation.
func TestRotation(t *testing.T) {
	var f *rotationFleet
	datadriven.RunTest(t, "testdata/rotation", func(t *testing.T, d *datadriven.TestData) string {
		names := func(yield func(string)) {
			for _, arg := range d.CmdArgs {
				yield(arg.Key)
			}
		}
		switch d.Cmd {
		case "fleet":
			f = newRotationFleet(t, d)
			f.run(time.Second)
		case "cut":
			names(func(name string) { f.side[name] = d.Cmd + d.CmdArgs[0].Key })
		case "isolate":
			names(func(name string) { f.side[name] = d.Cmd + name })
		case "heal":
			f.side = map[string]string{}
		case "stop", "start":
			names(func(name string) { f.down[name] = d.Cmd == "stop" })
		case "pause", "resume":
			names(func(name string) { f.pause(name, d.Cmd == "pause") })
		case "starve":
			f.starve(d.CmdArgs[0].Key)
		case "run":
			period, err := time.ParseDuration(d.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			f.run(period)
			return f.describe()
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return ""
	})
}

func (f *rotationFleet) entry(name string) *rotationEntry {
	i := slices.IndexFunc(f.entries, func(e *rotationEntry) bool { return e.self.Host == name })
	return f.entries[i]
}

// pause stops or continues an entry's process.
func (f *rotationFleet) pause(name string, paused bool) {
	e := f.entry(name)
	e.paused, e.resumedAt = paused, f.timer.Now()
}

// starve makes an entry short of processor time for good, so that its view is always uncertain.
func (f *rotationFleet) starve(name string) { f.entry(name).resumedAt = f.timer.Now().Add(time.Hour) }

package jkcrash

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// Guards against a content that goes on because its three crashes were seen by three
// hosts, and against one crash that counts twice because two hosts saw it.
func TestCrashesOfAllHostsCountOnce(t *testing.T) {
	hosts := []*Table{New(8), New(8), New(8)}
	hosts[0].Crashed(start, 1, 100)
	hosts[1].Crashed(start, 1, 100)
	hosts[1].Crashed(start, 1, 200)
	for _, from := range hosts {
		for _, to := range hosts {
			to.Merge(start, from.Export(start, 8))
		}
	}
	if left := hosts[0].Refused(start, 1); left != 0 {
		t.Fatalf("refused for %s after two crashes", left)
	}
	hosts[2].Crashed(start, 1, 300)
	if fresh := hosts[0].Merge(start, hosts[2].Export(start, 8)); !slices.Equal(fresh, []Key{1}) {
		t.Errorf("newly refused %v, want content 1", fresh)
	}
	if left := hosts[0].Refused(start, 1); left != minQuarantine {
		t.Errorf("refused for %s, want %s", left, minQuarantine)
	}
}

// Guards against bystanders that are refused: a content that was served is cleared on all
// hosts, whatever the order in which they hear of it.
func TestServedContentIsClearedEverywhere(t *testing.T) {
	a, b := New(8), New(8)
	for life := Life(1); life <= 3; life++ {
		a.Crashed(start, 7, life)
	}
	b.Merge(start, a.Export(start, 8))
	if !a.Served(7) {
		t.Fatal("nothing to clear")
	}
	for range 2 {
		b.Merge(start, a.Export(start, 8))
		a.Merge(start, b.Export(start, 8))
	}
	for _, host := range []*Table{a, b} {
		if left := host.Refused(start, 7); left != 0 {
			t.Errorf("refused for %s though it was served", left)
		}
	}
}

// Guards against a quarantine that never ends, and against one that doesn't grow for a
// content that goes on crashing endpoints.
func TestQuarantineEndsAndGrows(t *testing.T) {
	table, now := New(8), start
	for life := Life(1); life <= 3; life++ {
		table.Crashed(now, 7, life)
	}
	for want := minQuarantine; want <= maxQuarantine; want *= 2 {
		if left := table.Refused(now, 7); left != want {
			t.Fatalf("refused for %s, want %s", left, want)
		}
		now = now.Add(want)
		if left := table.Refused(now, 7); left != 0 {
			t.Fatalf("refused for %s after the end", left)
		}
		table.Expire(now)
		table.Crashed(now, 7, Life(1000+want))
	}
}

// Guards against hosts that disagree for good: messages may be lost, repeated and
// reordered, and once all have been exchanged every host refuses the same contents.
func TestHostsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Table{New(64), New(64), New(64)}
		var sent [][]Suspect
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			key := Key(rapid.IntRange(1, 3).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				host.Crashed(start, key, Life(rapid.IntRange(1, 5).Draw(t, "life")))
			case 1:
				host.Served(key)
			case 2:
				sent = append(sent, host.Export(start, 2))
			case 3:
				if len(sent) > 0 {
					host.Merge(start, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")])
				}
			}
		}
		for range 2 {
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(start, from.Export(start, 64))
				}
			}
		}
		for key := Key(1); key <= 3; key++ {
			want := hosts[0].Refused(start, key)
			for i, host := range hosts {
				if got := host.Refused(start, key); got != want {
					t.Fatalf("host %d refuses content %d for %s, host 0 for %s", i, key, got, want)
				}
			}
		}
	})
}

package jkcrash

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// crashAt returns the end of an endpoint under a content that was sent to it shortly
// before.
func crashAt(life Life, endedAt time.Time) Crash {
	return Crash{Life: life, SentAt: endedAt.Add(-10 * time.Millisecond), EndedAt: endedAt}
}

// Guards against a content that goes on because its three crashes were seen by three
// hosts, and against one crash that counts twice because two hosts saw it.
func TestCrashesOfAllHostsCountOnce(t *testing.T) {
	hosts := []*Table{New(8), New(8), New(8)}
	now := start.Add(2 * time.Second)
	hosts[0].Crashed(1, crashAt(100, start))
	hosts[1].Crashed(1, crashAt(100, start))
	hosts[1].Crashed(1, crashAt(200, start.Add(time.Second)))
	for _, from := range hosts {
		for _, to := range hosts {
			to.Merge(now, from.Export(now, 8))
		}
	}
	if left := hosts[0].Refused(now, 1); left != 0 {
		t.Fatalf("refused for %s after two crashes", left)
	}
	hosts[2].Crashed(1, crashAt(300, start.Add(2*time.Second)))
	if fresh := hosts[0].Merge(now, hosts[2].Export(now, 8)); !slices.Equal(fresh, []Key{1}) {
		t.Errorf("newly refused %v, want content 1", fresh)
	}
	if left := hosts[0].Refused(now, 1); left != minQuarantine {
		t.Errorf("refused for %s, want %s", left, minQuarantine)
	}
}

// Guards against bystanders that are refused: a content that was served is cleared on all
// hosts, whatever the order in which they hear of it.
func TestServedContentIsClearedEverywhere(t *testing.T) {
	a, b := New(8), New(8)
	for life := Life(1); life <= 3; life++ {
		a.Crashed(7, crashAt(life, start.Add(time.Duration(life)*time.Second-4*time.Second)))
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
		table.Crashed(7, crashAt(life, now.Add(time.Duration(life)*time.Second-3*time.Second)))
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
		table.Crashed(7, crashAt(Life(1000+want), now))
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
				life := Life(rapid.IntRange(1, 5).Draw(t, "life"))
				host.Crashed(key, crashAt(life, start.Add(-time.Duration(life)*time.Second)))
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

// Guards against contents that many callers send and that are refused since several endpoints
// that ran them ended at the same moment.
func TestEndpointsThatEndTogetherCountOnce(t *testing.T) {
	table := New(8)
	for life := Life(1); life <= 5; life++ {
		table.Crashed(7, Crash{Life: life, SentAt: start.Add(-time.Duration(life) * 10 * time.Millisecond), EndedAt: start.Add(time.Duration(life) * time.Millisecond)})
	}
	now := start.Add(time.Second)
	if left := table.Refused(now, 7); left != 0 {
		t.Errorf("refused for %s after one moment in which endpoints ended", left)
	}
	table.Crashed(7, crashAt(10, now))
	if n, _ := table.Crashed(7, crashAt(11, now.Add(time.Second))); n != 3 {
		t.Errorf("%d crashes count, want 3", n)
	}
}

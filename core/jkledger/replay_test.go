package jkledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against kept turns and spent tokens that a restart forgets, and against ended ones that
// it keeps: a ledger that is read from its log has what the processes before it had to keep, while
// the clock was set back and forth by up to five seconds and the log was compacted.
func TestReplayKeepsWhatIsWithinItsRetention(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		folder := t.TempDir()
		ledger, now := New(), time.Unix(1e9, 0)
		skew := time.Duration(0)
		retention := time.Duration(rapid.IntRange(10, 30).Draw(rt, "retention")) * time.Second
		// running is the ledger of the process that writes the log.
		var running *Ledger
		var log *Log
		write := func() {
			if err := log.Write(log.TakeBuffer()); err != nil {
				rt.Fatal(err)
			}
		}
		restart := func() {
			if log != nil {
				write()
				if err := log.Close(); err != nil {
					rt.Fatal(err)
				}
			}
			running = New()
			replay := NewReplay(now.Add(skew), running, 10)
			var err error
			if log, err = OpenLog(folder, replay.Add); err != nil {
				rt.Fatal(err)
			}
			replay.End(now.Add(skew))
		}
		restart()
		add := func(r Record) {
			if err := log.Stamp(now.Add(skew)); err != nil {
				rt.Fatal(err)
			}
			added := running.Late(now, r)
			if running.Apply(now, r) {
				added = append(added, r)
			}
			if err := log.AppendAll(added); err != nil {
				rt.Fatal(err)
			}
			ledger.Apply(now, r)
		}
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"turn", "turn", "spending", "clock", "restart", "compact"}).Draw(rt, "step") {
			case "turn":
				previous := fmt.Sprint(rapid.IntRange(-1, i-1).Draw(rt, "previous"))
				if ledger.turns[previous] == nil {
					previous = ""
				}
				add(Record{Turn: &Turn{Request: fmt.Sprint(i), Previous: previous, Program: "p", Retention: retention}})
			case "spending":
				program := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(rt, "program")
				// Some are sent again.
				request := fmt.Sprint(i - rapid.IntRange(0, min(i, 3)).Draw(rt, "again"))
				add(Record{Spending: &Spending{Program: program, Request: request, Tokens: 1, Settled: true, Retention: retention}})
			case "clock":
				skew = time.Duration(rapid.IntRange(-5, 5).Draw(rt, "skew")) * time.Second
			case "restart":
				restart()
			case "compact":
				write()
				if err := log.Compact(running.Snapshot(now.Add(skew))); err != nil {
					rt.Fatal(err)
				}
			}
			ledger.Expire(now)
			running.Expire(now)
		}
		restart()
		if err := log.Close(); err != nil {
			rt.Fatal(err)
		}
		compareReplayed(rt, now, ledger, running)
	})
}

// compareReplayed checks that a ledger has what another one has to keep, and nothing that has
// expired for long.
func compareReplayed(t *rapid.T, now time.Time, want, got *Ledger) {
	for request, row := range want.turns {
		if now.Sub(row.lastUse.at) > row.turn.Retention {
			continue
		}
		if _, complete, missing := got.Chain(request); !complete {
			t.Fatalf("the chain of %s lacks %q", request, missing)
		}
	}
	for name, row := range want.programs {
		if now.Sub(row.lastUse.at) <= row.retention && got.Total(name) < row.total {
			t.Fatalf("%d tokens of %s, want %d", got.Total(name), name, row.total)
		}
	}
	const maxSkews = 10 * time.Second
	const latest = retentionSlack + clockSlack + maxSkews + stampInterval
	for request, row := range got.turns {
		if want.turns[request] == nil && now.Sub(row.lastUse.at) > row.turn.Retention+latest {
			t.Fatalf("turn %s is kept, last used at %s of %s", request, row.lastUse.at, now)
		}
	}
}

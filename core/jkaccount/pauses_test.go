package jkaccount

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxLate is how long entries may take to notice the end of a cut, and to admit what they then have decided.
const maxLate = 800 * time.Millisecond

// Guards against a budget that is exceeded while hosts with copies stand still, in any order with one loss and one cut at a time.
func TestBudgetHoldsWhileCopiesStandStill(t *testing.T) {
	playAnyOrder(t, "pause", "pause", "resume")
}

// Guards against a budget that is exceeded while two hosts with copies lose each other, in any order with one loss and one
// cut at a time.
func TestBudgetHoldsWhileALinkFails(t *testing.T) {
	playAnyOrder(t, "fail", "repair")
}

// Guards against a budget that is exceeded while both happen.
func TestBudgetHoldsWhileCopiesStandStillAndALinkFails(t *testing.T) {
	playAnyOrder(t, "pause", "resume", "fail", "repair")
}

// Guards against a budget that is exceeded while entries start and stand still, which miss the cuts that end meanwhile.
func TestBudgetHoldsWhileEntriesStartAndStandStill(t *testing.T) {
	playAnyOrder(t, "start entry", "pause entry", "resume entries")
}

// Guards against a budget that is exceeded while entries and hosts with copies stand still.
func TestBudgetHoldsWhileAllStandStill(t *testing.T) {
	playAnyOrder(t, "pause", "resume", "start entry", "pause entry", "resume entries")
}

// playAnyOrder plays losses, cuts and other steps in any order.
func playAnyOrder(t *testing.T, others ...string) {
	t.Helper()
	steps := slices.Concat([]string{"reserve", "reserve", "reserve", "abandon", "wait", "wait", "down", "up", "cut", "heal", "add"}, others)
	rapid.Check(t, func(t *rapid.T) {
		f := newBudgetFixture(rapid.IntRange(3, 4).Draw(t, "zones"), rapid.IntRange(1, 2).Draw(t, "hosts"), 4)
		f.advance(time.Duration(rapid.IntRange(1, 9).Draw(t, "calm")) * time.Second)
		paused := map[*budgetEntry]bool{}
		for _, e := range f.entries {
			e.late = time.Duration(rapid.IntRange(0, 2).Draw(t, "late")) * maxLate / 2
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			one := f.copies[rapid.IntRange(0, len(f.copies)-1).Draw(t, "copy")]
			_, isDown := f.downSince[one.Host]
			e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, "entry")]
			switch step := rapid.SampledFrom(steps).Draw(t, "step"); {
			case step == "reserve" && !paused[e]:
				f.reserve(e, turnTokens, turnBudget)
			case step == "abandon" && !paused[e]:
				f.abandon(e, turnTokens, turnBudget)
			case step == "start entry" && !paused[e]:
				f.restart(e)
			case step == "pause entry":
				paused[e] = true
			case step == "resume entries":
				for e := range paused {
					e.observedFrom = f.now
				}
				clear(paused)
			case step == "wait":
				f.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "time")) * 100 * time.Millisecond)
			case step == "down" && len(f.downSince) == len(f.paused) && !isDown:
				if rapid.Bool().Draw(t, "heard") {
					f.listen()
				}
				f.downUnheard(one.Host)
			case step == "up":
				f.up()
			case step == "cut" && len(f.cutSince) == 0:
				f.cut(one.Zone)
			case step == "heal":
				f.heal()
			case step == "add" && len(f.copies) < 10:
				f.addRanked(one, rapid.Bool().Draw(t, "before"))
			case step == "pause" && len(f.paused) == 0 && !isDown:
				f.pause(one.Host)
			case step == "resume":
				for host := range f.paused {
					f.resume(host)
				}
			case step == "fail" && len(f.failedLinks) == 0:
				other := f.copies[rapid.IntRange(0, len(f.copies)-1).Draw(t, "other")]
				if other != one {
					f.fail(one.Host, other.Host)
				}
			case step == "repair":
				f.repair()
			}
			f.check(t)
		}
	})
}

// Guards against a budget that is spent twice by a copy that stood still while the others spent it, and runs again in a cut.
func TestBudgetOfACopyThatStoodStillUntilACut(t *testing.T) {
	for _, inCut := range []time.Duration{0, time.Second} {
		f := newBudgetFixture(3, 1, 3)
		f.advance(5 * time.Second)
		f.pause("b0")
		f.advance(3 * time.Second)
		for range 4 {
			f.reserve(f.entries[0], turnTokens, turnBudget)
		}
		f.cut("b")
		f.advance(inCut)
		f.resume("b0")
		f.advance(2 * time.Second)
		f.reserve(f.entries[1], turnTokens, turnBudget)
		f.reserve(f.entries[1], turnTokens, turnBudget)
		f.check(t)
	}
}

// Guards against a loss that a copy goes on to confirm after what hid the host from it, though the host was up until a cut
// that all others noticed: a link that failed, or a pause of the copy after a restart of the host.
func TestBudgetAfterACutOfAHostThatOneCopyTookForLost(t *testing.T) {
	for _, c := range []struct {
		name string
		hide func(f *budgetFixture)
	}{
		{"link failed", func(f *budgetFixture) {
			f.fail("b0", "a0")
			f.advance(confirmedAfter + probePhase)
		}},
		{"paused", func(f *budgetFixture) {
			f.down("a0")
			f.advance(confirmedAfter + probePhase)
			f.pause("b0")
			f.upAgain("a0")
			f.advance(2 * time.Second)
		}},
	} {
		for _, up := range []time.Duration{0, time.Second, settledAfter + time.Second} {
			for _, inCut := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprint(c.name, "/", up, "/", inCut), func(t *testing.T) {
					f := newBudgetFixture(3, 1, 3)
					f.advance(5 * time.Second)
					c.hide(f)
					f.advance(up)
					f.cut("a")
					f.advance(2 * time.Second)
					for range 2 {
						f.reserve(f.entries[0], turnTokens, turnBudget)
					}
					f.down("a0")
					f.advance(inCut)
					f.heal()
					for host := range f.paused {
						f.resume(host)
					}
					for range 40 {
						f.advance(probePhase)
						f.reserve(f.entries[1], turnTokens, turnBudget)
					}
					f.check(t)
				})
			}
		}
	}
}

// Guards against a loss that counts as harmless by the host's last word, though an entry of its zone that noticed the end of a
// cut late has admitted turns after that.
func TestBudgetOfAnEntryThatNoticesTheEndOfACutLate(t *testing.T) {
	for after := time.Duration(0); after < maxLate; after += 100 * time.Millisecond {
		for _, until := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			f := newBudgetFixture(3, 1, 3)
			f.entries[0].late = maxLate
			f.advance(5 * time.Second)
			f.cut("a")
			f.advance(2 * time.Second)
			f.heal()
			f.advance(after)
			for range 2 {
				f.reserve(f.entries[0], turnTokens, turnBudget)
			}
			if f.granted == 0 {
				t.Errorf("%s after the end of the cut no turn is admitted", after)
			}
			f.downUnheard("a0")
			f.advance(until)
			for range 40 {
				f.advance(probePhase)
				f.reserve(f.entries[1], turnTokens, turnBudget)
			}
			f.check(t)
		}
	}
}

// Guards against a zone that is cut off and admits nothing, since its copy and all others stood still for a moment before.
func TestTurnsOfACutZoneAfterAPauseOfAll(t *testing.T) {
	f := newBudgetFixture(3, 1, 3)
	f.advance(5 * time.Second)
	for _, c := range f.copies {
		f.pause(c.Host)
	}
	f.cut("a")
	f.advance(time.Second)
	for _, c := range f.copies {
		f.resume(c.Host)
	}
	f.advance(2 * time.Second)
	f.reserve(f.entries[0], turnTokens, turnBudget)
	if f.granted == 0 {
		t.Error("no turn is admitted")
	}
}

package jkvault

import (
	"testing"
	"time"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jktimer"
)

// Guards against turns that lose the ones before them at a restart: the last one goes on from one that
// has outlived its retention and isn't removed yet.
func TestTurnThatWasContinuedLateIsWholeAfterARestart(t *testing.T) {
	folder := t.TempDir()
	timer, clock := jktimer.NewManual(time.Unix(1e9, 0))
	turn := func(request, previous string) jkledger.Record {
		return jkledger.Record{Turn: &jkledger.Turn{Request: request, Previous: previous, Program: "p", Retention: turnsRetention}}
	}
	t.Run("first", func(t *testing.T) { openWith(t, folder, timer).write(t, turn("1", "")) })
	t.Run("second", func(t *testing.T) {
		v := openWith(t, folder, timer)
		for range 5 {
			clock.Advance(expireInterval)
		}
		clock.Advance(expireInterval / 10)
		if _, complete, _ := v.ledger.Chain("1"); !complete {
			t.Fatal("the first turn is removed")
		}
		v.write(t, turn("2", "1"))
	})
	t.Run("third", func(t *testing.T) {
		if _, complete, missing := openWith(t, folder, timer).ledger.Chain("2"); !complete {
			t.Errorf("the chain of 2 lacks %q", missing)
		}
	})
}

// Guards against spent tokens that a restart forgets: the program was renewed late, by a spending that was known already.
func TestProgramThatWasRenewedLateKeepsItsTokens(t *testing.T) {
	folder := t.TempDir()
	timer, clock := jktimer.NewManual(time.Unix(1e9, 0))
	spending := func(request string) jkledger.Record {
		return jkledger.Record{Spending: &jkledger.Spending{Program: "p", Request: request, Tokens: 1, Settled: true, Retention: time.Minute}}
	}
	t.Run("first", func(t *testing.T) {
		v := openWith(t, folder, timer)
		v.write(t, spending("1"))
		clock.Advance(62 * time.Second)
		v.write(t, spending("1"))
		clock.Advance(30 * time.Second)
		v.write(t, spending("2"))
	})
	t.Run("second", func(t *testing.T) {
		if got := openWith(t, folder, timer).ledger.Total("p"); got != 2 {
			t.Errorf("%d of 2 tokens are spent after a restart", got)
		}
	})
}

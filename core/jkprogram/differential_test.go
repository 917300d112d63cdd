package jkprogram

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasmineknot.example/core/jkreference"
	"jasmineknot.example/core/jktoken"
)

// corePair runs the core and the naive reference home side by side.
type corePair struct {
	core   *Core
	naive  *jkreference.Home
	tokens []jktoken.Claims
	// firstTurn holds the turn of the token that a request id was first sent with;
	// a retry presents the same token.
	firstTurn map[string]int
	costs     map[string]int64
	// refused holds the ids that were refused. A later refusal may give
	// another of the two reasons, which both mean that the request never runs.
	refused map[string]bool
}

// sameOutcome compares the outcomes that the caller gets.
func (c *corePair) sameOutcome(id string, got, want jkreference.Outcome) bool {
	isRefusal := func(o jkreference.Outcome) bool {
		return o == jkreference.NotRun || o == jkreference.StaleToken
	}
	if c.refused[id] {
		return isRefusal(got) && isRefusal(want)
	}
	c.refused[id] = isRefusal(got)
	return got == want
}

// submit sends a request to the core and translates the result to an outcome of the
// naive home.
func (c *corePair) submit(now time.Time, id string) (jkreference.Outcome, string) {
	claims := c.tokens[c.firstTurn[id]]
	a, err := c.core.Submit(now, Submission{
		Program: "p", Token: &claims, RequestID: id, Kind: KindService, MaxCost: c.costs[id],
	})
	var stale *StaleTokenError
	var closed *ClosedError
	var budget *BudgetError
	switch {
	case errors.As(err, &stale):
		return jkreference.StaleToken, ""
	case errors.As(err, &closed), errors.As(err, &budget):
		return jkreference.NotRun, ""
	case err != nil:
		return jkreference.Outcome(err.Error()), ""
	case a.Action == ActionAttach:
		return jkreference.Running, ""
	case a.Action == ActionReplay:
		return jkreference.Completed, string(a.Turn.Answer)
	}
	if a.Record != nil {
		if err := c.core.HandleWriteResult("p", CopyRecorded); err != nil {
			return jkreference.Outcome(err.Error()), ""
		}
	}
	return jkreference.Started, ""
}

// Guards against a core that differs, as its callers see it, from one process with
// one map: in order, de-duplication, refusals or the budget.
func TestCoreAgainstNaiveHome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1, 0)
		budget := rapid.Int64Range(0, 200).Draw(rt, "budget")
		c := &corePair{
			core:  New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 1}),
			naive: jkreference.New(budget), firstTurn: map[string]int{}, costs: map[string]int64{}, refused: map[string]bool{},
		}
		if _, err := c.core.Create(now, Creation{Program: "p", Meta: Meta{Budget: budget}}); err != nil {
			rt.Fatal(err)
		}
		claims, _ := c.core.Claims("p")
		c.tokens = append(c.tokens, claims)
		running := ""
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			if running != "" && rapid.Bool().Draw(rt, "complete") {
				cost := rapid.Int64Range(0, c.costs[running]).Draw(rt, "spent")
				_, claims, err := c.core.Complete(now, "p", Result{Outcome: OutcomeCompleted, Answer: []byte("answer to " + running), Cost: cost})
				if err != nil {
					rt.Fatal(err)
				}
				if err := c.naive.Complete(jkreference.Completed, "answer to "+running, cost); err != nil {
					rt.Fatal(err)
				}
				c.tokens = append(c.tokens, claims)
				running = ""
				continue
			}
			id := fmt.Sprint("r", rapid.IntRange(0, 25).Draw(rt, "id"))
			if _, sent := c.firstTurn[id]; !sent {
				c.firstTurn[id] = rapid.IntRange(0, len(c.tokens)-1).Draw(rt, "token")
				c.costs[id] = rapid.Int64Range(0, 60).Draw(rt, "cost")
			}
			got, answer := c.submit(now, id)
			want, wantAnswer := c.naive.Submit(uint64(c.firstTurn[id]), id, c.costs[id])
			if !c.sameOutcome(id, got, want) || answer != wantAnswer {
				rt.Fatalf("request %s on turn %d: core %s %q, naive %s %q", id, c.firstTurn[id], got, answer, want, wantAnswer)
			}
			if got == jkreference.Started {
				running = id
			}
		}
		info, _ := c.core.Info("p")
		if running == "" && info.Budget-info.Spent != c.naive.Remaining() {
			rt.Fatalf("core has %d left, naive %d", info.Budget-info.Spent, c.naive.Remaining())
		}
	})
}

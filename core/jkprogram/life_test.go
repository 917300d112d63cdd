package jkprogram

import (
	"testing"
	"time"

	"jasmineknot.example/core/jktoken"
)

// Guards against a superseded program that is forgotten before its successor
// could read the turns that the copies missed.
func TestSupersededRowIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 2, EndedRetention: time.Minute})
	if _, err := c.Create(now, Creation{Program: "p", Meta: Meta{Budget: 10}}); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Hour)
	c.Supersede("p")
	c.Tick(now)
	if _, ok := c.Retired("p"); !ok {
		t.Fatal("the row is gone at once")
	}
	now = now.Add(2 * time.Minute)
	c.Tick(now)
	if _, ok := c.Retired("p"); ok {
		t.Fatal("the row is kept for ever")
	}
}

// Guards against a deposit that was told not_run and whose outcome a successor
// calls unknown, because its announcement is still at the copies.
func TestRefusalIsTakenBackAtCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 2})
	first, err := c.Create(now, Creation{Program: "p", Meta: Meta{Budget: 10}})
	if err != nil {
		t.Fatal(err)
	}
	var stored State
	claims, _ := c.Claims("p")
	a, err := c.Submit(now, Submission{Program: "p", Token: &claims, RequestID: "pay", Kind: KindService})
	if err != nil {
		t.Fatal(err)
	}
	closed := c.Refuse("p")
	if closed == nil {
		t.Fatal("no record takes the announcement back")
	}
	for _, r := range []Record{first, *a.Record, *closed} {
		if !stored.Apply(r) {
			t.Fatalf("record %s does not apply", r.Kind)
		}
	}
	if stored.Intent != nil {
		t.Fatalf("the copies still announce %s", stored.Intent.RequestID)
	}
}

// Guards against a token that is free again while its call still runs: a second
// attempt that the copies can't grant must leave the first one as it is.
func TestRefusedExtensionKeepsTheCall(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 2})
	if _, err := c.Create(now, Creation{Program: "p", Meta: Meta{Budget: 160}}); err != nil {
		t.Fatal(err)
	}
	claims, _ := c.Claims("p")
	call := Submission{Program: "p", Token: &claims, RequestID: "first", Kind: KindService, Repeatable: true, MaxCost: 8}
	if _, err := c.Submit(now, call); err != nil {
		t.Fatal(err)
	}
	r, err := c.Retry("p")
	if err != nil || r == nil {
		t.Fatalf("got record %v (%v), want a larger grant", r, err)
	}
	if err := c.Extended("p", CopyUnreachable); err == nil {
		t.Fatal("the attempt is allowed without a recorded grant")
	}
	other := call
	other.RequestID = "other"
	if _, err := c.Submit(now, other); err == nil {
		t.Fatal("another request has started on the token of a running call")
	}
	if _, _, err := c.Complete(now, "p", Result{Outcome: OutcomeCompleted, Cost: 5}); err != nil {
		t.Fatalf("the first attempt can't complete: %v", err)
	}
	if info, _ := c.Info("p"); info.Turn != 1 || info.Spent != 5 {
		t.Fatalf("got turn %d and %d spent, want 1 and 5", info.Turn, info.Spent)
	}
}

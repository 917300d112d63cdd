package jkprogram

import (
	"testing"
	"time"

	"jasmineknot.example/core/jktoken"
)

// Guards against a superseded program that is removed before its successor can read
// the turns that the copies missed.
func TestSupersededRowIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 2, EndedRetention: time.Minute})
	if _, err := c.Create(now, Creation{Program: "p", Meta: Meta{Budget: 10}}); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Hour)
	c.Supersede("p")
	c.Tick(now)
	if _, ok := c.RetiredState("p"); !ok {
		t.Fatal("the superseded program was removed before its retention")
	}
	now = now.Add(2 * time.Minute)
	c.Tick(now)
	if _, ok := c.RetiredState("p"); ok {
		t.Fatal("the superseded program was not removed after its retention")
	}
}

// Guards against a deposit whose caller got not_run and whose outcome a successor
// reports as unknown, because the copies still hold its intent.
func TestRefusalCancelsIntentAtCopies(t *testing.T) {
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
		t.Fatal("no record cancels the intent")
	}
	for _, r := range []Record{first, *a.Record, *closed} {
		if !stored.Apply(r) {
			t.Fatalf("record %s does not apply", r.Kind)
		}
	}
	if stored.Intent != nil {
		t.Fatalf("the copies still hold the intent of %s", stored.Intent.RequestID)
	}
}

// Guards against a token that is freed while its call still runs: if the copies
// can't record the grant for a second attempt, the first one must be unaffected.
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
	if err := c.HandleRetryWriteResult("p", CopyUnreachable); err == nil {
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

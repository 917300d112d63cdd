package jkquarantine

import (
	"fmt"
	"testing"
	"time"

	"jasmineknot.example/core/jktoken"
)

var (
	now   = time.Unix(1000, 0)
	homeA = jktoken.Incarnation{Host: "a", Start: 1}
	homeB = jktoken.Incarnation{Host: "b", Start: 1}
)

// Guards against a content that crashes a third endpoint: after the first crash only
// its home may retry, after the second nobody may.
func TestSecondCrashQuarantines(t *testing.T) {
	x, y := New(10), New(10)
	x.Crashed(now, "f", homeA, x.Crashes("f")+1)
	y.Merge(now, x.Export(now))
	if !y.IsRefused(now, "f", homeB) {
		t.Fatal("another home may run a suspect")
	}
	if y.IsRefused(now, "f", homeA) {
		t.Fatal("the suspect's home may not try again")
	}
	y.Crashed(now, "f", homeA, y.Crashes("f")+1)
	x.Merge(now, y.Export(now))
	for _, tab := range []*Table{x, y} {
		if !tab.IsRefused(now.Add(time.Hour), "f", homeA) {
			t.Fatal("a quarantined content may run")
		}
	}
}

// Guards against a table that grows without bound, and against refusing unrelated
// content when it is full.
func TestTableIsBounded(t *testing.T) {
	tab := New(4)
	for i := range 100 {
		tab.Crashed(now.Add(time.Duration(i)*time.Second), fmt.Sprint("f", i), homeA, tab.Crashes(fmt.Sprint("f", i))+1)
	}
	if tab.Len() != 4 {
		t.Fatalf("got %d rows, want 4", tab.Len())
	}
	if tab.IsRefused(now, "other", homeB) {
		t.Fatal("unrelated content is refused")
	}
}

// Guards against a lifted quarantine that comes back with another host's report of an
// older crash, and against a lift that hides a new crash.
func TestLiftHoldsUntilTheNextCrash(t *testing.T) {
	x, y := New(10), New(10)
	x.Crashed(now, "f", homeA, x.Crashes("f")+1)
	x.Crashed(now, "f", homeA, x.Crashes("f")+1)
	y.Merge(now, x.Export(now))
	lift := now.Add(time.Minute)
	if !y.Lift(lift, "f") || y.Lift(lift, "other") {
		t.Fatal("the lift doesn't tell whether the content was known")
	}
	y.Merge(lift.Add(time.Second), x.Export(lift))
	if y.IsRefused(lift.Add(time.Second), "f", homeB) {
		t.Fatal("merging the table of a host that still has the quarantine has restored it")
	}
	later := lift.Add(time.Minute)
	x.Crashed(later, "f", homeA, x.Crashes("f")+1)
	y.Merge(later, x.Export(later))
	if !y.IsRefused(later, "f", homeA) {
		t.Fatal("a crash after the lift is not counted")
	}
}

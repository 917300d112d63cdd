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

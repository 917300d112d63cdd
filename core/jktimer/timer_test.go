package jktimer

import (
	"testing"
	"time"
)

// Guards against periodic runs that are lost or run twice when the clock advances over
// several intervals at once.
func TestEveryRunsOncePerInterval(t *testing.T) {
	s, clock := NewManual(time.Unix(0, 0))
	runs := 0
	stop := s.Every(time.Second, func() { runs++ })
	clock.Advance(3500 * time.Millisecond)
	if runs != 3 {
		t.Fatalf("got %d runs, want 3", runs)
	}
	stop()
	clock.Advance(time.Minute)
	if runs != 3 {
		t.Fatalf("got %d runs after stop, want 3", runs)
	}
}

// Guards against a cancelled one-shot timer that still fires.
func TestAfterStop(t *testing.T) {
	s, clock := NewManual(time.Unix(0, 0))
	ran := false
	stop := s.After(time.Second, func() { ran = true })
	if !stop() {
		t.Fatal("stop reported that nothing was cancelled")
	}
	clock.Advance(time.Minute)
	if ran {
		t.Fatal("cancelled timer fired")
	}
}

// Guards against a test that advances the clock before another goroutine waits.
func TestDueCountsWaitingFunctions(t *testing.T) {
	s, clock := NewManual(time.Unix(0, 0))
	at := s.Now().Add(time.Second)
	stop := s.After(time.Second, func() {})
	s.After(2*time.Second, func() {})
	if n := clock.Due(at); n != 1 {
		t.Errorf("%d functions are due, want 1", n)
	}
	stop()
	if n := clock.Due(at); n != 0 {
		t.Errorf("%d functions are due after stop, want none", n)
	}
}

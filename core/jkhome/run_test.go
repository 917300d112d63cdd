package jkhome

import (
	"context"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
)

// Guards against a caller that receives pieces of two different answers, or one piece
// twice, when a call is dispatched a second time.
func TestFollowersSeeOneAnswer(t *testing.T) {
	r := newInFlightCall(&callPlan{}, time.Time{})
	var seen strings.Builder
	done := make(chan jkmsg.CallResult)
	go func() {
		done <- r.follow(context.Background(), func(text string) error {
			seen.WriteString(text)
			return nil
		})
	}()
	steps := []struct {
		position int
		piece    string
		same     bool
	}{
		{0, "the first ", true},
		{0, "the ", true},          // a second attempt starts over
		{4, "first answer", true},  // and overtakes the first
		{10, "other", false},       // a diverging attempt is ignored
		{10, "answer, end.", true}, // the attempt that callers follow continues
	}
	for i, s := range steps {
		if got := r.appendText(s.position, s.piece); got != s.same {
			t.Errorf("step %d: got %t, want %t", i, got, s.same)
		}
	}
	r.finish(jkmsg.CallResult{Outcome: jkprogram.OutcomeCompleted})
	r.finish(jkmsg.CallResult{Outcome: jkprogram.OutcomeFailed})
	if result := <-done; result.Outcome != jkprogram.OutcomeCompleted {
		t.Errorf("got %s, want the first result", result.Outcome)
	}
	if seen.String() != "the first answer, end." {
		t.Errorf("caller saw %q", seen.String())
	}
}

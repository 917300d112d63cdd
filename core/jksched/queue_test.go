package jksched

import (
	"errors"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against more running calls than slots, and against a slot that is
// lost when a call finishes.
func TestQueueDispatchesUpToSlots(t *testing.T) {
	q := NewQueue(DefaultOptions())
	q.SetEndpoint(Endpoint{ID: "e1", Kind: KindModel, Models: []string{"m"}, Slots: 1, State: StateLive})
	for _, id := range []string{"a", "b"} {
		if err := q.Push(start, Call{ID: id, Kind: KindModel, Model: "m", MaxTokens: 10}, "e1"); err != nil {
			t.Fatal(err)
		}
	}
	var refused *RefusedError
	if err := q.Push(start, Call{ID: "a"}, "e1"); !errors.As(err, &refused) || refused.Reason != ReasonDuplicate {
		t.Fatalf("doubled call: got %v", err)
	}
	if got := q.Tick(start); len(got) != 1 || got[0].Call.ID != "a" || got[0].Kind != CommandDispatch {
		t.Fatalf("first tick: got %v", got)
	}
	q.Finished(start.Add(time.Second), "a", "e1", Result{Outcome: OutcomeCompleted})
	if got := q.Tick(start.Add(time.Second)); len(got) != 1 || got[0].Call.ID != "b" {
		t.Fatalf("second tick: got %v", got)
	}
}

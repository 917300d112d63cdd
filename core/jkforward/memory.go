package jkforward

import (
	"context"
	"sync/atomic"

	"jasmineknot.example/core/jkupstream"
)

const (
	// smallEventBytes is the size up to which events are read without a limit on their number.
	smallEventBytes = 8 << 10
	// maxLargeEvents bounds the larger events that are held at the same time.
	maxLargeEvents = 8
	// smallOutputBytes is the part of a turn's output that doesn't count as held.
	smallOutputBytes = 8 << 10
	// defaultHeldOutputs bounds the outputs that are held if no limit is set.
	defaultHeldOutputs = 32 << 20
)

// heldOutputs bounds the sum of the outputs of all turns in progress. Each turn has a bound of
// its own, but many endpoints may send long outputs at the same time.
type heldOutputs struct {
	limit int64
	bytes atomic.Int64
}

func newHeldOutputs(limit int64) *heldOutputs {
	if limit <= 0 {
		limit = defaultHeldOutputs
	}
	return &heldOutputs{limit: limit}
}

// grow counts the growth of one output and reports whether all of them are within the limit.
// An output that isn't has to be released by its former size.
func (o *heldOutputs) grow(from, to int) bool {
	more := countedOutput(to) - countedOutput(from)
	if o.bytes.Add(more) > o.limit && more > 0 {
		o.bytes.Add(-more)
		return false
	}
	return true
}

// release takes an output of a size out of the sum.
func (o *heldOutputs) release(size int) { o.bytes.Add(-countedOutput(size)) }

// countedOutput is the part of an output that counts as held.
func countedOutput(size int) int64 { return int64(max(size-smallOutputBytes, 0)) }

// eventSlot lets a stream hold a large event. A stream has one event at a time, so that streams
// which wait for a slot hold none.
type eventSlot struct {
	slots chan struct{}
	held  bool
}

// hold waits until a large event may be held.
func (s *eventSlot) hold(ctx context.Context) error {
	if s.held {
		return nil
	}
	select {
	case s.slots <- struct{}{}:
		s.held = true
		return nil
	case <-ctx.Done():
		return &jkupstream.ExchangeError{Stage: jkupstream.StageBody, Cause: context.Cause(ctx)}
	}
}

// release ends the use of the slot, if there is one.
func (s *eventSlot) release() {
	if s.held {
		s.held = false
		<-s.slots
	}
}

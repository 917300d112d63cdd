package jksched

import (
	"container/heap"
	"strings"
	"time"
)

// queueRow is the dispatcher's state for one owned endpoint.
type queueRow struct {
	endpoint Endpoint
	removed  bool
	running  map[string]*callRow
	// runningLong counts the running calls that aren't short.
	runningLong int
	// limit is the concurrency limit, at most the number of slots.
	limit int
	short callHeap
	long  callHeap
	// pace is the time per generated token, prefillPace the time per prompt token and
	// serviceTime the mean time of a run.
	pace        time.Duration
	prefillPace time.Duration
	serviceTime time.Duration
	breaker     Breaker
	// decoding counts the running calls that have generated their first token.
	decoding  int
	window    paceWindow
	faults    int
	openUntil time.Time
	nextRamp  time.Time
	// held contains the programs whose history the endpoint may have cached.
	held      map[string]*heldProgram
	nextSweep time.Time
	// heldTokens is the sum over held; reservedMemory is the most memory, in tokens,
	// that the running calls can need.
	heldTokens     int64
	reservedMemory int64
	sharedPrefixes map[string]*sharedPrefix
	report         LoadReport
}

func newQueueRow(e Endpoint, opt Options) *queueRow {
	return &queueRow{
		endpoint:       e,
		running:        map[string]*callRow{},
		held:           map[string]*heldProgram{},
		sharedPrefixes: map[string]*sharedPrefix{},
		limit:          e.Slots,
		breaker:        BreakerClosed,
		serviceTime:    time.Duration(opt.OutputTokens) * opt.TokenPace,
	}
}

func (r *queueRow) queued() int { return len(r.short) + len(r.long) }

// cacheShare returns the cached history as a share of the endpoint's cache.
func (r *queueRow) cacheShare() float64 {
	if r.endpoint.CacheTokens == 0 {
		return 0
	}
	return float64(r.heldTokens) / float64(r.endpoint.CacheTokens)
}

// heapOf returns the heap in which the call waits.
func (r *queueRow) heapOf(cr *callRow) *callHeap {
	if cr.short {
		return &r.short
	}
	return &r.long
}

// first returns the first waiting call in order, or nil if none waits.
func (r *queueRow) first() *callRow {
	switch {
	case len(r.short) == 0 && len(r.long) == 0:
		return nil
	case len(r.short) == 0:
		return r.long[0]
	case len(r.long) == 0 || r.short[0].before(r.long[0]):
		return r.short[0]
	}
	return r.long[0]
}

// next is like first, but keeps reserve slots free for short calls.
func (r *queueRow) next(reserve int) *callRow {
	cr := r.first()
	if cr == nil || cr.short || r.runningLong < max(r.limit-reserve, 1) {
		return cr
	}
	if len(r.short) > 0 {
		return r.short[0]
	}
	return nil
}

// callHeap orders waiting calls by virtual start, then by time of arrival and id.
type callHeap []*callRow

// before reports whether c precedes o in the order of waiting calls.
func (c *callRow) before(o *callRow) bool {
	if !c.virtualStart.Equal(o.virtualStart) {
		return c.virtualStart.Before(o.virtualStart)
	}
	if !c.pushed.Equal(o.pushed) {
		return c.pushed.Before(o.pushed)
	}
	return c.call.ID < o.call.ID
}

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	cr := x.(*callRow)
	cr.index = len(*h)
	*h = append(*h, cr)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	cr := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return cr
}

var _ heap.Interface = (*callHeap)(nil)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

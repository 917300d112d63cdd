package jksched

import (
	"container/heap"
	"strings"
	"time"
)

// queueRow is an owned endpoint.
type queueRow struct {
	endpoint Endpoint
	removed  bool
	running  map[string]*callRow
	// runningLong counts the running calls that aren't short.
	runningLong int
	limit       int
	short       callHeap
	long        callHeap
	// pace and prefill are time per token; service is the mean time of a run.
	pace    time.Duration
	prefill time.Duration
	service time.Duration
	breaker Breaker
	// decoding counts the running calls that have got their first token.
	decoding  int
	window    paceWindow
	faults    int
	openUntil time.Time
	nextRamp  time.Time
	// held lists the programs whose cache the endpoint may hold.
	held      map[string]*heldProgram
	nextSweep time.Time
	// heldTokens is the sum over held; memory is what running calls may need.
	heldTokens int64
	memory     int64
	shared     map[string]*sharedPrefix
	report     Report
}

func newQueueRow(e Endpoint, opt Options) *queueRow {
	return &queueRow{
		endpoint: e,
		running:  map[string]*callRow{},
		held:     map[string]*heldProgram{},
		shared:   map[string]*sharedPrefix{},
		limit:    e.Slots,
		breaker:  BreakerClosed,
		service:  time.Duration(opt.OutputTokens) * opt.TokenPace,
	}
}

func (r *queueRow) queued() int { return len(r.short) + len(r.long) }

func (r *queueRow) cacheShare() float64 {
	if r.endpoint.CacheTokens == 0 {
		return 0
	}
	return float64(r.heldTokens) / float64(r.endpoint.CacheTokens)
}

func (r *queueRow) heapOf(cr *callRow) *callHeap {
	if cr.short {
		return &r.short
	}
	return &r.long
}

// first returns the waiting call that is next in order; nil if none waits.
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

// next is like first, but leaves reserve slots to short calls.
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

// callHeap orders waiting calls by key, then by time of arrival and id.
type callHeap []*callRow

func (c *callRow) before(o *callRow) bool {
	if !c.key.Equal(o.key) {
		return c.key.Before(o.key)
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

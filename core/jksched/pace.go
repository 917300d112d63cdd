package jksched

import (
	"slices"
	"time"
)

// paceWindow measures the time per token of the running calls in fixed windows.
type paceWindow struct {
	start  time.Time
	last   time.Time
	tokens int64
	// exposure is the sum of the time that decoding calls waited for those tokens.
	exposure time.Duration
	// prefill is the part of exposure spent on the prefill of other calls.
	prefill time.Duration
	// current is the time per token in the last full window; zero if too little ran.
	current time.Duration
	// slowWindows counts consecutive windows above SlowFactor, recoveredWindows those
	// below RecoverFactor.
	slowWindows      int
	recoveredWindows int
}

// minExposure is the shortest decoding time for which a window gives a result: about
// one call over a whole default window.
const minExposure = 400 * time.Millisecond

// observePace closes a window that has ended, adjusts the concurrency limit and updates
// the breaker.
func (q *Queue) observePace(now time.Time, row *queueRow) {
	w := &row.window
	if w.start.IsZero() {
		w.start, w.last = now, now
	}
	w.exposure += now.Sub(w.last) * time.Duration(row.decoding)
	w.last = now
	if now.Sub(w.start) < q.opt.PaceWindow {
		return
	}
	w.current = 0
	if w.exposure >= minExposure {
		// At most half is subtracted, because the prefill time is only an estimate.
		w.current = (w.exposure - min(w.prefill, w.exposure/2)) / time.Duration(max(w.tokens, 1))
	}
	w.start, w.tokens, w.exposure, w.prefill = now, 0, 0, 0
	if row.breaker == BreakerClosed {
		q.adjustLimit(row)
	}
	q.updateBreaker(now, row)
}

// updateBreaker moves the breaker between closed, slow and half open. An endpoint counts
// as slow after two slow windows in a row, so that a single burst of prefill isn't
// enough, and as recovered after four windows.
func (q *Queue) updateBreaker(now time.Time, row *queueRow) {
	w := &row.window
	peers := q.peerPace(row)
	if w.current == 0 || peers == 0 {
		return
	}
	ratio := float64(w.current) / float64(peers)
	w.slowWindows, w.recoveredWindows = consecutive(w.slowWindows, ratio > q.opt.SlowFactor), consecutive(w.recoveredWindows, ratio < q.opt.RecoverFactor)
	switch {
	case row.breaker == BreakerClosed && w.slowWindows >= 2:
		row.breaker = BreakerSlow
		row.limit = max(len(row.running)/4, 1)
		q.moveWaiting(now, row, ReasonSlow)
	case row.breaker == BreakerSlow && w.recoveredWindows >= 4:
		row.breaker = BreakerHalfOpen
		row.limit = max(row.endpoint.Slots/4, 1)
	case row.breaker == BreakerHalfOpen && w.slowWindows >= 2:
		row.breaker = BreakerSlow
		row.limit = 1
	}
}

// consecutive returns n+1 if more is true, and 0 otherwise.
func consecutive(n int, more bool) int {
	if more {
		return n + 1
	}
	return 0
}

// rampUp doubles the concurrency limit of a half-open endpoint every second, so that the
// calls that were moved away don't all return at once, and closes the breaker when the
// limit reaches the number of slots.
func (q *Queue) rampUp(now time.Time, row *queueRow) {
	q.probeIdleSlow(now, row)
	if row.breaker != BreakerHalfOpen || now.Before(row.nextRamp) {
		return
	}
	row.nextRamp = now.Add(time.Second)
	row.limit = min(row.limit*2, row.endpoint.Slots)
	if row.limit == row.endpoint.Slots {
		row.breaker, row.faults = BreakerClosed, 0
	}
}

// probeIdleSlow half-opens the breaker of a slow endpoint that has run nothing for
// BreakerPause, because its pace can't be measured without calls.
func (q *Queue) probeIdleSlow(now time.Time, row *queueRow) {
	if row.breaker != BreakerSlow {
		return
	}
	if len(row.running) > 0 {
		row.nextRamp = now.Add(q.opt.BreakerPause)
	}
	if !now.Before(row.nextRamp) {
		row.breaker, row.limit = BreakerHalfOpen, min(2, row.endpoint.Slots)
		row.nextRamp = now.Add(time.Second)
	}
}

// adjustLimit adapts the concurrency limit after each window (additive increase,
// multiplicative decrease): it falls by a tenth while the time per token is above
// PaceTarget, down to a quarter of the slots, and rises by one otherwise.
func (q *Queue) adjustLimit(row *queueRow) {
	if row.window.current > q.opt.PaceTarget {
		row.limit = max(row.limit*9/10, row.endpoint.Slots/4, 1)
		return
	}
	row.limit = min(row.limit+1, row.endpoint.Slots)
}

// peerPace returns the median time per token of the other endpoints of the same model,
// or zero if fewer than two are known.
func (q *Queue) peerPace(row *queueRow) time.Duration {
	q.paceScratch = q.paceScratch[:0]
	model := modelOf(row.endpoint)
	for _, r := range q.order {
		if r != row && modelOf(r.endpoint) == model && r.window.current > 0 {
			q.paceScratch = append(q.paceScratch, r.window.current)
		}
	}
	for _, l := range q.peers[model] {
		if l.CurrentPace > 0 {
			q.paceScratch = append(q.paceScratch, l.CurrentPace)
		}
	}
	if len(q.paceScratch) < 2 {
		return 0
	}
	slices.Sort(q.paceScratch)
	return q.paceScratch[len(q.paceScratch)/2]
}

// modelOf returns the first model of the endpoint.
func modelOf(e Endpoint) string {
	if len(e.Models) == 0 {
		return ""
	}
	return e.Models[0]
}

// recordFault counts a fault of an endpoint. BreakerFaults in a row open the breaker; one
// is enough while it is half open.
func (q *Queue) recordFault(now time.Time, row *queueRow) {
	row.faults++
	if row.faults < q.opt.BreakerFaults && row.breaker != BreakerHalfOpen {
		return
	}
	row.breaker, row.openUntil = BreakerOpen, now.Add(q.opt.BreakerPause)
	q.moveWaiting(now, row, ReasonBreaker)
}

// halfOpenBreaker half-opens an open breaker after BreakerPause and admits one probe.
func (q *Queue) halfOpenBreaker(now time.Time, row *queueRow) {
	if row.breaker == BreakerOpen && !now.Before(row.openUntil) {
		row.breaker, row.limit = BreakerHalfOpen, 1
		row.nextRamp = now.Add(time.Second)
	}
}

// requestSecondDispatches asks for second dispatches of calls that a slow endpoint
// delays, as long as their tokens stay within SecondShare. The cheapest come first,
// because the share then covers the most calls.
func (q *Queue) requestSecondDispatches(row *queueRow) {
	if row.breaker != BreakerSlow {
		return
	}
	var found []*callRow
	peers := q.peerPace(row)
	for _, cr := range row.running {
		if q.secondDispatchIsFaster(row, cr, peers) {
			found = append(found, cr)
		}
	}
	slices.SortFunc(found, func(a, b *callRow) int {
		if x, y := q.secondDispatchCost(a.call), q.secondDispatchCost(b.call); x != y {
			return int(x - y)
		}
		return compareStrings(a.call.ID, b.call.ID)
	})
	for _, cr := range found {
		cost := float64(q.secondDispatchCost(cr.call))
		if q.secondDispatchTokens+cost > q.opt.SecondShare*q.totalTokens {
			return
		}
		q.secondDispatchTokens += cost
		cr.secondDispatched = true
		q.emit(Command{
			Kind: CommandSecondDispatch, Call: cr.call, Endpoint: row.endpoint.ID, Reason: ReasonSlow,
		})
	}
}

// secondDispatchIsFaster reports whether the call may be repeated and a copy on a peer
// would end before the call itself does on the slow endpoint.
func (q *Queue) secondDispatchIsFaster(row *queueRow, cr *callRow, peers time.Duration) bool {
	if !cr.call.Repeatable || cr.call.Second || cr.secondDispatched || cr.cancelled {
		return false
	}
	output := q.expectedOutput(cr.call)
	left := max(output-cr.tokens, output/4)
	again := time.Duration(output)*peers + time.Duration(q.secondDispatchCost(cr.call)-output)*q.opt.PrefillPace
	return time.Duration(left)*row.window.current > again
}

// secondDispatchCost returns the expected number of tokens of a second dispatch: all but
// the workspace's shared prompt, which most endpoints have cached.
func (q *Queue) secondDispatchCost(c Call) int64 {
	cost := c.PromptTokens + q.expectedOutput(c)
	if len(c.Prefix) > 0 {
		cost -= min(c.Prefix[0].Tokens, c.PromptTokens)
	}
	return cost
}

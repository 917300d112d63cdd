package jksched

import (
	"slices"
	"time"
)

// paceWindow measures the time per token that running calls see now.
type paceWindow struct {
	began  time.Time
	last   time.Time
	tokens int64
	// exposure is the time that decoding calls waited for those tokens.
	exposure time.Duration
	// prefill is the part of exposure spent on the prefill of other calls.
	prefill time.Duration
	// current is the result of the last full window; zero if it saw too little.
	current time.Duration
	// slow and fine count consecutive windows beyond the limits.
	slow int
	fine int
}

// minExposure is the least decoding time in a window that gives a result. It
// equals one call over a whole default window.
const minExposure = 400 * time.Millisecond

// observePace closes windows and decides whether the endpoint is slow.
func (q *Queue) observePace(now time.Time, row *queueRow) {
	w := &row.window
	if w.began.IsZero() {
		w.began, w.last = now, now
	}
	w.exposure += now.Sub(w.last) * time.Duration(row.decoding)
	w.last = now
	if now.Sub(w.began) < q.opt.PaceWindow {
		return
	}
	w.current = 0
	if w.exposure >= minExposure {
		// At most half is taken off, because the prefill is only an estimate.
		w.current = (w.exposure - min(w.prefill, w.exposure/2)) / time.Duration(max(w.tokens, 1))
	}
	w.began, w.tokens, w.exposure, w.prefill = now, 0, 0, 0
	if row.breaker == BreakerClosed {
		q.adapt(row)
	}
	q.judge(now, row)
}

// judge moves the breaker between closed, slow and half open. Two windows in a
// row are needed to call an endpoint slow, so that one burst of prefill isn't
// enough, and four to call it recovered.
func (q *Queue) judge(now time.Time, row *queueRow) {
	w := &row.window
	peers := q.peerPace(row)
	if w.current == 0 || peers == 0 {
		return
	}
	ratio := float64(w.current) / float64(peers)
	w.slow, w.fine = count(w.slow, ratio > q.opt.SlowFactor), count(w.fine, ratio < q.opt.RecoverFactor)
	switch {
	case row.breaker == BreakerClosed && w.slow >= 2:
		row.breaker = BreakerSlow
		row.limit = max(len(row.running)/4, 1)
		q.moveWaiting(now, row, ReasonSlow)
	case row.breaker == BreakerSlow && w.fine >= 4:
		row.breaker = BreakerHalfOpen
		row.limit = max(row.endpoint.Slots/4, 1)
	case row.breaker == BreakerHalfOpen && w.slow >= 2:
		row.breaker = BreakerSlow
		row.limit = 1
	}
}

func count(n int, more bool) int {
	if more {
		return n + 1
	}
	return 0
}

// ramp lets a recovered endpoint take more calls step by step, doubling each
// second, so that the work that left it doesn't return at once.
func (q *Queue) ramp(now time.Time, row *queueRow) {
	q.probe(now, row)
	if row.breaker != BreakerHalfOpen || now.Before(row.nextRamp) {
		return
	}
	row.nextRamp = now.Add(time.Second)
	row.limit = min(row.limit*2, row.endpoint.Slots)
	if row.limit == row.endpoint.Slots {
		row.breaker, row.faults = BreakerClosed, 0
	}
}

// probe lets a slow endpoint that has run nothing for a while take a few calls,
// because without any its pace can't be measured.
func (q *Queue) probe(now time.Time, row *queueRow) {
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

// adapt lowers the number of running calls in proportion while tokens come too
// slowly and raises it by one per window otherwise.
func (q *Queue) adapt(row *queueRow) {
	if row.window.current > q.opt.PaceTarget {
		row.limit = max(row.limit*9/10, row.endpoint.Slots/4, 1)
		return
	}
	row.limit = min(row.limit+1, row.endpoint.Slots)
}

// peerPace is the median pace of the other endpoints of the same model.
func (q *Queue) peerPace(row *queueRow) time.Duration {
	q.paces = q.paces[:0]
	model := modelOf(row.endpoint)
	for _, r := range q.order {
		if r != row && modelOf(r.endpoint) == model && r.window.current > 0 {
			q.paces = append(q.paces, r.window.current)
		}
	}
	for _, l := range q.peers[model] {
		if l.CurrentPace > 0 {
			q.paces = append(q.paces, l.CurrentPace)
		}
	}
	if len(q.paces) < 2 {
		return 0
	}
	slices.Sort(q.paces)
	return q.paces[len(q.paces)/2]
}

func modelOf(e Endpoint) string {
	if len(e.Models) == 0 {
		return ""
	}
	return e.Models[0]
}

// fault counts an endpoint's fault; BreakerFaults in a row open the breaker.
func (q *Queue) fault(now time.Time, row *queueRow) {
	row.faults++
	if row.faults < q.opt.BreakerFaults && row.breaker != BreakerHalfOpen {
		return
	}
	row.breaker, row.openUntil = BreakerOpen, now.Add(q.opt.BreakerPause)
	q.moveWaiting(now, row, ReasonBreaker)
}

// reopen lets one probe through after the breaker's pause.
func (q *Queue) reopen(now time.Time, row *queueRow) {
	if row.breaker == BreakerOpen && !now.Before(row.openUntil) {
		row.breaker, row.limit = BreakerHalfOpen, 1
		row.nextRamp = now.Add(time.Second)
	}
}

// second asks for copies of calls that a slow endpoint holds up, as long as the
// tokens for it stay within the allowed share. Cheap copies come first, because
// the share then helps the most calls.
func (q *Queue) second(row *queueRow) {
	if row.breaker != BreakerSlow {
		return
	}
	var found []*callRow
	peers := q.peerPace(row)
	for _, cr := range row.running {
		if q.worthCopy(row, cr, peers) {
			found = append(found, cr)
		}
	}
	slices.SortFunc(found, func(a, b *callRow) int {
		if x, y := q.copyCost(a.call), q.copyCost(b.call); x != y {
			return int(x - y)
		}
		return compareStrings(a.call.ID, b.call.ID)
	})
	for _, cr := range found {
		cost := float64(q.copyCost(cr.call))
		if q.spent+cost > q.opt.SecondShare*q.tokens {
			return
		}
		q.spent += cost
		cr.seconded = true
		q.emit(Command{
			Kind: CommandSecondDispatch, Call: cr.call, Endpoint: row.endpoint.ID, Reason: ReasonSlow,
		})
	}
}

// worthCopy reports whether a copy on a peer would end clearly before the call
// itself does on the slow endpoint.
func (q *Queue) worthCopy(row *queueRow, cr *callRow, peers time.Duration) bool {
	if !cr.call.Repeatable || cr.call.Second || cr.seconded || cr.cancelled {
		return false
	}
	output := q.output(cr.call)
	left := max(output-cr.tokens, output/4)
	again := time.Duration(output)*peers + time.Duration(q.copyCost(cr.call)-output)*q.opt.PrefillPace
	return time.Duration(left)*row.window.current > again
}

// copyCost is the expected number of tokens of a copy: all but the workspace's
// shared prompt, which most endpoints hold.
func (q *Queue) copyCost(c Call) int64 {
	cost := c.PromptTokens + q.output(c)
	if len(c.Prefix) > 0 {
		cost -= min(c.Prefix[0].Tokens, c.PromptTokens)
	}
	return cost
}

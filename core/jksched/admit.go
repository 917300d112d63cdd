package jksched

import (
	"math"
	"time"
)

// orderKey is the virtual start time by which calls are ordered: the time of
// arrival, later by AgeStep for each doubling of the service that the program
// has attained. Its distance from the arrival is bounded by the logarithm, so
// that every call's turn comes.
func (q *Queue) orderKey(now time.Time, c Call) time.Time {
	doublings := math.Log2(1 + float64(max(c.Attained, 0))/float64(q.opt.ServiceQuantum))
	key := now.Add(time.Duration(doublings * float64(q.opt.AgeStep)))
	key = key.Add(-time.Duration(c.Priority) * q.opt.PriorityStep)
	if c.ParentWaiting {
		key = key.Add(-q.opt.ParentBonus)
	}
	if q.nearEnd(c) {
		key = key.Add(-q.opt.EndBonus)
	}
	return key
}

// nearEnd reports whether the program is about as long as those of its
// workspace usually get. Programs that are far beyond it have no known end.
func (q *Queue) nearEnd(c Call) bool {
	mean, ok := q.turns[c.Workspace]
	at := float64(c.Turn + 1)
	return ok && at >= 0.8*mean && at <= 2*mean
}

// isShort tells short calls, for which slots are kept free, from calls with
// long answers or of programs that have already run for long.
func (q *Queue) isShort(c Call) bool {
	return q.output(c) <= q.opt.ShortTokens && c.Attained <= q.opt.ShortAttained
}

func (q *Queue) reserve(row *queueRow) int {
	return int(q.opt.ShortReserve * float64(row.limit))
}

// admit refuses a call that the endpoint can't take or can't finish in time.
func (q *Queue) admit(now time.Time, row *queueRow, c Call) error {
	wait := q.predictedWait(row)
	switch {
	case row.endpoint.State == StateLeaving:
		return &RefusedError{Reason: ReasonLeaving}
	case row.endpoint.State != StateLive:
		return &RefusedError{Reason: ReasonDown, RetryAfter: q.opt.BreakerPause}
	case row.breaker == BreakerOpen:
		return &RefusedError{Reason: ReasonBreaker, RetryAfter: q.opt.BreakerPause}
	case row.breaker == BreakerSlow && len(row.running) >= row.limit:
		return &RefusedError{Reason: ReasonSlow, RetryAfter: wait}
	case row.queued() >= q.maxQueued(row):
		return &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(wait, row.service)}
	}
	if c.Deadline.IsZero() {
		return nil
	}
	if late := now.Add(wait + q.serviceTime(row, c)).Sub(c.Deadline); late > 0 {
		return &RefusedError{Reason: ReasonDeadline, RetryAfter: late}
	}
	return nil
}

// predictedWait is the time until a new call of average size would start.
func (q *Queue) predictedWait(row *queueRow) time.Duration {
	ahead := row.queued() + len(row.running) - row.limit + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * row.service / time.Duration(max(row.limit, 1))
}

// serviceTime predicts the time of a run from dispatch to the last token.
func (q *Queue) serviceTime(row *queueRow, c Call) time.Duration {
	pace := q.opt.TokenPace
	if row.pace > 0 {
		pace = row.pace
	}
	return time.Duration(q.output(c)) * pace
}

// output is the expected number of generated tokens.
func (q *Queue) output(c Call) int64 {
	return q.outputs.expect(c, q.opt.OutputTokens)
}

// maxQueued returns the number of calls that may wait for an endpoint.
func (q *Queue) maxQueued(row *queueRow) int {
	if row.endpoint.MaxQueued > 0 {
		return row.endpoint.MaxQueued
	}
	return q.opt.MaxQueued * max(row.endpoint.Slots, 1)
}

package jksched

import (
	"math"
	"time"
)

// virtualStart returns the time by which waiting calls are ordered: the arrival time,
// plus AgeStep for each doubling of the service that the program has attained, minus
// the credits for priority, a waiting parent and an expected end. The penalty grows
// only with the logarithm of the attained service, so that no call starves.
func (q *Queue) virtualStart(now time.Time, c Call) time.Time {
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

// nearEnd reports whether the program's number of turns is close to the mean of its
// workspace. For programs with more than twice the mean the end can't be predicted.
func (q *Queue) nearEnd(c Call) bool {
	mean, ok := q.meanTurns[c.Workspace]
	at := float64(c.Turn + 1)
	return ok && at >= 0.8*mean && at <= 2*mean
}

// isShort reports whether the call may use the slots reserved for short calls: its
// expected answer is short and its program has attained little service.
func (q *Queue) isShort(c Call) bool {
	return q.expectedOutput(c) <= q.opt.ShortTokens && c.Attained <= q.opt.ShortAttained
}

// reservedSlots returns the number of slots kept free for short calls.
func (q *Queue) reservedSlots(row *queueRow) int {
	return int(q.opt.ShortReserve * float64(row.limit))
}

// admit returns a *RefusedError for a call that the endpoint can't accept or can't
// finish by its deadline.
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
		return &RefusedError{Reason: ReasonQueueFull, RetryAfter: max(wait, row.serviceTime)}
	}
	if c.Deadline.IsZero() {
		return nil
	}
	if late := now.Add(wait + q.serviceTime(row, c)).Sub(c.Deadline); late > 0 {
		return &RefusedError{Reason: ReasonDeadline, RetryAfter: late}
	}
	return nil
}

// predictedWait returns the predicted queueing time of a new call of average size.
func (q *Queue) predictedWait(row *queueRow) time.Duration {
	ahead := row.queued() + len(row.running) - row.limit + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * row.serviceTime / time.Duration(max(row.limit, 1))
}

// serviceTime predicts the time from dispatch to the last token.
func (q *Queue) serviceTime(row *queueRow, c Call) time.Duration {
	pace := q.opt.TokenPace
	if row.pace > 0 {
		pace = row.pace
	}
	return time.Duration(q.expectedOutput(c)) * pace
}

// expectedOutput returns the expected number of generated tokens.
func (q *Queue) expectedOutput(c Call) int64 {
	return q.outputs.expect(c, q.opt.OutputTokens)
}

// maxQueued returns the number of calls that may wait for an endpoint.
func (q *Queue) maxQueued(row *queueRow) int {
	if row.endpoint.MaxQueued > 0 {
		return row.endpoint.MaxQueued
	}
	return q.opt.MaxQueued * max(row.endpoint.Slots, 1)
}

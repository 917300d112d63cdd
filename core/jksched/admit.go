package jksched

import "time"

// orderKey is first come, first served.
func (q *Queue) orderKey(now time.Time, _ Call) time.Time { return now }

func (q *Queue) isShort(c Call) bool {
	return min(c.MaxTokens, q.opt.OutputTokens) <= q.opt.ShortTokens
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
	case row.queued() >= q.opt.MaxQueued*max(row.endpoint.Slots, 1):
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
	mean, ok := q.outputs[c.Workspace]
	if !ok {
		mean = float64(q.opt.OutputTokens)
	}
	return max(min(c.MaxTokens, int64(mean)), 1)
}

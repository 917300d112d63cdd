package jksched

import "time"

// smoothing is the weight of a new measurement in the moving means.
const smoothing = 0.2

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// Started reports that the endpoint accepted a dispatched call.
func (q *Queue) Started(_ time.Time, _, _ string) {}

// Tokens reports n generated tokens of a running call.
func (q *Queue) Tokens(now time.Time, call, endpoint string, n int64) {
	cr, ok := q.calls[callKey{call, endpoint}]
	if !ok || cr.dispatched.IsZero() {
		return
	}
	if cr.firstToken.IsZero() {
		cr.firstToken = now
	}
	cr.tokens += n
}

// Finished reports the end of a run. It is the only event that frees the
// call's slot, so the running count is exact.
func (q *Queue) Finished(now time.Time, call, endpoint string, r Result) {
	cr, ok := q.calls[callKey{call, endpoint}]
	if !ok || cr.dispatched.IsZero() {
		return
	}
	delete(q.calls, callKey{call, endpoint})
	delete(cr.row.running, call)
	if !cr.short {
		cr.row.runningLong--
	}
	if r.Outcome == OutcomeCompleted {
		cr.row.service = smooth(cr.row.service, now.Sub(cr.dispatched))
		if !cr.firstToken.IsZero() && cr.tokens > 1 {
			cr.row.pace = smooth(cr.row.pace, now.Sub(cr.firstToken)/time.Duration(cr.tokens-1))
		}
	}
}

// ProgramEnded releases the program's caches for certain.
func (q *Queue) ProgramEnded(_ time.Time, _ string) {}

// ReportLoad takes an endpoint's own, lagging load report.
func (q *Queue) ReportLoad(_ time.Time, _ Report) {}

// CacheEvent takes an engine's late notice about its cache.
func (q *Queue) CacheEvent(_ time.Time, _ CacheEvent) {}

// Loads returns the digests of the owned endpoints for heartbeats.
func (q *Queue) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(q.order))
	for _, r := range q.order {
		l := Load{
			Endpoint: r.endpoint.ID, At: now, Running: len(r.running), Queued: r.queued(), Limit: r.limit,
			PredictedWait: q.predictedWait(r), TokenPace: r.pace, PrefillPace: r.prefill, Breaker: r.breaker,
		}
		if len(r.endpoint.Models) > 0 {
			l.Model = r.endpoint.Models[0]
		}
		out = append(out, l)
	}
	return out
}

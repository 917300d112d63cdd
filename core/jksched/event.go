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

// learnOutput updates the mean number of generated tokens of a workspace.
func learnOutput(means map[string]float64, workspace string, generated int64) {
	mean, ok := means[workspace]
	if !ok {
		mean = float64(generated)
	}
	means[workspace] = mean + smoothing/4*(float64(generated)-mean)
}

// learnPace scales the pace of a finished call to a full batch. It is smoothed
// over many calls, because other calls' prefill makes single ones noisy.
func (q *Queue) learnPace(now time.Time, cr *callRow) {
	if cr.firstToken.IsZero() || cr.tokens < 16 {
		return
	}
	pace := now.Sub(cr.firstToken) / time.Duration(cr.tokens-1)
	fill := float64(len(cr.row.running)+1) / float64(max(cr.row.endpoint.Slots, 1))
	full := time.Duration(float64(pace) / (1 - q.opt.BatchShare + q.opt.BatchShare*min(fill, 1)))
	if cr.row.pace == 0 {
		cr.row.pace = full
	}
	cr.row.pace += (full - cr.row.pace) / 32
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
		cr.row.decoding++
	} else {
		cr.row.window.tokens += n
	}
	cr.tokens += n
	q.tokens += float64(n)
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
	cr.row.memory -= q.memory(cr.call)
	if !cr.short {
		cr.row.runningLong--
	}
	q.dropCall(now, cr.row, cr.call, r)
	if !cr.firstToken.IsZero() {
		cr.row.decoding--
	}
	q.tokens += float64(max(cr.call.PromptTokens-r.Cached, 0))
	if r.EndpointFault {
		q.fault(now, cr.row)
	}
	if r.Outcome == OutcomeCompleted {
		cr.row.faults = 0
		cr.row.service = smooth(cr.row.service, now.Sub(cr.dispatched))
		learnOutput(q.outputs, cr.call.Workspace, r.Generated)
		q.learnPace(now, cr)
	}
}

// Loads returns the digests of the owned endpoints for heartbeats.
func (q *Queue) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(q.order))
	for _, r := range q.order {
		l := Load{
			Endpoint: r.endpoint.ID, At: now, Running: len(r.running), Queued: r.queued(), Limit: r.limit,
			PredictedWait: q.predictedWait(r), TokenPace: r.pace, PrefillPace: r.prefill, Breaker: r.breaker,
			Model: modelOf(r.endpoint), CurrentPace: r.window.current,
			CacheShare: r.cacheShare(), HotPrefixes: q.hotPrefixes(now, r),
		}
		out = append(out, l)
	}
	return out
}

package jksched

import (
	"math/bits"
	"time"
)

// smoothing is the weight of a new measurement in the moving means.
const smoothing = 0.2

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// outputKey groups calls with answers of similar length: those of one workspace
// whose limits lie within the same doubling.
type outputKey struct {
	workspace string
	limit     int
}

// outputMeans holds the mean number of generated tokens per group.
type outputMeans map[outputKey]float64

func keyOf(c Call) outputKey {
	return outputKey{c.Workspace, bits.Len64(uint64(max(c.MaxTokens, 0)))}
}

func (m outputMeans) learn(c Call, generated int64) {
	mean, ok := m[keyOf(c)]
	if !ok {
		mean = float64(generated)
	}
	m[keyOf(c)] = mean + smoothing/4*(float64(generated)-mean)
}

// expect returns the expected number of generated tokens of the call.
func (m outputMeans) expect(c Call, unknown int64) int64 {
	mean, ok := m[keyOf(c)]
	if !ok {
		mean = float64(unknown)
	}
	return max(min(c.MaxTokens, int64(mean)), 1)
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
		cr.row.window.prefill += time.Duration(cr.uncached) * q.opt.PrefillPace * time.Duration(cr.row.decoding)
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
		q.outputs.learn(cr.call, r.Generated)
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

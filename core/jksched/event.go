package jksched

import (
	"math/bits"
	"time"
)

// smoothingWeight is the weight of a new sample in the exponential moving averages.
const smoothingWeight = 0.2

// smooth returns the moving average after a new sample; a mean of zero has no samples.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingWeight*float64(sample-mean))
}

// outputKey groups calls whose answers are of similar length: those of one workspace
// whose MaxTokens have the same number of bits.
type outputKey struct {
	workspace string
	limit     int
}

// outputMeans holds the moving average of generated tokens per group of calls.
type outputMeans map[outputKey]float64

func outputKeyOf(c Call) outputKey {
	return outputKey{c.Workspace, bits.Len64(uint64(max(c.MaxTokens, 0)))}
}

func (m outputMeans) observe(c Call, generated int64) {
	mean, ok := m[outputKeyOf(c)]
	if !ok {
		mean = float64(generated)
	}
	m[outputKeyOf(c)] = mean + smoothingWeight/4*(float64(generated)-mean)
}

// expect returns the expected number of generated tokens of the call; unknown is the
// default for a group without samples.
func (m outputMeans) expect(c Call, unknown int64) int64 {
	mean, ok := m[outputKeyOf(c)]
	if !ok {
		mean = float64(unknown)
	}
	return max(min(c.MaxTokens, int64(mean)), 1)
}

// observeCallPace scales the time per token of a finished call to a full batch and
// adds it to the endpoint's moving average. The average spans many calls, because the
// prefill of other calls makes single measurements noisy.
func (q *Queue) observeCallPace(now time.Time, cr *callRow) {
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

// Started records that the endpoint accepted a dispatched call. The queue keeps no
// state for it.
func (q *Queue) Started(_ time.Time, _, _ string) {}

// Tokens records n generated tokens of a running call.
func (q *Queue) Tokens(now time.Time, call, endpoint string, n int64) {
	cr, ok := q.calls[callKey{call, endpoint}]
	if !ok || cr.dispatched.IsZero() {
		return
	}
	if cr.firstToken.IsZero() {
		cr.firstToken = now
		cr.row.window.prefill += time.Duration(cr.expectedPrefill) * q.opt.PrefillPace * time.Duration(cr.row.decoding)
		cr.row.decoding++
	} else {
		cr.row.window.tokens += n
	}
	cr.tokens += n
	q.totalTokens += float64(n)
}

// Finished records the end of a run. It is the only event that frees the call's slot,
// so that the number of running calls is exact.
func (q *Queue) Finished(now time.Time, call, endpoint string, r Result) {
	cr, ok := q.calls[callKey{call, endpoint}]
	if !ok || cr.dispatched.IsZero() {
		return
	}
	delete(q.calls, callKey{call, endpoint})
	delete(cr.row.running, call)
	cr.row.reservedMemory -= q.memoryNeed(cr.call)
	if !cr.short {
		cr.row.runningLong--
	}
	q.endHeldCall(now, cr.row, cr.call, r)
	if !cr.firstToken.IsZero() {
		cr.row.decoding--
	}
	q.totalTokens += float64(max(cr.call.PromptTokens-r.Cached, 0))
	if r.EndpointFault {
		q.recordFault(now, cr.row)
	}
	if r.Outcome == OutcomeCompleted {
		cr.row.faults = 0
		cr.row.serviceTime = smooth(cr.row.serviceTime, now.Sub(cr.dispatched))
		q.outputs.observe(cr.call, r.Generated)
		q.observeCallPace(now, cr)
	}
}

// Loads returns the digests of the owned endpoints for heartbeats.
func (q *Queue) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(q.order))
	for _, r := range q.order {
		l := Load{
			Endpoint: r.endpoint.ID, At: now, Running: len(r.running), Queued: r.queued(), Limit: r.limit,
			PredictedWait: q.predictedWait(r), TokenPace: r.pace, PrefillPace: r.prefillPace, Breaker: r.breaker,
			Model: modelOf(r.endpoint), CurrentPace: r.window.current,
			CacheShare: r.cacheShare(), HotPrefixes: q.hotPrefixes(now, r),
		}
		out = append(out, l)
	}
	return out
}

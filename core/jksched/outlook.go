package jksched

import (
	"math"
	"slices"
	"time"
)

// expectedCall is what is expected of the call that is being placed. Token, perCall and prefill are
// the times of the service's engines for a token, for each running call beside it, and for a prompt
// token.
type expectedCall struct {
	keys                    costKeys
	token, perCall, prefill float64
	// work is the time of a call of a plain service at an endpoint of mean pace.
	work float64
	// tokens is the output of a call of an engine.
	tokens float64
}

// ownCall is a call of this host in flight.
type ownCall struct {
	ticket uint64
	keys   costKeys
	// work and tokens are as in expectedCall; generated is the number of tokens that have arrived,
	// and uncached the number of prompt tokens that the engine has to read before.
	work      float64
	tokens    float64
	generated float64
	uncached  float64
	hint      float64
	// startsAt is when the call is expected to get a slot. waits is set if that was later than
	// its placement.
	startsAt  time.Time
	waits     bool
	predicted time.Duration
}

// outlook is what is expected of a call at one endpoint.
type outlook struct {
	// wait is the time until the call gets a slot, run the time that it then takes, and caused
	// the delay of the calls that run there.
	wait, run, caused time.Duration
	// calls is the number of calls at the endpoint.
	calls float64
}

const (
	// leastLeft is the least share of a call's expected work that counts as left while it runs:
	// lengths have a long tail.
	leastLeft = 0.25
	// runningLeft is the share of their work that running calls of other hosts still have to do on
	// average.
	runningLeft = 0.5
	// minSamplesOfKey is the number of samples below which a key also learns from calls that
	// waited, whose time is too long.
	minSamplesOfKey = 8
)

// maxExpectedTokens bounds what callers say of outputs and prompts, so that predictions don't
// overflow.
const maxExpectedTokens = 1 << 20

// maxPrediction bounds predicted times. Sums of several such ones still fit.
const maxPrediction = 24 * time.Hour

// predictedTime returns a predicted time in nanoseconds as a duration.
func predictedTime(ns float64) time.Duration {
	return time.Duration(min(max(ns, 0), float64(maxPrediction)))
}

// expectCall predicts the work of the call that is being placed. Without learned placement it
// does nothing.
func (d *DirectPlacer) expectCall(now time.Time, c Call) {
	if !d.opt.Learned {
		return
	}
	d.updateHolders(now, c.Service)
	d.meanOthers = d.otherHostCalls[c.Service]
	keys := costKeysOf(c)
	d.expected = expectedCall{keys: keys}
	if c.Kind == KindModel {
		d.expected.tokens = d.costs.predict(keys, 1) * d.hint(c)
		if c.TokenLimit > 0 {
			d.expected.tokens = min(d.expected.tokens, float64(c.TokenLimit))
		}
		d.expected.tokens = min(d.expected.tokens, maxExpectedTokens)
		engine := d.enginePace(c.Service)
		d.expected.token, d.expected.perCall = float64(engine.tokenPace()), float64(engine.perCall())
		d.expected.prefill = float64(engine.prefillPace())
		d.serviceWork = float64(engine.outputTokens()) * float64(engine.tokenPace())
		return
	}
	d.expected.work = d.costs.predict(keys, float64(d.opt.ServiceTime))
	d.serviceWork = d.costs.mean(keys, float64(d.opt.ServiceTime))
}

// hint returns the number of tokens that a call generates according to its caller.
func (d *DirectPlacer) hint(c Call) float64 {
	if c.MaxTokens > 0 {
		return float64(c.MaxTokens)
	}
	return float64(d.opt.OutputTokens)
}

// likelyTokens returns the number of tokens that the call being placed is expected to generate.
func (d *DirectPlacer) likelyTokens(c Call) int64 {
	if d.opt.Learned {
		return max(int64(d.expected.tokens), 1)
	}
	return c.MaxTokens
}

// drainShare is the time in which a load report of a plain service loses most of its weight, as a
// share of the time in which the reported calls end. With a fixed time of 450 ms for calls of 10
// and 39 ms, 67 hosts sent to the same endpoints until the next digests:
// TestShortCallsWaitLess simulates them.
const drainShare = 0.25

// freshness returns the weight of an endpoint's load report of a given age.
func (d *DirectPlacer) freshness(row *directRow, age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	drain := d.serviceWork * max(1, reportedOtherHostCalls(row)/float64(d.slots(row)))
	return math.Exp(-float64(age) / (drainShare * max(drain, 1)))
}

// outstanding returns the number of calls at an endpoint and the work that they still have to do,
// in time of an endpoint of mean pace.
func (d *DirectPlacer) outstanding(now time.Time, row *directRow, pace float64) (calls, work float64) {
	others := d.otherCalls(row, d.meanOthers, row.loadAge)
	running := min(others, float64(d.slots(row)))
	work = (runningLeft*running + (others - running)) * d.serviceWork
	for i := range row.calls {
		work += row.calls[i].left(now, row, pace)
	}
	work += float64(max(row.ownCalls-len(row.calls), 0)) * d.serviceWork
	return others + float64(row.ownCalls), work
}

// left returns the work that a call still has to do.
func (o *ownCall) left(now time.Time, row *directRow, pace float64) float64 {
	if o.tokens > 0 {
		left := max(o.tokens-o.generated, o.tokens*leastLeft) * float64(row.engine.tokenPace())
		if o.generated == 0 {
			left += o.uncached * float64(row.engine.prefillPace())
		}
		return left
	}
	ran := max(float64(now.Sub(o.startsAt)), 0) / pace
	return max(o.work-ran, o.work*leastLeft)
}

// outlookOf predicts the times of the call that is being placed at an endpoint, once for each
// decision.
func (d *DirectPlacer) outlookOf(now time.Time, c Call, row *directRow) *outlook {
	if row.outlookFor != d.placed {
		row.outlook, row.outlookFor = d.predictOutlook(now, c, row), d.placed
	}
	return &row.outlook
}

func (d *DirectPlacer) predictOutlook(now time.Time, c Call, row *directRow) outlook {
	pace := d.pace(now, row)
	slots := float64(d.slots(row))
	calls, work := d.outstanding(now, row, pace)
	if c.Kind == KindModel {
		// Calls beside each other slow each other down.
		work *= 1 + min(calls, slots)*d.expected.perCall/d.expected.token
	}
	out := outlook{calls: calls}
	if over := calls - slots + 1; over > 0 && calls > 0 {
		// The call gets a slot when all but slots-1 of the others have ended.
		out.wait = predictedTime(work * pace / calls * over / slots)
	}
	if c.Kind != KindModel {
		out.run = predictedTime(d.expected.work * pace)
		// Prefers the endpoint with the least work, because other hosts choose at the same time.
		out.caused = predictedTime(work * pace / (4 * slots))
		return out
	}
	prefill := float64(min(row.uncached, maxExpectedTokens)) * d.expected.prefill
	perCall := d.expected.perCall * d.expected.tokens
	out.run = predictedTime((d.expected.tokens*d.expected.token + min(calls, slots)*perCall + prefill) * pace)
	// The others wait while the prompt is read, and are slowed by each token of this call.
	out.caused = predictedTime((prefill + perCall) * calls)
	return out
}

// recordCall records a call that was placed at an endpoint, and completes its placement.
func (d *DirectPlacer) recordCall(now time.Time, c Call, row *directRow, p *Placement) {
	o := d.outlookOf(now, c, row)
	d.lastTicket++
	p.Ticket, p.PredictedWait, p.PredictedRun = d.lastTicket, o.wait, o.run
	switch {
	case d.isFallback:
		p.Reason = PlacedFallback
	case c.Kind == KindModel && row.cachedFor == d.placed && row.cachedParts&1 != 0:
		p.Reason = PlacedCached
	default:
		p.Reason = PlacedBalanced
	}
	if c.Kind == KindModel {
		d.observeDemand(c)
	}
	row.calls = append(row.calls, ownCall{
		ticket: d.lastTicket, keys: d.expected.keys, work: d.expected.work, tokens: d.expected.tokens, uncached: float64(min(row.uncached, maxExpectedTokens)),
		hint: d.hint(c), startsAt: now.Add(p.SendDelay + o.wait), waits: o.wait > 0, predicted: p.SendDelay + o.wait + o.run + d.wayTime(row),
	})
}

// wayTime returns the time that a request and its answer spend in the network.
func (d *DirectPlacer) wayTime(row *directRow) time.Duration {
	if d.opt.Delay == nil {
		return 0
	}
	return 2 * d.opt.Delay(d.opt.Zone, row.endpoint.Zone)
}

// ProgressOf records the time in which a call on an engine generated tokens, as Progress, and that
// the call has so much less to do.
func (d *DirectPlacer) ProgressOf(now time.Time, id string, ticket uint64, tokens int64, took time.Duration) {
	if row, ok := d.endpoints[id]; ok && ticket != 0 {
		if i := row.callIndex(ticket); i >= 0 {
			row.calls[i].generated += float64(tokens)
		}
	}
	d.Progress(now, id, tokens, took)
}

func (r *directRow) callIndex(ticket uint64) int {
	return slices.IndexFunc(r.calls, func(o ownCall) bool { return o.ticket == ticket })
}

// FinishedCall describes the end of a call that Place counted.
type FinishedCall struct {
	Endpoint string
	Ticket   uint64
	Outcome  DirectOutcome
	// Took is the time until the answer was complete, and Tokens the length of the output; zero
	// means unknown.
	Took   time.Duration
	Tokens int64
}

// Finish ends a call as Done does, and learns what it cost. It returns the time that the call took
// relative to the predicted one, if it was predicted and served.
func (d *DirectPlacer) Finish(now time.Time, f FinishedCall) (ratio float64, ok bool) {
	row, known := d.endpoints[f.Endpoint]
	if !known || f.Ticket == 0 {
		d.Done(now, f.Endpoint, f.Outcome, f.Took)
		return 0, false
	}
	i := row.callIndex(f.Ticket)
	if i < 0 {
		// The endpoint was removed and added again since. Its calls were counted there no more.
		return 0, false
	}
	call := row.calls[i]
	row.calls = slices.Delete(row.calls, i, i+1)
	row.ownCalls = max(row.ownCalls-1, 0)
	if f.Outcome == DirectServed && f.Took > 0 {
		d.learn(now, row, call, f)
		ratio, ok = float64(f.Took)/float64(max(call.predicted, time.Microsecond)), true
	}
	d.observeOutcome(now, row, f.Outcome, f.Took)
	return ratio, ok
}

// maxOutputRatio bounds what one call says of the ratio of the output to the caller's hint.
const maxOutputRatio = 16

// learn records what a served call cost.
func (d *DirectPlacer) learn(now time.Time, row *directRow, call ownCall, f FinishedCall) {
	if call.tokens > 0 {
		if f.Tokens > 0 {
			d.costs.observe(call.keys, min(max(float64(f.Tokens)/call.hint, 1/maxOutputRatio), maxOutputRatio))
		}
		return
	}
	waited := call.waits || row.load.Waiting > 0
	if waited && d.costs.samples(call.keys) >= minSamplesOfKey {
		return
	}
	took := float64(max(f.Took-d.wayTime(row), f.Took/2))
	pace := d.pace(now, row)
	if !waited {
		row.observeServicePace(took / max(call.work, 1))
	}
	d.costs.observe(call.keys, took/pace)
}

const (
	// paceWeight is the least weight of a call in the mean pace of a plain endpoint, and paceToMean
	// how far each sample is pulled towards the mean of the service: otherwise paces and times
	// could drift apart without an effect on their products.
	paceWeight = 0.05
	paceToMean = 0.05
)

// observeServicePace adds the time of a call of a plain service relative to the expected one.
func (r *directRow) observeServicePace(ratio float64) {
	if r.meanPace == 0 {
		r.meanPace = 1
	}
	r.paceSamples++
	// The first samples weigh less than in a mean, because costs are learned at the same time.
	weight := max(1/float64(r.paceSamples+coarserWeight), paceWeight)
	ratio = min(max(ratio, 1.0/maxPaceRatio), maxPaceRatio)
	r.meanPace += ((1-paceToMean)*ratio + paceToMean - r.meanPace) * weight
}

package jksched

import (
	"slices"
	"time"
)

// enginePace estimates how fast the engines of a service are. It answers a load of calls on
// engines that nothing is known of: the figures of DirectOptions hold for one kind of engine,
// and on others they weigh queues, prompts and running calls wrongly against each other.
//
// The time per token comes from the gaps between the events of streams, the time per prompt
// token from how much longer the first event of a longer uncached prompt takes.
type enginePace struct {
	opt *DirectOptions
	// tokenSamples are the latest times per token, normalized to an engine that runs nothing
	// else. They form a ring; tokenCount is the number of all samples.
	tokenSamples [tokenSampleCount]time.Duration
	tokenCount   int
	// token is the estimated time per token; zero until there are enough samples.
	token time.Duration
	// prefill is the regression of the time of the first event over the uncached tokens.
	prefill regression
	// output is the mean number of tokens of a call.
	output float64
}

const (
	tokenSampleCount = 64
	// tokenUpdateInterval is the number of samples between two estimates.
	tokenUpdateInterval = 16
	// tokenQuantile is the quantile of the samples that estimates the time per token: most
	// gaps include the prefill of other calls.
	tokenQuantile = 0.2
	// outputWeight is the weight of one call in the mean number of tokens.
	outputWeight = 0.02
)

// observeToken adds the time in which a call generated tokens while others ran beside it. It
// reports whether the estimate was made for the first time.
func (p *enginePace) observeToken(tokens int64, took time.Duration, running int) (first bool) {
	perCall := float64(p.opt.TokenPacePerCall) / float64(p.opt.TokenPace)
	sample := float64(took) / float64(tokens) / (1 + float64(running)*perCall)
	p.tokenSamples[p.tokenCount%tokenSampleCount] = time.Duration(sample)
	p.tokenCount++
	if p.tokenCount%tokenUpdateInterval != 0 {
		return false
	}
	first = p.token == 0
	known := slices.Clone(p.tokenSamples[:min(p.tokenCount, tokenSampleCount)])
	slices.Sort(known)
	p.token = max(known[int(float64(len(known))*tokenQuantile)], time.Microsecond)
	return first
}

// observeOutput adds the expected number of tokens of a call.
func (p *enginePace) observeOutput(tokens int64) {
	if tokens <= 0 {
		return
	}
	if p.output == 0 {
		p.output = float64(tokens)
		return
	}
	p.output += (float64(tokens) - p.output) * outputWeight
}

// tokenPace returns the time per token on an engine that runs nothing else.
func (p *enginePace) tokenPace() time.Duration {
	if p.token == 0 {
		return p.opt.TokenPace
	}
	return p.token
}

// perCall returns the time that each running call adds to a token. It is the same share of
// the time per token on all engines.
func (p *enginePace) perCall() time.Duration {
	return time.Duration(float64(p.tokenPace()) * float64(p.opt.TokenPacePerCall) / float64(p.opt.TokenPace))
}

// outputTokens returns the expected number of tokens of a call.
func (p *enginePace) outputTokens() int64 {
	if p.output == 0 {
		return p.opt.OutputTokens
	}
	return max(int64(p.output), 1)
}

// maxPrefillRatio bounds the estimated time per prompt token relative to the assumed one.
const maxPrefillRatio = 10

// prefillPace returns the time per prompt token that isn't cached. Until there are enough
// samples, it is assumed to be the same share of the time per token on all engines.
func (p *enginePace) prefillPace() time.Duration {
	assumed := float64(p.tokenPace()) * float64(p.opt.PrefillPace) / float64(p.opt.TokenPace)
	slope := p.prefill.slope(assumed)
	return time.Duration(min(max(slope, assumed/maxPrefillRatio), assumed*maxPrefillRatio))
}

// regression is a linear least-squares regression whose samples lose weight as others follow.
type regression struct {
	n, x, y, xx, xy float64
}

const (
	// regressionDecay is the factor by which the weight of a sample falls with each later one.
	regressionDecay = 0.995
	// priorSamples is the weight of the assumed slope in samples, priorSpread the standard
	// deviation of x at which it has this weight.
	priorSamples = 20
	priorSpread  = 1500
)

func (r *regression) observe(x, y float64) {
	r.n = r.n*regressionDecay + 1
	r.x = r.x*regressionDecay + x
	r.y = r.y*regressionDecay + y
	r.xx = r.xx*regressionDecay + x*x
	r.xy = r.xy*regressionDecay + x*y
}

// slope returns the slope, which moves from the assumed one as samples arrive. Samples count
// by how far their x are apart.
func (r *regression) slope(assumed float64) float64 {
	const prior = priorSamples * priorSpread * priorSpread
	if r.n == 0 {
		return assumed
	}
	spread := r.xx - r.x*r.x/r.n
	return (r.xy - r.x*r.y/r.n + assumed*prior) / (spread + prior)
}

// enginePace returns the estimate of a service's engines.
func (d *DirectPlacer) enginePace(service string) *enginePace {
	p := d.enginePaces[service]
	if p == nil {
		p = &enginePace{opt: &d.opt}
		d.enginePaces[service] = p
	}
	return p
}

// Progress records the time in which a running call on an engine generated tokens.
func (d *DirectPlacer) Progress(now time.Time, id string, tokens int64, took time.Duration) {
	row, ok := d.endpoints[id]
	if !ok || tokens <= 0 || took <= 0 {
		return
	}
	running := min(d.occupancy(now, row), d.slots(row))
	if row.engine.observeToken(tokens, took, running) {
		// What was measured so far is relative to the assumed pace.
		for _, other := range d.services[row.endpoint.Service] {
			other.meanPace, other.recentPace = 0, 0
		}
	}
	expected := time.Duration(tokens) * (row.engine.tokenPace() + time.Duration(running)*row.engine.perCall())
	row.observePace(now, min(float64(took)/float64(expected), maxPaceRatio), d.opt.MaxPaceAge)
}

// FirstEvent records the time from sending a call to its first event, with the load that the
// endpoint reported in the same answer. Uncached is the number of prompt tokens that weren't
// expected to be cached.
func (d *DirectPlacer) FirstEvent(id string, uncached int64, took time.Duration, l DirectLoad) {
	row, ok := d.endpoints[id]
	if !ok || took <= 0 || uncached < 0 || !l.IsValid() || l.Waiting > 0 || 2*l.Running > d.slots(row) {
		// Waiting calls and a full batch take longer for other reasons.
		return
	}
	row.engine.prefill.observe(float64(uncached), float64(took))
}

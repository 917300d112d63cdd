package jkpolicy

import (
	"math"
	"slices"
)

// Values of measureRow.Bound: the side on which a figure meets its target.
const (
	atMost  = "at_most"
	atLeast = "at_least"
)

// measureRow is one line of the report: a target of section 2.3 or 2.6 of the design
// page and the figures of each policy.
type measureRow struct {
	Name   string  `json:"name"`
	Target float64 `json:"target"`
	Bound  string  `json:"bound"`
	// Values holds the figures of each policy, one per seed.
	Values map[string][]float64 `json:"values"`
	// Met reports whether the median of the policy jasmineknot meets the target.
	Met bool `json:"met"`
}

// measureDefinition defines a measure and computes it for one seed and policy.
type measureDefinition struct {
	name   string
	target float64
	bound  string
	value  func(r *results, seed uint64, policy string) float64
}

func (r *results) stats(seed uint64, sc scenario, policy string) *stats {
	return r.runs[runKey{seed, sc, policy}]
}

// ratio returns a/b, 0 for 0/0 and infinity for any other division by zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		if a == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return a / b
}

// latencyRatio compares quantiles of the latencies and of the lower bounds of the same
// programs.
func latencyRatio(q float64) func(*results, uint64, string) float64 {
	return func(r *results, seed uint64, policy string) float64 {
		s := r.stats(seed, scenarioSteady, policy)
		return ratio(quantile(s.latency, q), quantile(s.latencyBounds, q))
	}
}

// againstNaive compares a figure of the steady run with that of the policy naive.
func againstNaive(f func(*stats) float64) func(*results, uint64, string) float64 {
	return func(r *results, seed uint64, policy string) float64 {
		return ratio(f(r.stats(seed, scenarioSteady, policy)), f(r.stats(seed, scenarioSteady, policyNaive)))
	}
}

// againstSteady compares a figure of another scenario with that of the steady run.
func againstSteady(sc scenario, inverse bool, f func(*stats) float64) func(*results, uint64, string) float64 {
	return func(r *results, seed uint64, policy string) float64 {
		a, b := f(r.stats(seed, sc, policy)), f(r.stats(seed, scenarioSteady, policy))
		if inverse {
			a, b = b, a
		}
		return ratio(a, b)
	}
}

// figure returns a figure of one scenario as it is.
func figure(sc scenario, f func(*stats) float64) func(*results, uint64, string) float64 {
	return func(r *results, seed uint64, policy string) float64 { return f(r.stats(seed, sc, policy)) }
}

var (
	p99         = func(s *stats) float64 { return quantile(s.latency, 0.99) }
	shortWait   = func(s *stats) float64 { return quantile(s.shortFirstToken, 0.99) }
	slowdownP99 = func(s *stats) float64 { return quantile(s.slowdownLatency, 0.99) }
	extraShare  = func(s *stats) float64 {
		return ratio(float64(s.extraTokens), float64(s.generatedTokens+s.prefillTokens))
	}
)

var measureDefinitions = []measureDefinition{
	{"program latency p50 / lower bound", 1.25, atMost, latencyRatio(0.5)},
	{"program latency p99 / lower bound", 2, atMost, latencyRatio(0.99)},
	{"program latency p99 / naive", 0.5, atMost, againstNaive(p99)},
	{"tokens prefilled again / naive", 0.15, atMost, againstNaive(func(s *stats) float64 { return float64(s.repeatedTokens) })},
	{
		"memory-seconds of ended programs / naive", 0.15, atMost,
		againstNaive(func(s *stats) float64 { return s.endedTokenSeconds }),
	},
	{
		"tokens held 5 s after an announced end", 0, atMost,
		figure(scenarioSteady, func(s *stats) float64 { return float64(s.heldAnnounced) }),
	},
	{
		"tokens held 5 s after a silent end", 0, atMost,
		figure(scenarioSteady, func(s *stats) float64 { return float64(s.heldSilent) }),
	},
	{"crest: turns in time / possible in hindsight", 0.99, atLeast, func(r *results, seed uint64, policy string) float64 {
		s := r.stats(seed, scenarioPeak, policy)
		return ratio(float64(s.inTime()), float64(s.possibleInTime))
	}},
	{"crest: turns in time / naive", 2, atLeast, func(r *results, seed uint64, policy string) float64 {
		return ratio(float64(r.stats(seed, scenarioPeak, policy).inTime()), float64(r.stats(seed, scenarioPeak, policyNaive).inTime()))
	}},
	{"short calls' p99 wait, with / without stragglers", 1.2, atMost, againstSteady(scenarioNoStragglers, true, shortWait)},
	{"program p99, 2 of 9 slowed / none", 1.3, atMost, againstSteady(scenarioSlowed, false, p99)},
	{"turn p99 in the slowed 30 s / none slowed", 1.3, atMost, againstSteady(scenarioSlowed, false, slowdownP99)},
	{"extra tokens by second dispatches, slowed", 0.05, atMost, figure(scenarioSlowed, extraShare)},
	{"first token p95, s", 0.46, atMost, figure(scenarioSteady, func(s *stats) float64 { return quantile(s.firstToken, 0.95) })},
	{"time between tokens p95, s", 0.03, atMost, figure(scenarioSteady, func(s *stats) float64 { return quantile(s.tokenInterval, 0.95) })},
}

// rows computes every measure of the results.
func (r *results) rows() []measureRow {
	out := make([]measureRow, 0, len(measureDefinitions))
	for _, d := range measureDefinitions {
		row := measureRow{Name: d.name, Target: d.target, Bound: d.bound, Values: map[string][]float64{}}
		for _, p := range policyNames {
			for i := range r.settings.seeds {
				row.Values[p] = append(row.Values[p], d.value(r, r.settings.seed+uint64(i), p))
			}
		}
		m := median(row.Values[policyJasmineknot])
		row.Met = m <= row.Target
		if row.Bound == atLeast {
			row.Met = m >= row.Target
		}
		out = append(out, row)
	}
	return out
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

package jkpolicy

import (
	"slices"
	"time"
)

// stats collects the figures of one run. Latencies are in seconds: latency and
// latencyBounds per program, firstToken and tokenInterval per call, shortFirstToken per
// call of a short class.
type stats struct {
	latency         []float64
	latencyBounds   []float64
	firstToken      []float64
	shortFirstToken []float64
	tokenInterval   []float64
	turns           []turnRecord
	// slowdownLatency holds the latencies of the turns submitted during scenarioSlowed's
	// slowdown, relative to each turn's lower bound.
	slowdownLatency []float64
	// possibleInTime bounds from above, in hindsight, how many turns any scheduler could
	// have answered in time.
	possibleInTime int
	// offeredPerSecond counts the turns with a deadline by the second of their release,
	// and inTimePerSecond those of them that were answered in time.
	offeredPerSecond []float64
	inTimePerSecond  []float64
	unfinished       int

	prefillTokens, repeatedTokens, generatedTokens, extraTokens int64
	endedTokenSeconds                                           float64
	heldAnnounced, heldSilent                                   int64
}

// turnRecord is a measured turn with a deadline.
type turnRecord struct {
	release, deadline, answered time.Duration
	// serviceTime is the endpoint time at full batch with a warm cache.
	serviceTime time.Duration
}

func (t turnRecord) inTime() bool { return t.answered <= t.deadline }

func (s *stats) recordProgram(w *workload, p *program, latency time.Duration) {
	s.latency = append(s.latency, latency.Seconds())
	s.latencyBounds = append(s.latencyBounds, latencyBound(w, p).Seconds())
}

func (s *stats) recordTurn(p *plan, req *request, j *job, now time.Duration) {
	if !p.inMeasuredTime(req.arrived) {
		return
	}
	// The first token has the same delay to the caller as the last one.
	first := (now - j.lastToken + j.firstToken - req.arrived).Seconds()
	s.firstToken = append(s.firstToken, first)
	if req.run.spec.class.Short {
		s.shortFirstToken = append(s.shortFirstToken, first)
	}
	from := p.cacheWarmup + p.duration/2
	if req.arrived >= from && req.arrived < from+slowdownTime {
		s.slowdownLatency = append(s.slowdownLatency, (now-req.arrived).Seconds()/callBound(p.workload, *req.turn).Seconds())
	}
	if j.output > 1 {
		s.tokenInterval = append(s.tokenInterval, (j.lastToken-j.firstToken).Seconds()/float64(j.output-1))
	}
	if req.deadline > 0 {
		s.turns = append(s.turns, turnRecord{
			release: req.arrived, deadline: req.deadline, answered: now, serviceTime: turnServiceTime(p.workload, *req.turn),
		})
	}
}

// countRepeated counts the tokens of the shared prompt and of the history that weren't
// cached and are prefilled again.
func (s *stats) countRepeated(_ *job, shared, history int64) { s.repeatedTokens += shared + history }

// countJob counts the tokens of an ended job. A job that was cancelled, or ended after
// another job had completed its request, is extra work.
func (s *stats) countJob(j *job) {
	done := j.prompt - j.cachedTokens - j.prefillLeft
	s.generatedTokens += j.generated
	s.prefillTokens += done
	if j.cancelled || j.req.done {
		s.extraTokens += j.generated + done
	}
}

// countPerSecond fills the figures per second from the recorded turns.
func (s *stats) countPerSecond(end time.Duration) {
	n := int(end/time.Second) + 1
	s.offeredPerSecond, s.inTimePerSecond = make([]float64, n), make([]float64, n)
	for _, t := range s.turns {
		second := int(t.release / time.Second)
		s.offeredPerSecond[second]++
		if t.inTime() {
			s.inTimePerSecond[second]++
		}
	}
}

func (s *stats) inTime() int {
	n := 0
	for _, t := range s.turns {
		if t.inTime() {
			n++
		}
	}
	return n
}

// quantile returns the nearest-rank quantile of unsorted values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

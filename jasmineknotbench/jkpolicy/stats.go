package jkpolicy

import (
	"slices"
	"time"
)

// stats collects what one run showed. Latencies are in seconds.
type stats struct {
	latency    []float64
	bounds     []float64
	first      []float64
	shortFirst []float64
	gap        []float64
	turns      []turnRecord
	// windowTurns are the latencies of turns in the time of scenarioSlowed's
	// slowdown, relative to each turn's lower bound.
	windowTurns []float64
	// possible is the number of turns that could be in time in hindsight.
	possible int
	// offered and answered count the turns with a deadline per second of their
	// release, and those of them answered in time.
	offered    []float64
	answered   []float64
	unfinished int

	prefill, repeated, generated, extra int64
	endedTokenSeconds                   float64
	heldAnnounced, heldSilent           int64
}

// turnRecord is a measured turn with a deadline.
type turnRecord struct {
	release, deadline, answered time.Duration
	// work is the endpoint time at full batch with a warm cache.
	work time.Duration
}

func (t turnRecord) inTime() bool { return t.answered <= t.deadline }

func (s *stats) program(w *workload, p *program, latency time.Duration) {
	s.latency = append(s.latency, latency.Seconds())
	s.bounds = append(s.bounds, bound(w, p).Seconds())
}

func (s *stats) turn(p *plan, req *request, j *job, now time.Duration) {
	if !p.measures(req.arrived) {
		return
	}
	// The first token takes the same way back as the last one.
	first := (now - j.lastToken + j.firstToken - req.arrived).Seconds()
	s.first = append(s.first, first)
	if req.run.spec.class.Short {
		s.shortFirst = append(s.shortFirst, first)
	}
	from := p.settle + p.duration/2
	if req.arrived >= from && req.arrived < from+slowTime {
		s.windowTurns = append(s.windowTurns, (now-req.arrived).Seconds()/callBound(p.load, *req.turn).Seconds())
	}
	if j.output > 1 {
		s.gap = append(s.gap, (j.lastToken-j.firstToken).Seconds()/float64(j.output-1))
	}
	if req.deadline > 0 {
		s.turns = append(s.turns, turnRecord{
			release: req.arrived, deadline: req.deadline, answered: now, work: turnWork(p.load, *req.turn),
		})
	}
}

func (s *stats) prefilled(_ *job, shared, history int64) { s.repeated += shared + history }

// decoded counts a finished run. Runs that lost to another copy of the same
// request are extra work.
func (s *stats) decoded(j *job) {
	done := j.prompt - j.hit - j.prefillLeft
	s.generated += j.generated
	s.prefill += done
	if j.cancelled || j.req.done {
		s.extra += j.generated + done
	}
}

// countSeconds fills the time line from the recorded turns.
func (s *stats) countSeconds(end time.Duration) {
	n := int(end/time.Second) + 1
	s.offered, s.answered = make([]float64, n), make([]float64, n)
	for _, t := range s.turns {
		second := int(t.release / time.Second)
		s.offered[second]++
		if t.inTime() {
			s.answered[second]++
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

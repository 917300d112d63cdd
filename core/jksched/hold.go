package jksched

import (
	"math"
	"slices"
	"time"
)

// heldProgram is the cached history of a program on an endpoint.
type heldProgram struct {
	tokens    int64
	workspace string
	turn      uint32
	// idleSince is when the last call ended, in Unix nanoseconds; zero while a call
	// of the program waits or runs here.
	idleSince int64
	calls     int32
	// toolCalls is true if the last answer contained tool calls.
	toolCalls bool
	// ended is true if the program ended while one of its calls was waiting or running.
	ended bool
}

// The histogram of pauses has pauseBins bins. The first ends at pauseUnit, each
// following one spans a doubling, and the last has no upper bound.
const (
	pauseBins = 12
	pauseUnit = 250 * time.Millisecond
)

// pauseModel estimates the rate at which paused programs return. For each bin of the
// pause's length it counts the returns and the time spent waiting for them, so that
// pauses cut off by a release or by the program's end (censored samples) don't bias it.
type pauseModel struct {
	returns  [pauseBins]float64
	exposure [pauseBins]float64
}

// newPauseModel returns a model with the prior of a heavy-tailed distribution, whose
// return rate falls with the inverse of the time already waited. The prior has the
// weight of three returns per bin.
func newPauseModel() pauseModel {
	var m pauseModel
	for i := range m.returns {
		m.returns[i] = 3
		m.exposure[i] = 3 * 2 * binStart(i+1).Seconds()
	}
	return m
}

// binStart returns the shortest pause of a bin.
func binStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return pauseUnit << (i - 1)
}

// binOf returns the bin of a pause.
func binOf(pause time.Duration) int {
	if pause < pauseUnit {
		return 0
	}
	return min(int(math.Log2(float64(pause)/float64(pauseUnit)))+1, pauseBins-1)
}

// observe records a pause; returned is false if it was cut off.
func (m *pauseModel) observe(pause time.Duration, returned bool) {
	last := binOf(pause)
	for i := range last {
		m.exposure[i] += (binStart(i+1) - binStart(i)).Seconds()
	}
	m.exposure[last] += (pause - binStart(last)).Seconds()
	if returned {
		m.returns[last]++
	}
}

// returnRate returns the highest ratio, over all hold times from the given pause on,
// of the expected returns to the expected time held, in 1/s. The present rate alone
// isn't enough, because people rarely answer within the first second.
func (m *pauseModel) returnRate(pause time.Duration) float64 {
	best, survival, expectedReturns, expectedHold := 0.0, 1.0, 0.0, 0.0
	from := pause
	for i := binOf(pause); i < pauseBins; i++ {
		hazard := m.returns[i] / m.exposure[i]
		returning := survival * -math.Expm1(-hazard*(binStart(i+1)-from).Seconds())
		expectedReturns += returning
		expectedHold += returning / hazard
		survival -= returning
		best = max(best, expectedReturns/expectedHold)
		from = binStart(i + 1)
	}
	return best
}

// pauseModelFor returns the model for pauses after answers with or without tool calls.
func (q *Queue) pauseModelFor(tools bool) *pauseModel {
	if tools {
		return &q.toolPauses
	}
	return &q.stopPauses
}

// beginHeldCall counts a new call of the program on the endpoint, which ends the
// program's pause there.
func (q *Queue) beginHeldCall(now time.Time, row *queueRow, c Call) {
	if c.Kind != KindModel {
		return
	}
	h, ok := row.held[c.Program]
	if !ok {
		h = &heldProgram{}
		row.held[c.Program] = h
	}
	if h.idleSince != 0 {
		q.pauseModelFor(h.toolCalls).observe(time.Duration(now.UnixNano()-h.idleSince), true)
		h.idleSince = 0
	}
	h.workspace, h.turn = c.Workspace, uint32(c.Turn)
	h.calls++
	row.resize(h, max(h.tokens, historyTokens(c)))
}

// resize sets the tokens of a cached history and updates the endpoint's sum.
func (r *queueRow) resize(h *heldProgram, tokens int64) {
	r.heldTokens += tokens - h.tokens
	h.tokens = tokens
}

// historyTokens returns the length of the prompt without the workspace's shared part.
func historyTokens(c Call) int64 {
	if len(c.Prefix) == 0 {
		return c.PromptTokens
	}
	return max(c.PromptTokens-c.Prefix[0].Tokens, 0)
}

// endHeldCall ends a call of the program on the endpoint; after the last one the
// program's pause starts, or its cache is released if the program has ended.
func (q *Queue) endHeldCall(now time.Time, row *queueRow, c Call, r Result) {
	h, ok := row.held[c.Program]
	if !ok || c.Kind != KindModel {
		return
	}
	h.calls--
	switch r.Outcome {
	case OutcomeCompleted:
		row.resize(h, historyTokens(c)+r.Generated)
		h.toolCalls = r.ToolCalls
	case OutcomeCancelled, OutcomeFailed:
		row.resize(h, max(h.tokens, historyTokens(c)))
	}
	if h.calls > 0 {
		return
	}
	h.idleSince = now.UnixNano()
	if h.ended {
		q.release(row, c.Program, ReasonEnded)
	}
}

// release drops the program's cache from the table and emits the command for it.
func (q *Queue) release(row *queueRow, program string, reason Reason) {
	row.resize(row.held[program], 0)
	delete(row.held, program)
	q.emit(Command{
		Kind: CommandReleaseCache, Call: Call{Program: program, Kind: KindModel},
		Endpoint: row.endpoint.ID, Reason: reason,
	})
}

// ProgramEnded releases the program's caches on all owned endpoints. Where one of its
// calls is still waiting or running, the release follows that call's end.
func (q *Queue) ProgramEnded(now time.Time, program string) {
	for _, row := range q.order {
		q.endHold(now, row, program, ReasonEnded)
	}
}

// ReleaseCache drops the program's cache on one endpoint because the program has moved
// to another. A cache that a call still uses is kept.
func (q *Queue) ReleaseCache(now time.Time, program, endpoint string) {
	if row, ok := q.endpoints[endpoint]; ok {
		q.endHold(now, row, program, ReasonMoved)
	}
}

// endHold releases the program's cache on an endpoint unless a call still uses it.
func (q *Queue) endHold(now time.Time, row *queueRow, program string, reason Reason) {
	h, ok := row.held[program]
	if !ok {
		return
	}
	if h.calls > 0 {
		h.ended = reason == ReasonEnded
		return
	}
	if reason == ReasonEnded {
		mean, known := q.meanTurns[h.workspace]
		if !known {
			mean = float64(h.turn + 1)
		}
		q.meanTurns[h.workspace] = mean + smoothingWeight/4*(float64(h.turn+1)-mean)
		q.pauseModelFor(h.toolCalls).observe(time.Duration(now.UnixNano()-h.idleSince), false)
	}
	q.release(row, program, reason)
}

// sweep releases the caches of paused programs that are unlikely to return soon. The
// prefill that a held cache saves and the memory that it costs both grow with its
// tokens, so that only the return rate matters.
func (q *Queue) sweep(now time.Time, row *queueRow) {
	if now.Before(row.nextSweep) {
		return
	}
	row.nextSweep = now.Add(q.opt.SweepEvery)
	least := q.opt.HoldRate * q.memoryPressure(row)
	var drop []string
	for program, h := range row.held {
		if h.calls > 0 {
			continue
		}
		pause := time.Duration(now.UnixNano() - h.idleSince)
		limit := q.opt.IdleHold
		if !h.toolCalls {
			limit = q.opt.StopHold
		}
		if pause >= limit || q.pauseModelFor(h.toolCalls).returnRate(pause) < least {
			drop = append(drop, program)
		}
	}
	slices.Sort(drop)
	for _, program := range drop {
		h := row.held[program]
		q.pauseModelFor(h.toolCalls).observe(time.Duration(now.UnixNano()-h.idleSince), false)
		q.release(row, program, ReasonIdle)
	}
}

// memoryPressure returns the factor for the price of memory. It rises from 1 at the
// high-water mark to 10 for a full cache.
func (q *Queue) memoryPressure(row *queueRow) float64 {
	if row.report.CacheTotal == 0 {
		return 1
	}
	used := float64(row.report.CacheUsed) / float64(row.report.CacheTotal)
	over := (used - q.opt.CacheHighWater) / (1 - q.opt.CacheHighWater)
	return 1 + 9*min(max(over, 0), 1)
}

// ReportLoad records an endpoint's own load report, unless a newer one is known.
func (q *Queue) ReportLoad(_ time.Time, r LoadReport) {
	if row, ok := q.endpoints[r.Endpoint]; ok && !r.At.Before(row.report.At) {
		row.report = r
	}
}

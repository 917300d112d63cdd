package jksched

import (
	"math"
	"slices"
	"time"
)

// heldProgram is a program's cache on an endpoint.
type heldProgram struct {
	tokens    int64
	workspace string
	turn      uint32
	// idle is when the last call ended, in Unix nanoseconds; zero while a call
	// of the program waits or runs here.
	idle  int64
	calls int32
	// tools is true if the last answer asked for tools.
	tools bool
	// ended is true if the program has ended while a call still ran.
	ended bool
}

// pauseBins is the number of doublings of pauseUnit that are told apart.
const (
	pauseBins = 12
	pauseUnit = 250 * time.Millisecond
)

// pauseModel learns how likely a paused program returns. Per doubling of the
// pause it counts returns and the time spent waiting for them, so that pauses
// cut off by a release or an end are counted correctly.
type pauseModel struct {
	returns  [pauseBins]float64
	exposure [pauseBins]float64
}

// newPauseModel starts with the rate of a heavy tail, which falls with the
// inverse of the time already waited, with the weight of a few observations.
func newPauseModel() pauseModel {
	var m pauseModel
	for i := range m.returns {
		m.returns[i] = 3
		m.exposure[i] = 3 * 2 * binStart(i+1).Seconds()
	}
	return m
}

func binStart(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return pauseUnit << (i - 1)
}

func binOf(pause time.Duration) int {
	if pause < pauseUnit {
		return 0
	}
	return min(int(math.Log2(float64(pause)/float64(pauseUnit)))+1, pauseBins-1)
}

// observe counts a pause; returned is false if it was cut off.
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

// rate is the greatest ratio, over all times to hold from the given pause on, of
// the expected returns to the expected time held, in 1/s. Looking ahead is
// needed because people rarely answer within the first second.
func (m *pauseModel) rate(pause time.Duration) float64 {
	best, alive, gained, held := 0.0, 1.0, 0.0, 0.0
	from := pause
	for i := binOf(pause); i < pauseBins; i++ {
		hazard := m.returns[i] / m.exposure[i]
		back := alive * -math.Expm1(-hazard*(binStart(i+1)-from).Seconds())
		gained += back
		held += back / hazard
		alive -= back
		best = max(best, gained/held)
		from = binStart(i + 1)
	}
	return best
}

// pauses returns the model for answers that did or didn't ask for tools.
func (q *Queue) pauses(tools bool) *pauseModel {
	if tools {
		return &q.toolPauses
	}
	return &q.stopPauses
}

// holdCall counts a call of the program on the endpoint, which ends a pause.
func (q *Queue) holdCall(now time.Time, row *queueRow, c Call) {
	if c.Kind != KindModel {
		return
	}
	h, ok := row.held[c.Program]
	if !ok {
		h = &heldProgram{}
		row.held[c.Program] = h
	}
	if h.idle != 0 {
		q.pauses(h.tools).observe(time.Duration(now.UnixNano()-h.idle), true)
		h.idle = 0
	}
	h.workspace, h.turn = c.Workspace, uint32(c.Turn)
	h.calls++
	row.resize(h, max(h.tokens, historyTokens(c)))
}

func (r *queueRow) resize(h *heldProgram, tokens int64) {
	r.heldTokens += tokens - h.tokens
	h.tokens = tokens
}

// historyTokens is the prompt without the workspace's shared part.
func historyTokens(c Call) int64 {
	if len(c.Prefix) == 0 {
		return c.PromptTokens
	}
	return max(c.PromptTokens-c.Prefix[0].Tokens, 0)
}

// dropCall ends a call of the program on the endpoint.
func (q *Queue) dropCall(now time.Time, row *queueRow, c Call, r Result) {
	h, ok := row.held[c.Program]
	if !ok || c.Kind != KindModel {
		return
	}
	h.calls--
	switch r.Outcome {
	case OutcomeCompleted:
		row.resize(h, historyTokens(c)+r.Generated)
		h.tools = r.ToolCalls
	case OutcomeCancelled, OutcomeFailed:
		row.resize(h, max(h.tokens, historyTokens(c)))
	}
	if h.calls > 0 {
		return
	}
	h.idle = now.UnixNano()
	if h.ended {
		q.release(row, c.Program, ReasonEnded)
	}
}

func (q *Queue) release(row *queueRow, program string, reason Reason) {
	row.resize(row.held[program], 0)
	delete(row.held, program)
	q.emit(Command{
		Kind: CommandReleaseCache, Call: Call{Program: program, Kind: KindModel},
		Endpoint: row.endpoint.ID, Reason: reason,
	})
}

// ProgramEnded releases the program's caches on all owned endpoints; where a
// call still runs, the release follows its end.
func (q *Queue) ProgramEnded(now time.Time, program string) {
	for _, row := range q.order {
		q.endHeld(now, row, program, ReasonEnded)
	}
}

// Release drops the program's cache on one endpoint, for example because the
// program has moved to another.
func (q *Queue) Release(now time.Time, program, endpoint string) {
	if row, ok := q.endpoints[endpoint]; ok {
		q.endHeld(now, row, program, ReasonMoved)
	}
}

func (q *Queue) endHeld(now time.Time, row *queueRow, program string, reason Reason) {
	h, ok := row.held[program]
	if !ok {
		return
	}
	if h.calls > 0 {
		h.ended = reason == ReasonEnded
		return
	}
	if reason == ReasonEnded {
		mean, known := q.turns[h.workspace]
		if !known {
			mean = float64(h.turn + 1)
		}
		q.turns[h.workspace] = mean + smoothing/4*(float64(h.turn+1)-mean)
		q.pauses(h.tools).observe(time.Duration(now.UnixNano()-h.idle), false)
	}
	q.release(row, program, reason)
}

// sweep releases caches of paused programs that are unlikely to return soon.
// What holding saves, the prefill, and what it costs, the memory, both grow with
// the tokens, so that the rate of returns alone decides.
func (q *Queue) sweep(now time.Time, row *queueRow) {
	if now.Before(row.nextSweep) {
		return
	}
	row.nextSweep = now.Add(q.opt.SweepEvery)
	least := q.opt.HoldRate * q.pressure(row)
	var drop []string
	for program, h := range row.held {
		if h.calls > 0 {
			continue
		}
		pause := time.Duration(now.UnixNano() - h.idle)
		limit := q.opt.IdleHold
		if !h.tools {
			limit = q.opt.StopHold
		}
		if pause >= limit || q.pauses(h.tools).rate(pause) < least {
			drop = append(drop, program)
		}
	}
	slices.Sort(drop)
	for _, program := range drop {
		h := row.held[program]
		q.pauses(h.tools).observe(time.Duration(now.UnixNano()-h.idle), false)
		q.release(row, program, ReasonIdle)
	}
}

// pressure raises the price of memory tenfold between the high-water mark and
// a full cache.
func (q *Queue) pressure(row *queueRow) float64 {
	if row.report.CacheTotal == 0 {
		return 1
	}
	used := float64(row.report.CacheUsed) / float64(row.report.CacheTotal)
	over := (used - q.opt.CacheHighWater) / (1 - q.opt.CacheHighWater)
	return 1 + 9*min(max(over, 0), 1)
}

// ReportLoad takes an endpoint's own, lagging load report.
func (q *Queue) ReportLoad(_ time.Time, r Report) {
	if row, ok := q.endpoints[r.Endpoint]; ok && !r.At.Before(row.report.At) {
		row.report = r
	}
}

package jkstandin

import (
	"sort"
	"time"
)

// engineSequence is the state of one request in the engine.
type engineSequence struct {
	id             string // the client's request id, may be empty
	serial         int
	program        string
	priority       int
	hasCrashMarker bool     // the engine crashes when it admits the sequence
	promptBlocks   []uint64 // digests of the full blocks of the prompt
	finalBlocks    []uint64 // digests of the full blocks of prompt and answer
	promptTokens   int
	cachedTokens   int  // prompt tokens found in the prefix cache
	prefillLeft    int  // prompt tokens not yet prefilled
	admitted       bool // prefill has begun; stays set when a closed stream is resumed
	answer         engineAnswer
	produced       int           // answer tokens generated so far
	progress       chan struct{} // buffered: one pending signal that tokens were produced
}

func (s *engineSequence) finished() bool { return s.produced == len(s.answer.tokens) }

func (s *engineSequence) signalProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// enqueue adds a sequence to the queue, ordered by priority. The caller holds mu.
func (e *Engine) enqueue(s *engineSequence) {
	e.serial++
	s.serial = e.serial
	e.queue = append(e.queue, s)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].priority > e.queue[j].priority })
	e.recordLoad()
	e.startStep()
}

// startStep starts the next step of the batch unless one is in progress. The caller
// holds mu.
func (e *Engine) startStep() {
	if e.stepping || e.faults.Hang {
		return
	}
	if e.admitQueued() || len(e.running) == 0 {
		return
	}
	budget, cost := e.options.PrefillChunk, e.options.StepBase
	plan := make([]int, len(e.running)) // prompt tokens to prefill in this step, by sequence
	for i, s := range e.running {
		plan[i] = min(s.prefillLeft, budget)
		budget -= plan[i]
		cost += e.options.StepPerSequence + time.Duration(plan[i])*e.options.PrefillPerToken
	}
	if e.faults.SlowFactor > 0 {
		cost = time.Duration(float64(cost) * e.faults.SlowFactor)
	}
	e.stepping = true
	batch := append([]*engineSequence{}, e.running...)
	crashSignal := e.crashSignal
	e.cancelStep = e.timer.After(e.scaled(cost), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if crashSignal == e.crashSignal {
			e.finishStep(batch, plan)
		}
	})
}

// admitQueued moves queued sequences into free places of the batch and reports whether
// one of them crashed the engine. The caller holds mu.
func (e *Engine) admitQueued() (crashed bool) {
	for len(e.queue) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.hasCrashMarker {
			e.crash()
			return true
		}
		e.running = append(e.running, s)
		if !s.admitted {
			e.beginPrefill(s)
		}
	}
	return false
}

// beginPrefill looks up the prompt in the prefix cache, stores it there and sets how
// many tokens are left to prefill. The caller holds mu.
func (e *Engine) beginPrefill(s *engineSequence) {
	s.admitted = true
	s.cachedTokens = min(e.cache.lookup(s.promptBlocks)*engineBlockTokens, s.promptTokens)
	s.prefillLeft = s.promptTokens - s.cachedTokens
	e.account.CachedTokens += s.cachedTokens
	e.account.PrefilledTokens += s.prefillLeft
	e.cache.insert(s.program, s.promptBlocks, e.timer.Now())
}

// finishStep applies the result of a step to the sequences that are still in the
// batch, and starts the next step. The caller holds mu.
func (e *Engine) finishStep(batch []*engineSequence, plan []int) {
	e.stepping = false
	for i, s := range batch {
		if !e.isRunning(s) {
			continue // closed during the step
		}
		if s.prefillLeft > 0 {
			s.prefillLeft -= plan[i]
			continue
		}
		s.produced++
		e.account.GeneratedTokens++
		if s.finished() {
			e.account.Completed++
			e.cache.insert(s.program, s.finalBlocks, e.timer.Now())
			e.remove(s)
		}
		s.signalProgress()
	}
	e.recordLoad()
	e.startStep()
}

func (e *Engine) isRunning(s *engineSequence) bool {
	for _, r := range e.running {
		if r == s {
			return true
		}
	}
	return false
}

// remove takes a sequence out of the batch and the queue. The caller holds mu.
func (e *Engine) remove(s *engineSequence) {
	e.running = engineWithout(e.running, s)
	e.queue = engineWithout(e.queue, s)
}

func engineWithout(list []*engineSequence, s *engineSequence) []*engineSequence {
	var out []*engineSequence
	for _, other := range list {
		if other != s {
			out = append(out, other)
		}
	}
	return out
}

// closeStream cancels the computation of a stream that was closed early. If the
// request has an id, the stream can be resumed within ResumeWindow.
func (e *Engine) closeStream(s *engineSequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Closed++
	e.remove(s)
	e.recordLoad()
	if s.id == "" || e.options.ResumeWindow <= 0 {
		return
	}
	e.suspended[s.id] = s
	e.timer.After(e.scaled(e.options.ResumeWindow), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.suspended[s.id] == s {
			delete(e.suspended, s.id)
		}
	})
}

// resume continues a closed stream whose client has received the given number of
// tokens. It returns nil if no such stream is suspended or fewer tokens were produced.
// The caller holds mu.
func (e *Engine) resume(id string, from int) *engineSequence {
	s := e.suspended[id]
	if s == nil || from > s.produced {
		return nil
	}
	delete(e.suspended, id)
	e.account.Resumed++
	if !s.finished() {
		e.enqueue(s)
	}
	return s
}

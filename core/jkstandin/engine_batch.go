package jkstandin

import (
	"sort"
	"time"
)

// engineSequence is one request in the engine.
type engineSequence struct {
	id         string // request id of the client, may be empty
	serial     int
	program    string
	priority   int
	marked     bool // crashes the engine when it starts
	prompt     []uint64
	answered   []uint64 // prompt and answer
	tokens     int      // of the prompt
	cached     int
	prefill    int // prompt tokens still to prefill
	admitted   bool
	answer     engineAnswer
	produced   int
	progressed chan struct{} // holds one element after progress
}

func (s *engineSequence) finished() bool { return s.produced == len(s.answer.tokens) }

func (s *engineSequence) wake() {
	select {
	case s.progressed <- struct{}{}:
	default:
	}
}

// submit queues a sequence. The caller holds mu.
func (e *Engine) submit(s *engineSequence) {
	e.serial++
	s.serial = e.serial
	e.queue = append(e.queue, s)
	sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].priority > e.queue[j].priority })
	e.record()
	e.step()
}

// step starts the next step of the batch unless one is in progress. The caller
// holds mu.
func (e *Engine) step() {
	if e.stepping || e.faults.Hang {
		return
	}
	if e.admit() || len(e.running) == 0 {
		return
	}
	budget, cost := e.options.PrefillChunk, e.options.StepBase
	plan := make([]int, len(e.running)) // prompt tokens to prefill, by sequence
	for i, s := range e.running {
		plan[i] = min(s.prefill, budget)
		budget -= plan[i]
		cost += e.options.StepPerSequence + time.Duration(plan[i])*e.options.PrefillPerToken
	}
	if e.faults.SlowFactor > 0 {
		cost = time.Duration(float64(cost) * e.faults.SlowFactor)
	}
	e.stepping = true
	batch := append([]*engineSequence{}, e.running...)
	life := e.life
	e.stop = e.timer.After(e.scaled(cost), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if life == e.life {
			e.finishStep(batch, plan)
		}
	})
}

// admit moves queued sequences into the batch and reports whether one of them
// crashed the engine. The caller holds mu.
func (e *Engine) admit() (crashed bool) {
	for len(e.queue) > 0 && len(e.running) < e.options.MaxBatch {
		s := e.queue[0]
		e.queue = e.queue[1:]
		if s.marked {
			e.crash()
			return true
		}
		e.running = append(e.running, s)
		if !s.admitted {
			e.prefill(s)
		}
	}
	return false
}

// prefill looks the prompt up in the cache and stores the rest. The caller
// holds mu.
func (e *Engine) prefill(s *engineSequence) {
	s.admitted = true
	s.cached = min(e.cache.lookup(s.prompt)*engineBlockTokens, s.tokens)
	s.prefill = s.tokens - s.cached
	e.account.CachedTokens += s.cached
	e.account.PrefilledTokens += s.prefill
	e.cache.insert(s.program, s.prompt, e.timer.Now())
}

// finishStep applies a step to the sequences that are still in the batch. The
// caller holds mu.
func (e *Engine) finishStep(batch []*engineSequence, plan []int) {
	e.stepping = false
	for i, s := range batch {
		if !e.isRunning(s) {
			continue // closed during the step
		}
		if s.prefill > 0 {
			s.prefill -= plan[i]
			continue
		}
		s.produced++
		e.account.GeneratedTokens++
		if s.finished() {
			e.account.Completed++
			e.cache.insert(s.program, s.answered, e.timer.Now())
			e.remove(s)
		}
		s.wake()
	}
	e.record()
	e.step()
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

// closeStream ends the computation for a client that went away. The sequence
// can be resumed for a while if the request had an id.
func (e *Engine) closeStream(s *engineSequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account.Closed++
	e.remove(s)
	e.record()
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

// resume continues a closed stream, or returns nil if there is none. The
// caller holds mu.
func (e *Engine) resume(id string, from int) *engineSequence {
	s := e.suspended[id]
	if s == nil || from > s.produced {
		return nil
	}
	delete(e.suspended, id)
	e.account.Resumed++
	if !s.finished() {
		e.submit(s)
	}
	return s
}

package jkpolicy

import (
	"slices"
	"time"
)

// job is one run of a request on an endpoint.
type job struct {
	req         *request
	workspace   int
	shared      int64
	history     int64
	prompt      int64
	output      int64
	prefillLeft int64
	generated   int64
	reported    int64
	hit         int64
	started     bool
	cancelled   bool
	second      bool
	priority    int
	firstToken  time.Duration
	lastToken   time.Duration
	submitted   time.Duration
}

// held is the memory of a running job without the shared prompt, in tokens.
func (j *job) held() int64 { return j.prompt - j.shared + j.output }

// engine models one endpoint: continuous batching with chunked prefill and a
// cache of prefixes that evicts the least recently used idle entry.
type engine struct {
	sim     *simulation
	spec    engineSpec
	id      string
	zone    string
	running []*job
	waiting []*job
	cache   *cache
	// pinned is the memory of the running jobs in tokens.
	pinned   int64
	stepping bool
	slow     []slowdown
	finished func(*engine, *job)
	stats    *stats
}

func (e *engine) outstanding() int { return len(e.running) + len(e.waiting) }

func (e *engine) submit(j *job) {
	j.submitted = e.sim.now
	e.waiting = append(e.waiting, j)
	e.wake()
}

// cancel stops a job; its memory is free after the current step.
func (e *engine) cancel(j *job) { j.cancelled = true }

func (e *engine) wake() {
	if !e.stepping {
		e.begin()
	}
}

// begin starts a step unless nothing runs.
func (e *engine) begin() {
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	decoding := 0
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			decoding++
		}
	}
	chunks, prefill := e.chunks()
	d := e.spec.step(decoding, prefill)
	e.sim.after(time.Duration(float64(d)*e.factor()), func() { e.end(chunks) })
}

// chunks shares the prefill of one step among the jobs: by priority, then in
// the order of their start.
func (e *engine) chunks() (chunks []int64, total int64) {
	chunks = make([]int64, len(e.running))
	for _, priority := range []int{2, 1, 0} {
		for i, j := range e.running {
			if j.priority == priority && j.prefillLeft > 0 {
				chunks[i] = min(j.prefillLeft, e.spec.ChunkTokens-total)
				total += chunks[i]
			}
		}
	}
	return chunks, total
}

func (e *engine) factor() float64 {
	for _, s := range e.slow {
		if e.sim.now >= s.from && e.sim.now < s.to {
			return s.factor
		}
	}
	return 1
}

func (e *engine) end(chunks []int64) {
	var done []*job
	for i, j := range e.running {
		switch {
		case j.cancelled:
			done = append(done, j)
			continue
		case j.prefillLeft > 0:
			j.prefillLeft -= chunks[i]
			if j.prefillLeft > 0 {
				continue
			}
			j.firstToken = e.sim.now
		}
		j.generated++
		j.lastToken = e.sim.now
		if j.generated >= j.output {
			done = append(done, j)
		}
	}
	for _, j := range done {
		e.leave(j)
	}
	e.begin()
	for _, j := range done {
		e.finished(e, j)
	}
}

func (e *engine) leave(j *job) {
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	e.pinned -= j.held()
	e.cache.unpin(sharedKey(j.workspace))
	if j.prefillLeft == 0 {
		kept := j.prompt - j.shared
		if !j.cancelled {
			kept += j.generated
		}
		e.cache.put(programKey(j.req.run.spec), kept)
		if j.req.run.ended {
			e.cache.end(programKey(j.req.run.spec))
		}
	}
	e.stats.decoded(j)
}

// admit starts waiting jobs in order while slots and memory last.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		if j.cancelled {
			e.waiting = e.waiting[1:]
			defer e.finished(e, j)
			continue
		}
		if len(e.running) > 0 && e.pinned+j.held()+j.shared > e.cache.capacity {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(j)
	}
}

func (e *engine) start(j *job) {
	shared := e.cache.get(sharedKey(j.workspace))
	history := int64(0)
	if shared > 0 {
		history = min(e.cache.get(programKey(j.req.run.spec)), j.history)
	}
	j.hit = shared + history
	j.prefillLeft = max(j.prompt-j.hit, 1)
	j.started = true
	e.stats.prefilled(j, j.shared-shared, j.history-history)
	e.cache.remove(programKey(j.req.run.spec), false)
	e.cache.put(sharedKey(j.workspace), j.shared)
	e.cache.pin(sharedKey(j.workspace))
	e.pinned += j.held()
	e.cache.shrink(e.cache.capacity - e.pinned)
	e.running = append(e.running, j)
}

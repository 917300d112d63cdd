package jkpolicy

import (
	"slices"
	"time"
)

// job is one execution of a request on an endpoint. A second dispatch adds another
// one. The sizes from shared to cachedTokens are in tokens.
type job struct {
	req            *request
	workspace      int
	shared         int64
	history        int64
	prompt         int64
	output         int64
	prefillLeft    int64
	generated      int64
	reportedTokens int64
	cachedTokens   int64
	started        bool
	cancelled      bool
	second         bool
	priority       int
	firstToken     time.Duration
	lastToken      time.Duration
	submitted      time.Duration
}

// reservation returns the memory of a running job without the shared prompt, in
// tokens.
func (j *job) reservation() int64 { return j.prompt - j.shared + j.output }

// engine models one endpoint: continuous batching with chunked prefill and a prefix
// cache that evicts the least recently used idle entry.
type engine struct {
	sim     *simulation
	spec    engineSpec
	id      string
	zone    string
	running []*job
	waiting []*job
	cache   *cache
	// reserved is the sum of the running jobs' reservations, in tokens.
	reserved  int64
	stepping  bool
	slowdowns []slowdown
	onFinish  func(*engine, *job)
	stats     *stats
}

func (e *engine) outstanding() int { return len(e.running) + len(e.waiting) }

func (e *engine) submit(j *job) {
	j.submitted = e.sim.now
	e.waiting = append(e.waiting, j)
	e.wake()
}

// cancel stops a job. Its memory is free after the current step.
func (e *engine) cancel(j *job) { j.cancelled = true }

func (e *engine) wake() {
	if !e.stepping {
		e.startStep()
	}
}

// startStep admits waiting jobs and starts a step, unless no job runs.
func (e *engine) startStep() {
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
	chunks, prefill := e.prefillChunks()
	d := e.spec.step(decoding, prefill)
	e.sim.after(time.Duration(float64(d)*e.slowdownFactor()), func() { e.finishStep(chunks) })
}

// prefillChunks divides the prefill tokens of one step among the jobs: by priority,
// then in the order of their start.
func (e *engine) prefillChunks() (chunks []int64, total int64) {
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

func (e *engine) slowdownFactor() float64 {
	for _, s := range e.slowdowns {
		if e.sim.now >= s.from && e.sim.now < s.to {
			return s.factor
		}
	}
	return 1
}

// finishStep advances the running jobs by one step and completes those that are done.
func (e *engine) finishStep(chunks []int64) {
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
		e.removeJob(j)
	}
	e.startStep()
	for _, j := range done {
		e.onFinish(e, j)
	}
}

// removeJob frees the slot of a job. It stores the job's prefix in the cache if its
// prompt was prefilled.
func (e *engine) removeJob(j *job) {
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	e.reserved -= j.reservation()
	e.cache.unpin(workspaceKey(j.workspace))
	if j.prefillLeft == 0 {
		kept := j.prompt - j.shared
		if !j.cancelled {
			kept += j.generated
		}
		e.cache.put(programKey(j.req.run.spec), kept)
		if j.req.run.ended {
			e.cache.markEnded(programKey(j.req.run.spec))
		}
	}
	e.stats.countJob(j)
}

// admit starts waiting jobs in order while slots and memory last.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		if j.cancelled {
			e.waiting = e.waiting[1:]
			defer e.onFinish(e, j)
			continue
		}
		if len(e.running) > 0 && e.reserved+j.reservation()+j.shared > e.cache.capacity {
			return
		}
		e.waiting = e.waiting[1:]
		e.startJob(j)
	}
}

func (e *engine) startJob(j *job) {
	shared := e.cache.get(workspaceKey(j.workspace))
	history := int64(0)
	if shared > 0 {
		history = min(e.cache.get(programKey(j.req.run.spec)), j.history)
	}
	j.cachedTokens = shared + history
	j.prefillLeft = max(j.prompt-j.cachedTokens, 1)
	j.started = true
	e.stats.countRepeated(j, j.shared-shared, j.history-history)
	e.cache.remove(programKey(j.req.run.spec), false)
	e.cache.put(workspaceKey(j.workspace), j.shared)
	e.cache.pin(workspaceKey(j.workspace))
	e.reserved += j.reservation()
	e.cache.evictTo(e.cache.capacity - e.reserved)
	e.running = append(e.running, j)
}

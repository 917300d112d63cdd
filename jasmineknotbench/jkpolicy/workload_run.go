package jkpolicy

import (
	"fmt"
	"strconv"
	"time"

	"jasmineknot.example/core/jksched"
)

// request is one submitted turn.
type request struct {
	call     jksched.Call
	run      *programRun
	turn     *turn
	arrived  time.Duration
	deadline time.Duration
	attempts int
	done     bool
	jobs     []*job
	// endpoints lists the endpoints whose dispatchers accepted the request.
	endpoints []string
}

// programRun is the state of a program during a run. The root of a sub-program is the
// program that started the outermost one.
type programRun struct {
	spec            *program
	root            *programRun
	index           int
	history         int64
	attained        int64
	pendingChildren int
	ended           bool
	onEnd           func()
}

// policy decides where requests run. It calls workloadRun.respond with the job whose
// response the caller gets.
type policy struct {
	name     string
	submit   func(*request)
	onFinish func(*engine, *job)
	// onProgramEnd is called for programs that announce their end.
	onProgramEnd func(*programRun)
}

// workloadRun executes a plan under one policy.
type workloadRun struct {
	sim             *simulation
	plan            *plan
	engines         []*engine
	policy          policy
	stats           *stats
	pendingMeasured int
	requestCount    int
}

// runLimitFactor bounds a run as a multiple of the end of the measured time. Programs
// that are still running then count with the time that they have run.
const runLimitFactor = 6

func newWorkloadRun(p *plan) *workloadRun {
	w := &workloadRun{sim: &simulation{}, plan: p, stats: &stats{}}
	for _, z := range p.workload.Zones {
		for range p.workload.Endpoints[z] {
			w.addEngine(z)
		}
	}
	for _, s := range p.slowdowns {
		e := w.engines[s.endpoint]
		e.slowdowns = append(e.slowdowns, s)
	}
	return w
}

func (w *workloadRun) addEngine(zone string) {
	e := &engine{
		sim: w.sim, spec: w.plan.workload.Engine, zone: zone, stats: w.stats,
		id: fmt.Sprintf("engine-%d", len(w.engines)),
	}
	e.cache = &cache{
		sim: w.sim, capacity: e.spec.CacheTokens, entries: map[cacheKey]*cacheEntry{},
		countUntil: w.plan.measureEnd(), onEndedMemory: func(x float64) { w.stats.endedTokenSeconds += x },
	}
	e.onFinish = func(e *engine, j *job) { w.policy.onFinish(e, j) }
	w.engines = append(w.engines, e)
}

// run executes the plan and returns the statistics.
func (w *workloadRun) run() *stats {
	runs := make([]*programRun, 0, len(w.plan.programs))
	for _, p := range w.plan.programs {
		r := &programRun{spec: p, history: p.history}
		r.root = r
		r.onEnd = func() { w.recordProgramEnd(r) }
		runs = append(runs, r)
		if p.measured {
			w.pendingMeasured++
		}
		w.sim.after(p.arrival, func() { w.startTurn(r) })
	}
	w.sim.run(w.plan.measureEnd() * runLimitFactor)
	for _, r := range runs {
		if r.spec.measured && !r.ended {
			w.stats.unfinished++
			w.stats.recordProgram(w.plan.workload, r.spec, w.sim.now-r.spec.arrival)
		}
	}
	for _, e := range w.engines {
		e.cache.countAllEnded()
	}
	w.stats.countPerSecond(w.plan.measureEnd())
	w.stats.turns = peakTurns(w.plan, w.stats.turns)
	w.stats.possibleInTime = possibleInTime(w.plan, w.stats.turns)
	return w.stats
}

func (w *workloadRun) startTurn(r *programRun) {
	t := &r.spec.turns[r.index]
	c := r.spec.class
	w.requestCount++
	req := &request{run: r, turn: t, arrived: w.sim.now}
	req.call = jksched.Call{
		ID: "c" + strconv.Itoa(w.requestCount), Program: "p" + strconv.Itoa(r.spec.id),
		Workspace: "w" + strconv.Itoa(r.spec.workspace),
		Kind:      jksched.KindModel, Model: "base", Zone: r.spec.zone,
		Repeatable: true, MaxTokens: int64(c.Output.Max), Turn: uint64(r.index),
		Attained: r.root.attained, ParentWaiting: r.spec.child, Streamed: true,
	}
	shared := w.plan.prompts[r.spec.workspace]
	req.call.Prefix = []jksched.Segment{
		{Hash: req.call.Workspace, Tokens: shared}, {Hash: req.call.Program, Tokens: r.history},
	}
	req.call.PromptTokens = shared + r.history + t.prompt
	if c.DeadlineMS > 0 {
		req.deadline = req.arrived + c.deadline()
		req.call.Deadline = epoch.Add(req.deadline)
	}
	w.sim.after(w.plan.workload.Network.client(), func() { w.policy.submit(req) })
}

// newJob creates an execution of the request on an engine.
func (w *workloadRun) newJob(req *request) *job {
	return &job{
		req: req, workspace: req.run.spec.workspace, shared: w.plan.prompts[req.run.spec.workspace],
		history: req.run.history, prompt: req.call.PromptTokens, output: req.turn.output,
	}
}

// respond delivers the response from the home to the caller.
func (w *workloadRun) respond(req *request, j *job) {
	req.done = true
	w.sim.after(w.plan.workload.Network.client(), func() { w.finishTurn(req, j) })
}

func (w *workloadRun) finishTurn(req *request, j *job) {
	w.stats.recordTurn(w.plan, req, j, w.sim.now)
	r := req.run
	r.history += req.turn.prompt + req.turn.output
	r.root.attained += req.turn.output
	r.index++
	next := func() { w.startNextTurn(r, req.turn.pause) }
	if len(req.turn.children) == 0 {
		next()
		return
	}
	r.pendingChildren = len(req.turn.children)
	for _, sub := range req.turn.children {
		w.startChild(r, sub, next)
	}
}

func (w *workloadRun) startChild(parent *programRun, sub *program, next func()) {
	child := &programRun{spec: sub, root: parent.root}
	child.onEnd = func() {
		parent.pendingChildren--
		if parent.pendingChildren == 0 {
			next()
		}
	}
	w.startTurn(child)
}

func (w *workloadRun) startNextTurn(r *programRun, pause time.Duration) {
	if r.index < len(r.spec.turns) {
		w.sim.after(pause, func() { w.startTurn(r) })
		return
	}
	r.ended = true
	for _, e := range w.engines {
		e.cache.markEnded(programKey(r.spec))
	}
	if !r.spec.silent {
		w.sim.after(w.plan.workload.Network.client(), func() { w.policy.onProgramEnd(r) })
	}
	w.sim.after(5*time.Second, func() { w.countHeldTokens(r.spec) })
	r.onEnd()
}

// countHeldTokens counts the cached tokens that a program still holds 5 s after its
// end.
func (w *workloadRun) countHeldTokens(p *program) {
	if w.sim.now > w.plan.measureEnd() {
		return
	}
	for _, e := range w.engines {
		held := e.cache.get(programKey(p))
		if p.silent {
			w.stats.heldSilent += held
			continue
		}
		w.stats.heldAnnounced += held
	}
}

func (w *workloadRun) recordProgramEnd(r *programRun) {
	if !r.spec.measured {
		return
	}
	w.stats.recordProgram(w.plan.workload, r.spec, w.sim.now-r.spec.arrival)
	w.pendingMeasured--
	w.sim.halted = w.pendingMeasured == 0
}

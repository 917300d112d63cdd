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
	// copies lists the endpoints that the request was sent to.
	copies []string
}

// programRun is a program while it runs.
type programRun struct {
	spec     *program
	root     *programRun
	index    int
	history  int64
	attained int64
	children int
	ended    bool
	onEnd    func()
}

// policy decides where requests run. A policy calls world.answer with the job
// that answers the request.
type policy struct {
	name     string
	submit   func(*request)
	finished func(*engine, *job)
	// ended is called for programs that announce their end.
	ended func(*programRun)
}

// world is one run of a plan under a policy.
type world struct {
	sim      *simulation
	plan     *plan
	engines  []*engine
	policy   policy
	stats    *stats
	measured int
	requests int
}

// overrun bounds a run as a multiple of the measured time; programs that are
// still running then count with the time they have run.
const overrun = 6

func newWorld(p *plan) *world {
	w := &world{sim: &simulation{}, plan: p, stats: &stats{}}
	for _, z := range p.load.Zones {
		for range p.load.Endpoints[z] {
			w.addEngine(z)
		}
	}
	for _, s := range p.slowdowns {
		e := w.engines[s.endpoint]
		e.slow = append(e.slow, s)
	}
	return w
}

func (w *world) addEngine(zone string) {
	e := &engine{
		sim: w.sim, spec: w.plan.load.Engine, zone: zone, stats: w.stats,
		id: fmt.Sprintf("engine-%d", len(w.engines)),
	}
	e.cache = &cache{
		sim: w.sim, capacity: e.spec.CacheTokens, entries: map[cacheKey]*entry{},
		horizon: w.plan.end(), lost: func(x float64) { w.stats.endedTokenSeconds += x },
	}
	e.finished = func(e *engine, j *job) { w.policy.finished(e, j) }
	w.engines = append(w.engines, e)
}

// run executes the plan and returns the statistics.
func (w *world) run() *stats {
	runs := make([]*programRun, 0, len(w.plan.programs))
	for _, p := range w.plan.programs {
		r := &programRun{spec: p, history: p.history}
		r.root = r
		r.onEnd = func() { w.programEnded(r) }
		runs = append(runs, r)
		if p.measured {
			w.measured++
		}
		w.sim.after(p.arrival, func() { w.startTurn(r) })
	}
	w.sim.run(w.plan.end() * overrun)
	for _, r := range runs {
		if r.spec.measured && !r.ended {
			w.stats.unfinished++
			w.stats.program(w.plan.load, r.spec, w.sim.now-r.spec.arrival)
		}
	}
	for _, e := range w.engines {
		e.cache.settleAll()
	}
	w.stats.countSeconds(w.plan.end())
	w.stats.turns = crestTurns(w.plan, w.stats.turns)
	w.stats.possible = hindsight(w.plan, w.stats.turns)
	return w.stats
}

func (w *world) startTurn(r *programRun) {
	t := &r.spec.turns[r.index]
	c := r.spec.class
	w.requests++
	req := &request{run: r, turn: t, arrived: w.sim.now}
	req.call = jksched.Call{
		ID: "c" + strconv.Itoa(w.requests), Program: "p" + strconv.Itoa(r.spec.id),
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
	w.sim.after(w.plan.load.Network.client(), func() { w.policy.submit(req) })
}

// newJob creates a run of the request on an engine.
func (w *world) newJob(req *request) *job {
	return &job{
		req: req, workspace: req.run.spec.workspace, shared: w.plan.prompts[req.run.spec.workspace],
		history: req.run.history, prompt: req.call.PromptTokens, output: req.turn.output,
	}
}

// answer delivers the answer from the home to the caller.
func (w *world) answer(req *request, j *job) {
	req.done = true
	w.sim.after(w.plan.load.Network.client(), func() { w.turnDone(req, j) })
}

func (w *world) turnDone(req *request, j *job) {
	w.stats.turn(w.plan, req, j, w.sim.now)
	r := req.run
	r.history += req.turn.prompt + req.turn.output
	r.root.attained += req.turn.output
	r.index++
	next := func() { w.next(r, req.turn.pause) }
	if len(req.turn.children) == 0 {
		next()
		return
	}
	r.children = len(req.turn.children)
	for _, sub := range req.turn.children {
		w.startChild(r, sub, next)
	}
}

func (w *world) startChild(parent *programRun, sub *program, next func()) {
	child := &programRun{spec: sub, root: parent.root}
	child.onEnd = func() {
		parent.children--
		if parent.children == 0 {
			next()
		}
	}
	w.startTurn(child)
}

func (w *world) next(r *programRun, pause time.Duration) {
	if r.index < len(r.spec.turns) {
		w.sim.after(pause, func() { w.startTurn(r) })
		return
	}
	r.ended = true
	for _, e := range w.engines {
		e.cache.end(programKey(r.spec))
	}
	if !r.spec.silent {
		w.sim.after(w.plan.load.Network.client(), func() { w.policy.ended(r) })
	}
	w.sim.after(5*time.Second, func() { w.checkHeld(r.spec) })
	r.onEnd()
}

// checkHeld counts the memory held 5 s after a program's end.
func (w *world) checkHeld(p *program) {
	if w.sim.now > w.plan.end() {
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

func (w *world) programEnded(r *programRun) {
	if !r.spec.measured {
		return
	}
	w.stats.program(w.plan.load, r.spec, w.sim.now-r.spec.arrival)
	w.measured--
	w.sim.halted = w.measured == 0
}

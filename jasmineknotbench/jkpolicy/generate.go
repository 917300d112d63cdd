package jkpolicy

import (
	"math"
	"math/rand/v2"
	"time"
)

// program is a generated program; every policy runs the same ones.
type program struct {
	id        int
	class     *class
	arrival   time.Duration
	zone      string
	workspace int
	silent    bool
	turns     []turn
	// measured is false for programs that only keep the load up: those running
	// at time zero and those arriving after the measured time.
	measured bool
	// history is the number of tokens of turns before time zero.
	history int64
	child   bool
}

// turn is one call, followed by a pause or by sub-programs.
type turn struct {
	prompt   int64
	output   int64
	human    bool
	pause    time.Duration
	children []*program
}

// plan is the input of one run.
type plan struct {
	load      *workload
	capacity  float64
	rate      float64
	settle    time.Duration
	duration  time.Duration
	programs  []*program
	prompts   []int64
	slowdowns []slowdown
}

type slowdown struct {
	endpoint int
	from, to time.Duration
	factor   float64
}

// planOptions selects a scenario.
type planOptions struct {
	seed       uint64
	load       float64
	duration   time.Duration
	crest      bool
	stragglers bool
	slowed     int
}

type generator struct {
	w       *workload
	rand    *rand.Rand
	classes []class
	prompts []int64
	weights []float64
	nextID  int
}

func newGenerator(w *workload, seed uint64, stragglers bool) *generator {
	g := &generator{w: w, rand: rand.New(rand.NewPCG(seed, 1))}
	for _, c := range w.Classes {
		if stragglers || !c.Straggler {
			g.classes = append(g.classes, c)
		}
	}
	total := 0.0
	for i := range w.Workspaces {
		g.prompts = append(g.prompts, w.WorkspacePrompt.tokens(g.rand))
		total += math.Pow(float64(i+1), -w.WorkspaceSkew)
		g.weights = append(g.weights, total)
	}
	return g
}

func (g *generator) pickClass() *class {
	total := 0.0
	for _, c := range g.classes {
		total += c.Share
	}
	x := g.rand.Float64() * total
	for i := range g.classes {
		if x -= g.classes[i].Share; x < 0 {
			return &g.classes[i]
		}
	}
	return &g.classes[len(g.classes)-1]
}

func (g *generator) pickWorkspace() int {
	x := g.rand.Float64() * g.weights[len(g.weights)-1]
	for i, w := range g.weights {
		if x < w {
			return i
		}
	}
	return len(g.weights) - 1
}

func (g *generator) program(arrival time.Duration) *program {
	c := g.pickClass()
	p := &program{
		class: c, arrival: arrival, workspace: g.pickWorkspace(),
		zone:   g.w.Zones[g.rand.IntN(len(g.w.Zones))],
		silent: g.rand.Float64() < c.Silent,
	}
	g.fill(p, int(c.Turns.tokens(g.rand)))
	return p
}

func (g *generator) fill(p *program, turns int) {
	c := p.class
	p.id = g.nextID
	g.nextID++
	for i := range max(turns, 1) {
		t := turn{prompt: c.Prompt.tokens(g.rand), output: max(c.Output.tokens(g.rand), 1), pause: c.Pause.seconds(g.rand)}
		last := i == max(turns, 1)-1
		switch {
		case last:
			t.pause = 0
		case !p.child && g.rand.Float64() < c.Human:
			t.human, t.pause = true, c.HumanPause.seconds(g.rand)
		case !p.child && g.rand.Float64() < c.Subagents:
			for range c.SubagentCount {
				sub := &program{class: c, zone: p.zone, workspace: p.workspace, child: true}
				g.fill(sub, int(c.SubagentTurns.tokens(g.rand)))
				t.children = append(t.children, sub)
			}
		}
		p.turns = append(p.turns, t)
	}
}

// capacitySample is the number of programs from which the mean work is taken.
const capacitySample = 4000

// capacity is the rate of programs, in 1/s, whose mean endpoint time equals the
// fleet's time, with full batches and every repeated prefix cached.
func capacity(w *workload, stragglers bool) float64 {
	g := newGenerator(w, 0, stragglers)
	total := time.Duration(0)
	for range capacitySample {
		total += work(w, g.program(0))
	}
	return float64(w.endpointCount()) * capacitySample / total.Seconds()
}

// work is the endpoint time of a program at full batch with a warm cache.
func work(w *workload, p *program) time.Duration {
	total := time.Duration(0)
	for _, t := range p.turns {
		total += turnWork(w, t)
		for _, sub := range t.children {
			total += work(w, sub)
		}
	}
	return total
}

func turnWork(w *workload, t turn) time.Duration {
	prefill := time.Duration(t.prompt*w.Engine.PrefillUS) * time.Microsecond
	return prefill + time.Duration(t.output)*w.Engine.tokenTime()
}

// warmup is how long before time zero arrivals begin. Of those programs only
// the turns after time zero run, so that long programs are present from the
// start in the numbers of a steady state.
const warmup = 20 * time.Minute

// settle is the time before the measured time in which the programs present at
// time zero fill the caches, which takes no part in the figures.
const settle = 60 * time.Second

func newPlan(w *workload, o planOptions) *plan {
	p := &plan{load: w, capacity: capacity(w, o.stragglers), settle: settle, duration: o.duration}
	p.rate = o.load * p.capacity
	g := newGenerator(w, o.seed, o.stragglers)
	p.prompts = g.prompts
	for t := -warmup; t < settle+o.duration*3/2; {
		rate := p.rate
		if o.crest {
			rate /= w.Crest.mean()
			if t >= 0 && w.Crest.high(t) {
				rate *= w.Crest.Factor
			}
		}
		// The step is cut at one tenth of a second so that a swing begins on time.
		step := time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
		if step > 100*time.Millisecond {
			t += 100 * time.Millisecond
			continue
		}
		t += step
		p.add(g.program(t))
	}
	p.slow(g.rand, o.slowed)
	return p
}

// measures reports whether t lies in the measured time.
func (p *plan) measures(t time.Duration) bool { return t >= p.settle && t < p.end() }

func (p *plan) end() time.Duration { return p.settle + p.duration }

// add cuts the turns before time zero off a program and drops it if none is
// left.
func (p *plan) add(prog *program) {
	prog.measured = p.measures(prog.arrival)
	for prog.arrival < 0 && len(prog.turns) > 0 {
		t := prog.turns[0]
		prog.arrival += turnBound(p.load, t)
		prog.history += t.prompt + t.output
		prog.turns = prog.turns[1:]
	}
	if len(prog.turns) > 0 {
		p.programs = append(p.programs, prog)
	}
}

// slowTime is the length of the slowdown in scenarioSlowed.
const slowTime = 30 * time.Second

// slow slows n endpoints fourfold for 30 s in the middle of the measured time.
func (p *plan) slow(r *rand.Rand, n int) {
	for _, e := range r.Perm(p.load.endpointCount())[:n] {
		from := p.settle + p.duration/2
		p.slowdowns = append(p.slowdowns, slowdown{endpoint: e, from: from, to: from + slowTime, factor: 4})
	}
}

// bound is the latency of a program alone on an idle fleet with a warm cache.
func bound(w *workload, p *program) time.Duration {
	total := time.Duration(0)
	for i, t := range p.turns {
		total += turnBound(w, t)
		if i == len(p.turns)-1 {
			total -= t.pause
		}
	}
	return total
}

func turnBound(w *workload, t turn) time.Duration {
	total := callBound(w, t) + t.pause
	longest := time.Duration(0)
	for _, sub := range t.children {
		longest = max(longest, bound(w, sub))
	}
	return total + longest
}

// callBound counts the step that finishes the prompt as the first token.
func callBound(w *workload, t turn) time.Duration {
	chunks := (t.prompt + w.Engine.ChunkTokens - 1) / w.Engine.ChunkTokens
	prefill := time.Duration(max(chunks, 1)*w.Engine.StepUS+t.prompt*w.Engine.PrefillUS) * time.Microsecond
	path := 2*w.Network.client() + 4*w.Network.delay("", "")
	return path + prefill + time.Duration(t.output-1)*w.Engine.step(1, 0)
}

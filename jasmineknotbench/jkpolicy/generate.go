package jkpolicy

import (
	"math"
	"math/rand/v2"
	"time"
)

// program is a generated program. Every policy runs the same ones.
type program struct {
	id        int
	class     *class
	arrival   time.Duration
	zone      string
	workspace int
	silent    bool
	turns     []turn
	// measured is false for programs that only provide background load: those running at
	// time zero and those arriving after the measured time.
	measured bool
	// history is the number of tokens of the turns before time zero.
	history int64
	// child marks a sub-program.
	child bool
}

// turn is one call, followed by a pause or by sub-programs.
type turn struct {
	prompt   int64
	output   int64
	human    bool
	pause    time.Duration
	children []*program
}

// plan is the generated input of one run. Its times count from time zero; the measured
// time starts after cacheWarmup.
type plan struct {
	workload    *workload
	capacity    float64
	rate        float64
	cacheWarmup time.Duration
	duration    time.Duration
	programs    []*program
	prompts     []int64
	slowdowns   []slowdown
}

// slowdown multiplies the step time of one endpoint by factor between from and to.
type slowdown struct {
	endpoint int
	from, to time.Duration
	factor   float64
}

// planOptions selects the load and the disturbances of a scenario.
type planOptions struct {
	seed            uint64
	load            float64
	duration        time.Duration
	peaks           bool
	stragglers      bool
	slowedEndpoints int
}

// generator draws the programs of a workload from a seeded random source.
type generator struct {
	w                 *workload
	rand              *rand.Rand
	classes           []class
	prompts           []int64
	cumulativeWeights []float64
	nextID            int
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
		g.cumulativeWeights = append(g.cumulativeWeights, total)
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
	x := g.rand.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	for i, w := range g.cumulativeWeights {
		if x < w {
			return i
		}
	}
	return len(g.cumulativeWeights) - 1
}

func (g *generator) newProgram(arrival time.Duration) *program {
	c := g.pickClass()
	p := &program{
		class: c, arrival: arrival, workspace: g.pickWorkspace(),
		zone:   g.w.Zones[g.rand.IntN(len(g.w.Zones))],
		silent: g.rand.Float64() < c.Silent,
	}
	g.addTurns(p, int(c.Turns.tokens(g.rand)))
	return p
}

// addTurns gives the program its id and draws its turns.
func (g *generator) addTurns(p *program, turns int) {
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
				g.addTurns(sub, int(c.SubagentTurns.tokens(g.rand)))
				t.children = append(t.children, sub)
			}
		}
		p.turns = append(p.turns, t)
	}
}

// capacitySample is the number of programs over which the mean service time is taken.
const capacitySample = 4000

// capacity returns the rate of programs, in 1/s, at which their mean service time uses
// all of the fleet's time, with full batches and every repeated prefix cached.
func capacity(w *workload, stragglers bool) float64 {
	g := newGenerator(w, 0, stragglers)
	total := time.Duration(0)
	for range capacitySample {
		total += serviceTime(w, g.newProgram(0))
	}
	return float64(w.endpointCount()) * capacitySample / total.Seconds()
}

// serviceTime returns the endpoint time that a program takes at full batch with a warm
// cache.
func serviceTime(w *workload, p *program) time.Duration {
	total := time.Duration(0)
	for _, t := range p.turns {
		total += turnServiceTime(w, t)
		for _, sub := range t.children {
			total += serviceTime(w, sub)
		}
	}
	return total
}

func turnServiceTime(w *workload, t turn) time.Duration {
	prefill := time.Duration(t.prompt*w.Engine.PrefillUS) * time.Microsecond
	return prefill + time.Duration(t.output)*w.Engine.tokenTime()
}

// arrivalLead is how long before time zero arrivals begin. Of those programs only the
// turns after time zero run, so that long programs are present from the start as often
// as in a steady state.
const arrivalLead = 20 * time.Minute

// cacheWarmup is the time before the measured time in which the programs present at
// time zero fill the caches. It takes no part in the figures.
const cacheWarmup = 60 * time.Second

func newPlan(w *workload, o planOptions) *plan {
	p := &plan{workload: w, capacity: capacity(w, o.stragglers), cacheWarmup: cacheWarmup, duration: o.duration}
	p.rate = o.load * p.capacity
	g := newGenerator(w, o.seed, o.stragglers)
	p.prompts = g.prompts
	for t := -arrivalLead; t < cacheWarmup+o.duration*3/2; {
		rate := p.rate
		if o.peaks {
			rate /= w.Peak.mean()
			if t >= 0 && w.Peak.contains(t) {
				rate *= w.Peak.Factor
			}
		}
		// A longer gap is redrawn after 100 ms, so that a change of the rate takes
		// effect on time.
		step := time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
		if step > 100*time.Millisecond {
			t += 100 * time.Millisecond
			continue
		}
		t += step
		p.add(g.newProgram(t))
	}
	p.slowEndpoints(g.rand, o.slowedEndpoints)
	return p
}

// inMeasuredTime reports whether t lies in the measured time.
func (p *plan) inMeasuredTime(t time.Duration) bool { return t >= p.cacheWarmup && t < p.measureEnd() }

func (p *plan) measureEnd() time.Duration { return p.cacheWarmup + p.duration }

// add removes the turns before time zero from a program, and drops the program if none
// is left.
func (p *plan) add(prog *program) {
	prog.measured = p.inMeasuredTime(prog.arrival)
	for prog.arrival < 0 && len(prog.turns) > 0 {
		t := prog.turns[0]
		prog.arrival += turnBound(p.workload, t)
		prog.history += t.prompt + t.output
		prog.turns = prog.turns[1:]
	}
	if len(prog.turns) > 0 {
		p.programs = append(p.programs, prog)
	}
}

// slowdownTime is the length of the slowdown in scenarioSlowed.
const slowdownTime = 30 * time.Second

// slowEndpoints makes n endpoints four times slower for 30 s in the middle of the
// measured time.
func (p *plan) slowEndpoints(r *rand.Rand, n int) {
	for _, e := range r.Perm(p.workload.endpointCount())[:n] {
		from := p.cacheWarmup + p.duration/2
		p.slowdowns = append(p.slowdowns, slowdown{endpoint: e, from: from, to: from + slowdownTime, factor: 4})
	}
}

// latencyBound returns the lower bound of a program's latency: alone on an idle fleet
// with a warm cache.
func latencyBound(w *workload, p *program) time.Duration {
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
		longest = max(longest, latencyBound(w, sub))
	}
	return total + longest
}

// callBound returns the lower bound of a call's latency. The step that finishes the
// prompt also yields the first token.
func callBound(w *workload, t turn) time.Duration {
	chunks := (t.prompt + w.Engine.ChunkTokens - 1) / w.Engine.ChunkTokens
	prefill := time.Duration(max(chunks, 1)*w.Engine.StepUS+t.prompt*w.Engine.PrefillUS) * time.Microsecond
	path := 2*w.Network.client() + 4*w.Network.delay("", "")
	return path + prefill + time.Duration(t.output-1)*w.Engine.step(1, 0)
}

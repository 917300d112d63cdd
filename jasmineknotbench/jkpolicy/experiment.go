package jkpolicy

import (
	"runtime"
	"sync"
	"time"
)

// scenario is one of the runs that the measures are taken from.
type scenario string

// Scenarios of the experiment.
const (
	// scenarioSteady is a constant arrival rate at the given load.
	scenarioSteady scenario = "steady"
	// scenarioNoStragglers is the same load without the straggler classes.
	scenarioNoStragglers scenario = "no_stragglers"
	// scenarioSlowed is scenarioSteady with 2 endpoints slowed for 30 s.
	scenarioSlowed scenario = "slowed"
	// scenarioPeak has the same mean load with tenfold peaks.
	scenarioPeak scenario = "crest"
)

var scenarios = []scenario{scenarioSteady, scenarioNoStragglers, scenarioSlowed, scenarioPeak}

// Names of the policies.
const (
	policyNaive       = "naive"
	policyOrdinary    = "ordinary"
	policyJasmineknot = "jasmineknot"
)

// policyNames lists the policies in the order of the report.
var policyNames = []string{policyNaive, policyOrdinary, policyJasmineknot}

// settings are the parameters of one experiment.
type settings struct {
	seed     uint64
	seeds    int
	load     float64
	duration time.Duration
	// sweep lists the loads of the plot of latency over load.
	sweep []float64
}

// runKey identifies one run of an experiment.
type runKey struct {
	seed     uint64
	scenario scenario
	policy   string
}

// results holds the statistics of all runs of a workload.
type results struct {
	workload *workload
	capacity float64
	settings settings
	runs     map[runKey]*stats
}

func (s settings) plan(w *workload, seed uint64, sc scenario) *plan {
	o := planOptions{seed: seed, load: s.load, duration: s.duration, stragglers: true}
	switch sc {
	case scenarioNoStragglers:
		o.stragglers = false
	case scenarioSlowed:
		o.slowedEndpoints = 2
	case scenarioPeak:
		o.peaks = true
	}
	return newPlan(w, o)
}

// runPolicy runs a plan under the named policy.
func runPolicy(p *plan, name string, seed uint64) *stats {
	w := newWorkloadRun(p)
	switch name {
	case policyNaive:
		w.policy = newNaive(w)
	case policyOrdinary:
		w.policy = newOrdinary(w)
	default:
		w.policy = newScheduler(w, seed)
	}
	return w.run()
}

// runExperiment runs every scenario under every policy for every seed.
func runExperiment(w *workload, s settings, progress func(done, total int)) *results {
	out := &results{workload: w, settings: s, capacity: capacity(w, true), runs: map[runKey]*stats{}}
	var keys []runKey
	for i := range s.seeds {
		for _, sc := range scenarios {
			for _, name := range policyNames {
				keys = append(keys, runKey{s.seed + uint64(i), sc, name})
			}
		}
	}
	var mu sync.Mutex
	parallel(len(keys), func(i int) {
		k := keys[i]
		got := runPolicy(s.plan(w, k.seed, k.scenario), k.policy, k.seed)
		mu.Lock()
		defer mu.Unlock()
		out.runs[k] = got
		progress(len(out.runs), len(keys))
	})
	return out
}

// sweep runs the steady scenario of the first seed at every load of the sweep
// and returns the statistics by policy, in the order of the loads.
func sweep(w *workload, s settings) map[string][]*stats {
	out := map[string][]*stats{}
	for _, name := range policyNames {
		out[name] = make([]*stats, len(s.sweep))
	}
	parallel(len(s.sweep)*len(policyNames), func(i int) {
		at := s
		at.load = s.sweep[i/len(policyNames)]
		name := policyNames[i%len(policyNames)]
		out[name][i/len(policyNames)] = runPolicy(at.plan(w, s.seed, scenarioSteady), name, s.seed)
	})
	return out
}

// parallel runs f for 0 to n-1 with at most GOMAXPROCS calls at once.
func parallel(n int, f func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	wait.Wait()
}

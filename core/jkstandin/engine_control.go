package jkstandin

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// engineLoadSample is the load of the engine at one moment.
type engineLoadSample struct {
	at              time.Time
	report          jkendpoint.LoadReport
	generatedTokens int // since the creation of the engine
}

// engineRateWindow is the simulated time over which a load report averages the token rate.
const engineRateWindow = time.Second

// recordLoad adds a sample of the current load, and drops samples that no report needs
// any more. The caller holds mu.
func (e *Engine) recordLoad() {
	if e.faults.FreezeLoad {
		return
	}
	now := e.timer.Now()
	r := engineLoadSample{at: now, generatedTokens: e.account.GeneratedTokens, report: jkendpoint.LoadReport{
		Running: len(e.running), Queued: len(e.queue), MaxBatch: e.options.MaxBatch,
		CachedTokens: e.cache.totalTokens(), CacheCapacityTokens: e.options.CacheTokens,
		Models: engineReadyNames(e.models), Adapters: engineReadyNames(e.adapters), Role: e.role,
	}}
	oldest := now.Add(-e.scaled(e.options.LoadLag + engineRateWindow))
	first := 0
	for first+1 < len(e.loadSamples) && !e.loadSamples[first+1].at.After(oldest) {
		first++
	}
	e.loadSamples = append(e.loadSamples[first:], r)
}

// laggedLoadReport returns the newest load report that is at least LoadLag old.
func (e *Engine) laggedLoadReport() jkendpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Now()
	until := now.Add(-e.scaled(e.options.LoadLag))
	if len(e.loadSamples) == 0 { // crashed while FreezeLoad was set
		return jkendpoint.LoadReport{MaxBatch: e.options.MaxBatch, Role: e.role}
	}
	i := 0
	for i+1 < len(e.loadSamples) && !e.loadSamples[i+1].at.After(until) {
		i++
	}
	out := e.loadSamples[i].report
	out.AgeMS = now.Sub(e.loadSamples[i].at).Milliseconds()
	out.TokensPerSecond = e.tokenRate(i, until)
	return out
}

// tokenRate returns the tokens per simulated second in the window before until, up to
// sample i. The caller holds mu.
func (e *Engine) tokenRate(i int, until time.Time) float64 {
	window := e.scaled(engineRateWindow)
	start := i
	for start > 0 && e.loadSamples[start].at.After(until.Add(-window)) {
		start--
	}
	made := e.loadSamples[i].generatedTokens - e.loadSamples[start].generatedTokens
	return float64(made) / engineRateWindow.Seconds()
}

func engineReadyNames(models map[string]*engineModel) []string {
	out := []string{}
	for name, m := range models {
		if m.phase == jkendpoint.ModelReady {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// State returns the current state of the engine.
func (e *Engine) State() jkendpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[string]int{}
	for program := range e.cache.heldBlocks {
		held[program] = e.cache.heldTokens(program)
	}
	return jkendpoint.State{
		Models: engineModelStates(e.models), Adapters: engineModelStates(e.adapters), Role: e.role, FencingToken: e.fencingToken,
		Running: len(e.running), Queued: len(e.queue), Suspended: len(e.suspended), HeldTokens: held,
	}
}

func engineModelStates(models map[string]*engineModel) []jkendpoint.ModelState {
	out := []jkendpoint.ModelState{}
	for name, m := range models {
		out = append(out, jkendpoint.ModelState{Name: name, Version: m.version, Phase: m.phase})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// serves reports whether a model or adapter of this name is ready. The caller holds mu.
func (e *Engine) serves(model string) bool {
	m := e.models[model]
	if m == nil {
		m = e.adapters[model]
	}
	return m != nil && m.phase == jkendpoint.ModelReady
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	e.mu.Lock()
	names := append(engineReadyNames(e.models), engineReadyNames(e.adapters)...)
	e.mu.Unlock()
	list := []entry{}
	for _, name := range names {
		list = append(list, entry{ID: name, Object: "model"})
	}
	serviceReply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, e.laggedLoadReport())
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, e.State())
}

func (e *Engine) serveAccount(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, e.Account())
}

func (e *Engine) serveFaults(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, e.Faults())
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if !serviceDecode(w, r, &f) {
		return
	}
	e.SetFaults(f)
	serviceReply(w, http.StatusOK, f)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	page := e.cache.eventsAfter(after, e.timer.Now().Add(-e.scaled(e.options.CacheEventLag)))
	e.mu.Unlock()
	serviceReply(w, http.StatusOK, page)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	e.mu.Lock()
	blocks := e.cache.export(program)
	e.mu.Unlock()
	if len(blocks) == 0 {
		serviceRefuse(w, http.StatusNotFound, "not_cached", "nothing is cached for the program")
		return
	}
	serviceReply(w, http.StatusOK, jkendpoint.KV{Program: program, Tokens: len(blocks) * engineBlockTokens, Blocks: blocks})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv jkendpoint.KV
	if !serviceDecode(w, r, &kv) {
		return
	}
	chain := make([]uint64, 0, len(kv.Blocks))
	for _, text := range kv.Blocks {
		digest, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			serviceRefuse(w, http.StatusBadRequest, "invalid_request", "blocks: got "+text+", allowed: hexadecimal digests")
			return
		}
		chain = append(chain, digest)
	}
	cost := e.scaled(time.Duration(len(chain)*engineBlockTokens) * e.options.KVPerToken)
	if !e.timer.Wait(cost, r.Context().Done()) {
		return
	}
	e.mu.Lock()
	e.cache.insert(r.PathValue("program"), chain, e.timer.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveRelease releases the cache of a program and drops its suspended streams. A
// sequence that is still running stores its blocks again when it finishes.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	e.mu.Lock()
	e.cache.release(program, e.timer.Now())
	for id, s := range e.suspended {
		if s.program == program {
			delete(e.suspended, id)
		}
	}
	e.recordLoad()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

package jkstandin

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// engineReport is a load report at the time it was true.
type engineReport struct {
	at     time.Time
	report jkendpoint.LoadReport
	made   int // tokens generated so far
}

// engineRateWindow is the time over which a report averages the token rate.
const engineRateWindow = time.Second

// record notes the present load for later reports. The caller holds mu.
func (e *Engine) record() {
	if e.faults.FreezeLoad {
		return
	}
	now := e.timer.Now()
	r := engineReport{at: now, made: e.account.GeneratedTokens, report: jkendpoint.LoadReport{
		Running: len(e.running), Queued: len(e.queue), MaxBatch: e.options.MaxBatch,
		CachedTokens: e.cache.total(), CacheCapacityTokens: e.options.CacheTokens,
		Models: engineReady(e.models), Adapters: engineReady(e.adapters), Role: e.role,
	}}
	keep := now.Add(-e.scaled(e.options.LoadLag + engineRateWindow))
	first := 0
	for first+1 < len(e.reports) && !e.reports[first+1].at.After(keep) {
		first++
	}
	e.reports = append(e.reports[first:], r)
}

// report returns the newest load report that is old enough.
func (e *Engine) report() jkendpoint.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.timer.Now()
	until := now.Add(-e.scaled(e.options.LoadLag))
	if len(e.reports) == 0 { // crashed while frozen
		return jkendpoint.LoadReport{MaxBatch: e.options.MaxBatch, Role: e.role}
	}
	i := 0
	for i+1 < len(e.reports) && !e.reports[i+1].at.After(until) {
		i++
	}
	out := e.reports[i].report
	out.AgeMS = now.Sub(e.reports[i].at).Milliseconds()
	out.TokensPerSecond = e.rate(i, until)
	return out
}

// rate returns the tokens per modelled second up to report i. The caller holds
// mu.
func (e *Engine) rate(i int, until time.Time) float64 {
	window := e.scaled(engineRateWindow)
	start := i
	for start > 0 && e.reports[start].at.After(until.Add(-window)) {
		start--
	}
	made := e.reports[i].made - e.reports[start].made
	return float64(made) / engineRateWindow.Seconds()
}

func engineReady(models map[string]*engineModel) []string {
	out := []string{}
	for name, m := range models {
		if m.phase == jkendpoint.ModelReady {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// State returns the engine's present state.
func (e *Engine) State() jkendpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[string]int{}
	for program := range e.cache.held {
		held[program] = e.cache.tokens(program)
	}
	return jkendpoint.State{
		Models: enginePhases(e.models), Adapters: enginePhases(e.adapters), Role: e.role, FencingToken: e.fencing,
		Running: len(e.running), Queued: len(e.queue), Suspended: len(e.suspended), HeldTokens: held,
	}
}

func enginePhases(models map[string]*engineModel) []jkendpoint.ModelState {
	out := []jkendpoint.ModelState{}
	for name, m := range models {
		out = append(out, jkendpoint.ModelState{Name: name, Version: m.version, Phase: m.phase})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// serves reports whether a model or adapter is ready. The caller holds mu.
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
	names := append(engineReady(e.models), engineReady(e.adapters)...)
	e.mu.Unlock()
	list := []entry{}
	for _, name := range names {
		list = append(list, entry{ID: name, Object: "model"})
	}
	serviceReply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	serviceReply(w, http.StatusOK, e.report())
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
	page := e.cache.page(after, e.timer.Now().Add(-e.scaled(e.options.CacheEventLag)))
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

// serveRelease drops a program's cache and its closed streams. A sequence that
// still runs stores its tokens again when it finishes.
func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	program := r.PathValue("program")
	e.mu.Lock()
	e.cache.release(program, e.timer.Now())
	for id, s := range e.suspended {
		if s.program == program {
			delete(e.suspended, id)
		}
	}
	e.record()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

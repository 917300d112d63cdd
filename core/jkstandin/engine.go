// Package jkstandin holds small stand-ins for the systems around jasmineknot:
// the platform, model engines, plain services and tool services. Each is an
// http.Handler whose faults are switched by POST /faults, and each accounts
// for what it really did, so that a test can compare.
package jkstandin

import (
	"net/http"
	"sync"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// EngineOptions describe the modelled engine. All durations are modelled time;
// TimeScale converts them into real time.
type EngineOptions struct {
	TimeScale       float64       // real seconds per modelled second
	MaxBatch        int           // sequences computed at once
	StepBase        time.Duration // per step
	StepPerSequence time.Duration // per step and sequence of the batch
	PrefillPerToken time.Duration // per prompt token that is not cached
	PrefillChunk    int           // prompt tokens prefilled per step at most
	CacheTokens     int
	LoadLag         time.Duration // age of the load report
	CacheEventLag   time.Duration
	CacheEventGap   int           // every n-th cache event is lost; 0 loses none
	LoadTime        time.Duration // of a model or adapter
	KVPerToken      time.Duration // cost of an import
	ResumeWindow    time.Duration // how long a closed stream can be resumed
	CheckFencing    bool          // refuse orders with an old fencing token
	Models          []string      // loaded at the start
	Adapters        []string      // loaded at the start
	Role            string
}

// DefaultEngineOptions are in the range of one accelerator that serves a
// medium model: 30 ms between tokens at a full batch.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		TimeScale:       1,
		MaxBatch:        16,
		StepBase:        14 * time.Millisecond,
		StepPerSequence: time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		PrefillChunk:    2048,
		CacheTokens:     200_000,
		LoadLag:         time.Second,
		CacheEventLag:   500 * time.Millisecond,
		CacheEventGap:   50,
		LoadTime:        20 * time.Second,
		KVPerToken:      2 * time.Microsecond,
		ResumeWindow:    10 * time.Second,
		CheckFencing:    true,
		Models:          []string{"standin-model"},
		Role:            "mixed",
	}
}

// EngineFaults are the faults of an engine. Durations are modelled time.
type EngineFaults struct {
	SlowFactor     float64 `json:"slow_factor"`  // of every step; 0 means 1
	CrashMarker    string  `json:"crash_marker"` // a request whose content has it crashes the engine
	CrashDownMS    int     `json:"crash_down_ms"`
	Hang           bool    `json:"hang"`             // requests are accepted, nothing is computed
	CutAfterTokens int     `json:"cut_after_tokens"` // connection of a stream closed after n tokens
	CutTimes       int     `json:"cut_times"`        // streams to cut; 0 means all
	LateMS         int     `json:"late_ms"`          // answer withheld for this long
	Refuse         int     `json:"refuse"`           // status of every chat request
	FreezeLoad     bool    `json:"freeze_load"`      // load report does not change
}

// EngineAccount counts what an engine did since its creation.
type EngineAccount struct {
	Accepted        int           `json:"accepted"`
	Completed       int           `json:"completed"`
	Closed          int           `json:"closed"` // by the client or a cut
	Resumed         int           `json:"resumed"`
	Crashes         int           `json:"crashes"`
	PrefilledTokens int           `json:"prefilled_tokens"`
	CachedTokens    int           `json:"cached_tokens"`
	GeneratedTokens int           `json:"generated_tokens"`
	Orders          []EngineOrder `json:"orders"` // the last 100
}

// EngineOrder is one order and whether it was accepted.
type EngineOrder struct {
	Order    jkendpoint.Order `json:"order"`
	Accepted bool             `json:"accepted"`
}

// Engine is a stand-in of a model engine.
type Engine struct {
	options EngineOptions
	timer   *jktimer.Service
	logger  jklog.Logger
	mux     *http.ServeMux

	mu        sync.Mutex
	faults    EngineFaults
	cuts      int // streams cut under the present faults
	account   EngineAccount
	cache     *engineCache
	models    map[string]*engineModel
	adapters  map[string]*engineModel
	role      string
	fencing   uint64
	queue     []*engineSequence
	running   []*engineSequence
	suspended map[string]*engineSequence
	serial    int
	stepping  bool
	stop      func() bool // cancels the step in progress
	life      chan struct{}
	downUntil time.Time
	onCrash   func(down time.Duration)
	reports   []engineReport
}

// engineModel is a model or adapter in one of its phases.
type engineModel struct {
	version string
	phase   jkendpoint.ModelPhase
}

// NewEngine returns an idle engine. Zero options that must be positive take
// their default; lags and gaps may be zero.
func NewEngine(options EngineOptions, timer *jktimer.Service, logger jklog.Logger) *Engine {
	e := &Engine{
		options: options.withDefaults(), timer: timer, logger: logger.Part("engine"),
		mux: http.NewServeMux(), life: make(chan struct{}),
	}
	e.reset()
	e.route()
	return e
}

func (o EngineOptions) withDefaults() EngineOptions {
	d := DefaultEngineOptions()
	if o.TimeScale <= 0 {
		o.TimeScale = d.TimeScale
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = d.MaxBatch
	}
	if o.StepBase <= 0 {
		o.StepBase = d.StepBase
	}
	if o.PrefillChunk <= 0 {
		o.PrefillChunk = d.PrefillChunk
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = d.CacheTokens
	}
	if len(o.Models) == 0 {
		o.Models = d.Models
	}
	if o.Role == "" {
		o.Role = d.Role
	}
	return o
}

// reset sets the state of a process that has just started. The fencing token
// and the event sequence survive, as they would on the engine's disk.
func (e *Engine) reset() {
	var sequence uint64
	if e.cache != nil {
		// The jump shows followers of the events that they missed some.
		sequence = e.cache.sequence + 1000
	}
	e.cache = newEngineCache(e.options, sequence)
	e.models, e.adapters = engineReadyModels(e.options.Models), engineReadyModels(e.options.Adapters)
	e.role = e.options.Role
	e.queue, e.running, e.suspended = nil, nil, map[string]*engineSequence{}
	e.reports = nil
	e.record()
}

func engineReadyModels(names []string) map[string]*engineModel {
	out := map[string]*engineModel{}
	for _, name := range names {
		out[name] = &engineModel{phase: jkendpoint.ModelReady}
	}
	return out
}

func (e *Engine) route() {
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /state", e.serveState)
	e.mux.HandleFunc("GET /account", e.serveAccount)
	e.mux.HandleFunc("GET /cache_events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("GET /kv/{program}", e.serveExport)
	e.mux.HandleFunc("PUT /kv/{program}", e.serveImport)
	e.mux.HandleFunc("DELETE /kv/{program}", e.serveRelease)
	e.mux.HandleFunc("GET /faults", e.serveFaults)
	e.mux.HandleFunc("POST /faults", e.serveSetFaults)
}

// ServeHTTP serves the engine. While the engine is down after a crash it
// closes each connection without an answer; Server refuses connections.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.timer.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.cuts = f, 0
	e.step()
}

// Faults returns the present faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Account returns what the engine did so far.
func (e *Engine) Account() EngineAccount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.account
	out.Orders = append([]EngineOrder{}, e.account.Orders...)
	return out
}

// OnCrash sets a function that is called at each crash with the real time
// that the engine stays down.
func (e *Engine) OnCrash(run func(down time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onCrash = run
}

// scaled converts modelled time into real time.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.options.TimeScale)
}

// crash ends everything that runs and forgets the state. The caller holds mu.
func (e *Engine) crash() {
	e.account.Crashes++
	down := e.scaled(time.Duration(e.faults.CrashDownMS) * time.Millisecond)
	e.downUntil = e.timer.Now().Add(down)
	if e.stop != nil {
		e.stop()
	}
	e.stepping = false
	close(e.life)
	e.life = make(chan struct{})
	e.reset()
	e.logger.Warn("crash on marked request", "crashes", e.account.Crashes, "down", down)
	if e.onCrash != nil {
		// Closing connections waits for handlers, which may wait for mu.
		go e.onCrash(down)
	}
}

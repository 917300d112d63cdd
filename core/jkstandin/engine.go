// Package jkstandin provides small stand-ins for the systems around jasmineknot:
// the platform, model engines, plain services and tool services. Each is an
// http.Handler with fault injection by POST /faults, and each counts the calls it
// received and the work it did, so that a test can compare them with what
// jasmineknot reported. The package is for tests, demos and benchmarks; a
// deployment uses the real systems instead.
package jkstandin

import (
	"net/http"
	"sync"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// EngineOptions configure the simulated engine. All durations are simulated time;
// TimeScale converts them into real time.
type EngineOptions struct {
	TimeScale       float64       // real seconds per simulated second
	MaxBatch        int           // sequences decoded concurrently
	StepBase        time.Duration // fixed cost of a step
	StepPerSequence time.Duration // added to a step for each sequence of the batch
	PrefillPerToken time.Duration // for a prompt token that isn't cached
	PrefillChunk    int           // maximum prompt tokens prefilled per step
	CacheTokens     int           // capacity of the prefix cache
	LoadLag         time.Duration // age of the load report
	CacheEventLag   time.Duration // delay until a cache event can be read
	CacheEventGap   int           // every n-th cache event is dropped; 0 drops none
	LoadTime        time.Duration // until a model or adapter is ready
	KVPerToken      time.Duration // for a token of a KV import
	ResumeWindow    time.Duration // how long a stream can be resumed after it was closed
	CheckFencing    bool          // reject orders with a stale fencing token
	Models          []string      // loaded at startup
	Adapters        []string      // loaded at startup
	Role            string
}

// DefaultEngineOptions returns options in the range of one accelerator that serves
// a medium-sized model: 30 ms between tokens at a full batch.
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

// EngineFaults are the injected faults of an engine. Durations are simulated time.
type EngineFaults struct {
	SlowFactor     float64 `json:"slow_factor"`  // factor of the step duration; 0 means 1
	CrashMarker    string  `json:"crash_marker"` // a request that contains it crashes the engine
	CrashDownMS    int     `json:"crash_down_ms"`
	Hang           bool    `json:"hang"`             // requests are accepted, nothing is computed
	CutAfterTokens int     `json:"cut_after_tokens"` // streams are closed after n tokens
	CutTimes       int     `json:"cut_times"`        // number of streams to cut; 0 means all
	LateMS         int     `json:"late_ms"`          // delay before the response
	Refuse         int     `json:"refuse"`           // status of every chat request; 0 for none
	FreezeLoad     bool    `json:"freeze_load"`      // the load report doesn't change
}

// EngineAccount counts the work of an engine since its creation.
type EngineAccount struct {
	Accepted        int           `json:"accepted"`
	Completed       int           `json:"completed"`
	Closed          int           `json:"closed"` // by the client or by CutAfterTokens
	Resumed         int           `json:"resumed"`
	Crashes         int           `json:"crashes"`
	PrefilledTokens int           `json:"prefilled_tokens"`
	CachedTokens    int           `json:"cached_tokens"`
	GeneratedTokens int           `json:"generated_tokens"`
	Orders          []EngineOrder `json:"orders"` // the last 100
}

// EngineOrder is a received order and whether the engine accepted it.
type EngineOrder struct {
	Order    jkendpoint.Order `json:"order"`
	Accepted bool             `json:"accepted"`
}

// Engine simulates a model engine: continuous batching in timed steps, a prefix
// cache, load reports, orders and resumable streams. It doesn't run a model.
type Engine struct {
	options EngineOptions
	timer   *jktimer.Service
	logger  jklog.Logger
	mux     *http.ServeMux

	mu           sync.Mutex
	faults       EngineFaults
	cutStreams   int // streams cut since the faults were set
	account      EngineAccount
	cache        *engineCache
	models       map[string]*engineModel
	adapters     map[string]*engineModel
	role         string
	fencingToken uint64
	queue        []*engineSequence
	running      []*engineSequence
	suspended    map[string]*engineSequence // resumable streams, by request id
	serial       int
	stepping     bool          // a step is in progress
	cancelStep   func() bool   // cancels the step in progress
	crashSignal  chan struct{} // closed and replaced at each crash
	downUntil    time.Time
	onCrash      func(down time.Duration)
	loadSamples  []engineLoadSample
}

// engineModel is the state of a model or adapter.
type engineModel struct {
	version string
	phase   jkendpoint.ModelPhase
}

// NewEngine returns an idle engine. Options that must be positive get their default
// if they are zero; lags and gaps may be zero.
func NewEngine(options EngineOptions, timer *jktimer.Service, logger jklog.Logger) *Engine {
	e := &Engine{
		options: options.withDefaults(), timer: timer, logger: logger.Part("engine"),
		mux: http.NewServeMux(), crashSignal: make(chan struct{}),
	}
	e.reset()
	e.registerRoutes()
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

// reset sets the state of a newly started process. The fencing token and the event
// sequence survive a crash, as an engine would keep them on disk.
func (e *Engine) reset() {
	var sequence uint64
	if e.cache != nil {
		// The gap in the sequence lets readers of the events detect that they missed some.
		sequence = e.cache.sequence + 1000
	}
	e.cache = newEngineCache(e.options, sequence)
	e.models, e.adapters = engineReadyModels(e.options.Models), engineReadyModels(e.options.Adapters)
	e.role = e.options.Role
	e.queue, e.running, e.suspended = nil, nil, map[string]*engineSequence{}
	e.loadSamples = nil
	e.recordLoad()
}

func engineReadyModels(names []string) map[string]*engineModel {
	out := map[string]*engineModel{}
	for _, name := range names {
		out[name] = &engineModel{phase: jkendpoint.ModelReady}
	}
	return out
}

func (e *Engine) registerRoutes() {
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

// ServeHTTP serves the engine. While the engine is down after a crash, it closes
// each connection without a response; a Server refuses connections instead.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.timer.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults and restarts the count of cut streams.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.cutStreams = f, 0
	e.startStep()
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Account returns a copy of the counts so far.
func (e *Engine) Account() EngineAccount {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.account
	out.Orders = append([]EngineOrder{}, e.account.Orders...)
	return out
}

// OnCrash sets a callback for crashes. Its argument is the real time for which the
// engine stays down.
func (e *Engine) OnCrash(run func(down time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onCrash = run
}

// scaled converts simulated time into real time.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.options.TimeScale)
}

// crash aborts all requests in flight and resets the state. The caller holds mu.
func (e *Engine) crash() {
	e.account.Crashes++
	down := e.scaled(time.Duration(e.faults.CrashDownMS) * time.Millisecond)
	e.downUntil = e.timer.Now().Add(down)
	if e.cancelStep != nil {
		e.cancelStep()
	}
	e.stepping = false
	close(e.crashSignal)
	e.crashSignal = make(chan struct{})
	e.reset()
	e.logger.Warn("crash injected: request contains the crash marker", "crashes", e.account.Crashes, "down", down)
	if e.onCrash != nil {
		// Closing connections waits for their handlers, which may wait for mu.
		go e.onCrash(down)
	}
}

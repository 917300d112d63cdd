// Package jkhome runs the programs whose home is this host: it decides on their
// calls with the pure core, writes their history to copies, and sends the calls
// to dispatchers.
package jkhome

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
)

// Template is a program template of the configuration.
type Template struct {
	Name        string
	Models      []string
	Budget      int64
	Priority    int
	Limits      jkprogram.Limits
	CallTimeout time.Duration
	ToolTimeout time.Duration
}

// ServiceRule is what the configuration says about one service call.
type ServiceRule struct {
	Known      bool
	Repeatable bool
	Timeout    time.Duration
}

// Rules reads the configuration in force.
type Rules struct {
	Template   func(name string) (Template, bool)
	Model      func(name string) bool
	Service    func(service, method, path string) ServiceRule
	RetryRatio func() float64
	// MaxWait is the predicted wait above which a call of a model is refused;
	// zero means no limit.
	MaxWait func(model string) time.Duration
}

// Transport reaches the other parts of the system.
type Transport struct {
	// Dispatch sends a call to an endpoint's dispatcher. An error means that
	// the dispatcher's answer is lost; sent tells whether it may have run.
	Dispatch func(ctx context.Context, m jkmsg.Dispatch, event func(jkmsg.DispatchEvent)) (r jkmsg.DispatchResult, sent bool, err error)
	// AppendCopy and ReadCopy reach a history copy by its host's name.
	AppendCopy func(ctx context.Context, host string, r jkprogram.Record) (jkmsg.CopyStatus, error)
	ReadCopy   func(ctx context.Context, host string, r jkmsg.CopyRead) (jkmsg.CopyReadResult, error)
	// ChooseCopies names the hosts for a new program's copies.
	ChooseCopies func(program string) []string
	// DiskHosts names the hosts that may hold a copy.
	DiskHosts func() []string
	// HostState returns a host's incarnation and whether it is up.
	HostState func(host string) (jktoken.Incarnation, bool)
	// LeaveCopySet records in the platform that the copies written at a host
	// incarnation are given up. It reports false if that host has come back
	// first, or if this home was declared ended.
	LeaveCopySet func(ctx context.Context, i jktoken.Incarnation) (bool, error)
	// IsEnded asks the platform whether this host's incarnation was declared
	// ended; the answer is no older than the call.
	IsEnded func(ctx context.Context) (bool, error)
	// HasLeft reports whether the copies of a host incarnation were given up by
	// the former home of a program.
	HasLeft func(ctx context.Context, former, copyHost jktoken.Incarnation) (bool, error)
	// Release asks the dispatchers of endpoints to drop a program's cache.
	Release func(program string, endpoints []string)
	// ReleaseMoved asks the dispatcher of an endpoint to drop the cache of a
	// program that goes on elsewhere.
	ReleaseMoved func(program, endpoint string)
}

// Options holds what a home needs.
type Options struct {
	Self      jktoken.Incarnation
	Zone      string
	Timer     *jktimer.Service
	Log       jklog.Logger
	Keys      *jktoken.Keyring
	Rules     Rules
	Transport Transport
	Sched     jksched.Options
	// IsRefused reports whether a request content is quarantined for this home.
	IsRefused func(fingerprint string, home jktoken.Incarnation) bool
	// Crashes returns the known crashes of a content; Crashed notes a number of
	// crashes.
	Crashes func(fingerprint string) int
	Crashed func(fingerprint string, home jktoken.Incarnation, crashes int)
	// Rand is the source of jitter.
	Rand *rand.Rand
	// MaxPrograms bounds the table of programs.
	MaxPrograms int
	// EndedRetention is how long an ended program still answers retries.
	EndedRetention time.Duration
	// CopyGrace is how long a copy's host may be silent before its programs get
	// another copy. Until then a program that was taken over can't extend its
	// grant, because one of its copies does not answer.
	CopyGrace time.Duration
	// Ended is told about each program that ends here; nil if nobody counts.
	Ended func(jkprogram.Ended)
}

// Home is the home part of one host.
type Home struct {
	options Options

	mu      sync.Mutex
	self    jktoken.Incarnation
	core    *jkprogram.Core
	placer  *jksched.Placer
	extras  map[string]*extra
	runs    map[string]*run
	created map[string]string
	serial  uint64
	retries float64
	// moved names the new home of programs handed over at a planned stop.
	moved     map[string]jktoken.Incarnation
	copyHosts map[string]*copyHost
	missed    missedRecords
	draining  bool
	// successor names the next home of a program during a planned stop.
	successor func(program string) (jktoken.Incarnation, bool)
}

// extra is what a home keeps about a program beside the core's row. It is lost
// with the home and costs only efficiency.
type extra struct {
	// historyTokens is the exact length of the history at the last answer.
	historyTokens int64
	// historyMessages is the number of messages that historyTokens covers.
	historyMessages int
	endpoints       map[string]bool
}

// createdLimit bounds the remembered request ids of program creations.
const createdLimit = 4096

// retryBurst is the largest number of saved retries.
const retryBurst = 20

// New returns a home without programs.
func New(o Options) *Home {
	return &Home{
		options: o,
		self:    o.Self,
		core: jkprogram.New(jkprogram.Options{
			Self: o.Self, MaxPrograms: o.MaxPrograms, EndedRetention: o.EndedRetention,
		}),
		placer:  jksched.NewPlacer(o.Sched),
		extras:  map[string]*extra{},
		runs:    map[string]*run{},
		created: map[string]string{},
		retries: retryBurst,
		moved:   map[string]jktoken.Incarnation{},

		copyHosts: map[string]*copyHost{},
		missed:    missedRecords{},
	}
}

// Self returns the present incarnation.
func (h *Home) Self() jktoken.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// SetEndpoints replaces the endpoints that calls may be placed on.
func (h *Home) SetEndpoints(add []jksched.Endpoint, remove []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range add {
		h.placer.SetEndpoint(e)
	}
	for _, id := range remove {
		h.placer.RemoveEndpoint(id)
	}
}

// Released notes that an endpoint has dropped a program's cache.
func (h *Home) Released(r jkmsg.Released) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placer.CacheReleased(r.Program, r.Endpoint)
}

// SetLoad takes the digest of an endpoint.
func (h *Home) SetLoad(l jksched.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placer.SetLoad(l)
}

// Programs returns the number of programs, ended ones included.
func (h *Home) Programs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Len()
}

// Running returns the number of calls under way.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.runs)
}

// Has reports whether the program is in the table.
func (h *Home) Has(program string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.core.Info(program)
	return ok && !h.core.IsRetired(program)
}

// Retired returns the state of a program that another home has taken over.
func (h *Home) Retired(program string) (jkprogram.State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Retired(program)
}

// IsBehind reports whether a token names turns that this home lacks and could
// still get from the program's former home.
func (h *Home) IsBehind(program string, turn uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	info, ok := h.core.Info(program)
	return ok && info.Turn < turn && h.core.IsUntouched(program)
}

// Moved returns the new home of a program that was handed over.
func (h *Home) Moved(program string) (jktoken.Incarnation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, ok := h.moved[program]
	return i, ok
}

// Tick ends programs that are past a limit.
func (h *Home) Tick() {
	h.mu.Lock()
	expired := h.core.Tick(h.options.Timer.Now())
	for id := range h.extras {
		if _, ok := h.core.Info(id); !ok {
			delete(h.extras, id)
		}
	}
	h.mu.Unlock()
	for _, e := range expired {
		h.options.Log.Info("program has reached a limit", "program", e.Program, "reason", e.Reason)
		h.end(e.Program, e.Reason)
	}
}

// Supersede gives up all programs after this incarnation was declared ended,
// and goes on under a new one. The former tokens lead to the successors.
func (h *Home) Supersede(next jktoken.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.core.IDs() {
		h.core.Supersede(id)
	}
	h.self = next
	h.core.SetSelf(next)
}

// extra returns the row beside a program's core row. The caller holds the lock.
func (h *Home) extra(program string) *extra {
	e := h.extras[program]
	if e == nil {
		e = &extra{endpoints: map[string]bool{}}
		h.extras[program] = e
	}
	return e
}

// token signs the claims of a program's next call.
func (h *Home) token(c jktoken.Claims) string {
	t, err := h.options.Keys.Sign(c)
	if err != nil {
		h.options.Log.Error("token can't be signed", err, "program", c.Program)
	}
	return t
}

// takeRetry uses up one retry of the budget: a fixed share of all calls.
func (h *Home) takeRetry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.retries < 1 {
		return false
	}
	h.retries--
	return true
}

// jitter returns a random share of d, between half and the whole.
func (h *Home) jitter(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return d/2 + time.Duration(h.options.Rand.Int63n(int64(d/2)+1))
}

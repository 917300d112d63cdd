// Package jkhome runs the programs whose home is this host. It admits their calls with
// the state machine of jkprogram, replicates their history to copies on other hosts,
// and sends the calls to dispatchers, with retries and a hedged second dispatch. It
// neither routes requests to the home of a program (jkroute) nor talks to endpoints
// (jkdispatch), and it reaches other hosts only through Transport.
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

// Template is a program template of the configuration: the limits and defaults of the
// programs that name it.
type Template struct {
	Name        string
	Models      []string
	Budget      int64
	Priority    int
	Limits      jkprogram.Limits
	CallTimeout time.Duration
	ToolTimeout time.Duration
}

// ServiceRule is the configuration of one service call.
type ServiceRule struct {
	// Known is set if the service has an endpoint.
	Known bool
	// Repeatable is set if the call may safely run more than once.
	Repeatable bool
	Timeout    time.Duration
}

// Rules reads the current configuration.
type Rules struct {
	Template func(name string) (Template, bool)
	Model    func(name string) bool
	Service  func(service, method, path string) ServiceRule
	// RetryRatio is the share of calls that may be retried.
	RetryRatio func() float64
	// MaxWait is the predicted wait above which a call to a model is refused; zero
	// means no limit.
	MaxWait func(model string) time.Duration
}

// Transport connects a home to dispatchers, copies and the platform.
type Transport struct {
	// Dispatch sends a call to the dispatcher of an endpoint. An error means that
	// the dispatcher's answer is lost; sent reports whether the call may have run.
	Dispatch func(ctx context.Context, m jkmsg.Dispatch, event func(jkmsg.DispatchEvent)) (r jkmsg.DispatchResult, sent bool, err error)
	// AppendCopy and ReadCopy access the history copy at the named host.
	AppendCopy func(ctx context.Context, host string, r jkprogram.Record) (jkmsg.CopyStatus, error)
	ReadCopy   func(ctx context.Context, host string, r jkmsg.CopyRead) (jkmsg.CopyReadResult, error)
	// ChooseCopies returns the hosts that are to hold a program's copies.
	ChooseCopies func(program string) []string
	// DiskHosts returns hosts that have a disk and so may hold copies.
	DiskHosts func() []string
	// HostState returns a host's incarnation and whether it is up.
	HostState func(host string) (jktoken.Incarnation, bool)
	// RemoveCopyHost records in the platform that the copies written at a host
	// incarnation are no longer valid. It reports false if that host came back
	// first, or if this home was declared ended.
	RemoveCopyHost func(ctx context.Context, i jktoken.Incarnation) (bool, error)
	// IsEnded asks the platform whether this host's incarnation was declared
	// ended. The answer must not be older than the call.
	IsEnded func(ctx context.Context) (bool, error)
	// IsCopyHostRemoved reports whether the former home of a program recorded with
	// RemoveCopyHost that the copies of a host incarnation are no longer valid.
	IsCopyHostRemoved func(ctx context.Context, former, copyHost jktoken.Incarnation) (bool, error)
	// Release asks the dispatchers of endpoints to evict a program's prefix cache.
	Release func(program string, endpoints []string)
	// ReleaseMoved asks the dispatcher of an endpoint to evict the cache of a
	// program that continues on another endpoint.
	ReleaseMoved func(program, endpoint string)
}

// Options configures a home.
type Options struct {
	Self      jktoken.Incarnation
	Zone      string
	Timer     *jktimer.Service
	Log       jklog.Logger
	Keys      *jktoken.Keyring
	Rules     Rules
	Transport Transport
	Sched     jksched.Options
	// IsQuarantined reports whether a request content is quarantined for this home.
	IsQuarantined func(fingerprint string, home jktoken.Incarnation) bool
	// Crashes returns the number of known crashes of a request content;
	// RecordCrashes records further ones.
	Crashes       func(fingerprint string) int
	RecordCrashes func(fingerprint string, home jktoken.Incarnation, crashes int)
	// Rand is the source of backoff jitter and of program ids.
	Rand *rand.Rand
	// MaxPrograms bounds the number of programs, ended ones included.
	MaxPrograms int
	// EndedRetention is how long an ended program still answers retries.
	EndedRetention time.Duration
	// CopyGrace is how long the host of a copy may be unreachable before the copy is
	// replaced. Until then a program that was taken over can't extend its grant,
	// because one of its copies does not answer.
	CopyGrace time.Duration
	// OnProgramEnded is called for each program that ends here; it may be nil.
	OnProgramEnded func(jkprogram.Ended)
}

// Home runs the programs whose home is this host.
type Home struct {
	options Options

	mu               sync.Mutex
	self             jktoken.Incarnation
	core             *jkprogram.Core
	placer           *jksched.Placer
	hints            map[string]*programHints
	inFlight         map[string]*inFlightCall
	createdByRequest map[string]string
	lastSerial       uint64
	retryBudget      float64
	// movedTo holds the new homes of programs handed over at a planned stop.
	movedTo   map[string]jktoken.Incarnation
	copyHosts map[string]*copyHost
	missed    missedRecords
	draining  bool
	// successor returns the next home of a program during a planned stop.
	successor func(program string) (jktoken.Incarnation, bool)
}

// programHints is what a home knows about a program beyond the replicated state. It is
// lost with the home, which costs efficiency but not correctness.
type programHints struct {
	// historyTokens is the length of the history after the last answer, as the engine
	// counted it.
	historyTokens int64
	// historyMessages is the number of messages that historyTokens covers.
	historyMessages int
	// endpoints holds the endpoints that may have the program's prefix cached.
	endpoints map[string]bool
}

// maxCreationIDs bounds createdByRequest, which is cleared when it is full.
const maxCreationIDs = 4096

// maxRetryBudget caps the retry budget, and so the burst of retries.
const maxRetryBudget = 20

// New returns a home without programs.
func New(o Options) *Home {
	return &Home{
		options: o,
		self:    o.Self,
		core: jkprogram.New(jkprogram.Options{
			Self: o.Self, MaxPrograms: o.MaxPrograms, EndedRetention: o.EndedRetention,
		}),
		placer:           jksched.NewPlacer(o.Sched),
		hints:            map[string]*programHints{},
		inFlight:         map[string]*inFlightCall{},
		createdByRequest: map[string]string{},
		retryBudget:      maxRetryBudget,
		movedTo:          map[string]jktoken.Incarnation{},

		copyHosts: map[string]*copyHost{},
		missed:    missedRecords{},
	}
}

// Self returns the current incarnation.
func (h *Home) Self() jktoken.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// SetEndpoints adds or updates endpoints that calls may be placed on, and removes those
// with the given ids.
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

// RecordCacheReleased records that an endpoint has evicted a program's cache.
func (h *Home) RecordCacheReleased(r jkmsg.Released) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placer.CacheReleased(r.Program, r.Endpoint)
}

// SetLoad records the load report of an endpoint.
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

// Running returns the number of calls in flight.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inFlight)
}

// HasProgram reports whether the program is in the table and was not left behind by a
// former incarnation of this host.
func (h *Home) HasProgram(program string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.core.Info(program)
	return ok && !h.core.IsFromFormerIncarnation(program)
}

// RetiredState returns the state of a program that another home has taken over.
func (h *Home) RetiredState(program string) (jkprogram.State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.RetiredState(program)
}

// IsBehind reports whether a token names turns that this home lacks and could still
// read from the program's former home.
func (h *Home) IsBehind(program string, turn uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	info, ok := h.core.Info(program)
	return ok && info.Turn < turn && h.core.IsUnusedSinceAdoption(program)
}

// MovedTo returns the new home of a program that was handed over.
func (h *Home) MovedTo(program string) (jktoken.Incarnation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, ok := h.movedTo[program]
	return i, ok
}

// Tick ends the programs that are past a time limit. It is called periodically.
func (h *Home) Tick() {
	h.mu.Lock()
	expired := h.core.Tick(h.options.Timer.Now())
	for id := range h.hints {
		if _, ok := h.core.Info(id); !ok {
			delete(h.hints, id)
		}
	}
	h.mu.Unlock()
	for _, e := range expired {
		h.options.Log.Info("program has reached a limit", "program", e.Program, "reason", e.Reason)
		h.endProgram(e.Program, e.Reason)
	}
}

// Supersede marks all programs as taken over after this incarnation was declared ended,
// and continues under a new incarnation. Tokens of the former one are routed to its
// successors.
func (h *Home) Supersede(next jktoken.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.core.IDs() {
		h.core.Supersede(id)
	}
	h.self = next
	h.core.SetSelf(next)
}

// hintsOf returns a program's hints, creating them if needed. The caller holds the lock.
func (h *Home) hintsOf(program string) *programHints {
	e := h.hints[program]
	if e == nil {
		e = &programHints{endpoints: map[string]bool{}}
		h.hints[program] = e
	}
	return e
}

// signToken returns the token for a program's next call, or an empty one on failure.
func (h *Home) signToken(c jktoken.Claims) string {
	t, err := h.options.Keys.Sign(c)
	if err != nil {
		h.options.Log.Error("token can't be signed", err, "program", c.Program)
	}
	return t
}

// spendRetry takes one retry from the retry budget, which grows by a fixed share of a
// retry with each call. It reports false if the budget is used up.
func (h *Home) spendRetry() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.retryBudget < 1 {
		return false
	}
	h.retryBudget--
	return true
}

// jitter returns a random duration between d/2 and d.
func (h *Home) jitter(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return d/2 + time.Duration(h.options.Rand.Int63n(int64(d/2)+1))
}

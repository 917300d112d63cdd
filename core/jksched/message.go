// Package jksched is the pure scheduling core. A Placer chooses the endpoint of
// each call at the program's home; a Queue orders, admits and dispatches the
// calls of the endpoints that one dispatcher owns. Both take the time as an
// argument, do no input or output and are not safe for concurrent use.
package jksched

import (
	"fmt"
	"time"
)

// Kind tells model calls from plain service calls.
type Kind string

// Kinds of calls and endpoints.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// State is an endpoint's place in its life cycle.
type State string

// States of an endpoint. A leaving endpoint finishes what it runs and gets no
// new work; a down endpoint runs nothing.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// Segment is one part of a prompt that an engine may hold in its cache.
type Segment struct {
	Hash   string
	Tokens int64
}

// Call is one request of a program as the scheduler sees it.
type Call struct {
	ID        string
	Program   string
	Workspace string
	Kind      Kind
	Model     string
	Service   string
	// Zone is the zone of the program's home.
	Zone string
	// Priority is the configured priority; higher runs earlier.
	Priority int
	// Deadline is the time by which the whole answer is due; zero means none.
	Deadline   time.Time
	Repeatable bool
	// Prefix lists the cacheable parts in order: the workspace's shared prompt,
	// then the program's own history.
	Prefix       []Segment
	PromptTokens int64
	MaxTokens    int64
	// Attained is the service in tokens that the whole program has received.
	Attained int64
	Turn     uint64
	// ParentWaiting marks a sub-program whose parent can't go on without it.
	ParentWaiting bool
	Streamed      bool
	// Second marks the copy sent because of a second dispatch.
	Second bool
}

// Endpoint describes a back end.
type Endpoint struct {
	ID      string
	Zone    string
	Kind    Kind
	Models  []string
	Service string
	Slots   int
	// MaxQueued bounds the waiting calls; zero stands for the options' multiple
	// of slots.
	MaxQueued   int
	CacheTokens int64
	State       State
}

// Breaker is the state of an endpoint's circuit breaker.
type Breaker string

// Breaker states. Slow means that the endpoint's token pace is far behind its
// peers'; like half_open it admits only probes.
const (
	BreakerClosed   Breaker = "closed"
	BreakerSlow     Breaker = "slow"
	BreakerOpen     Breaker = "open"
	BreakerHalfOpen Breaker = "half_open"
)

// Load is the digest of one endpoint that its dispatcher puts into heartbeats.
type Load struct {
	// The names of the fields would be most of a digest's bytes.
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	// Model is the first model of the endpoint; paces of one model are compared.
	Model   string
	At      time.Time
	Running int
	Queued  int
	// Limit is the number of calls that may run at once at present.
	Limit int
	// PredictedWait is the time an average new call would spend in the queue.
	PredictedWait time.Duration
	// TokenPace is the time per generated token of one call in a full batch;
	// zero if unknown.
	TokenPace time.Duration
	// CurrentPace is the time per generated token in the last window; zero if
	// too little ran. Slow endpoints are found by comparing it.
	CurrentPace time.Duration
	// PrefillPace is the time per prompt token that isn't cached.
	PrefillPace time.Duration
	Breaker     Breaker
	// CacheShare is the memory of running and paused programs as a share of the
	// endpoint's cache.
	CacheShare  float64
	HotPrefixes []Segment
}

// Placement is the result of a placement decision. Alternatives are ordered by
// predicted latency.
type Placement struct {
	Endpoint      string
	Alternatives  []string
	PredictedWait time.Duration
}

// Reason tells why a call was refused, moved or dispatched again.
type Reason string

// Reasons in refusals and commands.
const (
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonQueueFull  Reason = "queue_full"
	ReasonDeadline   Reason = "deadline"
	ReasonLeaving    Reason = "leaving"
	ReasonDown       Reason = "down"
	ReasonSlow       Reason = "slow"
	ReasonBreaker    Reason = "breaker_open"
	ReasonDuplicate  Reason = "duplicate"
	ReasonUnknown    Reason = "unknown_endpoint"
	ReasonEnded      Reason = "program_ended"
	ReasonIdle       Reason = "idle"
	ReasonMoved      Reason = "moved"
	ReasonEvicted    Reason = "evicted"
	ReasonCancelled  Reason = "cancelled"
)

// RefusedError is returned for a call that was not accepted and hence not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the predicted time until the call would be accepted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused: %s, retry after %s", e.Reason, e.RetryAfter)
}

// CommandKind is what the caller of Tick has to do.
type CommandKind string

// Kinds of commands.
const (
	// CommandDispatch: send Call to Endpoint.
	CommandDispatch CommandKind = "dispatch"
	// CommandRefuse: Call has left the queue and was not run.
	CommandRefuse CommandKind = "refuse"
	// CommandSecondDispatch: place a copy of Call, with Second set, on another
	// endpoint than Endpoint, where it keeps running; the first answer wins.
	CommandSecondDispatch CommandKind = "second_dispatch"
	// CommandCancel: stop Call on Endpoint and report Finished for it.
	CommandCancel CommandKind = "cancel"
	// CommandReleaseCache: drop the cache of Call.Program on Endpoint.
	CommandReleaseCache CommandKind = "release_cache"
	// CommandMove: Call has left the queue of Endpoint unstarted; place it again.
	CommandMove CommandKind = "move"
)

// Command is an order that Queue.Tick returns.
type Command struct {
	Kind       CommandKind
	Call       Call
	Endpoint   string
	Reason     Reason
	RetryAfter time.Duration
	// EnginePriority of a dispatch is what to ask of engines that honour
	// priorities, from 0 to 2: one step each for a short call and for a small
	// prefill. Higher runs first.
	EnginePriority int
}

// Outcome is how a run of a call ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Result reports the end of a run.
type Result struct {
	Outcome   Outcome
	Generated int64
	// Cached is the number of prompt tokens served from the engine's cache.
	Cached int64
	// ToolCalls is true if the answer asks for tools, so that the program is
	// expected back after a tool pause.
	ToolCalls bool
	// EndpointFault is true for a failure of the endpoint, not of the request.
	EndpointFault bool
}

// Report is an endpoint's own load report. It lags and is only a hint.
type Report struct {
	Endpoint   string
	At         time.Time
	Running    int
	Waiting    int
	CacheUsed  int64
	CacheTotal int64
}

// CacheEvent is a late notice, possibly with gaps, that an engine stored or
// evicted a prefix. Program is empty for a shared prefix.
type CacheEvent struct {
	Endpoint string
	Program  string
	Segment  Segment
	Evicted  bool
}

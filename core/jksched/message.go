// Package jksched decides where and when calls run. A Placer chooses the endpoint of
// each call at the program's home; a Queue admits, orders and dispatches the calls of
// the endpoints that one dispatcher owns; a DirectPlacer places calls for a host that
// sends to endpoints without a dispatcher.
//
// The package holds decisions only: it sends nothing, stores nothing and has no
// goroutines or clock. All types take the time as an argument and are not safe for
// concurrent use.
package jksched

import (
	"fmt"
	"time"
)

// Kind is the kind of a call or endpoint: a model or a plain service.
type Kind string

// Kinds of calls and endpoints.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// State is the life cycle state of an endpoint.
type State string

// States of an endpoint. A leaving endpoint is drained: it finishes its running calls
// and gets no new ones. A down endpoint runs nothing.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// Segment is a part of a prompt that an engine may hold in its prefix cache.
type Segment struct {
	Hash   string
	Tokens int64
}

// Call describes one request of a program to the scheduler.
type Call struct {
	ID        string
	Program   string
	Workspace string
	Kind      Kind
	Model     string
	Service   string
	// Zone is the zone of the program's home.
	Zone string
	// Priority is the configured priority; a call with a higher one runs earlier.
	Priority int
	// Deadline is the time by which the whole answer is due; zero means none.
	Deadline   time.Time
	Repeatable bool
	// Prefix lists the cacheable parts of the prompt in order: the workspace's shared
	// prompt, then the program's own history.
	Prefix       []Segment
	PromptTokens int64
	MaxTokens    int64
	// Attained is the service, in tokens, that the whole program has received so far.
	Attained int64
	Turn     uint64
	// ParentWaiting marks a call of a sub-program whose parent waits for its result.
	ParentWaiting bool
	Streamed      bool
	// Second marks the copy of a call that a second dispatch sends (a hedged request).
	Second bool
	// Version limits a DirectPlacer to endpoints of this software version if VersionBound is set.
	Version      string
	VersionBound bool
	// Route is the name of the route, and BodyBytes the size of the body. TokenLimit is the most
	// tokens that the call may generate if MaxTokens is only likely; zero means unknown.
	Route      string
	BodyBytes  int64
	TokenLimit int64
}

// Endpoint describes a back end: a model's engine or a plain service.
type Endpoint struct {
	ID      string
	Zone    string
	Kind    Kind
	Models  []string
	Service string
	Slots   int
	// MaxQueued bounds the waiting calls; zero means Options.MaxQueued times Slots.
	MaxQueued   int
	CacheTokens int64
	State       State
	// Version is the version of the endpoint's software.
	Version string
}

// Breaker is the state of an endpoint's circuit breaker.
type Breaker string

// Breaker states. Slow means that the endpoint takes far more time per token than its
// peers. In the states slow and half_open only a few calls are admitted, as probes.
const (
	BreakerClosed   Breaker = "closed"
	BreakerSlow     Breaker = "slow"
	BreakerOpen     Breaker = "open"
	BreakerHalfOpen Breaker = "half_open"
)

// Load is the load digest of one endpoint that its dispatcher puts into heartbeats.
type Load struct {
	// Encoded as an array, because field names would be most of a digest's bytes.
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	// Model is the first model of the endpoint. Paces are compared among endpoints of
	// the same model.
	Model   string
	At      time.Time
	Running int
	Queued  int
	// Limit is the number of calls that may run at once at present.
	Limit int
	// PredictedWait is the predicted queueing time of a new call of average size.
	PredictedWait time.Duration
	// TokenPace is the mean time per generated token of one call in a full batch;
	// zero if unknown.
	TokenPace time.Duration
	// CurrentPace is the time per generated token in the last window, by which slow
	// endpoints are detected; zero if too little ran.
	CurrentPace time.Duration
	// PrefillPace is the time per prompt token that isn't cached.
	PrefillPace time.Duration
	Breaker     Breaker
	// CacheShare is the cached history of running and paused programs as a share of
	// the endpoint's cache.
	CacheShare  float64
	HotPrefixes []Segment
}

// Placement is the result of a placement decision. Alternatives are ordered by
// predicted latency.
type Placement struct {
	Endpoint      string
	Alternatives  []string
	PredictedWait time.Duration
	// SendDelay is how long the call has to wait before it may be sent, because its
	// endpoint limits the rate of requests.
	SendDelay time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint is expected to read.
	UncachedTokens int64
	// Prediction is set by a DirectPlacer.
	Prediction Prediction
	// Ticket identifies the call for ProgressOf and Finish; zero if its work wasn't predicted.
	Ticket uint64
	// PredictedRun is the predicted time from the start of the call to its end, and Reason why
	// its endpoint was chosen. Both are set only for learned placement.
	PredictedRun time.Duration
	Reason       PlacementReason
}

// PlacementReason is what decided on the endpoint of a call.
type PlacementReason string

// Reasons of placements: the endpoint is expected to have a part of the prompt in its cache, or
// was chosen by its load, or no endpoint with a closed breaker was left.
const (
	PlacedCached   PlacementReason = "cached"
	PlacedBalanced PlacementReason = "balanced"
	PlacedFallback PlacementReason = "fallback"
)

// Reason is the reason of a refusal or a command.
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
	ReasonLimited    Reason = "endpoint_limit"
	ReasonVersion    Reason = "no_endpoint_of_version"
)

// RefusedError is returned for a call that was not accepted and was therefore not run.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the predicted time until the call would be accepted.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("call refused: %s, retry after %s", e.Reason, e.RetryAfter)
}

// CommandKind is the action that the caller of Tick has to take.
type CommandKind string

// Kinds of commands.
const (
	// CommandDispatch: send Call to Endpoint.
	CommandDispatch CommandKind = "dispatch"
	// CommandRefuse: Call was removed from the queue and was not run; refuse it.
	CommandRefuse CommandKind = "refuse"
	// CommandSecondDispatch: place a copy of Call, with Second set, on another
	// endpoint. Call keeps running on Endpoint; the first answer wins.
	CommandSecondDispatch CommandKind = "second_dispatch"
	// CommandCancel: stop Call on Endpoint and report Finished for it.
	CommandCancel CommandKind = "cancel"
	// CommandReleaseCache: drop the cache of Call.Program on Endpoint.
	CommandReleaseCache CommandKind = "release_cache"
	// CommandMove: Call was removed from the queue of Endpoint before it started;
	// place it again.
	CommandMove CommandKind = "move"
)

// Command is an action that Queue.Tick asks its caller to take.
type Command struct {
	Kind       CommandKind
	Call       Call
	Endpoint   string
	Reason     Reason
	RetryAfter time.Duration
	// EnginePriority is the priority of a dispatch for engines that support
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

// Result describes the end of a run.
type Result struct {
	Outcome   Outcome
	Generated int64
	// Cached is the number of prompt tokens served from the engine's cache.
	Cached int64
	// ToolCalls is true if the answer contains tool calls, so that the program is
	// expected to continue when its tools have run.
	ToolCalls bool
	// EndpointFault is true for a failure of the endpoint, not of the request.
	EndpointFault bool
}

// LoadReport is an endpoint's own load report. It lags behind and is only a hint.
type LoadReport struct {
	Endpoint   string
	At         time.Time
	Running    int
	Waiting    int
	CacheUsed  int64
	CacheTotal int64
}

// CacheEvent is an engine's notice that it stored or evicted a prefix. Notices come
// late and some are lost. Program is empty for a shared prefix.
type CacheEvent struct {
	Endpoint string
	Program  string
	Segment  Segment
	Evicted  bool
}

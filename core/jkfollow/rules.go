package jkfollow

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jkfreshness"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// TypeRulesConfirm is the type of the message by which a host asks another one how current the rules
// are.
const TypeRulesConfirm = "rules_confirm"

// RulesRequest asks for a confirmation of the rules.
type RulesRequest struct {
	// Revision is the revision of the rules in force at the host that asks.
	Revision int64 `msgpack:"revision"`
}

// RulesAnswer is what a host knows about the newest rules.
type RulesAnswer struct {
	// Revision was the newest one Age ago, or later. It is zero if the host has no confirmation.
	Revision int64         `msgpack:"revision"`
	Age      time.Duration `msgpack:"age"`
	// Item holds the rules in force at the host if they are newer than those of the request.
	Item *Item `msgpack:"item,omitempty"`
}

// RulesCall is how a host asked for a confirmation.
type RulesCall string

// Calls for a confirmation.
const (
	RulesRead RulesCall = "read"
	RulesAsk  RulesCall = "ask"
)

// RulesOutcome is the outcome of a call for a confirmation.
type RulesOutcome string

// Outcomes of a call: the rules in force were confirmed, the call brought newer ones, the host that was
// asked knows nothing newer, the answer contradicts what is known, there was no answer.
const (
	RulesConfirmed    RulesOutcome = "confirmed"
	RulesNewer        RulesOutcome = "newer"
	RulesNothingNewer RulesOutcome = "nothing_newer"
	RulesContradicted RulesOutcome = "contradicted"
	RulesFailed       RulesOutcome = "failed"
)

// RulesWatchOptions holds the dependencies of a RulesWatch.
type RulesWatchOptions struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	// Host is the name of this host, and Bound the time after which a key that was removed must not
	// be served; zero means that there is no such bound.
	Host  string
	Bound time.Duration
	// Read reads the rules' key from the store by a linearizable read. Found is false if the store has
	// no rules. Nil means that the store can't be asked.
	Read func(ctx context.Context) (rules Item, found bool, err error)
	Pool *jkwire.Pool
	// Peers returns the reachable entries, including this one.
	Peers func() []Peer
	// Apply puts newer rules into force and calls SetInForce.
	Apply func(Item)
	// OnCall is called after each call for a confirmation; nil if it isn't counted.
	OnCall func(call RulesCall, outcome RulesOutcome)
}

// RulesWatch keeps track of how current the rules in force are, by reads of the store and by asking
// other hosts. jkfreshness decides which, and what follows.
type RulesWatch struct {
	RulesWatchOptions

	mu    sync.Mutex
	table *jkfreshness.Table
	// item holds the rules in force, for hosts that ask.
	item Item
	// wake ends the pause of Run.
	wake  func()
	state jkfreshness.State
}

// NewRulesWatch returns a RulesWatch, which Run starts.
func NewRulesWatch(o RulesWatchOptions) *RulesWatch {
	if o.OnCall == nil {
		o.OnCall = func(RulesCall, RulesOutcome) {}
	}
	return &RulesWatch{
		RulesWatchOptions: o, wake: func() {}, state: jkfreshness.StateCurrent,
		table: jkfreshness.New(jkfreshness.Options{Host: o.Host, Bound: o.Bound}),
	}
}

// SetInForce records that rules are in force, or that the ones in force were kept in spite of the item.
// It must be called after the host has begun to use them.
func (r *RulesWatch) SetInForce(item Item, hasWorkspaces bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if item.Revision > r.item.Revision {
		r.item = item
	}
	r.table.SetInForce(item.Revision, hasWorkspaces, r.Timer.Uptime())
	r.wake()
}

// InForce returns the revision up to which changes of the rules have been processed.
func (r *RulesWatch) InForce() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.InForce()
}

// MayServe reports whether a key of the rules can't have been removed for longer than the bound. A
// caller loads the rules afterwards: rules that were loaded before may be older than the answer.
func (r *RulesWatch) MayServe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.MayServe(r.Timer.Uptime())
}

// MayDeny reports whether a key that the rules don't have can't have been added already. A caller loads
// the rules afterwards, as for MayServe.
func (r *RulesWatch) MayDeny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.MayDeny(r.Timer.Uptime())
}

// IsReady reports whether this host should get new connections.
func (r *RulesWatch) IsReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsReady(r.Timer.Uptime())
}

// Age returns the age of the rules in force, and false if they haven't been confirmed.
func (r *RulesWatch) Age() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.table.Confirmed()
	return r.table.Age(r.Timer.Uptime()), ok
}

// HostBack makes a host that didn't answer be asked again.
func (r *RulesWatch) HostBack(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.HostBack(host)
}

// Run reads and asks until the context ends.
func (r *RulesWatch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, cancel := context.WithCancel(ctx)
		peers := rankPeers(r.Peers())
		step := r.next(peers, cancel)
		if step.Action == jkfreshness.ActionNone {
			r.Timer.Wait(step.Wait, pause.Done())
		} else {
			r.run(ctx, step, peers)
		}
		cancel()
	}
}

// next returns the next step, which it records as begun. Wake ends the pause before the one after it.
func (r *RulesWatch) next(peers []Peer, wake func()) jkfreshness.Step {
	ranked := make([]string, len(peers))
	for i, p := range peers {
		ranked[i] = p.Host
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake = wake
	now := r.Timer.Uptime()
	r.observe(now)
	step := r.table.Next(now, ranked)
	r.table.Begin(step, now, ranked)
	return step
}

// observe logs a change of the state of the rules. The lock must be held.
func (r *RulesWatch) observe(now time.Duration) {
	state := r.table.State(now)
	if state == r.state {
		return
	}
	age := "unknown"
	if _, ok := r.table.Confirmed(); ok {
		age = r.table.Age(now).String()
	}
	fields := []any{"state", string(state), "before", string(r.state), "age", age, "revision", r.table.InForce(), "bound", r.Bound}
	if state == jkfreshness.StateCurrent {
		r.Log.Info("rules confirmed again", fields...)
	} else {
		r.Log.Warn("rules not confirmed", fields...)
	}
	r.state = state
}

// run runs a read or a question to its end.
func (r *RulesWatch) run(ctx context.Context, step jkfreshness.Step, peers []Peer) {
	ctx, cancel := context.WithTimeout(ctx, step.Timeout)
	defer cancel()
	call, outcome := RulesRead, RulesFailed
	var err error
	if step.Action == jkfreshness.ActionRead {
		outcome, err = r.read(ctx)
	} else {
		call = RulesAsk
		for _, p := range peers {
			if p.Host == step.Host {
				outcome, err = r.ask(ctx, p)
			}
		}
	}
	r.OnCall(call, outcome)
	answered := outcome != RulesFailed && outcome != RulesContradicted
	if !answered {
		r.Log.Info("rules not confirmed by call", "call", string(call), "outcome", string(outcome), "host", step.Host, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.End(step, answered, r.Timer.Uptime())
}

// read reads the store. The confirmation is from when the read was sent, since the store may have
// answered at any time after that.
func (r *RulesWatch) read(ctx context.Context) (RulesOutcome, error) {
	if r.Read == nil {
		return RulesFailed, nil
	}
	sent, inForce := r.Timer.Uptime(), r.InForce()
	item, found, err := r.Read(ctx)
	switch {
	case err != nil:
		return RulesFailed, err
	case !found || item.Revision < inForce:
		// The rules in force came from the store, whose revisions only grow.
		return RulesContradicted, &OlderRulesError{Revision: item.Revision, InForce: inForce}
	}
	item.Via = ViaStore
	return r.take(item.Revision, sent, &item), nil
}

// ask asks another host. What it knows is as old as it says when the question was sent, and not when
// its answer arrives: either of them may have been on its way for long.
func (r *RulesWatch) ask(ctx context.Context, p Peer) (RulesOutcome, error) {
	sent := r.Timer.Uptime()
	var answer RulesAnswer
	err := r.Pool.Call(ctx, p.Addr, TypeRulesConfirm, &RulesRequest{Revision: r.InForce()}, &answer)
	switch {
	case err != nil:
		return RulesFailed, err
	case answer.Age < 0:
		return RulesContradicted, nil
	}
	if answer.Item != nil {
		answer.Item.Via = p.Host
	}
	return r.take(answer.Revision, sent-answer.Age, answer.Item), nil
}

// take takes a confirmation and the rules that came with it, if any.
func (r *RulesWatch) take(revision int64, at time.Duration, item *Item) RulesOutcome {
	outcome := RulesConfirmed
	if item != nil && item.Revision > r.InForce() {
		outcome = RulesNewer
		r.Apply(*item)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before, _ := r.table.Confirmed()
	r.table.Confirm(jkfreshness.Confirmation{Revision: revision, At: at}, r.Timer.Uptime())
	if after, _ := r.table.Confirmed(); after == before {
		return RulesNothingNewer
	}
	return outcome
}

// Handle answers a RulesRequest of another host.
func (r *RulesWatch) Handle(in *jkwire.ServerStream) error {
	var m RulesRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	answer := r.answer(m)
	return in.End(&answer)
}

func (r *RulesWatch) answer(m RulesRequest) RulesAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.table.Confirmed()
	if !known {
		return RulesAnswer{}
	}
	out := RulesAnswer{Revision: c.Revision, Age: r.Timer.Uptime() - c.At}
	if r.item.Revision > m.Revision {
		item := r.item
		out.Item = &item
	}
	return out
}

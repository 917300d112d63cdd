// Package jkorder is the pure core that decides which engine holds which model,
// version and adapter. It keeps tables of the engines and models of one zone,
// compares what the configuration wants with what the engines report, and
// returns orders. It takes the time as an argument, does no input or output and
// is not safe for concurrent use.
package jkorder

import (
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// Options holds the limits of one zone's core.
type Options struct {
	Zone string
	// MaxLoads bounds the loads in progress at once. LoadInterval and LoadBurst
	// are the token bucket that spares the weight store.
	MaxLoads     int
	LoadInterval time.Duration
	LoadBurst    int
	// LoadTimeout is the time after which a load counts as failed.
	LoadTimeout time.Duration
	// MaxOrders and MaxReads bound the work of a tick.
	MaxOrders int
	MaxReads  int
	// Fresh is the age up to which an observation counts.
	Fresh time.Duration
	// Idle is the time without demand after which a model is not in use.
	Idle time.Duration
	// Backoff is the first pause of an engine that failed to load a version
	// which others run; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// A replica moves when the load of a replica of one model exceeds
	// MoveRatio times what another model's replicas would have without one of
	// theirs, for MoveAfter; the next move waits for MovePause.
	MoveRatio float64
	MoveAfter time.Duration
	MovePause time.Duration
}

// DefaultOptions suit a zone that is ticked each second. The state of an engine
// has about 2 KB with the caches of 30 programs, so four reads a second stay
// below 10 KB/s; 900 engines without work are read every 4 minutes.
func DefaultOptions() Options {
	return Options{
		MaxLoads: 2, LoadInterval: 10 * time.Second, LoadBurst: 2, LoadTimeout: 5 * time.Minute,
		MaxOrders: 8, MaxReads: 4, Fresh: time.Minute, Idle: 5 * time.Minute,
		Backoff: time.Minute, MaxBackoff: 16 * time.Minute,
		MoveRatio: 2, MoveAfter: 30 * time.Second, MovePause: 2 * time.Minute,
	}
}

// EngineSpec is an engine of the configuration.
type EngineSpec struct {
	ID            string
	Zone          string
	Addr          string
	Models        []string // it can hold
	ChecksFencing bool
	Leaving       bool
}

// ModelSpec is a model of the configuration. Either Replicas or Endpoints is
// set. The first version is the wanted one.
type ModelSpec struct {
	Name      string
	Versions  []string
	Replicas  int
	Endpoints []string
	Adapter   string
}

func (s ModelSpec) equal(o ModelSpec) bool {
	return s.Name == o.Name && s.Replicas == o.Replicas && s.Adapter == o.Adapter &&
		slices.Equal(s.Versions, o.Versions) && slices.Equal(s.Endpoints, o.Endpoints)
}

func (s ModelSpec) version() string { return s.Versions[0] }

// Wanted is the part of a configuration revision that the core works from.
type Wanted struct {
	Revision uint64
	Engines  []EngineSpec
	Models   []ModelSpec
}

// Command is one order for an engine. The sender adds the fencing token.
type Command struct {
	Engine        string
	Addr          string
	ChecksFencing bool
	Order         jkendpoint.Order
}

// Result tells what became of an order.
type Result string

// Results of an order. After an uncertain one the engine's state tells whether
// it took effect.
const (
	ResultAccepted  Result = "accepted"
	ResultRefused   Result = "refused"
	ResultUncertain Result = "uncertain"
	ResultNotSent   Result = "not_sent"
)

// pending is an order whose effect has not been observed yet.
type pending struct {
	order jkendpoint.Order
	since time.Time
	// former is the version that the engine reported before.
	former string
}

// engine is a row of the engine table.
type engine struct {
	spec   EngineSpec
	state  jkendpoint.State
	seen   time.Time // zero if it has not been read in this term
	asked  time.Time // last attempt to read it
	silent bool      // the last attempt failed
	// silentAt is the first failed attempt in a row.
	silentAt time.Time
	orderAt  time.Time // no orders before this time
	pending  *pending
	running  int
	// pins are the operator's placements by model: true holds it here, false
	// keeps it away.
	pins     map[string]bool
	manual   []jkendpoint.Order
	backoff  map[string]time.Time // by model
	failures map[string]int       // by model
}

// model is a row of the model table.
type model struct {
	spec     ModelSpec
	shares   map[string]int // replicas by zone, by the configuration
	foreign  []*engine      // of other zones that can hold it
	share    int            // replicas of this zone
	moved    int            // replicas moved here from other models, or away
	demand   float64
	used     time.Time // last demand, or the begin of the term
	rollout  Rollout
	surge    bool // one replica more until the rollout can go on
	hotSince time.Time
}

func (m *model) target() int { return m.share + m.moved }

// Core is the state of one zone's controller.
type Core struct {
	options Options
	wanted  Wanted
	engines map[string]*engine
	models  map[string]*model
	order   []string // ids of all engines, sorted
	own     []*engine
	names   []string // of all models, sorted
	bucket  bucket
	movedAt time.Time
	halts   []Halt // not yet taken
	// kept holds the halts by model. An entry equal to the one that failed stays
	// halted until an operator resumes it.
	kept map[string]Halt
}

// New returns an empty core.
func New(now time.Time, o Options) *Core {
	return &Core{
		options: o, engines: map[string]*engine{}, models: map[string]*model{}, kept: map[string]Halt{},
		bucket: bucket{level: float64(o.LoadBurst), at: now},
	}
}

// Begin starts a term of control: every engine is read again before it gets an
// order. An engine that ignores fencing tokens gets none before the barrier.
// The token bucket starts empty, because the former controller may have
// emptied it.
func (c *Core) Begin(now, barrier time.Time) {
	for _, e := range c.engines {
		c.beginEngine(e, now, barrier)
	}
	for _, m := range c.models {
		m.used = now
		m.rollout = m.settled()
	}
	c.halts = nil
	c.kept = map[string]Halt{}
	c.bucket = bucket{at: now}
	c.movedAt = now
}

func (c *Core) beginEngine(e *engine, now, barrier time.Time) {
	*e = engine{spec: e.spec, orderAt: barrier, pins: map[string]bool{}, backoff: map[string]time.Time{}, failures: map[string]int{}}
	if e.spec.ChecksFencing {
		e.orderAt = now
	}
}

// SetWanted takes a configuration. A model whose entry has changed starts anew;
// its halted rollout ends. An engine that is new to the configuration, that has
// moved or that no longer checks tokens gets no order before the barrier.
func (c *Core) SetWanted(now, barrier time.Time, w Wanted) {
	c.wanted = w
	c.setEngines(now, barrier, w.Engines)
	c.names = c.names[:0]
	former := c.models
	c.models = map[string]*model{}
	for _, s := range w.Models {
		m := former[s.Name]
		if m == nil || !m.spec.equal(s) {
			m = &model{spec: s, used: now, moved: movedOf(m)}
			m.rollout = m.settled()
			m.halt(c.kept[s.Name])
			c.dropPins(s.Name)
		}
		c.models[s.Name] = m
		c.names = append(c.names, s.Name)
	}
	slices.Sort(c.names)
	c.setShares()
}

func movedOf(m *model) int {
	if m == nil {
		return 0
	}
	return m.moved
}

func (c *Core) setEngines(now, barrier time.Time, specs []EngineSpec) {
	former := c.engines
	c.engines = map[string]*engine{}
	c.order = c.order[:0]
	for _, s := range specs {
		e := former[s.ID]
		fresh := e == nil || e.spec.Addr != s.Addr || e.spec.ChecksFencing != s.ChecksFencing
		if e == nil {
			e = &engine{}
		}
		e.spec = s
		if fresh {
			c.beginEngine(e, now, barrier)
		}
		c.engines[s.ID] = e
		c.order = append(c.order, s.ID)
	}
	slices.Sort(c.order)
	c.own = c.own[:0]
	for _, id := range c.order {
		if e := c.engines[id]; c.isOwn(e) {
			c.own = append(c.own, e)
		}
	}
}

func (c *Core) dropPins(name string) {
	for _, e := range c.engines {
		delete(e.pins, name)
		delete(e.backoff, name)
		delete(e.failures, name)
	}
}

// Tick runs the systems and returns the orders to send now. Each of them must be
// followed by a call of Sent.
func (c *Core) Tick(now time.Time) []Command {
	c.expire(now)
	c.move(now)
	var out []Command
	for _, e := range c.own {
		if len(out) < c.options.MaxOrders {
			out = append(out, c.manualOrder(now, e)...)
		}
	}
	for _, name := range c.names {
		if len(out) >= c.options.MaxOrders {
			break
		}
		out = append(out, c.place(now, c.models[name], c.options.MaxOrders-len(out))...)
	}
	return out
}

// command notes an order as pending and returns it.
func (c *Core) command(now time.Time, e *engine, o jkendpoint.Order) Command {
	e.pending = &pending{order: o, since: now, former: e.version(o.Model)}
	return Command{Engine: e.spec.ID, Addr: e.spec.Addr, ChecksFencing: e.spec.ChecksFencing, Order: o}
}

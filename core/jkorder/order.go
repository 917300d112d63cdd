// Package jkorder is the functional core that decides which engine holds which model,
// version and adapter. It keeps tables of the engines and models of one zone, compares
// the configuration with the state that the engines report, and returns orders. It
// takes the time as an argument, does no input or output and is not safe for concurrent
// use; jkcontrol reads the engines and sends the orders.
package jkorder

import (
	"slices"
	"time"

	"jasmineknot.example/core/jkendpoint"
)

// Options holds the limits and intervals of one zone's core.
type Options struct {
	Zone string
	// MaxLoads bounds the loads in progress at once. LoadInterval and LoadBurst are the
	// token bucket that limits the load on the weight store.
	MaxLoads     int
	LoadInterval time.Duration
	LoadBurst    int
	// LoadTimeout is the time after which an order without effect counts as failed.
	LoadTimeout time.Duration
	// MaxOrders and MaxReads bound the orders and the reads of a tick.
	MaxOrders int
	MaxReads  int
	// MaxStateAge is the maximum age of an observed state that decisions are based on.
	MaxStateAge time.Duration
	// Idle is the time without demand after which a model counts as not in use.
	Idle time.Duration
	// Backoff is the first pause of an engine that failed to load a version which
	// others serve; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// A replica moves when the load per replica of one model exceeds MoveRatio times
	// the load per replica that another model would have with one replica less, for
	// MoveAfter. MovePause is the minimum time between two moves.
	MoveRatio float64
	MoveAfter time.Duration
	MovePause time.Duration
}

// DefaultOptions returns options that suit a zone that is ticked each second. The state
// of an engine has about 2 KB with the caches of 30 programs, so four reads a second
// stay below 10 KB/s; 900 engines without work are read every 4 minutes.
func DefaultOptions() Options {
	return Options{
		MaxLoads: 2, LoadInterval: 10 * time.Second, LoadBurst: 2, LoadTimeout: 5 * time.Minute,
		MaxOrders: 8, MaxReads: 4, MaxStateAge: time.Minute, Idle: 5 * time.Minute,
		Backoff: time.Minute, MaxBackoff: 16 * time.Minute,
		MoveRatio: 2, MoveAfter: 30 * time.Second, MovePause: 2 * time.Minute,
	}
}

// EngineSpec is an engine as configured.
type EngineSpec struct {
	ID            string
	Zone          string
	Addr          string
	Models        []string // that the engine can hold
	ChecksFencing bool
	Leaving       bool
}

// ModelSpec is a model as configured. Either Replicas or Endpoints is set. The first
// version is the wanted one.
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

// Wanted is the desired state: the part of a configuration revision that the core uses.
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

// Result is the outcome of sending an order.
type Result string

// Results of an order. After an uncertain one the engine's state shows whether it took
// effect.
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
	// previousVersion is the version that the engine reported before the order.
	previousVersion string
}

// engine is a row of the engine table.
type engine struct {
	spec        EngineSpec
	state       jkendpoint.State
	observedAt  time.Time // when the read that returned state was sent; zero if none in this term
	readAt      time.Time // when the last read was sent
	unreachable bool      // whether the last read failed
	// unreachableSince is the time of the first failed read in a row.
	unreachableSince time.Time
	noOrderBefore    time.Time // barrier of the term, or its start if the engine checks fencing tokens
	pending          *pending
	running          int // running and queued calls
	// pins holds the operator's placements by model: true keeps the model on the
	// engine, false keeps it off.
	pins           map[string]bool
	operatorOrders []jkendpoint.Order
	backoff        map[string]time.Time // no load before this time, by model
	failures       map[string]int       // failed loads in a row, by model
}

// model is a row of the model table.
type model struct {
	spec             ModelSpec
	shares           map[string]int // configured replicas by zone
	otherZoneEngines []*engine      // engines of other zones that can hold the model
	share            int            // configured replicas of this zone
	moved            int            // replicas moved here from other models; negative if moved away
	demand           float64        // smoothed number of running and queued calls
	lastUsed         time.Time      // last demand, or the start of the term
	rollout          Rollout
	surge            bool      // one more replica until the rollout can continue
	hotSince         time.Time // since when the load has called for a move; zero if it doesn't
}

// target returns the number of replicas that the model should have in this zone.
func (m *model) target() int { return m.share + m.moved }

// Core holds the tables of one zone's controller.
type Core struct {
	options     Options
	wanted      Wanted
	engines     map[string]*engine
	models      map[string]*model
	engineIDs   []string  // of all engines, sorted
	zoneEngines []*engine // engines of this zone, by id
	modelNames  []string  // of all models, sorted
	bucket      bucket
	lastMoveAt  time.Time
	newHalts    []Halt // not returned by TakeHalts yet
	// halted holds the halted rollouts by model. An entry equal to the one that failed
	// stays halted until an operator resumes it.
	halted map[string]Halt
}

// New returns a core without engines and models.
func New(now time.Time, o Options) *Core {
	return &Core{
		options: o, engines: map[string]*engine{}, models: map[string]*model{}, halted: map[string]Halt{},
		bucket: bucket{tokens: float64(o.LoadBurst), refilledAt: now},
	}
}

// BeginTerm starts a term of this controller: the state of every engine is read again
// before the engine gets an order. An engine that ignores fencing tokens gets none
// before the barrier. The token bucket starts empty, because the former controller may
// have emptied it.
func (c *Core) BeginTerm(now, barrier time.Time) {
	for _, e := range c.engines {
		c.resetEngine(e, now, barrier)
	}
	for _, m := range c.models {
		m.lastUsed = now
		m.rollout = m.settledRollout()
	}
	c.newHalts = nil
	c.halted = map[string]Halt{}
	c.bucket = bucket{refilledAt: now}
	c.lastMoveAt = now
}

// resetEngine drops what is known of an engine. If the engine checks fencing tokens it
// may get orders from now on, otherwise from the barrier on.
func (c *Core) resetEngine(e *engine, now, barrier time.Time) {
	*e = engine{spec: e.spec, noOrderBefore: barrier, pins: map[string]bool{}, backoff: map[string]time.Time{}, failures: map[string]int{}}
	if e.spec.ChecksFencing {
		e.noOrderBefore = now
	}
}

// SetWanted applies a configuration. A model whose entry has changed starts with a new
// rollout; a halt of the former entry ends. An engine that is new to the configuration,
// that has a new address or that starts or stops checking fencing tokens is read again
// before it gets an order. If it ignores fencing tokens, it gets none before the barrier.
func (c *Core) SetWanted(now, barrier time.Time, w Wanted) {
	c.wanted = w
	c.setEngines(now, barrier, w.Engines)
	c.modelNames = c.modelNames[:0]
	former := c.models
	c.models = map[string]*model{}
	for _, s := range w.Models {
		m := former[s.Name]
		if m == nil || !m.spec.equal(s) {
			m = &model{spec: s, lastUsed: now, moved: movedOf(m)}
			m.rollout = m.settledRollout()
			m.applyHalt(c.halted[s.Name])
			c.dropPins(s.Name)
		}
		c.models[s.Name] = m
		c.modelNames = append(c.modelNames, s.Name)
	}
	slices.Sort(c.modelNames)
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
	c.engineIDs = c.engineIDs[:0]
	for _, s := range specs {
		e := former[s.ID]
		reset := e == nil || e.spec.Addr != s.Addr || e.spec.ChecksFencing != s.ChecksFencing
		if e == nil {
			e = &engine{}
		}
		e.spec = s
		if reset {
			c.resetEngine(e, now, barrier)
		}
		c.engines[s.ID] = e
		c.engineIDs = append(c.engineIDs, s.ID)
	}
	slices.Sort(c.engineIDs)
	c.zoneEngines = c.zoneEngines[:0]
	for _, id := range c.engineIDs {
		if e := c.engines[id]; c.inZone(e) {
			c.zoneEngines = append(c.zoneEngines, e)
		}
	}
}

// dropPins drops the operator's pins and the failures of a model at all engines.
func (c *Core) dropPins(name string) {
	for _, e := range c.engines {
		delete(e.pins, name)
		delete(e.backoff, name)
		delete(e.failures, name)
	}
}

// Tick advances the core and returns the orders to send now. The caller calls
// RecordResult with the result of each of them.
func (c *Core) Tick(now time.Time) []Command {
	c.failOverdue(now)
	c.moveReplica(now)
	var out []Command
	for _, e := range c.zoneEngines {
		if len(out) < c.options.MaxOrders {
			out = append(out, c.nextOperatorOrder(now, e)...)
		}
	}
	for _, name := range c.modelNames {
		if len(out) >= c.options.MaxOrders {
			break
		}
		out = append(out, c.ordersFor(now, c.models[name], c.options.MaxOrders-len(out))...)
	}
	return out
}

// newCommand records an order as pending and returns it as a command.
func (c *Core) newCommand(now time.Time, e *engine, o jkendpoint.Order) Command {
	e.pending = &pending{order: o, since: now, previousVersion: e.version(o.Model)}
	return Command{Engine: e.spec.ID, Addr: e.spec.Addr, ChecksFencing: e.spec.ChecksFencing, Order: o}
}

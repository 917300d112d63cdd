// Package jkcontrol runs the controller of a zone, which sends orders, such as
// loading a model, to the zone's engines. The host that holds the zone's lease at
// the platform is the controller; every order carries the lease's fencing token.
// This package holds the lease, reads the engines, sends the orders and stores
// halted rollouts. Package jkorder decides which orders to send.
package jkcontrol

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktimer"
)

const (
	// LeaseTTL is the duration of the lease. A new controller relies on the former one
	// having used the same, so it is not a setting.
	LeaseTTL = 15 * time.Second
	// DeliveryBound is the assumed bound on the time between the check of the lease
	// and the effect of an order at an engine: an order that has had no effect by
	// then is assumed never to have one.
	DeliveryBound = 5 * time.Second
	// OrderTimeout bounds the request of an order. It is shorter than DeliveryBound,
	// because the network and the engine may still hold the order when the request
	// times out.
	OrderTimeout = 2 * time.Second
	// ReadTimeout bounds one request for an engine's state.
	ReadTimeout = time.Second
	// LeaseMargin is the part at the end of the lease in which no order's request
	// may still be in flight.
	LeaseMargin = 100 * time.Millisecond
	// platformTimeout bounds one request to the platform.
	platformTimeout = time.Second
	// renewAfter is the age at which the lease is renewed.
	renewAfter = LeaseTTL / 3
	// The zone's leading host often tries to acquire the lease. The others do so
	// rarely, in case the leading host can't reach the platform: 410 hosts then cost
	// the platform seven calls a second.
	leaderRetryInterval = 2 * time.Second
	otherRetryInterval  = time.Minute
)

// LeaseKey returns the key of a zone's lease.
func LeaseKey(zone string) string { return "lease/orders/" + zone }

// Options holds what a controller needs.
type Options struct {
	// Holder returns the holder name for the lease. It must differ for each start.
	Holder   func() string
	Timer    *jktimer.Service
	Log      jklog.Logger
	Platform *jkplatform.Client
	Limits   jkorder.Options
	// IsLeader reports whether this host is the zone's preferred controller.
	IsLeader func() bool
	// Revision and Wanted return the configuration in force, and Calls the
	// running and queued calls by engine.
	Revision func() uint64
	Wanted   func() jkorder.Wanted
	Calls    func() map[string]int
	// ReadState requests the state of an engine, and Order sends an order to one.
	ReadState func(ctx context.Context, addr string) (jkendpoint.State, error)
	SendOrder func(ctx context.Context, addr string, o jkendpoint.Order) error
	// OnOrderResult is called with the result of each order.
	OnOrderResult func(kind jkendpoint.OrderKind, r jkorder.Result)
}

// term is one period of holding the lease under one token.
type term struct {
	lease jkplatform.Lease
	// expiresAt is the end of the lease by this host's clock, counted from the time at
	// which the granted request was sent.
	expiresAt time.Time
	renewedAt time.Time
	// barrier is the time from which engines that ignore tokens get orders.
	barrier time.Time
	// haltsRestored is true once the halts of former controllers have been read.
	haltsRestored bool
}

// Controller competes for the lease of a host's zone and controls the zone's engines
// while it holds the lease.
type Controller struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tickMu  sync.Mutex // held for a whole tick

	mu           sync.Mutex
	core         *jkorder.Core
	term         *term
	revision     uint64
	lastAcquire  time.Time               // last attempt to acquire the lease, or end of the last term
	holder       string                  // another host that held the lease at that attempt
	unsavedHalts map[string]jkorder.Halt // by model, not yet stored at the platform
}

// New returns a controller that holds no lease.
func New(o Options) *Controller {
	c := &Controller{options: o, core: jkorder.New(o.Timer.Now(), o.Limits), unsavedHalts: map[string]jkorder.Halt{}}
	c.lastAcquire = o.Timer.Now()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Tick runs one round: it acquires or renews the lease and, while it holds the lease,
// reads engines, runs the core, sends its orders and stores halted rollouts.
func (c *Controller) Tick() {
	c.tickMu.Lock()
	defer c.tickMu.Unlock()
	if c.ctx.Err() != nil || !c.keepLease() || !c.restoreHalts() {
		return
	}
	c.applyWanted()
	c.readEngines()
	c.sendOrders()
	c.saveHalts()
}

// Close ends the controller after the requests in flight and keeps its lease, as
// a crash would.
func (c *Controller) Close() {
	c.cancel()
	c.tickMu.Lock()
	defer c.tickMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = nil
}

// Stop ends the controller after the requests in flight and releases its lease.
func (c *Controller) Stop() {
	c.cancel()
	c.tickMu.Lock()
	defer c.tickMu.Unlock()
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.mu.Unlock()
	if t == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	// A lease that can't be released expires by itself.
	_ = c.options.Platform.ReleaseLease(ctx, t.lease)
}

// applyWanted passes a new configuration to the core.
func (c *Controller) applyWanted() {
	c.mu.Lock()
	unchanged := c.term == nil || c.options.Revision() == c.revision
	c.mu.Unlock()
	if unchanged {
		return
	}
	w := c.options.Wanted()
	now := c.options.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return
	}
	c.revision = w.Revision
	c.core.SetWanted(now, c.term.barrier, w)
}

// readEngines reads the state of the engines that are due, all in parallel.
func (c *Controller) readEngines() {
	now := c.options.Timer.Now()
	c.mu.Lock()
	reads := c.core.DueReads(now)
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, r := range reads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.readEngine(r)
		}()
	}
	wg.Wait()
}

func (c *Controller) readEngine(r jkorder.Command) {
	ctx, cancel := context.WithTimeout(c.ctx, ReadTimeout)
	defer cancel()
	sentAt := c.options.Timer.Now()
	s, err := c.options.ReadState(ctx, r.Addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.core.MarkUnreachable(sentAt, r.Engine)
		return
	}
	c.core.Observe(sentAt, r.Engine, s)
}

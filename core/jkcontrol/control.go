// Package jkcontrol gives a zone's orders to its engines. The host that holds
// the zone's lease at the platform is the controller; its fencing token goes
// with every order. The decisions are those of package jkorder.
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
	// TTL is the duration of the lease. A new controller relies on the former
	// one having used the same, so it is not a setting.
	TTL = 15 * time.Second
	// Delivery is the stated bound on the time between the check of the lease
	// and the moment an order takes effect at an engine, or never will.
	Delivery = 5 * time.Second
	// OrderTimeout bounds the request of an order. It is shorter than Delivery,
	// which leaves time for what the network and the engine still hold when the
	// request is given up.
	OrderTimeout = 2 * time.Second
	// ReadTimeout bounds the question for an engine's state.
	ReadTimeout = time.Second
	// LeaseMargin is the part of the lease that no request reaches into.
	LeaseMargin = 100 * time.Millisecond
	// platformTimeout bounds one request to the platform.
	platformTimeout = time.Second
	// renewAfter is the age at which the lease is renewed.
	renewAfter = TTL / 3
	// The zone's leading host asks for a free lease often. The others do so
	// rarely, for the case that the leading host can't reach the platform: 410
	// hosts then cost the platform seven calls a second.
	leaderRetry = 2 * time.Second
	otherRetry  = time.Minute
)

// LeaseKey returns the key of a zone's lease.
func LeaseKey(zone string) string { return "lease/orders/" + zone }

// Options holds what a controller needs.
type Options struct {
	// Host names the holder of the lease. It must differ for each start.
	Host     func() string
	Timer    *jktimer.Service
	Log      jklog.Logger
	Platform *jkplatform.Client
	Limits   jkorder.Options
	// IsLeader reports whether this host is the zone's first choice.
	IsLeader func() bool
	// Revision and Wanted return the configuration in force, and Calls the
	// running and queued calls by engine.
	Revision func() uint64
	Wanted   func() jkorder.Wanted
	Calls    func() map[string]int
	// Read and Order talk to an engine.
	Read  func(ctx context.Context, addr string) (jkendpoint.State, error)
	Order func(ctx context.Context, addr string, o jkendpoint.Order) error
	// Count is told about each order's result.
	Count func(kind jkendpoint.OrderKind, r jkorder.Result)
}

// term is one period of holding the lease under one token.
type term struct {
	lease jkplatform.Lease
	// until is the end of the lease by this host's clock, counted from before
	// the request that was granted.
	until   time.Time
	renewed time.Time
	// barrier is the time from which engines that ignore tokens get orders.
	barrier time.Time
	// restored tells that the halts of former controllers have been read.
	restored bool
}

// Controller is one host's candidate for its zone's control.
type Controller struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	ticking sync.Mutex // held for a whole tick

	mu       sync.Mutex
	core     *jkorder.Core
	term     *term
	revision uint64
	asked    time.Time // last attempt to take the lease
	holder   string    // another host that held the lease at that time
	unsaved  map[string]jkorder.Halt
}

// New returns a controller that holds no lease.
func New(o Options) *Controller {
	c := &Controller{options: o, core: jkorder.New(o.Timer.Now(), o.Limits), unsaved: map[string]jkorder.Halt{}}
	c.asked = o.Timer.Now()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Tick does one round: it keeps the lease and, while it holds one, reads
// engines, runs the core and sends its orders.
func (c *Controller) Tick() {
	c.ticking.Lock()
	defer c.ticking.Unlock()
	if c.ctx.Err() != nil || !c.keepLease() || !c.restore() {
		return
	}
	c.takeWanted()
	c.readEngines()
	c.sendOrders()
	c.saveHalts()
}

// Close ends the controller after the requests in flight and keeps its lease, as
// a crash would.
func (c *Controller) Close() {
	c.cancel()
	c.ticking.Lock()
	defer c.ticking.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = nil
}

// Stop ends the controller after the requests in flight and gives up its lease.
func (c *Controller) Stop() {
	c.cancel()
	c.ticking.Lock()
	defer c.ticking.Unlock()
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

// takeWanted gives a new configuration to the core.
func (c *Controller) takeWanted() {
	c.mu.Lock()
	known := c.term == nil || c.options.Revision() == c.revision
	c.mu.Unlock()
	if known {
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

// readEngines asks the engines whose turn it is, all at once.
func (c *Controller) readEngines() {
	now := c.options.Timer.Now()
	c.mu.Lock()
	reads := c.core.DueReads(now)
	c.mu.Unlock()
	var all sync.WaitGroup
	for _, r := range reads {
		all.Add(1)
		go func() {
			defer all.Done()
			c.readEngine(r)
		}()
	}
	all.Wait()
}

func (c *Controller) readEngine(r jkorder.Command) {
	ctx, cancel := context.WithTimeout(c.ctx, ReadTimeout)
	defer cancel()
	asked := c.options.Timer.Now()
	s, err := c.options.Read(ctx, r.Addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.core.MarkUnreachable(asked, r.Engine)
		return
	}
	c.core.Observe(asked, r.Engine, s)
}

// Package jkdispatch runs the calls of the endpoints that this host dispatches
// to: it feeds the scheduling queue, carries out its commands and reports what
// became of each call.
package jkdispatch

import (
	"context"
	"sync"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
)

// ReasonQuarantined tells that the call's content has crashed endpoints.
const ReasonQuarantined jksched.Reason = "quarantined"

// releaseTimeout bounds one attempt to release a program's cache.
const releaseTimeout = 2 * time.Second

// Endpoint is an endpoint with its address.
type Endpoint struct {
	jksched.Endpoint
	Addr string
}

// Options holds what a dispatcher needs.
type Options struct {
	Timer  *jktimer.Service
	Log    jklog.Logger
	Client *jkendpoint.Client
	Queue  jksched.Options
	// Released tells a home that an endpoint's cache of its program is dropped.
	Released func(home jktoken.Incarnation, r jkmsg.Released)
	// Quarantined reports whether a content may not be run for a home.
	Quarantined func(fingerprint string, home jktoken.Incarnation) bool
	// Crashes returns the known crashes of a content. Crashed reports that an
	// endpoint died while it ran the content, with the crashes so far.
	Crashes func(fingerprint string) int
	Crashed func(fingerprint string, home jktoken.Incarnation, crashes int)
}

// Dispatcher is the dispatching part of one host.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	queue    *jksched.Queue
	addrs    map[string]string
	jobs     map[jobKey]*job
	draining bool
	// unreleased lists caches that an endpoint has not confirmed as released.
	unreleased map[release]bool
	engines    map[string]bool
	// used holds the last call of each program at each engine.
	used map[release]use
	// suspects holds the slot for crash suspects of each endpoint.
	suspects map[string]chan struct{}
}

type jobKey struct {
	call     string
	endpoint string
}

type release struct {
	program string
	addr    string
}

// New returns a dispatcher without endpoints.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:    o,
		queue:      jksched.NewQueue(o.Queue),
		addrs:      map[string]string{},
		jobs:       map[jobKey]*job{},
		unreleased: map[release]bool{},
		engines:    map[string]bool{},
		used:       map[release]use{}, suspects: map[string]chan struct{}{},
	}
}

// SetEndpoints replaces the set of endpoints that this host dispatches to.
// Waiting calls of endpoints that left the set go back to their homes; running
// ones go on.
func (d *Dispatcher) SetEndpoints(endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := map[string]bool{}
	for _, e := range endpoints {
		keep[e.ID] = true
		d.addrs[e.ID] = e.Addr
		d.engines[e.ID] = e.Kind == jksched.KindModel
		d.queue.SetEndpoint(e.Endpoint)
	}
	for id := range d.addrs {
		if !keep[id] {
			d.queue.RemoveEndpoint(id)
			delete(d.addrs, id)
			delete(d.engines, id)
		}
	}
	d.tick()
}

// Drain stops the acceptance of new calls. Waiting ones go back to their homes.
func (d *Dispatcher) Drain() {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.SetEndpoints(nil)
}

// Jobs returns the number of calls waiting or running.
func (d *Dispatcher) Jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}

// Loads returns the digests of the endpoints.
func (d *Dispatcher) Loads() []jksched.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Loads(d.options.Timer.Now())
}

// SetLoad passes on the digest of another dispatcher's endpoint, for comparison
// of the endpoints' pace.
func (d *Dispatcher) SetLoad(l jksched.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetLoad(l)
}

// Tick runs the queue's systems and retries releases.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick()
	for r := range d.unreleased {
		if !d.unreleased[r] {
			d.unreleased[r] = true
			go d.release(r)
		}
	}
}

// ReleaseMoved drops the cache that a program left behind at an endpoint when it
// went on elsewhere.
func (d *Dispatcher) ReleaseMoved(program, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Release(d.options.Timer.Now(), program, endpoint)
	d.tick()
}

// SetQueueOptions replaces the queue's settings.
func (d *Dispatcher) SetQueueOptions(o jksched.Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options.Queue = o
	d.queue.SetOptions(o)
}

// Release drops a program's cache at the named endpoints and wherever the queue
// knows of one. It is retried until the endpoint confirms it. The names matter
// after a change of dispatcher, when the new one has never seen the program.
func (d *Dispatcher) Release(program string, endpoints []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.ProgramEnded(d.options.Timer.Now(), program)
	d.tick()
	for _, id := range endpoints {
		d.startRelease(program, id)
	}
}

// Run queues a call, runs it and returns its result. Emit receives pieces of
// the answer and notices. When ctx ends, a waiting call leaves the queue, and a
// running one is cancelled if it may be repeated.
func (d *Dispatcher) Run(ctx context.Context, m jkmsg.Dispatch, emit func(jkmsg.DispatchEvent) error) jkmsg.DispatchResult {
	j := newJob(d, m, emit)
	if j.crashes > 0 {
		turn := d.suspectTurn(m.Endpoint)
		select {
		case turn <- struct{}{}:
			defer func() { <-turn }()
		case <-ctx.Done():
			j.cancel()
			return *refused(jksched.ReasonCancelled, 0)
		}
	}
	if refusal := d.push(j); refusal != nil {
		return *refusal
	}
	select {
	case <-j.done:
		return j.result
	case <-ctx.Done():
	}
	d.mu.Lock()
	waiting := !j.started
	if waiting || m.Call.Repeatable {
		d.queue.Cancel(d.options.Timer.Now(), m.Call.ID, m.Endpoint)
		d.tick()
	}
	if waiting {
		d.end(j, jkmsg.DispatchResult{Outcome: jkprogram.OutcomeNotRun, Reason: jksched.ReasonCancelled})
	}
	d.mu.Unlock()
	<-j.done
	return j.result
}

// suspectTurn returns the slot for the one crash suspect that an endpoint runs at
// a time. After a crash all requests that ran there are suspects; if they ran
// together again, the next crash would quarantine all of them.
func (d *Dispatcher) suspectTurn(endpoint string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects[endpoint] == nil {
		d.suspects[endpoint] = make(chan struct{}, 1)
	}
	return d.suspects[endpoint]
}

// push enters a job into the queue; a result means that it was refused.
func (d *Dispatcher) push(j *job) *jkmsg.DispatchResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return refused(jksched.ReasonLeaving, 0)
	}
	if d.options.Quarantined(j.message.Fingerprint, j.message.Home) {
		return refused(ReasonQuarantined, 0)
	}
	err := d.queue.Push(d.options.Timer.Now(), j.message.Call, j.message.Endpoint)
	if err != nil {
		return refusedBy(err)
	}
	d.jobs[j.key()] = j
	d.tick()
	return nil
}

// tick runs the queue and carries out its commands. The caller holds the lock.
func (d *Dispatcher) tick() {
	for _, c := range d.queue.Tick(d.options.Timer.Now()) {
		d.apply(c)
	}
}

func (d *Dispatcher) apply(c jksched.Command) {
	if c.Kind == jksched.CommandReleaseCache {
		d.startRelease(c.Call.Program, c.Endpoint)
		d.tellHome(c.Call.Program, c.Endpoint)
		return
	}
	j := d.jobs[jobKey{call: c.Call.ID, endpoint: c.Endpoint}]
	if j == nil {
		return
	}
	switch c.Kind {
	case jksched.CommandDispatch:
		j.start(d.addrs[c.Endpoint], c.EnginePriority)
	case jksched.CommandRefuse, jksched.CommandMove:
		d.end(j, *refused(c.Reason, c.RetryAfter))
	case jksched.CommandSecondDispatch:
		go j.notifySecond()
	case jksched.CommandCancel:
		j.cancel()
	case jksched.CommandReleaseCache:
	}
}

// end finishes a job. The caller holds the lock.
func (d *Dispatcher) end(j *job, r jkmsg.DispatchResult) {
	if d.jobs[j.key()] != j {
		return
	}
	delete(d.jobs, j.key())
	j.result = r
	close(j.done)
}

// tellHome lets the home that last ran the program here know that its cache is
// gone, so that it does not place the next call by it.
func (d *Dispatcher) tellHome(program, endpoint string) {
	u, ok := d.used[release{program: program, addr: d.addrs[endpoint]}]
	if ok && !u.home.IsZero() {
		go d.options.Released(u.home, jkmsg.Released{Program: program, Endpoint: endpoint})
	}
}

func (d *Dispatcher) startRelease(program, endpoint string) {
	addr := d.addrs[endpoint]
	if addr == "" {
		return
	}
	d.releaseAt(release{program: program, addr: addr})
}

func (d *Dispatcher) releaseAt(r release) {
	if _, pending := d.unreleased[r]; pending {
		return
	}
	d.unreleased[r] = true
	go d.release(r)
}

// release drops a cache at its endpoint. A failure leaves it for the next tick;
// an endpoint that left the set has no cache to drop.
func (d *Dispatcher) release(r release) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := d.options.Client.ReleaseCache(ctx, r.addr, r.program)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || !d.hasAddr(r.addr) {
		delete(d.unreleased, r)
		return
	}
	d.unreleased[r] = false
}

func (d *Dispatcher) hasAddr(addr string) bool {
	for _, a := range d.addrs {
		if a == addr {
			return true
		}
	}
	return false
}

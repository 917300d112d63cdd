// Package jkdispatch runs the calls of the endpoints that this host dispatches to: it
// adds them to the scheduling queue, executes the queue's commands and reports the
// outcome of each call. It also releases the caches that programs leave at engines. The
// order of calls is decided by jksched.
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

// ReasonQuarantined is the reason of a refusal because the call's content has crashed
// endpoints.
const ReasonQuarantined jksched.Reason = "quarantined"

// releaseTimeout bounds one attempt to release a program's cache.
const releaseTimeout = 2 * time.Second

// Endpoint is an endpoint with its network address.
type Endpoint struct {
	jksched.Endpoint
	Addr string
}

// Options holds the settings of a dispatcher and the functions that it calls.
type Options struct {
	Timer  *jktimer.Service
	Log    jklog.Logger
	Client *jkendpoint.Client
	Queue  jksched.Options
	// Released notifies a home that an endpoint has dropped the cache of its program.
	Released func(home jktoken.Incarnation, r jkmsg.Released)
	// Quarantined reports whether a content must not run for a home.
	Quarantined func(fingerprint string, home jktoken.Incarnation) bool
	// Crashes returns the known crashes of a content. Crashed records that an endpoint
	// died while it ran the content, with the crashes so far.
	Crashes func(fingerprint string) int
	Crashed func(fingerprint string, home jktoken.Incarnation, crashes int)
}

// Dispatcher runs the calls that one host dispatches.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	queue    *jksched.Queue
	addrs    map[string]string
	jobs     map[jobKey]*job
	draining bool
	// pendingReleases holds the caches whose release the endpoint has not confirmed
	// yet; true means that an attempt is in progress.
	pendingReleases map[cacheKey]bool
	// isEngine holds by endpoint id whether the endpoint is an engine, which has
	// caches.
	isEngine map[string]bool
	// cacheUses holds the last use of each program's cache at each engine.
	cacheUses map[cacheKey]cacheUse
	// suspectSlots holds for each endpoint the slot in which a crash suspect runs.
	suspectSlots map[string]chan struct{}
}

// jobKey identifies a call at one endpoint.
type jobKey struct {
	call     string
	endpoint string
}

// cacheKey identifies a program's cache at the endpoint with an address.
type cacheKey struct {
	program string
	addr    string
}

// New returns a dispatcher without endpoints.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options:         o,
		queue:           jksched.NewQueue(o.Queue),
		addrs:           map[string]string{},
		jobs:            map[jobKey]*job{},
		pendingReleases: map[cacheKey]bool{},
		isEngine:        map[string]bool{},
		cacheUses:       map[cacheKey]cacheUse{}, suspectSlots: map[string]chan struct{}{},
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
		d.isEngine[e.ID] = e.Kind == jksched.KindModel
		d.queue.SetEndpoint(e.Endpoint)
	}
	for id := range d.addrs {
		if !keep[id] {
			d.queue.RemoveEndpoint(id)
			delete(d.addrs, id)
			delete(d.isEngine, id)
		}
	}
	d.tick()
}

// Drain stops accepting calls. Waiting ones go back to their homes, running ones go on.
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

// Loads returns the load reports of the endpoints.
func (d *Dispatcher) Loads() []jksched.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Loads(d.options.Timer.Now())
}

// SetLoad passes on the load report of another dispatcher's endpoint, so that the queue
// can compare the endpoints' pace.
func (d *Dispatcher) SetLoad(l jksched.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.SetLoad(l)
}

// Tick advances the queue and retries the releases that failed.
func (d *Dispatcher) Tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick()
	for r := range d.pendingReleases {
		if !d.pendingReleases[r] {
			d.pendingReleases[r] = true
			go d.releaseCache(r)
		}
	}
}

// ReleaseMoved releases the cache that a program left at an endpoint when it moved to
// another one.
func (d *Dispatcher) ReleaseMoved(program, endpoint string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.ReleaseCache(d.options.Timer.Now(), program, endpoint)
	d.tick()
}

// SetQueueOptions replaces the queue's settings.
func (d *Dispatcher) SetQueueOptions(o jksched.Options) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.options.Queue = o
	d.queue.SetOptions(o)
}

// Release releases a program's cache at the named endpoints and wherever the queue
// knows of one. A release is retried until the endpoint confirms it. The names matter
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

// Run queues a call, runs it and returns its result. Emit receives chunks of the answer
// and notices of a second dispatch. When ctx ends, a waiting call leaves the queue, and
// a running one is cancelled if it may be repeated.
func (d *Dispatcher) Run(ctx context.Context, m jkmsg.Dispatch, emit func(jkmsg.DispatchEvent) error) jkmsg.DispatchResult {
	j := newJob(d, m, emit)
	if j.crashes > 0 {
		slot := d.suspectSlot(m.Endpoint)
		select {
		case slot <- struct{}{}:
			defer func() { <-slot }()
		case <-ctx.Done():
			j.cancel()
			return *refused(jksched.ReasonCancelled, 0)
		}
	}
	if refusal := d.enqueue(j); refusal != nil {
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
		d.finishJob(j, jkmsg.DispatchResult{Outcome: jkprogram.OutcomeNotRun, Reason: jksched.ReasonCancelled})
	}
	d.mu.Unlock()
	<-j.done
	return j.result
}

// suspectSlot returns the slot of an endpoint that makes crash suspects run one at a
// time. After a crash all requests that ran there are suspects; if they ran together
// again, the next crash would quarantine all of them.
func (d *Dispatcher) suspectSlot(endpoint string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspectSlots[endpoint] == nil {
		d.suspectSlots[endpoint] = make(chan struct{}, 1)
	}
	return d.suspectSlots[endpoint]
}

// enqueue adds a job to the queue, or returns the result of its refusal.
func (d *Dispatcher) enqueue(j *job) *jkmsg.DispatchResult {
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
		return refusalFor(err)
	}
	d.jobs[j.key()] = j
	d.tick()
	return nil
}

// tick advances the queue and executes its commands. The caller holds the lock.
func (d *Dispatcher) tick() {
	for _, c := range d.queue.Tick(d.options.Timer.Now()) {
		d.apply(c)
	}
}

// apply executes a command of the queue. The caller holds the lock.
func (d *Dispatcher) apply(c jksched.Command) {
	if c.Kind == jksched.CommandReleaseCache {
		d.startRelease(c.Call.Program, c.Endpoint)
		d.notifyHome(c.Call.Program, c.Endpoint)
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
		d.finishJob(j, *refused(c.Reason, c.RetryAfter))
	case jksched.CommandSecondDispatch:
		go j.notifySecondDispatch()
	case jksched.CommandCancel:
		j.cancel()
	case jksched.CommandReleaseCache:
	}
}

// finishJob stores a job's result and wakes Run; a job that is finished already is left
// alone. The caller holds the lock.
func (d *Dispatcher) finishJob(j *job, r jkmsg.DispatchResult) {
	if d.jobs[j.key()] != j {
		return
	}
	delete(d.jobs, j.key())
	j.result = r
	close(j.done)
}

// notifyHome notifies the home that last ran the program at this endpoint that the
// cache is gone, so that the home does not place the next call there to reuse it.
func (d *Dispatcher) notifyHome(program, endpoint string) {
	u, ok := d.cacheUses[cacheKey{program: program, addr: d.addrs[endpoint]}]
	if ok && !u.home.IsZero() {
		go d.options.Released(u.home, jkmsg.Released{Program: program, Endpoint: endpoint})
	}
}

// startRelease releases a program's cache at an endpoint of this dispatcher, in the
// background. The caller holds the lock.
func (d *Dispatcher) startRelease(program, endpoint string) {
	addr := d.addrs[endpoint]
	if addr == "" {
		return
	}
	d.startReleaseOf(cacheKey{program: program, addr: addr})
}

// startReleaseOf releases a cache in the background unless that is pending already. The
// caller holds the lock.
func (d *Dispatcher) startReleaseOf(r cacheKey) {
	if _, pending := d.pendingReleases[r]; pending {
		return
	}
	d.pendingReleases[r] = true
	go d.releaseCache(r)
}

// releaseCache releases a cache at its endpoint. After a failure the next tick retries;
// an endpoint that left the set has no cache to release.
func (d *Dispatcher) releaseCache(r cacheKey) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := d.options.Client.ReleaseCache(ctx, r.addr, r.program)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || !d.hasAddr(r.addr) {
		delete(d.pendingReleases, r)
		return
	}
	d.pendingReleases[r] = false
}

func (d *Dispatcher) hasAddr(addr string) bool {
	for _, a := range d.addrs {
		if a == addr {
			return true
		}
	}
	return false
}

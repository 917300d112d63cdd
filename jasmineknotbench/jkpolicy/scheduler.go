package jkpolicy

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"jasmineknot.example/core/jksched"
)

// scheduler runs the policy of jksched: one home, which places calls, and one
// dispatcher queue per zone.
type scheduler struct {
	run      *workloadRun
	net      network
	homes    map[string]*jksched.Placer
	queues   map[string]*jksched.Queue
	engines  map[string]*engine
	requests map[string]*request
	rand     *rand.Rand
}

// tickInterval is how often a dispatcher ticks and token counts reach it.
const tickInterval = 100 * time.Millisecond

func newScheduler(w *workloadRun, seed uint64) policy {
	s := &scheduler{
		run: w, net: w.plan.workload.Network,
		homes: map[string]*jksched.Placer{}, queues: map[string]*jksched.Queue{},
		engines: map[string]*engine{}, requests: map[string]*request{},
		rand: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, z := range w.plan.workload.Zones {
		opt := jksched.DefaultOptions()
		opt.Rand, opt.Zone, opt.Delay = rand.New(rand.NewPCG(seed, 3)), z, s.net.delay
		s.homes[z] = jksched.NewPlacer(opt)
		s.queues[z] = jksched.NewQueue(opt)
	}
	for _, e := range w.engines {
		s.addEndpoint(e)
	}
	s.startTimers()
	return policy{name: "jasmineknot", submit: s.submit, onFinish: s.finishJob, onProgramEnd: s.endProgram}
}

func (s *scheduler) addEndpoint(e *engine) {
	s.engines[e.id] = e
	d := jksched.Endpoint{
		ID: e.id, Zone: e.zone, Kind: jksched.KindModel, Models: []string{"base"},
		Slots: e.spec.Slots, CacheTokens: e.spec.CacheTokens, State: jksched.StateLive,
	}
	s.queues[e.zone].SetEndpoint(d)
	for _, h := range s.homes {
		h.SetEndpoint(d)
	}
	e.cache.onChange = func(k cacheKey, tokens int64, evicted bool) { s.sendCacheEvent(e, k, tokens, evicted) }
}

func (s *scheduler) startTimers() {
	s.run.sim.every(tickInterval, func() {
		s.reportTokens()
		for _, z := range s.run.plan.workload.Zones {
			s.runDispatcher(z)
		}
	})
	s.run.sim.every(time.Duration(s.net.HeartbeatMS)*time.Millisecond, func() { s.sendLoads(true) })
	s.run.sim.every(time.Duration(s.net.DigestMS)*time.Millisecond, func() { s.sendLoads(false) })
	s.run.sim.every(500*time.Millisecond, s.reportLoads)
}

func (s *scheduler) reportTokens() {
	for _, e := range s.run.engines {
		q := s.queues[e.zone]
		for _, j := range e.running {
			if n := j.generated - j.reportedTokens; n > 0 {
				q.Tokens(s.run.sim.clock(), j.req.call.ID, e.id, n)
				j.reportedTokens = j.generated
			}
		}
	}
}

// sendLoads sends the load digest of each zone to its own home and dispatcher, or to
// those of the other zones.
func (s *scheduler) sendLoads(own bool) {
	for _, from := range s.run.plan.workload.Zones {
		loads := s.queues[from].Loads(s.run.sim.clock())
		for _, to := range s.run.plan.workload.Zones {
			if (from == to) != own {
				continue
			}
			s.run.sim.after(s.net.delay(from, to), func() {
				for _, l := range loads {
					s.homes[to].SetLoad(l)
					s.queues[to].SetLoad(l)
				}
			})
		}
	}
}

func (s *scheduler) reportLoads() {
	lag := time.Duration(s.net.ReportLagMS) * time.Millisecond
	for _, e := range s.run.engines {
		r := jksched.LoadReport{
			Endpoint: e.id, At: s.run.sim.clock(), Running: len(e.running), Waiting: len(e.waiting),
			CacheUsed: e.cache.used + e.reserved, CacheTotal: e.cache.capacity,
		}
		s.run.sim.after(lag, func() { s.queues[e.zone].ReportLoad(s.run.sim.clock(), r) })
	}
}

func (s *scheduler) sendCacheEvent(e *engine, k cacheKey, tokens int64, evicted bool) {
	if s.rand.Float64() < s.net.CacheEventLoss {
		return
	}
	ev := jksched.CacheEvent{Endpoint: e.id, Evicted: evicted, Segment: jksched.Segment{Tokens: tokens}}
	if i, shared := k.workspace(); shared {
		ev.Segment.Hash = "w" + itoa(i)
	} else {
		ev.Program = "p" + itoa(int(k))
		ev.Segment.Hash = ev.Program
	}
	lag := time.Duration(s.net.CacheEventLagMS) * time.Millisecond
	s.run.sim.after(lag, func() { s.queues[e.zone].CacheEvent(s.run.sim.clock(), ev) })
}

func (s *scheduler) submit(req *request) {
	s.requests[req.call.ID] = req
	s.place(req, req.call)
}

// place chooses an endpoint at the home and sends the call to its dispatcher.
func (s *scheduler) place(req *request, call jksched.Call, exclude ...string) {
	if req.done {
		return
	}
	found, err := s.homes[call.Zone].Place(s.run.sim.clock(), call, exclude...)
	if err != nil {
		s.handleRefusal(req, call, err)
		return
	}
	e := s.engines[found.Endpoint]
	s.run.sim.after(s.net.delay(call.Zone, e.zone), func() { s.push(req, call, e) })
}

func (s *scheduler) push(req *request, call jksched.Call, e *engine) {
	if req.done {
		return
	}
	err := s.queues[e.zone].Push(s.run.sim.clock(), call, e.id)
	if err == nil {
		req.endpoints = append(req.endpoints, e.id)
		s.runDispatcher(e.zone)
		return
	}
	s.run.sim.after(s.net.delay(e.zone, call.Zone), func() {
		req.attempts++
		if req.attempts%2 == 1 {
			s.place(req, call, e.id)
			return
		}
		s.handleRefusal(req, call, err)
	})
}

// handleRefusal lets the caller retry after the time that the refusal gives, at least
// 50 ms. A turn whose deadline would pass by then is retried without one and at a lower
// priority, so that its program still ends.
func (s *scheduler) handleRefusal(req *request, call jksched.Call, err error) {
	var r *jksched.RefusedError
	if call.Second || !errors.As(err, &r) {
		return
	}
	wait := max(r.RetryAfter, 50*time.Millisecond) + 2*s.net.client()
	if req.deadline > 0 && s.run.sim.now+wait >= req.deadline && !call.Deadline.IsZero() {
		req.call.Deadline = time.Time{}
		req.call.Priority--
	}
	s.run.sim.after(wait, func() { s.place(req, req.call) })
}

// runDispatcher ticks the dispatcher of a zone and executes its commands.
func (s *scheduler) runDispatcher(zone string) {
	for _, c := range s.queues[zone].Tick(s.run.sim.clock()) {
		s.execute(zone, c)
	}
}

func (s *scheduler) execute(zone string, c jksched.Command) {
	e, req := s.engines[c.Endpoint], s.requests[c.Call.ID]
	local, home := s.net.delay(zone, zone), s.net.delay(zone, c.Call.Zone)
	switch c.Kind {
	case jksched.CommandDispatch:
		j := s.run.newJob(req)
		j.second, j.priority = c.Call.Second, c.EnginePriority
		req.jobs = append(req.jobs, j)
		s.run.sim.after(local, func() {
			s.queues[zone].Started(s.run.sim.clock(), c.Call.ID, e.id)
			e.submit(j)
		})
	case jksched.CommandRefuse:
		err := &jksched.RefusedError{Reason: c.Reason, RetryAfter: c.RetryAfter}
		s.run.sim.after(home, func() { s.handleRefusal(req, c.Call, err) })
	case jksched.CommandMove:
		s.run.sim.after(home, func() { s.place(req, c.Call, e.id) })
	case jksched.CommandSecondDispatch:
		again := c.Call
		again.Second = true
		s.run.sim.after(home, func() { s.place(req, again, e.id) })
	case jksched.CommandCancel:
		s.run.sim.after(local, func() { s.cancelJob(e, req) })
	case jksched.CommandReleaseCache:
		s.run.sim.after(local, func() { e.cache.remove(programCacheKey(c.Call.Program), false) })
		s.run.sim.after(home, func() { s.recordCacheReleased(c) })
	}
}

func (s *scheduler) recordCacheReleased(c jksched.Command) {
	for _, h := range s.homes {
		h.CacheReleased(c.Call.Program, c.Endpoint)
	}
}

func (s *scheduler) cancelJob(e *engine, req *request) {
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			if j.req == req {
				e.cancel(j)
			}
		}
	}
	e.wake()
}

// finishJob reports the end of a job to its dispatcher and, unless it was cancelled,
// to the home.
func (s *scheduler) finishJob(e *engine, j *job) {
	s.run.sim.after(s.net.delay(e.zone, e.zone), func() {
		last := j.req.run.index == len(j.req.run.spec.turns)-1
		r := jksched.Result{
			Outcome: jksched.OutcomeCompleted, Generated: j.generated, Cached: j.cachedTokens,
			ToolCalls: !last && !j.req.turn.human,
		}
		if j.cancelled {
			r.Outcome = jksched.OutcomeCancelled
		}
		s.queues[e.zone].Finished(s.run.sim.clock(), j.req.call.ID, e.id, r)
		s.runDispatcher(e.zone)
		if !j.cancelled {
			s.run.sim.after(s.net.delay(e.zone, j.req.call.Zone), func() { s.finishRequest(e, j, r) })
		}
	})
}

// finishRequest completes a request with the first job that ends, and cancels it on
// all other endpoints that it was sent to.
func (s *scheduler) finishRequest(e *engine, j *job, r jksched.Result) {
	req := j.req
	if req.done {
		return
	}
	if stale := s.homes[req.call.Zone].Finished(req.call, e.id, r); stale != "" {
		s.releaseCache(req.call, s.engines[stale])
	}
	delete(s.requests, req.call.ID)
	for _, id := range slices.Compact(slices.Clone(req.endpoints)) {
		if other := s.engines[id]; other != e {
			s.run.sim.after(s.net.delay(req.call.Zone, other.zone), func() {
				s.queues[other.zone].Cancel(s.run.sim.clock(), req.call.ID, other.id)
				s.runDispatcher(other.zone)
			})
		}
	}
	s.run.respond(req, j)
}

// releaseCache reports to a dispatcher that the program has moved away from its
// endpoint.
func (s *scheduler) releaseCache(c jksched.Call, e *engine) {
	s.run.sim.after(s.net.delay(c.Zone, e.zone), func() {
		s.queues[e.zone].ReleaseCache(s.run.sim.clock(), c.Program, e.id)
		s.runDispatcher(e.zone)
	})
}

// endProgram reports the announced end of a program to its home and to all
// dispatchers.
func (s *scheduler) endProgram(r *programRun) {
	id := "p" + itoa(r.spec.id)
	s.homes[r.spec.zone].ProgramEnded(id)
	for _, z := range s.run.plan.workload.Zones {
		s.run.sim.after(s.net.delay(r.spec.zone, z), func() {
			s.queues[z].ProgramEnded(s.run.sim.clock(), id)
			s.runDispatcher(z)
		})
	}
}

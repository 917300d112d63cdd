package jkpolicy

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"jasmineknot.example/core/jksched"
)

// scheduler drives jksched: one home and one dispatcher per zone.
type scheduler struct {
	w        *world
	net      network
	homes    map[string]*jksched.Placer
	queues   map[string]*jksched.Queue
	engines  map[string]*engine
	requests map[string]*request
	rand     *rand.Rand
}

// tickEvery is how often a dispatcher ticks and token counts reach it.
const tickEvery = 100 * time.Millisecond

func newScheduler(w *world, seed uint64) policy {
	s := &scheduler{
		w: w, net: w.plan.load.Network,
		homes: map[string]*jksched.Placer{}, queues: map[string]*jksched.Queue{},
		engines: map[string]*engine{}, requests: map[string]*request{},
		rand: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, z := range w.plan.load.Zones {
		opt := jksched.DefaultOptions()
		opt.Rand, opt.Zone, opt.Delay = rand.New(rand.NewPCG(seed, 3)), z, s.net.delay
		s.homes[z] = jksched.NewPlacer(opt)
		s.queues[z] = jksched.NewQueue(opt)
	}
	for _, e := range w.engines {
		s.add(e)
	}
	s.startTimers()
	return policy{name: "jasmineknot", submit: s.submit, finished: s.finished, ended: s.ended}
}

func (s *scheduler) add(e *engine) {
	s.engines[e.id] = e
	d := jksched.Endpoint{
		ID: e.id, Zone: e.zone, Kind: jksched.KindModel, Models: []string{"base"},
		Slots: e.spec.Slots, CacheTokens: e.spec.CacheTokens, State: jksched.StateLive,
	}
	s.queues[e.zone].SetEndpoint(d)
	for _, h := range s.homes {
		h.SetEndpoint(d)
	}
	e.cache.changed = func(k cacheKey, tokens int64, evicted bool) { s.cacheChanged(e, k, tokens, evicted) }
}

func (s *scheduler) startTimers() {
	s.w.sim.every(tickEvery, func() {
		s.reportTokens()
		for _, z := range s.w.plan.load.Zones {
			s.pump(z)
		}
	})
	s.w.sim.every(time.Duration(s.net.HeartbeatMS)*time.Millisecond, func() { s.heartbeat(true) })
	s.w.sim.every(time.Duration(s.net.DigestMS)*time.Millisecond, func() { s.heartbeat(false) })
	s.w.sim.every(500*time.Millisecond, s.reportLoads)
}

func (s *scheduler) reportTokens() {
	for _, e := range s.w.engines {
		q := s.queues[e.zone]
		for _, j := range e.running {
			if n := j.generated - j.reported; n > 0 {
				q.Tokens(s.w.sim.clock(), j.req.call.ID, e.id, n)
				j.reported = j.generated
			}
		}
	}
}

// heartbeat sends the digests of each zone to its own home, or to the homes and
// dispatchers of the other zones.
func (s *scheduler) heartbeat(own bool) {
	for _, from := range s.w.plan.load.Zones {
		loads := s.queues[from].Loads(s.w.sim.clock())
		for _, to := range s.w.plan.load.Zones {
			if (from == to) != own {
				continue
			}
			s.w.sim.after(s.net.delay(from, to), func() {
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
	for _, e := range s.w.engines {
		r := jksched.LoadReport{
			Endpoint: e.id, At: s.w.sim.clock(), Running: len(e.running), Waiting: len(e.waiting),
			CacheUsed: e.cache.used + e.pinned, CacheTotal: e.cache.capacity,
		}
		s.w.sim.after(lag, func() { s.queues[e.zone].ReportLoad(s.w.sim.clock(), r) })
	}
}

func (s *scheduler) cacheChanged(e *engine, k cacheKey, tokens int64, evicted bool) {
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
	s.w.sim.after(lag, func() { s.queues[e.zone].CacheEvent(s.w.sim.clock(), ev) })
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
	found, err := s.homes[call.Zone].Place(s.w.sim.clock(), call, exclude...)
	if err != nil {
		s.refused(req, call, err)
		return
	}
	e := s.engines[found.Endpoint]
	s.w.sim.after(s.net.delay(call.Zone, e.zone), func() { s.push(req, call, e) })
}

func (s *scheduler) push(req *request, call jksched.Call, e *engine) {
	if req.done {
		return
	}
	err := s.queues[e.zone].Push(s.w.sim.clock(), call, e.id)
	if err == nil {
		req.copies = append(req.copies, e.id)
		s.pump(e.zone)
		return
	}
	s.w.sim.after(s.net.delay(e.zone, call.Zone), func() {
		req.attempts++
		if req.attempts%2 == 1 {
			s.place(req, call, e.id)
			return
		}
		s.refused(req, call, err)
	})
}

// refused lets the caller come back after the given time. A turn whose deadline
// passes is submitted once more without one, so that its program still ends.
func (s *scheduler) refused(req *request, call jksched.Call, err error) {
	var r *jksched.RefusedError
	if call.Second || !errors.As(err, &r) {
		return
	}
	wait := max(r.RetryAfter, 50*time.Millisecond) + 2*s.net.client()
	if req.deadline > 0 && s.w.sim.now+wait >= req.deadline && !call.Deadline.IsZero() {
		req.call.Deadline = time.Time{}
		req.call.Priority--
	}
	s.w.sim.after(wait, func() { s.place(req, req.call) })
}

// pump runs a dispatcher and executes its commands.
func (s *scheduler) pump(zone string) {
	for _, c := range s.queues[zone].Tick(s.w.sim.clock()) {
		s.execute(zone, c)
	}
}

func (s *scheduler) execute(zone string, c jksched.Command) {
	e, req := s.engines[c.Endpoint], s.requests[c.Call.ID]
	local, home := s.net.delay(zone, zone), s.net.delay(zone, c.Call.Zone)
	switch c.Kind {
	case jksched.CommandDispatch:
		j := s.w.newJob(req)
		j.second, j.priority = c.Call.Second, c.EnginePriority
		req.jobs = append(req.jobs, j)
		s.w.sim.after(local, func() {
			s.queues[zone].Started(s.w.sim.clock(), c.Call.ID, e.id)
			e.submit(j)
		})
	case jksched.CommandRefuse:
		err := &jksched.RefusedError{Reason: c.Reason, RetryAfter: c.RetryAfter}
		s.w.sim.after(home, func() { s.refused(req, c.Call, err) })
	case jksched.CommandMove:
		s.w.sim.after(home, func() { s.place(req, c.Call, e.id) })
	case jksched.CommandSecondDispatch:
		again := c.Call
		again.Second = true
		s.w.sim.after(home, func() { s.place(req, again, e.id) })
	case jksched.CommandCancel:
		s.w.sim.after(local, func() { s.cancelJob(e, req) })
	case jksched.CommandReleaseCache:
		s.w.sim.after(local, func() { e.cache.remove(programCacheKey(c.Call.Program), false) })
		s.w.sim.after(home, func() { s.released(c) })
	}
}

func (s *scheduler) released(c jksched.Command) {
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

// finished is the end of a job at its engine.
func (s *scheduler) finished(e *engine, j *job) {
	s.w.sim.after(s.net.delay(e.zone, e.zone), func() {
		last := j.req.run.index == len(j.req.run.spec.turns)-1
		r := jksched.Result{
			Outcome: jksched.OutcomeCompleted, Generated: j.generated, Cached: j.hit,
			ToolCalls: !last && !j.req.turn.human,
		}
		if j.cancelled {
			r.Outcome = jksched.OutcomeCancelled
		}
		s.queues[e.zone].Finished(s.w.sim.clock(), j.req.call.ID, e.id, r)
		s.pump(e.zone)
		if !j.cancelled {
			s.w.sim.after(s.net.delay(e.zone, j.req.call.Zone), func() { s.answered(e, j, r) })
		}
	})
}

func (s *scheduler) answered(e *engine, j *job, r jksched.Result) {
	req := j.req
	if req.done {
		return
	}
	if stale := s.homes[req.call.Zone].Finished(req.call, e.id, r); stale != "" {
		s.release(req.call, s.engines[stale])
	}
	delete(s.requests, req.call.ID)
	for _, id := range slices.Compact(slices.Clone(req.copies)) {
		if other := s.engines[id]; other != e {
			s.w.sim.after(s.net.delay(req.call.Zone, other.zone), func() {
				s.queues[other.zone].Cancel(s.w.sim.clock(), req.call.ID, other.id)
				s.pump(other.zone)
			})
		}
	}
	s.w.answer(req, j)
}

// release tells a dispatcher that the program has moved away from its endpoint.
func (s *scheduler) release(c jksched.Call, e *engine) {
	s.w.sim.after(s.net.delay(c.Zone, e.zone), func() {
		s.queues[e.zone].ReleaseCache(s.w.sim.clock(), c.Program, e.id)
		s.pump(e.zone)
	})
}

func (s *scheduler) ended(r *programRun) {
	id := "p" + itoa(r.spec.id)
	s.homes[r.spec.zone].ProgramEnded(id)
	for _, z := range s.w.plan.load.Zones {
		s.w.sim.after(s.net.delay(r.spec.zone, z), func() {
			s.queues[z].ProgramEnded(s.w.sim.clock(), id)
			s.pump(z)
		})
	}
}

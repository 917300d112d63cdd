package jkpolicy

// newNaive is round robin over all endpoints, first come first served, without
// affinity.
func newNaive(w *world) policy {
	next := 0
	return direct(w, "naive", func(*request) *engine {
		e := w.engines[next%len(w.engines)]
		next++
		return e
	})
}

// newOrdinary is least outstanding requests with session affinity: a program
// stays on the endpoint of its first call. It knows the exact number of
// outstanding requests of all endpoints, more than a real proxy would.
func newOrdinary(w *world) policy {
	sessions := map[*program]*engine{}
	return direct(w, "ordinary", func(req *request) *engine {
		if e, ok := sessions[req.run.spec]; ok {
			return e
		}
		best := w.engines[0]
		for _, e := range w.engines[1:] {
			if e.outstanding() < best.outstanding() {
				best = e
			}
		}
		sessions[req.run.spec] = best
		return best
	})
}

// direct sends each request straight to the chosen endpoint, whose own queue is
// first come, first served.
func direct(w *world, name string, choose func(*request) *engine) policy {
	net := w.plan.load.Network
	return policy{
		name: name,
		submit: func(req *request) {
			e := choose(req)
			w.sim.after(net.delay(req.call.Zone, e.zone), func() { e.submit(w.newJob(req)) })
		},
		finished: func(e *engine, j *job) {
			w.sim.after(net.delay(e.zone, j.req.call.Zone), func() { w.answer(j.req, j) })
		},
		ended: func(*programRun) {},
	}
}

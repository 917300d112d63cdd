package jkpolicy

// newNaive returns the policy of round robin over all endpoints, first come, first
// served, without affinity.
func newNaive(w *workloadRun) policy {
	next := 0
	return direct(w, "naive", func(*request) *engine {
		e := w.engines[next%len(w.engines)]
		next++
		return e
	})
}

// newOrdinary returns the policy of least outstanding requests with session affinity:
// a program stays on the endpoint of its first call. It uses the exact number of
// outstanding requests of all endpoints, which a real proxy wouldn't have.
func newOrdinary(w *workloadRun) policy {
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

// direct returns a policy that sends each request straight to the chosen endpoint,
// whose own queue is first come, first served.
func direct(w *workloadRun, name string, choose func(*request) *engine) policy {
	net := w.plan.workload.Network
	return policy{
		name: name,
		submit: func(req *request) {
			e := choose(req)
			w.sim.after(net.delay(req.call.Zone, e.zone), func() { e.submit(w.newJob(req)) })
		},
		onFinish: func(e *engine, j *job) {
			w.sim.after(net.delay(e.zone, j.req.call.Zone), func() { w.respond(j.req, j) })
		},
		onProgramEnd: func(*programRun) {},
	}
}

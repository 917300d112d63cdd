package jksched

import "time"

// Report records the load report that an endpoint sent with an answer to this host.
func (d *DirectPlacer) Report(now time.Time, id string, l DirectLoad) {
	row, ok := d.endpoints[id]
	if !ok || !l.IsValid() {
		return
	}
	row.load, row.loadAt, row.ownCallsAtLoad = l, now, row.ownCalls
}

// MergeReport records a load report that another host received age ago. A report that
// is not newer than the known one is ignored.
func (d *DirectPlacer) MergeReport(now time.Time, id string, l DirectLoad, age time.Duration) {
	row, ok := d.endpoints[id]
	at := now.Add(-age)
	if !ok || !l.IsValid() || !at.After(row.loadAt) {
		return
	}
	row.load, row.loadAt, row.ownCallsAtLoad = l, at, row.ownCalls
}

// DirectOutcome is the result of a run as evidence about its endpoint.
type DirectOutcome string

// Outcomes of a run. A fault is a failure of the endpoint, a refusal means that its
// queue was full, and an abandoned run gives no evidence.
const (
	DirectServed    DirectOutcome = "served"
	DirectFault     DirectOutcome = "fault"
	DirectRefused   DirectOutcome = "refused"
	DirectAbandoned DirectOutcome = "abandoned"
)

// Done ends a call that Place or Reserve counted; took is the time until its answer.
func (d *DirectPlacer) Done(now time.Time, id string, outcome DirectOutcome, took time.Duration) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	row.ownCalls = max(row.ownCalls-1, 0)
	d.observeOutcome(now, row, outcome, took)
}

// observeOutcome records what the end of a call says about its endpoint.
func (d *DirectPlacer) observeOutcome(now time.Time, row *directRow, outcome DirectOutcome, took time.Duration) {
	row.probing = false
	switch outcome {
	case DirectServed:
		row.faults, row.pause = 0, d.opt.BreakerPause
		row.observeServiceTime(took)
	case DirectFault:
		d.recordFault(now, row)
	case DirectRefused:
		// The endpoint's queue is full: treat it as full until the next load report.
		row.load.Running, row.load.Slots = d.slots(row), d.slots(row)
		row.load.Waiting = int(float64(d.slots(row))*d.opt.QueuePerSlot) + 1
		row.loadAt, row.ownCallsAtLoad = now, 0
	case DirectAbandoned:
	}
}

// recordFault counts a fault and opens the breaker after BreakerFaults in a row.
func (d *DirectPlacer) recordFault(now time.Time, row *directRow) {
	row.faults++
	if row.faults < d.opt.BreakerFaults {
		return
	}
	row.openUntil = now.Add(row.pause)
	row.pause = min(2*row.pause, d.opt.BreakerMaxPause)
}

// Unreachable opens the breaker of an endpoint that didn't accept a connection.
func (d *DirectPlacer) Unreachable(now time.Time, id string) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	row.faults = max(row.faults, d.opt.BreakerFaults-1)
	d.recordFault(now, row)
}

// observeServiceTime adds a measurement to the smoothed service time.
func (r *directRow) observeServiceTime(took time.Duration) {
	if took <= 0 {
		return
	}
	if r.serviceTime == 0 {
		r.serviceTime = took
		return
	}
	r.serviceTime += (took - r.serviceTime) / 8
}

// Fault records a failure of an endpoint after Done has been called for its call.
func (d *DirectPlacer) Fault(now time.Time, id string) {
	if row, ok := d.endpoints[id]; ok {
		d.recordFault(now, row)
	}
}

package jksched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DirectOptions hold the knobs of a Direct.
type DirectOptions struct {
	// Zone is the zone of the host.
	Zone string
	// Delay returns the one-way network delay between two zones; nil means none.
	Delay func(from, to string) time.Duration
	// TokenPace is the time per generated token on an engine that runs nothing
	// else; TokenPacePerCall is added for each running call.
	TokenPace        time.Duration
	TokenPacePerCall time.Duration
	// PrefillPace is the time per prompt token that isn't cached.
	PrefillPace time.Duration
	// OutputTokens is assumed for calls that don't name their length.
	OutputTokens int64
	// ServiceTime is assumed for a call of a plain service until measured.
	ServiceTime time.Duration
	// LoadAge is how long an endpoint's own report of its load counts, and
	// PaceAge how long its pace of a moment does.
	LoadAge time.Duration
	PaceAge time.Duration
	// CrossZone is what a call to another zone costs beyond its delay, for the
	// prompt that it moves.
	CrossZone time.Duration
	// BreakerFaults consecutive faults open the breaker for BreakerPause, which
	// doubles up to BreakerMaxPause while probes fail.
	BreakerFaults   int
	BreakerPause    time.Duration
	BreakerMaxPause time.Duration
	// QueuePerSlot bounds the calls waiting at an endpoint, as a multiple of its
	// slots, beyond which the call is refused here.
	QueuePerSlot float64
	// MaxParts bounds the prompt parts whose place is remembered.
	MaxParts int
}

// DefaultDirectOptions returns the defaults. The caller sets Zone and Delay.
// Paces are those that the users published for their engines.
func DefaultDirectOptions() DirectOptions {
	return DirectOptions{
		TokenPace: 935 * time.Microsecond, TokenPacePerCall: 20 * time.Microsecond,
		PrefillPace: 3 * time.Microsecond, OutputTokens: 260,
		ServiceTime: 30 * time.Millisecond, LoadAge: 450 * time.Millisecond,
		PaceAge: 500 * time.Millisecond, CrossZone: 6 * time.Millisecond,
		BreakerFaults: 2, BreakerPause: 400 * time.Millisecond, BreakerMaxPause: 3 * time.Second,
		QueuePerSlot: 2.5, MaxParts: 20000,
	}
}

// DirectLoad is an endpoint's own report, carried by one of its answers.
type DirectLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the time that work takes relative to the usual; 1 means as usual
	// and 0 unknown.
	Pace float64
}

// Direct places calls for a host that sends to endpoints itself, without a
// dispatcher between them. It knows its own running calls exactly and those of
// other hosts by the endpoints' reports. It does no input or output and is not
// safe for concurrent use.
type Direct struct {
	opt DirectOptions
	// endpoints and services index the same rows.
	endpoints map[string]*directRow
	services  map[string][]*directRow
	// parts remembers which endpoints hold a prompt part; partOrder is the
	// order in which parts are forgotten.
	parts     map[string][]*directRow
	partOrder []string
	// zonesDown are zones that this host can't reach at present.
	zonesDown map[string]bool
	// others is the mean number of calls that other hosts have on an endpoint, by
	// service.
	others map[string]float64
	// homes ranks the endpoints on which a shared part is expected; they are ranked
	// anew when an endpoint changes.
	homes map[string][]*directRow
	// key and favorite belong to the call that is being placed, and busy, from 0 to
	// 1, to its service.
	key      uint64
	favorite *directRow
	busy     float64
}

// directRow is an endpoint as the host sees it.
type directRow struct {
	endpoint Endpoint
	// key is a hash of the endpoint's id.
	key    uint64
	own    int
	load   DirectLoad
	loadAt time.Time
	// ownAtLoad is the number of own calls that the report includes.
	ownAtLoad int
	// service is the smoothed time of a call of a plain service.
	service time.Duration
	// usual is the endpoint's time per token relative to the options', smoothed
	// over many calls; current is the same over the last few events.
	usual     float64
	current   float64
	currentAt time.Time
	faults    int
	pause     time.Duration
	openUntil time.Time
	// probing is set while a call tests an endpoint whose breaker was open.
	probing bool
}

// NewDirect returns a Direct without endpoints.
func NewDirect(opt DirectOptions) *Direct {
	return &Direct{
		opt:       opt,
		endpoints: map[string]*directRow{},
		services:  map[string][]*directRow{},
		parts:     map[string][]*directRow{},
		zonesDown: map[string]bool{},
		others:    map[string]float64{},
		homes:     map[string][]*directRow{},
	}
}

// SetEndpoint adds an endpoint or changes its description.
func (d *Direct) SetEndpoint(e Endpoint) {
	clear(d.homes)
	row, ok := d.endpoints[e.ID]
	if !ok {
		row = &directRow{key: xxhash.Sum64String(e.ID), pause: d.opt.BreakerPause}
		d.endpoints[e.ID] = row
	} else if row.endpoint.Service != e.Service {
		d.services[row.endpoint.Service] = withoutRow(d.services[row.endpoint.Service], row)
		ok = false
	}
	row.endpoint = e
	if !ok {
		d.services[e.Service] = append(d.services[e.Service], row)
		slices.SortFunc(d.services[e.Service], func(a, b *directRow) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	}
}

// RemoveEndpoint forgets an endpoint.
func (d *Direct) RemoveEndpoint(id string) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	clear(d.homes)
	row.endpoint.State = StateDown
	delete(d.endpoints, id)
	d.services[row.endpoint.Service] = withoutRow(d.services[row.endpoint.Service], row)
}

func withoutRow(rows []*directRow, row *directRow) []*directRow {
	if i := slices.Index(rows, row); i >= 0 {
		return slices.Delete(slices.Clone(rows), i, i+1)
	}
	return rows
}

// Endpoint returns the description of an endpoint.
func (d *Direct) Endpoint(id string) (Endpoint, bool) {
	row, ok := d.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return row.endpoint, true
}

// Endpoints returns the number of known endpoints.
func (d *Direct) Endpoints() int { return len(d.endpoints) }

// Live returns the number of endpoints of a service that may get work, and how
// many of them are in zones that can be reached.
func (d *Direct) Live(service string) (live, reachable int) {
	for _, row := range d.services[service] {
		if row.endpoint.State != StateLive {
			continue
		}
		live++
		if !d.zonesDown[row.endpoint.Zone] {
			reachable++
		}
	}
	return live, reachable
}

// SetZoneReachable records whether this host can reach a zone.
func (d *Direct) SetZoneReachable(zone string, reachable bool) {
	if reachable {
		delete(d.zonesDown, zone)
		return
	}
	d.zonesDown[zone] = true
}

// Place chooses the endpoint with the least predicted latency and counts the
// call there until Done. Excluded endpoints are not chosen. The error is a
// *RefusedError.
func (d *Direct) Place(now time.Time, c Call, exclude []string) (Placement, error) {
	d.updateOthers(now, c.Service)
	d.busy = d.busyShare(c.Service)
	d.key = xxhash.Sum64String(c.Program)
	d.favorite = d.chooseFavorite(c)
	best, cost := (*directRow)(nil), time.Duration(math.MaxInt64)
	fallback, fallbackCost := (*directRow)(nil), time.Duration(math.MaxInt64)
	soonest := time.Duration(math.MaxInt64)
	live := 0
	for _, row := range d.services[c.Service] {
		if row.endpoint.State != StateLive || slices.Contains(exclude, row.endpoint.ID) {
			continue
		}
		live++
		predicted := d.cost(now, c, row)
		if !d.available(now, row) {
			if predicted < fallbackCost && !d.zonesDown[row.endpoint.Zone] {
				fallback, fallbackCost = row, predicted
			}
			continue
		}
		if free := d.overflow(now, row); free > 0 {
			soonest = min(soonest, free)
			continue
		}
		if predicted < cost {
			best, cost = row, predicted
		}
	}
	if best == nil && soonest == time.Duration(math.MaxInt64) {
		// A breaker is a guess: with no better endpoint left, the call itself
		// is the probe.
		best = fallback
	}
	if best == nil {
		return Placement{}, d.refusal(live, soonest)
	}
	if !c.Deadline.IsZero() && now.Add(d.wait(now, c, best)).After(c.Deadline) {
		return Placement{}, &RefusedError{Reason: ReasonDeadline, RetryAfter: d.wait(now, c, best)}
	}
	best.own++
	if best.faults > 0 {
		best.probing = true
	}
	d.remember(c, best)
	return Placement{Endpoint: best.endpoint.ID, PredictedWait: d.wait(now, c, best)}, nil
}

func (d *Direct) refusal(live int, soonest time.Duration) error {
	if live > 0 && soonest != time.Duration(math.MaxInt64) {
		return &RefusedError{Reason: ReasonQueueFull, RetryAfter: soonest}
	}
	return &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: d.opt.BreakerPause}
}

// Report takes an endpoint's own load from an answer.
func (d *Direct) Report(now time.Time, id string, l DirectLoad) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	row.load, row.loadAt, row.ownAtLoad = l, now, row.own
}

// Hear takes a load that another host was told some time ago.
func (d *Direct) Hear(now time.Time, id string, l DirectLoad, age time.Duration) {
	row, ok := d.endpoints[id]
	at := now.Add(-age)
	if !ok || !at.After(row.loadAt) {
		return
	}
	row.load, row.loadAt, row.ownAtLoad = l, at, row.own
}

// DirectOutcome tells what a run says about its endpoint.
type DirectOutcome string

// Outcomes of a run. A fault is a failure of the endpoint, a refusal a
// statement that it had no room, and abandoned says nothing about it.
const (
	DirectServed    DirectOutcome = "served"
	DirectFault     DirectOutcome = "fault"
	DirectRefused   DirectOutcome = "refused"
	DirectAbandoned DirectOutcome = "abandoned"
)

// Done ends a call that Place counted; took is the time until its answer.
func (d *Direct) Done(now time.Time, id string, outcome DirectOutcome, took time.Duration) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	row.own = max(row.own-1, 0)
	row.probing = false
	switch outcome {
	case DirectServed:
		row.faults, row.pause = 0, d.opt.BreakerPause
		row.learn(took)
	case DirectFault:
		d.fault(now, row)
	case DirectRefused:
		// The queue is full: count it as such until the next report.
		row.load.Running, row.load.Slots = d.slots(row), d.slots(row)
		row.load.Waiting = int(float64(d.slots(row))*d.opt.QueuePerSlot) + 1
		row.loadAt, row.ownAtLoad = now, 0
	case DirectAbandoned:
	}
}

func (d *Direct) fault(now time.Time, row *directRow) {
	row.faults++
	if row.faults < d.opt.BreakerFaults {
		return
	}
	row.openUntil = now.Add(row.pause)
	row.pause = min(2*row.pause, d.opt.BreakerMaxPause)
}

// Unreachable opens the breaker of an endpoint that didn't accept a connection.
func (d *Direct) Unreachable(now time.Time, id string) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	row.faults = max(row.faults, d.opt.BreakerFaults-1)
	d.fault(now, row)
}

func (r *directRow) learn(took time.Duration) {
	if took <= 0 {
		return
	}
	if r.service == 0 {
		r.service = took
		return
	}
	r.service += (took - r.service) / 8
}

// Add counts a call at an endpoint that the caller chose itself.
func (d *Direct) Add(id string) {
	if row, ok := d.endpoints[id]; ok {
		row.own++
	}
}

// Fault counts a failure of an endpoint whose call has been taken off before.
func (d *Direct) Fault(now time.Time, id string) {
	if row, ok := d.endpoints[id]; ok {
		d.fault(now, row)
	}
}

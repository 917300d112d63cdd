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
		ServiceTime: 30 * time.Millisecond, LoadAge: 600 * time.Millisecond,
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
	// homes are the endpoints on which a shared part is expected; they are chosen
	// anew when an endpoint changes.
	homes map[string][]*directRow
}

// directRow is an endpoint as the host sees it.
type directRow struct {
	endpoint Endpoint
	own      int
	load     DirectLoad
	loadAt   time.Time
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
		row = &directRow{pause: d.opt.BreakerPause}
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

// available reports whether the breaker and the network let a call through.
func (d *Direct) available(now time.Time, row *directRow) bool {
	if d.zonesDown[row.endpoint.Zone] {
		return false
	}
	if row.faults < d.opt.BreakerFaults {
		return true
	}
	return !now.Before(row.openUntil) && !row.probing
}

// occupied estimates the calls at the endpoint, waiting ones included. What other
// hosts have there is reported; as the report ages it fades into the mean of the
// service, since an endpoint that isn't heard of is hardly idle.
func (d *Direct) occupied(now time.Time, row *directRow) int {
	others := d.others[row.endpoint.Service]
	if age := now.Sub(row.loadAt); !row.loadAt.IsZero() && age < d.opt.LoadAge {
		fresh := 1 - float64(age)/float64(d.opt.LoadAge)
		others += (reportedOthers(row) - others) * fresh
	}
	return row.own + int(others+0.5)
}

func reportedOthers(row *directRow) float64 {
	return float64(max(row.load.Running+row.load.Waiting-row.ownAtLoad, 0))
}

// updateOthers computes the mean number of calls of other hosts on the endpoints
// of a service that have reported lately.
func (d *Direct) updateOthers(now time.Time, service string) {
	sum, n := 0.0, 0
	for _, row := range d.services[service] {
		if !row.loadAt.IsZero() && now.Sub(row.loadAt) < d.opt.LoadAge {
			// An endpoint that is full says little about the others.
			sum += min(reportedOthers(row), float64(d.slots(row)))
			n++
		}
	}
	if n == 0 {
		delete(d.others, service)
		return
	}
	d.others[service] = sum / float64(n)
}

// IsCrowded reports whether the endpoint has more calls than slots.
func (d *Direct) IsCrowded(now time.Time, id string) bool {
	row, ok := d.endpoints[id]
	return ok && d.occupied(now, row) > d.slots(row)
}

func (d *Direct) slots(row *directRow) int {
	if row.load.Slots > 0 {
		return row.load.Slots
	}
	return max(row.endpoint.Slots, 1)
}

// pace is the predicted time of work on the endpoint relative to the options'.
// What was seen or reported last fades into the usual, since neighbours come and
// go within a second.
func (d *Direct) pace(now time.Time, row *directRow) float64 {
	usual := row.usual
	if usual == 0 {
		usual = 1
	}
	pace, at := row.current, row.currentAt
	if row.load.Pace > 0 && row.loadAt.After(at) {
		pace, at = usual*row.load.Pace, row.loadAt
	}
	if pace == 0 {
		return usual
	}
	fresh := max(0, 1-float64(now.Sub(at))/float64(d.opt.PaceAge))
	return usual + (pace-usual)*fresh
}

// Weights of one observation in the smoothed paces.
const (
	usualWeight   = 0.02
	currentWeight = 0.4
)

// Progress takes the time that a running call of an engine needed for some
// tokens.
func (d *Direct) Progress(now time.Time, id string, tokens int64, took time.Duration) {
	row, ok := d.endpoints[id]
	if !ok || tokens <= 0 || took <= 0 {
		return
	}
	running := min(d.occupied(now, row), d.slots(row))
	expected := time.Duration(tokens) * (d.opt.TokenPace + time.Duration(running)*d.opt.TokenPacePerCall)
	// A gap far beyond the usual is a preemption or a lost connection.
	ratio := min(float64(took)/float64(expected), maxPace)
	if row.usual == 0 {
		row.usual = 1
	}
	row.usual += (ratio - row.usual) * usualWeight
	if row.current == 0 || now.Sub(row.currentAt) > d.opt.PaceAge {
		row.current = row.usual
	}
	row.current += (ratio - row.current) * currentWeight
	row.currentAt = now
}

// maxPace bounds one observation of an endpoint's pace.
const maxPace = 6

// work is the time that the call runs on the endpoint once it has a slot.
func (d *Direct) work(now time.Time, c Call, row *directRow) time.Duration {
	if c.Kind == KindService {
		return time.Duration(float64(d.serviceTime(row)) * d.pace(now, row))
	}
	running := min(d.occupied(now, row), d.slots(row))
	output := c.MaxTokens
	if output <= 0 {
		output = d.opt.OutputTokens
	}
	token := d.opt.TokenPace + time.Duration(running)*d.opt.TokenPacePerCall
	work := time.Duration(output)*token + time.Duration(d.uncached(c, row))*d.opt.PrefillPace
	return time.Duration(float64(work) * d.pace(now, row))
}

func (d *Direct) serviceTime(row *directRow) time.Duration {
	if row.service > 0 {
		return row.service
	}
	return d.opt.ServiceTime
}

// wait is the predicted time until a slot is free.
func (d *Direct) wait(now time.Time, c Call, row *directRow) time.Duration {
	over := d.occupied(now, row) - d.slots(row) + 1
	if over <= 0 {
		return 0
	}
	return d.work(now, c, row) * time.Duration(over) / time.Duration(d.slots(row))
}

// overflow returns the time until the endpoint's queue is short enough, or 0.
func (d *Direct) overflow(now time.Time, row *directRow) time.Duration {
	slots := d.slots(row)
	over := d.occupied(now, row) - int(float64(slots)*(1+d.opt.QueuePerSlot))
	if over < 0 {
		return 0
	}
	mean := d.serviceTime(row)
	if row.endpoint.Kind == KindModel {
		mean = time.Duration(d.opt.OutputTokens) * d.opt.TokenPace
	}
	return mean * time.Duration(over+slots) / time.Duration(slots)
}

// cost predicts the latency of the call, plus the time that its prefill takes
// from the calls running there.
func (d *Direct) cost(now time.Time, c Call, row *directRow) time.Duration {
	cost := d.wait(now, c, row) + d.work(now, c, row)
	occupied := d.occupied(now, row)
	if c.Kind == KindModel {
		cost += time.Duration(d.uncached(c, row)) * d.opt.PrefillPace * time.Duration(occupied)
		// Each running call is slowed by this one's tokens.
		cost += time.Duration(c.MaxTokens) * d.opt.TokenPacePerCall * time.Duration(occupied)
	} else {
		// Among endpoints with free slots the one with the most is taken, since
		// other hosts choose at the same time.
		cost += d.serviceTime(row) * time.Duration(occupied) / time.Duration(4*d.slots(row))
	}
	if d.opt.Delay != nil {
		cost += 2 * d.opt.Delay(d.opt.Zone, row.endpoint.Zone)
	}
	if c.Kind == KindModel && row.endpoint.Zone != d.opt.Zone {
		cost += d.opt.CrossZone
	}
	if row.faults > 0 {
		cost += time.Duration(row.faults) * 50 * time.Millisecond
	}
	return cost + d.jitter(c, row)
}

// jitter orders equal endpoints by a hash of the call's key, so that hosts
// without a memory of a session agree on its endpoint.
func (d *Direct) jitter(c Call, row *directRow) time.Duration {
	const span = 2 * time.Millisecond
	h := xxhash.Sum64String(c.Program + "\x00" + row.endpoint.ID)
	return time.Duration(h%1024) * span / 1024
}

// uncached estimates the prompt tokens that the endpoint has to read. Parts
// count as cached only while all parts before them are.
func (d *Direct) uncached(c Call, row *directRow) int64 {
	left := c.PromptTokens
	for i, part := range c.Prefix {
		// A part that many requests share is where other hosts send it as well.
		shared := i == 0 && len(c.Prefix) > 1 && d.isHome(c, part.Hash, row)
		if !shared && !slices.Contains(d.parts[part.Hash], row) {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// minHomes and homeShare give the number of endpoints on which a shared part is
// expected: that share of the service's endpoints, as memory doesn't hold all
// parts on all of them.
const (
	minHomes  = 3
	homeShare = 4
)

// maxHomeParts bounds the shared parts whose endpoints are remembered.
const maxHomeParts = 512

// isHome reports whether the endpoint is among those on which all hosts expect a
// shared part.
func (d *Direct) isHome(c Call, part string, row *directRow) bool {
	homes, known := d.homes[part]
	if !known {
		if len(d.homes) >= maxHomeParts {
			clear(d.homes)
		}
		homes = d.chooseHomes(c.Service, part)
		d.homes[part] = homes
	}
	return slices.Contains(homes, row)
}

// chooseHomes chooses live endpoints of a service by rendezvous hash.
func (d *Direct) chooseHomes(service, part string) []*directRow {
	type ranked struct {
		row  *directRow
		rank uint64
	}
	var all []ranked
	for _, row := range d.services[service] {
		if row.endpoint.State == StateLive {
			all = append(all, ranked{row, xxhash.Sum64String(part + "\x00" + row.endpoint.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	homes := make([]*directRow, 0, len(all))
	for _, r := range all[:min(len(all), max(minHomes, len(all)/homeShare))] {
		homes = append(homes, r.row)
	}
	return homes
}

// maxHolders bounds the endpoints remembered for one prompt part.
const maxHolders = 16

func (d *Direct) remember(c Call, row *directRow) {
	for _, part := range c.Prefix {
		holders, known := d.parts[part.Hash]
		if slices.Contains(holders, row) {
			continue
		}
		if !known {
			d.partOrder = append(d.partOrder, part.Hash)
		}
		if len(holders) >= maxHolders {
			holders = holders[1:]
		}
		d.parts[part.Hash] = append(holders, row)
	}
	for len(d.partOrder) > d.opt.MaxParts {
		delete(d.parts, d.partOrder[0])
		d.partOrder = d.partOrder[1:]
	}
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

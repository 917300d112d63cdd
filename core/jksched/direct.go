package jksched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DirectOptions holds the settings of a DirectPlacer. The paces and lengths are assumed until
// they have been measured.
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
	// OutputTokens is the answer length assumed for calls without MaxTokens.
	OutputTokens int64
	// ServiceTime is the time assumed for a call of a plain service until one has
	// been measured.
	ServiceTime time.Duration
	// MaxLoadAge is the age at which an endpoint's own load report is ignored, and
	// MaxPaceAge the age at which its recent pace is. Both lose weight linearly until
	// then.
	MaxLoadAge time.Duration
	MaxPaceAge time.Duration
	// CrossZoneCost is the cost of sending a call's prompt to another zone, in addition to
	// the network delay.
	CrossZoneCost time.Duration
	// BreakerFaults is the number of consecutive faults that open the circuit breaker.
	// It stays open for BreakerPause, which doubles with each failed probe up to
	// BreakerMaxPause.
	BreakerFaults   int
	BreakerPause    time.Duration
	BreakerMaxPause time.Duration
	// QueuePerSlot bounds the calls waiting at an endpoint, as a multiple of its
	// slots. Place refuses a call when every endpoint is at its bound.
	QueuePerSlot float64
	// MaxSendDelay is how long a call may wait for its place at an endpoint that limits
	// its requests.
	MaxSendDelay time.Duration
	// MaxParts bounds the number of prompt parts whose holders are tracked.
	MaxParts int
	// Learned is set to place calls by their learned costs and the learned demand for shared
	// prompt parts.
	Learned bool
}

// DefaultDirectOptions returns the defaults. The caller sets Zone and Delay.
// The paces are the figures that the users published for their engines.
func DefaultDirectOptions() DirectOptions {
	return DirectOptions{
		TokenPace: 935 * time.Microsecond, TokenPacePerCall: 20 * time.Microsecond,
		PrefillPace: 3 * time.Microsecond, OutputTokens: 260,
		ServiceTime: 30 * time.Millisecond, MaxLoadAge: 450 * time.Millisecond,
		MaxPaceAge: 500 * time.Millisecond, CrossZoneCost: 6 * time.Millisecond,
		BreakerFaults: 2, BreakerPause: 400 * time.Millisecond, BreakerMaxPause: 3 * time.Second,
		QueuePerSlot: 2.5, MaxSendDelay: 500 * time.Millisecond, MaxParts: 20000,
	}
}

// DirectLoad is an endpoint's own load report, carried by one of its answers.
type DirectLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the time that work takes at present relative to the endpoint's mean: 1 is
	// the mean, 2 is half as fast, 0 is unknown.
	Pace float64
}

// MaxSlots bounds the slots of an endpoint, and maxReportedCalls and maxReportedPace its
// load. Beyond these bounds predictions would overflow.
const (
	MaxSlots         = 1 << 16
	maxReportedCalls = 1 << 20
	maxReportedPace  = 1000
)

// IsValid reports whether an endpoint can have the load.
func (l DirectLoad) IsValid() bool {
	return l.Running >= 0 && l.Running <= maxReportedCalls && l.Waiting >= 0 && l.Waiting <= maxReportedCalls &&
		l.Slots >= 0 && l.Slots <= MaxSlots && l.Pace >= 0 && l.Pace <= maxReportedPace
}

// DirectPlacer places calls for a host that sends to endpoints itself, without a
// dispatcher between them. It knows its own running calls exactly and estimates
// those of other hosts from the endpoints' load reports. It does no input or output
// and is not safe for concurrent use.
type DirectPlacer struct {
	opt DirectOptions
	// endpoints and services index the same rows.
	endpoints map[string]*directRow
	services  map[string][]*directRow
	// parts lists the endpoints that are expected to have a prompt part in their
	// prefix cache; partOrder lists the parts, the next to be evicted first.
	parts     map[string][]*directRow
	partOrder []string
	// unreachableZones holds the zones that this host can't reach at present.
	unreachableZones map[string]bool
	// enginePaces holds what was measured of the engines, by service.
	enginePaces map[string]*enginePace
	// otherHostCalls is the mean number of calls of other hosts per endpoint, by service.
	otherHostCalls map[string]float64
	// rankedEndpoints caches the rendezvous ranking of the endpoints for a shared prompt
	// part. It is cleared when an endpoint changes.
	rankedEndpoints map[string][]*directRow
	// returnAt is when the next call that is refused because of limits is told to return,
	// by service.
	returnAt map[string]time.Time
	// programHash and primary belong to the call that is being placed. utilization is
	// the share of its service's slots that other hosts use, from 0 to 1.
	programHash uint64
	primary     *directRow
	utilization float64
	// placed is the number of calls that an endpoint was chosen for.
	placed uint64

	// The fields below are used only if opt.Learned is set. costs holds the learned costs of
	// calls, demands the demand for shared parts by service, and cacheTokens the cache of an
	// engine by service. expected is what is expected of the call that is being placed.
	costs       *costModel
	demands     map[string]*partDemand
	cacheTokens map[string]int64
	expected    expectedCall
	// serviceWork and meanOthers are the mean work of a call of its service, and the mean number of
	// calls of other hosts at an endpoint. isFallback is set if no endpoint with a closed breaker
	// was left for it.
	serviceWork float64
	meanOthers  float64
	isFallback  bool
	// bestCost is the lowest cost found so far.
	bestCost   time.Duration
	lastTicket uint64
}

// directRow is the host's state for one endpoint.
type directRow struct {
	endpoint Endpoint
	// idHash is a hash of the endpoint's id.
	idHash   uint64
	ownCalls int
	load     DirectLoad
	loadAt   time.Time
	// ownCallsAtLoad is the number of own calls that the load report includes.
	ownCallsAtLoad int
	// serviceTime is the smoothed time of a call of a plain service.
	serviceTime time.Duration
	// preferredFor is the number of the latest call whose shared part prefers the endpoint,
	// and uncached the number of prompt tokens that it would read for the latest call.
	preferredFor uint64
	uncached     int64
	// engine is what was measured of the service's engines.
	engine *enginePace
	// meanPace is the endpoint's time per token relative to its service, smoothed
	// over many calls; recentPace is the same over the last few progress events.
	meanPace     float64
	recentPace   float64
	recentPaceAt time.Time
	faults       int
	pause        time.Duration
	openUntil    time.Time
	// probing is set while a call probes an endpoint that has faults.
	probing bool
	// limit is nil for an endpoint that takes any number of requests.
	limit *sendLimit
	// calls are the own calls in flight whose work was predicted. paceSamples is the number of
	// calls of a plain service that its mean pace was measured from.
	calls       []ownCall
	paceSamples int
	// cachedFor is the number of the latest call for which cachedParts was set: bit i is set if
	// part i of its prompt is expected to be cached.
	cachedFor   uint64
	cachedParts uint64
	// loadAge is the age of the load report at the latest decision, and outlook what was expected
	// of the call that decision outlookFor was made for.
	loadAge    time.Duration
	outlookFor uint64
	outlook    outlook
}

// NewDirectPlacer returns a DirectPlacer without endpoints.
func NewDirectPlacer(opt DirectOptions) *DirectPlacer {
	return &DirectPlacer{
		opt:              opt,
		endpoints:        map[string]*directRow{},
		services:         map[string][]*directRow{},
		parts:            map[string][]*directRow{},
		unreachableZones: map[string]bool{},
		otherHostCalls:   map[string]float64{},
		enginePaces:      map[string]*enginePace{},
		rankedEndpoints:  map[string][]*directRow{},
		returnAt:         map[string]time.Time{},
		costs:            newCostModel(),
		demands:          map[string]*partDemand{},
		cacheTokens:      map[string]int64{},
	}
}

// SetEndpoint adds an endpoint or changes its description.
func (d *DirectPlacer) SetEndpoint(e Endpoint) {
	e.Slots = min(e.Slots, MaxSlots)
	row, ok := d.endpoints[e.ID]
	if !ok || row.endpoint.Service != e.Service || row.endpoint.State != e.State || row.endpoint.Zone != e.Zone {
		d.endpointsChanged(e.Service)
	}
	if !ok {
		row = &directRow{idHash: xxhash.Sum64String(e.ID), pause: d.opt.BreakerPause}
		d.endpoints[e.ID] = row
	} else if row.endpoint.Service != e.Service {
		d.services[row.endpoint.Service] = withoutRow(d.services[row.endpoint.Service], row)
		d.endpointsChanged(row.endpoint.Service)
		ok = false
	}
	row.endpoint, row.engine = e, d.enginePace(e.Service)
	if !ok {
		d.services[e.Service] = append(d.services[e.Service], row)
		slices.SortFunc(d.services[e.Service], func(a, b *directRow) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	}
}

// RemoveEndpoint removes an endpoint.
func (d *DirectPlacer) RemoveEndpoint(id string) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	d.endpointsChanged(row.endpoint.Service)
	row.endpoint.State = StateDown
	delete(d.endpoints, id)
	d.services[row.endpoint.Service] = withoutRow(d.services[row.endpoint.Service], row)
}

// endpointsChanged discards what was derived from the live endpoints of a service.
func (d *DirectPlacer) endpointsChanged(service string) {
	clear(d.rankedEndpoints)
	if demand := d.demands[service]; demand != nil {
		demand.stale = true
	}
}

func withoutRow(rows []*directRow, row *directRow) []*directRow {
	if i := slices.Index(rows, row); i >= 0 {
		return slices.Delete(slices.Clone(rows), i, i+1)
	}
	return rows
}

// Endpoint returns the description of an endpoint.
func (d *DirectPlacer) Endpoint(id string) (Endpoint, bool) {
	row, ok := d.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return row.endpoint, true
}

// Endpoints returns the number of known endpoints.
func (d *DirectPlacer) Endpoints() int { return len(d.endpoints) }

// CountLive returns the number of live endpoints of a service, and how many of them
// are in reachable zones.
func (d *DirectPlacer) CountLive(service string) (live, reachable int) {
	for _, row := range d.services[service] {
		if row.endpoint.State != StateLive {
			continue
		}
		live++
		if !d.unreachableZones[row.endpoint.Zone] {
			reachable++
		}
	}
	return live, reachable
}

// SetZoneReachable records whether this host can reach a zone.
func (d *DirectPlacer) SetZoneReachable(zone string, reachable bool) {
	if reachable {
		delete(d.unreachableZones, zone)
		return
	}
	d.unreachableZones[zone] = true
}

// Place chooses the endpoint with the lowest predicted cost and counts the call
// there until Done. Excluded endpoints are not chosen. The error is a *RefusedError.
func (d *DirectPlacer) Place(now time.Time, c Call, exclude []string) (Placement, error) {
	best, delay, err := d.choose(now, c, exclude)
	if err != nil {
		return Placement{}, err
	}
	prediction := d.prediction(now, c, best)
	best.book(now)
	best.ownCalls++
	if best.faults > 0 {
		best.probing = true
	}
	if c.Kind == KindModel {
		best.engine.observeOutput(d.likelyTokens(c))
	}
	d.recordPlacement(c, best)
	out := Placement{Endpoint: best.endpoint.ID, PredictedWait: d.predictedWait(now, c, best), SendDelay: delay, UncachedTokens: best.uncached, Prediction: prediction}
	if d.opt.Learned {
		d.recordCall(now, c, best, &out)
	}
	return out, nil
}

// Peek returns the endpoint that Place would choose, if there is one.
func (d *DirectPlacer) Peek(now time.Time, c Call, exclude []string) (Endpoint, bool) {
	best, _, err := d.choose(now, c, exclude)
	if err != nil {
		return Endpoint{}, false
	}
	return best.endpoint, true
}

// ChooseVersion returns the software version of the endpoint that Place would choose. The error is
// a *RefusedError.
func (d *DirectPlacer) ChooseVersion(now time.Time, c Call) (string, error) {
	if version, ok := d.onlyVersion(c.Service); ok {
		return version, nil
	}
	best, _, err := d.choose(now, c, nil)
	if err != nil {
		return "", err
	}
	return best.endpoint.Version, nil
}

// onlyVersion returns the software version of a service's live endpoints if they have the same one.
func (d *DirectPlacer) onlyVersion(service string) (version string, ok bool) {
	for _, row := range d.services[service] {
		if row.endpoint.State != StateLive {
			continue
		}
		if ok && row.endpoint.Version != version {
			return "", false
		}
		version, ok = row.endpoint.Version, true
	}
	return version, ok
}

// choose returns the endpoint with the lowest predicted cost and the time until it may be sent the
// call. The error is a *RefusedError.
func (d *DirectPlacer) choose(now time.Time, c Call, exclude []string) (*directRow, time.Duration, error) {
	d.updateOtherHostCalls(now, c.Service)
	d.utilization = d.serviceUtilization(c.Service)
	d.programHash = xxhash.Sum64String(c.Program)
	d.expectCall(now, c)
	d.primary = d.primaryEndpoint(c)
	d.markPreferred(c)
	best, cost := (*directRow)(nil), time.Duration(math.MaxInt64)
	d.bestCost = cost
	fallback, fallbackCost := (*directRow)(nil), time.Duration(math.MaxInt64)
	soonest, soonestPlace := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	live, limited, ofVersion := 0, 0, false
	for _, row := range d.services[c.Service] {
		if row.endpoint.State != StateLive || c.VersionBound && row.endpoint.Version != c.Version {
			continue
		}
		ofVersion = true
		if slices.Contains(exclude, row.endpoint.ID) {
			continue
		}
		live++
		delay, allowed := row.sendDelay(now)
		if !allowed || delay > d.opt.MaxSendDelay {
			limited++
			if allowed {
				soonestPlace = min(soonestPlace, delay)
			}
			continue
		}
		predicted := d.cost(now, c, row) + delay
		if !d.available(now, row) {
			if predicted < fallbackCost && !d.unreachableZones[row.endpoint.Zone] {
				fallback, fallbackCost = row, predicted
			}
			continue
		}
		if free := d.queueRetryAfter(now, row); free > 0 {
			soonest = min(soonest, free)
			continue
		}
		if predicted < cost {
			best, cost, d.bestCost = row, predicted, predicted
		}
	}
	if best == nil && soonest == time.Duration(math.MaxInt64) {
		// An open breaker doesn't prove that the endpoint fails. Without another
		// endpoint, the call itself serves as the probe.
		best = fallback
	}
	d.isFallback = best != nil && best == fallback
	switch {
	case best == nil && limited > 0 && soonestPlace < soonest, best == nil && limited == live && live > 0:
		return nil, 0, d.limitRefusal(now, c.Service, soonestPlace)
	case c.VersionBound && !ofVersion:
		return nil, 0, &RefusedError{Reason: ReasonVersion, RetryAfter: d.opt.BreakerPause}
	case best == nil:
		return nil, 0, d.refusal(live, soonest)
	}
	delay, _ := best.sendDelay(now)
	wait := d.predictedWait(now, c, best)
	if delay > 0 {
		// A call that waits for its place and then can't end in time would waste it.
		wait = max(wait, delay+d.runTime(now, c, best))
	}
	if !c.Deadline.IsZero() && now.Add(wait).After(c.Deadline) {
		return nil, 0, &RefusedError{Reason: ReasonDeadline, RetryAfter: wait}
	}
	return best, delay, nil
}

// refusal returns the error for a call without an endpoint; soonest is the shortest
// time until a full endpoint has room in its queue.
func (d *DirectPlacer) refusal(live int, soonest time.Duration) error {
	if live > 0 && soonest != time.Duration(math.MaxInt64) {
		return &RefusedError{Reason: ReasonQueueFull, RetryAfter: soonest}
	}
	return &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: d.opt.BreakerPause}
}

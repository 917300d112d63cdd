package jkforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// errCutOff is the cause of exchanges that are cancelled because the endpoints of the zone
// can't be reached anymore.
var errCutOff = errors.New("endpoint is cut off")

// Fleet places calls on endpoints and tracks the calls in flight. It is safe for
// concurrent use.
type Fleet struct {
	timer *jktimer.Service

	mu     sync.Mutex
	direct *jksched.DirectPlacer
	addrs  map[string]string
	// inFlight holds the repeatable calls in flight by endpoint.
	inFlight map[string]map[*call]tracked
	// cutOffZones holds the zones whose endpoints can't be reached, and heardAt when bytes of
	// an endpoint last arrived.
	cutOffZones map[string]bool
	heardAt     map[string]time.Time
	// reportedLoads holds the loads that endpoints reported to this host since the
	// last digest.
	reportedLoads map[string]reportedLoad
	// notices holds what endpoints have said of themselves in answers, by id.
	notices map[string]*notice
	// hosts are the hosts that share the limits of endpoints, including this one.
	hosts []Host
	self  Host
	// versions holds the software versions of endpoints, by service.
	versions map[string]*versionHistory
	// confirmRegistry is the function of SetRegistryConfirmation; nil means that it reports false.
	confirmRegistry func(ctx context.Context) bool
	// recentPlacements holds the latest placements since the last digest.
	recentPlacements []placement
	// recentDemand holds the shared parts of the calls placed since the last digest, and isLearned
	// is set if they count.
	recentDemand []demandEntry
	isLearned    bool
}

// reportedLoad is an endpoint's load report and the time of its arrival.
type reportedLoad struct {
	load jksched.DirectLoad
	at   time.Time
}

// NewFleet returns a fleet without endpoints for the host with the given name.
func NewFleet(host string, opt jksched.DirectOptions, timer *jktimer.Service) *Fleet {
	return &Fleet{
		self: Host{Name: host, Zone: opt.Zone}, isLearned: opt.Learned,
		notices: map[string]*notice{},
		timer:   timer, direct: jksched.NewDirectPlacer(opt), addrs: map[string]string{},
		inFlight: map[string]map[*call]tracked{}, cutOffZones: map[string]bool{}, heardAt: map[string]time.Time{},
		reportedLoads: map[string]reportedLoad{}, versions: map[string]*versionHistory{},
	}
}

// SetEndpoint adds an endpoint or updates its description and address. Born is its start
// time.
func (f *Fleet) SetEndpoint(e jksched.Endpoint, addr string, born int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.SetEndpoint(e)
	f.addrs[e.ID] = addr
	f.recordVersion(e)
	f.keepNotice(e.ID, born)
	f.noteState(e.ID)
}

// RemoveEndpoint removes an endpoint. Its calls in flight continue.
func (f *Fleet) RemoveEndpoint(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.RemoveEndpoint(id)
	delete(f.addrs, id)
	delete(f.heardAt, id)
	f.forgetVersion(id)
	if n := f.notices[id]; n != nil {
		n.removedAt = f.timer.Now()
	}
	f.noteState(id)
}

// Endpoints returns the number of known endpoints.
func (f *Fleet) Endpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.Endpoints()
}

// tracked is a repeatable call in flight.
type tracked struct {
	cancel context.CancelCauseFunc
	// request describes the call, and exclude holds the endpoints that it may not go on at.
	request jksched.Call
	exclude []string
}

// SetEndpointsReachable records whether the endpoints of a zone can be reached, and reports
// whether that is news. When they become unreachable, the repeatable calls in flight there
// are cancelled if they may go on elsewhere.
func (f *Fleet) SetEndpointsReachable(zone string, reachable bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutOffZones[zone] == !reachable {
		return false
	}
	f.cutOffZones[zone] = !reachable
	f.direct.SetZoneReachable(zone, reachable)
	if reachable {
		return true
	}
	for id, calls := range f.inFlight {
		e, ok := f.direct.Endpoint(id)
		if !ok || e.Zone != zone {
			continue
		}
		for _, t := range calls {
			if _, ok := f.direct.Peek(f.timer.Now(), t.request, t.exclude); ok {
				t.cancel(errCutOff)
			}
		}
	}
	return true
}

// HasUnreachableService reports whether all live endpoints of at least one of the
// services are in zones that this host can't reach.
func (f *Fleet) HasUnreachableService(services []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range services {
		if live, reachable := f.direct.CountLive(name); live > 0 && reachable == 0 {
			return true
		}
	}
	return false
}

// isCutOff reports whether the endpoints of a zone can't be reached.
func (f *Fleet) isCutOff(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOffZones[zone]
}

// place chooses an endpoint and returns its id and address.
func (f *Fleet) place(c jksched.Call, exclude []string) (target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := f.direct.Place(f.timer.Now(), c, exclude)
	if err != nil {
		return target{}, err
	}
	if n := len(c.Prefix); n > 0 {
		f.recentPlacements = append(f.recentPlacements, placement{Endpoint: p.Endpoint, Part: c.Prefix[n-1].Hash})
		f.recentPlacements = f.recentPlacements[max(0, len(f.recentPlacements)-maxDigestPlacements):]
	}
	f.recordDemand(c)
	e, _ := f.direct.Endpoint(p.Endpoint)
	return target{
		id: p.Endpoint, zone: e.Zone, addr: f.addrs[p.Endpoint], version: e.Version, born: f.bornOf(p.Endpoint), delay: p.SendDelay,
		uncached: p.UncachedTokens, prediction: p.Prediction, ticket: p.Ticket, reason: p.Reason,
	}, nil
}

// peek returns the endpoint that place would choose, if there is one.
func (f *Fleet) peek(c jksched.Call, exclude []string) (target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.direct.Peek(f.timer.Now(), c, exclude)
	return target{id: e.ID, zone: e.Zone, addr: f.addrs[e.ID], version: e.Version}, ok
}

// predict predicts the times of a call where place would send it now.
func (f *Fleet) predict(c jksched.Call) (jksched.Prediction, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.Predict(f.timer.Now(), c)
}

// knowsPart reports whether this host knows an endpoint that was sent a prompt part.
func (f *Fleet) knowsPart(part string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.HasHolder(part)
}

// chooseVersion returns the software version of the endpoint that place would choose.
func (f *Fleet) chooseVersion(c jksched.Call) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.ChooseVersion(f.timer.Now(), c)
}

// target is the endpoint of one attempt. The request is sent to it after the delay.
type target struct {
	id      string
	zone    string
	addr    string
	version string
	// born is the start time of the endpoint in its registry entry, or zero.
	born  int64
	delay time.Duration
	// uncached is the number of prompt tokens that the endpoint is expected to read.
	uncached int64
	// prediction is what was predicted for the request; zero for an endpoint that is used again.
	prediction jksched.Prediction
	// givenUp is set if the request was given up at the endpoint before.
	givenUp bool
	// ticket and reason are those of the placement; they are empty without learned placement.
	ticket uint64
	reason jksched.PlacementReason
}

// leftReusePeriod is the time in which an endpoint that has begun to leave, or whose entry was removed, still takes a
// request that it was sent before. It serves on for longer than that.
const leftReusePeriod = time.Second

// reuse counts one more call at an endpoint that was chosen before. The error is a
// *RefusedError if the endpoint takes no call now, and nil with an empty target if it is
// gone. One that has just begun to leave takes a call that was given up there.
func (f *Fleet) reuse(last target, c jksched.Call, givenUp bool) (target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mayReturn := givenUp && f.hasJustLeft(last.id)
	e, known := f.direct.Endpoint(last.id)
	switch {
	case !known && mayReturn:
		last.delay, last.ticket, last.reason = 0, 0, ""
		return last, nil
	case !known:
		return target{}, nil
	case c.VersionBound && e.Version != c.Version:
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonVersion}
	case e.State != jksched.StateLive && !mayReturn:
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonLeaving}
	}
	delay, ok := f.direct.Reserve(f.timer.Now(), last.id)
	if !ok {
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonLimited}
	}
	return target{id: last.id, zone: e.Zone, addr: f.addrs[last.id], version: e.Version, born: f.bornOf(last.id), delay: delay, uncached: -1, givenUp: givenUp}, nil
}

// canReuse reports whether reuse would find the endpoint in service.
func (f *Fleet) canReuse(id string, c jksched.Call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.direct.Endpoint(id)
	return known && e.State == jksched.StateLive && (!c.VersionBound || e.Version == c.Version)
}

// takesCalls reports whether an endpoint that was chosen earlier still takes new calls at
// the address. One that has just begun to leave takes those that were given up there.
func (f *Fleet) takesCalls(t target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.direct.Endpoint(t.id)
	inService := e.State == jksched.StateLive || t.givenUp && f.hasJustLeft(t.id)
	return ok && inService && e.Version == t.version && f.addrs[t.id] == t.addr && !f.cutOffZones[e.Zone]
}

func (f *Fleet) reportLoad(id string, l jksched.DirectLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	f.direct.Report(now, id, l)
	f.reportedLoads[id] = reportedLoad{load: l, at: now}
}

func (f *Fleet) isCrowded(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.IsCrowded(f.timer.Now(), id)
}

func (f *Fleet) progress(id string, ticket uint64, tokens int64, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteHeard(id)
	f.direct.ProgressOf(f.timer.Now(), id, ticket, tokens, took)
}

// firstEvent reports how long the first event of a call took, and the load that the endpoint
// named in the same answer.
func (f *Fleet) firstEvent(id string, uncached int64, took time.Duration, l jksched.DirectLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteHeard(id)
	f.direct.FirstEvent(id, uncached, took, l)
}

// done ends a call. It returns the time that the call took relative to the predicted one, if that
// is known.
func (f *Fleet) done(call jksched.FinishedCall) (ratio float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if call.Outcome == jksched.DirectServed || call.Outcome == jksched.DirectRefused {
		f.noteHeard(call.Endpoint)
	}
	return f.direct.Finish(f.timer.Now(), call)
}

func (f *Fleet) unreachable(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Unreachable(f.timer.Now(), id)
}

// track registers a call in flight, for SetEndpointsReachable.
func (f *Fleet) track(id string, c *call, t tracked) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.inFlight[id]
	if calls == nil {
		calls = map[*call]tracked{}
		f.inFlight[id] = calls
	}
	calls[c] = t
}

func (f *Fleet) untrack(id string, c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight[id], c)
	if len(f.inFlight[id]) == 0 {
		delete(f.inFlight, id)
	}
}

func (f *Fleet) fault(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Fault(f.timer.Now(), id)
}

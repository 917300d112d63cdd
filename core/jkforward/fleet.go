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
	// cancels holds the cancel functions of repeatable calls in flight by endpoint.
	cancels map[string]map[*call]context.CancelCauseFunc
	// cutOffZones holds the zones whose endpoints can't be reached, and heardAt when bytes of
	// an endpoint last arrived.
	// suspectZones are those whose hosts are silent.
	cutOffZones, suspectZones map[string]bool
	heardAt                   map[string]time.Time
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
	// registryReachable reports whether this host hears of new endpoints; nil means that it doesn't.
	registryReachable func() bool
	// recentPlacements holds the latest placements since the last digest.
	recentPlacements []placement
}

// reportedLoad is an endpoint's load report and the time of its arrival.
type reportedLoad struct {
	load jksched.DirectLoad
	at   time.Time
}

// NewFleet returns a fleet without endpoints for the host with the given name.
func NewFleet(host string, opt jksched.DirectOptions, timer *jktimer.Service) *Fleet {
	return &Fleet{
		self:    Host{Name: host, Zone: opt.Zone},
		notices: map[string]*notice{},
		timer:   timer, direct: jksched.NewDirectPlacer(opt), addrs: map[string]string{},
		cancels: map[string]map[*call]context.CancelCauseFunc{}, cutOffZones: map[string]bool{}, suspectZones: map[string]bool{}, heardAt: map[string]time.Time{},
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
}

// Endpoints returns the number of known endpoints.
func (f *Fleet) Endpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.Endpoints()
}

// SetEndpointsReachable records whether the endpoints of a zone can be reached, and reports
// whether that is news. When they become unreachable, the repeatable calls in flight there
// are cancelled, so that they are retried elsewhere.
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
	for id, calls := range f.cancels {
		e, ok := f.direct.Endpoint(id)
		if !ok || e.Zone != zone {
			continue
		}
		for _, cancel := range calls {
			cancel(errCutOff)
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

// setSuspect records whether the hosts of a zone are silent, so that its endpoints may be found cut
// off.
func (f *Fleet) setSuspect(zone string, suspect bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectZones[zone] = suspect
}

// isSuspect reports whether the endpoints of a zone may be found cut off.
func (f *Fleet) isSuspect(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspectZones[zone]
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
	e, _ := f.direct.Endpoint(p.Endpoint)
	return target{id: p.Endpoint, zone: e.Zone, addr: f.addrs[p.Endpoint], version: e.Version, delay: p.SendDelay, uncached: p.UncachedTokens}, nil
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
	delay   time.Duration
	// uncached is the number of prompt tokens that the endpoint is expected to read.
	uncached int64
}

// reuse counts one more call at an endpoint that was chosen before. The error is a
// *RefusedError if the endpoint takes no call now, and nil with an empty target if it is
// gone.
func (f *Fleet) reuse(id string, c jksched.Call) (target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, known := f.direct.Endpoint(id)
	if !known {
		return target{}, nil
	}
	if c.VersionBound && e.Version != c.Version {
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonVersion}
	}
	if e.State != jksched.StateLive {
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonLeaving}
	}
	delay, ok := f.direct.Reserve(f.timer.Now(), id)
	if !ok {
		return target{}, &jksched.RefusedError{Reason: jksched.ReasonLimited}
	}
	return target{id: id, zone: e.Zone, addr: f.addrs[id], version: e.Version, delay: delay, uncached: -1}, nil
}

// takesCalls reports whether an endpoint that was chosen earlier still takes new calls at
// the address.
func (f *Fleet) takesCalls(t target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.direct.Endpoint(t.id)
	return ok && e.State == jksched.StateLive && e.Version == t.version && f.addrs[t.id] == t.addr && !f.cutOffZones[e.Zone]
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

func (f *Fleet) progress(id string, tokens int64, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteHeard(id)
	f.direct.Progress(f.timer.Now(), id, tokens, took)
}

// firstEvent reports how long the first event of a call took, and the load that the endpoint
// named in the same answer.
func (f *Fleet) firstEvent(id string, uncached int64, took time.Duration, l jksched.DirectLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteHeard(id)
	f.direct.FirstEvent(id, uncached, took, l)
}

func (f *Fleet) done(id string, outcome jksched.DirectOutcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if outcome == jksched.DirectServed || outcome == jksched.DirectRefused {
		f.noteHeard(id)
	}
	f.direct.Done(f.timer.Now(), id, outcome, took)
}

func (f *Fleet) unreachable(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Unreachable(f.timer.Now(), id)
}

// track registers the cancel function of a call, for SetEndpointsReachable.
func (f *Fleet) track(id string, c *call, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.cancels[id]
	if calls == nil {
		calls = map[*call]context.CancelCauseFunc{}
		f.cancels[id] = calls
	}
	calls[c] = cancel
}

func (f *Fleet) untrack(id string, c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cancels[id], c)
	if len(f.cancels[id]) == 0 {
		delete(f.cancels, id)
	}
}

func (f *Fleet) fault(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Fault(f.timer.Now(), id)
}

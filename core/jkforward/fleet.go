package jkforward

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// errEndpointLost is the cause of requests that are cancelled because their
// endpoint can't be reached or has ended.
var errEndpointLost = errors.New("endpoint lost")

// Fleet places calls on endpoints and knows the calls under way. It is safe for
// concurrent use.
type Fleet struct {
	timer *jktimer.Service

	mu     sync.Mutex
	direct *jksched.Direct
	addrs  map[string]string
	// running are the cancel functions of repeatable calls by endpoint.
	running map[string]map[*call]context.CancelCauseFunc
	down    map[string]bool
	// told are the loads that endpoints reported to this host since the last
	// digest.
	told map[string]reportedLoad
	// placed are the last calls placed since the last digest.
	placed []placement
}

type reportedLoad struct {
	load jksched.DirectLoad
	at   time.Time
}

// NewFleet returns a fleet without endpoints.
func NewFleet(opt jksched.DirectOptions, timer *jktimer.Service) *Fleet {
	return &Fleet{
		timer: timer, direct: jksched.NewDirect(opt), addrs: map[string]string{},
		running: map[string]map[*call]context.CancelCauseFunc{}, down: map[string]bool{},
		told: map[string]reportedLoad{},
	}
}

// SetEndpoint adds an endpoint at an address or changes it.
func (f *Fleet) SetEndpoint(e jksched.Endpoint, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.SetEndpoint(e)
	f.addrs[e.ID] = addr
}

// RemoveEndpoint forgets an endpoint. Its running calls go on.
func (f *Fleet) RemoveEndpoint(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.RemoveEndpoint(id)
	delete(f.addrs, id)
}

// Endpoints returns the number of known endpoints.
func (f *Fleet) Endpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.Endpoints()
}

// SetZoneReachable records whether a zone can be reached. Calls that may be
// repeated leave a zone that is lost.
func (f *Fleet) SetZoneReachable(zone string, reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[zone] == !reachable {
		return
	}
	f.down[zone] = !reachable
	f.direct.SetZoneReachable(zone, reachable)
	if reachable {
		return
	}
	for id, calls := range f.running {
		e, ok := f.direct.Endpoint(id)
		if !ok || e.Zone != zone {
			continue
		}
		for _, cancel := range calls {
			cancel(errEndpointLost)
		}
	}
}

// CutOff reports whether all live endpoints of one of the services are in zones
// that this host has lost.
func (f *Fleet) CutOff(services []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range services {
		if live, reachable := f.direct.Live(name); live > 0 && reachable == 0 {
			return true
		}
	}
	return false
}

// zoneReachable reports whether the endpoint's zone can be reached.
func (f *Fleet) zoneReachable(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.direct.Endpoint(id)
	return ok && !f.down[e.Zone]
}

// place chooses an endpoint and returns its id and address.
func (f *Fleet) place(c jksched.Call, exclude []string) (id, addr string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, err := f.direct.Place(f.timer.Now(), c, exclude)
	if err != nil {
		return "", "", err
	}
	if n := len(c.Prefix); n > 0 {
		f.placed = append(f.placed, placement{Endpoint: p.Endpoint, Part: c.Prefix[n-1].Hash})
		f.placed = f.placed[max(0, len(f.placed)-maxPlaced):]
	}
	return p.Endpoint, f.addrs[p.Endpoint], nil
}

// again counts one more call at an endpoint that was chosen before.
func (f *Fleet) again(id string) (addr string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr, ok = f.addrs[id]
	if ok {
		f.direct.Add(id)
	}
	return addr, ok
}

func (f *Fleet) report(id string, l jksched.DirectLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	f.direct.Report(now, id, l)
	f.told[id] = reportedLoad{load: l, at: now}
}

func (f *Fleet) isCrowded(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.IsCrowded(f.timer.Now(), id)
}

func (f *Fleet) progress(id string, tokens int64, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Progress(f.timer.Now(), id, tokens, took)
}

func (f *Fleet) done(id string, outcome jksched.DirectOutcome, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Done(f.timer.Now(), id, outcome, took)
}

func (f *Fleet) unreachable(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Unreachable(f.timer.Now(), id)
}

// track lets a call be cancelled when its endpoint is lost.
func (f *Fleet) track(id string, c *call, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.running[id]
	if calls == nil {
		calls = map[*call]context.CancelCauseFunc{}
		f.running[id] = calls
	}
	calls[c] = cancel
}

func (f *Fleet) untrack(id string, c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running[id], c)
	if len(f.running[id]) == 0 {
		delete(f.running, id)
	}
}

func (f *Fleet) fault(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct.Fault(f.timer.Now(), id)
}

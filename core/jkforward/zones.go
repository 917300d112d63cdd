package jkforward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

const (
	// zoneCheckInterval is the time between two checks of the endpoints of a zone whose hosts
	// are silent.
	zoneCheckInterval = 500 * time.Millisecond
	// zoneHeardPeriod is the age up to which an answer shows that the endpoints of a zone can
	// be reached. It is shorter than the silence after which hosts count as unreachable, so
	// that answers from before a cut don't count.
	zoneHeardPeriod = 400 * time.Millisecond
	// zoneDialTimeout bounds a connection to an endpoint.
	zoneDialTimeout = 300 * time.Millisecond
	// maxZoneDials bounds the endpoints of a zone to which one check connects.
	maxZoneDials = 2
)

// ZoneWatch finds out whether the endpoints of a zone can be reached while the zone's hosts
// don't answer. That hosts are silent says nothing of the endpoints: they run on other
// machines, and a request that is given up there may still run. It is safe for concurrent
// use.
type ZoneWatch struct {
	timer *jktimer.Service
	log   jklog.Logger
	fleet *Fleet
	// dial opens a connection to an endpoint and closes it.
	dial func(ctx context.Context, addr string) error
	// runAsync runs a check without waiting for it.
	runAsync func(func())

	mu     sync.Mutex
	silent map[string]*silentZone
}

// silentZone is a zone whose hosts don't answer.
type silentZone struct {
	zone string
	// checks is the number of checks so far.
	checks int
	// stop ends the checks.
	stop func()
}

// NewZoneWatch returns a ZoneWatch that tells the fleet which zones are cut off.
func NewZoneWatch(fleet *Fleet, timer *jktimer.Service, log jklog.Logger) *ZoneWatch {
	return &ZoneWatch{timer: timer, log: log, fleet: fleet, dial: dialOnce, runAsync: func(f func()) { go f() }, silent: map[string]*silentZone{}}
}

// SetHostsReachable records whether any host of a zone answers. Endpoints of a zone with
// hosts that answer count as reachable, the others are checked until one does.
func (w *ZoneWatch) SetHostsReachable(zone string, reachable bool) {
	if row := w.setSilent(zone, !reachable); row != nil {
		w.runAsync(func() { w.check(row) })
	}
}

// setSilent records whether a zone's hosts are silent. It returns the zone if it has to be
// checked at once.
func (w *ZoneWatch) setSilent(zone string, silent bool) *silentZone {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.silent[zone]
	switch {
	case !silent && known != nil:
		known.stop()
		delete(w.silent, zone)
		w.fleet.SetEndpointsReachable(zone, true)
	case silent && known == nil:
		row := &silentZone{zone: zone}
		row.stop = w.timer.Every(zoneCheckInterval, func() { w.check(row) })
		w.silent[zone] = row
		return row
	}
	return nil
}

// Close ends all checks.
func (w *ZoneWatch) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for zone, row := range w.silent {
		row.stop()
		delete(w.silent, zone)
	}
}

// check finds out whether the endpoints of a zone can be reached and tells the fleet.
func (w *ZoneWatch) check(row *silentZone) {
	reachable, evidence := w.observe(row)
	if evidence == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent[row.zone] != row {
		return
	}
	if w.fleet.SetEndpointsReachable(row.zone, reachable) || row.checks == 1 {
		w.log.Info("endpoints of silent zone checked", "zone", row.zone, "reachable", reachable, "evidence", evidence)
	}
}

// observe reports whether the endpoints of a zone can be reached and what shows it. The
// evidence is empty if nothing does.
func (w *ZoneWatch) observe(row *silentZone) (reachable bool, evidence string) {
	w.mu.Lock()
	check := row.checks
	row.checks++
	w.mu.Unlock()
	began := w.timer.Now()
	if w.fleet.heardFrom(row.zone, began.Add(-zoneHeardPeriod)) {
		return true, "answers"
	}
	addrs := w.fleet.addrsOf(row.zone, check*maxZoneDials, maxZoneDials)
	if len(addrs) == 0 {
		return false, ""
	}
	if w.connects(addrs) {
		return true, "connects"
	}
	if w.timer.Now().Sub(began) > 2*zoneDialTimeout {
		// This process was paused, and answers may be unread.
		return false, ""
	}
	return false, "no_connection"
}

// connects reports whether at least one of the addresses answers a connection attempt. A
// refusal is an answer too.
func (w *ZoneWatch) connects(addrs []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), zoneDialTimeout)
	defer cancel()
	answered := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			err := w.dial(ctx, addr)
			answered <- err == nil || refusesConnections(err)
		}()
	}
	for range addrs {
		if <-answered {
			return true
		}
	}
	return false
}

// heardFrom reports whether an endpoint of the zone has answered since a time.
func (f *Fleet) heardFrom(zone string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, at := range f.heardAt {
		if e, ok := f.direct.Endpoint(id); ok && e.Zone == zone && at.After(since) {
			return true
		}
	}
	return false
}

// hasAnswered reports whether an endpoint has answered since a time.
func (f *Fleet) hasAnswered(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardAt[id].After(since)
}

// noteHeard records that bytes of an endpoint have arrived. The caller holds the lock.
func (f *Fleet) noteHeard(id string) {
	if _, ok := f.direct.Endpoint(id); ok {
		f.heardAt[id] = f.timer.Now()
	}
}

// addrsOf returns the addresses of up to n live endpoints of a zone, beginning with the
// given one of an order that differs from host to host.
func (f *Fleet) addrsOf(zone string, first, n int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type ranked struct {
		rank uint64
		addr string
	}
	var all []ranked
	for id, addr := range f.addrs {
		if e, ok := f.direct.Endpoint(id); ok && e.Zone == zone && e.State == jksched.StateLive {
			all = append(all, ranked{xxhash.Sum64String(f.self.Name + "\x00" + id), addr})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var out []string
	for i := range min(n, len(all)) {
		out = append(out, all[(first+i)%len(all)].addr)
	}
	return out
}

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
	// zoneDialTimeout bounds the connections of a check, and zoneDialDelay is how long the first
	// ones may take before the zone's other endpoints are tried too.
	zoneDialTimeout = 400 * time.Millisecond
	zoneDialDelay   = 100 * time.Millisecond
	// minZoneDials is the number of endpoints to which a check connects first, and maxZoneDials
	// the number that stands for all of the zone.
	minZoneDials = 2
	maxZoneDials = 16
	// maxCheckTime is the longest time of a check in a process that isn't paused.
	maxCheckTime = zoneDialTimeout + 100*time.Millisecond
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
	// runAsync runs a check without waiting for it, and runDial a connection attempt.
	runAsync, runDial func(func())

	mu     sync.Mutex
	silent map[string]*silentZone
	closed bool
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
	return &ZoneWatch{timer: timer, log: log, fleet: fleet, dial: dialOnce, runAsync: runInGoroutine, runDial: runInGoroutine, silent: map[string]*silentZone{}}
}

func runInGoroutine(f func()) { go f() }

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
	case silent && known == nil && !w.closed:
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
	w.closed = true
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
	addrs := w.fleet.addrsOf(row.zone, check*minZoneDials, maxZoneDials)
	if len(addrs) == 0 {
		return false, ""
	}
	if w.connects(addrs) {
		return true, "connects"
	}
	if w.fleet.heardFrom(row.zone, began) {
		return true, "answers"
	}
	if w.timer.Now().Sub(began) > maxCheckTime {
		// This process was paused, and answers may be unread.
		return false, ""
	}
	return false, "no_connection"
}

// connects reports whether at least one of the addresses answers a connection attempt. A
// refusal is an answer too. The first addresses are tried twice, as the opening of a connection
// may be lost.
func (w *ZoneWatch) connects(addrs []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), zoneDialTimeout)
	defer cancel()
	answered := make(chan bool, len(addrs)+minZoneDials)
	dial := func(addr string) {
		err := w.dial(ctx, addr)
		answered <- err == nil || refusesConnections(err)
	}
	first := addrs[:min(len(addrs), minZoneDials)]
	for _, addr := range first {
		w.runDial(func() { dial(addr) })
	}
	later, stop := context.WithTimeout(ctx, zoneDialDelay)
	defer stop()
	tried := len(first)
	for tried > 0 && later.Err() == nil {
		select {
		case ok := <-answered:
			if ok {
				return true
			}
			tried--
		case <-later.Done():
		}
	}
	for _, addr := range addrs {
		w.runDial(func() { dial(addr) })
	}
	// Connection attempts end with the context.
	for range tried + len(addrs) {
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

// heard records that a response of an endpoint has arrived.
func (f *Fleet) heard(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteHeard(id)
}

// noteHeard records that bytes of an endpoint have arrived. The caller holds the lock.
func (f *Fleet) noteHeard(id string) {
	if _, ok := f.direct.Endpoint(id); ok {
		f.heardAt[id] = f.timer.Now()
	}
}

// addrsOf returns the addresses of up to n endpoints of a zone, beginning with the
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
		if e, ok := f.direct.Endpoint(id); ok && e.Zone == zone && e.State != jksched.StateDown {
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

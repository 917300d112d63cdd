package jkforward

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// zonesFixture is a ZoneWatch over a fleet with endpoints in the zones a and b. All checks run
// in the test's own goroutine.
type zonesFixture struct {
	*ZoneWatch
	clock *jktimer.Manual
	// dialErr is the outcome of each connection attempt, which takes dialTime.
	dialErr  error
	dialTime time.Duration
	dialed   []string
	// cancelled is set once the call that is in flight at the endpoint of zone b is.
	cancelled error
}

func newZonesFixture() *zonesFixture {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	opt := jksched.DefaultDirectOptions()
	opt.Zone = "a"
	fleet := NewFleet("h", opt, timer)
	f := &zonesFixture{ZoneWatch: NewZoneWatch(fleet, timer, jklog.Discard()), clock: clock}
	for id, zone := range map[string]string{"e1": "a", "e2": "b"} {
		fleet.SetEndpoint(jksched.Endpoint{ID: id, Zone: zone, Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, id+":1", 1)
	}
	f.runAsync = func(run func()) { run() }
	f.runDial = f.runAsync
	f.dial = func(_ context.Context, addr string) error {
		f.dialed = append(f.dialed, addr)
		if f.dialTime > 0 {
			clock.Advance(f.dialTime)
		}
		return f.dialErr
	}
	fleet.track("e2", &call{}, tracked{
		cancel:  func(cause error) { f.cancelled = cause },
		request: jksched.Call{ID: "r", Service: "s", Kind: jksched.KindModel}, exclude: []string{"e2"},
	})
	return f
}

// Guards against taking the silence of a zone's hosts for endpoints that are cut off: their
// calls were cancelled and ran once more elsewhere (BUDGET), and they got no others.
func TestEndpointsThatAnswerAreNotCutOff(t *testing.T) {
	for name, answer := range map[string]error{"connects": nil, "refuses": os.NewSyscallError("connect", syscall.ECONNREFUSED)} {
		t.Run(name, func(t *testing.T) {
			f := newZonesFixture()
			f.dialErr = answer
			f.SetHostsReachable("b", false)
			f.clock.Advance(3 * zoneCheckInterval)
			if f.cancelled != nil || f.fleet.isCutOff("b") {
				t.Errorf("cancelled by %v, cut off %t; the endpoint answers", f.cancelled, f.fleet.isCutOff("b"))
			}
			if len(f.dialed) < 3 || f.dialed[0] != "e2:1" {
				t.Errorf("connected to %v, want e2:1 with each check", f.dialed)
			}
		})
	}
}

// Guards against connections to endpoints whose answers arrive all the time.
func TestAnswersShowThatEndpointsAreNotCutOff(t *testing.T) {
	f := newZonesFixture()
	f.dialErr = context.DeadlineExceeded
	f.fleet.heard("e2")
	f.SetHostsReachable("b", false)
	if f.fleet.isCutOff("b") || len(f.dialed) > 0 {
		t.Errorf("cut off %t, connected to %v; the endpoint has just answered", f.fleet.isCutOff("b"), f.dialed)
	}
	// A cut that begins later is found too.
	f.clock.Advance(zoneCheckInterval)
	if !f.fleet.isCutOff("b") {
		t.Error("not cut off, though the endpoint neither answers nor connects")
	}
}

// Guards against requests that wait for endpoints of a zone that is cut off, and against a
// zone that stays out of use once it is in reach again.
func TestEndpointsOfACutZoneAreCutOffUntilTheyAnswer(t *testing.T) {
	for _, back := range []string{"hosts", "endpoints"} {
		t.Run(back, func(t *testing.T) {
			f := newZonesFixture()
			f.dialErr = context.DeadlineExceeded
			f.SetHostsReachable("b", false)
			if !errors.Is(f.cancelled, errCutOff) || !f.fleet.isCutOff("b") {
				t.Fatalf("cancelled by %v, cut off %t", f.cancelled, f.fleet.isCutOff("b"))
			}
			if to, err := f.fleet.place(jksched.Call{ID: "r", Service: "s", Kind: jksched.KindModel}, []string{"e1"}); err == nil {
				t.Errorf("placed at %s, which is cut off", to.id)
			}
			switch back {
			case "hosts":
				f.SetHostsReachable("b", true)
			case "endpoints":
				f.dialErr = nil
				f.clock.Advance(zoneCheckInterval)
			}
			if f.fleet.isCutOff("b") {
				t.Error("still cut off")
			}
		})
	}
}

// Guards against a pause of the own process that is taken for endpoints that don't connect.
func TestConnectionsDuringAPauseProveNothing(t *testing.T) {
	f := newZonesFixture()
	f.dialErr, f.dialTime = context.DeadlineExceeded, maxCheckTime+time.Millisecond
	f.SetHostsReachable("b", false)
	if f.fleet.isCutOff("b") {
		t.Error("cut off, though this process was paused")
	}
}

// Guards against endpoints that accept connections and are taken for cut off since some others of
// their zone are gone, or since the opening of one connection was lost.
func TestFewLostConnectionsDontStandForAZone(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		// lost is the number of connection attempts that fail.
		lost int
	}{
		{"two of six endpoints are gone", 6, minZoneDials},
		{"one connection to one endpoint", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newZonesFixture()
			for i := 1; i < c.endpoints; i++ {
				id := fmt.Sprint("more", i)
				f.fleet.SetEndpoint(jksched.Endpoint{ID: id, Zone: "b", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, id+":1", 1)
			}
			dialed := 0
			f.dial = func(context.Context, string) error {
				if dialed++; dialed <= c.lost {
					return context.DeadlineExceeded
				}
				return nil
			}
			f.SetHostsReachable("b", false)
			if f.cancelled != nil || f.fleet.isCutOff("b") {
				t.Errorf("cancelled by %v, cut off %t after %d connections", f.cancelled, f.fleet.isCutOff("b"), dialed)
			}
		})
	}
}

// Guards against an answer that arrives while a check connects, and is overlooked.
func TestAnswersDuringACheckCount(t *testing.T) {
	f := newZonesFixture()
	f.dial = func(context.Context, string) error {
		f.clock.Advance(time.Millisecond)
		f.fleet.firstEvent("e2", 0, time.Millisecond, jksched.DirectLoad{Running: 1, Slots: 4})
		return context.DeadlineExceeded
	}
	f.SetHostsReachable("b", false)
	if f.fleet.isCutOff("b") {
		t.Error("cut off, though the first event of a stream has arrived during the check")
	}
}

// Guards against calls at leaving endpoints that wait in a zone that is cut off.
func TestZoneWhoseEndpointsAllLeaveIsFoundCutOff(t *testing.T) {
	f := newZonesFixture()
	f.fleet.SetEndpoint(jksched.Endpoint{ID: "e2", Zone: "b", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLeaving}, "e2:1", 1)
	f.dialErr = context.DeadlineExceeded
	f.SetHostsReachable("b", false)
	if f.cancelled == nil {
		t.Error("the call at the leaving endpoint isn't cancelled")
	}
}

// Guards against a check that ends after the hosts are back, or begins after Close.
func TestLateChecksChangeNothing(t *testing.T) {
	f := newZonesFixture()
	f.dial = func(context.Context, string) error {
		f.SetHostsReachable("b", true)
		return context.DeadlineExceeded
	}
	f.SetHostsReachable("b", false)
	if f.fleet.isCutOff("b") {
		t.Error("cut off after the hosts are back")
	}
	f.Close()
	f.dialed = nil
	f.dial = func(_ context.Context, addr string) error {
		f.dialed = append(f.dialed, addr)
		return nil
	}
	f.SetHostsReachable("b", false)
	f.clock.Advance(2 * zoneCheckInterval)
	if len(f.dialed) > 0 {
		t.Errorf("connected to %v after Close", f.dialed)
	}
}

// Guards against requests that end with an endpoint that is cut off though others may run them:
// it doesn't count as an attempt.
func TestEndpointThatIsCutOffDoesNotCount(t *testing.T) {
	f := newZonesFixture()
	h := NewHandler(Options{Fleet: f.fleet, Timer: f.timer, Crashes: NewCrashWatch(f.timer, jklog.Discard())})
	newCall := func() *call {
		return &call{
			last: target{id: "e2", zone: "b"}, route: jkruleset.NewRoute(jkruleset.RouteConfig{Kind: jkruleset.KindIdempotent, MaxAttempts: 1}),
			service: jkruleset.NewService(jkruleset.ServiceConfig{Name: "s"}),
		}
	}
	counted, tied := newCall(), newCall()
	if !h.mayRetry(counted, counted.last) || counted.attempts != 1 {
		t.Errorf("%d attempts at an endpoint in reach, want 1", counted.attempts)
	}
	tied.attempts = 1
	if to, err := h.chooseEndpoint(tied); err != nil || to.id != "e2" {
		t.Errorf("chosen %+v, error %v, want the endpoint in reach again", to, err)
	}
	f.fleet.SetEndpointsReachable("b", false)
	if c := newCall(); !h.mayRetry(c, c.last) || c.attempts != 0 || !slices.Contains(c.excluded, "e2") {
		t.Errorf("%d attempts, excluded %v after the endpoint was cut off, want it not to count", c.attempts, c.excluded)
	}
	if to, err := h.chooseEndpoint(tied); err != nil || to.id != "e1" {
		t.Errorf("chosen %+v, error %v after the endpoint was cut off, want the other one", to, err)
	}
}

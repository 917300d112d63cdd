package jkforward

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
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
	f.dial = func(_ context.Context, addr string) error {
		f.dialed = append(f.dialed, addr)
		if f.dialTime > 0 {
			clock.Advance(f.dialTime)
		}
		return f.dialErr
	}
	fleet.track("e2", &call{}, func(cause error) { f.cancelled = cause })
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
	f.fleet.reportLoad("e2", jksched.DirectLoad{Running: 1, Slots: 4})
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
	f.dialErr, f.dialTime = context.DeadlineExceeded, 2*zoneDialTimeout+time.Millisecond
	f.SetHostsReachable("b", false)
	if f.fleet.isCutOff("b") {
		t.Error("cut off, though this process was paused")
	}
}

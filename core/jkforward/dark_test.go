package jkforward

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against a second run on another endpoint (BUDGET) of a request whose endpoint is sound: the
// hosts of its zone are silent and two others of the zone's endpoints are gone.
func TestRequestOfADarkZoneWithLostEndpointsRunsOnce(t *testing.T) {
	f := newSingleFixture(t)
	var ran atomic.Int64
	count := func() { ran.Add(1) }
	sound, other := newStreamEndpoint(t, 800*time.Millisecond, count), newStreamEndpoint(t, 0, count)
	f.add("sound", "b", sound.Listener.Addr().String())
	zones := NewZoneWatch(f.fleet, jktimer.New(), jklog.Discard())
	defer zones.Close()
	var lost []string
	zones.dial = func(ctx context.Context, addr string) error {
		if slices.Contains(lost, addr) {
			<-ctx.Done()
			return ctx.Err()
		}
		return dialOnce(ctx, addr)
	}
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.add("other", "a", other.Listener.Addr().String())
		// Two ids of endpoints that come before the sound one in this entry's order.
		for i := 0; len(lost) < 2; i++ {
			id, addr := fmt.Sprint("lost", i), fmt.Sprintf("192.0.2.%d:80", i+1)
			f.add(id, "b", addr)
			if order := f.fleet.addrsOf("b", 0, 100); slices.Index(order, addr) > slices.Index(order, sound.Listener.Addr().String()) {
				f.fleet.RemoveEndpoint(id)
				continue
			}
			lost = append(lost, addr)
		}
		zones.SetHostsReachable("b", false)
	}()
	status := f.send(t)
	if n := ran.Load(); n > 1 {
		t.Errorf("ran on %d endpoints of 1 (status %d), though the first one is sound", n, status)
	}
}

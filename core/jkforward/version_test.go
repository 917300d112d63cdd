package jkforward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// Guards against a stream of unknown version that goes on at another one: a host that hasn't known a
// service for long, or doesn't hear of new endpoints when it decides, can't tell that there was never another.
func TestUnknownStreamGoesOnAtTheOnlyVersion(t *testing.T) {
	const timeout = 2500 * time.Millisecond
	const within = 2*timeout + maxRegistryLag
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	f := NewFleet("h", jksched.DefaultDirectOptions(), timer)
	h := NewHandler(Options{Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Fleet: f})
	confirmed := func(context.Context) bool { return true }
	set := func(id, version string) {
		f.SetEndpoint(jksched.Endpoint{ID: id, Service: "s", Slots: 1, State: jksched.StateLive, Version: version}, "10.0.0.1:80", 1)
	}
	stoodStill := time.Duration(0)
	check := func(what, want string, confirm func(context.Context) bool) {
		t.Helper()
		f.SetRegistryConfirmation(confirm)
		c := &call{
			request: httptest.NewRequest(http.MethodPost, "/", nil), receivedAt: timer.Now(), deadline: timer.Now().Add(timeout),
			route: jkruleset.NewRoute(jkruleset.RouteConfig{Timeout: timeout}), service: jkruleset.NewService(jkruleset.ServiceConfig{Name: "s"}),
		}
		clock.Advance(stoodStill)
		if refused := h.bindUnknown(c); (refused == nil) != (want != "") || c.version != want {
			t.Errorf("%s: the version is %q, refused %t, want %q", what, c.version, refused != nil, want)
		}
	}
	set("e1", "v1")
	check("just started", "", confirmed)
	clock.Advance(within)
	check("known for long", "v1", confirmed)
	check("without the registry", "", func(context.Context) bool { return false })
	check("another version joined before the request", "", func(context.Context) bool { set("e2", "v2"); return true })
	check("two versions", "", confirmed)
	f.RemoveEndpoint("e1")
	check("the former version was there a moment ago", "", confirmed)
	clock.Advance(within - time.Second)
	stoodStill = within
	check("the host stood still after it read the request", "", confirmed)
	stoodStill = 0
	check("the former version is long gone", "v2", confirmed)
	f.ForgetVersions()
	check("versions may have come and gone", "", confirmed)
	clock.Advance(within)
	check("none came for long", "v2", confirmed)
	set("e2", "v3")
	check("started again with another version", "", confirmed)
	f.RemoveEndpoint("e2")
	clock.Advance(within)
	check("no endpoint", "", confirmed)
}

// Guards against a stream that is sent to an endpoint which has started again with another version
// since it was chosen.
func TestEndpointOfAnotherVersionIsNotReused(t *testing.T) {
	timer, _ := jktimer.NewManual(time.Unix(1000, 0))
	f := NewFleet("h", jksched.DefaultDirectOptions(), timer)
	e := jksched.Endpoint{ID: "e1", Service: "s", Slots: 1, State: jksched.StateLive, Version: "v1"}
	f.SetEndpoint(e, "10.0.0.1:80", 1)
	call := jksched.Call{Service: "s", Version: "v1", VersionBound: true}
	to, err := f.place(call, nil)
	if err != nil || !f.takesCalls(to) {
		t.Fatalf("placed at %q with error %v", to.id, err)
	}
	if again, err := f.reuse(target{id: "e1"}, call, false); err != nil || again.id != "e1" {
		t.Errorf("reused %q with error %v, want e1", again.id, err)
	}
	e.Version = "v2"
	f.SetEndpoint(e, "10.0.0.1:80", 2)
	if f.takesCalls(to) {
		t.Error("an endpoint of another version takes the call")
	}
	var refused *jksched.RefusedError
	if _, err := f.reuse(target{id: "e1"}, call, false); !errors.As(err, &refused) || refused.Reason != jksched.ReasonVersion {
		t.Errorf("error is %v, want %s", err, jksched.ReasonVersion)
	}
}

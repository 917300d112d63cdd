package jkforward

import (
	"errors"
	"testing"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// Guards against a stream of unknown version that goes on at another one: a host that hasn't known a
// service for long, or doesn't hear of new endpoints, can't tell that there was never another.
func TestUnknownStreamGoesOnAtTheOnlyVersion(t *testing.T) {
	const within = 10 * time.Second
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	f := NewFleet("h", jksched.DefaultDirectOptions(), timer)
	reachable := true
	f.SetRegistryReachable(func() bool { return reachable })
	set := func(id, version string) {
		f.SetEndpoint(jksched.Endpoint{ID: id, Service: "s", Slots: 1, State: jksched.StateLive, Version: version}, "10.0.0.1:80", 1)
	}
	check := func(what, want string) {
		t.Helper()
		if got, ok := f.onlyVersionWithin("s", within); ok != (want != "") || ok && got != want {
			t.Errorf("%s: the version is %q, known %t, want %q", what, got, ok, want)
		}
	}
	set("e1", "v1")
	check("just started", "")
	clock.Advance(within)
	check("known for long", "v1")
	reachable = false
	check("without the registry", "")
	reachable = true
	set("e2", "v2")
	check("two versions", "")
	f.RemoveEndpoint("e1")
	check("the former version was there a moment ago", "")
	clock.Advance(within)
	check("the former version is long gone", "v2")
	set("e2", "v3")
	check("started again with another version", "")
	f.RemoveEndpoint("e2")
	clock.Advance(within)
	check("no endpoint", "")
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
	if again, err := f.reuse("e1", call); err != nil || again.id != "e1" {
		t.Errorf("reused %q with error %v, want e1", again.id, err)
	}
	e.Version = "v2"
	f.SetEndpoint(e, "10.0.0.1:80", 2)
	if f.takesCalls(to) {
		t.Error("an endpoint of another version takes the call")
	}
	var refused *jksched.RefusedError
	if _, err := f.reuse("e1", call); !errors.As(err, &refused) || refused.Reason != jksched.ReasonVersion {
		t.Errorf("error is %v, want %s", err, jksched.ReasonVersion)
	}
}

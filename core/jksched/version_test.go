package jksched

import (
	"errors"
	"testing"
	"time"
)

// Guards against a call that is placed on an endpoint of another software version than it is bound
// to, and against a refusal that doesn't say that the version is gone.
func TestBoundCallStaysAtItsVersion(t *testing.T) {
	d := newTestDirect(4)
	now := time.Unix(0, 0)
	for id, version := range map[string]string{"e0": "v1", "e1": "v2", "e2": "v2", "e3": "v2"} {
		d.SetEndpoint(Endpoint{ID: id, Zone: "a", Kind: KindModel, Service: "llm", Slots: 16, State: StateLive, Version: version})
	}
	bound := turnCall("p")
	bound.Version, bound.VersionBound = "v1", true
	for range 10 {
		p, err := d.Place(now, bound, nil)
		if err != nil || p.Endpoint != "e0" {
			t.Fatalf("placed at %q with error %v, want e0", p.Endpoint, err)
		}
	}
	for _, c := range []struct {
		exclude []string
		version string
		want    Reason
	}{
		{exclude: []string{"e0"}, version: "v1", want: ReasonNoEndpoint},
		{version: "v3", want: ReasonVersion},
		{version: "", want: ReasonVersion},
	} {
		bound.Version = c.version
		var refused *RefusedError
		if _, err := d.Place(now, bound, c.exclude); !errors.As(err, &refused) || refused.Reason != c.want {
			t.Errorf("version %q without %v: error is %v, want %s", c.version, c.exclude, err, c.want)
		}
	}
}

// Guards against a stream that is bound to a version whose endpoints wouldn't get it.
func TestVersionIsThatOfTheChosenEndpoint(t *testing.T) {
	d := newTestDirect(3)
	now := time.Unix(0, 0)
	for id, version := range map[string]string{"e0": "v1", "e1": "v1", "e2": "v2"} {
		d.SetEndpoint(Endpoint{ID: id, Zone: "a", Kind: KindModel, Service: "llm", Slots: 16, State: StateLive, Version: version})
	}
	versions := map[string]string{"e0": "v1", "e1": "v1", "e2": "v2"}
	chosen := map[string]int{}
	for i := range 200 {
		call := turnCall(string(rune('a' + i)))
		version, err := d.ChooseVersion(now, call)
		if err != nil {
			t.Fatal(err)
		}
		p, err := d.Place(now, call, nil)
		if err != nil || versions[p.Endpoint] != version {
			t.Fatalf("call %d: version %q, placed at %q with error %v", i, version, p.Endpoint, err)
		}
		chosen[version]++
		d.Done(now, p.Endpoint, DirectServed, time.Second)
	}
	if chosen["v1"] == 0 || chosen["v2"] == 0 {
		t.Errorf("calls by version: %v, want both", chosen)
	}
}

package jkplatform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// Guards against two holders of one lease, against fencing tokens that go back,
// and against a paused holder that renews after another one took over.
func TestLeases(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	p := jkstandin.NewPlatform(timer, jkstandin.PlatformLimits{})
	server := httptest.NewServer(p)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := jkplatform.NewHTTP(server.URL, &http.Client{Transport: transport})
	ctx := t.Context()

	first, err := c.AcquireLease(ctx, "lease/a", "h1", 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var exists *jkplatform.ExistsError
	if _, err := c.AcquireLease(ctx, "lease/a", "h2", 5*time.Second); !errors.As(err, &exists) || string(exists.Present.Value) != "h1" {
		t.Fatalf("lease is held: %v", err)
	}
	clock.Advance(4 * time.Second)
	if first, err = c.RenewLease(ctx, first, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	clock.Advance(4 * time.Second)
	if held, err := c.ReadLease(ctx, "lease/a"); err != nil || held.Holder != "h1" {
		t.Fatalf("renewed lease: %+v %v", held, err)
	}
	clock.Advance(time.Second)
	var notFound *jkplatform.NotFoundError
	if _, err := c.ReadLease(ctx, "lease/a"); !errors.As(err, &notFound) {
		t.Fatalf("expired lease: %v", err)
	}
	second, err := c.AcquireLease(ctx, "lease/a", "h2", 5*time.Second)
	if err != nil || second.Token <= first.Token {
		t.Fatalf("token %d after %d: %v", second.Token, first.Token, err)
	}
	var conflict *jkplatform.ConflictError
	if _, err := c.RenewLease(ctx, first, 5*time.Second); !errors.As(err, &conflict) {
		t.Fatalf("renewal after expiry: %v", err)
	}
	if err := c.ReleaseLease(ctx, first); !errors.As(err, &conflict) {
		t.Fatalf("release after expiry: %v", err)
	}
	if err := c.ReleaseLease(ctx, second); err != nil {
		t.Fatal(err)
	}
}

// Guards against a host list that shows a change before its lag has passed.
func TestHostListLag(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	p := jkstandin.NewPlatform(timer, jkstandin.PlatformLimits{})
	server := httptest.NewServer(p)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := jkplatform.NewHTTP(server.URL, &http.Client{Transport: transport})

	p.SetHosts([]jkplatform.HostEntry{{Host: "a1", Zone: "a", State: jkplatform.HostLive}})
	p.SetFaults(jkstandin.PlatformFaults{HostListLagMS: 2000})
	clock.Advance(2 * time.Second)
	p.SetHosts([]jkplatform.HostEntry{{Host: "a1", Zone: "a", State: jkplatform.HostLeaving}})
	for _, want := range []jkplatform.HostState{jkplatform.HostLive, jkplatform.HostLeaving} {
		hosts, err := c.Hosts(t.Context())
		if err != nil || len(hosts) != 1 || hosts[0].State != want {
			t.Fatalf("hosts %+v, want %s: %v", hosts, want, err)
		}
		clock.Advance(2 * time.Second)
	}
}

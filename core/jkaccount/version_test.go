package jkaccount

import (
	"errors"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
)

// streamReservation reserves tokens for a request that brings events at a software version.
func streamReservation(request, version string) jkforward.Reservation {
	r := jkforward.Reservation{Program: "p", Request: request, Tokens: 10, Budget: 100, Retention: time.Minute}
	if version != "" {
		r.Request = jkforward.AtVersion(request, version)
	}
	return r
}

// begin reserves tokens for a stream at a version.
func (f *fixture) begin(t *testing.T, request, version string) {
	t.Helper()
	if err := f.client.Reserve(t.Context(), streamReservation(request, version)); err != nil {
		t.Fatal(err)
	}
}

// checkContinued continues a stream through another host, which knows only what the copies say. An
// empty version means that the stream isn't known.
func (f *fixture) checkContinued(t *testing.T, request, origin, want string) {
	t.Helper()
	other := NewClient(f.client.Options)
	got, err := other.Continue(t.Context(), streamReservation(request, ""), origin)
	var unknown *jkforward.UnknownStreamError
	if want == "" && !errors.As(err, &unknown) || want != "" && (err != nil || got != want) {
		t.Errorf("stream %q goes on at version %q with error %v, want %q", origin, got, err, want)
	}
}

// Guards against a stream whose version is forgotten with the host that began it, or once its
// reservation is settled.
func TestVersionOfAStreamOutlivesItsHost(t *testing.T) {
	f := newFixture(t)
	f.begin(t, "r1", "v1")
	f.checkContinued(t, "r2", "r1", "v1")
	f.checkContinued(t, "r3", "r1", "v1")
	f.client.Settle(jkforward.Settlement{Program: "p", Request: jkforward.AtVersion("r1", "v1"), Tokens: 10, Retention: time.Minute})
	f.client.Flush(time.Second)
	f.lost["a"] = true
	f.checkContinued(t, "r4", "r1", "v1")
	f.checkContinued(t, "r5", "r2", "")
	f.checkContinued(t, "r6", "r", "")
}

// Guards against a stream that is taken for unknown because the copies that answer first lack its
// reservation: a zone that was cut off has granted it alone.
func TestVersionKnownToOneCopyIsFound(t *testing.T) {
	f := newFixture(t)
	f.cut["a"], f.cut["b"] = true, true
	f.begin(t, "r1", "v1")
	f.cut["a"], f.cut["b"] = false, false
	f.stalls["c"].Lock()
	time.AfterFunc(100*time.Millisecond, f.stalls["c"].Unlock)
	f.checkContinued(t, "r2", "r1", "v1")
}

// Guards against a stream without a budget whose version is forgotten, and against one version that
// is taken for that of a request whose id was used twice.
func TestVersionOfAStreamWithoutABudget(t *testing.T) {
	f := newFixture(t)
	for _, version := range []string{"v1", "v2"} {
		r := jkforward.Reservation{Program: "stream", Request: jkforward.AtVersion("r1", version), Retention: time.Minute}
		if err := f.client.Reserve(t.Context(), r); err != nil {
			t.Fatal(err)
		}
		got, err := f.client.Continue(t.Context(), jkforward.Reservation{Program: "stream", Request: "r2", Retention: time.Minute}, "r1")
		var unknown *jkforward.UnknownStreamError
		if version == "v1" && (err != nil || got != "v1") || version == "v2" && !errors.As(err, &unknown) {
			t.Errorf("the stream goes on at version %q with error %v", got, err)
		}
	}
}

// Guards against a budget that a continued stream exceeds.
func TestContinuedStreamKeepsItsBudget(t *testing.T) {
	f := newFixture(t)
	f.begin(t, "r1", "v1")
	r := streamReservation("r2", "")
	r.Tokens = 95
	_, err := f.client.Continue(t.Context(), r, "r1")
	var spent *jkforward.BudgetSpentError
	if !errors.As(err, &spent) {
		t.Errorf("error is %v, want budget spent", err)
	}
}

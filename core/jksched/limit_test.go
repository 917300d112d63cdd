package jksched

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// placeAt places a call and returns when it is sent, or the refusal.
func placeAt(t rapid.TB, d *DirectPlacer, now time.Time) (at time.Time, refused *RefusedError) {
	p, err := d.Place(now, turnCall("p"), nil)
	if errors.As(err, &refused) {
		return time.Time{}, refused
	}
	if err != nil {
		t.Fatal(err)
	}
	d.Done(now, p.Endpoint, DirectServed, time.Millisecond)
	return now.Add(p.SendDelay), nil
}

// Guards against bursts: whatever the order of requests and of changes of the rate, a host
// sends to a limited endpoint at most one request more than the highest rate of a span
// allows.
func TestHostStaysWithinItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestDirect(1)
		now := time.Unix(0, 0)
		rates := []float64{0.25, 1, 6.5, 40}
		highest := rapid.SampledFrom(rates).Draw(t, "rate")
		d.SetLimit(now, "e0", highest)
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
				rate := rapid.SampledFrom(rates).Draw(t, "rate")
				d.SetLimit(now, "e0", rate)
				highest = max(highest, rate)
			}
			at, refused := placeAt(t, d, now)
			if refused != nil {
				if refused.RetryAfter <= 0 || refused.RetryAfter > maxReturnDelay {
					t.Fatalf("refused with %+v, want a time to return", *refused)
				}
				continue
			}
			if at.Sub(now) > d.opt.MaxSendDelay {
				t.Fatalf("a call waits for %s, want at most %s", at.Sub(now), d.opt.MaxSendDelay)
			}
			sent = append(sent, at)
		}
		const span = 4 * time.Second
		for i := range sent {
			n := 0
			for _, at := range sent {
				if !at.Before(sent[i]) && at.Before(sent[i].Add(span)) {
					n++
				}
			}
			if allowed := int(highest*span.Seconds()) + 1; n > allowed {
				t.Fatalf("%d requests in %s at a rate of %g, want at most %d", n, span, highest, allowed)
			}
		}
	})
}

// Guards against callers that all return at the same moment after a refusal.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	d := newTestDirect(1)
	now := time.Unix(0, 0)
	d.SetLimit(now, "e0", 2)
	last := time.Duration(0)
	for range 4 {
		_, refused := placeAt(t, d, now)
		if refused == nil {
			continue
		}
		if refused.Reason != ReasonLimited {
			t.Errorf("refused because of %s, want %s", refused.Reason, ReasonLimited)
		}
		if last > 0 && refused.RetryAfter-last != time.Second/2 {
			t.Errorf("told to return %s after the caller before, want the time between two places", refused.RetryAfter-last)
		}
		last = refused.RetryAfter
	}
	if last == 0 {
		t.Error("no call was refused")
	}
}

// Guards against calls that wait for a limited endpoint while another one is free, and
// against a limit that outlives its end.
func TestOtherEndpointsTakeWhatALimitLeaves(t *testing.T) {
	d := newTestDirect(2)
	now := time.Unix(0, 0)
	d.SetLimit(now, "e0", 0)
	for range 20 {
		if p, err := d.Place(now, turnCall("p"), nil); err != nil || p.Endpoint != "e1" || p.SendDelay != 0 {
			t.Fatalf("placed %+v, error %v, want e1 without a delay", p, err)
		}
	}
	if _, ok := d.Reserve(now, "e0"); ok {
		t.Error("a retry at an endpoint without a place for this host")
	}
	d.ClearLimit("e0")
	if p, err := d.Place(now, turnCall("p"), []string{"e1"}); err != nil || p.Endpoint != "e0" {
		t.Errorf("placed %+v, error %v, want e0 after the end of its limit", p, err)
	}
}

// Guards against a call that waits for its place and then can't end before its deadline.
func TestCallThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	d := newTestDirect(1)
	now := time.Unix(0, 0)
	d.SetLimit(now, "e0", 2.5)
	if _, refused := placeAt(t, d, now); refused != nil {
		t.Fatal(refused)
	}
	c := turnCall("p")
	c.Deadline = now.Add(450 * time.Millisecond)
	var refused *RefusedError
	if _, err := d.Place(now, c, nil); !errors.As(err, &refused) || refused.Reason != ReasonDeadline {
		t.Errorf("error is %v, want a refusal because of the deadline", err)
	}
}

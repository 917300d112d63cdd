package jkgossip

import (
	"testing"
	"time"

	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkwire"
)

// Guards against a load digest larger than the size that the bandwidth limits assume.
func TestLoadDigestFitsTypicalSize(t *testing.T) {
	l := jksched.Load{
		Endpoint: "engine-1234", Model: "chef-8b", At: time.Unix(1796363803, 123456789), Running: 14, Queued: 3, Limit: 16,
		PredictedWait: 1234567 * time.Microsecond, TokenPace: 23456 * time.Microsecond, PrefillPace: 234 * time.Microsecond,
		Breaker: jksched.BreakerClosed,
	}
	body, err := jkwire.Encode(&l)
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > typicalLoadBytes {
		t.Errorf("load digest has %d bytes, the limits assume %d", len(body), typicalLoadBytes)
	}
}

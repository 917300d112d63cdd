package jksched

import (
	"errors"
	"math"
	"time"
)

// ExclusionReason is why an endpoint can't be chosen for a call.
type ExclusionReason string

// Reasons of exclusions.
const (
	ExcludedState       ExclusionReason = "state"
	ExcludedVersion     ExclusionReason = "version"
	ExcludedUnreachable ExclusionReason = "zone_unreachable"
	ExcludedBreaker     ExclusionReason = "breaker_open"
	ExcludedLimited     ExclusionReason = "limited"
	ExcludedFull        ExclusionReason = "queue_full"
)

// Candidate is what the placer expects of a call at one endpoint.
type Candidate struct {
	Endpoint string
	Zone     string
	// Wait is the time until the call gets a slot, Run the time that it then takes, and Cost what
	// the endpoints are compared by.
	Wait, Run, Cost time.Duration
	// Calls is the estimated number of calls at the endpoint, and CachedTokens the number of
	// prompt tokens that it is expected to have.
	Calls        int
	CachedTokens int64
	// Excluded is empty for an endpoint that may be chosen.
	Excluded ExclusionReason
}

// Explanation is how the endpoint of a call would be chosen.
type Explanation struct {
	// Endpoint is empty if the call would be refused.
	Endpoint string
	// Refusal is the reason of the refusal.
	Refusal    Reason
	Candidates []Candidate
}

// Explain returns which endpoint Place would choose now, and what it expects of each endpoint of the
// service. It counts no call.
func (d *DirectPlacer) Explain(now time.Time, c Call) Explanation {
	returnAt, known := d.returnAt[c.Service]
	best, _, err := d.choose(now, c, nil)
	if known {
		d.returnAt[c.Service] = returnAt
	} else {
		delete(d.returnAt, c.Service)
	}
	out := Explanation{}
	var refused *RefusedError
	if errors.As(err, &refused) {
		out.Refusal = refused.Reason
	} else if best != nil {
		out.Endpoint = best.endpoint.ID
	}
	d.bestCost = math.MaxInt64
	for _, row := range d.services[c.Service] {
		candidate := Candidate{
			Endpoint: row.endpoint.ID, Zone: row.endpoint.Zone, Wait: d.predictedWait(now, c, row), Run: d.runTime(now, c, row),
			Cost: d.cost(now, c, row), Calls: d.occupancy(now, row), Excluded: d.exclusion(now, c, row),
		}
		if c.Kind == KindModel {
			candidate.CachedTokens = max(c.PromptTokens-row.uncached, 0)
		}
		out.Candidates = append(out.Candidates, candidate)
	}
	return out
}

// exclusion returns why an endpoint can't be chosen, or an empty reason.
func (d *DirectPlacer) exclusion(now time.Time, c Call, row *directRow) ExclusionReason {
	delay, allowed := row.sendDelay(now)
	switch {
	case row.endpoint.State != StateLive:
		return ExcludedState
	case c.VersionBound && row.endpoint.Version != c.Version:
		return ExcludedVersion
	case d.unreachableZones[row.endpoint.Zone]:
		return ExcludedUnreachable
	case !allowed || delay > d.opt.MaxSendDelay:
		return ExcludedLimited
	case !d.available(now, row):
		return ExcludedBreaker
	case d.queueRetryAfter(now, row) > 0:
		return ExcludedFull
	}
	return ""
}

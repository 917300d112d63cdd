package jksched

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// available reports whether the endpoint's zone is reachable and its breaker admits a
// call: it is closed, or its pause has ended and no probe is running.
func (d *DirectPlacer) available(now time.Time, row *directRow) bool {
	if d.unreachableZones[row.endpoint.Zone] {
		return false
	}
	if row.faults < d.opt.BreakerFaults {
		return true
	}
	return !now.Before(row.openUntil) && !row.probing
}

// occupancy estimates the number of calls at the endpoint, including waiting ones. The
// calls of other hosts come from the endpoint's load report. As the report ages, the
// estimate moves towards the mean of the service, because an endpoint without recent
// reports is rarely idle.
func (d *DirectPlacer) occupancy(now time.Time, row *directRow) int {
	return row.ownCalls + int(d.otherCalls(row, d.otherHostCalls[row.endpoint.Service], now.Sub(row.loadAt))+0.5)
}

// otherCalls estimates the number of calls of other hosts at the endpoint; others is the mean of
// the service, and age that of the endpoint's load report.
func (d *DirectPlacer) otherCalls(row *directRow, others float64, age time.Duration) float64 {
	if !row.loadAt.IsZero() && age < d.opt.MaxLoadAge {
		fresh := 1 - float64(age)/float64(d.opt.MaxLoadAge)
		if d.opt.Learned && row.endpoint.Kind == KindService {
			fresh = d.freshness(row, age)
		}
		others += (reportedOtherHostCalls(row) - others) * fresh
	}
	return others
}

// reportedOtherHostCalls returns the number of calls of other hosts in the last report.
func reportedOtherHostCalls(row *directRow) float64 {
	return float64(max(row.load.Running+row.load.Waiting-row.ownCallsAtLoad, 0))
}

// updateOtherHostCalls computes the mean number of calls of other hosts on the endpoints
// of a service whose last report is younger than MaxLoadAge.
func (d *DirectPlacer) updateOtherHostCalls(now time.Time, service string) {
	sum, n := 0.0, 0
	for _, row := range d.services[service] {
		row.loadAge = now.Sub(row.loadAt)
		if !row.loadAt.IsZero() && row.loadAge < d.opt.MaxLoadAge {
			// Bounded by the slots, because the queue of a full endpoint says little
			// about the other endpoints.
			sum += min(reportedOtherHostCalls(row), float64(d.slots(row)))
			n++
		}
	}
	if n == 0 {
		delete(d.otherHostCalls, service)
		return
	}
	d.otherHostCalls[service] = sum / float64(n)
}

// serviceUtilization returns the share of a service's slots that other hosts use, at
// most 1.
func (d *DirectPlacer) serviceUtilization(service string) float64 {
	rows := d.services[service]
	if len(rows) == 0 {
		return 0
	}
	return min(d.otherHostCalls[service]/float64(d.slots(rows[0])), 1)
}

// IsCrowded reports whether the endpoint has more calls than slots.
func (d *DirectPlacer) IsCrowded(now time.Time, id string) bool {
	row, ok := d.endpoints[id]
	return ok && d.occupancy(now, row) > d.slots(row)
}

// slots returns the endpoint's slots as reported or, before the first report, configured.
func (d *DirectPlacer) slots(row *directRow) int {
	if row.load.Slots > 0 {
		return row.load.Slots
	}
	return max(row.endpoint.Slots, 1)
}

// pace predicts the time of work on the endpoint relative to its service. The last
// measured or reported pace moves towards the mean as it ages, because neighbouring
// workloads come and go within a second.
func (d *DirectPlacer) pace(now time.Time, row *directRow) float64 {
	usual := row.meanPace
	if usual == 0 {
		usual = 1
	}
	if row.recentPace == 0 && (row.load.Pace == 0 || row.load.Pace == 1) {
		return usual
	}
	pace, at := row.recentPace, row.recentPaceAt
	if row.load.Pace > 0 && row.loadAt.After(at) {
		pace, at = usual*row.load.Pace, row.loadAt
	}
	if pace == 0 {
		return usual
	}
	fresh := max(0, 1-float64(now.Sub(at))/float64(d.opt.MaxPaceAge))
	return usual + (pace-usual)*fresh
}

// Weights of one sample in the exponential moving averages of the pace.
const (
	meanPaceWeight   = 0.02
	recentPaceWeight = 0.4
)

// observePace adds a sample of the endpoint's pace relative to its service.
func (r *directRow) observePace(now time.Time, ratio float64, maxAge time.Duration) {
	if r.meanPace == 0 {
		r.meanPace = 1
	}
	r.meanPace += (ratio - r.meanPace) * meanPaceWeight
	if r.recentPace == 0 || now.Sub(r.recentPaceAt) > maxAge {
		r.recentPace = r.meanPace
	}
	r.recentPace += (ratio - r.recentPace) * recentPaceWeight
	r.recentPaceAt = now
}

// maxPaceRatio bounds a single sample of an endpoint's pace. A far longer gap comes from a
// preemption or a lost connection.
const maxPaceRatio = 6

// runTime predicts how long the call runs on the endpoint once it has a slot.
func (d *DirectPlacer) runTime(now time.Time, c Call, row *directRow) time.Duration {
	if d.opt.Learned {
		return d.outlookOf(now, c, row).run
	}
	if c.Kind == KindService {
		return time.Duration(float64(d.serviceTime(row)) * d.pace(now, row))
	}
	running := min(d.occupancy(now, row), d.slots(row))
	output := c.MaxTokens
	if output <= 0 {
		output = row.engine.outputTokens()
	}
	token := row.engine.tokenPace() + time.Duration(running)*row.engine.perCall()
	work := time.Duration(output)*token + time.Duration(row.uncached)*row.engine.prefillPace()
	return time.Duration(float64(work) * d.pace(now, row))
}

// serviceTime returns the mean time of a call of a plain service, or the default.
func (d *DirectPlacer) serviceTime(row *directRow) time.Duration {
	if d.opt.Learned {
		return time.Duration(d.serviceWork)
	}
	if row.serviceTime > 0 {
		return row.serviceTime
	}
	return d.opt.ServiceTime
}

// predictedWait returns the predicted time until a slot is free.
func (d *DirectPlacer) predictedWait(now time.Time, c Call, row *directRow) time.Duration {
	if d.opt.Learned {
		return d.outlookOf(now, c, row).wait
	}
	over := d.occupancy(now, row) - d.slots(row) + 1
	if over <= 0 {
		return 0
	}
	return d.runTime(now, c, row) * time.Duration(over) / time.Duration(d.slots(row))
}

// queueRetryAfter returns the predicted time until the endpoint's queue has room, or 0
// if it has room now.
func (d *DirectPlacer) queueRetryAfter(now time.Time, row *directRow) time.Duration {
	slots := d.slots(row)
	occupied := int(row.outlook.calls + 0.5)
	if !d.opt.Learned {
		occupied = d.occupancy(now, row)
	}
	over := occupied - int(float64(slots)*(1+d.opt.QueuePerSlot))
	if over < 0 {
		return 0
	}
	mean := d.serviceTime(row)
	if row.endpoint.Kind == KindModel {
		mean = time.Duration(row.engine.outputTokens()) * row.engine.tokenPace()
	}
	return mean * time.Duration(over+slots) / time.Duration(slots)
}

// cost predicts the latency of the call on the endpoint, plus the delay that it causes to
// the calls running there.
func (d *DirectPlacer) cost(now time.Time, c Call, row *directRow) time.Duration {
	if d.opt.Learned {
		o := d.outlookOf(now, c, row)
		cost := o.wait + o.run + o.caused + d.wayCost(c, row)
		if cost >= d.bestCost {
			// The jitter, whose hash takes time, only adds to it.
			return cost
		}
		return cost + d.jitter(c, row)
	}
	cost := d.predictedWait(now, c, row) + d.runTime(now, c, row)
	occupied := d.occupancy(now, row)
	if c.Kind == KindModel {
		cost += time.Duration(row.uncached) * row.engine.prefillPace() * time.Duration(occupied)
		// Each running call is slowed by the tokens of this one.
		cost += time.Duration(c.MaxTokens) * row.engine.perCall() * time.Duration(occupied)
	} else {
		// Prefers the endpoint with the most free slots, because other hosts choose
		// at the same time.
		cost += d.serviceTime(row) * time.Duration(occupied) / time.Duration(4*d.slots(row))
	}
	return cost + d.wayCost(c, row) + d.jitter(c, row)
}

// wayCost returns the part of a call's cost that doesn't depend on the work of the endpoint, without
// the jitter.
func (d *DirectPlacer) wayCost(c Call, row *directRow) time.Duration {
	cost := time.Duration(0)
	if d.opt.Delay != nil {
		cost += 2 * d.opt.Delay(d.opt.Zone, row.endpoint.Zone)
	}
	if c.Kind == KindModel && row.endpoint.Zone != d.opt.Zone {
		cost += d.opt.CrossZoneCost
	}
	if row.faults > 0 {
		cost += time.Duration(row.faults) * 50 * time.Millisecond
	}
	return cost
}

// minJitter breaks ties between endpoints of equal cost. jitterShare is the additional
// jitter at full utilization, as a share of a call's usual time;
// TestPeakLoadOfLargeFleet simulates the load that it is for.
const (
	minJitter   = 2 * time.Millisecond
	jitterShare = 1.0
)

// jitter returns a cost derived from a hash of the program and the endpoint. Hosts learn
// of each other's choices late, so that without it all of them would choose the endpoint
// that was the least loaded in the last digests. The higher the utilization, the further
// their choices are spread. Calls of one program get the same jitter on all hosts.
func (d *DirectPlacer) jitter(c Call, row *directRow) time.Duration {
	usual := d.opt.ServiceTime
	switch {
	case d.opt.Learned:
		usual = time.Duration(d.serviceWork)
	case c.Kind == KindModel:
		usual = time.Duration(row.engine.outputTokens()) * row.engine.tokenPace()
	}
	span := minJitter + time.Duration(float64(usual)*d.utilization*jitterShare)
	return time.Duration(float64(pairHash(d.programHash, row.idHash)) / math.MaxUint64 * float64(span))
}

// markPreferred marks the preferred endpoints of the call's shared part and sets how many
// tokens of the prompt each endpoint is expected to read.
func (d *DirectPlacer) markPreferred(c Call) {
	d.placed++
	if c.Kind != KindModel {
		return
	}
	if d.opt.Learned {
		d.markCached(c)
		return
	}
	if len(c.Prefix) > 1 {
		for _, row := range d.preferredEndpoints(c.Service, c.Prefix[0].Hash) {
			row.preferredFor = d.placed
		}
	}
	for _, row := range d.services[c.Service] {
		row.uncached = d.uncachedTokens(c, row)
	}
}

// uncachedTokens estimates how many tokens of the prompt the endpoint has to prefill.
// A part counts as cached only if all parts before it are.
func (d *DirectPlacer) uncachedTokens(c Call, row *directRow) int64 {
	left := c.PromptTokens
	for i, part := range c.Prefix {
		// Other hosts send the same part to the same preferred endpoints, so that it
		// is expected there even if this host hasn't placed it.
		expected := false
		switch {
		case i == 0 && len(c.Prefix) > 1:
			expected = row.preferredFor == d.placed
		case i == len(c.Prefix)-1 && len(d.parts[part.Hash]) == 0:
			expected = row == d.primary
		}
		if !expected && !slices.Contains(d.parts[part.Hash], row) {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// The preferred endpoints of a shared part are a share of the service's endpoints,
// because the memory can't hold all parts on each of them. The share grows with the
// utilization, because another prefill of the part takes less time than a long queue.
const (
	minPreferred       = 3
	idlePreferredShare = 0.25
	fullPreferredShare = 0.5
)

// maxRankedParts bounds the number of shared parts whose ranking is cached.
const maxRankedParts = 512

// preferredEndpoints returns the endpoints on which all hosts expect a shared part to be
// cached.
func (d *DirectPlacer) preferredEndpoints(service, part string) []*directRow {
	ranked := d.rankedFor(service, part)
	if holders, ok := d.assignedHolders(service, part, ranked); ok {
		return holders
	}
	share := idlePreferredShare + (fullPreferredShare-idlePreferredShare)*d.utilization
	return ranked[:min(len(ranked), max(minPreferred, int(float64(len(ranked))*share)))]
}

// rankedFor returns the live endpoints of a service in the order in which they hold a part.
func (d *DirectPlacer) rankedFor(service, part string) []*directRow {
	ranked, known := d.rankedEndpoints[part]
	if !known {
		if len(d.rankedEndpoints) >= maxRankedParts {
			clear(d.rankedEndpoints)
		}
		ranked = d.rankEndpoints(service, part)
		d.rankedEndpoints[part] = ranked
	}
	return ranked
}

// primaryEndpoint returns the endpoint on which all hosts expect a program's own prompt
// part unless they know its holders: the first of the preferred endpoints of its shared
// part by a hash of the program. It is nil for calls without a shared part.
func (d *DirectPlacer) primaryEndpoint(c Call) *directRow {
	if c.Kind != KindModel || len(c.Prefix) < 2 {
		return nil
	}
	var primary *directRow
	for _, row := range d.preferredEndpoints(c.Service, c.Prefix[0].Hash) {
		if primary == nil || pairHash(d.programHash, row.idHash) < pairHash(d.programHash, primary.idHash) {
			primary = row
		}
	}
	return primary
}

// pairHash returns the rank of an endpoint for a key, the same on all hosts.
func pairHash(key, endpoint uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], endpoint)
	return xxhash.Sum64(b[:])
}

// rankEndpoints orders the live endpoints of a service by rendezvous hashing.
func (d *DirectPlacer) rankEndpoints(service, part string) []*directRow {
	var out []*directRow
	for _, row := range d.services[service] {
		if row.endpoint.State == StateLive {
			out = append(out, row)
		}
	}
	key := xxhash.Sum64String(part)
	slices.SortFunc(out, func(a, b *directRow) int { return cmp.Compare(pairHash(key, a.idHash), pairHash(key, b.idHash)) })
	return out
}

// maxHolders bounds the number of holders tracked per prompt part.
const maxHolders = 16

// recordPlacement records the endpoint as a holder of the call's prompt parts.
func (d *DirectPlacer) recordPlacement(c Call, row *directRow) {
	for _, part := range c.Prefix {
		d.addHolder(part.Hash, row)
	}
}

// MergeHolder records the endpoint at which another host placed a call with a prompt
// part.
func (d *DirectPlacer) MergeHolder(id, part string) {
	if row, ok := d.endpoints[id]; ok {
		d.addHolder(part, row)
	}
}

// addHolder records a holder of a prompt part and evicts the oldest parts beyond MaxParts.
func (d *DirectPlacer) addHolder(part string, row *directRow) {
	holders, known := d.parts[part]
	if slices.Contains(holders, row) {
		return
	}
	if !known {
		d.partOrder = append(d.partOrder, part)
	}
	if len(holders) >= maxHolders {
		holders = holders[1:]
	}
	d.parts[part] = append(holders, row)
	for len(d.partOrder) > d.opt.MaxParts {
		delete(d.parts, d.partOrder[0])
		d.partOrder = d.partOrder[1:]
	}
}

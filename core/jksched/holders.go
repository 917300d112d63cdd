package jksched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// partDemand learns the shares of shared prompt parts in the calls of a service, and assigns
// endpoints to the parts.
type partDemand struct {
	parts map[string]*demandedPart
	// calls is the number of calls, halved together with those of the parts.
	calls float64
	// holders are the endpoints assigned to parts; nil until there are enough calls.
	holders    map[string][]*directRow
	assignedAt time.Time
	// stale is set when the endpoints have changed since the assignment.
	stale bool
}

// demandedPart is the demand for one part.
type demandedPart struct {
	calls  float64
	tokens int64
	// level is the rounded share of the calls: 2 to the power of -level/4. It is noLevel for a part
	// without a share yet.
	level int
}

const (
	noLevel = -1
	// levelsPerOctave is the number of levels for a factor of two. With two, rounding alone would
	// change a share by up to a fifth.
	levelsPerOctave = 4
	// maxDemandCalls is the number of calls at which all counts are halved, so that the shares are
	// those of the last one to two thousand calls.
	maxDemandCalls = 2048
	// minDemandCalls is the number of calls from which the shares are used.
	minDemandCalls = 128
	// maxDemandedParts bounds the parts of a service. Parts are forgotten when their count is
	// halved to less than one call.
	maxDemandedParts = 256
	// levelMargin is how far a share has to be from its level before the level changes. Half a
	// level would make it change back and forth.
	levelMargin = 0.8
	// rareLevel is the level from which a part has minPreferred holders by its hash alone: a share
	// of 1/128.
	rareLevel = 28
	// sharedCacheShare is the share of an endpoint's cache for shared parts. The rest is for running
	// calls and the histories of programs.
	sharedCacheShare = 0.25
	// unknownPartsPerEndpoint is assumed if the size of the cache isn't known.
	unknownPartsPerEndpoint = 2
	maxPartsPerEndpoint     = 8
	// assignInterval is the least time between two assignments because of changed shares, and
	// changeInterval because of changed endpoints.
	assignInterval = 4 * time.Second
	changeInterval = 200 * time.Millisecond
	// loadSlack is how much more than the others an endpoint may get before a part passes it over,
	// as a share of the mean load. With 0.1, hosts that had seen different calls agreed on 0.92
	// instead of 0.95 of the holders, and the balance was no better.
	loadSlack = 0.3
)

// SetCacheTokens sets the size of the cache of a service's engines; zero means unknown.
func (d *DirectPlacer) SetCacheTokens(service string, tokens int64) {
	if d.cacheTokens[service] == tokens {
		return
	}
	d.cacheTokens[service] = tokens
	d.endpointsChanged(service)
}

// observeDemand counts the shared part of a call that was placed.
func (d *DirectPlacer) observeDemand(c Call) {
	if len(c.Prefix) > 1 {
		d.MergeDemand(c.Service, c.Prefix[0], 1)
	}
}

// maxMergedCalls bounds the calls that one report of another host counts for.
const maxMergedCalls = 64

// MergeDemand counts calls with a shared part that other hosts have placed.
func (d *DirectPlacer) MergeDemand(service string, part Segment, calls int) {
	if !d.opt.Learned || calls <= 0 || part.Tokens <= 0 {
		return
	}
	demand := d.demands[service]
	if demand == nil {
		if len(d.services[service]) == 0 {
			return
		}
		demand = &partDemand{parts: map[string]*demandedPart{}}
		d.demands[service] = demand
	}
	demand.observe(part, float64(min(calls, maxMergedCalls)))
}

func (p *partDemand) observe(part Segment, calls float64) {
	if p.calls >= maxDemandCalls {
		p.halve()
	}
	p.calls += calls
	known := p.parts[part.Hash]
	if known == nil {
		if len(p.parts) >= maxDemandedParts {
			return
		}
		known = &demandedPart{level: noLevel}
		p.parts[part.Hash] = known
	}
	known.calls += calls
	known.tokens = part.Tokens
}

func (p *partDemand) halve() {
	p.calls /= 2
	for hash, part := range p.parts {
		if part.calls /= 2; part.calls < 1 {
			delete(p.parts, hash)
		}
	}
}

// updateLevels rounds the shares and reports whether a part got another level.
func (p *partDemand) updateLevels() (changed bool) {
	for _, part := range p.parts {
		exact := -levelsPerOctave * math.Log2(part.calls/p.calls)
		if part.level != noLevel && math.Abs(exact-float64(part.level)) < levelMargin {
			continue
		}
		level := int(math.Round(exact))
		// A change among rare parts has no effect.
		changed = changed || min(level, rareLevel) != min(part.level, rareLevel)
		part.level = level
	}
	return changed
}

// updateHolders renews the assignment of a service's endpoints to shared parts if it is due.
func (d *DirectPlacer) updateHolders(now time.Time, service string) {
	demand := d.demands[service]
	if demand == nil || demand.calls < minDemandCalls {
		return
	}
	age := now.Sub(demand.assignedAt)
	if demand.holders != nil && age < assignInterval && (!demand.stale || age < changeInterval) {
		return
	}
	changed := demand.updateLevels()
	demand.assignedAt = now
	if changed || demand.stale || demand.holders == nil {
		d.assignHolders(service, demand)
	}
}

// assignedHolders returns the endpoints assigned to a part; ranked is the part's hash order. It
// reports false if the shares of the parts aren't known yet.
func (d *DirectPlacer) assignedHolders(service, part string, ranked []*directRow) ([]*directRow, bool) {
	demand := d.demands[service]
	if !d.opt.Learned || demand == nil || demand.holders == nil {
		return nil, false
	}
	if holders := demand.holders[part]; holders != nil {
		return holders, true
	}
	return ranked[:min(len(ranked), minPreferred)], true
}

// popularParts returns the parts that aren't rare in the order in which they are assigned. All
// hosts whose levels agree use the same order.
func (p *partDemand) popularParts() []string {
	var out []string
	for hash, part := range p.parts {
		if part.level != noLevel && part.level < rareLevel {
			out = append(out, hash)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.parts[a].level, p.parts[b].level), cmp.Compare(a, b))
	})
	return out
}

// share returns the rounded share of a part.
func (p *demandedPart) share() float64 { return math.Pow(2, -float64(p.level)/levelsPerOctave) }

// assignHolders assigns the live endpoints of a service to its popular parts. The number of holders
// of a part follows its share, and each endpoint is expected to get the same number of calls.
func (d *DirectPlacer) assignHolders(service string, demand *partDemand) {
	demand.holders, demand.stale = map[string][]*directRow{}, false
	popular := demand.popularParts()
	perEndpoint := d.partsPerEndpoint(service, demand, popular)
	load, total := map[*directRow]float64{}, 0.0
	for _, hash := range popular {
		ranked := d.rankedFor(service, hash)
		share := demand.parts[hash].share()
		n := int(math.Ceil(share * float64(len(ranked)) * perEndpoint))
		n = min(max(n, minPreferred), len(ranked))
		if n == 0 {
			return
		}
		total += share
		holders := chooseHolders(ranked, n, load, loadSlack*total/float64(len(ranked)))
		for _, row := range holders {
			load[row] += share / float64(n)
		}
		demand.holders[hash] = holders
	}
}

// partsPerEndpoint returns the mean number of parts that an endpoint has room for.
func (d *DirectPlacer) partsPerEndpoint(service string, demand *partDemand, popular []string) float64 {
	tokens, shares := 0.0, 0.0
	for _, hash := range popular {
		part := demand.parts[hash]
		tokens += part.share() * float64(part.tokens)
		shares += part.share()
	}
	cache := float64(d.cacheTokens[service])
	if cache == 0 || tokens == 0 {
		return unknownPartsPerEndpoint
	}
	return min(max(cache*sharedCacheShare*shares/tokens, 1), maxPartsPerEndpoint)
}

// chooseHolders returns n endpoints. Each zone gets its share of them, because hosts prefer the
// endpoints of their own zone. In a zone the endpoints are taken in their hash order, passing over
// those that have more load than the least loaded ones by more than the slack.
func chooseHolders(ranked []*directRow, n int, load map[*directRow]float64, slack float64) []*directRow {
	if n == len(ranked) {
		return ranked
	}
	zones := map[string][]*directRow{}
	var names []string
	for _, row := range ranked {
		zone := row.endpoint.Zone
		if zones[zone] == nil {
			names = append(names, zone)
		}
		zones[zone] = append(zones[zone], row)
	}
	out := make([]*directRow, 0, n)
	left, endpoints := n, len(ranked)
	// The zones are in the order of their first endpoints in the hash order, so that the remainders
	// of different parts go to different zones.
	for _, name := range names {
		rows := zones[name]
		quota := min((left*len(rows)+endpoints-1)/endpoints, len(rows))
		left, endpoints = left-quota, endpoints-len(rows)
		out = append(out, leastLoaded(rows, quota, load, slack)...)
	}
	return out
}

// leastLoaded returns n of the rows in their order without those whose load exceeds that of the
// n-th least loaded one by more than the slack.
func leastLoaded(rows []*directRow, n int, load map[*directRow]float64, slack float64) []*directRow {
	if n == 0 {
		return nil
	}
	loads := make([]float64, 0, len(rows))
	for _, row := range rows {
		loads = append(loads, load[row])
	}
	slices.Sort(loads)
	bound := loads[n-1] + slack
	out := make([]*directRow, 0, n)
	for _, row := range rows {
		if load[row] <= bound && len(out) < n {
			out = append(out, row)
		}
	}
	return out
}

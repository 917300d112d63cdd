package jksched

import (
	"slices"
	"time"
)

// Placer chooses endpoints for the calls of one home. It works on delayed load digests,
// corrected by its own placements since each digest.
type Placer struct {
	opt       Options
	endpoints map[string]*placerRow
	// byTarget lists the endpoints of each model or service, byZone those in each zone.
	byTarget       map[target][]*placerRow
	byZone         map[zoneTarget][]*placerRow
	cacheLocations map[string]cacheLocation
	holders        map[string][]*placerRow
	outputs        outputMeans
	// promptUses is the number of recent uses per shared prompt, halved every useHalfLife.
	promptUses   map[string]float64
	usesHalvedAt time.Time
	// now is the time of the current decision, scratch the buffer for its candidates.
	now     time.Time
	scratch []candidate
}

// target is a model or a service.
type target struct {
	kind Kind
	name string
}

type zoneTarget struct {
	target
	zone string
}

// placerRow is the home's state for one endpoint.
type placerRow struct {
	endpoint Endpoint
	load     Load
	// unreported holds the times of the home's placements that load can't include yet.
	unreported []time.Time
}

// cacheLocation is the endpoint that has a program's history cached.
type cacheLocation struct {
	row    *placerRow
	tokens int64
}

// candidate is an endpoint considered for a call, with its predicted cost and wait.
type candidate struct {
	row  *placerRow
	cost time.Duration
	wait time.Duration
}

// NewPlacer returns an empty placer.
func NewPlacer(opt Options) *Placer {
	return &Placer{
		opt:            opt,
		endpoints:      map[string]*placerRow{},
		byTarget:       map[target][]*placerRow{},
		byZone:         map[zoneTarget][]*placerRow{},
		cacheLocations: map[string]cacheLocation{},
		holders:        map[string][]*placerRow{},
		outputs:        outputMeans{},
		promptUses:     map[string]float64{},
	}
}

// Endpoints returns the number of known endpoints.
func (p *Placer) Endpoints() int { return len(p.endpoints) }

// Programs returns the number of programs whose cache location is known.
func (p *Placer) Programs() int { return len(p.cacheLocations) }

// SetEndpoint adds or replaces an endpoint.
func (p *Placer) SetEndpoint(e Endpoint) {
	row, ok := p.endpoints[e.ID]
	if !ok {
		row = &placerRow{}
		p.endpoints[e.ID] = row
	} else {
		p.unindex(row)
	}
	row.endpoint = e
	for _, t := range targetsOf(e) {
		p.byTarget[t] = append(p.byTarget[t], row)
		z := zoneTarget{t, e.Zone}
		p.byZone[z] = append(p.byZone[z], row)
	}
}

// RemoveEndpoint removes an endpoint.
func (p *Placer) RemoveEndpoint(id string) {
	row, ok := p.endpoints[id]
	if !ok {
		return
	}
	p.unindex(row)
	p.setHotPrefixes(row, nil)
	row.endpoint.State = StateDown
	delete(p.endpoints, id)
}

// unindex removes an endpoint from the lists of its models, services and zone.
func (p *Placer) unindex(row *placerRow) {
	for _, t := range targetsOf(row.endpoint) {
		p.byTarget[t] = without(p.byTarget[t], row)
		z := zoneTarget{t, row.endpoint.Zone}
		p.byZone[z] = without(p.byZone[z], row)
	}
}

func without(rows []*placerRow, row *placerRow) []*placerRow {
	if i := slices.Index(rows, row); i >= 0 {
		return slices.Delete(rows, i, i+1)
	}
	return rows
}

func targetsOf(e Endpoint) []target {
	if e.Kind == KindService {
		return []target{{KindService, e.Service}}
	}
	out := make([]target, 0, len(e.Models))
	for _, m := range e.Models {
		out = append(out, target{KindModel, m})
	}
	return out
}

func targetOf(c Call) target {
	if c.Kind == KindService {
		return target{KindService, c.Service}
	}
	return target{KindModel, c.Model}
}

// SetLoad records a load digest from a dispatcher. An outdated digest is ignored.
func (p *Placer) SetLoad(l Load) {
	row, ok := p.endpoints[l.Endpoint]
	if !ok || isOutdated(l, row.load) {
		return
	}
	p.setHotPrefixes(row, l.HotPrefixes)
	row.load = l
	row.unreported = slices.DeleteFunc(row.unreported, func(at time.Time) bool { return !at.After(l.At) })
}

// isOutdated reports whether l is older than the known digest, because digests arrived
// out of order. One that is 5 s older or more comes from another dispatcher, whose
// clock is behind, and counts as newer.
func isOutdated(l, known Load) bool {
	late := known.At.Sub(l.At)
	return late > 0 && late < 5*time.Second
}

// setHotPrefixes replaces the shared prefixes that the endpoint has cached.
func (p *Placer) setHotPrefixes(row *placerRow, next []Segment) {
	for _, s := range row.load.HotPrefixes {
		if left := without(p.holders[s.Hash], row); len(left) == 0 {
			delete(p.holders, s.Hash)
		} else {
			p.holders[s.Hash] = left
		}
	}
	for _, s := range next {
		p.holders[s.Hash] = append(p.holders[s.Hash], row)
	}
	row.load.HotPrefixes = next
}

// ProgramEnded removes the program's cache location.
func (p *Placer) ProgramEnded(program string) { delete(p.cacheLocations, program) }

// Finished records where the program's history is cached after a call. If an older
// state of it is still cached on another endpoint, stale is the id of that endpoint, and
// the home sends a release to its dispatcher.
func (p *Placer) Finished(c Call, endpoint string, r Result) (stale string) {
	row, ok := p.endpoints[endpoint]
	if !ok || r.Outcome != OutcomeCompleted || c.Kind != KindModel {
		return ""
	}
	if known, ok := p.cacheLocations[c.Program]; ok && known.row != row {
		stale = known.row.endpoint.ID
	}
	p.outputs.observe(c, r.Generated)
	p.cacheLocations[c.Program] = cacheLocation{row: row, tokens: c.PromptTokens + r.Generated}
	return stale
}

// CacheReleased records that the endpoint dropped the program's cache.
func (p *Placer) CacheReleased(program, endpoint string) {
	if known, ok := p.cacheLocations[program]; ok && known.row.endpoint.ID == endpoint {
		delete(p.cacheLocations, program)
	}
}

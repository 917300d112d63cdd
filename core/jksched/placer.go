package jksched

import (
	"slices"
	"time"
)

// Placer chooses endpoints for the calls of one home. It works on delayed
// digests, corrected by its own placements since the digest.
type Placer struct {
	opt       Options
	endpoints map[string]*placerRow
	// byTarget lists the endpoints of a model or service; byZone the same per
	// zone.
	byTarget map[target][]*placerRow
	byZone   map[zoneTarget][]*placerRow
	programs map[string]programRow
	holders  map[string][]*placerRow
	outputs  outputMeans
	// heat is the recent number of uses per shared prompt.
	heat   map[string]float64
	cooled time.Time
	// now is the time of the decision being made.
	now     time.Time
	scratch []candidate
}

type target struct {
	kind Kind
	name string
}

type zoneTarget struct {
	target
	zone string
}

// placerRow is an endpoint as the home sees it.
type placerRow struct {
	endpoint Endpoint
	load     Load
	// placed counts the home's own placements that the digest can't include yet.
	placed []time.Time
}

// programRow remembers where a program's history is cached.
type programRow struct {
	row    *placerRow
	tokens int64
}

type candidate struct {
	row  *placerRow
	cost time.Duration
	wait time.Duration
}

// NewPlacer returns an empty placer.
func NewPlacer(opt Options) *Placer {
	return &Placer{
		opt:       opt,
		endpoints: map[string]*placerRow{},
		byTarget:  map[target][]*placerRow{},
		byZone:    map[zoneTarget][]*placerRow{},
		programs:  map[string]programRow{},
		holders:   map[string][]*placerRow{},
		outputs:   outputMeans{},
		heat:      map[string]float64{},
	}
}

// Endpoints returns the number of known endpoints.
func (p *Placer) Endpoints() int { return len(p.endpoints) }

// Programs returns the number of programs whose cache position is known.
func (p *Placer) Programs() int { return len(p.programs) }

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

// RemoveEndpoint forgets an endpoint.
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

// SetLoad takes a dispatcher's digest. A digest that overtook a newer one is
// ignored.
func (p *Placer) SetLoad(l Load) {
	row, ok := p.endpoints[l.Endpoint]
	if !ok || overtaken(l, row.load) {
		return
	}
	p.setHotPrefixes(row, l.HotPrefixes)
	row.load = l
	row.placed = slices.DeleteFunc(row.placed, func(at time.Time) bool { return !at.After(l.At) })
}

// overtaken reports whether a newer digest than l is known. A digest that is
// far older comes from another dispatcher, whose clock is behind.
func overtaken(l, known Load) bool {
	late := known.At.Sub(l.At)
	return late > 0 && late < 5*time.Second
}

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

// ProgramEnded forgets where the program's history is cached.
func (p *Placer) ProgramEnded(program string) { delete(p.programs, program) }

// Finished records where the program's history is cached after a call. If an
// older state of it is still cached on another endpoint, stale names that
// endpoint, and the home sends a release to its dispatcher.
func (p *Placer) Finished(c Call, endpoint string, r Result) (stale string) {
	row, ok := p.endpoints[endpoint]
	if !ok || r.Outcome != OutcomeCompleted || c.Kind != KindModel {
		return ""
	}
	if known, ok := p.programs[c.Program]; ok && known.row != row {
		stale = known.row.endpoint.ID
	}
	p.outputs.learn(c, r.Generated)
	p.programs[c.Program] = programRow{row: row, tokens: c.PromptTokens + r.Generated}
	return stale
}

// Released records that the program's cache was dropped at the endpoint.
func (p *Placer) Released(program, endpoint string) {
	if known, ok := p.programs[program]; ok && known.row.endpoint.ID == endpoint {
		delete(p.programs, program)
	}
}

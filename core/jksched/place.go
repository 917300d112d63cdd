package jksched

import (
	"slices"
	"time"
)

// Place chooses the endpoint with the least predicted latency. Excluded
// endpoints are not chosen; a call that moves or is dispatched again excludes
// the endpoint it comes from. The error is a *RefusedError.
func (p *Placer) Place(now time.Time, c Call, exclude ...string) (Placement, error) {
	found := p.candidates(c, exclude)
	if len(found) == 0 {
		return Placement{}, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: p.opt.BreakerPause}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return int(a.cost - b.cost) })
	best := found[0]
	best.row.placed = append(best.row.placed, now)
	out := Placement{Endpoint: best.row.endpoint.ID, PredictedWait: best.wait}
	for _, f := range found[1:] {
		out.Alternatives = append(out.Alternatives, f.row.endpoint.ID)
	}
	return out, nil
}

// candidates returns a bounded number of endpoints: where the program's history
// is, holders of its shared prefix, and a sample of the own zone and of all.
func (p *Placer) candidates(c Call, exclude []string) []candidate {
	p.scratch = p.scratch[:0]
	if known, ok := p.programs[c.Program]; ok {
		p.consider(c, known.row, exclude)
	}
	if len(c.Prefix) > 0 {
		p.sample(c, p.holders[c.Prefix[0].Hash], p.opt.Holders, exclude)
	}
	t := targetOf(c)
	p.sample(c, p.byZone[zoneTarget{t, p.opt.Zone}], p.opt.Sample, exclude)
	p.sample(c, p.byTarget[t], p.opt.Sample, exclude)
	return p.scratch
}

// sample considers up to n rows: a run of the list from a random position.
func (p *Placer) sample(c Call, rows []*placerRow, n int, exclude []string) {
	if len(rows) == 0 {
		return
	}
	start := p.opt.Rand.IntN(len(rows))
	for i := range min(n, len(rows)) {
		p.consider(c, rows[(start+i)%len(rows)], exclude)
	}
}

func (p *Placer) consider(c Call, row *placerRow, exclude []string) {
	if row.endpoint.State != StateLive || row.load.Breaker == BreakerOpen {
		return
	}
	if slices.Contains(exclude, row.endpoint.ID) || !serves(row.endpoint, c) {
		return
	}
	for _, f := range p.scratch {
		if f.row == row {
			return
		}
	}
	cost, wait := p.cost(c, row)
	p.scratch = append(p.scratch, candidate{row: row, cost: cost, wait: wait})
}

func serves(e Endpoint, c Call) bool {
	if c.Kind == KindService {
		return e.Kind == KindService && e.Service == c.Service
	}
	return e.Kind == KindModel && slices.Contains(e.Models, c.Model)
}

// cost predicts the latency of the call on the endpoint, plus the time that the
// call takes from the calls already running there: its prefill holds up every
// running call, and each of its tokens lengthens their steps.
func (p *Placer) cost(c Call, row *placerRow) (cost, wait time.Duration) {
	full, prefill := p.opt.TokenPace, p.opt.PrefillPace
	if row.load.TokenPace > 0 {
		full = row.load.TokenPace
	}
	if row.load.PrefillPace > 0 {
		prefill = row.load.PrefillPace
	}
	if row.load.Breaker == BreakerSlow {
		full = max(full, row.load.CurrentPace)
		wait = time.Duration(p.output(c)) * full
	}
	slots := max(row.endpoint.Slots, 1)
	running := min(row.load.Running+len(row.placed), slots)
	output := time.Duration(p.output(c))
	wait += row.load.PredictedWait + p.ownWait(row, output*full)
	// The batch's share counts twice: for the call and for those beside it.
	batch := 2 * p.opt.BatchShare * float64(running) / float64(slots)
	cost = wait + time.Duration(float64(output*full)*(1-p.opt.BatchShare+batch))
	cost += time.Duration(c.PromptTokens-p.cached(c, row)) * prefill * time.Duration(1+running)
	if p.opt.Delay != nil {
		cost += 2 * p.opt.Delay(p.opt.Zone, row.endpoint.Zone)
	}
	return cost, wait
}

// output is the expected number of generated tokens.
func (p *Placer) output(c Call) int64 {
	mean, ok := p.outputs[c.Workspace]
	if !ok {
		mean = float64(p.opt.OutputTokens)
	}
	return max(min(c.MaxTokens, int64(mean)), 1)
}

// ownWait is the wait caused by the home's placements since the digest.
func (p *Placer) ownWait(row *placerRow, service time.Duration) time.Duration {
	free := max(row.load.Limit, 1) - row.load.Running
	if row.load.Limit == 0 {
		free = row.endpoint.Slots
	}
	over := len(row.placed) - max(free, 0)
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * service / time.Duration(max(row.endpoint.Slots, 1))
}

// cached estimates how many tokens of the prompt the endpoint holds.
func (p *Placer) cached(c Call, row *placerRow) int64 {
	if known, ok := p.programs[c.Program]; ok && known.row == row {
		return min(known.tokens, c.PromptTokens)
	}
	if len(c.Prefix) > 0 && slices.Contains(p.holders[c.Prefix[0].Hash], row) {
		return min(c.Prefix[0].Tokens, c.PromptTokens)
	}
	return 0
}

package jksched

import (
	"slices"
	"time"
)

// Place chooses the endpoint with the least predicted latency. Excluded
// endpoints are not chosen; a call that moves or is dispatched again excludes
// the endpoint it comes from. The error is a *RefusedError.
func (p *Placer) Place(now time.Time, c Call, exclude ...string) (Placement, error) {
	p.now = now
	found := p.candidates(c, exclude)
	if len(found) == 0 {
		return Placement{}, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: p.opt.BreakerPause}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return int(a.cost - b.cost) })
	best := found[0]
	best.row.placed = append(best.row.placed, now)
	p.heatUp(now, c)
	out := Placement{Endpoint: best.row.endpoint.ID, PredictedWait: best.wait}
	for _, f := range found[1:] {
		out.Alternatives = append(out.Alternatives, f.row.endpoint.ID)
	}
	return out, nil
}

// heatUp counts a use of the shared prompt; all counts halve every heatHalfLife.
func (p *Placer) heatUp(now time.Time, c Call) {
	if now.Sub(p.cooled) >= heatHalfLife {
		p.cooled = now
		for hash, n := range p.heat {
			if n < 1 {
				delete(p.heat, hash)
				continue
			}
			p.heat[hash] = n / 2
		}
	}
	if len(c.Prefix) > 0 {
		p.heat[c.Prefix[0].Hash]++
	}
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
	row.forgetPlaced(p.now)
	cost, wait := p.cost(c, row)
	if known, ok := p.programs[c.Program]; ok && known.row == row {
		cost -= time.Duration(p.opt.MoveMargin * float64(cost))
	}
	p.scratch = append(p.scratch, candidate{row: row, cost: cost, wait: wait})
}

// placedFor is how long a placement counts without a digest that includes it.
// It covers two digests, so that a skewed clock of a dispatcher does no harm.
const placedFor = time.Second

func (r *placerRow) forgetPlaced(now time.Time) {
	n := 0
	for n < len(r.placed) && now.Sub(r.placed[n]) > placedFor {
		n++
	}
	r.placed = r.placed[n:]
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
	cost += time.Duration(p.uncached(c, row)) * prefill * time.Duration(1+running)
	if p.opt.Delay != nil {
		cost += 2 * p.opt.Delay(p.opt.Zone, row.endpoint.Zone)
	}
	return cost, wait
}

// output is the expected number of generated tokens.
func (p *Placer) output(c Call) int64 {
	return p.outputs.expect(c, p.opt.OutputTokens)
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

// uncached estimates how many tokens of the prompt the endpoint has to
// prefill. A shared prompt that it doesn't hold serves later calls too, so that
// its cost is divided by the workspace's heat and hot prompts spread. A program
// that is new to an endpoint short of memory evicts others, whose prefill is
// charged as well.
func (p *Placer) uncached(c Call, row *placerRow) float64 {
	known, ok := p.programs[c.Program]
	if ok && known.row == row {
		return float64(max(c.PromptTokens-known.tokens, 0))
	}
	shared := int64(0)
	if len(c.Prefix) > 0 {
		shared = min(c.Prefix[0].Tokens, c.PromptTokens)
	}
	full := (row.load.CacheShare - p.opt.CacheFull) / (1 - p.opt.CacheFull)
	tokens := float64(c.PromptTokens-shared) * (1 + p.opt.EvictCost*min(max(full, 0), 1))
	if shared > 0 && !slices.Contains(p.holders[c.Prefix[0].Hash], row) {
		tokens += float64(shared) / (1 + p.heat[c.Prefix[0].Hash])
	}
	return tokens
}

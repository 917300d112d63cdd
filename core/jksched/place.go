package jksched

import (
	"slices"
	"time"
)

// Place chooses the endpoint with the lowest predicted cost. Excluded endpoints are not
// chosen; a call that moves or is dispatched a second time excludes the endpoint that
// it comes from. The error is a *RefusedError.
func (p *Placer) Place(now time.Time, c Call, exclude ...string) (Placement, error) {
	p.now = now
	found := p.candidates(c, exclude)
	if len(found) == 0 {
		return Placement{}, &RefusedError{Reason: ReasonNoEndpoint, RetryAfter: p.opt.BreakerPause}
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return int(a.cost - b.cost) })
	best := found[0]
	best.row.unreported = append(best.row.unreported, now)
	p.recordPromptUse(now, c)
	out := Placement{Endpoint: best.row.endpoint.ID, PredictedWait: best.wait}
	for _, f := range found[1:] {
		out.Alternatives = append(out.Alternatives, f.row.endpoint.ID)
	}
	return out, nil
}

// recordPromptUse counts a use of the shared prompt; all counts halve every useHalfLife.
func (p *Placer) recordPromptUse(now time.Time, c Call) {
	if now.Sub(p.usesHalvedAt) >= useHalfLife {
		p.usesHalvedAt = now
		for hash, n := range p.promptUses {
			if n < 1 {
				delete(p.promptUses, hash)
				continue
			}
			p.promptUses[hash] = n / 2
		}
	}
	if len(c.Prefix) > 0 {
		p.promptUses[c.Prefix[0].Hash]++
	}
}

// candidates returns a bounded number of endpoints: the one that has the program's
// history cached, some holders of its shared prefix, and samples of the endpoints in
// the host's zone and of all endpoints.
func (p *Placer) candidates(c Call, exclude []string) []candidate {
	p.scratch = p.scratch[:0]
	if known, ok := p.cacheLocations[c.Program]; ok {
		p.addCandidate(c, known.row, exclude)
	}
	if len(c.Prefix) > 0 {
		p.sampleCandidates(c, p.holders[c.Prefix[0].Hash], p.opt.Holders, exclude)
	}
	t := targetOf(c)
	p.sampleCandidates(c, p.byZone[zoneTarget{t, p.opt.Zone}], p.opt.Sample, exclude)
	p.sampleCandidates(c, p.byTarget[t], p.opt.Sample, exclude)
	return p.scratch
}

// sampleCandidates adds up to n consecutive rows of the list, from a random position.
func (p *Placer) sampleCandidates(c Call, rows []*placerRow, n int, exclude []string) {
	if len(rows) == 0 {
		return
	}
	start := p.opt.Rand.IntN(len(rows))
	for i := range min(n, len(rows)) {
		p.addCandidate(c, rows[(start+i)%len(rows)], exclude)
	}
}

// addCandidate adds an endpoint that may get the call, unless it is already a candidate.
func (p *Placer) addCandidate(c Call, row *placerRow, exclude []string) {
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
	row.expirePlacements(p.now)
	cost, wait := p.cost(c, row)
	if known, ok := p.cacheLocations[c.Program]; ok && known.row == row {
		cost -= time.Duration(p.opt.MoveMargin * float64(cost))
	}
	p.scratch = append(p.scratch, candidate{row: row, cost: cost, wait: wait})
}

// placementTTL is how long a placement counts without a load digest that includes it.
// It covers two digests, so that a dispatcher's skewed clock does no harm.
const placementTTL = time.Second

// expirePlacements drops the placements that are older than placementTTL.
func (r *placerRow) expirePlacements(now time.Time) {
	n := 0
	for n < len(r.unreported) && now.Sub(r.unreported[n]) > placementTTL {
		n++
	}
	r.unreported = r.unreported[n:]
}

// serves reports whether the endpoint offers the call's model or service.
func serves(e Endpoint, c Call) bool {
	if c.Kind == KindService {
		return e.Kind == KindService && e.Service == c.Service
	}
	return e.Kind == KindModel && slices.Contains(e.Models, c.Model)
}

// cost predicts the latency of the call on the endpoint, plus the delay that it causes
// to the calls already running there: its prefill blocks each of them, and each of its
// tokens lengthens their steps.
func (p *Placer) cost(c Call, row *placerRow) (cost, wait time.Duration) {
	fullBatchPace, prefillPace := p.opt.TokenPace, p.opt.PrefillPace
	if row.load.TokenPace > 0 {
		fullBatchPace = row.load.TokenPace
	}
	if row.load.PrefillPace > 0 {
		prefillPace = row.load.PrefillPace
	}
	if row.load.Breaker == BreakerSlow {
		fullBatchPace = max(fullBatchPace, row.load.CurrentPace)
		wait = time.Duration(p.expectedOutput(c)) * fullBatchPace
	}
	slots := max(row.endpoint.Slots, 1)
	running := min(row.load.Running+len(row.unreported), slots)
	output := time.Duration(p.expectedOutput(c))
	wait += row.load.PredictedWait + p.unreportedWait(row, output*fullBatchPace)
	// BatchShare counts twice: for the call itself and for the calls running with it.
	batch := 2 * p.opt.BatchShare * float64(running) / float64(slots)
	cost = wait + time.Duration(float64(output*fullBatchPace)*(1-p.opt.BatchShare+batch))
	cost += time.Duration(p.uncachedTokens(c, row)) * prefillPace * time.Duration(1+running)
	if p.opt.Delay != nil {
		cost += 2 * p.opt.Delay(p.opt.Zone, row.endpoint.Zone)
	}
	return cost, wait
}

// expectedOutput returns the expected number of generated tokens.
func (p *Placer) expectedOutput(c Call) int64 {
	return p.outputs.expect(c, p.opt.OutputTokens)
}

// unreportedWait predicts the wait caused by the home's own placements since the last
// load digest.
func (p *Placer) unreportedWait(row *placerRow, service time.Duration) time.Duration {
	free := max(row.load.Limit, 1) - row.load.Running
	if row.load.Limit == 0 {
		free = row.endpoint.Slots
	}
	over := len(row.unreported) - max(free, 0)
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * service / time.Duration(max(row.endpoint.Slots, 1))
}

// uncachedTokens estimates how many tokens of the prompt the endpoint has to prefill.
// A shared prompt that it doesn't have cached serves later calls too, so its cost is
// divided by the prompt's recent uses; this spreads hot prompts over endpoints. A
// program that is new to an endpoint short of memory evicts other caches, whose prefill
// is charged as well.
func (p *Placer) uncachedTokens(c Call, row *placerRow) float64 {
	known, ok := p.cacheLocations[c.Program]
	if ok && known.row == row {
		return float64(max(c.PromptTokens-known.tokens, 0))
	}
	shared := int64(0)
	if len(c.Prefix) > 0 {
		shared = min(c.Prefix[0].Tokens, c.PromptTokens)
	}
	overload := (row.load.CacheShare - p.opt.CacheFull) / (1 - p.opt.CacheFull)
	tokens := float64(c.PromptTokens-shared) * (1 + p.opt.EvictCost*min(max(overload, 0), 1))
	if shared > 0 && !slices.Contains(p.holders[c.Prefix[0].Hash], row) {
		tokens += float64(shared) / (1 + p.promptUses[c.Prefix[0].Hash])
	}
	return tokens
}

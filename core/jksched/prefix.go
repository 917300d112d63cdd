package jksched

import (
	"slices"
	"time"
)

// sharedPrefix is a workspace's prompt on an endpoint. Its heat is the number
// of uses, halved every heatHalfLife.
type sharedPrefix struct {
	tokens int64
	heat   float64
	used   time.Time
}

const heatHalfLife = 30 * time.Second

// maxHotPrefixes bounds the digest, which has to fit into heartbeats of 10 KB/s.
const maxHotPrefixes = 16

func (s *sharedPrefix) heatAt(now time.Time) float64 {
	halves := int(now.Sub(s.used) / heatHalfLife)
	if halves > 30 {
		return 0
	}
	return s.heat / float64(int64(1)<<max(halves, 0))
}

// touchShared counts a use of the call's shared prompt on the endpoint.
func (q *Queue) touchShared(now time.Time, row *queueRow, c Call) {
	if len(c.Prefix) == 0 || c.Prefix[0].Tokens == 0 {
		return
	}
	s, ok := row.shared[c.Prefix[0].Hash]
	if !ok {
		s = &sharedPrefix{}
		row.shared[c.Prefix[0].Hash] = s
	}
	s.heat = s.heatAt(now) + 1
	s.tokens, s.used = c.Prefix[0].Tokens, now
}

// uncached estimates how many tokens of the prompt the endpoint has to prefill.
func (q *Queue) uncached(row *queueRow, c Call) int64 {
	need := historyTokens(c)
	if h, ok := row.held[c.Program]; ok {
		need -= min(h.tokens, need)
	}
	if len(c.Prefix) > 0 && row.shared[c.Prefix[0].Hash] == nil {
		need += c.Prefix[0].Tokens
	}
	return need
}

// hotPrefixes returns the most used shared prompts of the endpoint.
func (q *Queue) hotPrefixes(now time.Time, row *queueRow) []Segment {
	out := make([]Segment, 0, len(row.shared))
	for hash, s := range row.shared {
		out = append(out, Segment{Hash: hash, Tokens: s.tokens})
	}
	slices.SortFunc(out, func(a, b Segment) int {
		x, y := row.shared[a.Hash].heatAt(now), row.shared[b.Hash].heatAt(now)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return compareStrings(a.Hash, b.Hash)
	})
	return out[:min(len(out), maxHotPrefixes)]
}

// CacheEvent takes an engine's late notice about its cache. A missed notice
// costs a wrong estimate only: holds end by time and heat fades.
func (q *Queue) CacheEvent(now time.Time, e CacheEvent) {
	row, ok := q.endpoints[e.Endpoint]
	if !ok || !e.Evicted {
		return
	}
	if e.Program == "" {
		delete(row.shared, e.Segment.Hash)
		return
	}
	h, ok := row.held[e.Program]
	if !ok || h.calls > 0 {
		return
	}
	q.pauses(h.tools).observe(time.Duration(now.UnixNano()-h.idle), false)
	q.release(row, e.Program, ReasonEvicted)
}

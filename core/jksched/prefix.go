package jksched

import (
	"slices"
	"time"
)

// sharedPrefix is a workspace's shared prompt in an endpoint's cache. uses is the number
// of uses as of lastUsed, halved every useHalfLife.
type sharedPrefix struct {
	tokens   int64
	uses     float64
	lastUsed time.Time
}

// useHalfLife is the time after which the number of uses of a shared prompt is halved.
const useHalfLife = 30 * time.Second

// maxHotPrefixes bounds the load digest, which has to fit into heartbeats of 10 KB/s.
const maxHotPrefixes = 16

// usesAt returns the decayed number of uses.
func (s *sharedPrefix) usesAt(now time.Time) float64 {
	halves := int(now.Sub(s.lastUsed) / useHalfLife)
	if halves > 30 {
		return 0
	}
	return s.uses / float64(int64(1)<<max(halves, 0))
}

// recordSharedUse counts a use of the call's shared prompt on the endpoint.
func (q *Queue) recordSharedUse(now time.Time, row *queueRow, c Call) {
	if len(c.Prefix) == 0 || c.Prefix[0].Tokens == 0 {
		return
	}
	s, ok := row.sharedPrefixes[c.Prefix[0].Hash]
	if !ok {
		s = &sharedPrefix{}
		row.sharedPrefixes[c.Prefix[0].Hash] = s
	}
	s.uses = s.usesAt(now) + 1
	s.tokens, s.lastUsed = c.Prefix[0].Tokens, now
}

// uncachedTokens estimates how many tokens of the prompt the endpoint has to prefill.
func (q *Queue) uncachedTokens(row *queueRow, c Call) int64 {
	need := historyTokens(c)
	if h, ok := row.held[c.Program]; ok {
		need -= min(h.tokens, need)
	}
	if len(c.Prefix) > 0 && row.sharedPrefixes[c.Prefix[0].Hash] == nil {
		need += c.Prefix[0].Tokens
	}
	return need
}

// hotPrefixes returns the shared prompts of the endpoint with the most recent uses.
func (q *Queue) hotPrefixes(now time.Time, row *queueRow) []Segment {
	out := make([]Segment, 0, len(row.sharedPrefixes))
	for hash, s := range row.sharedPrefixes {
		out = append(out, Segment{Hash: hash, Tokens: s.tokens})
	}
	slices.SortFunc(out, func(a, b Segment) int {
		x, y := row.sharedPrefixes[a.Hash].usesAt(now), row.sharedPrefixes[b.Hash].usesAt(now)
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

// CacheEvent records an engine's late notice about its cache. A lost notice only causes
// a wrong estimate, because holds end by timeout and the counted uses decay.
func (q *Queue) CacheEvent(now time.Time, e CacheEvent) {
	row, ok := q.endpoints[e.Endpoint]
	if !ok || !e.Evicted {
		return
	}
	if e.Program == "" {
		delete(row.sharedPrefixes, e.Segment.Hash)
		return
	}
	h, ok := row.held[e.Program]
	if !ok || h.calls > 0 {
		return
	}
	q.pauseModelFor(h.toolCalls).observe(time.Duration(now.UnixNano()-h.idleSince), false)
	q.release(row, e.Program, ReasonEvicted)
}

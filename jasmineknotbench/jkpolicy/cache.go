package jkpolicy

import "time"

// cacheKey is the id of a program, or -1-i for the shared prompt of the workspace with
// index i.
type cacheKey int

func programKey(p *program) cacheKey      { return cacheKey(p.id) }
func workspaceKey(workspace int) cacheKey { return cacheKey(-1 - workspace) }
func (k cacheKey) workspace() (int, bool) { return int(-1 - k), k < 0 }

// cacheEntry is a cached prefix. It is idle while no running job pins it.
type cacheEntry struct {
	tokens   int64
	lastUsed time.Duration
	pins     int
	ended    bool
	endedAt  time.Duration
}

// cache is the prefix cache of one engine, in tokens.
type cache struct {
	sim      *simulation
	capacity int64
	entries  map[cacheKey]*cacheEntry
	used     int64
	// onChange is called after an entry was stored or evicted.
	onChange func(key cacheKey, tokens int64, evicted bool)
	// onEndedMemory is called with the token-seconds that an ended program held.
	onEndedMemory func(tokenSeconds float64)
	// countUntil is the end of the time for which memory is counted.
	countUntil time.Duration
}

func (c *cache) get(k cacheKey) int64 {
	if e, ok := c.entries[k]; ok {
		return e.tokens
	}
	return 0
}

func (c *cache) put(k cacheKey, tokens int64) {
	e, ok := c.entries[k]
	if !ok {
		e = &cacheEntry{}
		c.entries[k] = e
	}
	c.used += tokens - e.tokens
	e.tokens, e.lastUsed = tokens, c.sim.now
	if !ok && c.onChange != nil {
		c.onChange(k, tokens, false)
	}
}

func (c *cache) pin(k cacheKey) { c.entries[k].pins++ }

func (c *cache) unpin(k cacheKey) { c.entries[k].pins-- }

// remove drops an idle entry. Only evictions are published as cache events.
func (c *cache) remove(k cacheKey, evicted bool) {
	e, ok := c.entries[k]
	if !ok || e.pins > 0 {
		return
	}
	c.countEnded(e)
	c.used -= e.tokens
	delete(c.entries, k)
	if evicted && c.onChange != nil {
		c.onChange(k, e.tokens, true)
	}
}

// evictTo evicts the least recently used idle entries until at most limit tokens are
// used.
func (c *cache) evictTo(limit int64) {
	for c.used > limit {
		var oldest cacheKey
		var found *cacheEntry
		for k, e := range c.entries {
			if e.pins == 0 && (found == nil || e.lastUsed < found.lastUsed || (e.lastUsed == found.lastUsed && k < oldest)) {
				oldest, found = k, e
			}
		}
		if found == nil {
			return
		}
		c.remove(oldest, true)
	}
}

// markEnded marks the entry of a program that has ended.
func (c *cache) markEnded(k cacheKey) {
	if e, ok := c.entries[k]; ok && !e.ended {
		e.ended, e.endedAt = true, c.sim.now
	}
}

// countEnded counts the memory that an ended program has held until now.
func (c *cache) countEnded(e *cacheEntry) {
	until := min(c.sim.now, c.countUntil)
	if e.ended && until > e.endedAt {
		c.onEndedMemory(float64(e.tokens) * (until - e.endedAt).Seconds())
	}
}

func (c *cache) countAllEnded() {
	for _, e := range c.entries {
		c.countEnded(e)
	}
}

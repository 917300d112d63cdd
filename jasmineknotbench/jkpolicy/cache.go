package jkpolicy

import "time"

// cacheKey is a program's id, or the negative of a workspace's index minus one.
type cacheKey int

func programKey(p *program) cacheKey      { return cacheKey(p.id) }
func sharedKey(workspace int) cacheKey    { return cacheKey(-1 - workspace) }
func (k cacheKey) workspace() (int, bool) { return int(-1 - k), k < 0 }

type entry struct {
	tokens  int64
	used    time.Duration
	pins    int
	ended   bool
	endedAt time.Duration
}

// cache is the prefix cache of one engine, in tokens.
type cache struct {
	sim      *simulation
	capacity int64
	entries  map[cacheKey]*entry
	used     int64
	// changed is called after an entry was stored or evicted.
	changed func(key cacheKey, tokens int64, evicted bool)
	// lost is called with the token-seconds that an ended program held.
	lost func(tokenSeconds float64)
	// horizon is the end of the time for which memory is counted.
	horizon time.Duration
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
		e = &entry{}
		c.entries[k] = e
	}
	c.used += tokens - e.tokens
	e.tokens, e.used = tokens, c.sim.now
	if !ok && c.changed != nil {
		c.changed(k, tokens, false)
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
	c.settle(e)
	c.used -= e.tokens
	delete(c.entries, k)
	if evicted && c.changed != nil {
		c.changed(k, e.tokens, true)
	}
}

// shrink evicts the least recently used idle entries until room tokens suffice.
func (c *cache) shrink(room int64) {
	for c.used > room {
		var oldest cacheKey
		var found *entry
		for k, e := range c.entries {
			if e.pins == 0 && (found == nil || e.used < found.used || (e.used == found.used && k < oldest)) {
				oldest, found = k, e
			}
		}
		if found == nil {
			return
		}
		c.remove(oldest, true)
	}
}

// end marks the entry of a program that has ended.
func (c *cache) end(k cacheKey) {
	if e, ok := c.entries[k]; ok && !e.ended {
		e.ended, e.endedAt = true, c.sim.now
	}
}

// settle counts the memory that an ended program has held until now.
func (c *cache) settle(e *entry) {
	until := min(c.sim.now, c.horizon)
	if e.ended && until > e.endedAt {
		c.lost(float64(e.tokens) * (until - e.endedAt).Seconds())
	}
}

func (c *cache) settleAll() {
	for _, e := range c.entries {
		c.settle(e)
	}
}

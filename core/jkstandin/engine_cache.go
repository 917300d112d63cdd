package jkstandin

import (
	"container/list"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkendpoint"
)

const (
	engineBytesPerToken = 4
	// engineBlockTokens is the block size of the prefix cache; engines commonly use
	// blocks of 16 tokens.
	engineBlockTokens = 16
	// engineMaxEvents bounds the cache events that are retained for readers.
	engineMaxEvents     = 8192
	engineEventPageSize = 1000
)

// engineTokenCount returns the number of tokens of a text, rounded up.
func engineTokenCount(text string) int {
	return (len(text) + engineBytesPerToken - 1) / engineBytesPerToken
}

// engineBlockDigests returns the chained digests of the full blocks of a text: each
// digest covers the text up to the end of its block, so equal prefixes have equal
// digests. The salt separates the prompts of different models.
func engineBlockDigests(salt, text string) []uint64 {
	const size = engineBlockTokens * engineBytesPerToken
	out := make([]uint64, 0, len(text)/size)
	hash := xxhash.New()
	_, _ = hash.WriteString(salt) // never fails
	for ; len(text) >= size; text = text[size:] {
		_, _ = hash.WriteString(text[:size])
		out = append(out, hash.Sum64())
	}
	return out
}

// engineBlock is a cached block and the programs that use it.
type engineBlock struct {
	digest uint64
	owners map[string]bool // by program
}

// engineEvent is a cache event and the time at which it happened.
type engineEvent struct {
	jkendpoint.CacheEvent
	at time.Time
}

// engineCache is a prefix cache with least-recently-used (LRU) eviction of blocks.
type engineCache struct {
	capacity   int        // in blocks
	eventGap   int        // every n-th event is dropped; 0 drops none
	lru        *list.List // of *engineBlock, most recently used first
	blocks     map[uint64]*list.Element
	heldBlocks map[string]int      // number of blocks by program
	chains     map[string][]uint64 // digests of the sequence stored last, by program
	events     []engineEvent
	sequence   uint64
}

func newEngineCache(o EngineOptions, sequence uint64) *engineCache {
	return &engineCache{
		capacity: o.CacheTokens / engineBlockTokens, eventGap: o.CacheEventGap, sequence: sequence,
		lru: list.New(), blocks: map[uint64]*list.Element{}, heldBlocks: map[string]int{}, chains: map[string][]uint64{},
	}
}

// lookup returns the length of the longest cached prefix of a chain, in blocks.
func (c *engineCache) lookup(chain []uint64) int {
	for i, digest := range chain {
		if c.blocks[digest] == nil {
			return i
		}
	}
	return len(chain)
}

// insert stores a chain of blocks for a program and evicts blocks above the capacity.
func (c *engineCache) insert(program string, chain []uint64, now time.Time) {
	before := c.heldBlocks[program]
	// Blocks are touched from the end, so that the beginning of a chain is evicted
	// last: a block can only be used together with all blocks before it.
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(program, chain[i])
	}
	c.chains[program] = chain
	evicted := c.evict()
	if c.heldBlocks[program] > before && !evicted[program] {
		c.publish(jkendpoint.CacheStored, program, now)
	}
	c.publishEvictions(evicted, now)
}

func (c *engineCache) touch(program string, digest uint64) {
	element := c.blocks[digest]
	if element == nil {
		element = c.lru.PushFront(&engineBlock{digest: digest, owners: map[string]bool{}})
		c.blocks[digest] = element
	}
	c.lru.MoveToFront(element)
	block := element.Value.(*engineBlock)
	if !block.owners[program] {
		block.owners[program] = true
		c.heldBlocks[program]++
	}
}

// evict removes the least recently used blocks until the cache is within its capacity,
// and returns the programs that lost blocks.
func (c *engineCache) evict() map[string]bool {
	evicted := map[string]bool{}
	for c.lru.Len() > c.capacity {
		block := c.lru.Back().Value.(*engineBlock)
		for owner := range block.owners {
			c.removeOwner(block, owner)
			evicted[owner] = true
		}
	}
	return evicted
}

// removeOwner removes an owner from a block. A block without owners is deleted.
func (c *engineCache) removeOwner(block *engineBlock, owner string) {
	delete(block.owners, owner)
	c.heldBlocks[owner]--
	if c.heldBlocks[owner] == 0 {
		delete(c.heldBlocks, owner)
		delete(c.chains, owner)
	}
	if len(block.owners) == 0 {
		c.lru.Remove(c.blocks[block.digest])
		delete(c.blocks, block.digest)
	}
}

// release removes a program from all its blocks. Blocks that it shares with other
// programs stay cached for these.
func (c *engineCache) release(program string, now time.Time) {
	if c.heldBlocks[program] == 0 {
		return
	}
	for element := c.lru.Front(); element != nil; {
		next := element.Next()
		if block := element.Value.(*engineBlock); block.owners[program] {
			c.removeOwner(block, program)
		}
		element = next
	}
	c.publish(jkendpoint.CacheEvicted, program, now)
}

func (c *engineCache) publishEvictions(evicted map[string]bool, now time.Time) {
	programs := make([]string, 0, len(evicted))
	for program := range evicted {
		programs = append(programs, program)
	}
	sort.Strings(programs)
	for _, program := range programs {
		c.publish(jkendpoint.CacheEvicted, program, now)
	}
}

func (c *engineCache) publish(kind jkendpoint.CacheEventKind, program string, now time.Time) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%uint64(c.eventGap) == 0 {
		return
	}
	if len(c.events) >= engineMaxEvents {
		c.events = append([]engineEvent{}, c.events[engineMaxEvents/2:]...)
	}
	c.events = append(c.events, engineEvent{at: now, CacheEvent: jkendpoint.CacheEvent{
		Sequence: c.sequence, Kind: kind, Program: program, Tokens: c.heldTokens(program),
	}})
}

// eventsAfter returns a page of the events after a sequence number that happened no
// later than until.
func (c *engineCache) eventsAfter(after uint64, until time.Time) jkendpoint.CacheEvents {
	out := jkendpoint.CacheEvents{Events: []jkendpoint.CacheEvent{}, Next: after}
	for _, event := range c.events {
		if event.at.After(until) || len(out.Events) == engineEventPageSize {
			break
		}
		if event.Sequence > after {
			out.Events = append(out.Events, event.CacheEvent)
			out.Next = event.Sequence
		}
	}
	return out
}

// heldTokens returns the number of tokens cached for a program, including shared blocks.
func (c *engineCache) heldTokens(program string) int {
	return c.heldBlocks[program] * engineBlockTokens
}

// totalTokens returns the number of tokens in the cache; each block counts once.
func (c *engineCache) totalTokens() int { return c.lru.Len() * engineBlockTokens }

// export returns the block digests of a program's cached prefix in hexadecimal.
func (c *engineCache) export(program string) []string {
	chain := c.chains[program]
	out := []string{}
	for _, digest := range chain[:c.lookup(chain)] {
		out = append(out, strconv.FormatUint(digest, 16))
	}
	return out
}

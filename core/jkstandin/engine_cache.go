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
	// engineBlockTokens is the granularity of the prefix cache; engines commonly
	// use blocks of 16 tokens.
	engineBlockTokens = 16
	// engineEventsKept bounds the events that a follower can still read.
	engineEventsKept = 8192
	engineEventsPage = 1000
)

// engineTokens returns the tokens of a text, rounded up.
func engineTokens(text string) int {
	return (len(text) + engineBytesPerToken - 1) / engineBytesPerToken
}

// engineChain returns the chained digests of the full blocks of a text. Equal
// prefixes have equal digests; the salt keeps models apart.
func engineChain(salt, text string) []uint64 {
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

type engineBlock struct {
	digest uint64
	owners map[string]bool
}

type engineEvent struct {
	jkendpoint.CacheEvent
	at time.Time
}

// engineCache is a prefix cache with least-recently-used eviction by block.
type engineCache struct {
	capacity int // blocks
	gap      int
	order    *list.List // most recently used first, of *engineBlock
	blocks   map[uint64]*list.Element
	held     map[string]int      // blocks by program
	chains   map[string][]uint64 // longest chain stored by program
	events   []engineEvent
	sequence uint64
}

func newEngineCache(o EngineOptions, sequence uint64) *engineCache {
	return &engineCache{
		capacity: o.CacheTokens / engineBlockTokens, gap: o.CacheEventGap, sequence: sequence,
		order: list.New(), blocks: map[uint64]*list.Element{}, held: map[string]int{}, chains: map[string][]uint64{},
	}
}

// lookup returns the number of leading blocks that are cached.
func (c *engineCache) lookup(chain []uint64) int {
	for i, digest := range chain {
		if c.blocks[digest] == nil {
			return i
		}
	}
	return len(chain)
}

// insert stores a chain for a program and evicts what no longer fits.
func (c *engineCache) insert(program string, chain []uint64, now time.Time) {
	before := c.held[program]
	// From the end, so that the beginning of a chain is evicted last: without
	// it the rest is useless.
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(program, chain[i])
	}
	c.chains[program] = chain
	lost := c.shrink()
	if c.held[program] > before && !lost[program] {
		c.publish(jkendpoint.CacheStored, program, now)
	}
	c.publishLost(lost, now)
}

func (c *engineCache) touch(program string, digest uint64) {
	element := c.blocks[digest]
	if element == nil {
		element = c.order.PushFront(&engineBlock{digest: digest, owners: map[string]bool{}})
		c.blocks[digest] = element
	}
	c.order.MoveToFront(element)
	block := element.Value.(*engineBlock)
	if !block.owners[program] {
		block.owners[program] = true
		c.held[program]++
	}
}

// shrink evicts blocks until the cache fits and returns the programs that lost
// some.
func (c *engineCache) shrink() map[string]bool {
	lost := map[string]bool{}
	for c.order.Len() > c.capacity {
		block := c.order.Back().Value.(*engineBlock)
		for owner := range block.owners {
			c.disown(block, owner)
			lost[owner] = true
		}
	}
	return lost
}

// disown removes an owner from a block, and the block with its last owner.
func (c *engineCache) disown(block *engineBlock, owner string) {
	delete(block.owners, owner)
	c.held[owner]--
	if c.held[owner] == 0 {
		delete(c.held, owner)
		delete(c.chains, owner)
	}
	if len(block.owners) == 0 {
		c.order.Remove(c.blocks[block.digest])
		delete(c.blocks, block.digest)
	}
}

// release drops all blocks of a program that no other program shares.
func (c *engineCache) release(program string, now time.Time) {
	if c.held[program] == 0 {
		return
	}
	for element := c.order.Front(); element != nil; {
		next := element.Next()
		if block := element.Value.(*engineBlock); block.owners[program] {
			c.disown(block, program)
		}
		element = next
	}
	c.publish(jkendpoint.CacheEvicted, program, now)
}

func (c *engineCache) publishLost(lost map[string]bool, now time.Time) {
	programs := make([]string, 0, len(lost))
	for program := range lost {
		programs = append(programs, program)
	}
	sort.Strings(programs)
	for _, program := range programs {
		c.publish(jkendpoint.CacheEvicted, program, now)
	}
}

func (c *engineCache) publish(kind jkendpoint.CacheEventKind, program string, now time.Time) {
	c.sequence++
	if c.gap > 0 && c.sequence%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) >= engineEventsKept {
		c.events = append([]engineEvent{}, c.events[engineEventsKept/2:]...)
	}
	c.events = append(c.events, engineEvent{at: now, CacheEvent: jkendpoint.CacheEvent{
		Sequence: c.sequence, Kind: kind, Program: program, Tokens: c.tokens(program),
	}})
}

// page returns the events after a sequence number that happened by the given
// time.
func (c *engineCache) page(after uint64, until time.Time) jkendpoint.CacheEvents {
	out := jkendpoint.CacheEvents{Events: []jkendpoint.CacheEvent{}, Next: after}
	for _, event := range c.events {
		if event.at.After(until) || len(out.Events) == engineEventsPage {
			break
		}
		if event.Sequence > after {
			out.Events = append(out.Events, event.CacheEvent)
			out.Next = event.Sequence
		}
	}
	return out
}

// tokens returns the tokens held for a program, shared blocks included.
func (c *engineCache) tokens(program string) int { return c.held[program] * engineBlockTokens }

// total returns the tokens in the cache, each block counted once.
func (c *engineCache) total() int { return c.order.Len() * engineBlockTokens }

// export returns a program's cached prefix as text digests.
func (c *engineCache) export(program string) []string {
	chain := c.chains[program]
	out := []string{}
	for _, digest := range chain[:c.lookup(chain)] {
		out = append(out, strconv.FormatUint(digest, 16))
	}
	return out
}

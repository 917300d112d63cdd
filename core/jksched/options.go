package jksched

import (
	"math/rand/v2"
	"time"
)

// Options holds every knob of a Placer and a Queue. Use DefaultOptions and
// change fields; docs/tuning.md describes them.
type Options struct {
	// Rand is the seeded source for sampling; required by NewPlacer.
	Rand *rand.Rand
	// Zone is the zone of the host.
	Zone string
	// Delay returns the one-way network delay between two zones; nil means none.
	Delay func(from, to string) time.Duration

	// Sample is the number of endpoints sampled per decision.
	Sample int
	// Holders bounds the endpoints looked at because they hold a shared prefix.
	Holders int
	// TokenPace, PrefillPace and OutputTokens are assumed until measured.
	TokenPace    time.Duration
	PrefillPace  time.Duration
	OutputTokens int64
	// BatchShare is the share of a full batch's step time that grows with the
	// number of running calls.
	BatchShare float64

	// CacheFull is the share of an endpoint's cache above which new programs
	// pay for the caches they evict; EvictCost is the price at a full cache, as a
	// multiple of their own prefill.
	CacheFull float64
	EvictCost float64

	// MoveMargin is the share of the predicted cost by which another endpoint has
	// to be better than the one that holds the program's history.
	MoveMargin float64

	// MaxQueued bounds the waiting calls per endpoint, as a multiple of slots.
	MaxQueued int
	// AgeStep is the waiting time that weighs as much as a doubling of the
	// service a program has attained.
	AgeStep time.Duration
	// ServiceQuantum is the attained service in tokens up to which programs
	// rank the same.
	ServiceQuantum int64
	// PriorityStep is the waiting time that one step of priority weighs.
	PriorityStep time.Duration
	// ParentBonus is the waiting time credited when a parent waits.
	ParentBonus time.Duration
	// EndBonus is the waiting time credited to a program near its usual end.
	EndBonus time.Duration
	// ShortTokens is the largest expected work, in generated tokens, of a short
	// call.
	ShortTokens int64
	// ShortAttained is the attained service above which no call of a program is
	// short.
	ShortAttained int64
	// ShortReserve is the share of slots kept free for short calls.
	ShortReserve float64
	// SmallPrefill is the largest expected prefill, in tokens, that asks the
	// engine to pass larger ones.
	SmallPrefill int64
	// MemoryWait is how long short calls may pass a call that doesn't fit into the
	// endpoint's memory.
	MemoryWait time.Duration
	// PaceTarget is the time between tokens above which a queue lowers the
	// number of calls that it runs at once.
	PaceTarget time.Duration

	// PaceWindow is the length of one measurement of an endpoint's token pace.
	PaceWindow time.Duration
	// SlowFactor is the pace relative to the peers' median that counts as slow;
	// RecoverFactor the one that counts as recovered.
	SlowFactor    float64
	RecoverFactor float64
	// SecondShare bounds second dispatches as a share of all tokens.
	SecondShare float64
	// BreakerFaults consecutive faults open the breaker for BreakerPause.
	BreakerFaults int
	BreakerPause  time.Duration

	// IdleHold is the longest time a program's cache is held without a call.
	IdleHold time.Duration
	// StopHold is the hold after an answer that asks for no tools.
	StopHold time.Duration
	// HoldRate is the least rate of expected returns, in 1/s, for which a paused
	// program's cache is held.
	HoldRate float64
	// CacheHighWater is the share of an engine's cache above which HoldRate
	// rises, up to tenfold for a full cache.
	CacheHighWater float64
	// SweepEvery is the interval at which paused programs are looked at.
	SweepEvery time.Duration
}

// DefaultOptions returns the defaults. The caller sets Rand, Zone and Delay.
func DefaultOptions() Options {
	return Options{
		Sample: 4, Holders: 4,
		TokenPace: 25 * time.Millisecond, PrefillPace: 50 * time.Microsecond, OutputTokens: 200, BatchShare: 0.3,
		CacheFull: 0.6, EvictCost: 4, MoveMargin: 0.2,
		MaxQueued: 8, AgeStep: 2 * time.Second, ServiceQuantum: 2000,
		PriorityStep: 4 * time.Second, ParentBonus: 2 * time.Second, EndBonus: time.Second,
		ShortTokens: 400, ShortAttained: 4000, ShortReserve: 0.125, SmallPrefill: 1024, MemoryWait: 5 * time.Second, PaceTarget: 60 * time.Millisecond,
		PaceWindow: 500 * time.Millisecond, SlowFactor: 2.6, RecoverFactor: 1.4,
		SecondShare: 0.04, BreakerFaults: 3, BreakerPause: 2 * time.Second,
		IdleHold: 120 * time.Second, StopHold: 4500 * time.Millisecond,
		HoldRate: 1.0 / 400, CacheHighWater: 0.9, SweepEvery: 200 * time.Millisecond,
	}
}

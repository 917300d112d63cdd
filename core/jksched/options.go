package jksched

import (
	"math/rand/v2"
	"time"
)

// Options holds the settings of a Placer and a Queue. Start from DefaultOptions and
// change fields; docs/tuning.md describes their effects.
type Options struct {
	// Rand is the seeded random source for sampling endpoints; required by NewPlacer.
	Rand *rand.Rand
	// Zone is the zone of the host.
	Zone string
	// Delay returns the one-way network delay between two zones; nil means none.
	Delay func(from, to string) time.Duration

	// Sample is the number of endpoints sampled per decision, once among those of the
	// host's zone and once among all.
	Sample int
	// Holders bounds the candidates added because they hold the call's shared prefix.
	Holders int
	// TokenPace is the time per generated token, PrefillPace the time per prompt token
	// that isn't cached and OutputTokens the length of an answer, each assumed until
	// it has been measured.
	TokenPace    time.Duration
	PrefillPace  time.Duration
	OutputTokens int64
	// BatchShare is the share of a full batch's step time that grows with the
	// number of running calls.
	BatchShare float64

	// CacheFull is the share of an endpoint's cache in use above which a new program
	// is charged for the caches that it evicts. EvictCost is the charge for a full
	// cache, as a multiple of the program's own prefill.
	CacheFull float64
	EvictCost float64

	// MoveMargin is the share of the predicted cost by which another endpoint has to
	// be cheaper than the one that holds the program's history.
	MoveMargin float64

	// MaxQueued bounds the waiting calls per endpoint, as a multiple of slots.
	MaxQueued int
	// AgeStep is the waiting time that offsets a doubling of the service that a
	// program has attained.
	AgeStep time.Duration
	// ServiceQuantum is the unit of attained service, in tokens: programs far below
	// it rank about the same.
	ServiceQuantum int64
	// PriorityStep is the waiting time credited for one step of priority.
	PriorityStep time.Duration
	// ParentBonus is the waiting time credited to a call whose parent program waits.
	ParentBonus time.Duration
	// EndBonus is the waiting time credited to a program near its expected end.
	EndBonus time.Duration
	// ShortTokens is the largest expected answer of a short call, in tokens.
	ShortTokens int64
	// ShortAttained is the attained service, in tokens, above which no call of a
	// program counts as short.
	ShortAttained int64
	// ShortReserve is the share of slots kept free for short calls.
	ShortReserve float64
	// SmallPrefill is the largest expected prefill, in tokens, for which the engine is
	// asked to run the call before those with larger ones.
	SmallPrefill int64
	// MemoryWait is how long short calls may overtake a call that doesn't fit into the
	// endpoint's memory.
	MemoryWait time.Duration
	// PaceTarget is the time between tokens above which a queue lowers an endpoint's
	// concurrency limit.
	PaceTarget time.Duration

	// PaceWindow is the length of the window in which an endpoint's time per token is
	// measured.
	PaceWindow time.Duration
	// SlowFactor is the time per token, relative to the peers' median, above which an
	// endpoint counts as slow; RecoverFactor is the one below which it counts as
	// recovered.
	SlowFactor    float64
	RecoverFactor float64
	// SecondShare bounds the tokens of second dispatches as a share of all tokens.
	SecondShare float64
	// BreakerFaults is the number of consecutive faults that open the circuit breaker
	// for BreakerPause.
	BreakerFaults int
	BreakerPause  time.Duration

	// IdleHold is the longest time a program's cache is held without a call.
	IdleHold time.Duration
	// StopHold is the same after an answer without tool calls.
	StopHold time.Duration
	// HoldRate is the lowest expected return rate, in 1/s, at which a paused program's
	// cache is held.
	HoldRate float64
	// CacheHighWater is the share of an engine's cache above which HoldRate
	// rises, up to tenfold for a full cache.
	CacheHighWater float64
	// SweepEvery is the interval at which the caches of paused programs are checked.
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

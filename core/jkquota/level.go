package jkquota

import "time"

// A cap is measured in windows: a workspace may send rate x window + burst requests in each of them.
// A token bucket with the rate and the burst keeps that, and refuses more than it has to: a small
// workspace whose programs send several requests at once is refused while most of its window is
// unused. So a bucket has further levels with larger capacities, which fill so much more slowly that
// each of them allows as much in a window. A permit is granted if one of the levels has it, and taken
// from all. The level that grants the last permit of a window had room for all of it, so that the
// window is kept.

// window is the time in which caps are measured.
const window = 5 * time.Second

const (
	// levelCount is the number of levels. The last one has the whole extra capacity.
	levelCount = 3
	// extraPeriods bounds the extra capacity to what an issuer earns in 4 s of a window of 5 s.
	extraPeriods = 4
	// extraBase and extraShare bound it to a part of what a window may exceed the cap by beside
	// disturbances: an issuer that starts again knows nothing of its larger levels.
	extraBase  = 12
	extraShare = 0.3
)

// extraCapacity is the capacity of the last level of one holder beyond that of its first one. The
// holder pays for it from what it earns, as it may collect nothing while others collect all.
func extraCapacity(rate, issuers, holders float64) float64 {
	return min(extraPeriods*rate/issuers, (extraBase+extraShare*rate)/holders)
}

// extra returns the capacity of a level beyond that of the first one.
func (s share) extra(level int) float64 {
	return s.extraCapacity * float64(level) / (levelCount - 1)
}

// pace returns how fast a level fills by what the issuer earns, as a share of that.
func (s share) pace(level int) float64 {
	return 1 - s.slowdown*float64(level)/(levelCount-1)
}

// retryFloor is the least time that an empty issuer names: a quarter of the time in which the bucket
// fills. Asked more often, it would cost messages and grant nothing more.
func (s share) retryFloor() time.Duration {
	return min(seconds(s.capacity/s.inflow/4), maxRetryFloor)
}

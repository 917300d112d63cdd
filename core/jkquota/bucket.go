package jkquota

import (
	"slices"
	"time"
)

// spareValidity is how long a spare permit may be used after it was asked for.
const spareValidity = 300 * time.Millisecond

// unmetPeriod is how long first turns are refused after a request that isn't one was refused.
// It covers buckets that are too small for a reserve. A longer period would leave permits unused.
const unmetPeriod = 200 * time.Millisecond

// maxRetryFloor bounds the least time that an empty issuer names. It is short against the
// windows in which the cap is measured.
const maxRetryFloor = 250 * time.Millisecond

// levelTolerance covers the rounding of sums of fractions of permits.
const levelTolerance = 1e-9

// bucket is the token bucket of one workspace at one issuer.
type bucket struct {
	version     int64
	rate, burst float64
	// levels are those of the bucket and of larger ones that fill more slowly. Each permit is taken
	// from all of them, and granted if one of them has it.
	levels [levelCount]float64
	// filledAt is the time up to which the levels are filled.
	filledAt time.Time
	// step is the number of the issuer's step that is being taken.
	step uint64
	lows [levelCount]lowPoints
	// spares are the granted spare permits that may still be used, ordered by time.
	spares     []spareGrant
	unmetUntil time.Time
	usedAt     time.Time
	// askedAt is when an entry last asked for permits.
	askedAt time.Time
	chosen  holderChoice
}

type spareGrant struct {
	count int
	until time.Time
}

// advance fills the bucket up to now. Spare permits that may still be used count as part of the
// level, so that they don't add to what a window may get.
func (b *bucket) advance(now time.Time, s share) {
	outstanding := b.outstanding()
	for len(b.spares) > 0 && !now.Before(b.spares[0].until) {
		b.fill(b.spares[0].until, s, outstanding)
		outstanding -= b.spares[0].count
		b.spares = b.spares[1:]
	}
	b.fill(now, s, outstanding)
}

func (b *bucket) fill(to time.Time, s share, outstanding int) {
	elapsed := max(to.Sub(b.filledAt).Seconds(), 0)
	if to.After(b.filledAt) {
		b.filledAt = to
	}
	for n := range b.levels {
		b.levels[n] += s.rate * s.pace(n) * elapsed
		// What was granted longer than a window ago doesn't matter any more.
		b.levels[n] = max(b.levels[n], -s.inflow*window.Seconds())
		limit := max(s.capacity+s.extra(n)-float64(outstanding), 0)
		b.levels[n] = min(b.levels[n], limit)
		b.lows[n].add(b.step, limit-b.levels[n])
	}
}

// takeBack adds permits that weren't used, as far as each level has had room for them ever since they
// were granted: it would have lost the rest if they hadn't been granted.
func (b *bucket) takeBack(count int, granted uint64) {
	if count <= 0 {
		return
	}
	for n := range b.levels {
		b.levels[n] += b.lows[n].use(float64(count), granted)
	}
}

// add adds permits that others have collected, up to the capacity. All levels get them in full: how
// much more slowly a level fills doesn't depend on how much this holder collects.
func (b *bucket) add(count float64, s share) {
	for n := range b.levels {
		b.levels[n] += count
	}
	b.fill(b.filledAt, s, b.outstanding())
}

// room returns how many permits of others the bucket can take. Larger levels count while no entry
// asks: what they collect is lost to the first levels of other holders.
func (b *bucket) room(now time.Time, s share) float64 {
	room := s.capacity - b.levels[0]
	if now.Sub(b.askedAt) > activePeriod {
		for n, level := range b.levels {
			room = max(room, s.capacity+s.extra(n)-level)
		}
	}
	return room - float64(b.outstanding())
}

// removeAll removes permits from all levels.
func (b *bucket) removeAll(count float64) {
	for n := range b.levels {
		b.levels[n] -= count
	}
}

// outstanding returns the spare permits that may still be used.
func (b *bucket) outstanding() int {
	n := 0
	for _, spare := range b.spares {
		n += spare.count
	}
	return n
}

// available is the number of permits for requests that aren't first turns.
func (b *bucket) available() float64 { return slices.Max(b.levels[:]) }

// availableFirst is the number of permits for first turns.
func (b *bucket) availableFirst(s share) float64 {
	most := b.levels[0] - s.reserve(0)
	for n := 1; n < levelCount; n++ {
		most = max(most, b.levels[n]-s.reserve(n))
	}
	return most
}

// take removes up to n of the available permits from all levels.
func (b *bucket) take(n int, available float64) int {
	n = min(n, int(available+levelTolerance))
	if n <= 0 {
		return 0
	}
	b.removeAll(float64(n))
	return n
}

// grant answers a request.
func (b *bucket) grant(now time.Time, s share, r Request) Answer {
	var a Answer
	a.Granted = b.take(r.Count, b.available())
	if a.Granted < r.Count {
		b.unmetUntil = now.Add(unmetPeriod)
	}
	if !now.Before(b.unmetUntil) {
		a.GrantedFirst = b.take(r.First, b.availableFirst(s))
	}
	if a.Granted < r.Count {
		a.Retry = b.retry(s)
	}
	if a.GrantedFirst < r.First {
		a.RetryFirst = max(b.retryFirst(s), b.unmetUntil.Sub(now))
	}
	if a.Retry == 0 && a.RetryFirst == 0 {
		a.Spare = b.take(r.Spare, b.levels[0]-s.capacity/2)
	}
	if a.Spare > 0 {
		b.spares = append(b.spares, spareGrant{a.Spare, now.Add(spareValidity)})
	}
	return a
}

// minReservedCapacity is the capacity from which on there is a reserve. In smaller buckets first
// turns would hardly get a permit.
const minReservedCapacity = 2

// reserve is what a level keeps for requests that aren't first turns: a quarter of the capacity, and
// at least one of them, and half of what the larger levels have.
func (s share) reserve(level int) float64 {
	switch {
	case level > 0:
		return (s.capacity + s.extra(level)) / 2
	case s.capacity < minReservedCapacity:
		return 0
	}
	return max(s.capacity/4, 1)
}

// retry is the time until there is a permit for a request that isn't a first turn.
func (b *bucket) retry(s share) time.Duration {
	return b.untilAbove(s, func(int) float64 { return 0 })
}

// retryFirst is the time until there is a permit for a first turn.
func (b *bucket) retryFirst(s share) time.Duration {
	return b.untilAbove(s, s.reserve)
}

// untilAbove returns the time until one of the levels has a permit above its reserve.
func (b *bucket) untilAbove(s share, reserve func(level int) float64) time.Duration {
	next := maxRetry
	for n, level := range b.levels {
		next = min(next, seconds((1+reserve(n)-level)/(s.inflow-s.rate*(1-s.pace(n)))))
	}
	return max(next, s.retryFloor())
}

// maxRetry bounds the times that are named, for caps of less than a request in a minute.
const maxRetry = time.Minute

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetry.Seconds()) * float64(time.Second))
}

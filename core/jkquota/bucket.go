package jkquota

import "time"

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
	level       float64
	// filledAt is the time up to which the level is filled.
	filledAt time.Time
	// step is the number of the issuer's step that is being taken.
	step uint64
	lows lowPoints
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
	limit := max(s.capacity-float64(outstanding), 0)
	if to.After(b.filledAt) {
		b.level += s.rate * to.Sub(b.filledAt).Seconds()
		b.filledAt = to
	}
	b.level = min(b.level, limit)
	b.lows.add(b.step, limit-b.level)
}

// takeBack adds permits that weren't used, as far as the bucket has had room for them ever since they
// were granted: it would have lost the rest if they hadn't been granted.
func (b *bucket) takeBack(n int, granted uint64) {
	if n > 0 {
		b.level += b.lows.use(float64(n), granted)
	}
}

// add adds to the level up to the capacity.
func (b *bucket) add(n float64, s share) {
	b.level += n
	b.fill(b.filledAt, s, b.outstanding())
}

// outstanding returns the spare permits that may still be used.
func (b *bucket) outstanding() int {
	n := 0
	for _, spare := range b.spares {
		n += spare.count
	}
	return n
}

// take removes up to n permits from the level above a reserve.
func (b *bucket) take(n int, reserve float64) int {
	n = min(n, int(b.level-reserve+levelTolerance))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	return n
}

// grant answers a request.
func (b *bucket) grant(now time.Time, s share, r Request) Answer {
	var a Answer
	a.Granted = b.take(r.Count, 0)
	if a.Granted < r.Count {
		b.unmetUntil = now.Add(unmetPeriod)
	}
	reserve := firstReserve(s.capacity)
	if !now.Before(b.unmetUntil) {
		a.GrantedFirst = b.take(r.First, reserve)
	}
	if a.Granted < r.Count {
		a.Retry = b.retry(s, 0)
	}
	if a.GrantedFirst < r.First {
		a.RetryFirst = max(b.retry(s, reserve), b.unmetUntil.Sub(now))
	}
	if a.Retry == 0 && a.RetryFirst == 0 {
		a.Spare = b.take(r.Spare, s.capacity/2)
	}
	if a.Spare > 0 {
		b.spares = append(b.spares, spareGrant{a.Spare, now.Add(spareValidity)})
	}
	return a
}

// minReservedCapacity is the capacity from which on there is a reserve. In smaller buckets first
// turns would hardly get a permit.
const minReservedCapacity = 2

// firstReserve is the level that is kept for requests that aren't first turns: a quarter of the
// capacity, and at least one of them.
func firstReserve(capacity float64) float64 {
	if capacity < minReservedCapacity {
		return 0
	}
	return max(capacity/4, 1)
}

// retry is the time until there is a permit above a reserve. It is at least a quarter of the time
// in which the bucket fills: asked more often, it would cost messages and grant nothing more.
func (b *bucket) retry(s share, reserve float64) time.Duration {
	next := seconds((1 + reserve - b.level) / s.inflow)
	return max(next, min(seconds(s.capacity/s.inflow/4), maxRetryFloor))
}

// maxRetry bounds the times that are named, for caps of less than a request in a minute.
const maxRetry = time.Minute

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetry.Seconds()) * float64(time.Second))
}

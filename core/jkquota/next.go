package jkquota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// next serves waiting requests from spare permits and returns the next question about a workspace.
// Requests for which there is nobody to ask are refused. The caller holds the lock.
func (w *Wallet) next(now time.Time, r *row) *Question {
	if r.asking {
		return nil
	}
	w.expireSpares(now, r)
	r.serveFromSpares()
	w.keepReturning(r)
	w.refuseOverdue(now, r)
	r.refillFruitless(now)
	host, ok := w.choose(now, r, r.count(false) == 0)
	if r.fruitless < 1 {
		ok = false
	}
	if !ok {
		// Others go first: if nobody has a permit for them, none has one for first turns.
		w.refuseWaiting(now, r, false)
		host, ok = w.choose(now, r, true)
		if !ok || r.fruitless < 1 || r.count(true) == 0 {
			w.refuseWaiting(now, r, true)
			return nil
		}
	}
	if len(r.waiting) == 0 {
		return nil
	}
	return w.ask(now, r, host)
}

// keepReturning remembers rows with spare permits, which expire.
func (w *Wallet) keepReturning(r *row) {
	if len(r.spares) > 0 {
		w.returning[r.cap.Workspace] = r
	}
}

// ask returns the question to an issuer for all waiting requests that it may have permits for.
func (w *Wallet) ask(now time.Time, r *row, h Host) *Question {
	i := r.issuer(h.Name)
	q := &Question{Issuer: h, SentAt: now, row: r, Request: r.request()}
	for _, a := range r.waiting {
		switch {
		case !a.first:
			q.Request.Count++
		case now.Before(i.emptyFirstUntil):
			continue
		default:
			q.Request.First++
		}
		q.waiting = append(q.waiting, a)
	}
	q.Request.Spare = r.spareDemand(now)
	i.fillReturns(&q.Request)
	r.asking = true
	w.asked.Add(int64(q.Request.Count + q.Request.First + q.Request.Spare))
	if _, wasSilent := w.silentUntil[h.Name]; wasSilent {
		// One question finds out whether it answers again.
		w.silentUntil[h.Name] = now.Add(silencePeriod)
	}
	return q
}

// choose returns the issuer to ask: one that gets permits back, then those of the own zone, then
// those of zones in which all answer, in an order that differs by entry and workspace.
func (w *Wallet) choose(now time.Time, r *row, first bool) (best Host, ok bool) {
	var bestRank uint64
	for _, h := range w.holders(r) {
		if !w.isUsable(now, h) {
			continue
		}
		i := r.issuers[h.Name]
		if i != nil && now.Before(i.emptyAt(first)) {
			continue
		}
		if rank := w.rank(now, r, h, i); !ok || rank < bestRank {
			best, bestRank, ok = h, rank, true
		}
	}
	return best, ok
}

func (i *issuerRow) emptyAt(first bool) time.Time {
	if first && i.emptyFirstUntil.After(i.emptyUntil) {
		return i.emptyFirstUntil
	}
	return i.emptyUntil
}

// holders returns the issuers that are asked for permits of a workspace.
func (w *Wallet) holders(r *row) []Host {
	return r.chosen.choose(w.hosts, r.cap.Workspace, r.cap.Rate, r.cap.Burst)
}

// rank orders issuers; lower ones come first.
func (w *Wallet) rank(now time.Time, r *row, h Host, i *issuerRow) uint64 {
	// The multiplier is that of Fibonacci hashing.
	rank := (r.hash ^ xxhash.Sum64String(h.Name)) * 0x9e3779b97f4a7c15 >> 4
	if i == nil || i.returned == 0 {
		rank |= 1 << 62
	}
	if h.Zone != w.options.Zone {
		rank |= 1 << 61
	}
	if w.hasSilent(now, h.Zone) {
		rank |= 1 << 60
	}
	return rank
}

// hasSilent reports whether an issuer of a zone didn't answer: the zone may be cut off.
func (w *Wallet) hasSilent(now time.Time, zone string) bool {
	for _, h := range w.hosts {
		if h.Zone == zone && now.Before(w.silentUntil[h.Name]) {
			return true
		}
	}
	return false
}

// refuseOverdue refuses requests that have waited for too long.
func (w *Wallet) refuseOverdue(now time.Time, r *row) {
	for _, a := range r.waiting {
		if now.Sub(a.since) > maxWait {
			w.refuse(now, a, w.refusal(now, r, a))
		}
	}
	r.dropDecided()
}

// refuseWaiting refuses all waiting requests that are first turns, or all that aren't.
func (w *Wallet) refuseWaiting(now time.Time, r *row, first bool) {
	for _, a := range r.waiting {
		if a.first == first {
			w.refuse(now, a, w.refusal(now, r, a))
		}
	}
	r.dropDecided()
}

// refuse decides a request. What the refusal says is complete before its caller sees it.
func (w *Wallet) refuse(now time.Time, a *Waiter, why *Refusal) {
	a.Refusal = why
	defer close(a.done)
	switch {
	case why.Unknown:
		w.unknown.Add(1)
	case why.RetryAfter > 0:
		w.overCap.Add(1)
	default:
		return
	}
	if a.row != nil {
		why.Starts = now.Sub(a.row.refusedAt) > quietPeriod
		a.row.refusedAt = now
	}
}

const (
	// quietPeriod is the time without refusals after which the next one is reported as a start.
	quietPeriod = 10 * time.Second
	// A caller is told to come back after at least minRetryAfter and at most maxRetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// leastShare is the part of the cap that an entry is assumed to get if it gets less.
	leastShare = 16
)

// refusal returns when a caller may expect a permit: after the earliest time that an issuer named,
// one caller after the other at the pace at which this entry gets permits.
func (w *Wallet) refusal(now time.Time, r *row, a *Waiter) *Refusal {
	// An issuer that has answered lately shows that the cap can be known, also while no more questions
	// may be asked.
	earliest, known := now.Add(maxRetryAfter), a.heard || !r.answeredAt.IsZero() && now.Sub(r.answeredAt) < silencePeriod
	for _, h := range w.holders(r) {
		i := r.issuers[h.Name]
		if i == nil || !now.Before(i.emptyAt(a.first)) {
			continue
		}
		known = true
		if at := i.emptyAt(a.first); at.Before(earliest) {
			earliest = at
		}
	}
	if !known {
		return &Refusal{RetryAfter: silencePeriod, Unknown: true}
	}
	if r.nextCaller.Before(earliest) {
		r.nextCaller = earliest
	}
	pace := max(r.gained.current(now), r.cap.Rate/leastShare)
	r.nextCaller = r.nextCaller.Add(seconds(1 / pace))
	after := r.nextCaller.Sub(now)
	if after > maxRetryAfter {
		// The order of callers can't be kept beyond that: they are spread over the second half.
		r.nextCaller = now.Add(maxRetryAfter)
		r.refusals++
		after = maxRetryAfter/2 + time.Duration(r.refusals*0x9e3779b97f4a7c15>>33)*(maxRetryAfter/2)>>31
	}
	return &Refusal{RetryAfter: max(after, minRetryAfter)}
}

// Counts are the totals of a wallet: permits by what became of them, and refused requests by reason.
type Counts struct {
	Asked, Granted, Expired, Released int64
	OverCap, Unknown                  int64
}

// Counts returns the totals since the start.
func (w *Wallet) Counts() Counts {
	return Counts{
		Asked: w.asked.Load(), Granted: w.granted.Load(), Expired: w.expired.Load(), Released: w.released.Load(),
		OverCap: w.overCap.Load(), Unknown: w.unknown.Load(),
	}
}

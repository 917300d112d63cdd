package jkquota

import (
	"math"
	"slices"
	"time"
)

const (
	// prefetchAbove is the number of requests a second above which spare permits are asked for,
	// and prefetchPeriod the time for which they are expected to last.
	prefetchAbove  = 5.0
	prefetchPeriod = 200 * time.Millisecond
	// maxPrefetch bounds what one question asks for.
	maxPrefetch = 256
)

// row is what a wallet knows of one workspace.
type row struct {
	cap  Cap
	hash uint64
	// waiting are the requests without a permit, in the order of their arrival. asking is set
	// while a question is in flight.
	waiting []*Waiter
	asking  bool
	spares  []spare
	issuers map[string]*issuerRow
	chosen  holderChoice
	// demand are the requests, and gained the permits, a second.
	demand, gained pace
	// fruitless is the number of questions without a permit that may still be asked, up to
	// fruitlessPerSecond.
	fruitless   float64
	fruitlessAt time.Time
	// answeredAt is when an issuer last answered.
	answeredAt time.Time
	// nextCaller is when the last caller that was refused is expected back.
	nextCaller time.Time
	refusedAt  time.Time
	refusals   uint64
	usedAt     time.Time
}

// issuerRow is what a wallet knows of one workspace at one issuer.
type issuerRow struct {
	// emptyUntil and emptyFirstUntil are the times before which it has no permit.
	emptyUntil, emptyFirstUntil time.Time
	// returned is the number of its permits that are to be returned, since returnedAt; oldest is
	// the stamp of the oldest.
	returned   int
	returnedAt time.Time
	oldest     Stamp
}

type spare struct {
	permit Permit
	count  int
}

// pace is a number a second, averaged over about a second.
type pace struct {
	value float64
	at    time.Time
}

func (p *pace) add(now time.Time, n float64) {
	p.value = p.current(now) + n
	p.at = now
}

func (p *pace) current(now time.Time) float64 {
	return p.value * math.Exp(-now.Sub(p.at).Seconds())
}

func (r *row) issuer(name string) *issuerRow {
	i := r.issuers[name]
	if i == nil {
		i = &issuerRow{}
		r.issuers[name] = i
	}
	return i
}

func (r *row) hasReturns() bool {
	for _, i := range r.issuers {
		if i.returned > 0 {
			return true
		}
	}
	return false
}

// fillReturns adds the permits that are to be returned to a request.
func (i *issuerRow) fillReturns(q *Request) {
	if i.returned > 0 {
		q.Returned, q.ReturnedStamp = i.returned, i.oldest
		i.returned = 0
	}
}

func (r *row) request() Request {
	return Request{Workspace: r.cap.Workspace, Version: r.cap.Version, Rate: r.cap.Rate, Burst: r.cap.Burst}
}

// takeSpare gives a request a spare permit if there is one.
func (r *row) takeSpare(a *Waiter) bool {
	for n := range r.spares {
		if r.spares[n].count > 0 {
			r.spares[n].count--
			a.grant(r.spares[n].permit)
			return true
		}
	}
	return false
}

// serveFromSpares gives spare permits to waiting requests, first turns last.
func (r *row) serveFromSpares() {
	for _, first := range []bool{false, true} {
		for _, a := range r.waiting {
			if a.first == first && !a.isDecided() && !r.takeSpare(a) {
				break
			}
		}
	}
	r.dropDecided()
}

func (r *row) dropDecided() {
	r.waiting = slices.DeleteFunc(r.waiting, (*Waiter).isDecided)
}

// count returns the number of waiting requests.
func (r *row) count(first bool) int {
	n := 0
	for _, a := range r.waiting {
		if a.first == first {
			n++
		}
	}
	return n
}

// spareDemand returns the number of spare permits to ask for.
func (r *row) spareDemand(now time.Time) int {
	demand := r.demand.current(now)
	if demand <= prefetchAbove {
		return 0
	}
	return min(int(math.Ceil(demand*prefetchPeriod.Seconds())), maxPrefetch)
}

// refillFruitless adds the questions that may be asked since the last call.
func (r *row) refillFruitless(now time.Time) {
	r.fruitless = min(r.fruitless+now.Sub(r.fruitlessAt).Seconds()*fruitlessPerSecond, fruitlessPerSecond)
	r.fruitlessAt = now
}

func (a *Waiter) grant(p Permit) {
	a.Permit = p
	close(a.done)
}

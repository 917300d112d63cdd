package jksched

import "time"

// sendLimit is what this host may send to an endpoint that limits its requests.
type sendLimit struct {
	// interval is the time between two requests of this host; zero means that it may
	// send none.
	interval time.Duration
	// next is the earliest time of the next request.
	next time.Time
}

// SetLimit limits the requests of this host to an endpoint to a number a second. With zero
// the host sends none.
func (d *DirectPlacer) SetLimit(now time.Time, id string, perSecond float64) {
	row, ok := d.endpoints[id]
	if !ok {
		return
	}
	interval := time.Duration(0)
	if perSecond > 0 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	if row.limit == nil {
		row.limit = &sendLimit{interval: interval, next: now}
		return
	}
	// A wait that was caused by the requests so far scales with the interval.
	if wait := row.limit.next.Sub(now); wait > 0 && row.limit.interval > 0 && interval > 0 {
		row.limit.next = now.Add(time.Duration(float64(wait) * float64(interval) / float64(row.limit.interval)))
	}
	row.limit.interval = interval
}

// ClearLimit ends the limit of an endpoint.
func (d *DirectPlacer) ClearLimit(id string) {
	if row, ok := d.endpoints[id]; ok {
		row.limit = nil
	}
}

// sendDelay returns the time until this host may send a request to the endpoint, and false
// if it may send none.
func (r *directRow) sendDelay(now time.Time) (time.Duration, bool) {
	switch {
	case r.limit == nil:
		return 0, true
	case r.limit.interval == 0:
		return 0, false
	}
	return max(r.limit.next.Sub(now), 0), true
}

// book takes the endpoint's next place for a request and returns the time until then.
func (r *directRow) book(now time.Time) time.Duration {
	delay, _ := r.sendDelay(now)
	if r.limit != nil {
		r.limit.next = now.Add(delay + r.limit.interval)
	}
	return delay
}

// limitRefusal returns the refusal of a call whose service has no endpoint with a place
// in time; soonest is the time until one has. Calls that are refused one after the other
// are told to return at the rate at which places get free.
func (d *DirectPlacer) limitRefusal(now time.Time, service string, soonest time.Duration) error {
	perSecond := 0.0
	for _, row := range d.services[service] {
		if row.limit != nil && row.limit.interval > 0 {
			perSecond += float64(time.Second) / float64(row.limit.interval)
		}
	}
	if perSecond == 0 || soonest > maxReturnDelay {
		// Another host may have places.
		return &RefusedError{Reason: ReasonLimited, RetryAfter: d.opt.MaxSendDelay}
	}
	at := now.Add(soonest)
	if last := d.returnAt[service]; last.After(at) {
		at = last
	}
	d.returnAt[service] = at.Add(time.Duration(float64(time.Second) / perSecond))
	return &RefusedError{Reason: ReasonLimited, RetryAfter: min(at.Sub(now), maxReturnDelay)}
}

// maxReturnDelay bounds the time after which a refused call is told to return. By then the
// limits may have ended.
const maxReturnDelay = 5 * time.Second

// Reserve counts a call at an endpoint that was chosen without Place, until Done. It
// returns the time until the call may be sent, and false if it may not be sent soon.
func (d *DirectPlacer) Reserve(now time.Time, id string) (time.Duration, bool) {
	row, ok := d.endpoints[id]
	if !ok {
		return 0, false
	}
	if delay, allowed := row.sendDelay(now); !allowed || delay > d.opt.MaxSendDelay {
		return 0, false
	}
	row.ownCalls++
	return row.book(now), true
}

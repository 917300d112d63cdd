package jkaccount

import (
	"sync"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// recordings holds the reservations that aren't settled, with what the copies have answered to them.
type recordings struct {
	mu  sync.Mutex
	all map[string]*recording
}

// recording is a reservation with the spendings that copies have answered, by host, after they have recorded it.
type recording struct {
	reservation jkforward.Reservation
	answers     map[string][]jkledger.Spending
}

// begin starts to collect the answers to a reservation.
func (r *recordings) begin(reservation jkforward.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[string]*recording{}
	}
	r.all[reservation.Request] = &recording{reservation: reservation, answers: map[string][]jkledger.Spending{}}
}

// add notes what a host has answered. After the reservation was settled that has no effect.
func (r *recordings) add(request, host string, known []jkledger.Spending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.all[request]; one != nil {
		one.answers[host] = known
	}
}

// take ends the collection of the answers to a reservation and returns them, or nil if there is none.
func (r *recordings) take(request string) *recording {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.all[request]
	delete(r.all, request)
	return one
}

// settlement returns the records that settle the reservation on a host. Once the program nears its partitionShare, they say
// what the copies hold, with all spendings of these that this host hasn't answered.
func (r *recording) settlement(s jkledger.Spending, host string) []jkledger.Record {
	settled := jkledger.Record{Spending: &s}
	if r == nil || len(r.answers) == 0 {
		return []jkledger.Record{settled}
	}
	all, known, holdings, most := spendings{}, spendings{}, jkledger.Holdings{}, int64(0)
	for from, answer := range r.answers {
		all.merge(answer)
		// A copy counts no less than it has been told that was used.
		own := spendings{}
		own.merge(answer)
		holdings[from] = own.settled() + min(s.Tokens, r.reservation.Tokens)
		most = max(most, holdings[from])
	}
	if 2*most < partitionShare(r.reservation) {
		return []jkledger.Record{settled}
	}
	known.merge(r.answers[host])
	var out []jkledger.Record
	for request, one := range all {
		if existing, ok := known[request]; request != s.Request && (!ok || one.Settled && !existing.Settled) {
			out = append(out, jkledger.Record{Spending: &one})
		}
	}
	said := holdings.Spending(s.Program, s.Request, s.Retention)
	return append(out, settled, jkledger.Record{Spending: &said})
}

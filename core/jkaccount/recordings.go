package jkaccount

import (
	"maps"
	"slices"
	"sync"
	"time"

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
	begunAt     time.Time
	reservation jkforward.Reservation
	answers     map[string][]jkledger.Spending
	// disks holds by host the disks on which these are.
	disks map[string]string
}

// begin starts to collect the answers to a reservation. One without tokens isn't settled.
func (r *recordings) begin(now time.Time, reservation jkforward.Reservation) {
	if reservation.Tokens == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[string]*recording{}
	}
	if len(r.all) >= maxRecordings {
		maps.DeleteFunc(r.all, func(_ string, one *recording) bool { return now.Sub(one.begunAt) > maxRecordingAge })
	}
	r.all[reservation.Request] = &recording{begunAt: now, reservation: reservation, answers: map[string][]jkledger.Spending{}, disks: map[string]string{}}
}

// Recordings of reservations that were never settled are dropped at maxRecordingAge once there are maxRecordings.
const (
	maxRecordings   = 4096
	maxRecordingAge = 2 * time.Minute
)

// add notes what a host has answered. After the reservation was settled that has no effect.
func (r *recordings) add(request, host string, a *jkledger.ReserveAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.all[request]; one != nil {
		one.answers[host], one.disks[host] = a.Spendings, a.Disk
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

// maxHeldRequests bounds the requests of one Holdings. Programs with more of them have none.
const maxHeldRequests = 64

// settlement returns the records that settle the reservation on a host. Once the program nears its partitionShare, they say
// what the copies hold, with the spendings of these that this host hasn't answered.
func (r *recording) settlement(s jkledger.Spending, host string) []jkledger.Record {
	settled := jkledger.Record{Spending: &s}
	if r == nil || s.Tokens == 0 || r.answers[host] == nil {
		return []jkledger.Record{settled}
	}
	all, known, most := spendings{}, spendings{}, int64(0)
	h := &jkledger.Holdings{At: r.begunAt, Tokens: map[string]int64{}}
	for from, answer := range r.answers {
		all.merge(answer)
		own := spendings{}
		own.merge(answer)
		counted := own.settled()
		// A copy counts what is reserved until it learns what was used.
		if one := own[s.Request]; !one.Settled {
			counted += min(s.Tokens, one.Tokens)
		}
		h.Tokens[jkledger.HolderName(from, r.disks[from])] = counted
		most = max(most, counted)
	}
	for request, one := range all {
		if one.Tokens > 0 {
			h.Requests = append(h.Requests, request)
		}
	}
	if 2*most < partitionShare(r.reservation) || len(h.Requests) > maxHeldRequests {
		return []jkledger.Record{settled}
	}
	known.merge(r.answers[host])
	var out []jkledger.Record
	for request, one := range all {
		if existing, ok := known[request]; request != s.Request && (!ok || one.Settled && !existing.Settled) {
			out = append(out, jkledger.Record{Spending: &one})
		}
	}
	slices.Sort(h.Requests)
	said := h.Spending(s.Program, s.Request, s.Retention)
	return append(out, settled, jkledger.Record{Spending: &said})
}

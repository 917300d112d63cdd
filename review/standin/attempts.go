package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// greyShare is the share of its requests that a grey server fails (x of srv_grey).
	greyShare = 0.4
	// onceRequests is the number of requests on the route with max_attempts 1, and
	// onceInterval the time between two of them.
	onceRequests = 6000
	onceInterval = 10 * time.Millisecond
	// overAllowed is the number of requests that may run on more servers than their route
	// allows.
	overAllowed = 3
)

const (
	// greyTime is for how long a server is grey (for_s of srv_grey), and greyPause the time
	// until the next one is.
	greyTime  = 5 * time.Second
	greyPause = time.Second
)

// greyByTurns makes one of the plain servers grey at a time.
func (f *fleet) greyByTurns() {
	var plain []*server
	for _, s := range f.servers {
		if !s.model {
			plain = append(plain, s)
		}
	}
	for i := 0; ; i++ {
		s := plain[i%len(plain)]
		f.rec.note("server %s fails %g of its requests for %s: half are run without an answer, half are shed with 429 and X-Not-Executed", s.id, greyShare, greyTime)
		some := func() bool { return rand.Float64() < greyShare/2 }
		s.setGrey(some, some)
		time.Sleep(greyTime)
		s.setGrey(nil, nil)
		time.Sleep(greyPause)
	}
}

// playAttempts sends requests on an idempotent route whose max_attempts is 1, while one of the
// three servers of the service at a time fails a part of its requests.
func playAttempts(f *fleet, r *runs, trouble bool) (broken []string, err error) {
	rec := f.rec
	if err := f.startFleet(); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	rec.at(10)
	if trouble {
		go f.greyByTurns()
	}
	ids := make([]string, onceRequests)
	var served atomic.Int64
	parallel(onceRequests, 40, func(i int) {
		rec.at(10.1 + float64(i)*onceInterval.Seconds())
		res := attempt(rec, f.entries[i%len(f.entries)], "GET", pathOnce+fmt.Sprintf("%x", i), nil, "", 1200*time.Millisecond)
		ids[i] = res.id
		if res.status == 200 && res.whole {
			served.Add(1)
		}
	})
	over := 0
	for _, id := range ids {
		on := map[string]bool{}
		for _, one := range r.of(id) {
			on[one.server] = true
		}
		if len(on) > 1 {
			over++
			rec.add("broken", "BUDGET: request %s ran on %d servers, max_attempts of its route is 1", id, len(on))
		}
	}
	rec.note("%d of %d requests served, %d ran on more than one server", served.Load(), onceRequests, over)
	if over > overAllowed {
		broken = append(broken, fmt.Sprintf("BUDGET (%d requests)", over))
	}
	return broken, nil
}

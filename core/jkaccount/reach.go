package jkaccount

import (
	"slices"
	"sync"
	"time"
)

// ObserveEvery is the interval at which a client looks at the copies: that of the
// probes, which tell whether one is in reach.
const ObserveEvery = 250 * time.Millisecond

// Bounds of what a host may conclude from the time for which copies were in reach.
const (
	// settleTime is how long copies that are in reach of each other may take to
	// learn from each other, and a host to notice that one is silent.
	settleTime = 4 * time.Second
	// proveTime is longer than a host that the store turns away takes to hear of a
	// new copy through others.
	proveTime = 8 * time.Second
	// noticeTime is how much later than this host another one may notice that a copy
	// is silent. One that is back by then was in reach all the time for the other.
	noticeTime = time.Second
	// observeGap is the pause after which a host that was frozen knows nothing.
	observeGap = time.Second
)

// reach remembers since when each copy has been in reach of this host or out of it.
type reach struct {
	mu   sync.Mutex
	rows map[string]*reachRow
	last time.Time
	// allSince is when the last copy came into reach; it is zero as long as one is
	// out of reach.
	allSince time.Time
}

type reachRow struct {
	zone      string
	reachable bool
	// since is when the state began, and before when the one before it did.
	since  time.Time
	before time.Time
	// proved is set once all hosts are likely to know the copy: those that are in
	// touch have heard of it, and no copy is out of reach that others might use
	// who haven't.
	proved bool
}

func newReach() *reach { return &reach{rows: map[string]*reachRow{}} }

// Observe notes which copies are in reach. It is to be called each ObserveEvery.
func (c *Client) Observe() { c.reach.observe(c.Timer.Now(), c.Copies(), c.Reachable) }

func (r *reach) observe(now time.Time, copies []Copy, reachable func(host string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	frozen := now.Sub(r.last) > observeGap
	r.last = now
	for host := range r.rows {
		if !slices.ContainsFunc(copies, func(c Copy) bool { return c.Host == host }) {
			delete(r.rows, host)
		}
	}
	all := true
	for _, target := range copies {
		is := reachable(target.Host)
		all = all && is
		row := r.rows[target.Host]
		switch {
		case row == nil:
			r.rows[target.Host] = &reachRow{zone: target.Zone, reachable: is, since: now, before: now}
		case frozen:
			row.reachable, row.since, row.before = is, now, now
		case row.reachable != is:
			row.reachable, row.since, row.before = is, now, row.since
		}
	}
	r.prove(now, all, frozen)
}

// prove marks the copies that have been known for long while all were in reach.
func (r *reach) prove(now time.Time, all, frozen bool) {
	if !all {
		r.allSince = time.Time{}
		return
	}
	if r.allSince.IsZero() || frozen {
		r.allSince = now
	}
	if now.Sub(r.allSince) < proveTime {
		return
	}
	for _, row := range r.rows {
		row.proved = row.proved || now.Sub(row.since) >= proveTime
	}
}

func (r *reach) isProved(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[host]
	return row != nil && row.proved
}

// view is what a host knows of the copies that didn't answer.
type view struct {
	// harmless is set if no other part of the fleet can admit turns with the
	// missing copies alone.
	harmless bool
	// parted is set if at most one other part of the fleet can admit turns.
	parted bool
}

// view judges the copies that didn't answer a reservation.
func (r *reach) view(now time.Time, answered, missing []Copy) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last) > observeGap || len(missing) == 0 || !r.wereSettled(answered, missing) {
		return view{}
	}
	first := r.firstLost(missing)
	v := view{harmless: true, parted: true}
	for _, m := range missing {
		noticed := now.Sub(r.rows[m.Host].since) >= noticeTime
		v.harmless = v.harmless && noticed && r.hasSibling(m, first)
	}
	for _, a := range answered {
		v.parted = v.parted && r.isZoneInReach(a.Zone)
	}
	return v
}

// wereSettled reports whether all these copies had been in reach for settleTime when
// the first of the missing ones was lost, and have been ever since but for those.
// Then each knew by that time what the others had admitted.
func (r *reach) wereSettled(answered, missing []Copy) bool {
	for _, m := range missing {
		if row := r.rows[m.Host]; row == nil || row.reachable {
			return false
		}
	}
	first := r.firstLost(missing)
	for _, m := range missing {
		if first.Sub(r.rows[m.Host].before) < settleTime {
			return false
		}
	}
	for _, a := range answered {
		if row := r.rows[a.Host]; row == nil || !row.reachable || first.Sub(row.since) < settleTime {
			return false
		}
	}
	return true
}

// firstLost is when the first of these copies was lost.
func (r *reach) firstLost(missing []Copy) time.Time {
	first := r.rows[missing[0].Host].since
	for _, m := range missing {
		if since := r.rows[m.Host].since; since.Before(first) {
			first = since
		}
	}
	return first
}

// hasSibling reports whether another copy in the zone of a missing one has been in
// reach all the time. A part of the fleet with the missing one then lacks that one,
// and so doesn't count as a zone that is cut off.
func (r *reach) hasSibling(missing Copy, first time.Time) bool {
	for host, row := range r.rows {
		if host != missing.Host && row.zone == missing.Zone && row.reachable && first.Sub(row.since) >= settleTime {
			return true
		}
	}
	return false
}

// isZoneInReach reports whether all copies of a zone are in reach.
func (r *reach) isZoneInReach(zone string) bool {
	for _, row := range r.rows {
		if row.zone == zone && !row.reachable {
			return false
		}
	}
	return true
}

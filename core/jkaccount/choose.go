package jkaccount

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkforward"
)

// returnPeriod is how long the hosts of other copies may take to notice that one is back. From then on they report it
// until they have copied from it. It includes the time between two calls of Observe.
const returnPeriod = 2 * time.Second

// recentCopies remembers the copies that are new, since when others are in use, and which were silent.
type recentCopies struct {
	mu sync.Mutex
	// startedAt is when the first copies were seen.
	startedAt time.Time
	// newSince is when a copy that is new was first seen.
	newSince map[string]time.Time
	// usedBy is when all hosts use a copy that isn't new. Others may have seen it later than this one.
	usedBy map[string]time.Time
	// silences holds the last silence of each copy.
	silences map[string]silence
}

// silence is the time in which a copy is known to have been unreachable, from its last answer on.
type silence struct{ from, to time.Time }

// observe records which copies are silent.
func (r *recentCopies) observe(now time.Time, copies []Copy, unreachableFor func(host string) time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silences == nil {
		r.silences = map[string]silence{}
	}
	for host, s := range r.silences {
		if now.Sub(s.to) > returnPeriod {
			delete(r.silences, host)
		}
	}
	for _, known := range copies {
		d := unreachableFor(known.Host)
		if d == 0 {
			continue
		}
		s, again := r.silences[known.Host]
		if !again {
			// In a silence soon after another one the others still lack what the copy had before.
			s.from = now.Add(-d)
		}
		s.to = now
		r.silences[known.Host] = s
	}
}

// lastAnswer returns when a copy last answered whose records the others may lack, since it is silent or just
// back.
func (r *recentCopies) lastAnswer(now time.Time, host string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.silences[host]
	return s.from, known && now.Sub(s.to) <= returnPeriod
}

// update sets New on the copies that were new before, until the zones are settled.
func (r *recentCopies) update(now time.Time, copies []Copy, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newSince == nil {
		r.startedAt, r.newSince, r.usedBy = now, map[string]time.Time{}, map[string]time.Time{}
	}
	for i, known := range copies {
		since, isRecent := r.newSince[known.Host]
		_, isUsed := r.usedBy[known.Host]
		switch {
		case known.New && !isRecent:
			r.newSince[known.Host] = now
			delete(r.usedBy, known.Host)
		case known.New:
		case isRecent && !settled:
			copies[i].New = true
		case isRecent:
			delete(r.newSince, known.Host)
			r.usedBy[known.Host] = now.Add(now.Sub(since))
		case !isUsed:
			// It was there before this host.
			r.usedBy[known.Host] = time.Time{}
		}
	}
	if len(r.newSince)+len(r.usedBy) > len(copies) {
		r.retain(copies)
	}
}

// retain drops the copies that aren't known any more. The caller holds the lock.
func (r *recentCopies) retain(copies []Copy) {
	for _, times := range []map[string]time.Time{r.newSince, r.usedBy} {
		maps.DeleteFunc(times, func(host string, _ time.Time) bool {
			return !slices.ContainsFunc(copies, func(known Copy) bool { return known.Host == host })
		})
	}
}

// isUsedBy reports whether all hosts use a copy since a time or earlier.
func (r *recentCopies) isUsedBy(at time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	usedBy, ok := r.usedBy[host]
	return ok && !usedBy.After(at)
}

// isUsedSince reports whether all hosts use a copy since a time or earlier, and this host has seen that. A copy that
// was there before this host may have been added a moment before.
func (r *recentCopies) isUsedSince(at time.Time, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	usedBy, ok := r.usedBy[host]
	return ok && !usedBy.After(at) && !r.startedAt.After(at)
}

// knownCopies returns the known copies. One that is new stays so until all zones have been
// in reach for some seconds: if it took the place of another copy of its zone during a
// partition, it would lack what that one has admitted.
func (c *Client) knownCopies() []Copy {
	copies := c.Copies()
	settled := !slices.ContainsFunc(copies, func(known Copy) bool { return !c.ZoneSettled(known.Zone) })
	now := c.Timer.Now()
	c.recent.update(now, copies, settled)
	c.recent.observe(now, copies, c.UnreachableFor)
	return copies
}

// Observe notices copies that are new. It has to be called more often than a copy is new.
func (c *Client) Observe() { c.knownCopies() }

// replicas returns the copies that hold a program: one in each zone, chosen by rendezvous
// hashing among the zone's copies. The nearest copy comes first. All hosts have to choose
// the same copies, since majorities of different sets needn't intersect. So a copy is
// skipped only while it is new or has been lost for long, and not while only this host can't
// reach it.
func (c *Client) replicas(program string) []Copy {
	best := map[string]Copy{}
	for _, candidate := range c.knownCopies() {
		chosen, ok := best[candidate.Zone]
		if !ok || c.isPreferred(program, candidate, chosen) {
			best[candidate.Zone] = candidate
		}
	}
	out := make([]Copy, 0, len(best))
	for _, b := range best {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Copy) int {
		if own := cmp.Compare(c.distance(a), c.distance(b)); own != 0 {
			return own
		}
		return cmp.Compare(a.Zone, b.Zone)
	})
	return out
}

// isSettled reports whether all hosts are likely to choose a copy: it isn't new and hasn't
// been lost.
func (c *Client) isSettled(target Copy) bool {
	return !target.New && !c.Lost(target.Host)
}

// distance orders copies: first those of this host's zone, then those of other zones, then
// those that are out of reach.
func (c *Client) distance(target Copy) int {
	switch {
	case !c.Reachable(target.Host):
		return 2
	case target.Zone != c.Zone:
		return 1
	}
	return 0
}

// isPreferred reports whether copy a is chosen for a program rather than copy b of the same
// zone.
func (c *Client) isPreferred(program string, a, b Copy) bool {
	if x, y := c.isSettled(a), c.isSettled(b); x != y {
		return x
	}
	return ranksBefore(program, a, b)
}

// successors returns the new copies that will be chosen for a program in place of the given ones,
// and may be so by hosts that have known them for longer. They copy the records of others before that,
// so that they would lack the latest ones.
func (c *Client) successors(program string, chosen []Copy) []Copy {
	return slices.DeleteFunc(slices.Clone(c.knownCopies()), func(known Copy) bool {
		succeeds := func(target Copy) bool { return target.Zone == known.Zone && ranksBefore(program, known, target) }
		return !known.New || !slices.ContainsFunc(chosen, succeeds)
	})
}

// standsIn reports whether other hosts may use another copy of the zone for a program: the
// target is new, so that some hosts may not know it yet, or it was chosen in place of a copy
// that ranks before it, which some hosts may still use.
func (c *Client) standsIn(program string, target Copy) bool {
	if target.New {
		return true
	}
	return slices.ContainsFunc(c.knownCopies(), func(other Copy) bool {
		return other.Zone == target.Zone && !other.New && ranksBefore(program, other, target)
	})
}

// countUnproven returns how many of the copies may have been chosen for a program by this host
// alone. Another copy of the zone isn't known to be lost, and ranks before the chosen one or isn't
// new as that one is. A host that is cut off from most copies takes these for lost, and majorities of
// copies that it chose in their place needn't intersect with those of others.
func (c *Client) countUnproven(program string, chosen []Copy, reports *lossReports) int {
	known := c.knownCopies()
	n := 0
	for _, target := range chosen {
		mayBeUsed := func(other Copy) bool {
			return other.Zone == target.Zone && other.Host != target.Host && !other.New &&
				(target.New || ranksBefore(program, other, target)) && !c.isLossHarmless(other.Host, reports)
		}
		if slices.ContainsFunc(known, mayBeUsed) {
			n++
		}
	}
	return n
}

// ranksBefore reports whether copy a has a higher rendezvous hash for a program than b.
func ranksBefore(program string, a, b Copy) bool {
	return rank(program, a.Host) > rank(program, b.Host)
}

// rank is the rendezvous hash of a program and a host.
func rank(program, host string) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(program))
	binary.LittleEndian.PutUint64(key[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(key[:])
}

// ReplicaFilter returns a function that reports whether a host may hold a program's records:
// no other copy of its zone ranks before it, except for copies that are new or lost.
func ReplicaFilter(host string, copies []Copy, lost func(host string) bool) func(program string) bool {
	self := slices.IndexFunc(copies, func(c Copy) bool { return c.Host == host })
	if self < 0 {
		// A host that isn't listed here gets the records of all programs.
		return func(string) bool { return true }
	}
	var alternatives []Copy
	for _, other := range copies {
		if other.Zone == copies[self].Zone && other.Host != host && !other.New && !lost(other.Host) {
			alternatives = append(alternatives, other)
		}
	}
	return func(program string) bool {
		return !slices.ContainsFunc(alternatives, func(r Copy) bool { return ranksBefore(program, r, copies[self]) })
	}
}

// TakeoverFilter returns a function that reports whether a host holds a program's records only
// because other hosts of its zone are gone: one of these ranks before it, and none of the other
// copies of the zone does.
func TakeoverFilter(host string, gone []string, copies []Copy, lost func(host string) bool) func(program string) bool {
	isGone := func(other string) bool { return slices.Contains(gone, other) }
	holds := ReplicaFilter(host, copies, func(other string) bool { return isGone(other) || lost(other) })
	return func(program string) bool {
		rankedBefore := func(other string) bool { return rank(program, other) > rank(program, host) }
		return slices.ContainsFunc(gone, rankedBefore) && holds(program)
	}
}

// isReplaced reports whether one of the chosen copies has the place of another copy of its zone that is
// silent or just back: one that ranks before it, or that may have been used before the chosen one was there.
// What this host hasn't seen, since it started later, the copies that answered may report. It doesn't matter if the host
// answers and says that the others have what it admitted.
func (c *Client) isReplaced(program string, other Copy, chosen []Copy, reports *lossReports) bool {
	now := c.Timer.Now()
	lastAnswer, isSilent := c.recent.lastAnswer(now, other.Host)
	since, isBack := reports.returned[other.Host]
	if c.IsReplicated(other.Host) {
		return false
	}
	return !other.New && !slices.Contains(chosen, other) && slices.ContainsFunc(chosen, func(target Copy) bool {
		ranks := ranksBefore(program, other, target)
		return target.Zone == other.Zone &&
			(isSilent && (ranks || !c.recent.isUsedBy(lastAnswer, target.Host)) ||
				isBack && (ranks || !c.recent.isUsedSince(now.Add(-since), target.Host)))
	})
}

// checkKnownCopies returns a *jkforward.NoQuorumError if this host knows fewer copies than
// have to hold a record, and may not know all of them yet. Another host that knows all copies
// wouldn't find the record.
func (c *Client) checkKnownCopies(operation string, copies []Copy) error {
	if c.knowsEnough(len(copies)) {
		return nil
	}
	return &jkforward.NoQuorumError{Operation: operation, Answers: len(copies), Needed: min(c.MaxLostDisks+1, c.ZoneCount)}
}

// knowsEnough reports whether this host knows copies in as many zones as have to hold a record, or
// is likely to know all copies.
func (c *Client) knowsEnough(zones int) bool {
	return zones >= min(c.MaxLostDisks+1, c.ZoneCount) || c.MembersSettled()
}

package jkaccount

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkforward"
)

// replicas returns the copies that hold a program: one in each zone, chosen by
// rendezvous hash among the zone's copies. All hosts have to choose alike, since
// majorities of different sets needn't meet. So a copy is passed over only while
// it is new or lost for long, not while it is out of reach of this host. The copy
// in the own zone comes first.
func (c *Client) replicas(program string) []Copy {
	best := map[string]Copy{}
	for _, candidate := range c.Copies() {
		known, ok := best[candidate.Zone]
		if !ok || c.beats(program, candidate, known) {
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

// isSettled reports whether all hosts are likely to count a copy.
func (c *Client) isSettled(target Copy) bool {
	return !target.New && !c.Lost(target.Host)
}

func (c *Client) distance(target Copy) int {
	switch {
	case !c.Reachable(target.Host):
		return 2
	case target.Zone != c.Zone:
		return 1
	}
	return 0
}

func (c *Client) beats(program string, a, b Copy) bool {
	if x, y := c.isSettled(a), c.isSettled(b); x != y {
		return x
	}
	return ranksBefore(program, a, b)
}

// standsIn reports whether a copy is chosen only because another one of its zone, which
// some hosts may still use, is passed over, or is one that some hosts may not know yet.
func (c *Client) standsIn(program string, target Copy) bool {
	if target.New {
		return true
	}
	return slices.ContainsFunc(c.Copies(), func(other Copy) bool {
		return other.Zone == target.Zone && !other.New && ranksBefore(program, other, target)
	})
}

func ranksBefore(program string, a, b Copy) bool {
	return rank(program, a.Host) > rank(program, b.Host)
}

func rank(program, host string) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], xxhash.Sum64String(program))
	binary.LittleEndian.PutUint64(key[8:], xxhash.Sum64String(host))
	return xxhash.Sum64(key[:])
}

// Holder returns a function that reports whether a host may be asked for a program:
// no other copy of its zone comes before it, but for those that are passed over.
func Holder(host string, copies []Copy, lost func(host string) bool) func(program string) bool {
	self := slices.IndexFunc(copies, func(c Copy) bool { return c.Host == host })
	if self < 0 {
		// A host that isn't listed here gets everything.
		return func(string) bool { return true }
	}
	var rivals []Copy
	for _, other := range copies {
		if other.Zone == copies[self].Zone && other.Host != host && !other.New && !lost(other.Host) {
			rivals = append(rivals, other)
		}
	}
	return func(program string) bool {
		return !slices.ContainsFunc(rivals, func(r Copy) bool { return ranksBefore(program, r, copies[self]) })
	}
}

// down counts the copies whose host is lost while their zone has been in reach
// for long enough that no entry there acts by itself.
func (c *Client) down(copies []Copy) int {
	n := 0
	for _, target := range copies {
		if !c.Reachable(target.Host) && c.ZoneSettled(target.Zone) {
			n++
		}
	}
	return n
}

// tooFew returns a *jkforward.NoQuorumError if fewer copies are known than have to
// hold a record. Another host that knows them all would miss it.
func (c *Client) tooFew(operation string, copies []Copy) error {
	wanted := min(c.Losses+1, c.Zones)
	if len(copies) >= wanted || c.MembersSettled() {
		return nil
	}
	return &jkforward.NoQuorumError{Operation: operation, Answers: len(copies), Needed: wanted}
}

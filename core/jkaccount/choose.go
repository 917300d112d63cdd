package jkaccount

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkforward"
)

// place is what one zone has of a program. See docs/decisions/budgets.md.
type place struct {
	zone string
	// needed are the copies that must all answer for the zone to count: the one
	// that all hosts choose or, while they may choose differently, all that one of
	// them may choose.
	needed []Copy
	// standIns take records as long as a needed copy is lost. They don't count,
	// since hosts that are cut off may still use the lost one.
	standIns []Copy
}

// maxUnproved bounds the copies of a zone that a host asks as long as it doesn't
// know which of them are new: the new one and the one that others still choose.
const maxUnproved = 2

// places returns the zones that hold a program: in each, copies are chosen by
// rendezvous hash. Majorities of different copies needn't meet, so that a copy is
// never replaced because it is silent, and a new one counts alone only once all
// hosts know it.
func (c *Client) places(program string) []place {
	byZone := map[string][]Copy{}
	for _, candidate := range c.Copies() {
		byZone[candidate.Zone] = append(byZone[candidate.Zone], candidate)
	}
	out := make([]place, 0, len(byZone))
	for zone, copies := range byZone {
		out = append(out, c.place(program, zone, copies))
	}
	slices.SortFunc(out, func(a, b place) int { return cmp.Compare(a.zone, b.zone) })
	return out
}

func (c *Client) place(program, zone string, copies []Copy) place {
	slices.SortFunc(copies, func(a, b Copy) int { return cmp.Compare(rank(program, b.Host), rank(program, a.Host)) })
	n := 1 + slices.IndexFunc(copies, func(o Copy) bool { return c.reach.isProved(o.Host) })
	if n == 0 {
		n = min(len(copies), maxUnproved)
	}
	p := place{zone: zone, needed: copies[:n]}
	if !slices.ContainsFunc(p.needed, func(n Copy) bool { return c.Lost(n.Host) }) {
		return p
	}
	for _, other := range copies[n:] {
		if !c.Lost(other.Host) {
			p.standIns = []Copy{other}
			break
		}
	}
	return p
}

// replicas returns all copies that get a program's records, those that are in
// reach and in the own zone first.
func (c *Client) replicas(program string) []Copy { return c.copiesOf(c.places(program)) }

func (c *Client) copiesOf(places []place) []Copy {
	var out []Copy
	for _, p := range places {
		out = append(append(out, p.needed...), p.standIns...)
	}
	slices.SortFunc(out, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
	return out
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

// tooFew returns an *UncertainError if copies in fewer zones are known than have to
// hold a record. Another host that knows them all would miss it.
func (c *Client) tooFew(operation string, copies []Copy) error {
	zones := map[string]bool{}
	for _, target := range copies {
		zones[target.Zone] = true
	}
	wanted := min(c.Losses+1, c.Zones)
	if len(zones) >= wanted || c.MembersSettled() {
		return nil
	}
	return &jkforward.UncertainError{Operation: operation, Answers: len(zones), Needed: wanted}
}

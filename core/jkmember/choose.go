package jkmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jktoken"
)

// maxSuccessors bounds the hosts that share the programs of an ended
// incarnation, so that its platform record stays small.
const maxSuccessors = 8

// weight returns the rendezvous hash of a name for a key.
func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// rankByWeight returns the hosts by descending rendezvous weight, with equal weights by name.
func rankByWeight(key string, hosts []Host) []Host {
	ranked := append([]Host(nil), hosts...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i].Incarnation.Host, ranked[j].Incarnation.Host
		wa, wb := weight(key, a), weight(key, b)
		if wa != wb {
			return wa > wb
		}
		return a < b
	})
	return ranked
}

// accepting returns the hosts of a zone that are up and neither leaving nor drained. If
// the platform's list names all of them as leaving, the list is ignored, since it may be
// out of date.
func (t *Table) accepting(zone string) []Host {
	var hosts, listedLeaving []Host
	for _, h := range t.Up(zone) {
		switch {
		case h.State != StateLive || t.drained[h.Incarnation.Host]:
		case t.leaving[h.Incarnation.Host]:
			listedLeaving = append(listedLeaving, h)
		default:
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return listedLeaving
	}
	return hosts
}

// Dispatcher returns the host that dispatches calls to an endpoint of a zone.
func (t *Table) Dispatcher(endpoint, zone string) (Host, bool) {
	return topRanked(endpoint, t.accepting(zone))
}

// topRanked returns the host that rankByWeight would put first, without sorting.
func topRanked(key string, hosts []Host) (best Host, ok bool) {
	var bestWeight uint64
	for _, h := range hosts {
		w := weight(key, h.Incarnation.Host)
		if !ok || w > bestWeight || (w == bestWeight && h.Incarnation.Host < best.Incarnation.Host) {
			best = h
			bestWeight = w
			ok = true
		}
	}
	return best, ok
}

// Dispatchers returns the dispatcher of every endpoint of one zone. It evaluates the
// zone's hosts only once.
func (t *Table) Dispatchers(zone string, endpoints []string) map[string]Host {
	hosts := t.accepting(zone)
	out := make(map[string]Host, len(endpoints))
	for _, e := range endpoints {
		if h, ok := topRanked(e, hosts); ok {
			out[e] = h
		}
	}
	return out
}

// leaderRanking ranks the hosts of a zone as candidates for its leader. A zone whose hosts
// are all drained still needs a leader, because only the leader learns of the edit that
// undoes a drain.
func (t *Table) leaderRanking(zone string) []Host {
	hosts := t.accepting(zone)
	if len(hosts) == 0 {
		hosts = t.Up(zone)
	}
	return rankByWeight("zone leader", hosts)
}

// Leader returns the host of the zone that watches the platform and communicates with the
// other zones.
func (t *Table) Leader(zone string) (Host, bool) {
	ranked := t.leaderRanking(zone)
	if len(ranked) == 0 {
		return Host{}, false
	}
	return ranked[0], true
}

// SendsDigest reports whether this host sends its zone's digest in a round. The two hosts
// that rank first alternate, so that digests still arrive when one of them fails. A host
// that has just started sends none until its view of the zone is complete: its digest
// would report as down the hosts whose heartbeats it hasn't received yet.
func (t *Table) SendsDigest(round int) bool {
	if !t.ownZoneComplete() {
		return false
	}
	ranked := t.leaderRanking(t.options.Self.Zone)
	if len(ranked) == 0 {
		return false
	}
	return ranked[round%min(2, len(ranked))].Incarnation == t.Self().Incarnation
}

// Copies returns up to two hosts with a disk that keep a program's history: one in the own
// zone if it has any, and no two in the same zone.
func (t *Table) Copies(program string) []Host {
	var chosen []Host
	zones := []string{t.options.Self.Zone}
	var others []Host
	for _, name := range t.Zones() {
		if name != t.options.Self.Zone {
			others = append(others, Host{Incarnation: jktoken.Incarnation{Host: name}})
		}
	}
	for _, z := range rankByWeight(program, others) {
		zones = append(zones, z.Incarnation.Host)
	}
	for _, zone := range zones {
		if h, ok := t.diskHost(program, zone); ok {
			chosen = append(chosen, h)
		}
		if len(chosen) == 2 {
			break
		}
	}
	return chosen
}

// diskHost returns the zone's highest-ranked accepting host with a disk.
func (t *Table) diskHost(program, zone string) (Host, bool) {
	for _, h := range rankByWeight(program, t.accepting(zone)) {
		if h.Disk {
			return h, true
		}
	}
	return Host{}, false
}

// Successors returns up to maxSuccessors hosts that take over the programs of an ended
// incarnation: those of its own zone, or of all zones if its own has none left.
func (t *Table) Successors(ended jktoken.Incarnation, zone string) []jktoken.Incarnation {
	candidates := t.withoutEnded(t.accepting(zone), ended)
	if len(candidates) == 0 {
		for _, z := range t.Zones() {
			candidates = append(candidates, t.withoutEnded(t.accepting(z), ended)...)
		}
	}
	var successors []jktoken.Incarnation
	for _, h := range rankByWeight(ended.String(), candidates) {
		if len(successors) == maxSuccessors {
			break
		}
		successors = append(successors, h.Incarnation)
	}
	return successors
}

// withoutEnded returns the hosts without the ended incarnation and earlier ones of its host.
func (t *Table) withoutEnded(hosts []Host, ended jktoken.Incarnation) []Host {
	var remaining []Host
	for _, h := range hosts {
		// An earlier incarnation of the host may still be marked as up in this table.
		if h.Incarnation.Host != ended.Host || h.Incarnation.Start > ended.Start {
			remaining = append(remaining, h)
		}
	}
	return remaining
}

// Successor returns the incarnation among successors that takes a program over. It depends
// on its arguments only, so that all hosts agree.
func Successor(program string, successors []jktoken.Incarnation) (jktoken.Incarnation, bool) {
	var best jktoken.Incarnation
	var bestWeight uint64
	for _, s := range successors {
		w := weight(program, s.Host)
		if best.IsZero() || w > bestWeight || (w == bestWeight && s.Host < best.Host) {
			best = s
			bestWeight = w
		}
	}
	return best, !best.IsZero()
}

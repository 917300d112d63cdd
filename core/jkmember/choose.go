package jkmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jktoken"
)

// maxSuccessors bounds the hosts that share the programs of an ended
// incarnation, so that its platform record stays small.
const maxSuccessors = 8

// weight is the rendezvous weight of a name for a key.
func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// rank orders hosts by falling rendezvous weight.
func rank(key string, hosts []Host) []Host {
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

// accepting returns the hosts of a zone that are up and neither leaving nor
// drained. If the lagging list names all of them, it is not believed.
func (t *Table) accepting(zone string) []Host {
	var hosts, listed []Host
	for _, h := range t.Up(zone) {
		switch {
		case h.State != StateLive || t.drained[h.Incarnation.Host]:
		case t.leaving[h.Incarnation.Host]:
			listed = append(listed, h)
		default:
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return listed
	}
	return hosts
}

// Dispatcher returns the host that sends work to an endpoint of a zone.
func (t *Table) Dispatcher(endpoint, zone string) (Host, bool) {
	return heaviest(endpoint, t.accepting(zone))
}

// heaviest returns the host that rank would put first.
func heaviest(key string, hosts []Host) (best Host, ok bool) {
	var most uint64
	for _, h := range hosts {
		w := weight(key, h.Incarnation.Host)
		if !ok || w > most || (w == most && h.Incarnation.Host < best.Incarnation.Host) {
			best = h
			most = w
			ok = true
		}
	}
	return best, ok
}

// Dispatchers returns the dispatcher of every endpoint of one zone; it looks at
// the hosts only once.
func (t *Table) Dispatchers(zone string, endpoints []string) map[string]Host {
	hosts := t.accepting(zone)
	out := make(map[string]Host, len(endpoints))
	for _, e := range endpoints {
		if h, ok := heaviest(e, hosts); ok {
			out[e] = h
		}
	}
	return out
}

// leaders ranks the hosts of a zone as its leaders. A zone whose hosts are all
// drained still needs one, because only the leader learns of the edit that takes
// a drain back.
func (t *Table) leaders(zone string) []Host {
	hosts := t.accepting(zone)
	if len(hosts) == 0 {
		hosts = t.Up(zone)
	}
	return rank("zone leader", hosts)
}

// Leader returns the host of the zone that watches the platform and talks to
// the other zones.
func (t *Table) Leader(zone string) (Host, bool) {
	ranked := t.leaders(zone)
	if len(ranked) == 0 {
		return Host{}, false
	}
	return ranked[0], true
}

// Speaks reports whether this host sends its zone's digest in a round. The two
// first hosts take turns, so that the zone is still heard when one of them dies.
// A host that has just started listens first: its digest would name the hosts that
// it has not heard yet as down.
func (t *Table) Speaks(round int) bool {
	if !t.knowsOwn() {
		return false
	}
	ranked := t.leaders(t.options.Self.Zone)
	if len(ranked) == 0 {
		return false
	}
	return ranked[round%min(2, len(ranked))].Incarnation == t.Self().Incarnation
}

// Copies returns up to two hosts with a disk for a program's history: one in
// the own zone if it has one, and the others from different zones.
func (t *Table) Copies(program string) []Host {
	var chosen []Host
	zones := []string{t.options.Self.Zone}
	var others []Host
	for _, name := range t.Zones() {
		if name != t.options.Self.Zone {
			others = append(others, Host{Incarnation: jktoken.Incarnation{Host: name}})
		}
	}
	for _, z := range rank(program, others) {
		zones = append(zones, z.Incarnation.Host)
	}
	for _, zone := range zones {
		if h, ok := t.disk(program, zone); ok {
			chosen = append(chosen, h)
		}
		if len(chosen) == 2 {
			break
		}
	}
	return chosen
}

func (t *Table) disk(program, zone string) (Host, bool) {
	for _, h := range rank(program, t.accepting(zone)) {
		if h.Disk {
			return h, true
		}
	}
	return Host{}, false
}

// Successors returns the hosts that take over the programs of an ended
// incarnation: those of its own zone, or of all zones if it has none left.
func (t *Table) Successors(ended jktoken.Incarnation, zone string) []jktoken.Incarnation {
	candidates := t.without(t.accepting(zone), ended)
	if len(candidates) == 0 {
		for _, z := range t.Zones() {
			candidates = append(candidates, t.without(t.accepting(z), ended)...)
		}
	}
	var successors []jktoken.Incarnation
	for _, h := range rank(ended.String(), candidates) {
		if len(successors) == maxSuccessors {
			break
		}
		successors = append(successors, h.Incarnation)
	}
	return successors
}

func (t *Table) without(hosts []Host, ended jktoken.Incarnation) []Host {
	var rest []Host
	for _, h := range hosts {
		// A former incarnation of the host may still count as up here.
		if h.Incarnation.Host != ended.Host || h.Incarnation.Start > ended.Start {
			rest = append(rest, h)
		}
	}
	return rest
}

// Successor returns the incarnation among successors that takes a program.
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

package jkquota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstPerHolder is the burst for which there is one holder. With a bucket of one permit
	// at each of nine issuers, a fifth of the requests just below the cap were refused.
	burstPerHolder = 8
	// PullInterval is the interval at which a holder asks the other issuers for what they have
	// collected. They can keep what they collect in it.
	PullInterval = 125 * time.Millisecond
	// pooledPulls is the number of intervals of the rate that the burst of a pooled workspace has at
	// least. Holders with less lose a part of what the others collect between two pulls.
	pooledPulls = 2
	// activePeriod is how long after a question of an entry a holder pulls for its first level only.
	// For a window after the question, it pulls for the larger ones.
	activePeriod = time.Second
)

// share is what one issuer has of a cap: its rate, the capacity of its bucket, and the rate with
// what others collect for it.
type share struct {
	rate, capacity, inflow float64
	// extraCapacity is that of the last level, and slowdown by how much it fills more slowly.
	extraCapacity, slowdown float64
}

// holderChoice caches the choice of a workspace's holders.
type holderChoice struct {
	hosts   []Host
	burst   float64
	rate    float64
	holders []Host
}

// choose returns the issuers that entries ask for permits of a workspace.
func (c *holderChoice) choose(hosts []Host, workspace string, rate, burst float64) []Host {
	if len(c.hosts) != len(hosts) || len(hosts) > 0 && &c.hosts[0] != &hosts[0] || c.rate != rate || c.burst != burst {
		*c = holderChoice{hosts: hosts, rate: rate, burst: burst, holders: holders(hosts, workspace, rate, burst)}
	}
	return c.holders
}

// holders returns the issuers that grant permits of a workspace: all of them, unless its burst is
// small. Then some of them, at least one in each zone, hold it in larger buckets, and the others
// collect their parts of the rate for them. If the burst is small against the rate, they couldn't
// keep what they collect.
func holders(hosts []Host, workspace string, rate, burst float64) []Host {
	zones := map[string]bool{}
	for _, h := range hosts {
		zones[h.Zone] = true
	}
	n := max(int(min(burst, 1e6)/burstPerHolder), len(zones))
	if n >= len(hosts) || burst < pooledPulls*rate*PullInterval.Seconds() {
		return hosts
	}
	return FirstOfZones(hosts, workspace, n)
}

// FirstOfZones returns n hosts by rendezvous hash, with as many zones as possible.
func FirstOfZones(hosts []Host, key string, n int) []Host {
	ranked := slices.Clone(hosts)
	weight := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weight[h.Name] = xxhash.Sum64String(key + "\x00" + h.Name)
	}
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight[a.Name], weight[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	var chosen, rest []Host
	zones := map[string]bool{}
	for _, h := range ranked {
		if zones[h.Zone] {
			rest = append(rest, h)
			continue
		}
		zones[h.Zone] = true
		chosen = append(chosen, h)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(n, len(chosen))]
}

// shareOf returns the share of one of several issuers. The capacities of all sum up to the burst.
func shareOf(rate, burst float64, issuers, holders int, isHolder bool) share {
	m, k := float64(issuers), float64(holders)
	extra := extraCapacity(rate, m, k)
	s := share{rate: rate / m, capacity: burst / m, inflow: rate / m, extraCapacity: extra, slowdown: extra / (rate / m * window.Seconds())}
	collected := min(rate/m*PullInterval.Seconds(), burst/m)
	switch {
	case holders >= issuers:
		s.capacity = max(s.capacity, 1)
	case isHolder:
		s.capacity = max((burst-(m-k)*collected)/k, 1)
		s.inflow = rate / k
	default:
		s.capacity, s.extraCapacity, s.slowdown = collected, 0, 0
	}
	return s
}

package jksched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// holdersOf returns the ids of the endpoints that are expected to hold a part.
func holdersOf(d *DirectPlacer, now time.Time, part string) []string {
	d.updateHolders(now, "llm")
	var out []string
	for _, row := range d.preferredEndpoints("llm", part) {
		out = append(out, row.endpoint.ID)
	}
	slices.Sort(out)
	return out
}

// feedDemand counts calls with popular parts drawn at random.
func feedDemand(d *DirectPlacer, seed uint64, parts, calls int) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range calls {
		d.MergeDemand("llm", Segment{Hash: fmt.Sprint("part", drawSharedPart(random, parts)), Tokens: 12600}, 1)
	}
}

// Guards against a hot part that only a quarter of the engines hold, and against a rare part that
// takes the memory of as many.
func TestHoldersFollowDemand(t *testing.T) {
	for _, learned := range []bool{false, true} {
		d := newLearnedDirect(48, learned)
		d.MergeDemand("llm", Segment{Hash: "rare", Tokens: 12600}, 1)
		for range 20 {
			d.MergeDemand("llm", Segment{Hash: "hot", Tokens: 12600}, 30)
			d.MergeDemand("llm", Segment{Hash: "other", Tokens: 12600}, 3)
		}
		hot, other, rare := len(holdersOf(d, start, "hot")), len(holdersOf(d, start, "other")), len(holdersOf(d, start, "rare"))
		if !learned && (hot != 12 || rare != 12) {
			t.Errorf("without learned placement, %d and %d holders of a hot and a rare part, want 12 as before", hot, rare)
		}
		if learned && (hot != 48 || other >= 30 || rare != minPreferred) {
			t.Errorf("%d, %d and %d holders of a hot, another and a rare part, want 48, below 30 and %d", hot, other, rare, minPreferred)
		}
	}
}

// Guards against engines that get no calls all day and others that get twice the mean, because the
// holders of six parts are chosen independently of each other.
func TestPopularPartsAreBalanced(t *testing.T) {
	for _, lost := range []float64{0, 0.6} {
		share := [2]float64{}
		for i, learned := range []bool{false, true} {
			site := bullesGrown
			site.learned, site.lostDigests, site.sharedParts, site.kinds = learned, lost, 6, site.kinds[1:]
			m := newFleetModel(site, 1)
			m.hostChangeShare = 0.53
			m.after(20*time.Second, func() {
				for _, e := range m.engines {
					e.turns = 0
				}
			})
			m.run(80*time.Second, func(time.Duration) float64 { return 100 })
			least, most, sum := m.engines[0].turns, 0, 0
			for _, e := range m.engines {
				least, most, sum = min(least, e.turns), max(most, e.turns), sum+e.turns
			}
			share[i] = float64(most) * float64(len(m.engines)) / float64(sum)
			t.Logf("learned %t, lost digests %v: turns of engines from %d to %d, %.2f times the mean, first token p50 %s p95 %s", learned, lost, least, most, share[i], m.waitQuantile(0.5), m.waitQuantile(0.95))
			if learned && (least == 0 || share[i] > 1.3) {
				t.Errorf("lost digests %v: the busiest engine got %.2f times the mean, want at most 1.3, and the least busy one %d turns", lost, share[i], least)
			}
		}
	}
}

// Guards against hosts that expect parts at different engines, because each has seen other calls.
func TestHostsAgreeOnHolders(t *testing.T) {
	a, b := newLearnedDirect(48, true), newLearnedDirect(48, true)
	feedDemand(a, 1, 6, 1500)
	feedDemand(b, 2, 6, 1500)
	for k := range 6 {
		part := fmt.Sprint("part", k)
		x, y := holdersOf(a, start, part), holdersOf(b, start, part)
		common := 0
		for _, id := range x {
			if slices.Contains(y, id) {
				common++
			}
		}
		if all := len(x) + len(y) - common; common*3 < all*2 {
			t.Errorf("%s: %d holders in common of %d, want two thirds", part, common, all)
		}
	}
}

// Guards against calls for an engine that has left, and against an assignment that is made anew for
// all others when one leaves.
func TestHoldersWhenAnEndpointLeaves(t *testing.T) {
	d := newLearnedDirect(48, true)
	feedDemand(d, 1, 6, 1500)
	before := map[string][]string{}
	for k := range 6 {
		before[fmt.Sprint("part", k)] = holdersOf(d, start, fmt.Sprint("part", k))
	}
	d.RemoveEndpoint("e007")
	kept, all := 0, 0
	for part, ids := range before {
		now := holdersOf(d, start.Add(changeInterval), part)
		if slices.Contains(now, "e007") {
			t.Errorf("%s: the engine that left is still a holder", part)
		}
		for _, id := range ids {
			if id != "e007" {
				all++
			}
			if slices.Contains(now, id) {
				kept++
			}
		}
	}
	if kept*5 < all*4 {
		t.Errorf("%d of %d holders were kept, want four fifths", kept, all)
	}
}

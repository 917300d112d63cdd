package jkquota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testCap(rate, burst float64) Cap {
	return Cap{Workspace: "w", Version: 1, Rate: rate, Burst: burst}
}

// windowBound is what may run in a window of 5 s with and without disturbances.
func windowBound(c Cap, disturbed bool, issuers int) float64 {
	if disturbed {
		return (c.Rate*5+c.Burst)*1.1 + 20
	}
	// The last two terms are the permits that are on their way when a window starts.
	return c.Rate*5 + max(c.Burst, float64(issuers)) + c.Rate*0.005 + 1
}

// Guards against more requests than the cap allows without disturbances: by spare permits, by
// permits that are released, by rounding.
func TestCalmFleetKeepsTheCapExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := calmOrder{cap: testCap(float64(rapid.IntRange(2, 300).Draw(t, "rate")), float64(rapid.IntRange(0, 600).Draw(t, "burst")))}
		o.issuers = rapid.IntRange(1, 16).Draw(t, "issuers")
		o.seed, o.entries, o.zones = rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 30).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "zones")
		o.unsent = rapid.SampledFrom([]float64{0, 0, 0.3, 0.9}).Draw(t, "unsent")
		o.weight = rapid.IntRange(0, 20).Draw(t, "weight")
		o.load = rapid.Float64Range(0.3, 3).Draw(t, "load")
		o.silence = time.Duration(rapid.IntRange(0, 10).Draw(t, "silence")) * time.Second
		o.check(t)
	})
}

// calmOrder is an order without disturbances.
type calmOrder struct {
	cap                     Cap
	issuers, entries, zones int
	seed                    uint64
	unsent, load            float64
	weight                  int
	silence                 time.Duration
}

func (o calmOrder) check(t interface{ Fatalf(string, ...any) }) {
	f := newFleet(o.seed, o.entries, o.issuers, o.zones, o.cap)
	f.unsentShare = o.unsent
	f.unsentAfter = 2 * time.Second
	weights := evenly(len(f.entries))
	weights[0] += float64(o.weight)
	// Buckets are full after a silence, which a burst then uses.
	f.run(o.silence)
	f.load(o.cap.Rate*o.load, 0.3, weights)
	f.run(4 * time.Second)
	f.load(2*o.cap.Rate, 0.3, weights)
	f.run(8 * time.Second)
	if worst := f.worstExcess(func(time.Time) float64 { return windowBound(o.cap, false, o.issuers) }); worst > 0 {
		t.Fatalf("%.1f requests beyond the cap in a window", worst)
	}
}

// Guards against two holders that collect little and use extra capacity that others pay for.
func TestCalmFleetWithUnevenHoldersKeepsTheCap(t *testing.T) {
	calmOrder{cap: testCap(95, 45), issuers: 12, seed: 0xc629, entries: 13, zones: 1, load: 1.5625, silence: 6 * time.Second}.check(t)
}

// Guards against permits beyond the cap where one holder collects all that others earn.
func TestUnevenlyCollectedPermitsKeepTheCap(t *testing.T) {
	for _, c := range []Cap{testCap(95, 45), testCap(28, 14), testCap(10, 10)} {
		now := time.Unix(1000, 0)
		hosts, issuers := testHosts(12), map[string]*Issuer{}
		for n := range hosts {
			hosts[n].Zone = fmt.Sprint("z", n%3)
			issuers[hosts[n].Name] = NewIssuer(now, hosts[n].Name)
		}
		for _, i := range issuers {
			i.SetIssuers(now, hosts)
		}
		chosen, granted := holders(hosts, c.Workspace, c.Rate, c.Burst), 0
		now = now.Add(time.Minute)
		for end := now.Add(window); !now.After(end); now = now.Add(time.Millisecond) {
			for _, h := range chosen {
				a, _ := issuers[h.Name].Take(now, Request{Workspace: c.Workspace, Version: 1, Rate: c.Rate, Burst: c.Burst, Count: 1000})
				granted += a.Granted
			}
			for _, p := range issuers[chosen[0].Name].Pulls(now) {
				issuers[chosen[0].Name].Collect(now, p, issuers[p.To.Name].Give(now, p.Request))
			}
		}
		if most := c.Rate*window.Seconds() + c.Burst; float64(granted) > most {
			t.Errorf("cap %v: %d permits in a window, want at most %v", c, granted, most)
		}
	}
}

// disturbance is one random disturbance of a fleet.
func disturb(t *rapid.T, f *fleet, n int) {
	label := func(s string) string { return fmt.Sprint(s, n) }
	kind := rapid.SampledFrom([]string{"cut", "kill issuer", "restart issuer", "remove issuer", "add issuer", "pause issuer", "kill entry", "pause entry", "loss"}).Draw(t, label("kind"))
	lasts := time.Duration(rapid.IntRange(20, 6000).Draw(t, label("lasts"))) * time.Millisecond
	issuer := f.issuers[fmt.Sprint("s", rapid.IntRange(0, len(f.issuers)-1).Draw(t, label("issuer")))]
	entry := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(t, label("entry"))]
	f.after(time.Duration(rapid.IntRange(0, 15_000).Draw(t, label("at")))*time.Millisecond, func() {
		switch kind {
		case "cut":
			f.cutZones[issuer.zone] = true
			f.after(lasts, func() { delete(f.cutZones, issuer.zone) })
		case "kill issuer":
			issuer.dead = true
			f.after(lasts, func() { f.restartIssuer(issuer) })
		case "restart issuer":
			f.restartIssuer(issuer)
		case "remove issuer":
			f.setListed(issuer.name, false)
			f.after(lasts, func() { f.setListed(issuer.name, true) })
		case "add issuer":
			added := f.addIssuer(fmt.Sprint("s", len(f.issuers)), issuer.zone)
			f.setListed(added.name, true)
			f.restartIssuer(added)
		case "pause issuer":
			issuer.pausedUntil = f.now.Add(lasts)
		case "kill entry":
			entry.dead = true
			f.after(lasts, func() { f.startEntry(entry) })
		case "pause entry":
			entry.pausedUntil = f.now.Add(lasts)
		case "loss":
			f.loss = rapidShare(lasts)
			f.after(lasts, func() { f.loss = 0 })
		}
	})
}

// rapidShare is a share of lost messages up to 0.3.
func rapidShare(d time.Duration) float64 { return 0.3 * float64(d%time.Second) / float64(time.Second) }

// Guards against more requests than the cap and its tolerance allow in any order of cuts, kills,
// restarts, joins, departures, pauses, lost and late answers, and new versions of the rules that
// entries get at different times.
func TestDisturbedFleetKeepsTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := testCap(float64(rapid.IntRange(5, 200).Draw(t, "rate")), float64(rapid.IntRange(0, 300).Draw(t, "burst")))
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 24).Draw(t, "entries"), rapid.IntRange(2, 12).Draw(t, "issuers"), rapid.IntRange(1, 4).Draw(t, "zones"), before)
		f.unsentShare, f.unsentAfter = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "unsent"), time.Second
		f.run(time.Duration(rapid.IntRange(0, 5).Draw(t, "silence")) * time.Second)
		f.load(before.Rate*rapid.Float64Range(0.5, 2.5).Draw(t, "load"), 0.3, evenly(len(f.entries)))
		for n := range rapid.IntRange(0, 8).Draw(t, "disturbances") {
			disturb(t, f, n)
		}
		after, changesAt, inForceAt := before, f.now.Add(time.Hour), f.now.Add(time.Hour)
		if rapid.Bool().Draw(t, "new version") {
			after = Cap{Workspace: "w", Version: 2, Rate: before.Rate * rapid.Float64Range(0.1, 3).Draw(t, "times"), Burst: float64(rapid.IntRange(0, 300).Draw(t, "new burst"))}
			changesAt = f.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "changes at")) * time.Second)
			// Spare permits of the version before are valid a little longer.
			inForceAt = changesAt.Add(3*time.Second + spareValidity)
			for _, e := range f.entries {
				f.at(changesAt.Add(f.randomTime(3*time.Second)), func() { e.cap = after })
			}
		}
		f.run(20 * time.Second)
		worst := f.worstExcess(func(start time.Time) float64 {
			switch {
			case start.Add(5 * time.Second).Before(changesAt):
				return windowBound(before, true, 0)
			case start.Before(inForceAt):
				return max(windowBound(before, true, 0), windowBound(after, true, 0))
			}
			return windowBound(after, true, 0)
		})
		if worst > 0 {
			t.Fatalf("%.1f requests beyond the cap in a window", worst)
		}
	})
}

// Guards against callers that are refused below the cap, with load that is spread evenly or
// unevenly, and during cuts and after kills. The shares are means over several fleets, since 2 s of
// a small cap are few requests.
func TestCapIsUsable(t *testing.T) {
	for _, c := range []Cap{testCap(10, 10), testCap(28, 14), testCap(28, 28), testCap(200, 100), testCap(1100, 1100)} {
		for name, weights := range map[string][]float64{"even": evenly(67), "uneven": unevenly(67)} {
			t.Run(fmt.Sprint(c.Rate, "+", c.Burst, name), func(t *testing.T) {
				shares := map[string]float64{}
				fleets := max(2, int(200/c.Rate))
				for seed := range fleets {
					for what, share := range usableShares(c, uint64(seed), weights) {
						shares[what] += share / float64(fleets)
					}
				}
				t.Logf("shares of the cap: %v", shares)
				for what, least := range map[string]float64{"calm": 0.95, "near the cap": 0.95, "issuer killed": 0.85, "entry killed": 0.85, "zone cut": 0.85} {
					if shares[what] < least {
						t.Errorf("%s: %.3f of the cap served, want %.2f", what, shares[what], least)
					}
				}
			})
		}
	}
}

// usableShares returns the parts of the cap that a fleet serves in several phases.
func usableShares(c Cap, seed uint64, weights []float64) map[string]float64 {
	shares := map[string]float64{}
	f := newFleet(seed, 67, 9, 3, c)
	measure := func(what string, lasts time.Duration) {
		from := f.now.Sub(f.start)
		f.run(lasts)
		shares[what] = float64(f.ranBetween(from, from+lasts)) / (c.Rate * lasts.Seconds())
	}
	f.load(1.2*c.Rate, 0.3, weights)
	f.run(5 * time.Second)
	measure("near the cap", 20*time.Second)
	f.load(0.8*c.Rate, 0.3, weights)
	f.run(2 * time.Second)
	measure("calm", 20*time.Second)
	issuer := f.issuers[fmt.Sprint("s", seed%9)]
	issuer.dead = true
	measure("issuer killed", 2*time.Second)
	f.restartIssuer(issuer)
	f.run(4 * time.Second)
	f.entries[1].dead = true
	measure("entry killed", 2*time.Second)
	f.startEntry(f.entries[1])
	f.run(time.Second)
	f.cutZones["z2"] = true
	measure("zone cut", 10*time.Second)
	return shares
}

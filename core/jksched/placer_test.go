package jksched

import (
	"testing"
	"time"
)

// Guards against placements whose number of candidates grows with the fleet.
func TestPlaceTouchesFewEndpoints(t *testing.T) {
	p := newFilledPlacer(1000, 3000)
	most := p.opt.Holders + 2*p.opt.Sample + 1
	for i := range 200 {
		got, err := p.Place(start, benchCall(1000, i))
		if err != nil {
			t.Fatal(err)
		}
		if n := len(got.Alternatives) + 1; n > most {
			t.Fatalf("call %d: %d endpoints considered, want at most %d", i, n, most)
		}
	}
}

// Guards against an endpoint that looks busy for ever: the clock of its dispatcher is
// behind, so that no load digest covers the home's placements.
func TestPlacementsAreForgottenWithoutDigest(t *testing.T) {
	p := NewPlacer(testOptions())
	p.SetEndpoint(Endpoint{ID: "e1", Kind: KindModel, Models: []string{"m"}, Slots: 1, State: StateLive})
	p.SetLoad(Load{Endpoint: "e1", At: start})
	p.SetLoad(Load{Endpoint: "e1", At: start.Add(-time.Hour), Limit: 1})
	if got := p.endpoints["e1"].load.Limit; got != 1 {
		t.Fatalf("limit %d: the digest of a dispatcher whose clock is behind was ignored", got)
	}
	c := Call{Kind: KindModel, Model: "m", MaxTokens: 100}
	for range 3 {
		if _, err := p.Place(start, c); err != nil {
			t.Fatal(err)
		}
	}
	got, err := p.Place(start.Add(2*time.Second), c)
	if err != nil || got.PredictedWait != 0 {
		t.Fatalf("got %v, %v; want no wait", got, err)
	}
}

// Guards against a frequently used shared prompt staying on the one endpoint that has it
// cached, and against a rarely used one being prefilled on every endpoint.
func TestHotPromptSpreads(t *testing.T) {
	for _, test := range []struct {
		uses   int
		spread bool
	}{{1, false}, {200, true}} {
		p := NewPlacer(testOptions())
		for _, id := range []string{"e1", "e2"} {
			p.SetEndpoint(Endpoint{ID: id, Kind: KindModel, Models: []string{"m"}, Slots: 32, State: StateLive})
		}
		c := Call{
			Kind: KindModel, Model: "m", Workspace: "w", PromptTokens: 3000, MaxTokens: 100,
			Prefix: []Segment{{Hash: "w", Tokens: 2900}},
		}
		found := map[string]bool{}
		for i := range test.uses {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			p.SetLoad(Load{Endpoint: "e1", At: now, Running: 20, Limit: 32, HotPrefixes: c.Prefix})
			p.SetLoad(Load{Endpoint: "e2", At: now, Running: 10, Limit: 32})
			got, err := p.Place(now, c)
			if err != nil {
				t.Fatal(err)
			}
			found[got.Endpoint] = true
		}
		if found["e2"] != test.spread || !found["e1"] {
			t.Errorf("%d uses: got endpoints %v, want spread %v", test.uses, found, test.spread)
		}
	}
}

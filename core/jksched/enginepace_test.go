package jksched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against estimates that stay at the assumed figures, or that one wild measurement or
// the prefill of other calls carries away.
func TestEnginePacesAreMeasured(t *testing.T) {
	const slots = 16
	for _, engine := range []struct{ token, prefill time.Duration }{
		{935 * time.Microsecond, 3 * time.Microsecond},
		{4340 * time.Microsecond, 27 * time.Microsecond},
		{300 * time.Microsecond, 12 * time.Microsecond},
	} {
		random := rand.New(rand.NewPCG(7, 1))
		d := NewDirectPlacer(DefaultDirectOptions())
		d.SetEndpoint(Endpoint{ID: "e", Kind: KindModel, Service: "llm", Slots: slots, State: StateLive})
		now := time.Unix(1000, 0)
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			d.Report(now, "e", DirectLoad{Running: 0, Slots: slots})
			gap := 5 * engine.token
			switch {
			case random.IntN(3) == 0:
				// Another call's prompt is read between two events.
				gap += time.Duration(random.IntN(3000)) * engine.prefill
			case i%50 == 0:
				gap = time.Minute
			}
			d.Progress(now, "e", 5, gap)
			uncached := int64(random.IntN(4000))
			took := 2*time.Millisecond + 5*engine.token + time.Duration(uncached)*engine.prefill + time.Duration(random.ExpFloat64()*float64(10*engine.token))
			d.FirstEvent("e", uncached, took, DirectLoad{Running: 3, Slots: slots})
			// These say nothing of the time that a prompt takes.
			d.FirstEvent("e", 10, time.Second, DirectLoad{Running: slots, Waiting: 9, Slots: slots})
		}
		p := d.enginePace("llm")
		expectNear(t, "time per token", p.tokenPace(), engine.token)
		expectNear(t, "time per prompt token", p.prefillPace(), engine.prefill)
	}
}

// expectNear fails unless a duration is within a quarter of another one.
func expectNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*3/4 || got > want*5/4 {
		t.Errorf("%s: %s, want about %s", what, got, want)
	}
}

// BenchmarkDirectPlace places a call among a thousand engines.
func BenchmarkDirectPlace(b *testing.B) {
	d := NewDirectPlacer(DefaultDirectOptions())
	for i := range 1000 {
		d.SetEndpoint(Endpoint{ID: fmt.Sprint("e", i), Zone: fmt.Sprint(i % 6), Kind: KindModel, Service: "llm", Slots: 16, State: StateLive})
	}
	now := time.Unix(1000, 0)
	for b.Loop() {
		c := Call{ID: "c", Program: "p", Kind: KindModel, Service: "llm", MaxTokens: 100, PromptTokens: 3000, Prefix: []Segment{{Hash: "s", Tokens: 2000}, {Hash: "own", Tokens: 1000}}}
		p, err := d.Place(now, c, nil)
		if err != nil {
			b.Fatal(err)
		}
		d.Done(now, p.Endpoint, DirectServed, time.Second)
	}
}

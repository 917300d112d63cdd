package jksched

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against learned state that doesn't fit the calls in flight after any order of events, and
// against predictions that overflow by what callers and endpoints say.
func TestLearnedPlacementInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newLearnedDirect(6, true)
		now := start
		inFlight := map[string][]uint64{}
		ids := []string{"e000", "e001", "e002", "e003", "e004", "e005"}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "endpoint")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				c := turnCall(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "program")))
				c.MaxTokens = rapid.SampledFrom([]int64{0, 1, 300, math.MaxInt64}).Draw(t, "hint")
				c.PromptTokens = rapid.SampledFrom([]int64{14000, math.MaxInt64}).Draw(t, "prompt")
				p, err := d.Place(now, c, []string{id})
				if err != nil {
					continue
				}
				if p.Endpoint == id || p.Ticket == 0 || p.PredictedWait < 0 || p.PredictedRun < 0 {
					t.Fatalf("placed %+v, %s is excluded", p, id)
				}
				inFlight[p.Endpoint] = append(inFlight[p.Endpoint], p.Ticket)
			case 2:
				if tickets := inFlight[id]; len(tickets) > 0 {
					d.ProgressOf(now, id, tickets[0], 40, 50*time.Millisecond)
					f := FinishedCall{
						Endpoint: id, Ticket: tickets[0], Took: time.Duration(rapid.SampledFrom([]int64{0, 1, 1e8, 1e16}).Draw(t, "took")),
						Outcome: rapid.SampledFrom([]DirectOutcome{DirectServed, DirectFault, DirectRefused, DirectAbandoned}).Draw(t, "outcome"),
						Tokens:  rapid.SampledFrom([]int64{0, 100, math.MaxInt64}).Draw(t, "tokens"),
					}
					d.Finish(now, f)
					d.Finish(now, f)
					inFlight[id] = tickets[1:]
				}
			case 3:
				d.Report(now, id, DirectLoad{Running: rapid.IntRange(0, 1<<20).Draw(t, "running"), Slots: 8, Pace: 1000})
			case 4:
				d.RemoveEndpoint(id)
				inFlight[id] = nil
			case 5:
				d.SetEndpoint(Endpoint{ID: id, Zone: "0", Kind: KindModel, Service: "llm", Slots: 8, State: StateLive})
			case 6:
				d.MergeDemand("llm", Segment{Hash: fmt.Sprint("part", rapid.IntRange(0, 8).Draw(t, "part")), Tokens: 12600}, 60)
			}
		}
		for id, row := range d.endpoints {
			if row.ownCalls != len(inFlight[id]) || len(row.calls) != len(inFlight[id]) {
				t.Fatalf("%s: %d own calls, %d predicted, want %d", id, row.ownCalls, len(row.calls), len(inFlight[id]))
			}
		}
		for k := range 9 {
			holders := holdersOf(d, now.Add(changeInterval), fmt.Sprint("part", k))
			if len(slices.Compact(slices.Clone(holders))) != len(holders) {
				t.Fatalf("holders %v, want each once", holders)
			}
			for _, id := range holders {
				if _, ok := d.Endpoint(id); !ok {
					t.Fatalf("%s holds part %d, but has left", id, k)
				}
			}
		}
	})
}

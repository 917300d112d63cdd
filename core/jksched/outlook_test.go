package jksched

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// newLearnedDirect returns a DirectPlacer with n engines in four zones that places by learned cost
// or not.
func newLearnedDirect(n int, learned bool) *DirectPlacer {
	opt := DefaultDirectOptions()
	opt.Zone, opt.Learned = "0", learned
	d := NewDirectPlacer(opt)
	for i := range n {
		d.SetEndpoint(Endpoint{ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprint(i % 4), Kind: KindModel, Service: "llm", Slots: 8, State: StateLive})
	}
	d.SetCacheTokens("llm", 240000)
	return d
}

// Guards against a key without samples being predicted by the mean of all calls though its route is
// known, and against a known key that is drawn to the others.
func TestCostsFallBackToCoarserKeys(t *testing.T) {
	m := newCostModel()
	call := func(route, workspace string, body int64) costKeys {
		return costKeysOf(Call{Kind: KindService, Service: "app", Route: route, Workspace: workspace, BodyBytes: body})
	}
	if got := m.predict(call("short", "w", 100), 30); got != 30 {
		t.Errorf("got %v without samples, want the assumed cost", got)
	}
	for range 200 {
		m.observe(call("short", "w", 100), 10)
		m.observe(call("long", "w", 100), 39)
	}
	for _, test := range []struct {
		name      string
		keys      costKeys
		low, high float64
	}{
		{"known", call("short", "w", 100), 9.9, 10.1},
		{"another workspace", call("short", "v", 100), 9.9, 10.5},
		{"another size", call("long", "w", 100000), 37, 39.1},
		{"another route", call("new", "w", 100), 20, 30},
	} {
		if got := m.predict(test.keys, 30); got < test.low || got > test.high {
			t.Errorf("%s: got %v, want between %v and %v", test.name, got, test.low, test.high)
		}
	}
}

// Guards against memory that grows with the number of workspaces, and against forgetting what is in
// use.
func TestCostMemoryIsBounded(t *testing.T) {
	m := newCostModel()
	used := costKeysOf(Call{Service: "app", Route: "r", Workspace: "used"})
	for i := range 20000 {
		m.observe(costKeysOf(Call{Service: "app", Route: "r", Workspace: fmt.Sprint(i)}), 10)
		m.observe(used, 20)
	}
	if n := len(m.recent) + len(m.older); n > 2*maxCostKeys {
		t.Errorf("%d keys, want at most %d", n, 2*maxCostKeys)
	}
	if got := m.predict(used, 0); got < 19 {
		t.Errorf("got %v for a key in use, want 20", got)
	}
}

// Guards against outputs that are predicted by a hint that is only right at the median.
func TestOutputsAreLearned(t *testing.T) {
	for _, learned := range []bool{false, true} {
		d := newLearnedDirect(4, learned)
		c := turnCall("p")
		c.Route, c.MaxTokens = "r", 100
		for range 300 {
			p, err := d.Place(start, c, nil)
			if err != nil {
				t.Fatal(err)
			}
			d.Finish(start, FinishedCall{Endpoint: p.Endpoint, Ticket: p.Ticket, Outcome: DirectServed, Took: time.Second, Tokens: 140})
		}
		want := int64(100)
		if learned {
			want = 140
		}
		got := d.enginePace("llm").outputTokens()
		if got < want-3 || got > want+3 {
			t.Errorf("learned %t: got %d expected tokens, want %d", learned, got, want)
		}
	}
}

// Guards against calls that end twice or at another start of their endpoint and are then taken from
// the count of other calls.
func TestFinishOfUnknownTicket(t *testing.T) {
	d := newLearnedDirect(1, true)
	first, err := d.Place(start, turnCall("p"), nil)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := d.Endpoint(first.Endpoint)
	d.RemoveEndpoint(e.ID)
	d.SetEndpoint(e)
	if _, err := d.Place(start, turnCall("q"), nil); err != nil {
		t.Fatal(err)
	}
	d.Finish(start, FinishedCall{Endpoint: first.Endpoint, Ticket: first.Ticket, Outcome: DirectServed, Took: time.Second})
	if n := d.endpoints[e.ID].ownCalls; n != 1 {
		t.Errorf("%d own calls, want 1", n)
	}
}

// BenchmarkLearnedPlace measures a decision and the end of its call with 3,200 workspaces, with and
// without learned placement, and the memory of the placer per endpoint.
func BenchmarkLearnedPlace(b *testing.B) {
	for _, kind := range []Kind{KindService, KindModel} {
		for _, learned := range []bool{false, true} {
			for _, n := range []int{48, 1000} {
				b.Run(fmt.Sprintf("kind=%s/learned=%t/endpoints=%d", kind, learned, n), func(b *testing.B) {
					before := heapBytes()
					// Times with a monotonic part, as in the product, are compared faster.
					began := time.Now()
					d := newLearnedDirect(n, learned)
					for i := range n {
						id := fmt.Sprintf("e%03d", i)
						e, _ := d.Endpoint(id)
						e.Kind = kind
						d.SetEndpoint(e)
						d.Report(began, id, DirectLoad{Running: i % 8, Slots: 8, Pace: 1})
					}
					feedDemand(d, 1, 100, 2000)
					calls := make([]Call, 3200)
					for i := range calls {
						calls[i] = turnCall(fmt.Sprint(i))
						calls[i].Kind, calls[i].Route, calls[i].Workspace = kind, "r", fmt.Sprint("w", i)
						calls[i].Prefix[0].Hash = fmt.Sprint("part", i%100)
					}
					b.ReportAllocs()
					b.ResetTimer()
					for i := range b.N {
						now := began.Add(time.Duration(i) * 30 * time.Millisecond)
						p, err := d.Place(now, calls[i%len(calls)], nil)
						if err != nil {
							b.Fatal(err)
						}
						d.Report(now, p.Endpoint, DirectLoad{Running: i % 8, Slots: 8, Pace: 1})
						d.Finish(now, FinishedCall{Endpoint: p.Endpoint, Ticket: p.Ticket, Outcome: DirectServed, Took: 20 * time.Millisecond, Tokens: 200})
					}
					b.StopTimer()
					b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/endpoint")
					runtime.KeepAlive(d)
				})
			}
		}
	}
}

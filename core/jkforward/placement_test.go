package jkforward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// newLearnedFleet returns a fleet that places by learned cost, with engines of 8 slots.
func newLearnedFleet(engines int) *Fleet {
	opt := jksched.DefaultDirectOptions()
	opt.Learned = true
	f := NewFleet("h", opt, jktimer.New())
	for i := range engines {
		f.SetEndpoint(jksched.Endpoint{ID: fmt.Sprint("e", i), Kind: jksched.KindModel, Service: "llm", Slots: 8, State: jksched.StateLive}, "10.0.0.1:80", 1)
	}
	return f
}

// Guards against an entry that learns the demand for shared parts from its own calls only, which
// takes minutes at a few calls a second, and against digests that builds without the demand can't
// read.
func TestDigestCarriesDemand(t *testing.T) {
	a, b := newLearnedFleet(40), newLearnedFleet(40)
	b.SetServices(jkruleset.NewSet(1, jkruleset.Limits{}, []*jkruleset.Service{
		jkruleset.NewService(jkruleset.ServiceConfig{Name: "llm", Model: true, CacheTokens: 240000}),
	}, []*jkruleset.Route{
		jkruleset.NewRoute(jkruleset.RouteConfig{Name: "r", Shares: []jkruleset.Share{{Service: "llm", Weight: 1}}}),
	}))
	for i := range 300 {
		own := fmt.Sprint("p", i)
		to, err := a.place(jksched.Call{
			Program: own, Kind: jksched.KindModel, Service: "llm", MaxTokens: 100, PromptTokens: 14000,
			Prefix: []jksched.Segment{{Hash: "hot", Tokens: 12600}, {Hash: own, Tokens: 1400}},
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		a.done(jksched.FinishedCall{Endpoint: to.id, Ticket: to.ticket, Outcome: jksched.DirectAbandoned})
		if i%10 != 9 {
			continue
		}
		data, err := a.NextDigest()
		if err != nil {
			t.Fatal(err)
		}
		if err := b.ApplyDigest(data); err != nil {
			t.Fatal(err)
		}
		var old struct {
			_msgpack struct{} `msgpack:",as_array"`

			Loads  []loadEntry
			Placed []placement
		}
		if err := msgpack.Unmarshal(data, &old); err != nil || len(old.Placed) == 0 {
			t.Fatalf("an old build reads %d placements, error %v", len(old.Placed), err)
		}
	}
	// With the hot part on all engines, b's programs go to all of them; without the demand, to a
	// quarter.
	used := map[string]bool{}
	for i := range 400 {
		own := fmt.Sprint("q", i)
		to, err := b.place(jksched.Call{
			Program: own, Kind: jksched.KindModel, Service: "llm", MaxTokens: 100, PromptTokens: 14000,
			Prefix: []jksched.Segment{{Hash: "hot", Tokens: 12600}, {Hash: own, Tokens: 1400}},
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if to.reason != jksched.PlacedCached {
			t.Fatalf("reason %q, want that the part is cached", to.reason)
		}
		b.done(jksched.FinishedCall{Endpoint: to.id, Ticket: to.ticket, Outcome: jksched.DirectAbandoned})
		used[to.id] = true
	}
	if len(used) < 36 {
		t.Errorf("%d engines used, want nearly all of 40", len(used))
	}
	old, err := msgpack.Marshal([]any{[]any{}, []any{[]any{"e1", "part"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := b.ApplyDigest(old); err != nil {
		t.Errorf("the digest of an old build can't be read: %v", err)
	}
}

// Guards against calls whose route, workspace and outcome don't reach the placer, so that it learns
// nothing.
func TestServedCallsAreLearned(t *testing.T) {
	f := newFixture(t)
	opt := jksched.DefaultDirectOptions()
	opt.Zone, opt.Learned = "a", true
	f.fleet.direct = jksched.NewDirectPlacer(opt)
	for id, e := range f.endpoints {
		f.setVersion(id, "v1")
		e.steps = []string{"ok first", "ok second", "events 1,2,3"}
	}
	for i, path := range []string{"/safe/a", "/safe/b", "/stream/a"} {
		req, err := http.NewRequest(http.MethodPost, f.front.URL+path, strings.NewReader("payload"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "site.example"
		req.Header.Set(testRequest, fmt.Sprint("r", i))
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	f.front.Close()
	var all bytes.Buffer
	f.metrics.WritePrometheus(&all)
	for _, want := range []string{`jk_placements_total{reason="balanced"} 3`, `jk_placement_actual_over_predicted_count{kind="service"} 3`} {
		if !strings.Contains(all.String(), want) {
			t.Errorf("no %s in the metrics", want)
		}
	}
}

package jkentry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
)

// Guards against an explanation that counts a call, names another endpoint than the one that is
// chosen, or hides why an endpoint is left out.
func TestExplainPlacement(t *testing.T) {
	opt := jksched.DefaultDirectOptions()
	opt.Zone, opt.Learned = "a", true
	e := &Entry{
		settings: Settings{Host: "h", LearnedPlacement: true}, log: jklog.Discard(), metrics: metrics.NewSet(),
		fleet: jkforward.NewFleet("h", opt, jktimer.New()),
	}
	front := httptest.NewServer(e.operatorRoutes())
	defer front.Close()
	get := func(query string, want int) (out PlacementExplanation) {
		t.Helper()
		resp, err := http.Get(front.URL + ExplainPath + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != want {
			t.Fatalf("%s: status %d, want %d", query, resp.StatusCode, want)
		}
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	get("?route=r", 503)
	e.setRules(jkruleset.NewSet(1, jkruleset.Limits{}, []*jkruleset.Service{
		jkruleset.NewService(jkruleset.ServiceConfig{Name: "llm", Model: true, CacheTokens: 240000}),
	}, []*jkruleset.Route{
		jkruleset.NewRoute(jkruleset.RouteConfig{Name: "r", Shares: []jkruleset.Share{{Service: "llm", Weight: 1}}}),
	}), jkfollow.Item{})
	if got := get("?route=r", 200); got.Endpoint != "" || got.Refusal != string(jksched.ReasonNoEndpoint) {
		t.Errorf("%+v without endpoints, want a refusal", got)
	}
	for id, state := range map[string]jksched.State{"e1": jksched.StateLive, "e2": jksched.StateLive, "e3": jksched.StateLeaving} {
		e.fleet.SetEndpoint(jksched.Endpoint{ID: id, Zone: "a", Kind: jksched.KindModel, Service: "llm", Slots: 4, State: state}, "10.0.0.1:80", 1)
	}
	const query = "?route=r&session=s&workspace=w&part=shared:12600&part=own:1400&max_tokens=200"
	first := get(query, 200)
	for range 20 {
		if again := get(query, 200); again.Endpoint != first.Endpoint || again.Candidates[0].Calls != 0 {
			t.Fatalf("%+v, then %+v: asking has changed the answer", first, again)
		}
	}
	if len(first.Candidates) != 3 || first.Candidates[2].Excluded != string(jksched.ExcludedState) {
		t.Errorf("%+v, want three candidates and e3 left out because of its state", first)
	}
	for _, c := range first.Candidates[:2] {
		if c.Endpoint == first.Endpoint && (c.Excluded != "" || c.RunMS <= 0 || c.CachedTokens != 14000) {
			t.Errorf("%+v, want a run time and the shared and the own part cached", c)
		}
	}
	get("?route=other", 404)
	get("?route=r&part=shared", 400)
	get("?route=r&max_tokens=-1", 400)
}

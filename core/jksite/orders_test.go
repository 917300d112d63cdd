package jksite

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jkcontrol"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkstandin"
)

// Guards against a rollout that does not reach the engines of all zones or that reloads
// several zones at once, against calls that fail because an engine is reloading, and
// against an operator's request that fails because it arrives at a host that is not the
// controller.
func TestRolloutAcrossZones(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Log: jklog.Discard(), Site: Site{Replicas: 2},
		Engine:    jkstandin.EngineOptions{CheckFencing: true, LoadTime: 2 * time.Second},
		Limits:    map[string]int{"model_loads": 1},
		Intervals: map[string]string{"model_load": "100ms"},
	})
	defer s.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	first, second := s.Engines[0], s.Engines[1]
	calls, failed := 0, 0
	call := func() {
		calls++
		code, text := doRequest(ctx, t, http.MethodPost, "http://"+s.Daemons[calls%4].HTTP()+"/v1/chat/completions",
			`{"model":"`+Model+`","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`)
		if code != http.StatusOK {
			failed++
			t.Logf("call %d: %d %s", calls, code, text)
		}
	}
	for done := false; !done; {
		call()
		early := len(second.Account().Orders) > 0
		if done = hasVersion(first, "1"); early && !done {
			t.Fatal("zone b got an order before zone a had the version")
		}
		if !s.Timer.Wait(readyInterval, ctx.Done()) {
			t.Fatalf("zone a reports %+v", first.State().Models)
		}
	}
	for !hasVersion(second, "1") {
		call()
		if !s.Timer.Wait(readyInterval, ctx.Done()) {
			t.Fatalf("zone b reports %+v", second.State().Models)
		}
	}
	t.Logf("%d calls", calls)
	if failed > 0 {
		t.Errorf("%d of %d calls failed during the rollout", failed, calls)
	}
	last := s.Daemons[len(s.Daemons)-1]
	status := getStatus(ctx, t, last.HTTP(), "a")
	if !status.Controller || status.Zone != "a" || status.Rollouts[0].Phase != jkorder.PhaseSettled {
		t.Errorf("status of zone a, requested from a host in zone b: %+v", status)
	}
	if code, text := postOrder(ctx, t, last.HTTP(), "engine-a/load", `{"role":"prefill"}`); code != http.StatusAccepted {
		t.Fatalf("load of a role: %d %s", code, text)
	}
	for s.Engines[0].State().Role != "prefill" {
		if !s.Timer.Wait(readyInterval, ctx.Done()) {
			t.Fatal("the engine did not get the order to take the role prefill")
		}
	}
	if code, text := postOrder(ctx, t, last.HTTP(), "engine-a/load", `{"model":"x"}`); code != http.StatusBadRequest || !strings.Contains(text, `"field":"model"`) {
		t.Errorf("load of an unknown model: %d %s", code, text)
	}
}

func hasVersion(e *jkstandin.Engine, version string) bool {
	m := e.State().Models
	return len(m) == 1 && m[0].Version == version && m[0].Phase == jkendpoint.ModelReady
}

func getStatus(ctx context.Context, t *testing.T, host, zone string) jkcontrol.Status {
	t.Helper()
	code, text := doRequest(ctx, t, http.MethodGet, "http://"+host+"/v1/orders?zone="+zone, "")
	var status jkcontrol.Status
	if err := json.Unmarshal([]byte(text), &status); err != nil || code != http.StatusOK {
		t.Fatalf("%d %s", code, text)
	}
	return status
}

func postOrder(ctx context.Context, t *testing.T, host, path, body string) (int, string) {
	t.Helper()
	return doRequest(ctx, t, http.MethodPost, "http://"+host+"/v1/endpoints/"+path, body)
}

func doRequest(ctx context.Context, t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

package jksite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// Guards against an action that runs twice because a client sends the same
// Idempotency-Key through two hosts at once, because the platform's response to the claim
// is lost, or because the platform is down when the request is retried.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 1, Engine: jkstandin.DefaultEngineOptions(),
		Folder: func(string) string { return memoryFolder(t) },
		Log:    jklog.New(os.Stderr, time.Now).Allow("error"),
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	charge := func(host int, key, action string) response {
		return send(t, "POST", "http://"+site.Daemons[host].HTTP()+"/v1/services/"+Service+"/actions/charge",
			map[string]string{"Idempotency-Key": key}, map[string]string{"action_id": action})
	}
	for i := range 5 {
		key := fmt.Sprint("key-", i)
		if i%2 == 1 {
			site.Platform.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
		}
		var wg sync.WaitGroup
		for host := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				charge(host, key, key)
			}()
		}
		wg.Wait()
		last := charge(i%2, key, key)
		if last.status != http.StatusOK || last.header.Get("X-Outcome") != "completed" {
			t.Errorf("%s: %d %s", key, last.status, last.body)
		}
	}
	site.Platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	for _, key := range []string{"key-0", "key-new"} {
		a := charge(0, key, key)
		if a.header.Get("X-Outcome") != "outcome_unknown" {
			t.Errorf("%s without the platform: %d %s", key, a.status, a.body)
		}
	}
	site.Platform.SetFaults(jkstandin.PlatformFaults{})
	if a := charge(1, "key-0", "another"); a.status != http.StatusBadRequest {
		t.Errorf("key used for another request: %d %s", a.status, a.body)
	}
	for key, runs := range actionRuns(t, site) {
		if runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// actionRuns returns how often each action ran, summed over all services.
func actionRuns(t *testing.T, site *Embedded) map[string]int {
	t.Helper()
	runs := map[string]int{}
	for _, e := range site.Site.Endpoints {
		if e.Service == "" {
			continue
		}
		var account jkstandin.ServiceAccount
		if err := json.Unmarshal(send(t, "GET", "http://"+e.Address+"/account", nil, nil).body, &account); err != nil {
			t.Fatal(err)
		}
		for id, a := range account.Actions {
			runs[id] += a.Runs
		}
	}
	return runs
}

package jkpolicy

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var testSettings = settings{seed: 1, seeds: 1, load: 0.85, duration: 60 * time.Second}

func mustLoad(t *testing.T, name string) *workload {
	t.Helper()
	w, err := loadWorkload(name)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// Guards against a policy change that loses the lead over the baselines: a short run
// with a fixed seed must meet the targets that are met with every seed.
func TestShortRunKeepsTargets(t *testing.T) {
	w := mustLoad(t, "bulles_du_cap")
	// The backlog of naive, by which the policies are compared, takes time to build up.
	s := testSettings
	s.duration = 120 * time.Second
	r := runExperiment(w, s, func(int, int) {})
	must := map[string]bool{
		"program latency p99 / lower bound": true, "program latency p99 / naive": true,
		"tokens prefilled again / naive": true, "memory-seconds of ended programs / naive": true,
		"tokens held 5 s after an announced end": true, "tokens held 5 s after a silent end": true,
		"extra tokens by second dispatches, slowed": true,
	}
	for _, row := range r.rows() {
		if must[row.Name] && !row.Met {
			t.Errorf("%s: got %v, want %s", row.Name, row.Values[policyJasmineknot], row.target())
		}
		delete(must, row.Name)
	}
	for name := range must {
		t.Errorf("no measure %q", name)
	}
	for key, s := range r.runs {
		if key.policy == policyJasmineknot && s.unfinished > 0 {
			t.Errorf("%s: %d programs never ended", key.scenario, s.unfinished)
		}
	}
}

// Guards against figures that depend on anything but the seed, such as the iteration
// order of a map.
func TestRunIsDeterministic(t *testing.T) {
	w := mustLoad(t, "kosher_miza")
	var first string
	for i := range 2 {
		s := runPolicy(testSettings.plan(w, 3, scenarioSlowed), policyJasmineknot, 3)
		var out bytes.Buffer
		for _, x := range s.latency {
			out.WriteString(formatNumber(x) + " ")
		}
		if i == 0 {
			first = out.String()
		} else if out.String() != first {
			t.Fatal("two runs of one seed differ")
		}
	}
}

// Guards against a bound in hindsight that counts more turns than fit: ten turns that
// take 2 s each and are due within 10 s need twice the time of one endpoint.
func TestExcessTurns(t *testing.T) {
	var turns []turnRecord
	for range 10 {
		turns = append(turns, turnRecord{serviceTime: 2 * time.Second})
	}
	if got := excessTurns(turns, 10*time.Second); got != 5 {
		t.Fatalf("got %d turns too many, want 5", got)
	}
	if got := excessTurns(turns, 20*time.Second); got != 0 {
		t.Fatalf("got %d turns too many, want 0", got)
	}
}

// Guards against a capacity that departs from its definition: one class of one turn of
// 100 tokens and no prompt takes 100 shares of a full step.
func TestCapacityFollowsTheEndpointModel(t *testing.T) {
	one := dist{Median: 1, Min: 1, Max: 1}
	w := &workload{
		Zones: []string{"z"}, Endpoints: map[string]int{"z": 2}, Workspaces: 1, WorkspacePrompt: one,
		Engine:  engineSpec{Slots: 10, StepUS: 9000, PerCallUS: 100},
		Classes: []class{{Share: 1, Turns: one, Prompt: one, Output: dist{Median: 100, Min: 100, Max: 100}}},
	}
	// A full step of 10 ms yields 10 tokens, so that a program takes 0.1 s.
	if got := capacity(w, true); got < 19.99 || got > 20.01 {
		t.Fatalf("got %g programs/s, want 20", got)
	}
}

// Guards against a report that lacks plots or rows.
func TestHTMLReport(t *testing.T) {
	w := mustLoad(t, "bulles_du_cap")
	s := testSettings
	s.load, s.sweep = 0.3, []float64{0.3}
	r := runExperiment(w, s, func(int, int) {})
	path := filepath.Join(t.TempDir(), "report.html")
	if err := writeHTML(path, []*results{r}, []report{newReport(r, r.rows())}); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(data), "<svg"); n != 2 {
		t.Fatalf("got %d plots, want 2", n)
	}
	if n := strings.Count(string(data), "<tr>"); n != len(measureDefinitions)+1 {
		t.Fatalf("got %d rows, want %d", n, len(measureDefinitions)+1)
	}
}

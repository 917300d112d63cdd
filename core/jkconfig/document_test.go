package jkconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"jasmineknot.example/core/jkschema"
)

// exampleSections returns the sections of the example document after a merge patch.
func exampleSections(t testing.TB, patch string) map[Section][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/example.json")
	if err != nil {
		t.Fatal(err)
	}
	if text, err = jsonpatch.MergePatch(text, []byte(patch)); err != nil {
		t.Fatal(err)
	}
	return sections(t, text)
}

func sections(t testing.TB, text []byte) map[Section][]byte {
	t.Helper()
	raw := map[Section]json.RawMessage{}
	if err := json.Unmarshal(text, &raw); err != nil {
		t.Fatal(err)
	}
	all := map[Section][]byte{}
	for s, v := range raw {
		all[s] = v
	}
	return all
}

// Guards against invalid documents that are accepted, and against reports that leave out
// a problem. Each case is a merge patch of the example document, or a whole document.
func TestWrongDocuments(t *testing.T) {
	datadriven.RunTest(t, "testdata/documents", func(t *testing.T, td *datadriven.TestData) string {
		var replace map[Section][]byte
		switch td.Cmd {
		case "patch":
			replace = exampleSections(t, td.Input)
		case "document":
			replace = sections(t, []byte(td.Input))
		default:
			t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
		}
		err := Empty().Validate(replace)
		if err == nil {
			return "valid\n"
		}
		var field *jkschema.FieldError
		if !errors.As(err, &field) {
			t.Errorf("%s: error is not typed: %v", td.Pos, err)
		}
		return err.Error() + "\n"
	})
}

// applySection returns the next revision, in which a section has the given text.
func applySection(t testing.TB, d *Document, s Section, text []byte) *Document {
	t.Helper()
	next, err := d.apply(Change{Revision: d.revision + 1, Section: s, Patch: text})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against accessors that return another field, and against rules that
// make a call repeatable by accident.
func TestAccessors(t *testing.T) {
	d := Empty()
	for s, text := range exampleSections(t, "{}") {
		d = applySection(t, d, s, text)
	}
	p, _ := d.Program("draft-menu")
	m, _ := d.Model("chef-8b")
	w, _ := d.Budget("hotel-union")
	other, _ := d.Budget("synagogue")
	c, _ := d.Priority("interactive")
	e, _ := d.Endpoint("engine-a1")
	h, _ := d.Host("b1")
	o := d.Objectives()["first-token"]
	orders, _ := d.Service("orders")
	unknown, _ := d.Service("unknown")
	queued, _ := d.Capacity("engine-a1").MaxQueued()
	got := fmt.Sprintln(p.Models(), p.BudgetTokens(), p.MaxTurns(), p.MaxDuration(), p.ToolTimeout(), p.IdleLimit(), p.Priority()) +
		fmt.Sprintln(m.Versions(), m.Replicas(), m.Endpoints(), m.Adapter(), w.Tokens(), w.Window(), w.MaxPrograms(), other.Tokens()) +
		fmt.Sprintln(c.Level(), c.Weight(), c.Deadline(), e.ID(), e.Zone(), e.Address(), e.Kind(), e.Models(), e.Slots(), e.CacheTokens(), e.ChecksFencing(), e.State()) +
		fmt.Sprintln(h.Name(), h.Zone(), h.Address(), h.State(), o.Measure(), o.Class(), o.Within(), o.Target(), o.Window()) +
		fmt.Sprintln(orders.Repeatable("/orders"), orders.Repeatable("/availability/hall"), orders.Repeatable("/availability"), unknown.Repeatable("/"),
			orders.Timeout("/orders"), orders.Timeout("/availability/hall"), d.Capacity("engine-a1").MaxRunning(), d.Capacity("engine-b1").MaxRunning(), queued) +
		fmt.Sprintln(len(d.Endpoints()), len(d.Hosts()), d.Models(), d.Owner(SectionMenus))
	want := "[chef-8b] 200000 40 30m0s 2m0s 10m0s interactive\n" +
		"[2026-11 2026-09] 2 [] kosher 40000000 24h0m0s 500 5000000\n" +
		"0 10 3s engine-a1 a 10.0.1.1:8000 engine [chef-8b] 32 400000 true live\n" +
		"b1 b 10.0.2.100:7000 joining first_token interactive 460ms 0.95 1h0m0s\n" +
		"false true false false 5s 1s 16 32 1000\n" +
		"3 2 [chef-8b clerk-3b] kitchen\n"
	if got != want {
		t.Fatalf("got\n%swant\n%s", got, want)
	}
}

// fleetDocument returns a document of the largest planned fleet: 38 models, 7,900
// endpoints, 410 hosts and 3,200 workspaces with a budget.
func fleetDocument(t testing.TB) *Document {
	t.Helper()
	models, endpoints, hosts, budgets := map[string]any{}, map[string]any{}, map[string]any{}, map[string]any{}
	for i := range 38 {
		models[fmt.Sprint("model-", i)] = map[string]any{"versions": []string{"v1"}, "replicas": 200}
	}
	for i := range 7900 {
		endpoints[fmt.Sprintf("engine-%05d", i*7919%99991)] = map[string]any{
			"zone": fmt.Sprint("zone-", i%9), "address": fmt.Sprintf("10.%d.%d.%d:8000", i%9, i*31%251, i/251),
			"kind": "engine", "models": []string{fmt.Sprint("model-", i%38), fmt.Sprint("model-", (i+1+i/38%37)%38)},
			"slots": 16 + i%5, "cache_tokens": 400000 + i%1000, "checks_fencing": i%3 == 0, "state": "live",
		}
	}
	for i := range 410 {
		hosts[fmt.Sprint("host-", i)] = map[string]any{
			"zone": fmt.Sprint("zone-", i%9), "address": fmt.Sprintf("10.%d.%d.%d:7000", i%9, i%251, i/251), "state": "live",
		}
	}
	for i := range 3200 {
		budgets[fmt.Sprint("workspace-", i*7919%99991)] = map[string]any{"tokens": 1000000 + i*977, "window": "24h"}
	}
	d := Empty()
	for s, entries := range map[Section]any{SectionModels: models, SectionEndpoints: endpoints, SectionHosts: hosts, SectionBudgets: budgets} {
		text, err := json.Marshal(map[string]any{"owner": "site", "entries": entries})
		if err != nil {
			t.Fatal(err)
		}
		d = applySection(t, d, s, text)
	}
	return d
}

// Guards against a document of the largest planned fleet that doesn't fit into a record
// of the platform. docs/decisions/configuration.md quotes the logged figures.
func TestFleetDocumentFits(t *testing.T) {
	d := fleetDocument(t)
	packed, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	text, _ := d.Text(SectionEndpoints)
	change := Change{
		Revision: d.revision + 1, EditID: "00000000-0000-0000-0000-000000000000", Team: "site", Base: d.revision,
		Section: SectionEndpoints, At: time.Unix(1800000000, 0), Patch: []byte(`{"entries":{"engine-00000":{"state":"leaving"}}}`),
	}
	record, err := change.encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("endpoints section %d bytes, packed document %d bytes, limit %d, record of one change %d bytes",
		len(text), len(packed), maxSnapshotBytes, len(record))
	if len(packed) > maxSnapshotBytes/2 {
		t.Fatalf("packed document has %d bytes, want at most half of the limit %d", len(packed), maxSnapshotBytes)
	}
	if _, err := d.apply(change); err != nil {
		t.Fatal(err)
	}
}

func BenchmarkApplyToFleet(b *testing.B) {
	d := fleetDocument(b)
	c := Change{Revision: d.revision + 1, Section: SectionEndpoints, Patch: []byte(`{"entries":{"engine-00000":{"state":"leaving"}}}`)}
	for b.Loop() {
		if _, err := d.apply(c); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshotOfFleet(b *testing.B) {
	d := fleetDocument(b)
	for b.Loop() {
		if _, err := d.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkValidateFleet(b *testing.B) {
	d := fleetDocument(b)
	text, _ := d.Text(SectionEndpoints)
	for b.Loop() {
		if err := d.Validate(map[Section][]byte{SectionEndpoints: text}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEditFleet measures the work of one edit that changes one of 7,900 endpoints,
// without the calls to the platform.
func BenchmarkEditFleet(b *testing.B) {
	d := fleetDocument(b)
	text, _ := d.Text(SectionEndpoints)
	edit := Edit{
		ID: "e", Team: "site", Section: SectionEndpoints, Base: d.revision,
		Value: bytes.Replace(text, []byte(`"state":"live"`), []byte(`"state":"leaving"`), 1),
	}
	for b.Loop() {
		value, err := edit.check()
		if err != nil {
			b.Fatal(err)
		}
		edit.Value = value
		if c, err := (&pendingEdit{edit: edit}).change(d); err != nil || c.Revision == 0 {
			b.Fatal(c.Revision, err)
		}
	}
}

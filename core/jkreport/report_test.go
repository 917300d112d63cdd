package jkreport

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkobjective"
	"jasmineknot.example/core/jktimer"
)

const startUnix = 600_000

// fleet is a set of hosts, each with a recorder, on one manual clock.
type fleet struct {
	timer       *jktimer.Service
	clock       *jktimer.Manual
	objectives  map[string]jkconfig.Objective
	hosts       map[string]*jkobjective.Recorder
	unreachable map[string]bool
}

func newFleet() *fleet {
	f := &fleet{hosts: map[string]*jkobjective.Recorder{}, unreachable: map[string]bool{}}
	f.timer, f.clock = jktimer.NewManual(time.Unix(startUnix, 0))
	return f
}

func (f *fleet) start(name string) {
	f.hosts[name] = jkobjective.New(jkobjective.Options{Timer: f.timer})
	f.hosts[name].SetObjectives(f.objectives)
}

// recordTurns records good and failed turns at a host.
func (f *fleet) recordTurns(host, workspace string, good, bad int) {
	for range good {
		f.hosts[host].Record(jkobjective.Event{Measure: jkconfig.MeasureTurns, Workspace: workspace})
	}
	for range bad {
		f.hosts[host].Record(jkobjective.Event{Measure: jkconfig.MeasureTurns, Workspace: workspace, Failed: true})
	}
}

func (f *fleet) report() Report {
	var snapshots []jkobjective.Snapshot
	var missing []MissingHost
	for name, r := range f.hosts {
		if f.unreachable[name] {
			missing = append(missing, MissingHost{Host: name, Reason: "connection refused"})
			continue
		}
		snapshots = append(snapshots, r.Snapshot(name))
	}
	return Build(snapshots, missing)
}

// Guards against burn rates over the wrong minutes, against alarms that a short peak
// raises or that never end, and against reports that hide missing hosts or restarts.
func TestReport(t *testing.T) {
	f := newFleet()
	datadriven.RunTest(t, "testdata/report", func(t *testing.T, td *datadriven.TestData) string {
		switch td.Cmd {
		case "objectives":
			if err := json.Unmarshal([]byte(td.Input), &f.objectives); err != nil {
				t.Fatal(err)
			}
			for _, r := range f.hosts {
				r.SetObjectives(f.objectives)
			}
		case "start":
			f.start(td.CmdArgs[0].Key)
		case "silent":
			f.unreachable[td.CmdArgs[0].Key] = true
		case "advance":
			d, err := time.ParseDuration(td.CmdArgs[0].Key)
			if err != nil {
				t.Fatal(err)
			}
			f.clock.Advance(d)
		case "events":
			f.recordPerMinute(t, td)
		case "report":
			var out bytes.Buffer
			if err := WriteText(&out, f.report()); err != nil {
				t.Fatal(err)
			}
			return out.String()
		default:
			t.Fatalf("command %q is not known", td.Cmd)
		}
		return ""
	})
}

// recordPerMinute runs the events command: it records turns every minute for a number of
// minutes.
func (f *fleet) recordPerMinute(t *testing.T, td *datadriven.TestData) {
	var host, workspace string
	var good, bad, minutes int
	td.ScanArgs(t, "host", &host)
	td.ScanArgs(t, "workspace", &workspace)
	td.ScanArgs(t, "good", &good)
	td.ScanArgs(t, "bad", &bad)
	td.ScanArgs(t, "minutes", &minutes)
	for range minutes {
		f.recordTurns(host, workspace, good, bad)
		f.clock.Advance(time.Minute)
	}
}

// Guards against adding up counters of two definitions of an objective while a new
// configuration is being rolled out to the hosts.
func TestDefinitionsAreNotMixed(t *testing.T) {
	series := func(within int64) []jkobjective.Series {
		return []jkobjective.Series{{Name: "o", Measure: jkconfig.MeasureTurns, Within: within, Target: 0.9, Window: 3600, Buckets: []jkobjective.Bucket{{Good: 1, Total: 2}}}}
	}
	r := Build([]jkobjective.Snapshot{
		{Host: "a", Objectives: series(100)}, {Host: "b", Objectives: series(200)}, {Host: "c", Objectives: series(200)},
	}, nil)
	o := r.Objectives[0]
	if o.Within != 200 || o.Windows[0].Total != 4 || len(o.ExcludedHosts) != 1 || o.ExcludedHosts[0] != "a" {
		t.Errorf("got %+v", o)
	}
}

// Guards against a page that loads other files, lacks a plot, is not well formed, or is
// open to markup injection through a name in the configuration.
func TestHTML(t *testing.T) {
	f := newFleet()
	var o jkconfig.Objective
	if err := json.Unmarshal([]byte(`{"measure":"turns","within":"1s","target":0.9,"window":"24h"}`), &o); err != nil {
		t.Fatal(err)
	}
	f.objectives = map[string]jkconfig.Objective{"<script>x</script>": o, "two": o}
	f.start("a")
	f.start("b")
	f.recordTurns("a", "w", 5, 5)
	f.unreachable["b"] = true
	var out bytes.Buffer
	if err := WriteHTML(&out, f.report()); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if strings.Count(text, "<svg") != 2 || !strings.Contains(text, "The figures are partial: 1 hosts") {
		t.Error("a plot or the note about the missing host is absent")
	}
	for _, bad := range []string{"<script", "src=", "href=\"http", "@import", "NaN", "Inf"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	svg := text[strings.Index(text, "<svg"):strings.Index(text, "</svg>")] + "</svg>"
	d := xml.NewDecoder(strings.NewReader(svg))
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

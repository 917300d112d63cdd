package jkorder

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkendpoint"
)

// Guards against the failures that each script names in its comments: a rollout that
// continues after a failure, an unloaded last replica, loads that exceed the limits of
// the weight store, replicas that move back and forth.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1000, 0), fakes: map[string]*fakeEngine{}, calls: map[string]int{}, loadTime: 20 * time.Second}
		s.start = s.now
		datadriven.RunTest(t, path, s.run)
	})
}

// fakeEngine is an engine that carries out orders, with an injected fault or without.
type fakeEngine struct {
	state jkendpoint.State
	ready time.Time
	fault string // silent, refuse, hang, wrong
}

// script is the state of one test script: the core under test, its clock and its
// engines.
type script struct {
	core       *Core
	start, now time.Time
	fakes      map[string]*fakeEngine
	calls      map[string]int
	engines    []EngineSpec
	revision   uint64
	maxLoading int
	loadTime   time.Duration // of a fake engine
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "site": // lines: id zone models checks|ignores|leaving held..., or model name versions replicas=n|endpoints=a,b [adapter=x]
		if d.HasArg("zone") {
			o := DefaultOptions()
			d.ScanArgs(t, "zone", &o.Zone)
			s.core = New(s.now, o)
		}
		s.setSite(d.Input)
	case "begin":
		s.core.BeginTerm(s.now, s.now)
	case "restore":
		for _, h := range s.core.TakeHalts() {
			s.core.BeginTerm(s.now, s.now)
			s.core.RestoreHalt(h)
		}
	case "fault":
		s.fakes[d.CmdArgs[0].Key].fault = d.CmdArgs[1].Key
	case "calls":
		for _, arg := range d.CmdArgs {
			s.calls[arg.Key], _ = strconv.Atoi(arg.Vals[0])
		}
	case "load_seconds":
		n, _ := strconv.Atoi(d.CmdArgs[0].Key)
		s.loadTime = time.Duration(n) * time.Second
	case "resume":
		return fmt.Sprintln(s.core.Resume(d.CmdArgs[0].Key))
	case "request": // engine kind model [force]
		o := jkendpoint.Order{Kind: jkendpoint.OrderKind(d.CmdArgs[1].Key), Model: d.CmdArgs[2].Key}
		err := s.core.Request(s.now, d.CmdArgs[0].Key, o, d.HasArg("force"))
		var refused *RequestError
		if err != nil && !errors.As(err, &refused) {
			t.Fatalf("unexpected error type %T", err)
		}
		return fmt.Sprintln(err)
	case "run":
		by, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		return s.advance(by)
	case "state":
		return s.show()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// setSite replaces the models and, if the input has any, the engines.
func (s *script) setSite(input string) {
	s.revision++
	var models []ModelSpec
	var engines []EngineSpec
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		if f[0] == "model" {
			models = append(models, modelSpec(f[1:]))
			continue
		}
		e := EngineSpec{ID: f[0], Zone: f[1], Addr: f[0], Models: strings.Split(f[2], ","), ChecksFencing: f[3] == "checks", Leaving: f[3] == "leaving"}
		engines = append(engines, e)
		if s.fakes[e.ID] == nil {
			s.fakes[e.ID] = newFake(f[4:])
		}
	}
	if len(engines) > 0 {
		s.engines = engines
	}
	s.core.SetWanted(s.now, s.now, Wanted{Revision: s.revision, Engines: s.engines, Models: models})
}

func newFake(held []string) *fakeEngine {
	f := &fakeEngine{}
	for _, h := range held {
		name, version, _ := strings.Cut(h, "@")
		f.state.Models = append(f.state.Models, jkendpoint.ModelState{Name: name, Version: version, Phase: jkendpoint.ModelReady})
	}
	return f
}

func modelSpec(f []string) ModelSpec {
	m := ModelSpec{Name: f[0], Versions: strings.Split(f[1], ",")}
	for _, arg := range f[2:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "replicas":
			m.Replicas, _ = strconv.Atoi(value)
		case "endpoints":
			m.Endpoints = strings.Split(value, ",")
		case "adapter":
			m.Adapter = value
		}
	}
	return m
}

// advance ticks the core each second and returns the orders with their times.
func (s *script) advance(by time.Duration) string {
	var out strings.Builder
	for end := s.now.Add(by); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		s.core.SetLoads(s.now, s.calls)
		for _, r := range s.core.DueReads(s.now) {
			f := s.fakes[r.Engine]
			if f.fault == "silent" {
				s.core.MarkUnreachable(s.now, r.Engine)
				continue
			}
			f.finish(s.now)
			state := f.state
			state.Models, state.Adapters = slices.Clone(state.Models), slices.Clone(state.Adapters)
			s.core.Observe(s.now, r.Engine, state)
		}
		for _, c := range s.core.Tick(s.now) {
			r := s.fakes[c.Engine].apply(s.now.Add(s.loadTime), c.Order)
			fmt.Fprintf(&out, "%s: %s %s%s@%s %s\n", s.now.Sub(s.start), c.Engine, c.Order.Kind, " "+c.Order.Model+c.Order.Adapter, c.Order.Version, r)
			s.core.RecordResult(s.now, c, r, "by fault")
		}
		s.maxLoading = max(s.maxLoading, s.core.Loading())
	}
	return out.String()
}

// finish completes the loads that are due.
func (f *fakeEngine) finish(now time.Time) {
	for _, list := range [][]jkendpoint.ModelState{f.state.Models, f.state.Adapters} {
		for i, m := range list {
			if m.Phase != jkendpoint.ModelLoading || now.Before(f.ready) || f.fault == "hang" {
				continue
			}
			list[i].Phase = jkendpoint.ModelReady
			if f.fault == "wrong" {
				list[i].Version += ".0"
			}
		}
	}
}

// apply executes an order whose load is complete at the given time.
func (f *fakeEngine) apply(ready time.Time, o jkendpoint.Order) Result {
	if f.fault == "refuse" {
		return ResultRefused
	}
	list, name := &f.state.Models, o.Model
	if o.Kind == jkendpoint.OrderAdapter {
		list, name = &f.state.Adapters, o.Adapter
	}
	*list = slices.DeleteFunc(*list, func(m jkendpoint.ModelState) bool { return m.Name == name })
	if o.Kind != jkendpoint.OrderUnload {
		*list = append(*list, jkendpoint.ModelState{Name: name, Version: o.Version, Phase: jkendpoint.ModelLoading})
		f.ready = ready
	}
	return ResultAccepted
}

func (s *script) show() string {
	var out strings.Builder
	for _, e := range s.engines {
		fmt.Fprintf(&out, "%s:", e.ID)
		for _, m := range append(slices.Clone(s.fakes[e.ID].state.Models), s.fakes[e.ID].state.Adapters...) {
			fmt.Fprintf(&out, " %s@%s %s", m.Name, m.Version, m.Phase)
		}
		fmt.Fprintln(&out)
	}
	for _, r := range s.core.Rollouts() {
		fmt.Fprintf(&out, "%s %s: %s %s %s\n", r.Model, r.Version, r.Phase, r.Engine, r.Reason)
	}
	fmt.Fprintf(&out, "most loads at once: %d\n", s.maxLoading)
	return out.String()
}

// Guards against an order that is computed from a state read before the barrier: an
// earlier order may have changed the engine since.
func TestReadBackAfterBarrier(t *testing.T) {
	o := DefaultOptions()
	o.Zone = "a"
	now := time.Unix(1000, 0)
	barrier := now.Add(20 * time.Second)
	c := New(now, o)
	c.SetWanted(now, barrier, Wanted{
		Revision: 1, Models: []ModelSpec{{Name: "m", Versions: []string{"1"}, Replicas: 1}},
		Engines: []EngineSpec{{ID: "e", Zone: "a", Addr: "e", Models: []string{"m"}}},
	})
	before := barrier.Add(-time.Second)
	c.Observe(before, "e", jkendpoint.State{})
	if got := c.Tick(before); len(got) != 0 {
		t.Fatalf("orders before the barrier: %+v", got)
	}
	if got := c.Tick(barrier); len(got) != 0 {
		t.Fatalf("orders from a state read before the barrier: %+v", got)
	}
	c.Observe(barrier, "e", jkendpoint.State{})
	if got := c.Tick(barrier); len(got) != 1 {
		t.Fatalf("got %+v after the read, want one load", got)
	}
}

// BenchmarkTick measures a tick in one of nine zones at the size planned for:
// 7,900 engines and 38 models.
func BenchmarkTick(b *testing.B) {
	o := DefaultOptions()
	o.Zone = "z4"
	now := time.Unix(1000, 0)
	c := New(now, o)
	w := Wanted{Revision: 1}
	for i := range 38 {
		w.Models = append(w.Models, ModelSpec{Name: fmt.Sprintf("m%02d", i), Versions: []string{"1"}, Replicas: 200})
	}
	for i := range 7900 {
		model := w.Models[i%38].Name
		e := EngineSpec{ID: fmt.Sprintf("e%04d", i), Zone: fmt.Sprintf("z%d", i%9), Models: []string{model, w.Models[(i+1)%38].Name}}
		w.Engines = append(w.Engines, e)
	}
	c.SetWanted(now, now, w)
	for i, e := range w.Engines {
		c.Observe(now, e.ID, jkendpoint.State{Models: []jkendpoint.ModelState{{Name: w.Models[i%38].Name, Version: "1", Phase: jkendpoint.ModelReady}}})
	}
	for b.Loop() {
		c.DueReads(now)
		c.Tick(now)
	}
}

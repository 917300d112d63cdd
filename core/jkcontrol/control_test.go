package jkcontrol

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkorder"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// world is a platform, one engine and its own clock. The clock of a host is
// separate, so that a test can freeze it.
type world struct {
	t        *testing.T
	timer    *jktimer.Service
	clock    *jktimer.Manual
	platform *jkstandin.Platform
	client   *jkplatform.Client
	engine   *jkstandin.Engine
	engines  *jkendpoint.Client
	addr     string
	checks   bool
}

type host struct {
	*Controller
	clock   *jktimer.Manual
	version string
	// delay, if set, holds an order back on its way to the engine.
	delay func(deliver func() error) error
	sent  int
}

var begin = time.Unix(1_800_000_000, 0)

func newWorld(t *testing.T, checks bool) *world {
	w := &world{t: t, checks: checks}
	w.timer, w.clock = jktimer.NewManual(begin)
	w.platform = jkstandin.NewPlatform(w.timer, jkstandin.PlatformLimits{})
	w.engine = jkstandin.NewEngine(jkstandin.EngineOptions{CheckFencing: checks, Models: []string{"other"}}, w.timer, jklog.Discard())
	transport := &http.Transport{}
	w.client = jkplatform.NewHTTP("http://"+w.serve(w.platform), &http.Client{Transport: transport})
	w.engines = jkendpoint.New(jkendpoint.Options{})
	w.addr = w.serve(w.engine)
	t.Cleanup(func() { transport.CloseIdleConnections(); w.engines.Close() })
	return w
}

func (w *world) serve(h http.Handler) string {
	s, err := jkstandin.Serve("127.0.0.1:0", h, w.timer)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// host starts a host that wants a version of the model m.
func (w *world) host(name, version string) *host {
	h := &host{version: version}
	var timer *jktimer.Service
	timer, h.clock = jktimer.NewManual(w.timer.Now())
	limits := jkorder.DefaultOptions()
	limits.Zone = "a"
	limits.LoadInterval = time.Second
	var mu sync.Mutex
	h.Controller = New(Options{
		Host: func() string { return name }, Timer: timer, Log: jklog.Discard(), Platform: w.client, Limits: limits,
		IsLeader: func() bool { return true },
		Calls:    func() map[string]int { return nil },
		Read:     w.engines.State,
		Count:    func(jkendpoint.OrderKind, jkorder.Result) {},
		Revision: func() uint64 { return 1 },
		Wanted: func() jkorder.Wanted {
			return jkorder.Wanted{
				Revision: 1,
				Engines:  []jkorder.EngineSpec{{ID: "e", Zone: "a", Addr: w.addr, Models: []string{"m"}, ChecksFencing: w.checks}},
				Models:   []jkorder.ModelSpec{{Name: "m", Versions: []string{h.version}, Replicas: 1}},
			}
		},
		Order: func(ctx context.Context, addr string, o jkendpoint.Order) error {
			mu.Lock()
			h.sent++
			mu.Unlock()
			deliver := func() error { return w.engines.Order(ctx, addr, o) }
			if h.delay != nil {
				return h.delay(deliver)
			}
			return deliver()
		},
	})
	w.t.Cleanup(h.Stop)
	return h
}

// pass lets seconds pass everywhere besides the frozen hosts, which are not
// named.
func (w *world) pass(seconds int, hosts ...*host) {
	for range seconds {
		w.clock.Advance(time.Second)
		for _, h := range hosts {
			h.clock.Advance(time.Second)
			h.Tick()
		}
	}
}

// settled is a time in seconds after which a controller has given its first
// orders, and idle one after which it may reload the only replica of a model,
// because nobody uses it.
const settled = int((2*TTL + 2*Delivery) / time.Second)

var idle = int(jkorder.DefaultOptions().Idle/time.Second) + settled

func (w *world) wantVersion(version string) {
	w.t.Helper()
	s := w.engine.State()
	want := jkendpoint.ModelState{Name: "m", Version: version, Phase: jkendpoint.ModelReady}
	if !slices.Contains(s.Models, want) {
		w.t.Fatalf("engine reports %+v, want version %s; orders %+v", s.Models, version, w.engine.Account().Orders)
	}
}

// Guards against an order of a frozen controller that still believes in its
// lease: an engine that checks tokens refuses it, and the controller learns that
// it is none.
func TestFrozenControllerIsRefused(t *testing.T) {
	w := newWorld(t, true)
	former, next := w.host("h1", "1"), w.host("h2", "2")
	w.pass(settled, former)
	w.wantVersion("1")
	w.pass(idle, next) // the clock of the former host stands still
	w.wantVersion("2")
	if !former.Status().Controller || !next.Status().Controller {
		t.Fatal("both hosts must believe in their lease for this test")
	}
	if next.Status().Token <= former.Status().Token {
		t.Fatalf("tokens %d and %d don't grow", former.Status().Token, next.Status().Token)
	}
	former.clock.Advance(2 * time.Second)
	former.version = "3"
	order := jkorder.Command{Engine: "e", Addr: w.addr, ChecksFencing: true, Order: jkendpoint.Order{Kind: jkendpoint.OrderVersion, Model: "m", Version: "3"}}
	former.send(former.term, order)
	w.wantVersion("2")
	if former.Status().Controller {
		t.Fatal("the refused host still believes that it is the controller")
	}
}

// Guards against a process that is paused between its decision and the order:
// on its return the lease has ended, so nothing may be sent, whether the engine
// checks tokens or not. Near its end, only an engine that checks gets an order,
// and the request ends before the lease.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	w := newWorld(t, false)
	h := w.host("h1", "1")
	w.pass(2, h)
	cmd := func(checks bool) jkorder.Command {
		return jkorder.Command{Engine: "e", Addr: w.addr, ChecksFencing: checks, Order: jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: "m", Version: "1"}}
	}
	h.term.barrier = h.options.Timer.Now()
	for _, c := range []struct {
		left   time.Duration
		checks bool
		want   bool
	}{
		{TTL, false, true},
		{Delivery, false, true},
		{Delivery - time.Millisecond, false, false},
		{Delivery - time.Millisecond, true, true},
		{LeaseMargin + time.Millisecond, true, true},
		{LeaseMargin, true, false},
		{-time.Minute, true, false},
		{-time.Minute, false, false},
	} {
		h.term.until = h.options.Timer.Now().Add(c.left)
		h.sent = 0
		timeout, _ := h.timeout(h.term, c.checks)
		if h.send(h.term, cmd(c.checks)); (h.sent == 1) != c.want {
			t.Errorf("%s left, checks %t: sent %d orders", c.left, c.checks, h.sent)
		}
		if c.want && (timeout >= c.left || timeout > OrderTimeout) {
			t.Errorf("%s left: the request may take %s", c.left, timeout)
		}
	}
}

// Guards against an old order that arrives at an engine without token check
// after the new controller's: the new one waits longer than any order within
// the stated bound takes, and reads the engine back. An order beyond the bound
// can't be kept off; it is found and undone.
func TestLateOrderToUncheckedEngine(t *testing.T) {
	const bound = int((TTL + Delivery) / time.Second)
	for _, late := range []int{1, 10, bound, bound + 10} {
		w := newWorld(t, false)
		former, next := w.host("h1", "1"), w.host("h2", "2")
		former.delay = func(func() error) error {
			return context.DeadlineExceeded
		}
		w.pass(settled, former)
		if former.sent == 0 {
			t.Fatal("the former controller gave no order")
		}
		w.pass(late, next)
		_ = w.engines.Order(context.Background(), w.addr, jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: "m", Version: "1", FencingToken: former.term.lease.Token})
		if late <= bound && next.sent != 0 {
			t.Fatalf("late by %d s: the new controller gave an order before the bound", late)
		}
		w.pass(2*idle, next)
		w.wantVersion("2")
		orders := w.engine.Account().Orders
		if last := orders[len(orders)-1].Order; last.FencingToken != next.Status().Token {
			t.Fatalf("late by %d s: the last order is %+v", late, last)
		}
	}
}

// Guards against orders without a valid lease while the platform is down, and
// against a lost answer that is taken for a refusal.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t, true)
	h := w.host("h1", "1")
	w.pass(2, h)
	if !h.Status().Controller {
		t.Fatal("no controller")
	}
	token := h.Status().Token
	w.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	w.pass(int(TTL/time.Second), h)
	if h.Status().Controller {
		t.Fatal("still controller without a lease")
	}
	sent := h.sent
	w.pass(settled, h)
	if h.sent != sent {
		t.Fatalf("%d orders without a lease", h.sent-sent)
	}
	var other *NotControllerError
	if err := h.Request("e", jkendpoint.Order{Kind: jkendpoint.OrderUnload, Model: "m"}, true); !errors.As(err, &other) {
		t.Fatalf("request without a lease: %v", err)
	}
	w.platform.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
	w.pass(settled, h)
	if !h.Status().Controller || h.Status().Token <= token {
		t.Fatalf("after the outage: %+v", h.Status())
	}
	w.wantVersion("1")
}

// Guards against a halted rollout that the next controller starts again, and
// against one that an operator can't resume.
func TestHaltSurvivesTheController(t *testing.T) {
	w := newWorld(t, true)
	former, next := w.host("h1", "1"), w.host("h2", "1")
	former.delay = func(func() error) error { return &jkendpoint.StatusError{Status: http.StatusBadRequest} }
	w.pass(settled, former)
	if got := former.Status().Rollouts[0].Phase; got != jkorder.PhaseHalted {
		t.Fatalf("rollout is %s after a refused order", got)
	}
	former.Stop()
	w.pass(settled, next)
	if next.sent != 0 || next.Status().Rollouts[0].Phase != jkorder.PhaseHalted {
		t.Fatalf("next controller sent %d orders, rollout %+v", next.sent, next.Status().Rollouts)
	}
	if err := next.Resume("m"); err != nil {
		t.Fatal(err)
	}
	w.pass(60, next)
	w.wantVersion("1")
	if err := next.Resume("m"); err == nil {
		t.Fatal("resumed a rollout that isn't halted")
	}
}

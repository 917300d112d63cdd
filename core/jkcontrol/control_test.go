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

// fixture holds a platform and one engine with a common clock. Each host has a clock
// of its own, so that a test can freeze it.
type fixture struct {
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
	// delay, if set, is called in place of the delivery of an order to the engine.
	delay func(deliver func() error) error
	sent  int
}

var startTime = time.Unix(1_800_000_000, 0)

func newFixture(t *testing.T, checks bool) *fixture {
	f := &fixture{t: t, checks: checks}
	f.timer, f.clock = jktimer.NewManual(startTime)
	f.platform = jkstandin.NewPlatform(f.timer, jkstandin.PlatformLimits{})
	f.engine = jkstandin.NewEngine(jkstandin.EngineOptions{CheckFencing: checks, Models: []string{"other"}}, f.timer, jklog.Discard())
	transport := &http.Transport{}
	f.client = jkplatform.NewHTTP("http://"+f.serve(f.platform), &http.Client{Transport: transport})
	f.engines = jkendpoint.New(jkendpoint.Options{})
	f.addr = f.serve(f.engine)
	t.Cleanup(func() { transport.CloseIdleConnections(); f.engines.Close() })
	return f
}

func (f *fixture) serve(h http.Handler) string {
	s, err := jkstandin.Serve("127.0.0.1:0", h, f.timer)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = s.Close() })
	return s.Address()
}

// host starts a host that wants a version of the model m.
func (f *fixture) host(name, version string) *host {
	h := &host{version: version}
	var timer *jktimer.Service
	timer, h.clock = jktimer.NewManual(f.timer.Now())
	limits := jkorder.DefaultOptions()
	limits.Zone = "a"
	limits.LoadInterval = time.Second
	var mu sync.Mutex
	h.Controller = New(Options{
		Holder: func() string { return name }, Timer: timer, Log: jklog.Discard(), Platform: f.client, Limits: limits,
		IsLeader:      func() bool { return true },
		Calls:         func() map[string]int { return nil },
		ReadState:     f.engines.State,
		OnOrderResult: func(jkendpoint.OrderKind, jkorder.Result) {},
		Revision:      func() uint64 { return 1 },
		Wanted: func() jkorder.Wanted {
			return jkorder.Wanted{
				Revision: 1,
				Engines:  []jkorder.EngineSpec{{ID: "e", Zone: "a", Addr: f.addr, Models: []string{"m"}, ChecksFencing: f.checks}},
				Models:   []jkorder.ModelSpec{{Name: "m", Versions: []string{h.version}, Replicas: 1}},
			}
		},
		SendOrder: func(ctx context.Context, addr string, o jkendpoint.Order) error {
			mu.Lock()
			h.sent++
			mu.Unlock()
			deliver := func() error { return f.engines.Order(ctx, addr, o) }
			if h.delay != nil {
				return h.delay(deliver)
			}
			return deliver()
		},
	})
	f.t.Cleanup(h.Stop)
	return h
}

// advance advances the clocks of the platform, the engine and the given hosts, and
// ticks these hosts each second. Hosts that are not given stay frozen.
func (f *fixture) advance(seconds int, hosts ...*host) {
	for range seconds {
		f.clock.Advance(time.Second)
		for _, h := range hosts {
			h.clock.Advance(time.Second)
			h.Tick()
		}
	}
}

// settleSeconds is the time after which a controller has sent its first orders, and
// idleSeconds the time after which it may reload the only replica of a model, because
// no call uses it.
const settleSeconds = int((2*LeaseTTL + 2*DeliveryBound) / time.Second)

var idleSeconds = int(jkorder.DefaultOptions().Idle/time.Second) + settleSeconds

func (f *fixture) wantVersion(version string) {
	f.t.Helper()
	s := f.engine.State()
	want := jkendpoint.ModelState{Name: "m", Version: version, Phase: jkendpoint.ModelReady}
	if !slices.Contains(s.Models, want) {
		f.t.Fatalf("engine reports %+v, want version %s; orders %+v", s.Models, version, f.engine.Account().Orders)
	}
}

// Guards against an order of a frozen controller whose lease is valid only by its own
// clock: an engine that checks tokens must refuse the order, and the controller must
// then end its term.
func TestFrozenControllerIsRefused(t *testing.T) {
	f := newFixture(t, true)
	former, next := f.host("h1", "1"), f.host("h2", "2")
	f.advance(settleSeconds, former)
	f.wantVersion("1")
	f.advance(idleSeconds, next) // the clock of the former host stands still
	f.wantVersion("2")
	if !former.Status().Controller || !next.Status().Controller {
		t.Fatal("this test needs two hosts that both count their lease as valid")
	}
	if next.Status().Token <= former.Status().Token {
		t.Fatalf("fencing tokens don't increase: %d, then %d", former.Status().Token, next.Status().Token)
	}
	former.clock.Advance(2 * time.Second)
	former.version = "3"
	order := jkorder.Command{Engine: "e", Addr: f.addr, ChecksFencing: true, Order: jkendpoint.Order{Kind: jkendpoint.OrderVersion, Model: "m", Version: "3"}}
	former.send(former.term, order)
	f.wantVersion("2")
	if former.Status().Controller {
		t.Fatal("the refused host still reports itself as the controller")
	}
}

// Guards against an order that is sent after the lease has ended, because the process
// was paused between the decision and the order. No engine may get it, whether it
// checks tokens or not. Near the end of the lease only an engine that checks tokens
// gets an order, and the request times out before the lease ends.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	f := newFixture(t, false)
	h := f.host("h1", "1")
	f.advance(2, h)
	cmd := func(checks bool) jkorder.Command {
		return jkorder.Command{Engine: "e", Addr: f.addr, ChecksFencing: checks, Order: jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: "m", Version: "1"}}
	}
	h.term.barrier = h.options.Timer.Now()
	for _, c := range []struct {
		left   time.Duration
		checks bool
		want   bool
	}{
		{LeaseTTL, false, true},
		{DeliveryBound, false, true},
		{DeliveryBound - time.Millisecond, false, false},
		{DeliveryBound - time.Millisecond, true, true},
		{LeaseMargin + time.Millisecond, true, true},
		{LeaseMargin, true, false},
		{-time.Minute, true, false},
		{-time.Minute, false, false},
	} {
		h.term.expiresAt = h.options.Timer.Now().Add(c.left)
		h.sent = 0
		timeout, _ := h.orderTimeout(h.term, c.checks)
		if h.send(h.term, cmd(c.checks)); (h.sent == 1) != c.want {
			t.Errorf("%s left, checks %t: sent %d orders", c.left, c.checks, h.sent)
		}
		if c.want && (timeout >= c.left || timeout > OrderTimeout) {
			t.Errorf("%s left: the request may take %s", c.left, timeout)
		}
	}
}

// Guards against an order of a former controller that arrives late at an engine that
// doesn't check tokens. The new controller waits for longer than an order within the
// assumed bound takes, and then reads the engine's state. An order later than the
// bound can't be prevented; the new controller detects and reverts it.
func TestLateOrderToUncheckedEngine(t *testing.T) {
	const bound = int((LeaseTTL + DeliveryBound) / time.Second)
	for _, late := range []int{1, 10, bound, bound + 10} {
		f := newFixture(t, false)
		former, next := f.host("h1", "1"), f.host("h2", "2")
		former.delay = func(func() error) error {
			return context.DeadlineExceeded
		}
		f.advance(settleSeconds, former)
		if former.sent == 0 {
			t.Fatal("the former controller sent no order")
		}
		f.advance(late, next)
		_ = f.engines.Order(context.Background(), f.addr, jkendpoint.Order{Kind: jkendpoint.OrderLoad, Model: "m", Version: "1", FencingToken: former.term.lease.Token})
		if late <= bound && next.sent != 0 {
			t.Fatalf("late by %d s: the new controller sent an order before the bound", late)
		}
		f.advance(2*idleSeconds, next)
		f.wantVersion("2")
		orders := f.engine.Account().Orders
		if last := orders[len(orders)-1].Order; last.FencingToken != next.Status().Token {
			t.Fatalf("late by %d s: the last order is %+v", late, last)
		}
	}
}

// Guards against orders without a valid lease while the platform is down, and against
// a lost answer of the platform that counts as a refusal.
func TestPlatformOutage(t *testing.T) {
	f := newFixture(t, true)
	h := f.host("h1", "1")
	f.advance(2, h)
	if !h.Status().Controller {
		t.Fatal("no controller")
	}
	token := h.Status().Token
	f.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	f.advance(int(LeaseTTL/time.Second), h)
	if h.Status().Controller {
		t.Fatal("still controller without a lease")
	}
	sent := h.sent
	f.advance(settleSeconds, h)
	if h.sent != sent {
		t.Fatalf("%d orders without a lease", h.sent-sent)
	}
	var other *NotControllerError
	if err := h.Request("e", jkendpoint.Order{Kind: jkendpoint.OrderUnload, Model: "m"}, true); !errors.As(err, &other) {
		t.Fatalf("request without a lease: %v", err)
	}
	f.platform.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
	f.advance(settleSeconds, h)
	if !h.Status().Controller || h.Status().Token <= token {
		t.Fatalf("after the outage: %+v", h.Status())
	}
	f.wantVersion("1")
}

// Guards against a halted rollout that the next controller restarts, and against one
// that an operator can't resume.
func TestHaltSurvivesTheController(t *testing.T) {
	f := newFixture(t, true)
	former, next := f.host("h1", "1"), f.host("h2", "1")
	former.delay = func(func() error) error { return &jkendpoint.StatusError{Status: http.StatusBadRequest} }
	f.advance(settleSeconds, former)
	if got := former.Status().Rollouts[0].Phase; got != jkorder.PhaseHalted {
		t.Fatalf("rollout is %s after a refused order", got)
	}
	former.Stop()
	f.advance(settleSeconds, next)
	if next.sent != 0 || next.Status().Rollouts[0].Phase != jkorder.PhaseHalted {
		t.Fatalf("next controller sent %d orders, rollout %+v", next.sent, next.Status().Rollouts)
	}
	if err := next.Resume("m"); err != nil {
		t.Fatal(err)
	}
	f.advance(60, next)
	f.wantVersion("1")
	if err := next.Resume("m"); err == nil {
		t.Fatal("resumed a rollout that isn't halted")
	}
}

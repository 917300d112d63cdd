package jkforward

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// newDialFixture returns a fixture whose pool opens connections with dial.
func newDialFixture(t *testing.T, dialect Dialect, kind jkruleset.Kind, maxAttempts int, dial func(ctx context.Context, addr string) (net.Conn, bool, error)) *singleFixture {
	t.Helper()
	timer := jktimer.New()
	opt := jksched.DefaultDirectOptions()
	opt.Zone = "a"
	f := &singleFixture{fleet: NewFleet("h", opt, timer), crashes: NewCrashWatch(timer, jklog.Discard())}
	rules := jkruleset.NewSet(1, jkruleset.Limits{MaxBodyBytes: 1000}, []*jkruleset.Service{
		jkruleset.NewService(jkruleset.ServiceConfig{Name: "s", EventTokens: 5}),
	}, []*jkruleset.Route{jkruleset.NewRoute(jkruleset.RouteConfig{
		Name: "single", Host: "site.example", Prefix: "/single/", Kind: kind, Timeout: 3 * time.Second,
		MaxAttempts: maxAttempts, Resumable: kind == jkruleset.KindStream, Shares: []jkruleset.Share{{Service: "s", Weight: 1}},
	})})
	pool := jkupstream.DefaultOptions()
	pool.Dial = dial
	f.front = httptest.NewServer(NewHandler(Options{
		Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Rules: func() *jkruleset.Set { return rules },
		Dialect: dialect, Account: (&memoryAccount{}).account(), Fleet: f.fleet, Stop: NewHostStop(),
		Pool: jkupstream.NewPool(pool, timer, func() {}), Crashes: f.crashes,
	}))
	t.Cleanup(f.front.Close)
	return f
}

// Guards against a call that is broken off while its endpoint is at work, because its connection took long, as one
// through a relay may, and counts as a part of the silence.
func TestTimeToConnectIsNoSilence(t *testing.T) {
	near := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
	})
	far := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentHead+silentOne+silentTwo) })
	f := newDialFixture(t, testDialect(), jkruleset.KindIdempotent, 2, func(ctx context.Context, addr string) (net.Conn, bool, error) {
		if addr == near.listener.Addr().String() {
			time.Sleep(250 * time.Millisecond)
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		return conn, true, err
	})
	f.add("near", "a", near.listener.Addr().String())
	f.add("far", "b", far.listener.Addr().String())
	wantWholeStream(t, f)
	if near.requests.Load() != 1 || far.requests.Load() != 0 {
		t.Errorf("%d runs at the first endpoint and %d at the other, want one, which takes 0.2 s", near.requests.Load(), far.requests.Load())
	}
}

package jkforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// Guards against a second run on another endpoint (BUDGET) of a request whose endpoint is sound: the
// hosts of its zone are silent and two others of the zone's endpoints are gone.
func TestRequestOfADarkZoneWithLostEndpointsRunsOnce(t *testing.T) {
	timer := jktimer.New()
	opt := jksched.DefaultDirectOptions()
	opt.Zone = "a"
	fleet := NewFleet("h", opt, timer)
	crashes := NewCrashWatch(timer, jklog.Discard())
	var ran atomic.Int64
	serve := func(wait time.Duration) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			time.Sleep(wait)
			w.Header().Set(testRequest, "r1")
			w.Header().Set(testSigned, "1")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
		}))
	}
	sound, other := serve(800*time.Millisecond), serve(0)
	defer sound.Close()
	defer other.Close()
	set := func(id, zone, addr string) {
		fleet.SetEndpoint(jksched.Endpoint{ID: id, Zone: zone, Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, addr, 1)
		crashes.SetEndpoint(id, addr, 1)
	}
	rules := func() *jkruleset.Set {
		return jkruleset.NewSet(1, jkruleset.Limits{MaxBodyBytes: 1000}, []*jkruleset.Service{
			jkruleset.NewService(jkruleset.ServiceConfig{Name: "s", EventTokens: 5}),
		}, []*jkruleset.Route{jkruleset.NewRoute(jkruleset.RouteConfig{
			Name: "single", Host: "site.example", Prefix: "/single/", Kind: jkruleset.KindStream, Timeout: 3 * time.Second,
			MaxAttempts: 1, Resumable: true, Shares: []jkruleset.Share{{Service: "s", Weight: 1}},
		})})
	}
	set("sound", "b", sound.Listener.Addr().String())
	h := NewHandler(Options{
		Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Rules: rules,
		Dialect: testDialect(), Account: (&memoryAccount{}).account(), Fleet: fleet, Stop: NewHostStop(),
		Pool: jkupstream.NewPool(jkupstream.DefaultOptions(), timer, func() {}), Crashes: crashes,
	})
	front := httptest.NewServer(h)
	defer front.Close()
	zones := NewZoneWatch(fleet, timer, jklog.Discard())
	defer zones.Close()
	var lost []string
	zones.dial = func(ctx context.Context, addr string) error {
		if slices.Contains(lost, addr) {
			<-ctx.Done()
			return ctx.Err()
		}
		return dialOnce(ctx, addr)
	}
	go func() {
		time.Sleep(100 * time.Millisecond)
		set("other", "a", other.Listener.Addr().String())
		// Two ids of endpoints that come before the sound one in this entry's order.
		for i := 0; len(lost) < 2; i++ {
			id, addr := fmt.Sprint("lost", i), fmt.Sprintf("192.0.2.%d:80", i+1)
			set(id, "b", addr)
			if order := fleet.addrsOf("b", 0, 100); slices.Index(order, addr) > slices.Index(order, sound.Listener.Addr().String()) {
				fleet.RemoveEndpoint(id)
				continue
			}
			lost = append(lost, addr)
		}
		zones.SetHostsReachable("b", false)
	}()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /single/x HTTP/1.1\r\nHost: site.example\r\n%s: r1\r\nContent-Length: 2\r\n\r\nhi", testRequest)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n := ran.Load(); n > 1 {
		t.Errorf("ran on %d endpoints of 1 (status %d), though the first one is sound", n, resp.StatusCode)
	}
}

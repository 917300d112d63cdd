package jkforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
)

// smallListener returns a listener with the smallest queue of new connections.
func smallListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 1); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	// FileListener may have called listen with another queue.
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against a second run on another endpoint (BUDGET) of a request whose endpoint is at work
// with a full queue of new connections: it doesn't answer them, hasn't ended and isn't cut off.
func TestRequestOfAnEndpointWithAFullQueueRunsThereOnly(t *testing.T) {
	busy := smallListener(t)
	raw, err := busy.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	var ranBusy, ranOther atomic.Int64
	stillAtWork := make(chan struct{})
	go func() {
		c, err := busy.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ranBusy.Add(1)
		// It accepts nothing else while it works, and its queue fills.
		for range 3 {
			go func() {
				if c, err := net.DialTimeout("tcp", busy.Addr().String(), 100*time.Millisecond); err == nil {
					defer c.Close()
					<-stillAtWork
				}
			}()
		}
		<-stillAtWork
	}()
	defer close(stillAtWork)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ranOther.Add(1)
		w.Header().Set(testRequest, "r1")
		w.Header().Set(testSigned, "1")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
	}))
	defer other.Close()
	timer := jktimer.New()
	fleet := NewFleet("h", jksched.DefaultDirectOptions(), timer)
	crashes := NewCrashWatch(timer, jklog.Discard())
	set := func(id, addr string) {
		fleet.SetEndpoint(jksched.Endpoint{ID: id, Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLive}, addr, 1)
		crashes.SetEndpoint(id, addr, 1)
	}
	set("busy", busy.Addr().String())
	rules := func() *jkruleset.Set {
		return jkruleset.NewSet(1, jkruleset.Limits{MaxBodyBytes: 1000}, []*jkruleset.Service{
			jkruleset.NewService(jkruleset.ServiceConfig{Name: "s", EventTokens: 5}),
		}, []*jkruleset.Route{jkruleset.NewRoute(jkruleset.RouteConfig{
			Name: "single", Host: "site.example", Prefix: "/single/", Kind: jkruleset.KindStream, Timeout: 3 * time.Second,
			MaxAttempts: 1, Resumable: true, Shares: []jkruleset.Share{{Service: "s", Weight: 1}},
		})})
	}
	h := NewHandler(Options{
		Timer: timer, Log: jklog.Discard(), Metrics: NewMetrics(metrics.NewSet()), Rules: rules,
		Dialect: testDialect(), Account: (&memoryAccount{}).account(), Fleet: fleet, Stop: NewHostStop(),
		Pool: jkupstream.NewPool(jkupstream.DefaultOptions(), timer, func() {}), Crashes: crashes,
	})
	front := httptest.NewServer(h)
	defer front.Close()
	go func() {
		time.Sleep(100 * time.Millisecond)
		set("other", other.Listener.Addr().String())
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
	route := rules().Match("site.example", "/single/x")
	t.Logf("status %d, max_attempts %d, ran at busy %d, at other %d", resp.StatusCode, route.MaxAttempts(), ranBusy.Load(), ranOther.Load())
	if n := ranBusy.Load() + ranOther.Load(); n > int64(max(route.MaxAttempts(), 1)) {
		t.Errorf("ran on %d endpoints of %d; the first one neither ended nor is cut off", n, max(route.MaxAttempts(), 1))
	}
}

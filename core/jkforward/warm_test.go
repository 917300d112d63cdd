package jkforward

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// Guards against a call that takes long and closes the idle connections on which its sound endpoint has just answered
// others.
func TestLongCallLeavesConnectionsThatHaveJustAnswered(t *testing.T) {
	const others = 6
	var opened, ran atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wait := 20 * time.Millisecond
		if ran.Add(1) == 1 {
			wait = 900 * time.Millisecond
		}
		time.Sleep(wait)
		w.Header().Set(testRequest, "r1")
		w.Header().Set(testSigned, "1")
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	f := newKindFixture(t, jkruleset.KindIdempotent, false, 1)
	f.add("e", "a", s.Listener.Addr().String())
	var long sync.WaitGroup
	long.Go(func() { f.send(t) })
	for ran.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 10 {
		var quick sync.WaitGroup
		for range others {
			quick.Go(func() { f.send(t) })
		}
		quick.Wait()
		time.Sleep(60 * time.Millisecond)
	}
	long.Wait()
	// The long call has one, and one more is the check of its endpoint.
	if n := opened.Load(); n > others+2 {
		t.Errorf("%d connections, want %d", n, others+2)
	}
}

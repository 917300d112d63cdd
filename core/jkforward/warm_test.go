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
	const others = 2
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
	quick := func() {
		var calls sync.WaitGroup
		for range others {
			calls.Go(func() { f.send(t) })
		}
		calls.Wait()
	}
	time.Sleep(450 * time.Millisecond)
	quick()
	for end := time.Now().Add(time.Second); ran.Load() < 1+others+1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the long call isn't sent again")
		}
	}
	quick()
	long.Wait()
	// The long call has one, the check of its endpoint is one, and where it is sent again takes one of the others.
	if n := opened.Load(); n > others+3 {
		t.Errorf("%d connections, want %d", n, others+3)
	}
}

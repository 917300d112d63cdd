package jkforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jkpipe"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkstandin"
)

const (
	shortSilence = 1200 * time.Millisecond
	silentNotRun = "HTTP/1.1 503 X\r\n" + testRequest + ": r1\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
)

// acceptingEndpoint accepts all connections and serves each request in a goroutine of its own.
type acceptingEndpoint struct {
	listener net.Listener
	requests atomic.Int64
}

// newAcceptingEndpoint returns an endpoint that calls serve with the number of each request and the
// last event that it names.
func newAcceptingEndpoint(t *testing.T, serve func(n int64, c net.Conn, last string)) *acceptingEndpoint {
	t.Helper()
	return newAcceptingEndpointOn(t, listenTCP(t), serve)
}

func newAcceptingEndpointOn(t *testing.T, l net.Listener, serve func(n int64, c net.Conn, last string)) *acceptingEndpoint {
	t.Helper()
	e := &acceptingEndpoint{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				serve(e.requests.Add(1), c, r.Header.Get(testLast))
			}()
		}
	}()
	return e
}

// serveStream sends the events after the last one, and is silent before the second one until over.
func serveStream(over func() <-chan struct{}) func(n int64, c net.Conn, last string) {
	return func(_ int64, c net.Conn, last string) {
		if last == "" {
			_, _ = io.WriteString(c, silentHead+silentOne)
			<-over()
			_, _ = io.WriteString(c, silentTwo)
			return
		}
		<-over()
		_, _ = io.WriteString(c, silentHead+silentTwo)
	}
}

// silence returns a function whose channel is closed a time after its first call.
func silence(d time.Duration) func() <-chan struct{} {
	done := make(chan struct{})
	var began atomic.Bool
	return func() <-chan struct{} {
		if began.CompareAndSwap(false, true) {
			time.AfterFunc(d, func() { close(done) })
		}
		return done
	}
}

func wantWholeStream(t *testing.T, f *singleFixture) {
	t.Helper()
	began := time.Now()
	status, body := f.read(t)
	if status != http.StatusOK || body != silentOne+silentTwo {
		t.Errorf("status %d, body %q after %s, want the whole stream", status, body, time.Since(began).Round(time.Millisecond))
	}
}

// Guards against a stream that is aborted because its only endpoint is silent for 1.2 s, accepts
// connections, and the route allows more endpoints than there are.
func TestStreamOfAcceptingEndpointIsNotGivenUpWithoutAnother(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindStream, true, attempts)
			e := newAcceptingEndpoint(t, serveStream(silence(shortSilence)))
			f.add("e", "a", e.listener.Addr().String())
			wantWholeStream(t, f)
		})
	}
}

// Guards against a stream that is aborted because its silent endpoint takes no new requests anymore:
// it is leaving, or its entry was removed.
func TestStreamOfSilentLeavingEndpointIsNotGivenUp(t *testing.T) {
	for _, how := range []string{"leaving", "removed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindStream, true, 1)
			over := silence(shortSilence)
			var addr string
			e := newAcceptingEndpoint(t, func(n int64, c net.Conn, last string) {
				if n == 1 {
					switch how {
					case "leaving":
						f.fleet.SetEndpoint(jksched.Endpoint{ID: "e", Zone: "a", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLeaving}, addr, 1)
					case "removed":
						f.fleet.RemoveEndpoint("e")
						f.crashes.RemoveEndpoint("e")
					}
				}
				serveStream(over)(n, c, last)
			})
			addr = e.listener.Addr().String()
			f.add("e", "a", addr)
			wantWholeStream(t, f)
		})
	}
}

// Guards against a stream that is aborted because its endpoint and the next one are silent at once.
func TestStreamIsNotGivenUpWhenTheNextEndpointIsSilentToo(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 2)
	e := newAcceptingEndpoint(t, serveStream(silence(shortSilence)))
	f.add("near", "a", e.listener.Addr().String())
	silent := newSilentEndpoint(t, time.Second, "", "")
	f.add("far", "b", silent.listener.Addr().String())
	silent.fillQueue(t)
	wantWholeStream(t, f)
}

// Guards against a stream that is aborted because the other endpoints are full while its own one is
// silent.
func TestStreamIsNotGivenUpWhenOtherEndpointsAreFull(t *testing.T) {
	for _, others := range []int{1, 3} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindStream, true, 2)
			e := newAcceptingEndpoint(t, serveStream(silence(shortSilence)))
			f.add("near", "a", e.listener.Addr().String())
			for i := range others {
				full := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentNotRun) })
				f.add(fmt.Sprint("far", i), "b", full.listener.Addr().String())
			}
			wantWholeStream(t, f)
		})
	}
}

// Guards against a stream that is aborted because its silent endpoint's slots are still taken by its
// first run.
func TestStreamIsNotGivenUpWhenItsOwnEndpointIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := jkpipe.NewNetwork()
		f := newPipeFixture(t, network, jkruleset.KindStream, true, 1)
		over := silence(2 * time.Second)
		e := newAcceptingEndpointOn(t, network.Listen("e"), func(n int64, c net.Conn, last string) {
			select {
			case <-over():
			default:
				if n > 1 {
					_, _ = io.WriteString(c, silentNotRun)
					return
				}
			}
			serveStream(over)(n, c, last)
		})
		f.add("e", "a", e.listener.Addr().String())
		wantWholeStream(t, f)
	})
}

// Guards against an answer that is lost because its endpoint refuses new connections while it
// finishes the requests in flight, as a server that shuts down does.
func TestAnswerOfEndpointThatRefusesNewConnectionsIsNotBrokenOff(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      jkruleset.Kind
		resumable bool
	}{
		{"call that can't be repeated", jkruleset.KindNonIdempotent, false},
		{"stream", jkruleset.KindStream, false},
		{"resumable stream", jkruleset.KindStream, true},
		{"idempotent call", jkruleset.KindIdempotent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, c.kind, c.resumable, 1)
			var e *acceptingEndpoint
			ready := make(chan struct{})
			e = newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
				<-ready
				_ = e.listener.Close()
				time.Sleep(shortSilence + 300*time.Millisecond)
				_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
			})
			close(ready)
			f.add("e", "a", e.listener.Addr().String())
			wantWholeStream(t, f)
		})
	}
}

// Guards against an answer that is broken off while its body arrives.
func TestCallIsNotGivenUpWhileItsBodyArrives(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindIdempotent, false, 1)
	e := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: r1\r\n%s: 1\r\nContent-Length: 12\r\n\r\n", testRequest, testSigned)
		for range 12 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "x")
		}
	})
	f.add("e", "a", e.listener.Addr().String())
	status, body := f.read(t)
	if runs := e.requests.Load(); status != http.StatusOK || body != strings.Repeat("x", 12) || runs != 1 {
		t.Errorf("status %d, body %q after %d runs, want the whole body of one", status, body, runs)
	}
}

// Guards against a call that fails because its sound endpoint, which accepts connections, takes
// longer for the answer than for four stalls.
func TestSlowCallOfTheOnlyEndpointIsNotGivenUp(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindIdempotent, false, 1)
	e := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
		time.Sleep(shortSilence)
		_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
	})
	f.add("e", "a", e.listener.Addr().String())
	wantWholeStream(t, f)
}

// Guards against streams that are aborted because all endpoints of their service count as cut off
// for a moment.
func TestStreamOfCutOffZoneIsNotGivenUpWithoutAnother(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	over := silence(shortSilence)
	e := newAcceptingEndpoint(t, func(n int64, c net.Conn, last string) {
		if n == 1 {
			time.AfterFunc(400*time.Millisecond, func() { f.fleet.SetEndpointsReachable("a", false) })
			time.AfterFunc(900*time.Millisecond, func() { f.fleet.SetEndpointsReachable("a", true) })
		}
		serveStream(over)(n, c, last)
	})
	f.add("e", "a", e.listener.Addr().String())
	wantWholeStream(t, f)
}

// Guards against new connections for each call that lasts long at an endpoint that others show to be
// sound.
func TestSlowCallsDontEachOpenAConnectionForACheck(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindNonIdempotent, false, 1)
	var accepted atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted.Add(1)
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1100 * time.Millisecond)
			w.Header().Set(testRequest, "r1")
			w.Header().Set(testSigned, "1")
			_, _ = io.WriteString(w, "done")
		}),
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	f.add("e", "a", l.Addr().String())
	for range 4 {
		if status := f.send(t); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := accepted.Load(); n > 2 {
		t.Errorf("%d connections for 4 calls in turn, want 1 and a check", n)
	}
}

// Guards against a request that is sent to more endpoints than its route allows since a sound one
// refuses new connections.
func TestRefusedConnectionIsNoLeaveForAFurtherEndpoint(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	var near *acceptingEndpoint
	ready := make(chan struct{})
	near = newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
		<-ready
		_ = near.listener.Close()
		_, _ = io.WriteString(c, silentHead+silentOne)
		time.Sleep(shortSilence)
		_, _ = io.WriteString(c, silentTwo)
	})
	close(ready)
	far := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentHead+silentTwo) })
	f.add("near", "a", near.listener.Addr().String())
	f.add("far", "b", far.listener.Addr().String())
	f.fleet.SetEndpoint(jksched.Endpoint{ID: "far", Zone: "b", Kind: jksched.KindModel, Service: "s", Slots: 1, State: jksched.StateLive}, far.listener.Addr().String(), 1)
	wantWholeStream(t, f)
	if near.requests.Load() != 1 || far.requests.Load() != 0 {
		t.Errorf("%d and %d runs, want one at the only endpoint", near.requests.Load(), far.requests.Load())
	}
}

// Guards against a silent endpoint that is given up for one that is known not to answer.
func TestStreamIsNotMovedToAnUnreachableEndpoint(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 2)
	e := newAcceptingEndpoint(t, serveStream(silence(shortSilence)))
	f.add("near", "a", e.listener.Addr().String())
	far, err := jkstandin.NewEnded()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	f.add("far", "b", far.Addr())
	f.fleet.unreachable("far")
	f.fleet.unreachable("far")
	wantWholeStream(t, f)
}

// Guards against requests that wait until their deadline in the queue of an endpoint that has long been
// silent, while another one is free.
func TestQueueOfASilentEndpointDoesNotHoldRequests(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 2)
	near := newAcceptingEndpoint(t, func(int64, net.Conn, string) { time.Sleep(8 * time.Second) })
	far := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentHead+silentOne+silentTwo) })
	f.fleet.SetEndpoint(jksched.Endpoint{ID: "near", Zone: "a", Kind: jksched.KindModel, Service: "s", Slots: 1, State: jksched.StateLive}, near.listener.Addr().String(), 1)
	f.crashes.SetEndpoint("near", near.listener.Addr().String(), 1)
	took := make(chan time.Duration, 2)
	began := time.Now()
	for range cap(took) {
		go func() {
			status, _ := f.read(t)
			took <- time.Since(began)
			if status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}()
	}
	for near.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.add("far", "b", far.listener.Addr().String())
	for range cap(took) {
		if d := <-took; d > 4*time.Second {
			t.Errorf("answered after %s", d.Round(time.Millisecond))
		}
	}
}

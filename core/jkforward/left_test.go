package jkforward

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// leave makes an endpoint leave, or removes its entry.
func (f *singleFixture) leave(how, id, addr string) {
	switch how {
	case "leaving":
		f.fleet.SetEndpoint(jksched.Endpoint{ID: id, Zone: "a", Kind: jksched.KindModel, Service: "s", Slots: 4, State: jksched.StateLeaving}, addr, 1)
	case "removed":
		f.fleet.RemoveEndpoint(id)
		f.crashes.RemoveEndpoint(id)
	}
}

// newLeavingEndpoint returns an endpoint that is silent after the first event of its stream, and begins to leave when the
// stream comes again, which it refuses for a time. Late counts the requests that come long after that.
func newLeavingEndpoint(t *testing.T, f *singleFixture, how string, refusesFor time.Duration) (late func() int64) {
	var e *acceptingEndpoint
	var (
		began  atomic.Pointer[time.Time]
		lateOn atomic.Int64
	)
	e = newAcceptingEndpoint(t, func(n int64, c net.Conn, _ string) {
		switch {
		case n == 1:
			_, _ = io.WriteString(c, silentHead+silentOne)
			time.Sleep(5 * time.Second)
			return
		case n == 2:
			now := time.Now()
			began.Store(&now)
			f.leave(how, "e", e.listener.Addr().String())
		case time.Since(*began.Load()) > leftReusePeriod+100*time.Millisecond:
			lateOn.Add(1)
		}
		if time.Since(*began.Load()) < refusesFor {
			_, _ = io.WriteString(c, silentNotRun)
			return
		}
		_, _ = io.WriteString(c, silentHead+silentTwo)
	})
	f.add("e", "a", e.listener.Addr().String())
	return lateOn.Load
}

// Guards against a stream that was given up at its only endpoint, and is aborted because that endpoint begins to leave
// before the stream goes on there (LOST).
func TestStreamThatWasGivenUpGoesOnAtALeavingEndpoint(t *testing.T) {
	for _, how := range []string{"leaving", "removed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindStream, true, 1)
			newLeavingEndpoint(t, f, how, 400*time.Millisecond)
			wantWholeStream(t, f)
		})
	}
}

// Guards against requests that reach an endpoint long after it began to leave (DRAIN).
func TestStreamThatWasGivenUpIsNotSentToAnEndpointThatLeftLongAgo(t *testing.T) {
	for _, how := range []string{"leaving", "removed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindStream, true, 1)
			late := newLeavingEndpoint(t, f, how, time.Minute)
			f.read(t)
			if n := late(); n > 0 {
				t.Errorf("%d requests later than %s after the endpoint began to leave", n, leftReusePeriod)
			}
		})
	}
}

// Guards against a call that is never answered, though its endpoint is at work for less than the time limit, since it is
// sent to it again and again.
func TestLongCallIsSentToASilentEndpointOnceMoreAtMost(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			t.Parallel()
			f := newKindFixture(t, jkruleset.KindIdempotent, false, attempts)
			for i := range attempts {
				e := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
					time.Sleep(1800 * time.Millisecond)
					_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
				})
				f.add(fmt.Sprint("e", i), "a", e.listener.Addr().String())
				t.Cleanup(func() {
					if n := e.requests.Load(); n > 2 {
						t.Errorf("%d requests at one endpoint, want 2 at most", n)
					}
				})
			}
			wantWholeStream(t, f)
		})
	}
}

// Guards against a stream that is aborted before its time limit is over, since little of it is left (LOST).
func TestStreamIsNotAbortedBeforeItsTimeLimit(t *testing.T) {
	const limit, left = 3 * time.Second, 15 * time.Millisecond
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	began := time.Now()
	e := newAcceptingEndpoint(t, func(n int64, c net.Conn, _ string) {
		switch n {
		case 1:
			_, _ = io.WriteString(c, silentHead+silentOne)
			time.Sleep(limit)
		case 2:
			time.Sleep(time.Until(began.Add(limit - left)))
		default:
			time.Sleep(limit)
		}
	})
	f.add("e", "a", e.listener.Addr().String())
	if status, body := f.read(t); time.Since(began) < limit {
		t.Errorf("status %d, body %q after %s of %s", status, body, time.Since(began), limit)
	}
}

// Guards against a stream that ends at its time limit because its connection goes dead a second time, after events on
// the second connection.
func TestStreamWhoseConnectionsGoDeadTwiceIsWhole(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	e := newAcceptingEndpoint(t, func(_ int64, c net.Conn, last string) {
		switch last {
		case "":
			_, _ = io.WriteString(c, silentHead+silentOne)
			time.Sleep(5 * time.Second)
		case "1":
			_, _ = io.WriteString(c, silentHead+silentTwo)
			time.Sleep(5 * time.Second)
		default:
			_, _ = io.WriteString(c, silentHead+"id: 3\ndata: three\n\n")
		}
	})
	f.add("e", "a", e.listener.Addr().String())
	began := time.Now()
	status, body := f.read(t)
	if want := silentOne + silentTwo + "id: 3\ndata: three\n\n"; status != 200 || body != want {
		t.Errorf("status %d, body %q after %s", status, body, time.Since(began).Round(time.Millisecond))
	}
}

// Guards against a stream at a sound endpoint that is sent again and again after its first event, because the next one
// takes longer than a stall.
func TestStreamWithALongGapIsWhole(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	const gap = 1800 * time.Millisecond
	e := newAcceptingEndpoint(t, func(_ int64, c net.Conn, last string) {
		if last == "" {
			_, _ = io.WriteString(c, silentHead+silentOne)
			time.Sleep(gap)
			_, _ = io.WriteString(c, silentTwo)
			return
		}
		time.Sleep(gap)
		_, _ = io.WriteString(c, silentHead+silentTwo)
	})
	f.add("e", "a", e.listener.Addr().String())
	status, body := f.read(t)
	if want := silentOne + silentTwo; status != 200 || body != want {
		t.Errorf("status %d, body %q, %d requests at the endpoint", status, body, e.requests.Load())
	}
}

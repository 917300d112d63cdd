package jkforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

const testReport = "/report"

// startDialect is the test's dialect with endpoints that report their start.
func startDialect() Dialect {
	d := testDialect()
	d.ReportTarget = testReport
	d.DecodeReport = func(report []byte) (int64, bool) {
		born, err := strconv.ParseInt(string(report), 10, 64)
		return born, err == nil
	}
	return d
}

// startEndpoint reports its start and answers streams, each connection in a goroutine of its own.
type startEndpoint struct {
	listener      net.Listener
	streams, born atomic.Int64
}

// newStartEndpoint returns an endpoint that calls report before it reports its start, and stream with each
// stream's connection and the last event that it names.
func newStartEndpoint(t *testing.T, born int64, report func(c net.Conn), stream func(c net.Conn, last string)) *startEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &startEndpoint{listener: l}
	e.born.Store(born)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path != testReport {
						e.streams.Add(1)
						stream(c, r.Header.Get(testLast))
						return
					}
					report(c)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", e.born.Load())
				}
			}()
		}
	}()
	return e
}

func wholeStream(c net.Conn, last string) {
	if last == "" {
		_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
		return
	}
	_, _ = io.WriteString(c, silentHead+silentTwo)
}

// Guards against streams that are sent to another start of an endpoint than the one whose version the
// registry names.
func TestStreamIsSentToTheStartThatTheRegistryNames(t *testing.T) {
	f := newDialectFixture(t, startDialect(), jkruleset.KindStream, true, 1)
	restarted := newStartEndpoint(t, 2, func(net.Conn) {}, wholeStream)
	sound := newStartEndpoint(t, 1, func(net.Conn) {}, wholeStream)
	// Requests prefer the zone of the host, a.
	f.add("near", "a", restarted.listener.Addr().String())
	f.add("far", "b", sound.listener.Addr().String())
	for range 3 {
		wantWholeStream(t, f)
	}
	if restarted.streams.Load() > 0 || sound.streams.Load() != 3 {
		t.Errorf("%d streams at the other start and %d at the registry's, want 0 and 3", restarted.streams.Load(), sound.streams.Load())
	}
}

// Guards against streams that are refused, or aborted midway, since the only endpoint that is left is silent
// for 1.2 s when it is asked for its start.
func TestStreamWaitsForTheReportOfASilentEndpoint(t *testing.T) {
	for _, when := range []string{"begins", "goes on"} {
		for _, attempts := range []int{1, 2, 3} {
			if when == "goes on" && attempts == 1 {
				// The route allows no further endpoint.
				continue
			}
			t.Run(fmt.Sprint(when, " ", attempts), func(t *testing.T) {
				t.Parallel()
				f := newDialectFixture(t, startDialect(), jkruleset.KindStream, true, attempts)
				over := silence(shortSilence)
				e := newStartEndpoint(t, 1, func(net.Conn) { <-over() }, wholeStream)
				f.add("far", "b", e.listener.Addr().String())
				if when == "goes on" {
					broken := newStartEndpoint(t, 1, func(net.Conn) {}, func(c net.Conn, _ string) {
						_, _ = io.WriteString(c, silentHead+silentOne)
						time.Sleep(50 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					f.add("near", "a", broken.listener.Addr().String())
				}
				wantWholeStream(t, f)
			})
		}
	}
}

// Guards against a stream that goes on at another start of its only endpoint, and against one that is aborted
// since its only endpoint closed the connection on which it was asked for its start.
func TestStreamGoesOnAtTheStartThatBeganIt(t *testing.T) {
	for _, how := range []string{"started again", "closes once"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newDialectFixture(t, startDialect(), jkruleset.KindStream, true, 1)
			var e *startEndpoint
			var reports atomic.Int64
			e = newStartEndpoint(t, 1, func(c net.Conn) {
				switch {
				case reports.Add(1) != 2:
				case how == "started again":
					e.born.Store(2)
				default:
					_ = c.Close()
				}
			}, func(c net.Conn, last string) {
				if last == "" {
					_, _ = io.WriteString(c, silentHead+silentOne)
					time.Sleep(50 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
				wholeStream(c, last)
			})
			f.add("e", "a", e.listener.Addr().String())
			if how == "closes once" {
				wantWholeStream(t, f)
				return
			}
			if _, body := f.read(t); body != silentOne || e.streams.Load() != 1 {
				t.Errorf("body %q, %d streams at the endpoint, want the first event of the first start only", body, e.streams.Load())
			}
		})
	}
}

package jkforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// A stream of two events.
const (
	silentHead = "HTTP/1.1 200 X\r\n" + testRequest + ": r1\r\n" + testSigned + ": 1\r\nContent-Type: text/event-stream\r\n\r\n"
	silentOne  = "id: 1\ndata: one\n\n"
	silentTwo  = "id: 2\ndata: two\n\n"
)

// silentEndpoint is an endpoint that falls silent once: it sends nothing and answers no new
// connections for a while, and then goes on.
type silentEndpoint struct {
	listener *net.TCPListener
	ran      atomic.Int64
}

// newSilentEndpoint returns an endpoint that is silent for a time after it has sent the first part of
// its answer to the first request.
func newSilentEndpoint(t *testing.T, silence time.Duration, first, rest string) *silentEndpoint {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	e := &silentEndpoint{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	go func() {
		for c := range conns {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				_ = c.Close()
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, first)
			if e.ran.Add(1) == 1 {
				over := time.After(silence)
				e.fillQueue(t)
				<-over
			}
			_, _ = io.WriteString(c, rest)
			_ = c.Close()
		}
	}()
	return e
}

// fillQueue takes all places in the queue of new connections, so that further ones aren't answered
// until the endpoint accepts them.
func (e *silentEndpoint) fillQueue(t *testing.T) {
	raw, err := e.listener.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		t.Error(err)
	}
	// The first connection that fails may only have come before one was accepted.
	for failed := 0; failed < 2; {
		c, err := net.DialTimeout("tcp", e.listener.Addr().String(), 150*time.Millisecond)
		if err != nil {
			failed++
			continue
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against answers of sound endpoints that are broken off, or replaced by a failure, since the
// endpoint was silent for two seconds (LOST).
func TestAnswersOfSilentEndpointsAreNotBrokenOff(t *testing.T) {
	const silence = 2 * time.Second
	for _, c := range []struct {
		name, first, rest string
		kind              jkruleset.Kind
		resumable         bool
	}{
		{"before the head of a resumable stream", "", silentHead + silentOne + silentTwo, jkruleset.KindStream, true},
		{"before the first event of a resumable stream", silentHead, silentOne + silentTwo, jkruleset.KindStream, true},
		{"within a resumable stream", silentHead + silentOne, silentTwo, jkruleset.KindStream, true},
		{"before the head of a stream", "", silentHead + silentOne + silentTwo, jkruleset.KindStream, false},
		{"within a stream", silentHead + silentOne, silentTwo, jkruleset.KindStream, false},
		{"before the answer of an idempotent call", "", silentHead + silentOne + silentTwo, jkruleset.KindIdempotent, false},
		{"before the answer of a call that can't be repeated", "", silentHead + silentOne + silentTwo, jkruleset.KindNonIdempotent, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newSilentEndpoint(t, silence, c.first, c.rest)
			f := newKindFixture(t, c.kind, c.resumable, 1)
			f.add("e", "a", e.listener.Addr().String())
			status, body := f.read(t)
			if status != http.StatusOK || !strings.HasSuffix(body, silentOne+silentTwo) || e.ran.Load() != 1 {
				t.Errorf("status %d, body %q after %d runs, want the whole answer of one", status, body, e.ran.Load())
			}
		})
	}
}

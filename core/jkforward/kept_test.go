package jkforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// keptEndpoint keeps its connections, of which those that were open at a moment go dead without a sign.
type keptEndpoint struct {
	dead           atomic.Bool
	opened, onDead atomic.Int64
}

func newKeptEndpoint(t *testing.T, serve func(e *keptEndpoint, n int, w io.Writer, last string)) (e *keptEndpoint, addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e = &keptEndpoint{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			opened := e.dead.Load()
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if e.dead.Load() && !opened {
						e.onDead.Add(1)
						time.Sleep(20 * time.Second)
						return
					}
					if n == 0 {
						e.opened.Add(1)
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n"+testRequest+": r1\r\n"+testSigned+": 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
					chunk := writerFunc(func(b []byte) (int, error) { return fmt.Fprintf(c, "%x\r\n%s\r\n", len(b), b) })
					serve(e, n, chunk, r.Header.Get(testLast))
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
			}()
		}
	}()
	return e, l.Addr().String()
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// Guards against a stream that ends at its time limit because all connections to its sound endpoint went dead at once, and
// it goes on on another one that was open then.
func TestStreamWhoseEndpointsKeptConnectionsGoDeadIsWhole(t *testing.T) {
	f := newKindFixture(t, jkruleset.KindStream, true, 1)
	var warm atomic.Bool
	warm.Store(true)
	e, addr := newKeptEndpoint(t, func(e *keptEndpoint, _ int, w io.Writer, last string) {
		switch {
		case warm.Load():
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, silentOne)
		case last == "":
			_, _ = io.WriteString(w, silentOne)
			e.dead.Store(true)
			time.Sleep(20 * time.Second)
		default:
			_, _ = io.WriteString(w, silentTwo)
		}
	})
	f.add("e", "a", addr)
	var reads sync.WaitGroup
	for range 2 {
		reads.Go(func() { f.read(t) })
	}
	reads.Wait()
	warm.Store(false)
	began := time.Now()
	if status, body := f.read(t); status != 200 || body != silentOne+silentTwo {
		t.Errorf("status %d, body %q after %s, %d connections served, %d requests on dead ones", status, body,
			time.Since(began).Round(time.Millisecond), e.opened.Load(), e.onDead.Load())
	}
}

// Guards against a stream that ends at its time limit because the connection on which it goes on is dead before its
// first event, while the endpoint serves the next one.
func TestStreamWhoseNextConnectionIsDeadIsWhole(t *testing.T) {
	for _, head := range []string{"", silentHead} {
		f := newKindFixture(t, jkruleset.KindStream, true, 1)
		e := newAcceptingEndpoint(t, func(n int64, c net.Conn, _ string) {
			switch n {
			case 1:
				_, _ = io.WriteString(c, silentHead+silentOne)
				time.Sleep(5 * time.Second)
			case 2:
				_, _ = io.WriteString(c, head)
				time.Sleep(5 * time.Second)
			default:
				_, _ = io.WriteString(c, silentHead+silentTwo)
			}
		})
		f.add("e", "a", e.listener.Addr().String())
		began := time.Now()
		if status, body := f.read(t); status != 200 || body != silentOne+silentTwo {
			t.Errorf("head %q: status %d, body %q, %d requests, after %s", head, status, body, e.requests.Load(), time.Since(began).Round(time.Millisecond))
		}
	}
}

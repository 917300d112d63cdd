package jkintake

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jktimer"
)

// Guards against an answer that waits without end for a caller that doesn't read it, and against the end of one
// whose caller reads slowly.
func TestUnreadAnswersEnd(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b, ended, part := NewConns(timer), make(chan struct{}, 2), make([]byte, 64<<20)
	server := &http.Server{ConnState: b.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for err := error(nil); err == nil; {
			_, err = w.Write(part)
		}
		ended <- struct{}{}
	})}
	go func() { _ = server.Serve(b.Listen(inner, Limits{}, metrics.NewSet())) }()
	defer func() { _ = server.Close() }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		return c
	}
	unread, slow := dial(), dial()
	// Where processors are busy the answer may begin later than that of the slow caller, so that checks count from its last
	// progress only.
	checks, taken := 0, uint64(0)
	await(t, "end of the unread answer", func() bool {
		if _, err := io.CopyN(io.Discard, slow, 1<<20); err != nil {
			t.Fatalf("the slow caller got %v", err)
		}
		time.Sleep(20 * time.Millisecond)
		if n, waits := b.progress(unread); waits && n == taken {
			checks++
		} else {
			checks, taken = 0, n
		}
		clock.Advance(checkInterval)
		if b.unreadClosed.Get() == 0 && checks > maxChecks+1 {
			t.Fatalf("open after %d checks without progress", checks)
		}
		return b.unreadClosed.Get() > 0
	})
	if checks < maxChecks {
		t.Errorf("closed after %d checks without progress", checks)
	}
	await(t, "end of the write", func() bool { return len(ended) == 1 })
	await(t, "one open connection", func() bool { return b.Count() == 1 })
	if n := b.unreadClosed.Get(); n != 1 {
		t.Errorf("%d connections were closed, want one", n)
	}
	if _, err := io.CopyN(io.Discard, slow, 34<<20); err != nil {
		t.Errorf("the slow caller got %v", err)
	}
}

// progress returns the number of bytes that a caller's machine has taken, and whether an answer waits for the caller.
func (b *Conns) progress(caller net.Conn) (taken uint64, waits bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		if tcp, ok := c.(*callerTCPConn); ok && c.RemoteAddr().String() == caller.LocalAddr().String() {
			taken, _ = acknowledged(tcp)
			return taken, tcp.writes.Load() > 0
		}
	}
	return 0, false
}

package jkforward

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// Guards against a stream that ends at its time limit because the connection on which it would go on is dead when the
// endpoint is asked for its start, so that no request is lost by another connection.
func TestStreamWhoseNextConnectionIsDeadBeforeItIsSentIsWhole(t *testing.T) {
	f := newDialectFixture(t, startDialect(), jkruleset.KindStream, true, 1)
	var reports atomic.Int64
	e := newStartEndpoint(t, 1, func(net.Conn) {
		if reports.Add(1) == 2 {
			time.Sleep(5 * time.Second)
		}
	}, func(c net.Conn, last string) {
		if last == "" {
			_, _ = io.WriteString(c, silentHead+silentOne)
			time.Sleep(5 * time.Second)
			return
		}
		wholeStream(c, last)
	})
	f.add("e", "a", e.listener.Addr().String())
	began := time.Now()
	if status, body := f.read(t); status != http.StatusOK || body != silentOne+silentTwo {
		t.Errorf("status %d, body %q, %d streams at the endpoint, after %s", status, body, e.streams.Load(), time.Since(began).Round(time.Millisecond))
	}
}

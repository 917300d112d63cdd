package jkforward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// Guards against a refusal that comes only at the time limit: no endpoint got the request, since the first one said nothing
// when it was asked for its start and the others are full. Its caller may find another entry.
func TestRequestThatNoEndpointGotIsRefusedSoon(t *testing.T) {
	f := newDialectFixture(t, startDialect(), jkruleset.KindStream, true, 2)
	near := newStartEndpoint(t, 1, func(net.Conn) { time.Sleep(8 * time.Second) }, wholeStream)
	f.add("near", "a", near.listener.Addr().String())
	full := newStartEndpoint(t, 1, func(net.Conn) {}, func(c net.Conn, _ string) { _, _ = io.WriteString(c, silentNotRun) })
	f.add("far", "b", full.listener.Addr().String())
	began := time.Now()
	status, _ := f.read(t)
	if took := time.Since(began); status != http.StatusServiceUnavailable || took > 2*time.Second {
		t.Errorf("status %d after %s, %d requests at the full endpoint, want 503 soon", status, took.Round(time.Millisecond), full.streams.Load())
	}
}

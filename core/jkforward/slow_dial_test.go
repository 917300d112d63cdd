package jkforward

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jkupstream"
)

// Guards against a call that is broken off while its endpoint is at work, because its connection took long, as one
// through a relay may, and counts as a part of the silence.
func TestTimeToConnectIsNoSilence(t *testing.T) {
	near := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) {
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(c, silentHead+silentOne+silentTwo)
	})
	far := newAcceptingEndpoint(t, func(_ int64, c net.Conn, _ string) { _, _ = io.WriteString(c, silentHead+silentOne+silentTwo) })
	connections := jkupstream.DefaultOptions()
	connections.Dial = func(ctx context.Context, addr string) (net.Conn, bool, error) {
		if addr == near.listener.Addr().String() {
			time.Sleep(250 * time.Millisecond)
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		return conn, true, err
	}
	f := newSingleFixtureOn(t, listenTCP(t), connections, testDialect(), jkruleset.KindIdempotent, false, 2)
	f.add("near", "a", near.listener.Addr().String())
	f.add("far", "b", far.listener.Addr().String())
	wantWholeStream(t, f)
	if near.requests.Load() != 1 || far.requests.Load() != 0 {
		t.Errorf("%d runs at the first endpoint and %d at the other, want one, which takes 0.2 s", near.requests.Load(), far.requests.Load())
	}
}

package jkaccount

import (
	"net"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkwire"
)

// listen serves the messages that other hosts pass on through a client.
func (f *fixture) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: l.Addr().String(), Version: jkwire.ProtocolVersion}, Handle: f.client.Handle,
		Control: func(string) bool { return false }, Counters: &jkwire.Counters{},
	})
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// Guards against refusals at a host that is cut off from the copies, since it asks
// hosts to pass its messages on that are cut off as well, though another one did so
// before (503 for 1,009 turns in 12 s on scale-2 of miza-orders-grown).
func TestMessagesGoThroughTheHostThatPassedThemOn(t *testing.T) {
	f, relay, cut := newFixture(t), newFixture(t), newFixture(t)
	relay.copies = f.copies
	for _, zone := range []string{"a", "b", "c"} {
		f.cut[zone], cut.cut[zone] = true, true
	}
	good := relay.listen(t)
	addrs := []string{good}
	for range maxRelays {
		addrs = append(addrs, cut.listen(t))
	}
	turns := []string{"1", "2", "3"}
	for i, request := range turns {
		f.client.Relays = func() []string { return append(append([]string{}, addrs[i:]...), addrs[:i]...) }
		err := f.client.Reserve(t.Context(), jkforward.Reservation{
			Program: "p", Request: request, Tokens: 1, Budget: 10, Retention: time.Minute,
		})
		if err != nil {
			t.Errorf("turn %s isn't admitted: %v", request, err)
		}
	}
}

package jkrelay

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"jasmineknot.example/core/jkupstream"
)

// Guards against the only relay that reaches some endpoints and is never asked in time: it is asked behind those that
// don't reach them, with hardly any time left, and counts as one that doesn't answer.
func TestRelayThatHadHardlyAnyTimeIsNotAvoided(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	a, lost := f.entries["a"].dialer, []string{f.endpoints["e0"], f.endpoints["e1"]}
	a.Relays = func(string) []Host {
		var out []Host
		for _, name := range []string{"b", "c", "d"} {
			out = append(out, Host{Name: name, Addr: f.entries[name].addr})
		}
		return out
	}
	for host, e := range f.entries {
		dial := e.dialer.dial
		e.dialer.dial = func(ctx context.Context, addr string) (net.Conn, error) {
			switch {
			case addr != lost[0] && addr != lost[1]:
			case host == "d":
				// It is in a distant zone.
				time.Sleep(60 * time.Millisecond)
			default:
				<-ctx.Done()
				return nil, os.ErrDeadlineExceeded
			}
			return dial(ctx, addr)
		}
	}
	// Both are asked for in turn, each once the relays may be asked again.
	tries := 0
	reached := map[string]bool{}
	for end := time.Now().Add(6 * retryAfter); len(reached) < len(lost) && time.Now().Before(end); tries++ {
		ctx, cancel := context.WithTimeout(t.Context(), jkupstream.DefaultOptions().DialTimeout)
		addr := lost[tries%len(lost)]
		if a.Reach(ctx, addr) == nil {
			reached[addr] = true
		}
		cancel()
		time.Sleep(350 * time.Millisecond)
	}
	if len(reached) < len(lost) {
		t.Errorf("%d of %d endpoints reached in %d tries, though d reaches them", len(reached), len(lost), tries)
	}
}

// Guards against an entry that doesn't return to its own way, because each request tries it with the little time that late
// relays leave, and the checks wait for a second without such a try.
func TestTriesWithoutTimeDontHoldUpTheReturn(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	a, addr := f.entries["a"], f.endpoints["e0"]
	a.cutFrom(cutHang, addr)
	if err := a.dialer.Reach(t.Context(), addr); err != nil {
		t.Fatal(err)
	}
	time.Sleep(retryAfter / 2)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	for _, host := range []string{"b", "c"} {
		f.entries[host].addr = silent.Addr().String()
	}
	a.cutFrom(cutSlow, addr)
	await(t, "reached", 4*retryAfter, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), jkupstream.DefaultOptions().DialTimeout)
		defer cancel()
		return a.dialer.Reach(ctx, addr) == nil
	})
}

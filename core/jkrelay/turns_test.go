package jkrelay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against an endpoint that stays out of reach, or counts as ended, since the only relay of many that reaches it
// missed it once and comes after all others then; and against one that no relay but the last of many reaches.
func TestOnlyRelayOfManyIsAskedAgainAfterAMiss(t *testing.T) {
	for _, mode := range []cutMode{cutHang, cutRefuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			hosts := []string{"a"}
			for i := range 14 {
				hosts = append(hosts, fmt.Sprintf("b%02d", i))
			}
			f := newFixture(t, hosts...)
			addr, only := f.endpoints["e0"], f.entries["b13"]
			for i, host := range hosts {
				f.entries[host].zone = []string{"x", "y"}[i%2]
				if host != "b13" {
					f.entries[host].cutFrom(mode, addr)
				}
			}
			f.sortRelays("a")
			reach := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				return f.entries["a"].dialer.Reach(ctx, addr)
			}
			await(t, "reached through b13", 20*retryAfter, func() bool { return reach() == nil })
			only.cutFrom(cutHang, addr)
			if reach() == nil {
				t.Fatal("reached without a way")
			}
			time.Sleep(retryAfter + 100*time.Millisecond)
			only.cut(cutNone)
			if err := reach(); err != nil {
				t.Errorf("not reached by the next connection, ended: %t: %v", errors.Is(err, syscall.ECONNREFUSED), err)
			}
		})
	}
}

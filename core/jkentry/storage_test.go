package jkentry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// changes is a platform whose store's changes a test sends by hand.
func changes(byKey map[string]Change) Platform {
	return Platform{
		Source: jkfollow.Source{
			List: func(context.Context, string) (jkfollow.Page, error) { return jkfollow.Page{}, nil },
			Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (jkfollow.Page, error) {
				<-ctx.Done()
				return jkfollow.Page{}, ctx.Err()
			},
		},
		Decode:  func(item jkfollow.Item) (Change, error) { return byKey[item.Key], nil },
		PutHost: func(context.Context, HostEntry) error { return nil },
		SwapHost: func(context.Context, string, *HostEntry, int64) error {
			return errors.New("storage hosts judge nobody")
		},
	}
}

// startStorage runs a storage host on a free port.
func startStorage(t *testing.T, host string, p Platform) *Storage {
	t.Helper()
	s, err := NewStorage(Settings{Host: host, Zone: host, Inner: freeAddr(t), Folder: t.TempDir(), First: true}, p, jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); s.Run(stop) }()
	t.Cleanup(func() { close(stop); <-done })
	return s
}

// keepOn keeps a turn on one storage host only.
func keepOn(t *testing.T, s *Storage, turn jkforward.Turn) {
	t.Helper()
	pool := jkwire.NewPool(jkwire.PoolOptions{Self: jkwire.Hello{Host: "e", Version: jkwire.ProtocolVersion}, Control: isControl, Counters: &jkwire.Counters{}})
	t.Cleanup(pool.Close)
	yes := func(string) bool { return true }
	client := jkaccount.NewClient(jkaccount.Options{
		Metrics: jkaccount.NewMetrics(metrics.NewSet()), Silent: func(string) time.Duration { return 0 },
		Timer: jktimer.New(), Log: jklog.Discard(), Pool: pool, Zone: s.settings.Zone, Zones: 1,
		MembersSettled: func() bool { return true },
		Copies: func() []jkaccount.Copy {
			return []jkaccount.Copy{{Host: s.settings.Host, Addr: s.settings.Inner, Zone: s.settings.Zone}}
		},
		Reachable: yes, Lost: func(string) bool { return false }, ZoneReachable: yes, ZoneSettled: yes,
		Relays: func() []string { return nil },
	})
	if err := client.Keep(context.Background(), turn); err != nil {
		t.Fatal(err)
	}
}

// eventually waits for less time than catchAgain, after which a started host copies
// from all others anyway.
func eventually(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !isDone(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 3s", what)
		}
	}
}

// Guards against turns that stay on one disk: their host served on while its entry was
// removed, and nobody knew how long it had been away when it was back.
func TestReturnedHostIsCopiedInFull(t *testing.T) {
	entries := map[string]Change{}
	away := startStorage(t, "b", changes(entries))
	here := startStorage(t, "a", changes(entries))
	select {
	case <-here.listed:
	case <-time.After(5 * time.Second):
		t.Fatal("store not listed")
	}
	entries["b"] = Change{Host: &HostEntry{Host: "b", Zone: "b", Addr: away.settings.Inner, Ledger: true}}
	entries["gone"] = Change{HostName: "b"}
	ctx := context.Background()
	here.apply(ctx, jkfollow.Item{Key: "b", Revision: 1})
	eventually(t, "first copy", func() bool { here.mu.Lock(); defer here.mu.Unlock(); return len(here.uncopied) == 0 })
	here.apply(ctx, jkfollow.Item{Key: "gone", Revision: 2})
	if got := here.others(); len(got) != 0 {
		t.Fatalf("others are %v after the removal", got)
	}
	keepOn(t, away, jkforward.Turn{Request: "1", Program: "p", Input: []byte("one"), Retention: time.Minute})
	if _, turns, _ := here.vault.Size(); turns != 0 {
		t.Fatalf("%d turns before the host is back", turns)
	}
	here.apply(ctx, jkfollow.Item{Key: "b", Revision: 3})
	eventually(t, "turn of the returned host", func() bool { _, turns, _ := here.vault.Size(); return turns == 1 })
}

package jkfollow

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkpipe"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// serveState runs a host that follows the store and serves its state to others.
func serveState(t *testing.T, l net.Listener, store Source) (addr string) {
	t.Helper()
	r := NewWatchRelay(WatchRelayOptions{Timer: jktimer.New(), Log: jklog.Discard(), Source: store, Peers: func() []Peer { return nil }})
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: "seed", Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true },
		// The host that asks gets the error as its answer.
		Handle: func(_ context.Context, in *jkwire.ServerStream) { _ = r.HandleState(in) },
	})
	t.Cleanup(server.Close)
	run(t, r.ThroughPeers())
	return l.Addr().String()
}

// startWithSeeds follows a store on a host that has just started and knows only the seeds. A
// nil dial function means TCP.
func startWithSeeds(t *testing.T, dial func(context.Context, string) (net.Conn, error), store Source, seeds ...string) <-chan Item {
	t.Helper()
	pool := jkwire.NewPool(jkwire.PoolOptions{
		Self: jkwire.Hello{Host: "started", Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{}, IsControl: func(string) bool { return true },
		Dial: dial,
	})
	t.Cleanup(pool.Close)
	r := NewWatchRelay(WatchRelayOptions{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: "started", Source: store, Pool: pool,
		Peers: func() []Peer { return nil }, Seeds: func() []string { return seeds },
	})
	return run(t, r.ThroughPeers())
}

// silentStore answers nothing until it is released, then what the source does.
func silentStore(released *atomic.Bool, s Source) Source {
	wait := func(ctx context.Context) error {
		for !released.Load() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
		// Both may be ready, and a caller that has left must get no answer.
		return ctx.Err()
	}
	return Source{
		List: func(ctx context.Context, prefix string) (Page, error) {
			if err := wait(ctx); err != nil {
				return Page{}, err
			}
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix string, after int64, d time.Duration) (Page, error) {
			if err := wait(ctx); err != nil {
				return Page{}, err
			}
			return s.Watch(ctx, prefix, after, d)
		},
	}
}

// listedStore lists the items and never changes.
func listedStore(items ...Item) Source {
	revision := int64(0)
	for _, item := range items {
		revision = max(revision, item.Revision)
	}
	return Source{
		List: func(context.Context, string) (Page, error) { return Page{Items: items, Revision: revision}, nil },
		Watch: func(ctx context.Context, _ string, _ int64, wait time.Duration) (Page, error) {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			return Page{Revision: revision}, ctx.Err()
		},
	}
}

// Guards against a host that starts while it is cut off from the store and has no rules until
// the cut ends, although its neighbours have them, and against rules that it keeps after that.
func TestStartedHostTakesTheStateOfItsSeeds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		large := make([]byte, 300<<10)
		network := jkpipe.NewNetwork()
		seed := serveState(t, network.Listen("seed"), listedStore(Item{Key: "op/config", Revision: 4, Value: large}, Item{Key: "servers/a", Revision: 5, Value: large}, Item{Key: "servers/b", Revision: 6, Value: large}))
		var released atomic.Bool
		store := Source{}
		// The configuration has changed and an endpoint has left since the seed lost the store.
		store.List = func(context.Context, string) (Page, error) { t.Error("listed again"); return Page{}, nil }
		store.Watch = func(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
			if after < 8 {
				return Page{Items: []Item{{Key: "op/config", Revision: 7}, {Key: "servers/a", Revision: 8, Deleted: true}}, Revision: 8}, nil
			}
			return listedStore().Watch(ctx, "", after, wait)
		}
		items := startWithSeeds(t, network.Dial, silentStore(&released, store), "none", seed)
		var keys []string
		for range 3 {
			keys = append(keys, next(t, items, seedDelay+2*seedTimeout).Key)
		}
		slices.Sort(keys)
		if want := []string{"op/config", "servers/a", "servers/b"}; !slices.Equal(keys, want) {
			t.Fatalf("keys of the seed's state: %v, want %v", keys, want)
		}
		released.Store(true)
		if got := next(t, items, 4*time.Second); got.Key != "op/config" || got.Revision != 7 {
			t.Errorf("first change of the store: %s at %d", got.Key, got.Revision)
		}
		if got := next(t, items, time.Second); got.Key != "servers/a" || !got.Deleted {
			t.Errorf("second change of the store: %s, deleted %t", got.Key, got.Deleted)
		}
	})
}

// Guards against the state of a seed in place of the store's, and against seeds that delay a
// start: one that hangs, one that knows nothing and one that is older than the other.
func TestSeedsDelayNoStart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		network := jkpipe.NewNetwork()
		old := serveState(t, network.Listen("old"), listedStore(Item{Key: "op/config", Revision: 1}))
		newer := serveState(t, network.Listen("newer"), listedStore(Item{Key: "op/config", Revision: 2}))
		var never atomic.Bool
		empty := serveState(t, network.Listen("empty"), silentStore(&never, Source{}))
		hung, _ := hungPeer(t, network.Listen("hung"), "hung")
		seeds := []string{empty, old, hung.Addr, newer}
		// Seeds that have not listed the store yet know nothing.
		synctest.Wait()
		began := time.Now()
		items := startWithSeeds(t, network.Dial, listedStore(Item{Key: "op/config", Revision: 9}), seeds...)
		if got := next(t, items, time.Second); got.Revision != 9 || time.Since(began) > seedDelay {
			t.Errorf("revision %d after %s, want that of the store at once", got.Revision, time.Since(began))
		}
		down := Source{
			List: func(context.Context, string) (Page, error) { return Page{}, fmt.Errorf("store is down") },
			Watch: func(context.Context, string, int64, time.Duration) (Page, error) {
				return Page{}, fmt.Errorf("store is down")
			},
		}
		if got := next(t, startWithSeeds(t, network.Dial, down, seeds...), seedDelay+2*seedTimeout); got.Revision != 2 {
			t.Errorf("revision %d, want that of the seed that knows most", got.Revision)
		}
	})
}

// Guards against changes that a follower never hears of: the host that it follows has lost the store's
// history and listed what an older host knows, and takes what it knew before for a part of the list.
func TestFollowerOfAHostThatListedAnOlderStateMissesNoChange(t *testing.T) {
	r := NewWatchRelay(WatchRelayOptions{Timer: jktimer.New(), Log: jklog.Discard()})
	r.relist(Page{Revision: 50, Via: ViaStore}, time.Now())
	r.record(Page{Items: []Item{{Key: "servers/new", Revision: 100}}, Revision: 100, Via: ViaStore}, time.Now())
	r.relist(Page{Revision: 90, Via: "older"}, time.Now())
	answer, complete, _ := r.changesSince(95)
	if complete && len(answer.Items) == 0 {
		t.Errorf("a follower at revision 95 is told that there is nothing up to %d, want the change at 100 or a lost history", answer.Revision)
	}
}

// Guards against removed keys that come back: the host has lost the store's history and takes the state of
// one that has not yet heard of the removal, and follows peers from there on, which don't name it again.
func TestListOfAnOlderStateBringsBackNoRemovedKey(t *testing.T) {
	const known, removed = "servers/known", "servers/removed"
	older := Page{Items: []Item{{Key: known, Revision: 3}, {Key: removed, Revision: 4}}, Revision: 5, Via: "older"}
	change := Page{Items: []Item{{Key: removed, Revision: 6, Deleted: true}}, Revision: 6, Via: "peer"}
	present := map[string]bool{}
	f := New(Options{Timer: jktimer.New(), Log: jklog.Discard(), Apply: func(i Item) { present[i.Key] = !i.Deleted }})
	f.Source.List = func(context.Context, string) (Page, error) { return older, nil }
	f.Source.Watch = func(context.Context, string, int64, time.Duration) (Page, error) { return change, nil }
	r := NewWatchRelay(WatchRelayOptions{Timer: jktimer.New(), Log: jklog.Discard()})
	for range 2 {
		if _, err := f.list(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.relist(older, time.Now())
		if f.revision == change.Revision {
			break
		}
		if err := f.watch(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.record(change, time.Now())
	}
	if !present[known] || present[removed] {
		t.Errorf("known %t, removed %t after the older list, want the first one only", present[known], present[removed])
	}
	if _, ok := r.items[removed]; ok || len(r.items) != 1 {
		t.Errorf("the state for other hosts has %d keys, the removed one %t", len(r.items), ok)
	}
}

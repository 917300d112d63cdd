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

// storeStub is a store with one key, whose changes come from the test.
type storeStub struct {
	calls   atomic.Int64
	changes chan Item
	down    atomic.Bool
}

func (s *storeStub) source() Source {
	return Source{
		List: func(context.Context, string) (Page, error) {
			s.calls.Add(1)
			return Page{Items: []Item{{Key: "op/config", Revision: 1}}, Revision: 1}, nil
		},
		Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
			s.calls.Add(1)
			if s.down.Load() {
				<-ctx.Done()
				return Page{}, ctx.Err()
			}
			select {
			case i := <-s.changes:
				return Page{Items: []Item{i}, Revision: i.Revision}, nil
			case <-time.After(wait):
				return Page{Revision: after}, nil
			case <-ctx.Done():
				return Page{}, ctx.Err()
			}
		},
	}
}

// listenTCP returns a listener on a free loopback port.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// watcher starts a host that watches the store and answers followers. It returns once the
// host has listed the store, since it answers none of them before that.
func watcher(t *testing.T, store *storeStub) (*WatchRelay, Peer) {
	t.Helper()
	return watcherOn(t, listenTCP(t), "watcher", store)
}

func watcherOn(t *testing.T, l net.Listener, name string, store *storeStub) (*WatchRelay, Peer) {
	t.Helper()
	peer := Peer{Host: name, Addr: l.Addr().String()}
	r := NewWatchRelay(WatchRelayOptions{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: peer.Host, Source: store.source(),
		Peers: func() []Peer { return []Peer{peer} },
	})
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: peer.Host, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true },
		Handle: func(ctx context.Context, in *jkwire.ServerStream) {
			// At the end of the test connections close while answers are written.
			if err := r.Handle(ctx, in); err != nil && ctx.Err() == nil && t.Context().Err() == nil {
				t.Errorf("follower not answered: %v", err)
			}
		},
	})
	t.Cleanup(server.Close)
	run(t, r.ThroughPeers())
	waitFor(t, func() bool { _, complete, _ := r.changesSince(1); return complete })
	return r, peer
}

func follower(t *testing.T, store *storeStub, peers ...Peer) <-chan Item {
	t.Helper()
	return followerOver(t, nil, store, peers...)
}

// followerOver starts a host that reaches its peers by a dial function; nil means TCP.
func followerOver(t *testing.T, dial func(context.Context, string) (net.Conn, error), store *storeStub, peers ...Peer) <-chan Item {
	t.Helper()
	pool := jkwire.NewPool(jkwire.PoolOptions{
		Self: jkwire.Hello{Host: "f", Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{}, IsControl: func(string) bool { return true },
		Dial: dial,
	})
	t.Cleanup(pool.Close)
	return run(t, NewWatchRelay(WatchRelayOptions{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: "f", Source: store.source(), Pool: pool,
		Peers: func() []Peer { return slices.Clone(peers) },
	}).ThroughPeers())
}

// Guards against calls to the store that grow with the number of hosts.
func TestFollowerWatchesThroughPeer(t *testing.T) {
	store := &storeStub{changes: make(chan Item, 1)}
	_, peer := watcher(t, store)
	own := &storeStub{}
	items := follower(t, own, peer)
	next(t, items, time.Second)
	store.changes <- Item{Key: "op/config", Revision: 2}
	if got := next(t, items, applyBound); got.Revision != 2 {
		t.Errorf("revision %d, want 2", got.Revision)
	}
	if n := own.calls.Load(); n != 1 {
		t.Errorf("%d calls to the store, want the list only", n)
	}
}

// Guards against a configuration that is in force too late on a host because its peer
// has lost the store.
func TestFollowerLeavesPeerThatLostTheStore(t *testing.T) {
	store := &storeStub{changes: make(chan Item, 1)}
	_, peer := watcher(t, store)
	own := &storeStub{changes: make(chan Item, 1)}
	items := follower(t, own, peer)
	next(t, items, time.Second)
	store.down.Store(true)
	own.changes <- Item{Key: "op/config", Revision: 2}
	if got := next(t, items, 2*applyBound); got.Revision != 2 {
		t.Errorf("revision %d, want 2", got.Revision)
	}
}

// Guards against all hosts calling the store because the host that they follow lost
// access to it. In the enlarged scenario bulles-pull 102 hosts watched the store for
// 4 s each.
func TestFollowerTriesOtherPeerBeforeStore(t *testing.T) {
	// What the host knows ages only while all hosts wait.
	synctest.Test(t, func(t *testing.T) {
		stores := []*storeStub{{changes: make(chan Item, 1)}, {changes: make(chan Item, 1)}}
		network := jkpipe.NewNetwork()
		_, one := watcherOn(t, network.Listen("one"), "one", stores[0])
		_, two := watcherOn(t, network.Listen("two"), "two", stores[1])
		own := &storeStub{}
		items := followerOver(t, network.Dial, own, one, two)
		next(t, items, time.Second)
		for i, store := range stores {
			store.down.Store(true)
			other := stores[1-i]
			time.Sleep(2 * (watchWait + watchSlack))
			revision := int64(2 + i)
			other.changes <- Item{Key: "op/config", Revision: revision}
			if got := next(t, items, applyBound); got.Revision != revision {
				t.Errorf("revision %d, want %d", got.Revision, revision)
			}
			store.down.Store(false)
			time.Sleep(2 * (watchWait + watchSlack))
		}
		if n := own.calls.Load(); n != 1 {
			t.Errorf("%d calls to the store, want the list only", n)
		}
	})
}

// Guards against a call to the store for each change of a burst. In the enlarged
// scenario bulles-pull 90 hosts all watched until they knew each other, while 90 entries
// were written.
func TestBurstOfChangesTakesFewCalls(t *testing.T) {
	const changes, every = 100, 10 * time.Millisecond
	began := time.Now()
	var calls atomic.Int64
	written := func() int64 { return min(int64(time.Since(began)/every)+1, changes) }
	source := Source{
		List: func(context.Context, string) (Page, error) { return Page{}, nil },
		Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
			calls.Add(1)
			for written() <= after {
				select {
				case <-time.After(every):
				case <-ctx.Done():
					return Page{}, ctx.Err()
				}
			}
			page := Page{Revision: written()}
			for i := after + 1; i <= page.Revision; i++ {
				page.Items = append(page.Items, Item{Key: fmt.Sprint("host/", i), Revision: i})
			}
			return page, nil
		},
	}
	items := run(t, NewWatchRelay(WatchRelayOptions{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: "h", Source: source, Peers: func() []Peer { return nil },
	}).ThroughPeers())
	for range changes {
		next(t, items, applyBound)
	}
	if n := calls.Load(); n > 10 {
		t.Errorf("%d calls for %d changes in a second, want at most 10", n, changes)
	}
}

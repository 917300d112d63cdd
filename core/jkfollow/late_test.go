package jkfollow

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// hungPeer starts a host that accepts calls and answers none of them, and returns a
// channel of its calls.
func hungPeer(t *testing.T, l net.Listener, name string) (Peer, <-chan struct{}) {
	t.Helper()
	calls := make(chan struct{}, 64)
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: name, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true },
		Handle: func(ctx context.Context, _ *jkwire.ServerStream) {
			calls <- struct{}{}
			<-ctx.Done()
		},
	})
	t.Cleanup(server.Close)
	return Peer{Host: name, Addr: l.Addr().String()}, calls
}

func receive(t *testing.T, calls <-chan struct{}, within time.Duration) {
	t.Helper()
	select {
	case <-calls:
	case <-time.After(within):
		t.Fatalf("no call within %s", within)
	}
}

// Guards against rules that are in force too late on a host that reaches the store while
// both peers that it follows accept its calls and never answer.
func TestHungPeersDelayNoChange(t *testing.T) {
	t.Parallel()
	one, callsOfOne := hungPeer(t, listenTCP(t), "one")
	two, callsOfTwo := hungPeer(t, listenTCP(t), "two")
	own := &storeStub{changes: make(chan Item, 1)}
	items := follower(t, own, one, two)
	next(t, items, time.Second)
	// Both peers have failed once, and one of them is tried again.
	receive(t, callsOfOne, 10*time.Second)
	receive(t, callsOfTwo, 10*time.Second)
	select {
	case <-callsOfOne:
	case <-callsOfTwo:
	case <-time.After(20 * time.Second):
		t.Fatal("no peer is tried again")
	}
	own.changes <- Item{Key: "op/config", Revision: 2}
	if got := next(t, items, applyBound); got.Revision != 2 {
		t.Errorf("revision %d, want 2", got.Revision)
	}
}

// Guards against rules that are in force too late on a host whose peer answers that
// nothing has changed, while that peer itself has lost its peers and the store.
func TestPeerWithoutNewsOfTheStoreDelaysNoChange(t *testing.T) {
	t.Parallel()
	hung, calls := hungPeer(t, listenTCP(t), "hung")
	other, _ := hungPeer(t, listenTCP(t), "other")
	lost := &storeStub{changes: make(chan Item, 1)}
	lost.down.Store(true)
	relay, peer := relayBehind(t, "relay", lost, hung, other)
	own := &storeStub{changes: make(chan Item, 1)}
	items := follower(t, own, peer)
	next(t, items, time.Second)
	receive(t, calls, 5*time.Second)
	if _, complete, _ := relay.changesSince(1); !complete {
		t.Fatal("the relay has noticed already that it lost the store")
	}
	own.changes <- Item{Key: "op/config", Revision: 2}
	if got := next(t, items, applyBound); got.Revision != 2 {
		t.Errorf("revision %d, want 2", got.Revision)
	}
}

// relayBehind starts a host that watches the store through peers and answers followers.
func relayBehind(t *testing.T, name string, store *storeStub, peers ...Peer) (*WatchRelay, Peer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := jkwire.NewPool(jkwire.PoolOptions{
		Self: jkwire.Hello{Host: name, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{}, IsControl: func(string) bool { return true },
	})
	t.Cleanup(pool.Close)
	r := NewWatchRelay(WatchRelayOptions{
		Timer: jktimer.New(), Log: jklog.Discard(), Host: name, Source: store.source(), Pool: pool,
		Peers: func() []Peer { return append([]Peer(nil), peers...) },
	})
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: name, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true },
		// A follower gets the error as its answer.
		Handle: func(ctx context.Context, in *jkwire.ServerStream) { _ = r.Handle(ctx, in) },
	})
	t.Cleanup(server.Close)
	run(t, r.ThroughPeers())
	return r, Peer{Host: name, Addr: l.Addr().String()}
}

// Guards against rules that stay out of force after a partition, while calls to the store
// that began during it hang and the pause after them has grown.
func TestHostRereadsStoreAsSoonAsPeersAnswer(t *testing.T) {
	t.Parallel()
	var healed atomic.Bool
	var watches atomic.Int64
	items := make(chan Item, 16)
	f := New(Options{
		Timer: jktimer.New(), Log: jklog.Discard(), OnReachable: func(bool) {},
		Apply: func(i Item) { items <- i },
		Source: Source{
			List: func(context.Context, string) (Page, error) {
				return Page{Items: []Item{{Key: "op/config", Revision: 1}}, Revision: 1}, nil
			},
			Watch: func(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
				watches.Add(1)
				if healed.Load() {
					return Page{Items: []Item{{Key: "op/config", Revision: 2}}, Revision: 2}, nil
				}
				<-ctx.Done()
				return Page{}, ctx.Err()
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	next(t, items, time.Second)
	waitFor(t, func() bool { return watches.Load() == 5 })
	time.Sleep(minRetryAge)
	healed.Store(true)
	f.Retry()
	if got := next(t, items, applyBound/2); got.Revision != 2 {
		t.Errorf("revision %d, want 2", got.Revision)
	}
}

func waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state isn't reached")
		}
	}
}

// Guards against knowledge that looks newer than it is, after a store that answered an empty
// watch before the end of its wait.
func TestEarlyEmptyAnswerProvesNothingAboutLater(t *testing.T) {
	timer, _ := jktimer.NewManual(time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC))
	r := NewWatchRelay(WatchRelayOptions{
		Timer: timer, Log: jklog.Discard(), Host: "h", Peers: func() []Peer { return nil },
		Source: Source{Watch: func(context.Context, string, int64, time.Duration) (Page, error) { return Page{}, nil }},
	})
	if _, err := r.watch(t.Context(), "", 0, watchWait); err != nil {
		t.Fatal(err)
	}
	if age := r.age(); age < 0 {
		t.Errorf("what is known of the store is %s old", age)
	}
}

// Guards against sound peers that aren't followed for a while because this host itself
// cancelled its call to them.
func TestCancelledWatchAvoidsNoPeer(t *testing.T) {
	t.Parallel()
	hung, calls := hungPeer(t, listenTCP(t), "hung")
	own := &storeStub{}
	relay, _ := relayBehind(t, "relay", own, hung)
	receive(t, calls, 5*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := relay.watch(ctx, "", 0, watchWait); err == nil {
		t.Error("a cancelled watch succeeded")
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if !relay.avoidUntil["hung"].IsZero() {
		t.Error("the peer isn't followed")
	}
}

package jkentry

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkprobe"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// scriptedPlatform returns a platform that decodes store items by their keys. Its store is
// empty and reports no changes, so that a test applies them itself.
func scriptedPlatform(byKey map[string]Change) Platform {
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
			return errors.New("storage hosts change no other host's entry")
		},
	}
}

// startStorage runs a storage host on a free port.
func startStorage(t *testing.T, host string, p Platform) *Storage {
	t.Helper()
	s, err := NewStorage(Settings{Host: host, Zone: host, Folder: memoryFolder(t), First: true}.listening(t), p, jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); s.Run(stop) }()
	t.Cleanup(func() { close(stop); <-done })
	return s
}

// keepTurnOn writes a turn to one storage host only.
func keepTurnOn(t *testing.T, s *Storage, turn jkforward.Turn) {
	t.Helper()
	pool := jkwire.NewPool(jkwire.PoolOptions{Self: jkwire.Hello{Host: "e", Version: jkwire.ProtocolVersion}, IsControl: isControl, Counters: &jkwire.Counters{}})
	t.Cleanup(pool.Close)
	yes := func(string) bool { return true }
	client := jkaccount.NewClient(jkaccount.Options{
		Metrics: jkaccount.NewMetrics(metrics.NewSet()), UnreachableFor: func(string) time.Duration { return 0 },
		Timer: jktimer.New(), Log: jklog.Discard(), Pool: pool, Zone: s.settings.Zone, ZoneCount: 1,
		MembersSettled: func() bool { return true },
		Copies: func() []jkaccount.Copy {
			return []jkaccount.Copy{{Host: s.settings.Host, Addr: s.settings.Inner, Zone: s.settings.Zone}}
		},
		Reachable: yes, Paused: func() bool { return false }, Lost: func(string) bool { return false }, ZoneReachable: yes, ZoneSettled: yes,
		RelayAddrs: func() []string { return nil },
	})
	if err := client.Keep(context.Background(), turn); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition holds. It gives up before secondCatchUpDelay, after
// which a started host copies from all others anyway.
func eventually(t *testing.T, what string, isDone func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !isDone(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 3s", what)
		}
	}
}

// Guards against turns that stay on one disk only: a storage host goes on to record turns
// while its entry is missing from the store, and when the entry is back, no other copy knows
// for how long.
func TestReturnedHostIsCopiedInFull(t *testing.T) {
	entries := map[string]Change{}
	returning := startStorage(t, "b", scriptedPlatform(entries))
	observer := startStorage(t, "a", scriptedPlatform(entries))
	select {
	case <-observer.hostsListed:
	case <-time.After(5 * time.Second):
		t.Fatal("store not listed")
	}
	entries["b"] = Change{Host: &HostEntry{Host: "b", Zone: "b", Addr: returning.settings.Inner, Ledger: true}}
	entries["gone"] = Change{RemovedHost: "b"}
	ctx := context.Background()
	observer.apply(ctx, jkfollow.Item{Key: "b", Revision: 1})
	eventually(t, "full copy after the host appeared", func() bool { observer.mu.Lock(); defer observer.mu.Unlock(); return len(observer.needFullCopy) == 0 })
	observer.apply(ctx, jkfollow.Item{Key: "gone", Revision: 2})
	if got := observer.otherCopyAddrs(); len(got) != 0 {
		t.Fatalf("others are %v after the removal", got)
	}
	keepTurnOn(t, returning, jkforward.Turn{Request: "1", Program: "p", Input: []byte("one"), Retention: time.Minute})
	if _, turns, _ := observer.vault.Size(); turns != 0 {
		t.Fatalf("%d turns before the host is back", turns)
	}
	observer.apply(ctx, jkfollow.Item{Key: "b", Revision: 3})
	eventually(t, "turn of the returned host", func() bool { _, turns, _ := observer.vault.Size(); return turns == 1 })
}

// Guards against a restarted copy that answers as if it had what others recorded while it was
// down, and against one that never stops to be behind.
func TestRestartedCopyIsBehindUntilItHasCopied(t *testing.T) {
	entries := map[string]Change{}
	other := startStorage(t, "b", scriptedPlatform(entries))
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Zones: []string{"a", "b", "c"}, Folder: memoryFolder(t)}.listening(t), scriptedPlatform(entries), jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); s.Run(stop) }()
	t.Cleanup(func() { close(stop); <-done })
	if !s.behind() {
		t.Error("a copy that has copied nothing isn't behind")
	}
	entries["b"] = Change{Host: &HostEntry{Host: "b", Zone: "b", Addr: other.settings.Inner, Ledger: true}}
	<-s.hostsListed
	s.apply(context.Background(), jkfollow.Item{Key: "b", Revision: 1})
	eventually(t, "copy that isn't behind", func() bool { return !s.behind() })
}

// Guards against the loss of a host that counts as harmless although this one hasn't copied from it since it was back, and
// against one that others adopt, who may lack what was copied.
func TestLossOfAHostThatIsNotCopiedIsNotConfirmed(t *testing.T) {
	t.Run("back for long", func(t *testing.T) { testLossOfAHostThatIsNotCopied(t, 5*time.Second, true) })
	t.Run("back shortly before", func(t *testing.T) { testLossOfAHostThatIsNotCopied(t, 2*time.Second, false) })
}

// probedStorage is the storage host of zone a on a manual clock, beside hosts of zone b that answer probes only.
type probedStorage struct {
	*Storage
	t     *testing.T
	timer *jktimer.Service
	clock *jktimer.Manual
	ports map[string]*heldPorts
	// entries are those of the store.
	entries map[string]Change
}

func newProbedStorage(t *testing.T, hosts ...string) *probedStorage {
	t.Helper()
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	entries := map[string]Change{}
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Zones: []string{"a", "b"}, Folder: memoryFolder(t), First: true}.listening(t), scriptedPlatform(entries), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop := make(chan struct{})
		close(stop)
		s.Run(stop)
	})
	s.listOnce.Do(func() { close(s.hostsListed) })
	out := &probedStorage{Storage: s, t: t, timer: timer, clock: clock, ports: map[string]*heldPorts{}, entries: entries}
	for _, host := range hosts {
		out.list(host)
	}
	return out
}

// list adds the entry of a host that doesn't run.
func (s *probedStorage) list(host string) {
	s.t.Helper()
	s.ports[host] = holdPorts(s.t)
	s.entries[host] = Change{Host: &HostEntry{Host: host, Zone: "b", Addr: s.ports[host].addr(), Ledger: true}}
	s.apply(context.Background(), jkfollow.Item{Key: host, Revision: 1})
}

// serve makes a host answer each message with an empty part of a ledger.
func (s *probedStorage) serve(host string, onMessage func()) {
	s.t.Helper()
	_ = s.ports[host].inner.Close()
	l, err := net.Listen("tcp", s.ports[host].addr())
	if err != nil {
		s.t.Fatal(err)
	}
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: host, Version: jkwire.ProtocolVersion}, IsControl: isControl, Counters: &jkwire.Counters{},
		Handle: func(_ context.Context, stream *jkwire.ServerStream) {
			onMessage()
			_ = stream.End(&jkledger.SyncPart{Certain: true})
		},
	})
	s.t.Cleanup(server.Close)
}

// isCopied reports whether nothing of a host that answers is missing a little later.
func (s *probedStorage) isCopied(host string) bool {
	s.t.Helper()
	s.pass(250*time.Millisecond, host)
	pending, _ := s.sources.isPending(host)
	return !pending
}

// answer makes a host answer probes; its ledger can't be copied.
func (s *probedStorage) answer(host string) *jkprobe.Prober {
	s.t.Helper()
	p, err := jkprobe.Listen(jkprobe.Options{Timer: s.timer, Log: jklog.Discard(), Host: host, Zone: "b", Addr: s.ports[host].addr(), Socket: s.ports[host].probes})
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// pass lets time pass in which hosts answer.
func (s *probedStorage) pass(d time.Duration, hosts ...string) {
	s.t.Helper()
	for end := s.timer.Now().Add(d); s.timer.Now().Before(end); {
		s.clock.Advance(250 * time.Millisecond)
		for _, host := range hosts {
			eventually(s.t, "answer of "+host, func() bool { last, _ := s.probes.LastAnswer(host); return last.Equal(s.timer.Now()) })
		}
	}
}

// testLossOfAHostThatIsNotCopied plays the loss of a host that was back for a time, and checks whether it is kept.
func testLossOfAHostThatIsNotCopied(t *testing.T, up time.Duration, isKept bool) {
	t.Helper()
	s := newProbedStorage(t, "b1", "b2")
	s.answer("b2")
	s.pass(2*time.Second, "b2")
	b1 := s.answer("b1")
	s.pass(up, "b1", "b2")
	b1.Close()
	s.pass(3*time.Second, "b2")
	if confirmed := s.probes.Losses().Confirmed(); slices.Contains(confirmed, "b1") != isKept {
		t.Fatalf("the prober confirms the loss of %v", confirmed)
	}
	want := []jkledger.Return{{Host: "b1", Since: up + 5*time.Second}}
	if got := s.losses(); len(got.Confirmed)+len(got.Unobserved) > 0 || !slices.Equal(got.Returned, want) {
		t.Errorf("%+v are reported before b1 is copied", got)
	}
	s.sources.copied("b1", s.sources.begin())
	if got := s.losses(); !slices.Equal(got.Confirmed, []string{"b1"}) || len(got.Returned) > 0 {
		t.Errorf("%+v are reported after b1 is copied", got)
	}
	s.noteLosses(t.Context())
	if kept := len(s.vault.LostHosts()) > 0; kept != isKept {
		t.Errorf("the loss is kept: %t, want %t", kept, isKept)
	}
}

// Guards against a budget that is exceeded since a copy that is cut off has forgotten what it had counted, and against spendings
// that are kept for ever.
func TestSpendingsStayWhileAZoneIsOutOfReach(t *testing.T) {
	s := newProbedStorage(t, "b1")
	b1 := s.answer("b1")
	s.pass(5*time.Second, "b1")
	pool := jkwire.NewPool(jkwire.PoolOptions{Self: jkwire.Hello{Host: "e", Version: jkwire.ProtocolVersion}, IsControl: isControl, Counters: &jkwire.Counters{}})
	t.Cleanup(pool.Close)
	m := &jkledger.WriteRequest{Sync: true, Records: []jkledger.Record{{Spending: &jkledger.Spending{Program: "p", Request: "1", Tokens: 1, Settled: true, Retention: time.Second}}}}
	if err := pool.Call(t.Context(), s.settings.Inner, jkledger.TypeWrite, m, nil); err != nil {
		t.Fatal(err)
	}
	check := func(when string, want int) {
		t.Helper()
		if got, _, _ := s.vault.Size(); got != want {
			t.Errorf("%d programs %s, want %d", got, when, want)
		}
	}
	b1.Close()
	s.pass(time.Minute)
	check("in the cut", 1)
	// Its socket is closed.
	s.ports["b1"] = &heldPorts{inner: s.ports["b1"].inner}
	t.Cleanup(s.answer("b1").Close)
	s.pass(15*time.Second, "b1")
	check("before the others are copied", 1)
	s.sources.copied("b1", s.sources.begin())
	s.pass(10*time.Second, "b1")
	check("after that", 0)
}

// Guards against a copy that stays behind for good, since it has dropped spendings while it copied from a zone that was just
// back, or right after that.
func TestSpendingsDroppedOnceAZoneIsBackAreCopied(t *testing.T) {
	for name, isDuring := range map[string]bool{"while it copies": true, "after that": false} {
		t.Run(name, func(t *testing.T) {
			s := newProbedStorage(t, "b1")
			var copies atomic.Int32
			var dropsNext atomic.Bool
			s.serve("b1", func() {
				copies.Add(1)
				if dropsNext.CompareAndSwap(true, false) {
					s.dropped()
				}
			})
			isCopied := func() bool {
				s.pass(250*time.Millisecond, "b1")
				return copies.Load() > 0 && s.isCopied("b1")
			}
			b1 := s.answer("b1")
			eventually(t, "copied records", isCopied)
			b1.Close()
			s.pass(2 * time.Second)
			copies.Store(0)
			dropsNext.Store(isDuring)
			// Its socket is closed.
			s.ports["b1"] = &heldPorts{inner: s.ports["b1"].inner}
			t.Cleanup(s.answer("b1").Close)
			if !isDuring {
				eventually(t, "copied records", isCopied)
				s.dropped()
			}
			eventually(t, "copied spendings", isCopied)
		})
	}
}

// Guards against a copy that stays behind for good, since the others started a little later, after a fault of all.
func TestStartCopiesFromHostsThatStartALittleLater(t *testing.T) {
	s := newProbedStorage(t)
	s.settings.First, s.hostsListed = false, make(chan struct{})
	s.list("b1")
	close(s.hostsListed)
	s.copyFromAll(t.Context())
	if !s.behind() {
		t.Fatal("not behind before the others run")
	}
	s.serve("b1", func() {})
	s.answer("b1")
	eventually(t, "copied records", func() bool { return s.isCopied("b1") })
}

// Guards against a copy that was paused, and that grants half of a budget in a cut which hides all others as it runs again,
// though these have granted the whole budget meanwhile.
func TestCopyThatWasPausedIsBehindInACut(t *testing.T) {
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Zones: []string{"a", "b", "c"}, Folder: memoryFolder(t)}.listening(t), scriptedPlatform(nil), jktimer.New(), jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop := make(chan struct{})
		close(stop)
		s.Run(stop)
	})
	peer := jkprobe.Peer{Host: "b", Zone: "b", Addr: "127.0.0.1:9", AlwaysProbed: true}
	s.sources.add(HostEntry{Host: peer.Host, Zone: peer.Zone}, false)
	s.probes.SetPeer(peer)
	eventually(t, "copy that isn't behind", func() bool { return !s.behind() })
	// This process has begun to observe the host after its last answer.
	s.hostChanged(peer, false, time.Second)
	if !s.behind() {
		t.Error("a copy that was paused before it lost all others isn't behind")
	}
}

package jkentry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkprobe"
	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkvault"
	"jasmineknot.example/core/jkwire"
)

// Storage is the process that keeps a copy of the ledger on a disk.
type Storage struct {
	settings Settings
	platform Platform
	timer    *jktimer.Service
	log      jklog.Logger
	metrics  *metrics.Set

	vault    *jkvault.Vault
	server   *jkwire.Server
	peers    *jkwire.Pool
	probes   *jkprobe.Prober
	members  *members
	registry *registry
	// watchRelay also serves what this host knows of the store to hosts that start.
	watchRelay *jkfollow.WatchRelay
	permits    *permits
	// running ends with the process.
	running context.Context
	end     context.CancelFunc
	// follower is set by Run.
	follower       atomic.Pointer[jkfollow.Follower]
	storeReachable atomic.Bool

	mu sync.Mutex
	// retireBegun is set once the host is being emptied, and retiring once it is out of use.
	retireBegun bool
	retiring    bool
	// needFullCopy holds the addresses of hosts that appeared while this one ran and
	// whose records haven't been copied yet.
	needFullCopy map[string]bool
	// takeovers holds the hosts whose programs are being taken over.
	takeovers map[takeoverKey]bool
	sources   *copySources
	// adopting is set while other copies are asked for losses, and replicating while they are asked to copy
	// reservations.
	adopting    atomic.Bool
	replicating atomic.Bool
	// spreading is set while spread runs.
	spreading atomic.Bool
	// retireRequested is set once the store asks to empty this host.
	retireRequested atomic.Bool
	// listedAs is the address of the first entry of this host that was read from the store.
	listedAs atomic.Pointer[string]
	// wasListed is set if the first list of the store had an entry of this host.
	wasListed atomic.Bool
	// hostsListed is closed after the first complete list of the store.
	hostsListed chan struct{}
	listOnce    sync.Once
}

// NewStorage opens the ledger and starts to listen for other hosts.
func NewStorage(s Settings, p Platform, timer *jktimer.Service, log jklog.Logger) (*Storage, error) {
	t := &Storage{settings: s, platform: p, timer: timer, log: log, metrics: metrics.NewSet(), members: newMembers(timer), hostsListed: make(chan struct{}), needFullCopy: map[string]bool{}, takeovers: map[takeoverKey]bool{}, sources: newCopySources(s.Zone, len(s.Zones))}
	t.running, t.end = context.WithCancel(context.Background())
	self := jkwire.Hello{Host: s.Host, Zone: s.Zone, Version: jkwire.ProtocolVersion}
	t.peers = jkwire.NewPool(jkwire.PoolOptions{Self: self, IsControl: isControl, Counters: &jkwire.Counters{}, ReceiveTimeout: silenceTimeout, Timer: timer})
	vault, err := jkvault.Open(jkvault.Options{
		Timer: timer, Log: log.Part("ledger"), Host: s.Host, Folder: s.Folder, Pool: t.peers, First: s.First,
		Holds: t.holds, AnyHolds: t.anyHolds, Neighbours: t.neighbours, TakesOver: t.takesOver, Behind: t.behind, Apart: t.apart, Dropped: t.dropped, Losses: t.losses, Silences: t.silences,
		Sources: t.recoverySources, MaxLostDisks: s.LostDisks, IsNew: func() bool { return !t.wasListed.Load() },
	})
	if err != nil {
		return nil, err
	}
	t.vault = vault
	t.watchRelay = jkfollow.NewWatchRelay(jkfollow.WatchRelayOptions{
		Timer: timer, Log: log.Part("follow"), Host: s.Host, Source: p.Source, Pool: t.peers,
		Peers: func() []jkfollow.Peer { return t.members.watchers(t.probes.Reachable) },
		Seeds: s.otherSeeds,
	})
	l, err := listenAt(s.Listeners.Inner, s.Inner)
	if err != nil {
		return nil, eris.Wrap(err, "listen for entries")
	}
	t.probes, err = jkprobe.Listen(jkprobe.Options{
		Timer: timer, Log: log.Part("probe"), Host: s.Host, Zone: s.Zone, Addr: s.Inner, Socket: s.Listeners.Probes, First: s.First,
		SendProbes: true, OnZoneChange: func(string, bool) {}, OnHostChange: t.hostChanged, Replicated: vault.Replicated,
	})
	if err != nil {
		return nil, err
	}
	t.permits = newPermits(t)
	// Answers of the ledger say what the prober knows, so that it has to be there first.
	t.server = jkwire.NewServer(l, jkwire.ServerOptions{
		Self: self, Handle: t.handle, IsControl: isControl, Counters: countPeers(t.metrics), MaxHeldBytes: s.MemoryBytes / storagePeersShare,
	})
	t.registry = newRegistry(registryOptions{
		timer: timer, log: log.Part("hosts"), own: t.hostEntry(vault.Sealed()), put: p.PutHost, swap: p.SwapHost,
		storeReachable: t.storeReachable.Load, lastAnswer: t.probes.LastAnswer, reachable: t.probes.Reachable, runAsync: runInGoroutine,
	})
	return t, t.serveMetrics()
}

// handle answers one message of another host: for the copy of the ledger, a question for the
// state of the store, or one for permits.
func (t *Storage) handle(ctx context.Context, s *jkwire.ServerStream) {
	switch s.Type() {
	case jkfollow.TypeState:
		if err := t.watchRelay.HandleState(s); err != nil {
			t.log.Info("state not sent", "host", s.Peer().Host, "error", err)
		}
	case jkquota.TypeTake:
		if err := t.permits.handle(s); err != nil {
			t.log.Info("permits not sent", "host", s.Peer().Host, "error", err)
		}
	case jkquota.TypePull:
		if err := t.permits.handlePull(s); err != nil {
			t.log.Info("collected permits not sent", "host", s.Peer().Host, "error", err)
		}
	default:
		t.vault.Handle(ctx, s)
	}
}

// serveMetrics serves the ledger's metrics on the address of the settings, if there is one.
func (t *Storage) serveMetrics() error {
	if t.settings.Metrics == "" {
		return nil
	}
	set := t.metrics
	set.NewGauge("jk_ledger_turns", func() float64 { _, n, _ := t.vault.Size(); return float64(n) })
	set.NewGauge("jk_ledger_programs", func() float64 { n, _, _ := t.vault.Size(); return float64(n) })
	set.NewGauge("jk_ledger_bytes", func() float64 { _, _, n := t.vault.Size(); return float64(n) })
	set.NewGauge("jk_ledger_certain", func() float64 {
		if t.vault.Certain() {
			return 1
		}
		return 0
	})
	t.permits.register(set)
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error { return writeMetrics(c, set) })
	l, err := net.Listen("tcp", t.settings.Metrics)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s, l := boundOperators(l, router, t.settings.MemoryBytes, t.timer, set)
	go func() { _ = s.Serve(l) }()
	return nil
}

// Run follows the store and copies missing records until stop is closed, then closes the
// ledger.
func (t *Storage) Run(stop <-chan struct{}) {
	ctx := t.running
	defer t.end()
	follower := jkfollow.New(jkfollow.Options{
		Timer: t.timer, Log: t.log.Part("follow"), Source: t.watchRelay.ThroughPeers(),
		Apply: func(item jkfollow.Item) { t.apply(ctx, item) },
		OnReachable: func(storeReachable bool) {
			t.storeReachable.Store(storeReachable)
			if storeReachable {
				t.listOnce.Do(func() {
					close(t.hostsListed)
					go t.endStaleSeal(ctx)
				})
			}
		},
	})
	t.follower.Store(follower)
	go follower.Run(ctx)
	go t.announce(ctx)
	go t.catchUp(ctx)
	defer t.timer.Every(jkquota.PullInterval, t.permits.pull)()
	defer t.timer.Every(observeInterval, func() { t.noteLosses(ctx) })()
	defer t.timer.Every(observeInterval, func() { t.replicate(ctx) })()
	t.log.Info("storage started", "host", t.settings.Host, "zone", t.settings.Zone, "inner", t.settings.Inner)
	<-stop
	t.log.Info("storage stopping", "replicated", t.vault.Replicated())
	t.end()
	t.server.Close()
	t.probes.Close()
	t.peers.Close()
	if err := t.vault.Close(); err != nil {
		t.log.Error("ledger can't be closed", err)
	}
	t.log.Info("storage stopped")
}

// announce writes and maintains the host's entry. The entry of a copy that isn't certain would
// hide whether the store's first list has an earlier one.
func (t *Storage) announce(ctx context.Context) {
	if !t.vault.Certain() && !t.waitForList(ctx) {
		return
	}
	t.registry.run(ctx)
}

// waitForList waits for the first complete list of the store and reports whether there is one
// before the context ends.
func (t *Storage) waitForList(ctx context.Context) bool {
	select {
	case <-t.hostsListed:
		return true
	case <-ctx.Done():
		return false
	}
}

// isListed reports whether there has been a complete list of the store.
func (t *Storage) isListed() bool {
	select {
	case <-t.hostsListed:
		return true
	default:
		return false
	}
}

// hostEntry returns the host's own entry for the store.
func (t *Storage) hostEntry(leaving bool) HostEntry {
	return HostEntry{Host: t.settings.Host, Zone: t.settings.Zone, Addr: t.settings.Inner, Ledger: true, Disk: t.vault.Disk(), Leaving: leaving}
}

// catchUpRetryInterval is the time between two attempts to copy records from other hosts,
// or to hand them over.
const catchUpRetryInterval = 400 * time.Millisecond

// secondCatchUpDelay is the time after which a started host copies a second time. By then
// all entries write to it, and they retry the writes that failed before.
const secondCatchUpDelay = 5 * time.Second

// catchUpMargin is added to the time for which a host was unreachable. A write that was in
// flight when it became unreachable is retried for a second, and a few times after that.
const catchUpMargin = 3 * time.Second

// catchUp copies the records of the other storage hosts once they are known, and a second time
// after secondCatchUpDelay.
func (t *Storage) catchUp(ctx context.Context) {
	if !t.waitForList(ctx) {
		return
	}
	window := secondCatchUpDelay
	if t.vault.Certain() {
		t.copyFromAll(ctx)
	} else {
		began := t.timer.Now()
		t.recover(ctx)
		window += t.timer.Now().Sub(began)
	}
	t.timer.Wait(secondCatchUpDelay, ctx.Done())
	if ctx.Err() == nil {
		t.vault.CatchUp(ctx, t.otherCopyAddrs(), window+catchUpMargin)
	}
}

// copyFromAll copies what the other storage hosts have recorded while this one was down. It goes on in the background with
// those that didn't answer, as they may have started a little later and then don't count as back.
func (t *Storage) copyFromAll(ctx context.Context) {
	for _, c := range t.otherCopies() {
		begin := t.sources.begin()
		if t.vault.CatchUp(ctx, []string{c.Addr}, t.vault.CatchUpWindow()) {
			t.sources.copied(c.Host, begin)
		}
		if pending, _ := t.sources.isPending(c.Host); pending {
			go t.copyFrom(ctx, c.Host, c.Addr, catchUpMargin)
		}
	}
}

// behind reports whether this copy may lack records that others have added while it was down
// or out of reach.
func (t *Storage) behind() bool { return t.sources.behind() || t.probes.JustResumed() }

// apart reports whether copies in other zones may have gone on with programs without this one. That isn't known before the
// hosts are.
func (t *Storage) apart() bool { return !t.isListed() || t.sources.isApart(t.isZoneSettled) }

// dropped notes that the ledger has dropped spendings that copies in other zones may count, and copies from those in reach.
// The others are copied once they are back.
func (t *Storage) dropped() {
	if !t.isListed() {
		return
	}
	hosts := t.sources.dropped(t.isZoneSettled)
	for _, c := range t.otherCopies() {
		if slices.Contains(hosts, c.Host) && t.probes.Reachable(c.Host) {
			go t.copyFrom(t.running, c.Host, c.Addr, 0)
		}
	}
}

// isZoneSettled reports whether a zone has been in reach for so long that its copies which may have to be copied are noted.
func (t *Storage) isZoneSettled(zone string) bool {
	return !t.probes.JustResumed() && t.probes.ZoneSettled(zone)
}

// otherCopies returns the other hosts with a copy of the ledger.
func (t *Storage) otherCopies() []jkaccount.Copy {
	return slices.DeleteFunc(t.members.copies(), func(c jkaccount.Copy) bool { return c.Host == t.settings.Host })
}

// otherCopyAddrs returns the addresses of the other hosts with a copy of the ledger.
func (t *Storage) otherCopyAddrs() []string {
	var out []string
	for _, c := range t.otherCopies() {
		out = append(out, c.Addr)
	}
	return out
}

// apply processes one change of the platform's store.
func (t *Storage) apply(ctx context.Context, item jkfollow.Item) {
	change, err := t.platform.Decode(item)
	if err != nil {
		t.log.Warn("store change can't be decoded", "key", item.Key, "error", err)
		return
	}
	if change.Host != nil && change.Host.Host == t.settings.Host && !t.isListed() {
		t.wasListed.Store(true)
	}
	if change.Host != nil && change.Host.Host == t.settings.Host && !change.Host.Removed {
		t.listedAs.CompareAndSwap(nil, &change.Host.Addr)
	}
	switch {
	case change.Host != nil && change.Host.Removed:
		t.hostRemoved(change.Host.Host)
		t.registry.set(*change.Host, item.Revision)
	case change.Host != nil:
		t.hostAppeared(*change.Host)
		t.members.set(*change.Host)
		if change.Host.Leaving {
			t.startTakeover(change.Host.Host)
		}
		known := t.silentEntry(change.Host.Host)
		t.registry.set(*change.Host, item.Revision)
		if next := t.silentEntry(change.Host.Host); next.Suspected && next != known {
			t.repeatTakeover(change.Host.Host)
			t.startSpread()
		}
		// Entries show whether a zone is in reach whose only storage host is down.
		t.probes.SetPeer(jkprobe.Peer{Host: change.Host.Host, Addr: change.Host.Addr, Zone: change.Host.Zone, AlwaysProbed: change.Host.Ledger})
	case change.RemovedHost != "":
		t.hostRemoved(change.RemovedHost)
		t.registry.remove(change.RemovedHost)
	case change.RetireHost == t.settings.Host:
		t.retireRequested.Store(true)
		go t.retire(ctx, change.RetireWithin)
	}
}

// hostRemoved forgets a host whose entry was removed.
func (t *Storage) hostRemoved(host string) {
	t.members.remove(host)
	t.sources.remove(host)
	t.vault.HostAnswered(host)
	t.probes.RemovePeer(host)
}

// holds returns a function that reports whether another host is among those that keep a
// program's records. A host that is emptied isn't one of them, even if it hasn't learned that
// from the store yet.
func (t *Storage) holds(host string) func(program string) bool {
	t.mu.Lock()
	retiring := t.retiring
	t.mu.Unlock()
	return jkaccount.ReplicaFilter(host, t.members.copies(), func(other string) bool {
		return t.isDown(other) || retiring && other == t.settings.Host
	})
}

// isDown reports whether a host has been silent for so long that all hosts have noticed.
func (t *Storage) isDown(host string) bool {
	return t.probes.Down(host) || t.registry.suspectedByOthers(host)
}

// hostChanged copies what a storage host has recorded while it was unreachable. When
// a host becomes unreachable, its connection is dropped, since the unacknowledged bytes
// would delay later calls.
func (t *Storage) hostChanged(p jkprobe.Peer, reachable bool, silent time.Duration) {
	if !reachable {
		if t.probes.MayBeTakenForLost(p.Host) {
			t.sources.missed(p.Host)
		}
		t.peers.Disconnect(p.Addr)
		if last, _ := t.probes.LastAnswer(p.Host); !last.IsZero() {
			// What was read from disk is of an earlier silence.
			t.vault.HostAnswered(p.Host)
		}
		t.startTakeover(p.Host)
		t.startSpread()
		return
	}
	t.vault.HostAnswered(p.Host)
	if f := t.follower.Load(); f != nil {
		f.Retry()
	}
	if !t.members.isCopy(p.Host) {
		return
	}
	t.sources.returned(p.Host, t.timer.Now().Add(-silent), t.probes.OwnSilence(p.Host))
	go t.copyFrom(t.running, p.Host, p.Addr, silent+catchUpMargin)
}

// hostAppeared copies all records of a host whose entry was missing. What the host recorded
// in the meantime is unknown, and the prober has lost track of how long it was unreachable.
func (t *Storage) hostAppeared(h HostEntry) {
	if !h.Ledger || h.Host == t.settings.Host || t.members.has(h.Host) {
		return
	}
	if !t.isListed() {
		// catchUp copies from the hosts of the first list.
		t.sources.add(h, !t.settings.First)
		return
	}
	t.sources.add(h, true)
	t.mu.Lock()
	t.needFullCopy[h.Addr] = true
	t.mu.Unlock()
	go t.copyFrom(t.running, h.Host, h.Addr, 0)
}

// copyFrom copies the records that a host has added within a time, or more of them if fewer
// were copied since the host appeared or this process started. It tries again while the host
// is in reach and records are missing.
func (t *Storage) copyFrom(ctx context.Context, host, addr string, within time.Duration) {
	requested := t.timer.Now()
	for {
		window, begin := t.timer.Now().Sub(requested)+within, t.sources.begin()
		_, sinceStart := t.sources.isPending(host)
		t.mu.Lock()
		all := within == 0 || t.needFullCopy[addr]
		t.mu.Unlock()
		switch start := t.vault.CatchUpWindow(); {
		case all || sinceStart && start == 0:
			window = 0
		case sinceStart:
			window = max(window, start)
		}
		if t.vault.CatchUp(ctx, []string{addr}, window) {
			t.mu.Lock()
			delete(t.needFullCopy, addr)
			t.mu.Unlock()
			if t.sources.copied(host, begin) {
				return
			}
		}
		pending, _ := t.sources.isPending(host)
		if !pending || !t.probes.Reachable(host) || !t.timer.Wait(catchUpRetryInterval, ctx.Done()) {
			return
		}
	}
}

package jkentry

import (
	"context"
	"net"
	"net/http"
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
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkvault"
	"jasmineknot.example/core/jkwire"
)

// Storage is the process that keeps a copy of the ledger.
type Storage struct {
	settings Settings
	platform Platform
	timer    *jktimer.Service
	log      jklog.Logger

	vault    *jkvault.Vault
	server   *jkwire.Server
	peers    *jkwire.Pool
	probes   *jkprobe.Prober
	members  *members
	registry *registry
	inTouch  atomic.Bool

	mu       sync.Mutex
	retiring bool
	// uncopied holds the addresses of hosts that appeared while this one ran, and of
	// which nothing was copied yet.
	uncopied map[string]bool
	listed   chan struct{}
	once     sync.Once
}

// NewStorage opens the ledger and listens for entries.
func NewStorage(s Settings, p Platform, timer *jktimer.Service, log jklog.Logger) (*Storage, error) {
	t := &Storage{settings: s, platform: p, timer: timer, log: log, members: newMembers(timer), listed: make(chan struct{}), uncopied: map[string]bool{}}
	self := jkwire.Hello{Host: s.Host, Zone: s.Zone, Version: jkwire.ProtocolVersion}
	t.peers = jkwire.NewPool(jkwire.PoolOptions{Self: self, Control: isControl, Counters: &jkwire.Counters{}, SilentAfter: silentAfter, Timer: timer})
	vault, err := jkvault.Open(jkvault.Options{Timer: timer, Log: log.Part("ledger"), Folder: s.Folder, Pool: t.peers, First: s.First, Holds: t.holds})
	if err != nil {
		return nil, err
	}
	t.vault = vault
	l, err := net.Listen("tcp", s.Inner)
	if err != nil {
		return nil, eris.Wrap(err, "listen for entries")
	}
	t.server = jkwire.NewServer(l, jkwire.ServerOptions{Self: self, Handle: vault.Handle, Control: isControl, Counters: &jkwire.Counters{}})
	t.probes, err = jkprobe.Listen(jkprobe.Options{
		Timer: timer, Log: log.Part("probe"), Host: s.Host, Zone: s.Zone, Addr: s.Inner,
		SendProbes: true, OnZoneChange: func(string, bool) {}, OnHostChange: t.hostChanged,
	})
	if err != nil {
		return nil, err
	}
	t.registry = newRegistry(registryOptions{
		timer: timer, log: log.Part("hosts"), own: t.entry(false), put: p.PutHost, swap: p.SwapHost,
		inTouch: t.inTouch.Load, heard: t.probes.LastAnswer, reachable: t.probes.Reachable, start: startCall,
	})
	return t, t.serveMetrics()
}

func (t *Storage) serveMetrics() error {
	if t.settings.Metrics == "" {
		return nil
	}
	set := metrics.NewSet()
	set.NewGauge("jk_ledger_turns", func() float64 { _, n, _ := t.vault.Size(); return float64(n) })
	set.NewGauge("jk_ledger_programs", func() float64 { n, _, _ := t.vault.Size(); return float64(n) })
	set.NewGauge("jk_ledger_bytes", func() float64 { _, _, n := t.vault.Size(); return float64(n) })
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error { return writeMetrics(c, set) })
	l, err := net.Listen("tcp", t.settings.Metrics)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.Serve(l) }()
	return nil
}

// Run serves until stop is closed.
func (t *Storage) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	shared := jkfollow.NewShared(jkfollow.SharedOptions{
		Timer: t.timer, Log: t.log.Part("follow"), Host: t.settings.Host, Source: t.platform.Source, Pool: t.peers,
		Peers: func() []jkfollow.Peer { return t.members.watchers(t.probes.Reachable) },
	})
	go jkfollow.New(jkfollow.Options{
		Timer: t.timer, Log: t.log.Part("follow"), Source: shared.ThroughPeers(),
		Apply: func(item jkfollow.Item) { t.apply(ctx, item) },
		Settled: func(inTouch bool) {
			t.inTouch.Store(inTouch)
			if inTouch {
				t.once.Do(func() { close(t.listed) })
			}
		},
	}).Run(ctx)
	go t.registry.run(ctx)
	go t.catchUp(ctx)
	t.log.Info("storage started", "host", t.settings.Host, "zone", t.settings.Zone, "inner", t.settings.Inner)
	<-stop
	t.log.Info("storage leaves")
	t.server.Close()
	t.probes.Close()
	t.peers.Close()
	if err := t.vault.Close(); err != nil {
		t.log.Error("ledger not closed", err)
	}
	t.log.Info("storage stopped")
}

func (t *Storage) entry(leaving bool) HostEntry {
	return HostEntry{Host: t.settings.Host, Zone: t.settings.Zone, Addr: t.settings.Inner, Ledger: true, Leaving: leaving}
}

// catchPause is the time between two tries to copy what other hosts have.
const catchPause = 400 * time.Millisecond

// catchAgain is the time after which a started host copies once more: by then all
// entries write to it, and what they couldn't write before is tried again by them.
const catchAgain = 5 * time.Second

// catchMargin is added to the time for which a host was out of reach: a write that
// was under way then is tried again for a second, and some times more.
const catchMargin = 3 * time.Second

// catchUp copies the ledger of the other hosts, once they are known. A host that
// has lost its disk repeats it until another copy has answered.
func (t *Storage) catchUp(ctx context.Context) {
	select {
	case <-t.listed:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if t.vault.Catch(ctx, t.others(), t.vault.Missed()) || t.vault.Certain() {
			break
		}
		t.timer.Wait(catchPause, ctx.Done())
	}
	t.timer.Wait(catchAgain, ctx.Done())
	if ctx.Err() == nil {
		t.vault.Catch(ctx, t.others(), catchAgain+catchMargin)
	}
}

func (t *Storage) others() []string {
	var out []string
	for _, c := range t.members.copies() {
		if c.Host != t.settings.Host {
			out = append(out, c.Addr)
		}
	}
	return out
}

func (t *Storage) apply(ctx context.Context, item jkfollow.Item) {
	change, err := t.platform.Decode(item)
	if err != nil {
		t.log.Warn("change of the store not decoded", "key", item.Key, "error", err)
		return
	}
	switch {
	case change.Host != nil:
		t.hostAppeared(*change.Host)
		t.members.set(*change.Host)
		t.registry.set(*change.Host, item.Revision)
		if change.Host.Ledger {
			t.probes.SetPeer(jkprobe.Peer{Host: change.Host.Host, Addr: change.Host.Addr, Zone: change.Host.Zone, AlwaysProbed: true})
		}
	case change.HostName != "":
		t.members.remove(change.HostName)
		t.registry.remove(change.HostName)
		t.probes.RemovePeer(change.HostName)
	case change.Retire == t.settings.Host:
		go t.retire(ctx, change.Within)
	}
}

// holds returns a function that reports whether another host keeps a program's
// records.
func (t *Storage) holds(host string) func(program string) bool {
	lost := func(host string) bool { return t.probes.Down(host) || t.registry.isGone(host) }
	return jkaccount.Holder(host, t.members.copies(), lost)
}

// hostChanged copies what another copy has taken while it was out of reach. A
// lost host's connection is dropped, since its bytes in flight would hold up
// later calls.
func (t *Storage) hostChanged(p jkprobe.Peer, reachable bool, silent time.Duration) {
	if !reachable {
		t.peers.Drop(p.Addr)
		return
	}
	go t.copyFrom(context.Background(), p.Addr, silent+catchMargin)
}

// hostAppeared copies all that a host has whose entry was missing for a while. What
// it took meanwhile is unknown, and the prober no longer knows how long it was away.
func (t *Storage) hostAppeared(h HostEntry) {
	if !h.Ledger || h.Host == t.settings.Host || t.members.has(h.Host) {
		return
	}
	select {
	case <-t.listed:
	default:
		return // catchUp copies from the hosts of the first list.
	}
	t.mu.Lock()
	t.uncopied[h.Addr] = true
	t.mu.Unlock()
	go t.copyFrom(context.Background(), h.Addr, 0)
}

// copyFrom copies what a host has added within a time, or all that it has where that
// hasn't been copied yet.
func (t *Storage) copyFrom(ctx context.Context, addr string, within time.Duration) {
	t.mu.Lock()
	if t.uncopied[addr] {
		within = 0
	}
	t.mu.Unlock()
	if t.vault.Catch(ctx, []string{addr}, within) {
		t.mu.Lock()
		delete(t.uncopied, addr)
		t.mu.Unlock()
	}
}

// retire hands all records over to the other copies and reports that the host
// may be removed.
func (t *Storage) retire(ctx context.Context, within time.Duration) {
	t.mu.Lock()
	again := t.retiring
	t.retiring = true
	t.mu.Unlock()
	if again {
		return
	}
	t.log.Info("host is being emptied", "within", within)
	t.report(ctx, false)
	t.registry.change(ctx, t.entry(true))
	// Entries hear of the leaving host within the time of a watch.
	t.timer.Wait(leavingHeard, ctx.Done())
	for ctx.Err() == nil {
		err := t.vault.HandOver(ctx, t.settings.Inner, t.others(), t.settings.LostDisks+1)
		if err == nil {
			break
		}
		t.log.Warn("host not emptied", "error", err)
		t.timer.Wait(catchPause, ctx.Done())
	}
	t.report(ctx, true)
}

// leavingHeard is how long entries may go on to write to a host that is leaving.
const leavingHeard = 500 * time.Millisecond

func (t *Storage) report(ctx context.Context, completed bool) {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, announceTimeout)
		err := t.platform.PutRetire(try, t.settings.Host, completed)
		cancel()
		if err == nil {
			t.log.Info("state of the emptying written", "completed", completed)
			return
		}
		t.log.Warn("state of the emptying not written", "error", err)
		t.timer.Wait(announcePause, ctx.Done())
	}
}

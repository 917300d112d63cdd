package jkentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkprobe"
	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jkrelay"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
	"jasmineknot.example/core/jkwire"
)

// Entry is the process that takes callers' requests and forwards them to endpoints.
type Entry struct {
	settings Settings
	platform Platform
	timer    *jktimer.Service
	log      jklog.Logger
	metrics  *metrics.Set

	rules      atomic.Pointer[jkruleset.Set]
	stop       *jkforward.HostStop
	fleet      *jkforward.Fleet
	pool       *jkupstream.Pool
	dialer     *jkrelay.Dialer
	relay      *jkrelay.Relay
	peers      *jkwire.Pool
	probes     *jkprobe.Prober
	members    *members
	watchRelay *jkfollow.WatchRelay
	follower   *jkfollow.Follower
	rulesWatch *jkfollow.RulesWatch
	registry   *registry
	crashes    *jkforward.CrashWatch
	zones      *jkforward.ZoneWatch
	news       *news
	// settled caches that membersSettled has been true.
	settled atomic.Bool
	counts  *jkforward.Metrics
	account *jkaccount.Client
	quota   *quota
	// rotation decides whether the entry leaves the platform's rotation.
	rotation *rotation

	mu        sync.Mutex
	endpoints map[string]EndpointState

	front         *http.Server
	frontListener net.Listener
	callers       *jkintake.Conns
	// closers release listeners and connections when the process stops.
	closers []func()
}

// NewEntry assembles an entry and starts to listen on all addresses of the settings. Run
// connects it to the platform's store.
func NewEntry(s Settings, p Platform, timer *jktimer.Service, log jklog.Logger) (*Entry, error) {
	e := &Entry{
		settings: s, platform: p, timer: timer, log: log, metrics: metrics.NewSet(),
		members: newMembers(timer), endpoints: map[string]EndpointState{}, stop: jkforward.NewHostStop(), callers: jkintake.NewConns(timer),
	}
	opt := jksched.DefaultDirectOptions()
	opt.Zone, opt.Learned = s.Zone, s.LearnedPlacement
	opt.Delay = assumedDelay
	e.fleet = jkforward.NewFleet(s.Host, opt, timer)
	e.zones = jkforward.NewZoneWatch(e.fleet, timer, log.Part("forward"))
	e.closers = append(e.closers, e.zones.Close)
	e.crashes = jkforward.NewCrashWatch(timer, log.Part("crash"))
	e.news = &news{self: s.Host, timer: timer, log: log.Part("news"), crashes: e.crashes, fleet: e.fleet, startedAt: timer.Now()}
	opened := e.metrics.NewCounter("jk_connections_opened_total")
	e.dialer = e.newDialer()
	e.closers = append(e.closers, e.dialer.Close)
	e.crashes.SetDial(e.dialer.Reach)
	e.relay = e.newRelay()
	upstream := jkupstream.DefaultOptions()
	upstream.Dial, upstream.OnAnswer = e.dialer.Dial, e.dialer.Heard
	e.pool = jkupstream.NewPool(upstream, timer, opened.Inc)
	e.peers = jkwire.NewPool(jkwire.PoolOptions{Self: e.self(), IsControl: isControl, Counters: &jkwire.Counters{}, ReceiveTimeout: silenceTimeout, Timer: timer})
	e.closers = append(e.closers, e.peers.Close)
	probes, err := jkprobe.Listen(jkprobe.Options{
		Timer: timer, Log: log.Part("probe"), Host: s.Host, Zone: s.Zone, Addr: s.Inner, Socket: s.Listeners.Probes, First: s.First, SendProbes: true,
		OnZoneChange: e.zones.SetHostsReachable, OnHostChange: e.hostChanged, OnDigest: e.receiveDigest,
		OnNews: e.news.receive, CurrentNews: e.news.current,
	})
	if err != nil {
		return nil, err
	}
	e.probes = probes
	e.news.send, e.news.ask = probes.SendNews, probes.AskForNews
	e.closers = append(e.closers, probes.Close)
	e.watchRelay = jkfollow.NewWatchRelay(jkfollow.WatchRelayOptions{
		Timer: timer, Log: log.Part("follow"), Host: s.Host, Source: p.Source, Pool: e.peers,
		Peers: func() []jkfollow.Peer { return e.members.watchers(probes.Reachable) }, OnWatch: e.countWatch,
		Seeds: s.otherSeeds,
	})
	e.rulesWatch = e.newRulesWatch()
	// One watch over all keys costs a third of the store calls of one watch for each kind.
	e.follower = jkfollow.New(jkfollow.Options{
		Timer: timer, Log: log.Part("follow"), Source: e.watchRelay.ThroughPeers(), Store: p.Source,
		Apply: e.apply, OnReachable: func(bool) {}, OnGap: e.fleet.ForgetVersions,
	})
	e.fleet.SetRegistryConfirmation(e.follower.Confirm)
	e.registry = newRegistry(registryOptions{
		timer: timer, log: log.Part("hosts"), own: HostEntry{Host: s.Host, Zone: s.Zone, Addr: s.Inner},
		put: p.PutHost, swap: p.SwapHost, observes: true, storeReachable: e.follower.StoreReachable,
		lastAnswer: probes.LastAnswer, reachable: probes.Reachable, paused: probes.JustPaused, runAsync: runInGoroutine,
	})
	return e, e.listen()
}

// membersSettled reports whether all hosts are likely to be known: this host knows the store as of
// newHostPeriod after the start, by when the hosts that started together with this one have written
// their entries.
func (e *Entry) membersSettled() bool {
	if e.settled.Load() {
		return true
	}
	if !e.follower.StoreReachable() || e.follower.KnownAt().Sub(e.members.started) < newHostPeriod {
		return false
	}
	e.settled.Store(true)
	e.log.Info("hosts settled", "copies", len(e.members.copies()))
	return true
}

// self returns how this host introduces itself on connections to other hosts.
func (e *Entry) self() jkwire.Hello {
	return jkwire.Hello{Host: e.settings.Host, Zone: e.settings.Zone, Version: jkwire.ProtocolVersion}
}

// silenceTimeout is how long a connection to another host may stay silent while a call
// waits for its answer. It exceeds the length of a store watch through that host.
const silenceTimeout = 1500 * time.Millisecond

// isControl classifies every message type between hosts as control traffic, since callers'
// requests don't pass between hosts.
func isControl(string) bool { return true }

// handle answers one message of another host: a watch of the store, a question for its state
// or for the currency of its rules, or a message that is relayed to a copy of the ledger.
func (e *Entry) handle(ctx context.Context, s *jkwire.ServerStream) {
	var err error
	switch s.Type() {
	case jkfollow.TypeWatch:
		err = e.watchRelay.Handle(ctx, s)
	case jkfollow.TypeState:
		err = e.watchRelay.HandleState(s)
	case jkfollow.TypeRulesConfirm:
		err = e.rulesWatch.Handle(s)
	default:
		e.account.Handle(ctx, s)
	}
	if err != nil {
		e.log.Info("follower not answered", "host", s.Peer().Host, "type", s.Type(), "error", err)
	}
}

// sendDigest sends the loads that endpoints have reported to this entry to other entries.
func (e *Entry) sendDigest() {
	data, err := e.fleet.NextDigest()
	if err != nil {
		e.log.Warn("load digest not sent", "error", err)
		return
	}
	if data != nil {
		e.probes.SendDigest(data)
	}
}

// receiveDigest merges the endpoint loads that another entry has sent.
func (e *Entry) receiveDigest(data []byte) {
	if err := e.fleet.ApplyDigest(data); err != nil {
		e.log.Warn("load digest can't be decoded", "error", err)
	}
}

// hostChanged drops the connection to a host that became unreachable: its unacknowledged
// bytes would delay later calls. A host that is back may mean the end of a partition.
func (e *Entry) hostChanged(p jkprobe.Peer, reachable bool, _ time.Duration) {
	e.updateSenders()
	if !reachable {
		e.peers.Disconnect(p.Addr)
		return
	}
	e.rulesWatch.HostBack(p.Host)
	e.follower.Retry()
}

// isDown reports whether a host has been silent for so long that every other host excludes
// it. A process that has just started relies on what other hosts have recorded in the store.
func (e *Entry) isDown(host string) bool {
	return e.probes.Down(host) || e.registry.suspectedByOthers(host)
}

// zoneExcludedAfter is how long a zone is unreachable before turns are stored without its
// copies. It exceeds the interval of probes: a host that was paused finds all zones
// unreachable until its next probes are answered.
const zoneExcludedAfter = 300 * time.Millisecond

// heldOutputsShare is the part of the memory limit that the outputs of turns in progress may
// take: one eighth.
const heldOutputsShare = 8

// zoneReachable reports whether a zone's copies are still expected to answer.
func (e *Entry) zoneReachable(zone string) bool {
	return e.probes.ZoneUnreachableFor(zone) < zoneExcludedAfter
}

// listen opens the listeners for hosts, callers and operators and serves them.
func (e *Entry) listen() error {
	e.account = jkaccount.NewClient(jkaccount.Options{
		Timer: e.timer, Log: e.log.Part("account"), Pool: e.peers, Zone: e.settings.Zone,
		Metrics: jkaccount.NewMetrics(e.metrics), MaxLostDisks: e.settings.LostDisks, ZoneCount: len(e.settings.Zones),
		MembersSettled: e.membersSettled, Copies: e.members.copies, Reachable: e.probes.Reachable, Paused: e.probes.JustPaused, Lost: e.isDown, UnreachableFor: e.probes.UnreachableFor,
		ZoneReachable: e.zoneReachable, ZoneSettled: e.probes.ZoneSettled, LossConfirmed: e.probes.LossConfirmed, LossConfirmedAfter: jkprobe.LossConfirmedAfter,
		LostReplicated: e.probes.LostReplicated, IsReplicated: e.probes.IsReplicated, RelayAddrs: e.probes.AnsweringAddrs, RelayedTypes: []string{jkquota.TypeTake},
		Observed: func(host string) string { return e.probes.Observe(host).String() },
	})
	e.rotation = e.newRotation()
	e.counts = jkforward.NewMetrics(e.metrics)
	e.quota = newQuota(e)
	e.metrics.NewGauge("jk_crash_suspects", func() float64 { n, _ := e.crashes.Suspects(); return float64(n) })
	e.metrics.NewGauge("jk_response_body_bytes", func() float64 { return float64(e.pool.BodyBytes()) })
	e.metrics.NewGauge("jk_relay_tunnels", func() float64 { return float64(e.relay.Tunnels()) })
	e.metrics.NewGauge("jk_relayed_connections_total", func() float64 { return float64(e.dialer.Relayed()) })
	e.metrics.NewGauge("jk_slow_connections_total", func() float64 { return float64(e.dialer.Slow()) })
	e.metrics.NewGauge("jk_endpoints_isolated", func() float64 {
		if e.isIsolated() {
			return 1
		}
		return 0
	})
	e.metrics.NewGauge("jk_limited_endpoints", func() float64 { return float64(e.fleet.LimitedEndpoints()) })
	e.metrics.NewGauge("jk_crash_refused", func() float64 { _, n := e.crashes.Suspects(); return float64(n) })
	handler := jkforward.NewHandler(jkforward.Options{
		Timer: e.timer, Log: e.log.Part("forward"), Metrics: e.counts, Rules: e.rules.Load,
		Dialect: e.platform.Dialect, Account: e.account.Account(), Fleet: e.fleet, Pool: e.pool,
		Currency: e.currency(), Crashes: e.crashes, Programs: e.newProgramAdmission(), Isolated: e.isIsolated,
		OutOfRotation: e.rotation.isOut, Stop: e.stop, Quota: jkforward.Quota{Take: e.quota.take},
		MaxHeldOutputs: e.settings.MemoryBytes / heldOutputsShare,
		MaxBodies:      jkintake.LimitsFor(e.settings.MemoryBytes),
	})
	e.metrics.NewGauge("jk_held_request_bytes", func() float64 { return float64(handler.HeldBytes()) })
	inner, err := listenAt(e.settings.Listeners.Inner, e.settings.Inner)
	if err != nil {
		return eris.Wrap(err, "listen for other hosts")
	}
	server := jkwire.NewServer(inner, jkwire.ServerOptions{
		Self: e.self(), Handle: func(ctx context.Context, s *jkwire.ServerStream) { e.handle(ctx, s) }, Tunnel: e.relay.Handle, IsControl: isControl,
		Counters: countPeers(e.metrics), MaxHeldBytes: e.settings.MemoryBytes / entryPeersShare,
	})
	e.closers = append(e.closers, server.Close)
	l, err := listenAt(e.settings.Listeners.Front, e.settings.Front)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	e.front = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: jkintake.MaxHead, ErrorLog: nil, ConnState: e.callers.Observe,
	}
	e.frontListener = e.callers.Listen(l, jkintake.LimitsFor(e.settings.MemoryBytes), e.metrics)
	go e.serve(e.front, e.frontListener)
	if err := e.serveOperators(e.settings.Ready, e.operatorRoutes()); err != nil {
		return err
	}
	return e.serveOperators(e.settings.Metrics, e.operatorRoutes())
}

// newProgramAdmission returns the admission of programs, or nil where the settings don't ask for it.
func (e *Entry) newProgramAdmission() *jkforward.ProgramAdmission {
	if !e.settings.LearnedPlacement {
		return nil
	}
	return jkforward.NewProgramAdmission(e.timer, e.fleet, e.metrics)
}

// Limits of callers' connections until the rules set their own. The idle timeout exceeds
// that of the rules, so that the server never closes an idle connection before the caller
// expects it to.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// serve runs an HTTP server until it is closed.
func (e *Entry) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.log.Error("HTTP listener failed", err, "addr", l.Addr().String())
	}
}

// Run follows the store until stop is closed, then drains the requests in flight and
// closes all listeners.
func (e *Entry) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.follower.Run(ctx)
	go e.rulesWatch.Run(ctx)
	defer e.timer.Every(newsInterval, e.spread)()
	defer e.timer.Every(membersInterval, e.observeMembers)()
	go e.registry.run(ctx)
	e.log.Info("entry started", "host", e.settings.Host, "zone", e.settings.Zone, "front", e.settings.Front, "seeds", len(e.settings.Seeds))
	<-stop
	e.drain()
	for _, end := range e.closers {
		end()
	}
}

// spread sends other entries what this one has learned since the last call, returns unused permits
// to their issuers, and decides whether to be in rotation. All of it has one timer, because each
// wake-up of a small host costs about as much as what it sends.
func (e *Entry) spread() {
	e.sendDigest()
	e.news.tick()
	e.quota.tick()
	e.rotation.decide()
}

// membersInterval is the interval at which an entry checks which hosts there are, besides
// each time that one appears, falls silent or is back.
const membersInterval = time.Second

// observeMembers notices hosts that are new or gone.
func (e *Entry) observeMembers() {
	e.updateSenders()
	e.account.Observe()
}

// updateSenders tells the fleet which hosts share the limits of endpoints.
func (e *Entry) updateSenders() {
	e.fleet.SetHosts(e.members.senders(jkforward.Host{Name: e.settings.Host, Zone: e.settings.Zone}, e.probes.Reachable))
}

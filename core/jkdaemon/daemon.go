// Package jkdaemon assembles one entry host: it opens the sockets and the data folder,
// connects gossip, routing, the home, the dispatcher, the history copies and the HTTP API,
// joins the other hosts, and stops without interrupting a request. What these parts do is
// in their own packages.
package jkdaemon

import (
	"context"
	"errors"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkcopy"
	"jasmineknot.example/core/jkdispatch"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jkgossip"
	"jasmineknot.example/core/jkhome"
	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkobjective"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkroute"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jksettings"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
	"jasmineknot.example/core/jkwire"
)

const (
	// auditInterval is the time between two audits of the engines' caches. It is
	// below 5 s: a program whose home has died must not hold cache memory that
	// long after its end.
	auditInterval = 3 * time.Second
	// endedRetention is how long an ended program still answers retries.
	endedRetention = 2 * time.Minute
	// maxCopyLogBytes bounds the history log of a host.
	maxCopyLogBytes = 16 << 30
	// copyEndedRetention and copyOrphanRetention are how long copies outlive
	// their program's end and its last record.
	copyEndedRetention  = 10 * time.Minute
	copyOrphanRetention = 7 * 24 * time.Hour
	// peersShare is the part of the memory limit that other hosts may make this one hold: mostly the
	// requests that its endpoints run.
	peersShare = 4
)

// Options holds what the settings file does not provide.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	// Faults simulates partitions from other hosts; nil outside tests.
	Faults *jkwire.Faults
}

// Daemon is one running entry host.
type Daemon struct {
	settings jksettings.Settings
	options  Options
	log      jklog.Logger

	self           jktoken.Incarnation
	listener       net.Listener
	httpListener   net.Listener
	counters       *jkwire.Counters
	pool           *jkwire.Pool
	server         *jkwire.Server
	platform       *jkplatform.Client
	follower       *jkconfig.Follower
	editor         *jkconfig.Editor
	gossip         *jkgossip.Service
	dispatcher     *jkdispatch.Dispatcher
	home           *jkhome.Home
	router         *jkroute.Router
	copies         *jkcopy.Store
	endpoints      *jkendpoint.Client
	httpServer     *http.Server
	callers        *jkintake.Conns
	metrics        *metrics
	rules          *rules
	objectives     *jkobjective.Recorder
	lease          *hostLease
	copySetRecords *copySetRecords
	orders         *orders
	requests       *requests

	platformTransport faultTransport
	// queueDefaults are the dispatcher's options before the configuration overrides them.
	queueDefaults jksched.Options
	// savedRevision is the configuration revision on this host's disk.
	savedRevision uint64

	ready   atomic.Bool
	stops   []func()
	workers sync.WaitGroup
	cancel  context.CancelFunc
}

// slowOpenTime is how long a start waits for its data folder before it logs that.
const slowOpenTime = 2 * time.Second

// New opens the daemon's sockets and data folder and builds its parts. Start starts them.
func New(s jksettings.Settings, o Options) (*Daemon, error) {
	d := &Daemon{settings: s, options: o, log: o.Log, counters: &jkwire.Counters{}, requests: newRequests(), callers: jkintake.NewConns(o.Timer)}
	rng := rand.New(rand.NewSource(o.Timer.Now().UnixNano()))
	d.self = newIncarnation(s.Host(), o.Timer.Now(), rng)
	if s.DataFolder() != "" {
		// The folder is synced before the host serves.
		defer o.Timer.After(slowOpenTime, func() { d.log.Part("daemon").Warn("start waits for the data folder", "folder", s.DataFolder()) })()
	}
	if err := d.open(); err != nil {
		d.closeSockets()
		return nil, err
	}
	if err := d.build(rng); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

// newIncarnation returns the incarnation of a start. Its number comes from the clock;
// random low bits distinguish two starts within a millisecond.
func newIncarnation(host string, now time.Time, rng *rand.Rand) jktoken.Incarnation {
	return jktoken.Incarnation{Host: host, Start: uint64(now.UnixMilli())<<16 | uint64(rng.Intn(1<<16))}
}

func (d *Daemon) open() error {
	var err error
	if d.listener, err = net.Listen("tcp", d.settings.Listen()); err != nil {
		return eris.Wrap(err, "listen for other daemons")
	}
	if d.httpListener, err = net.Listen("tcp", d.settings.HTTP()); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if d.settings.DataFolder() == "" {
		return nil
	}
	d.copies, err = jkcopy.Open(d.settings.DataFolder(), maxCopyLogBytes)
	if err == nil && d.copies.Damaged() {
		d.log.Part("copy").Warn("history log was damaged; its tail was truncated")
	}
	return err
}

func (d *Daemon) closeSockets() {
	if d.listener != nil {
		_ = d.listener.Close()
	}
	if d.httpListener != nil {
		_ = d.httpListener.Close()
	}
	if d.copies != nil {
		d.copies.Close()
	}
}

func (d *Daemon) build(rng *rand.Rand) error {
	keys, err := jktoken.NewKeyring(d.settings.TokenKeys())
	if err != nil {
		return err
	}
	hello := jkwire.Hello{Host: d.self.Host, Start: d.self.Start, Zone: d.settings.Zone(), Version: jkwire.ProtocolVersion}
	d.pool = jkwire.NewPool(jkwire.PoolOptions{Self: hello, IsControl: jkmsg.IsControl, Counters: d.counters, Faults: d.options.Faults})
	limits := d.settings.Limits()
	d.platform = jkplatform.NewHTTPLimited(d.settings.Platform(), &http.Client{Transport: &d.platformTransport}, float64(limits.PlatformCalls()), limits.PlatformCalls())
	d.endpoints = jkendpoint.New(jkendpoint.Options{})
	d.buildConfig(rng)
	d.copySetRecords = newCopySetRecords(d)
	if err := d.copySetRecords.beginIncarnation(d.self); err != nil {
		return err
	}
	d.gossip = jkgossip.New(d.gossipOptions())
	d.queueDefaults = d.schedOptions(rng)
	d.dispatcher = jkdispatch.New(jkdispatch.Options{
		Timer: d.options.Timer, Log: d.log.Part("dispatch"), Client: d.endpoints, Queue: d.queueDefaults,
		Quarantined: d.gossip.IsRefused, Crashes: d.gossip.Crashes, Crashed: d.gossip.RecordCrash, Released: d.notifyReleased,
	})
	d.home = jkhome.New(jkhome.Options{
		Self: d.self, Zone: d.settings.Zone(), Timer: d.options.Timer, Log: d.log.Part("home"), Keys: keys,
		Rules: d.rules.home(), Transport: d.transport(), Sched: d.schedOptions(rng), IsQuarantined: d.gossip.IsRefused,
		Rand: rng, MaxPrograms: limits.Programs(), EndedRetention: endedRetention, OnProgramEnded: d.programEnded,
		Crashes: d.gossip.Crashes, RecordCrashes: d.gossip.RecordCrash,
		CopyGrace: copyGraceLeases * d.settings.Intervals().Lease(),
	})
	d.router = jkroute.New(jkroute.Options{
		Timer: d.options.Timer, Log: d.log.Part("router"), Keys: keys, Platform: d.platform,
		Gossip: d.gossip, Home: d.home, Pool: d.pool,
	})
	d.lease = newHostLease(d)
	d.orders = newOrders(d)
	d.metrics = newMetrics(d)
	d.restoreConfig()
	d.httpServer = d.newHTTPServer()
	return nil
}

func (d *Daemon) buildConfig(rng *rand.Rand) {
	d.follower = jkconfig.NewFollower(jkconfig.FollowerOptions{
		Client: d.platform, Timer: d.options.Timer, Log: d.log.Part("config"),
		IsWatcher: d.isLeader, Wait: d.settings.Intervals().Watch(),
	})
	d.editor = jkconfig.NewEditor(jkconfig.EditorOptions{
		Client: d.platform, Timer: d.options.Timer, Log: d.log.Part("config"),
		Follower: d.follower, Jitter: rng.Float64,
	})
	d.rules = &rules{document: d.follower.Newest}
	d.objectives = jkobjective.New(jkobjective.Options{Timer: d.options.Timer, OnEvent: d.countObjective})
	d.follower.OnChange(d.applyConfig)
}

// queueOptions returns the dispatcher's options with the overrides of the
// configuration's capacity section.
func (d *Daemon) queueOptions(doc *jkconfig.Document) jksched.Options {
	o := d.queueDefaults
	c := doc.Capacity("")
	if ratio, set := c.SecondDispatchRatio(); set {
		o.SecondShare = ratio
	}
	if c.SlowFactor() > 0 {
		o.SlowFactor = c.SlowFactor()
	}
	return o
}

func (d *Daemon) schedOptions(rng *rand.Rand) jksched.Options {
	o := jksched.DefaultOptions()
	o.Rand = randv2.New(randv2.NewPCG(rng.Uint64(), rng.Uint64()))
	o.Zone = d.settings.Zone()
	return o
}

func (d *Daemon) gossipOptions() jkgossip.Options {
	i := d.settings.Intervals()
	return jkgossip.Options{
		Self: jkmember.Host{
			Incarnation: d.self, Zone: d.settings.Zone(), Addr: d.Addr(), HTTP: d.HTTP(),
			State: jkmember.StateLive, Disk: d.copies != nil,
		},
		Peers: d.peerHosts(), Timer: d.options.Timer, Log: d.log.Part("member"), Pool: d.pool,
		HeartbeatInterval: i.Heartbeat(), DigestInterval: i.ZoneDigest(), Timeout: i.DeadAfter(),
		MaxSuspects: d.settings.Limits().Suspects(),
		Loads:       func() []jksched.Load { return d.dispatcher.Loads() },
		Revision:    func() uint64 { return d.follower.Revision() },
		OnLoad: func(l jksched.Load) {
			d.home.SetLoad(l)
			d.dispatcher.SetLoad(l)
		},
		OnConfig: d.receiveConfig,
		OnHostDown: func(h jkmember.Host, _ jkmember.Status) {
			d.pool.Disconnect(h.Addr)
			d.refreshEndpoints()
		},
	}
}

func (d *Daemon) peerHosts() []jkmember.Host {
	var hosts []jkmember.Host
	for _, p := range d.settings.Peers() {
		hosts = append(hosts, jkmember.Host{
			Incarnation: jktoken.Incarnation{Host: p.Host()}, Zone: p.Zone(), Addr: p.Address(), State: jkmember.StateLive,
		})
	}
	return hosts
}

// Addr returns the address for other daemons.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// HTTP returns the address for callers and operators.
func (d *Daemon) HTTP() string { return d.httpListener.Addr().String() }

// isLeader reports whether this host watches the platform for its zone.
func (d *Daemon) isLeader() bool {
	leads := false
	d.gossip.WithTable(func(t *jkmember.Table) {
		leader, ok := t.Leader(t.Self().Zone)
		leads = ok && leader.Incarnation == t.Self().Incarnation
	})
	return leads
}

// Start starts the servers and the periodic tasks.
func (d *Daemon) Start(ctx context.Context) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.server = jkwire.NewServer(d.listener, jkwire.ServerOptions{
		Self:   jkwire.Hello{Host: d.self.Host, Start: d.self.Start, Zone: d.settings.Zone(), Version: jkwire.ProtocolVersion},
		Handle: d.handle, IsControl: jkmsg.IsControl, Counters: d.counters, Faults: d.options.Faults, MaxHeldBytes: d.settings.Limits().MemoryBytes() / peersShare,
	})
	d.gossip.Start()
	d.spawn(func() { d.follower.Run(ctx) })
	d.spawn(func() { d.loadConfig(ctx) })
	d.spawn(func() { d.lease.run(ctx) })
	l := d.callers.Listen(d.httpListener, d.intakeLimits(), d.metrics.set)
	d.spawn(func() {
		if err := d.httpServer.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.log.Part("http").Error("server stopped", err)
		}
	})
	tick := d.settings.Intervals().Tick()
	d.stops = append(d.stops,
		d.options.Timer.Every(tick, d.dispatcher.Tick),
		d.options.Timer.Every(time.Second, d.home.Tick),
		d.options.Timer.Every(auditInterval, d.dispatcher.AuditCaches),
		d.options.Timer.Every(time.Second, func() { d.home.MaintainCopies(ctx) }),
		d.options.Timer.Every(d.settings.Intervals().Heartbeat(), d.refreshEndpoints),
		d.options.Timer.Every(d.settings.Intervals().HostList(), d.refreshHostList),
	)
	d.stops = append(d.stops, d.orders.start())
	if d.copies != nil {
		d.stops = append(d.stops,
			d.options.Timer.Every(time.Second, d.maintainCopies),
			d.options.Timer.Every(time.Second, func() { d.endOrphans(ctx) }),
			d.options.Timer.Every(time.Second, func() { d.copySetRecords.claimFormer(ctx) }))
	}
	d.ready.Store(true)
	d.log.Part("daemon").Info("host is serving", "host", d.self, "zone", d.settings.Zone(), "http", d.HTTP(), "listen", d.Addr())
}

// spawn runs a function in a goroutine that Kill waits for.
func (d *Daemon) spawn(run func()) {
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		run()
	}()
}

// loadConfig retries the initial read of the configuration until the platform or a peer
// has provided one.
func (d *Daemon) loadConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.follower.Load(ctx); err == nil {
			return
		}
		d.options.Timer.Wait(time.Second, ctx.Done())
	}
}

// maintainCopies saves the configuration, syncs the history log and removes expired
// programs from it.
func (d *Daemon) maintainCopies() {
	d.saveConfig()
	if err := d.copies.Sync(); err != nil {
		d.log.Part("copy").Error("history log can't be synced", err)
	}
	if _, err := d.copies.Expire(d.options.Timer.Now(), copyEndedRetention, copyOrphanRetention); err != nil {
		d.log.Part("copy").Error("expired programs can't be removed from the history log", err)
	}
}

// Kill closes everything at once without draining, as a crash would. Stop calls it last;
// tests call it to simulate a crash within one process.
func (d *Daemon) Kill() {
	d.ready.Store(false)
	for _, stop := range d.stops {
		stop()
	}
	d.orders.close()
	d.gossip.Stop()
	if d.cancel != nil {
		d.cancel()
	}
	_ = d.httpServer.Close()
	d.pool.Close()
	if d.server != nil {
		d.server.Close()
	}
	d.workers.Wait()
	d.closeSockets()
}

// CutPlatform starts or ends a simulated partition from the platform. It exists for tests.
func (d *Daemon) CutPlatform(partitioned bool) { d.platformTransport.partitioned.Store(partitioned) }

// Web returns the router of the HTTP API, so that a test can add handlers.
func (d *Daemon) Web() *echo.Echo { return d.httpServer.Handler.(*echo.Echo) }

// HasJoined reports whether this host has a configuration and sees at least the given
// number of hosts, itself included, as up.
func (d *Daemon) HasJoined(hosts int) bool {
	up := 0
	d.gossip.WithTable(func(t *jkmember.Table) {
		for _, c := range t.All() {
			if c.Status == jkmember.StatusUp {
				up++
			}
		}
	})
	return up >= hosts && d.follower.Newest().Revision() > 0
}

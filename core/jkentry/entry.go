package jkentry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkprobe"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkupstream"
	"jasmineknot.example/core/jkwire"
)

// Entry is the process that serves callers.
type Entry struct {
	settings Settings
	platform Platform
	timer    *jktimer.Service
	log      jklog.Logger
	metrics  *metrics.Set

	rules    atomic.Pointer[jkruleset.Set]
	leaving  atomic.Bool
	fleet    *jkforward.Fleet
	pool     *jkupstream.Pool
	peers    *jkwire.Pool
	probes   *jkprobe.Prober
	members  *members
	shared   *jkfollow.Shared
	follower *jkfollow.Follower
	registry *registry
	// settled is set once all hosts are likely to be known.
	settled atomic.Bool
	counts  *jkforward.Metrics
	account *jkaccount.Client

	mu        sync.Mutex
	endpoints map[string]EndpointState

	front  *http.Server
	closed []func()
}

// NewEntry listens on all addresses of the settings.
func NewEntry(s Settings, p Platform, timer *jktimer.Service, log jklog.Logger) (*Entry, error) {
	e := &Entry{
		settings: s, platform: p, timer: timer, log: log, metrics: metrics.NewSet(),
		members: newMembers(timer), endpoints: map[string]EndpointState{},
	}
	opt := jksched.DefaultDirectOptions()
	opt.Zone = s.Zone
	opt.Delay = delay
	e.fleet = jkforward.NewFleet(opt, timer)
	opened := e.metrics.NewCounter("jk_connections_opened_total")
	e.pool = jkupstream.NewPool(jkupstream.DefaultOptions(), timer, opened.Inc)
	e.peers = jkwire.NewPool(jkwire.PoolOptions{Self: e.self(), Control: isControl, Counters: &jkwire.Counters{}, SilentAfter: silentAfter, Timer: timer})
	e.closed = append(e.closed, e.peers.Close)
	probes, err := jkprobe.Listen(jkprobe.Options{
		Timer: timer, Log: log.Part("probe"), Host: s.Host, Zone: s.Zone, Addr: s.Inner, Probes: true,
		Zones: e.fleet.SetZoneReachable, Hosts: e.hostChanged, Digest: e.hearDigest,
	})
	if err != nil {
		return nil, err
	}
	e.probes = probes
	e.closed = append(e.closed, probes.Close)
	e.shared = jkfollow.NewShared(jkfollow.SharedOptions{
		Timer: timer, Log: log.Part("follow"), Host: s.Host, Source: p.Source, Pool: e.peers,
		Peers: func() []jkfollow.Peer { return e.members.watchers(probes.Reachable) },
	})
	// One watch over all keys costs a third of the calls of one for each kind.
	e.follower = jkfollow.New(jkfollow.Options{
		Timer: timer, Log: log.Part("follow"), Source: e.shared.ThroughPeers(),
		Apply: e.apply, Settled: func(bool) {},
	})
	e.registry = newRegistry(registryOptions{
		timer: timer, log: log.Part("hosts"), own: HostEntry{Host: s.Host, Zone: s.Zone, Addr: s.Inner},
		put: p.PutHost, swap: p.SwapHost, observes: true, inTouch: e.follower.InTouch,
		heard: probes.Heard, reachable: probes.Reachable, start: startCall,
	})
	return e, e.listen()
}

// membersSettled reports whether all hosts are likely to be known: the store was in
// reach once all hosts that started with this one had the time to enter themselves.
func (e *Entry) membersSettled() bool {
	if e.settled.Load() {
		return true
	}
	if !e.follower.InTouch() || e.timer.Now().Sub(e.members.began) < newFor {
		return false
	}
	e.settled.Store(true)
	e.log.Info("hosts settled", "copies", len(e.members.copies()))
	return true
}

func (e *Entry) self() jkwire.Hello {
	return jkwire.Hello{Host: e.settings.Host, Zone: e.settings.Zone, Version: jkwire.ProtocolVersion}
}

// silentAfter is how long another host may take to send anything on a connection on
// which a call got no answer: longer than a watch of the store through that host.
const silentAfter = 1500 * time.Millisecond

// isControl counts all messages between hosts as control traffic: requests
// themselves don't pass between hosts.
func isControl(string) bool { return true }

// handle answers one message of another host.
func (e *Entry) handle(ctx context.Context, s *jkwire.Incoming) {
	if s.Type() != jkfollow.TypeWatch {
		e.account.Handle(ctx, s)
		return
	}
	if err := e.shared.Handle(ctx, s); err != nil {
		e.log.Info("follower not answered", "host", s.Peer().Host, "error", err)
	}
}

// crossZone is the assumed one-way delay between two zones: the larger of the
// users' published figures.
const crossZone = 1400 * time.Microsecond

func delay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return crossZone
}

// digestEvery is the interval at which entries tell each other the loads that
// endpoints have reported: a third of the time for which a report counts.
const digestEvery = 200 * time.Millisecond

func (e *Entry) sendDigest() {
	data, err := e.fleet.NextDigest()
	if err != nil {
		e.log.Warn("loads not sent", "error", err)
		return
	}
	if data != nil {
		e.probes.SendDigest(data)
	}
}

func (e *Entry) hearDigest(data []byte) {
	if err := e.fleet.ApplyDigest(data); err != nil {
		e.log.Warn("loads not understood", "error", err)
	}
}

// hostChanged drops the connection to a lost host, whose bytes in flight would
// hold up later calls.
func (e *Entry) hostChanged(p jkprobe.Peer, reachable bool, _ time.Duration) {
	if !reachable {
		e.peers.Drop(p.Addr)
	}
}

// lost reports whether a host is lost for so long that all hosts pass it over. One that
// has just started uses what other hosts have recorded in the store.
func (e *Entry) lost(host string) bool { return e.probes.Lost(host) || e.registry.isGone(host) }

// zoneLostAfter is how long a zone is lost before turns count without it: longer than
// the interval of probes. A host that was paused takes all zones for lost until its next
// probes are answered.
const zoneLostAfter = 300 * time.Millisecond

func (e *Entry) zoneReachable(zone string) bool {
	return e.probes.ZoneLostFor(zone) < zoneLostAfter
}

func (e *Entry) listen() error {
	e.account = jkaccount.NewClient(jkaccount.Options{
		Timer: e.timer, Log: e.log.Part("account"), Pool: e.peers, Zone: e.settings.Zone,
		Metrics: jkaccount.NewMetrics(e.metrics), Losses: e.settings.LostDisks, Zones: len(e.settings.Zones),
		MembersSettled: e.membersSettled, Copies: e.members.copies, Reachable: e.probes.Reachable, Lost: e.lost, Silent: e.probes.Silent,
		ZoneReachable: e.zoneReachable, ZoneSettled: e.probes.ZoneSettled, Relays: e.probes.Answering,
	})
	e.counts = jkforward.NewMetrics(e.metrics)
	handler := jkforward.NewHandler(jkforward.Options{
		Timer: e.timer, Log: e.log.Part("forward"), Metrics: e.counts, Rules: e.rules.Load,
		Dialect: e.platform.Dialect, Account: e.account.Account(), Fleet: e.fleet, Pool: e.pool,
		Leaving: e.leaving.Load,
	})
	inner, err := net.Listen("tcp", e.settings.Inner)
	if err != nil {
		return eris.Wrap(err, "listen for other hosts")
	}
	server := jkwire.NewServer(inner, jkwire.ServerOptions{
		Self: e.self(), Handle: func(ctx context.Context, s *jkwire.Incoming) { e.handle(ctx, s) }, Control: isControl, Counters: &jkwire.Counters{},
	})
	e.closed = append(e.closed, server.Close)
	l, err := net.Listen("tcp", e.settings.Front)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	e.front = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ErrorLog: nil,
	}
	go e.serve(e.front, l)
	if err := e.serveEcho(e.settings.Ready, e.operations()); err != nil {
		return err
	}
	return e.serveEcho(e.settings.Metrics, e.operations())
}

// Bounds for callers until the rules name their own. The idle timeout exceeds
// that of the rules, so that a caller never meets a close that it couldn't
// expect.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 64 << 10
)

func (e *Entry) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("callers can't be served", err, "addr", l.Addr().String())
	}
}

func (e *Entry) serveEcho(addr string, handler http.Handler) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	e.closed = append(e.closed, func() { _ = s.Close() })
	go e.serve(s, l)
	return nil
}

func (e *Entry) operations() http.Handler {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.GET("/v1/readyz", func(c echo.Context) error {
		if e.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	router.GET("/metrics", func(c echo.Context) error { return writeMetrics(c, e.metrics) })
	return router
}

func writeMetrics(c echo.Context, set *metrics.Set) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	var out io.Writer = c.Response()
	set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
	return nil
}

// Ready reports whether the entry takes new connections. An entry that is cut
// off from all endpoints of a service leaves callers to entries of other zones.
func (e *Entry) Ready() bool {
	rules := e.rules.Load()
	return !e.leaving.Load() && rules != nil && e.fleet.Endpoints() > 0 && !e.fleet.HasUnreachableService(rules.Services())
}

// Run serves until stop is closed, then lets running requests end.
func (e *Entry) Run(stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.follower.Run(ctx)
	defer e.timer.Every(digestEvery, e.sendDigest)()
	go e.registry.run(ctx)
	e.log.Info("entry started", "host", e.settings.Host, "zone", e.settings.Zone, "front", e.settings.Front)
	<-stop
	e.drain()
	for _, end := range e.closed {
		end()
	}
}

// outOfRotation is how long the platform may go on to send new connections after
// the entry said that it isn't ready: two checks, one a second, and the time of
// one answer.
const outOfRotation = 2500 * time.Millisecond

// killMargin is kept free before the platform ends the process.
const killMargin = 600 * time.Millisecond

// flushTime is how long a stopping entry goes on to deliver records to copies in reach.
const flushTime = killMargin / 2

func (e *Entry) drain() {
	e.leaving.Store(true)
	e.log.Info("entry leaves", "in_flight", e.counts.InFlight())
	e.timer.Wait(min(outOfRotation, e.settings.Grace/2), nil)
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.Grace-outOfRotation-killMargin)
	defer cancel()
	if err := e.front.Shutdown(ctx); err != nil {
		e.log.Warn("requests still running at the end", "in_flight", e.counts.InFlight(), "error", err)
	}
	e.account.Flush(flushTime)
	e.log.Info("entry stopped")
}

// apply takes one change of the platform's store.
func (e *Entry) apply(item jkfollow.Item) {
	change, err := e.platform.Decode(item)
	var unreadable *UnreadableError
	switch {
	case errors.As(err, &unreadable):
		e.log.Info("entry of the store not used", "key", item.Key, "detail", unreadable.Detail)
	case err != nil:
		e.log.Warn("change of the store not decoded", "key", item.Key, "error", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case change.Rules != nil:
		e.setRules(change.Rules)
	case change.Endpoint != nil:
		e.setEndpoint(*change.Endpoint, item.Revision)
	case change.EndpointID != "":
		e.removeEndpoint(change.EndpointID, item.Revision)
	case change.Host != nil:
		e.members.set(*change.Host)
		e.registry.set(*change.Host, item.Revision)
		e.probes.SetPeer(jkprobe.Peer{Host: change.Host.Host, Addr: change.Host.Addr, Zone: change.Host.Zone, Always: change.Host.Ledger})
	case change.HostName != "":
		e.members.remove(change.HostName)
		e.registry.remove(change.HostName)
		e.probes.RemovePeer(change.HostName)
	}
}

// setRules puts a version into force unless a newer one is.
func (e *Entry) setRules(next *jkruleset.Set) {
	now := e.rules.Load()
	if now != nil && next.Version() <= now.Version() {
		e.log.Info("rules not newer", "version", next.Version(), "in_force", now.Version())
		return
	}
	e.rules.Store(next)
	e.log.Info("rules in force", "version", next.Version(), "routes", next.Routes())
}

func (e *Entry) setEndpoint(s EndpointState, revision int64) {
	known, ok := e.endpoints[s.Endpoint.ID]
	if ok && known.Born != s.Born {
		// A new start holds nothing of before.
		e.fleet.RemoveEndpoint(s.Endpoint.ID)
	}
	if !ok || known.Endpoint.State != s.Endpoint.State || known.Addr != s.Addr || known.Born != s.Born {
		e.log.Info("endpoint changed", "endpoint", s.Endpoint.ID, "service", s.Endpoint.Service, "addr", s.Addr,
			"state", s.Endpoint.State, "revision", revision)
	}
	e.endpoints[s.Endpoint.ID] = s
	e.fleet.SetEndpoint(s.Endpoint, s.Addr)
}

func (e *Entry) removeEndpoint(id string, revision int64) {
	known, ok := e.endpoints[id]
	if !ok {
		return
	}
	e.log.Info("endpoint removed", "endpoint", id, "revision", revision)
	delete(e.endpoints, id)
	e.fleet.RemoveEndpoint(id)
	e.pool.CloseIdle(known.Addr)
}

// newFor is how long a host counts as new: longer than another entry that the
// store turns away takes to hear of it through its peers.
const newFor = 8 * time.Second

// members are the hosts that are known from the platform's store.
type members struct {
	timer *jktimer.Service
	began time.Time

	mu    sync.Mutex
	hosts map[string]HostEntry
	since map[string]time.Time
}

func newMembers(timer *jktimer.Service) *members {
	return &members{timer: timer, began: timer.Now(), hosts: map[string]HostEntry{}, since: map[string]time.Time{}}
}

func (m *members) set(h HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hosts[h.Host].Addr != h.Addr {
		m.since[h.Host] = m.timer.Now()
	}
	m.hosts[h.Host] = h
}

// isNew reports whether other hosts may not know a host. What this process
// found at its own start isn't new. The caller holds the lock.
func (m *members) isNew(host string) bool {
	since := m.since[host]
	return since.Sub(m.began) > newFor && m.timer.Now().Sub(since) < newFor
}

func (m *members) has(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.hosts[host]
	return ok
}

func (m *members) remove(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, host)
}

// copies returns the hosts with a copy of the ledger that stay.
func (m *members) copies() []jkaccount.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []jkaccount.Copy
	for _, h := range m.hosts {
		if h.Ledger && !h.Leaving {
			out = append(out, jkaccount.Copy{Host: h.Host, Addr: h.Addr, Zone: h.Zone, New: m.isNew(h.Host)})
		}
	}
	slices.SortFunc(out, func(a, b jkaccount.Copy) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}

// watchers returns the entries that may watch the store for others.
func (m *members) watchers(reachable func(host string) bool) []jkfollow.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []jkfollow.Peer
	for _, h := range m.hosts {
		if !h.Ledger && !h.Leaving && reachable(h.Host) {
			out = append(out, jkfollow.Peer{Host: h.Host, Addr: h.Addr})
		}
	}
	return out
}

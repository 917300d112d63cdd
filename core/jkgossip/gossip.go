// Package jkgossip exchanges membership, endpoint loads and crash reports between hosts:
// heartbeats within a zone, digests between zones, and pulls of a newer zone digest or
// configuration from a peer. The membership table itself is in package jkmember.
package jkgossip

import (
	"context"
	"sort"
	"sync"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkquarantine"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
	"jasmineknot.example/core/jkwire"
)

const (
	// zoneLoadBytesPerSecond and digestLoadBytesPerSecond limit the load digests sent
	// within the zone and between zones. The limit for all control traffic is 10 KB/s,
	// and a host that sends its zone's digests uses both.
	zoneLoadBytesPerSecond   = 1000
	digestLoadBytesPerSecond = 400
	// typicalLoadBytes is the typical size of one load digest.
	typicalLoadBytes = 90
	// maxLoadsPerMessage bounds the load digests in one message.
	maxLoadsPerMessage = 64
	// minPeerSpacing times the number of peers is the least interval of a host's
	// heartbeats. With 45 peers the interval is 1 s, which leaves three heartbeats
	// within the timeout.
	minPeerSpacing = 22 * time.Millisecond
	// heartbeatsPerDescription is the number of heartbeats after which a host sends its
	// whole description again, for hosts that missed it.
	heartbeatsPerDescription = 8
)

// Options configures a Service.
type Options struct {
	Self              jkmember.Host
	Peers             []jkmember.Host
	Timer             *jktimer.Service
	Log               jklog.Logger
	Pool              *jkwire.Pool
	HeartbeatInterval time.Duration
	// DigestInterval is the interval at which a zone sends its digest to the others.
	DigestInterval time.Duration
	// Timeout is the silence after which a host counts as down.
	Timeout time.Duration
	// MaxSuspects bounds the requests that are remembered for having crashed an endpoint.
	MaxSuspects int
	// Loads returns the load digests of the endpoints that this host dispatches to.
	Loads func() []jksched.Load
	// Revision returns the configuration revision in force on this host.
	Revision func() uint64
	// OnLoad receives the load digests of other hosts' endpoints.
	OnLoad func(jksched.Load)
	// OnConfig receives a newer configuration that was pulled from a peer.
	OnConfig func(jkmsg.Config)
	// OnHostDown is called for a host that went down or became unreachable.
	OnHostDown func(jkmember.Host, jkmember.Status)
}

// Service sends and receives the heartbeats and digests of one host.
type Service struct {
	options Options

	mu             sync.Mutex
	table          *jkmember.Table
	suspects       *jkquarantine.Table
	loads          map[string]loadRow
	pulling        map[string]bool
	rotation       int
	cancelTimers   []func()
	heartbeatCount int
	lastHeartbeat  time.Time
	// describeNext makes the next heartbeat carry this host's whole description, because
	// a host that doesn't have it has appeared.
	describeNext bool
	// lastRunning is the last time at which this process is known to have run.
	lastRunning time.Time
	// zoneCredit and digestCredit limit the load digests in heartbeats and in zone
	// digests.
	zoneCredit   credit
	digestCredit credit
}

// loadRow is the newest load digest of an endpoint and when this host last sent it.
type loadRow struct {
	load jksched.Load
	sent time.Time
	// fromOtherZone is set if the digest came directly from another zone, so that this
	// host relays it within its own.
	fromOtherZone bool
}

// New returns a service that sends nothing until Start.
func New(o Options) *Service {
	s := &Service{
		options: o,
		table: jkmember.New(o.Timer.Now(), jkmember.Options{
			Self: o.Self, Timeout: o.Timeout, Forget: time.Hour,
		}),
		suspects: jkquarantine.New(o.MaxSuspects),
		loads:    map[string]loadRow{},
		pulling:  map[string]bool{},
	}
	for _, p := range o.Peers {
		s.table.Seed(p)
	}
	s.table.Tick(o.Timer.Now())
	return s
}

// Start begins to send heartbeats and digests.
func (s *Service) Start() {
	s.cancelTimers = append(s.cancelTimers,
		s.options.Timer.Every(s.options.HeartbeatInterval, s.sendPeriodicHeartbeat),
		s.options.Timer.Every(s.options.HeartbeatInterval/2, s.recordRunning),
		s.options.Timer.Every(s.options.DigestInterval, s.sendDigests))
	go s.SendHeartbeat()
}

// Stop stops sending heartbeats and digests.
func (s *Service) Stop() {
	for _, stop := range s.cancelTimers {
		stop()
	}
}

// SetState announces a new state of this host at once.
func (s *Service) SetState(state jkmember.State) {
	s.mu.Lock()
	self := s.table.Self()
	self.State = state
	s.table.SetSelf(self)
	s.mu.Unlock()
	s.SendHeartbeat()
}

// SetIncarnation announces a new incarnation of this host.
func (s *Service) SetIncarnation(i jktoken.Incarnation) {
	s.mu.Lock()
	self := s.table.Self()
	self.Incarnation = i
	s.table.SetSelf(self)
	s.mu.Unlock()
	s.SendHeartbeat()
}

// WithTable calls a function with the membership table, under the service's lock.
func (s *Service) WithTable(f func(*jkmember.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// Seed adds a configured host to the membership table.
func (s *Service) Seed(h jkmember.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, status := s.table.Status(h.Incarnation.Host); status == jkmember.StatusUnknown {
		s.describeNext = true
	}
	s.table.Seed(h)
}

// IsRefused reports whether the quarantine keeps a home from running a request now. The
// fingerprint identifies the request's content.
func (s *Service) IsRefused(fingerprint string, home jktoken.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.IsRefused(s.options.Timer.Now(), fingerprint, home)
}

// Crashes returns the number of endpoint crashes recorded for a fingerprint.
func (s *Service) Crashes(fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Crashes(fingerprint)
}

// RecordCrash records the number of endpoint crashes that a request has caused at a home. It
// sends a heartbeat with it to the zone at once, and digests to the other zones if this host
// sends them in the current round.
func (s *Service) RecordCrash(fingerprint string, home jktoken.Incarnation, crashes int) {
	s.mu.Lock()
	s.suspects.Crashed(s.options.Timer.Now(), fingerprint, home, crashes)
	s.mu.Unlock()
	s.options.Log.Warn("endpoint crashed while running a request", "fingerprint", fingerprint, "home", home)
	go s.SendHeartbeat()
	go s.sendDigests()
}

// Quarantined returns the fingerprints that every home refuses.
func (s *Service) Quarantined() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Quarantined(s.options.Timer.Now())
}

// Suspects returns every fingerprint that has crashed an endpoint, with the time since its
// last crash.
func (s *Service) Suspects() []jkmsg.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.All(s.options.Timer.Now())
}

// Lift ends the quarantine of a fingerprint at this host and reports whether the
// fingerprint was known.
func (s *Service) Lift(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Lift(s.options.Timer.Now(), fingerprint)
}

// Loads returns the newest load digests received from other hosts, and those of this host's
// endpoints that were sent in a heartbeat, by endpoint.
func (s *Service) Loads() []jksched.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []jksched.Load
	for _, r := range s.loads {
		out = append(out, r.load)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// SendHeartbeat sends a heartbeat with this host's description to every host of the zone.
func (s *Service) SendHeartbeat() { s.broadcastHeartbeat(true) }

// recordRunning records at short intervals that this process runs, so that a pause is noticed.
func (s *Service) recordRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipPause(s.options.Timer.Now())
}

// updateTable updates the status of every host. The caller holds the lock.
func (s *Service) updateTable(now time.Time) []jkmember.HostStatus {
	s.skipPause(now)
	return s.table.Tick(now)
}

// skipPause excludes a pause of this process from the other hosts' silence. The caller holds
// the lock.
func (s *Service) skipPause(now time.Time) {
	if pause := now.Sub(s.lastRunning); !s.lastRunning.IsZero() && pause > s.options.Timeout/2 {
		s.options.Log.Warn("this process was paused, pause not counted as silence of other hosts", "pause", pause)
		s.table.SkipPause(pause)
	}
	s.lastRunning = now
}

// sendPeriodicHeartbeat sends a heartbeat, or skips it if the zone is so large that
// minPeerSpacing requires a longer interval.
func (s *Service) sendPeriodicHeartbeat() {
	s.mu.Lock()
	peers := len(s.zonePeers())
	elapsed := s.options.Timer.Now().Sub(s.lastHeartbeat)
	s.mu.Unlock()
	if elapsed+s.options.HeartbeatInterval/2 > time.Duration(peers)*minPeerSpacing {
		s.broadcastHeartbeat(false)
	}
}

// broadcastHeartbeat sends a heartbeat to every other host of the zone, with this host's
// description if asked or due.
func (s *Service) broadcastHeartbeat(describe bool) {
	own := s.options.Loads()
	s.mu.Lock()
	now := s.options.Timer.Now()
	changes := s.updateTable(now)
	peers := s.zonePeers()
	self := s.table.Self()
	interval := min(now.Sub(s.lastHeartbeat), time.Second)
	hb := jkmsg.Heartbeat{
		Incarnation: self.Incarnation,
		Revision:    s.options.Revision(),
		Loads:       s.pickLoads(now, own, s.zoneCredit.take(len(peers), interval, zoneLoadBytesPerSecond)),
		Suspects:    s.suspects.Export(now),
		Zones:       s.table.DirectZones(now, interval+s.options.HeartbeatInterval),
	}
	s.heartbeatCount++
	if describe || s.describeNext || s.heartbeatCount%heartbeatsPerDescription == 0 {
		hb.Host = &self
	}
	s.describeNext = false
	s.lastHeartbeat = now
	s.mu.Unlock()
	for _, c := range changes {
		s.options.Log.Warn("host down or unreachable", "host", c.Host.Incarnation, "status", c.Status)
		s.options.OnHostDown(c.Host, c.Status)
	}
	s.notify(peers, jkmsg.TypeHeartbeat, &hb)
}

// notify sends one message to several hosts. Errors aren't reported, since the receiver
// notices the missing message.
func (s *Service) notify(hosts []jkmember.Host, messageType string, message any) {
	body, err := jkwire.Encode(message)
	if err != nil {
		s.options.Log.Error("message can't be encoded", err, "type", messageType)
		return
	}
	for _, h := range hosts {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
			defer cancel()
			_ = s.options.Pool.Notify(ctx, h.Addr, messageType, body)
		}()
	}
}

// zonePeers returns the other hosts of the zone. It includes those that are down, because a
// restarted host learns of this one only from its heartbeats.
func (s *Service) zonePeers() []jkmember.Host {
	var peers []jkmember.Host
	self := s.table.Self()
	for _, c := range s.table.All() {
		if c.Host.Zone == self.Zone && c.Host.Incarnation.Host != self.Incarnation.Host && c.Host.Addr != "" {
			peers = append(peers, c.Host)
		}
	}
	return peers
}

// credit is a token bucket that counts the load digests that may be sent.
type credit float64

// take refills the bucket for an interval and takes out the digests that may go into one
// message to each of n peers.
func (c *credit) take(n int, interval time.Duration, bytesPerSecond float64) int {
	if n == 0 {
		return 0
	}
	*c += credit(bytesPerSecond * interval.Seconds() / typicalLoadBytes / float64(n))
	allowed := min(maxLoadsPerMessage, int(*c))
	*c = min(*c-credit(allowed), maxLoadsPerMessage)
	return allowed
}

// pickLoads returns up to n load digests for a heartbeat, of own endpoints and of other
// zones, least recently sent first.
func (s *Service) pickLoads(now time.Time, own []jksched.Load, n int) []jksched.Load {
	type candidate struct {
		load jksched.Load
		sent time.Time
	}
	var candidates []candidate
	for _, l := range own {
		candidates = append(candidates, candidate{load: l, sent: s.loads[l.Endpoint].sent})
	}
	for _, r := range s.loads {
		if r.fromOtherZone {
			candidates = append(candidates, candidate{load: r.load, sent: r.sent})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].sent.Before(candidates[j].sent) })
	var out []jksched.Load
	for _, c := range candidates[:min(n, len(candidates))] {
		r := s.loads[c.load.Endpoint]
		r.load = c.load
		r.sent = now
		s.loads[c.load.Endpoint] = r
		out = append(out, c.load)
	}
	return out
}

// sendDigests sends this zone's digest to one host of each other zone, if this host sends
// digests in the current round. The clock divided by the interval gives the round.
func (s *Service) sendDigests() {
	own := s.options.Loads()
	s.mu.Lock()
	now := s.options.Timer.Now()
	self := s.table.Self()
	round := int(now.UnixNano() / int64(s.options.DigestInterval))
	if !s.table.SendsDigest(round) {
		s.mu.Unlock()
		return
	}
	digest, _ := s.table.Zone(self.Zone)
	targets := s.digestTargets()
	m := jkmsg.ZoneDigest{
		Zone:     self.Zone,
		Addr:     self.Addr,
		Version:  digest.Version,
		Revision: s.options.Revision(),
		Loads:    s.zoneLoads(own, s.digestCredit.take(len(targets), s.options.DigestInterval, digestLoadBytesPerSecond)),
		Suspects: s.suspects.Export(now),
	}
	s.mu.Unlock()
	s.notify(targets, jkmsg.TypeZoneDigest, &m)
}

// digestTargets returns one host of each other zone, in rotation, so that a failed host
// doesn't cut its zone off from digests.
func (s *Service) digestTargets() []jkmember.Host {
	s.rotation++
	var targets []jkmember.Host
	own := s.table.Self().Zone
	for _, zone := range s.table.Zones() {
		if zone == own {
			continue
		}
		candidates := s.table.Up(zone)
		if len(candidates) == 0 {
			candidates = s.knownHosts(zone)
		}
		if len(candidates) > 0 {
			targets = append(targets, candidates[s.rotation%len(candidates)])
		}
	}
	return targets
}

// knownHosts returns all hosts of a zone that have an address, whatever their status.
func (s *Service) knownHosts(zone string) []jkmember.Host {
	var hosts []jkmember.Host
	for _, c := range s.table.All() {
		if c.Host.Zone == zone && c.Host.Addr != "" {
			hosts = append(hosts, c.Host)
		}
	}
	return hosts
}

// zoneLoads returns up to n load digests of this zone's endpoints, in rotation.
func (s *Service) zoneLoads(own []jksched.Load, n int) []jksched.Load {
	all := append([]jksched.Load(nil), own...)
	for _, r := range s.loads {
		if !r.fromOtherZone && !contains(own, r.load.Endpoint) {
			all = append(all, r.load)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Endpoint < all[j].Endpoint })
	if len(all) <= n {
		return all
	}
	start := (s.rotation * n) % len(all)
	return append(all[start:], all[:start]...)[:n]
}

func contains(loads []jksched.Load, endpoint string) bool {
	for _, l := range loads {
		if l.Endpoint == endpoint {
			return true
		}
	}
	return false
}

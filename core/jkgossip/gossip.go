// Package jkgossip keeps a host's knowledge of the others fresh: heartbeats
// within its zone, digests between zones, and pulls of what a peer knows better.
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
	// zoneLoadBytes and digestLoadBytes are the bytes a second that load digests
	// may use within the zone and between zones. The limit for all control
	// traffic is 10 KB/s, and the hosts that speak for a zone need both.
	zoneLoadBytes   = 1000
	digestLoadBytes = 400
	// loadBytes is the typical size of one load digest.
	loadBytes = 90
	// maxLoads bounds the digests in one message.
	maxLoads = 64
	// spacing is the least time between a host's heartbeats for each peer. At
	// 45 peers it stretches the interval to 1 s, which leaves three beats
	// within the timeout.
	spacing = 22 * time.Millisecond
	// describeEvery is the number of beats after which a host sends its whole
	// description again, for hosts that missed it.
	describeEvery = 8
)

// Options holds what the service needs.
type Options struct {
	Self  jkmember.Host
	Peers []jkmember.Host
	Timer *jktimer.Service
	Log   jklog.Logger
	Pool  *jkwire.Pool
	// Heartbeat and ZoneDigest are the intervals; Timeout is the silence after
	// which a host counts as down.
	Heartbeat  time.Duration
	ZoneDigest time.Duration
	Timeout    time.Duration
	Suspects   int
	// Loads returns the digests of the endpoints that this host dispatches to.
	Loads func() []jksched.Load
	// Revision returns the configuration revision in force here.
	Revision func() uint64
	// TakeLoad receives digests of other hosts' endpoints.
	TakeLoad func(jksched.Load)
	// TakeConfig receives a newer configuration of a peer.
	TakeConfig func(jkmsg.Config)
	// HostDown is told about hosts that went down or became unreachable.
	HostDown func(jkmember.Host, jkmember.Status)
}

// Service is the membership service of one host.
type Service struct {
	options Options

	mu       sync.Mutex
	table    *jkmember.Table
	suspects *jkquarantine.Table
	loads    map[string]loadRow
	pulling  map[string]bool
	rotation int
	stops    []func()
	beats    int
	lastBeat time.Time
	// describe makes the next heartbeat carry the whole description, for a host
	// that does not know this one yet.
	describe bool
	// awake is the last time at which this host was certainly running.
	awake time.Time
	// zoneCredit and digestCredit limit the load digests sent.
	zoneCredit   credit
	digestCredit credit
}

// loadRow is the newest digest of an endpoint elsewhere.
type loadRow struct {
	load jksched.Load
	sent time.Time
	// foreign tells that the digest came from another zone, so that this host
	// passes it on within its own.
	foreign bool
}

// New returns a service that has not started.
func New(o Options) *Service {
	s := &Service{
		options: o,
		table: jkmember.New(o.Timer.Now(), jkmember.Options{
			Self: o.Self, Timeout: o.Timeout, Forget: time.Hour,
		}),
		suspects: jkquarantine.New(o.Suspects),
		loads:    map[string]loadRow{},
		pulling:  map[string]bool{},
	}
	for _, p := range o.Peers {
		s.table.Seed(p)
	}
	s.table.Tick(o.Timer.Now())
	return s
}

// Start begins to send.
func (s *Service) Start() {
	s.stops = append(s.stops,
		s.options.Timer.Every(s.options.Heartbeat, s.periodicBeat),
		s.options.Timer.Every(s.options.Heartbeat/2, s.stayAwake),
		s.options.Timer.Every(s.options.ZoneDigest, s.sendDigests))
	go s.Beat()
}

// Stop ends sending.
func (s *Service) Stop() {
	for _, stop := range s.stops {
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
	s.Beat()
}

// SetIncarnation announces a new incarnation of this host.
func (s *Service) SetIncarnation(i jktoken.Incarnation) {
	s.mu.Lock()
	self := s.table.Self()
	self.Incarnation = i
	s.table.SetSelf(self)
	s.mu.Unlock()
	s.Beat()
}

// Read runs a function on the membership table.
func (s *Service) Read(f func(*jkmember.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// Seed adds a configured host.
func (s *Service) Seed(h jkmember.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, status := s.table.Status(h.Incarnation.Host); status == jkmember.StatusUnknown {
		s.describe = true
	}
	s.table.Seed(h)
}

// IsRefused reports whether a home may not run a content now.
func (s *Service) IsRefused(fingerprint string, home jktoken.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.IsRefused(s.options.Timer.Now(), fingerprint, home)
}

// Crashes returns the number of known crashes of a content.
func (s *Service) Crashes(fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Crashes(fingerprint)
}

// Crashed notes that a content has crashed endpoints so many times and tells the
// zone at once.
func (s *Service) Crashed(fingerprint string, home jktoken.Incarnation, crashes int) {
	s.mu.Lock()
	s.suspects.Crashed(s.options.Timer.Now(), fingerprint, home, crashes)
	s.mu.Unlock()
	s.options.Log.Warn("endpoint crashed while running a request", "fingerprint", fingerprint, "home", home)
	go s.Beat()
	go s.sendDigests()
}

// Quarantined returns the contents that are refused everywhere.
func (s *Service) Quarantined() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Quarantined(s.options.Timer.Now())
}

// Suspects returns every content that has crashed an endpoint, with the time
// since its last crash.
func (s *Service) Suspects() []jkmsg.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.All(s.options.Timer.Now())
}

// Lift ends the quarantine of a content at this host and reports whether the
// content was known.
func (s *Service) Lift(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Lift(s.options.Timer.Now(), fingerprint)
}

// Loads returns the newest digests of all endpoints elsewhere.
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

// Beat sends a heartbeat to every host of the zone.
func (s *Service) Beat() { s.beat(true) }

// stayAwake shows tick that this host runs.
func (s *Service) stayAwake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipPause(s.options.Timer.Now())
}

// tick updates the table. The caller holds the lock.
func (s *Service) tick(now time.Time) []jkmember.Change {
	s.skipPause(now)
	return s.table.Tick(now)
}

func (s *Service) skipPause(now time.Time) {
	if pause := now.Sub(s.awake); !s.awake.IsZero() && pause > s.options.Timeout/2 {
		s.options.Log.Warn("this host did not run for a while", "pause", pause)
		s.table.SkipPause(pause)
	}
	s.awake = now
}

// periodicBeat sends a heartbeat unless the zone is so large that the last one
// was sent too short a time ago.
func (s *Service) periodicBeat() {
	s.mu.Lock()
	peers := len(s.zonePeers())
	due := s.options.Timer.Now().Sub(s.lastBeat)
	s.mu.Unlock()
	if due+s.options.Heartbeat/2 > time.Duration(peers)*spacing {
		s.beat(false)
	}
}

func (s *Service) beat(describe bool) {
	own := s.options.Loads()
	s.mu.Lock()
	now := s.options.Timer.Now()
	changes := s.tick(now)
	peers := s.zonePeers()
	self := s.table.Self()
	interval := min(now.Sub(s.lastBeat), time.Second)
	hb := jkmsg.Heartbeat{
		Incarnation: self.Incarnation,
		Revision:    s.options.Revision(),
		Loads:       s.pickLoads(now, own, s.zoneCredit.take(len(peers), interval, zoneLoadBytes)),
		Suspects:    s.suspects.Export(now),
		Zones:       s.table.DirectZones(now, interval+s.options.Heartbeat),
	}
	s.beats++
	if describe || s.describe || s.beats%describeEvery == 0 {
		hb.Host = &self
	}
	s.describe = false
	s.lastBeat = now
	s.mu.Unlock()
	for _, c := range changes {
		s.options.Log.Warn("host is not heard", "host", c.Host.Incarnation, "status", c.Status)
		s.options.HostDown(c.Host, c.Status)
	}
	s.notify(peers, jkmsg.TypeHeartbeat, &hb)
}

// notify sends one message to several hosts. A lost one needs no report; the
// silence shows at the receiver.
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

// zonePeers returns the other hosts of the zone, down ones included, because
// only a heartbeat tells a restarted host that this one is there.
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

// credit is the number of load digests that may be sent, in fractions.
type credit float64

// take returns how many digests fit into one message to each of n peers.
func (c *credit) take(n int, interval time.Duration, bytesPerSecond float64) int {
	if n == 0 {
		return 0
	}
	*c += credit(bytesPerSecond * interval.Seconds() / loadBytes / float64(n))
	fit := min(maxLoads, int(*c))
	*c = min(*c-credit(fit), maxLoads)
	return fit
}

// pickLoads returns own digests and foreign ones, those first that were sent
// longest ago.
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
		if r.foreign {
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

// sendDigests tells one host of each other zone about this zone, if it is this
// host's turn by the clock.
func (s *Service) sendDigests() {
	own := s.options.Loads()
	s.mu.Lock()
	now := s.options.Timer.Now()
	self := s.table.Self()
	round := int(now.UnixNano() / int64(s.options.ZoneDigest))
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
		Loads:    s.zoneLoads(own, s.digestCredit.take(len(targets), s.options.ZoneDigest, digestLoadBytes)),
		Suspects: s.suspects.Export(now),
	}
	s.mu.Unlock()
	s.notify(targets, jkmsg.TypeZoneDigest, &m)
}

// digestTargets returns one host of each other zone, in turn, so that a dead
// host of a zone does not keep the others from being heard.
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
			candidates = s.known(zone)
		}
		if len(candidates) > 0 {
			targets = append(targets, candidates[s.rotation%len(candidates)])
		}
	}
	return targets
}

func (s *Service) known(zone string) []jkmember.Host {
	var hosts []jkmember.Host
	for _, c := range s.table.All() {
		if c.Host.Zone == zone && c.Host.Addr != "" {
			hosts = append(hosts, c.Host)
		}
	}
	return hosts
}

// zoneLoads returns digests of this zone's endpoints in turn.
func (s *Service) zoneLoads(own []jksched.Load, n int) []jksched.Load {
	all := append([]jksched.Load(nil), own...)
	for _, r := range s.loads {
		if !r.foreign && !contains(own, r.load.Endpoint) {
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

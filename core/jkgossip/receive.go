package jkgossip

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkwire"
)

// Handle answers a membership message. It reports false for other types.
func (s *Service) Handle(in *jkwire.Incoming) bool {
	switch in.Type() {
	case jkmsg.TypeHeartbeat:
		var m jkmsg.Heartbeat
		if s.decode(in, &m) {
			s.takeHeartbeat(m)
		}
	case jkmsg.TypeZoneDigest:
		var m jkmsg.ZoneDigest
		if s.decode(in, &m) {
			s.takeDigest(m)
		}
	case jkmsg.TypeZonePull:
		var m jkmsg.ZonePull
		if err := in.Decode(&m); err != nil {
			_ = in.Fail("bad_message", err.Error())
			return true
		}
		s.mu.Lock()
		d, known := s.table.Zone(m.Zone)
		s.mu.Unlock()
		if !known {
			_ = in.Fail("unknown_zone", "zone "+m.Zone+" is not known here")
			return true
		}
		_ = in.End(&d)
	default:
		return false
	}
	return true
}

// decode reads a message and acknowledges it.
func (s *Service) decode(in *jkwire.Incoming, m any) bool {
	if err := in.Decode(m); err != nil {
		_ = in.Fail("bad_message", err.Error())
		return false
	}
	_ = in.End(nil)
	return true
}

func (s *Service) takeHeartbeat(m jkmsg.Heartbeat) {
	s.mu.Lock()
	now := s.options.Timer.Now()
	if m.Host != nil && m.Host.Zone == s.table.Self().Zone {
		known, _ := s.table.Status(m.Incarnation.Host)
		s.describe = s.describe || known.Incarnation != m.Incarnation
		s.table.ObserveHost(now, *m.Host)
	}
	if !s.table.RefreshHost(now, m.Incarnation) {
		s.mu.Unlock()
		return
	}
	sender, _ := s.table.Status(m.Incarnation.Host)
	s.suspects.Merge(now, m.Suspects)
	var pulls []string
	for zone, seen := range m.Zones {
		if s.table.NeedsZone(now, zone, seen) {
			pulls = append(pulls, zone)
		} else {
			s.table.RefreshZone(now, zone, seen)
		}
	}
	s.mu.Unlock()
	s.takeLoads(m.Loads, false)
	for _, zone := range pulls {
		s.pullZone(sender.Addr, zone, m.Zones[zone].Age)
	}
	s.pullConfig(sender.Addr, m.Revision)
}

func (s *Service) takeDigest(m jkmsg.ZoneDigest) {
	s.mu.Lock()
	now := s.options.Timer.Now()
	if m.Zone == s.table.Self().Zone {
		s.mu.Unlock()
		return
	}
	seen := jkmember.ZoneSeen{Version: m.Version}
	needed := s.table.NeedsZone(now, m.Zone, seen)
	s.table.RefreshZone(now, m.Zone, seen)
	s.table.RecordDirectDigest(now, m.Zone)
	s.suspects.Merge(now, m.Suspects)
	s.mu.Unlock()
	s.takeLoads(m.Loads, true)
	if needed {
		s.pullZone(m.Addr, m.Zone, 0)
	}
	s.pullConfig(m.Addr, m.Revision)
}

// takeLoads keeps the newest digest of each endpoint.
func (s *Service) takeLoads(loads []jksched.Load, foreign bool) {
	for _, l := range loads {
		s.mu.Lock()
		r, known := s.loads[l.Endpoint]
		newer := !known || l.At.After(r.load.At)
		if newer {
			s.loads[l.Endpoint] = loadRow{load: l, foreign: foreign, sent: r.sent}
		}
		s.mu.Unlock()
		if newer {
			s.options.TakeLoad(l)
		}
	}
}

// once runs a pull unless the same one is under way.
func (s *Service) once(key string, pull func(ctx context.Context)) {
	s.mu.Lock()
	busy := s.pulling[key]
	s.pulling[key] = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Timeout)
		defer cancel()
		pull(ctx)
		s.mu.Lock()
		delete(s.pulling, key)
		s.mu.Unlock()
	}()
}

func (s *Service) pullZone(addr, zone string, age time.Duration) {
	s.once("zone "+zone, func(ctx context.Context) {
		var d jkmember.ZoneDigest
		if err := s.options.Pool.Call(ctx, addr, jkmsg.TypeZonePull, &jkmsg.ZonePull{Zone: zone}, &d); err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.options.Timer.Now()
		s.table.ObserveZone(now, d, age)
		s.tick(now)
	})
}

// pullConfig fetches a peer's configuration if it is newer than the own one.
func (s *Service) pullConfig(addr string, revision uint64) {
	if revision <= s.options.Revision() {
		return
	}
	s.once("config", func(ctx context.Context) {
		var c jkmsg.Config
		err := s.options.Pool.Call(ctx, addr, jkmsg.TypeConfigPull, &jkmsg.ConfigPull{Have: s.options.Revision()}, &c)
		if err == nil {
			s.options.TakeConfig(c)
		}
	})
}

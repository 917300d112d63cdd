package jkgossip

import (
	"context"
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jkwire"
)

// Handle answers a heartbeat, a zone digest or a pull of a zone. It returns false for other
// message types.
func (s *Service) Handle(in *jkwire.ServerStream) bool {
	switch in.Type() {
	case jkmsg.TypeHeartbeat:
		var m jkmsg.Heartbeat
		if s.decode(in, &m) {
			s.handleHeartbeat(m)
		}
	case jkmsg.TypeZoneDigest:
		var m jkmsg.ZoneDigest
		if s.decode(in, &m) {
			s.handleZoneDigest(m)
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

// decode decodes a message and acknowledges it. It returns false if that failed.
func (s *Service) decode(in *jkwire.ServerStream, m any) bool {
	if err := in.Decode(m); err != nil {
		_ = in.Fail("bad_message", err.Error())
		return false
	}
	_ = in.End(nil)
	return true
}

// handleHeartbeat updates the table from a heartbeat and pulls what its sender has newer.
func (s *Service) handleHeartbeat(m jkmsg.Heartbeat) {
	s.mu.Lock()
	now := s.options.Timer.Now()
	if m.Host != nil && m.Host.Zone == s.table.Self().Zone {
		known, _ := s.table.Status(m.Incarnation.Host)
		s.describeNext = s.describeNext || known.Incarnation != m.Incarnation
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
	s.storeLoads(m.Loads, false)
	for _, zone := range pulls {
		s.pullZone(sender.Addr, zone, m.Zones[zone].Age)
	}
	s.pullConfig(sender.Addr, m.Revision)
}

// handleZoneDigest updates the table from another zone's digest and pulls what its sender
// has newer.
func (s *Service) handleZoneDigest(m jkmsg.ZoneDigest) {
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
	s.storeLoads(m.Loads, true)
	if needed {
		s.pullZone(m.Addr, m.Zone, 0)
	}
	s.pullConfig(m.Addr, m.Revision)
}

// storeLoads keeps the newest load digest of each endpoint and passes newer ones to OnLoad.
func (s *Service) storeLoads(loads []jksched.Load, fromOtherZone bool) {
	for _, l := range loads {
		s.mu.Lock()
		r, known := s.loads[l.Endpoint]
		newer := !known || l.At.After(r.load.At)
		if newer {
			s.loads[l.Endpoint] = loadRow{load: l, fromOtherZone: fromOtherZone, sent: r.sent}
		}
		s.mu.Unlock()
		if newer {
			s.options.OnLoad(l)
		}
	}
}

// pullOnce starts a pull unless one with the same key is in flight.
func (s *Service) pullOnce(key string, pull func(ctx context.Context)) {
	s.mu.Lock()
	inFlight := s.pulling[key]
	s.pulling[key] = true
	s.mu.Unlock()
	if inFlight {
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

// pullZone fetches a zone's digest from a host at which it arrived age ago.
func (s *Service) pullZone(addr, zone string, age time.Duration) {
	s.pullOnce("zone "+zone, func(ctx context.Context) {
		var d jkmember.ZoneDigest
		if err := s.options.Pool.Call(ctx, addr, jkmsg.TypeZonePull, &jkmsg.ZonePull{Zone: zone}, &d); err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.options.Timer.Now()
		s.table.ObserveZone(now, d, age)
		s.updateTable(now)
	})
}

// pullConfig fetches a peer's configuration if its revision is newer than the own one.
func (s *Service) pullConfig(addr string, revision uint64) {
	if revision <= s.options.Revision() {
		return
	}
	s.pullOnce("config", func(ctx context.Context) {
		var c jkmsg.Config
		err := s.options.Pool.Call(ctx, addr, jkmsg.TypeConfigPull, &jkmsg.ConfigPull{KnownRevision: s.options.Revision()}, &c)
		if err == nil {
			s.options.OnConfig(c)
		}
	})
}

// Package jkmember holds one host's view of the membership: a table of hosts, updated from
// heartbeats in the own zone and from digests of the other zones, and the choice of hosts
// by rendezvous hashing over it. It does no I/O and reads no clock; package jkgossip feeds
// it. A stale or wrong table costs efficiency only: no safety property depends on it.
package jkmember

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jktoken"
)

// State is the state that a host reports of itself.
type State string

// States of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Status is the availability of a host according to the table.
type Status string

// Statuses of a host.
const (
	// StatusUp means that a heartbeat, or a digest that lists the host, arrived within
	// the timeout.
	StatusUp Status = "up"
	// StatusDown means that no heartbeat of the host arrived within the timeout, or,
	// for a host of another zone, that its zone's digest doesn't list it.
	StatusDown Status = "down"
	// StatusUnreachable means that no digest of the host's zone arrived within the
	// timeout, so that the host's own state is unknown.
	StatusUnreachable Status = "unreachable"
	// StatusUnknown means that the host is configured but was never observed.
	StatusUnknown Status = "unknown"
)

// Host describes a host in heartbeats and digests.
type Host struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation jktoken.Incarnation `msgpack:"incarnation"`
	Zone        string              `msgpack:"zone"`
	Addr        string              `msgpack:"addr"`
	HTTP        string              `msgpack:"http"`
	State       State               `msgpack:"state"`
	Disk        bool                `msgpack:"disk"`
}

// ZoneDigest lists the hosts of a zone that are up, for the other zones. Version is a hash
// of the content.
type ZoneDigest struct {
	Zone    string `msgpack:"zone"`
	Version uint64 `msgpack:"version"`
	Hosts   []Host `msgpack:"hosts"`
}

// ZoneSeen is the version of the zone digest that a host has, and the time since a digest
// of the zone last arrived.
type ZoneSeen struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
}

// Options sets the table's identity and timeouts.
type Options struct {
	Self Host
	// Timeout is the silence after which a host counts as down and a zone as
	// unreachable.
	Timeout time.Duration
	// Forget is the silence after which a host that is down is removed from the table.
	Forget time.Duration
}

// hostRow is a host of the table, its status, and when it was last known to be up.
type hostRow struct {
	host   Host
	seen   time.Time
	status Status
}

// zoneRow is the latest digest of another zone and when it was last confirmed.
type zoneRow struct {
	digest ZoneDigest
	seen   time.Time
}

// Table is one host's view of the membership. It is not safe for concurrent use.
type Table struct {
	options Options
	hosts   map[string]*hostRow
	zones   map[string]*zoneRow
	// directAt holds, by zone, when a digest last arrived directly from the zone rather
	// than from a peer.
	directAt  map[string]time.Time
	version   uint64
	ownDigest ZoneDigest
	// started is when this host began to receive heartbeats. Until the timeout has
	// passed since then, warmingUp is set: a host without a heartbeat may still be up.
	started   time.Time
	warmingUp bool
	// leaving holds the hosts that the platform's list reports as leaving.
	leaving map[string]bool
	// drained holds the hosts that the configuration drains.
	drained map[string]bool
}

// New returns a table that contains only its own host.
func New(now time.Time, o Options) *Table {
	t := &Table{
		options: o, hosts: map[string]*hostRow{}, zones: map[string]*zoneRow{}, directAt: map[string]time.Time{},
		started: now, warmingUp: true,
	}
	t.hosts[o.Self.Incarnation.Host] = &hostRow{host: o.Self, seen: now, status: StatusUp}
	return t
}

// Self returns the own host's description.
func (t *Table) Self() Host { return t.hosts[t.options.Self.Incarnation.Host].host }

// SetSelf replaces the own host's description, for example with another state.
func (t *Table) SetSelf(h Host) {
	t.version++
	t.hosts[h.Incarnation.Host].host = h
}

// SetLeaving replaces the hosts that the platform's list reports as leaving.
func (t *Table) SetLeaving(hosts map[string]bool) {
	if !maps.Equal(hosts, t.leaving) {
		t.version++
	}
	t.leaving = hosts
}

// SetDrained replaces the hosts that the configuration drains. Unlike the platform's list,
// this is an operator's decision, which holds even if it names all hosts of a zone.
func (t *Table) SetDrained(hosts map[string]bool) { t.drained = hosts }

// IsDrained reports whether the configuration drains a host.
func (t *Table) IsDrained(name string) bool { return t.drained[name] }

// Seed adds a configured host with StatusUnknown, unless the table contains it already.
func (t *Table) Seed(h Host) {
	if t.hosts[h.Incarnation.Host] == nil {
		t.hosts[h.Incarnation.Host] = &hostRow{host: h, status: StatusUnknown}
	}
}

// ObserveHost records a heartbeat that carries the description of a host of the own zone.
// An incarnation older than the known one is ignored.
func (t *Table) ObserveHost(now time.Time, h Host) {
	if h.Incarnation.Host == t.options.Self.Incarnation.Host {
		return
	}
	r := t.hosts[h.Incarnation.Host]
	if r != nil && r.host.Incarnation.Start > h.Incarnation.Start {
		return
	}
	if r == nil || r.host != h || r.status != StatusUp {
		t.version++
	}
	t.hosts[h.Incarnation.Host] = &hostRow{host: h, seen: now, status: StatusUp}
}

// RefreshHost records a heartbeat without description of a known incarnation of the own
// zone. It returns false if the incarnation is unknown and has to be described first.
func (t *Table) RefreshHost(now time.Time, i jktoken.Incarnation) bool {
	r := t.hosts[i.Host]
	if r == nil || r.host.Incarnation != i {
		return false
	}
	if r.status != StatusUp {
		t.version++
	}
	r.seen = now
	r.status = StatusUp
	return true
}

// ObserveZone records the digest of another zone, which arrived age ago at the host that
// passed it on. A digest older than the known one is ignored. It reports whether the
// content changed.
func (t *Table) ObserveZone(now time.Time, d ZoneDigest, age time.Duration) bool {
	if d.Zone == t.options.Self.Zone {
		return false
	}
	z := t.zones[d.Zone]
	if z != nil && now.Add(-age).Before(z.seen) {
		return false
	}
	changed := z == nil || d.Version != z.digest.Version
	t.zones[d.Zone] = &zoneRow{digest: d, seen: now.Add(-age)}
	if changed {
		t.applyZone(now, d)
	}
	return changed
}

// RefreshZone records that a digest with the known content arrived s.Age ago.
func (t *Table) RefreshZone(now time.Time, name string, s ZoneSeen) {
	z := t.zones[name]
	if z != nil && z.digest.Version == s.Version && now.Add(-s.Age).After(z.seen) {
		z.seen = now.Add(-s.Age)
	}
}

// NeedsZone reports whether a peer has a later digest of a zone with another content, so
// that it has to be pulled.
func (t *Table) NeedsZone(now time.Time, name string, s ZoneSeen) bool {
	if name == t.options.Self.Zone {
		return false
	}
	z := t.zones[name]
	return z == nil || (z.digest.Version != s.Version && now.Add(-s.Age).After(z.seen))
}

// applyZone updates the hosts of a zone from its digest: those that it lists are up, the
// others are down.
func (t *Table) applyZone(now time.Time, d ZoneDigest) {
	t.version++
	listed := map[string]bool{}
	for _, h := range d.Hosts {
		listed[h.Incarnation.Host] = true
		r := t.hosts[h.Incarnation.Host]
		if r == nil || r.host.Incarnation.Start <= h.Incarnation.Start {
			t.hosts[h.Incarnation.Host] = &hostRow{host: h, seen: now, status: StatusUp}
		}
	}
	for name, r := range t.hosts {
		if r.host.Zone == d.Zone && !listed[name] && r.status == StatusUp {
			r.status = StatusDown
		}
	}
}

// Zone returns the digest of a zone and whether it is known. That of the own zone is known
// once each of the zone's hosts has sent a heartbeat or counts as down.
func (t *Table) Zone(name string) (ZoneDigest, bool) {
	if name == t.options.Self.Zone {
		t.updateOwnDigest()
		return t.ownDigest, t.ownZoneComplete()
	}
	z := t.zones[name]
	if z == nil {
		return ZoneDigest{}, false
	}
	return z.digest, true
}

// ownZoneComplete reports whether the status of every host of the own zone is known.
func (t *Table) ownZoneComplete() bool {
	if !t.warmingUp {
		return true
	}
	for _, r := range t.hosts {
		if r.host.Zone == t.options.Self.Zone && r.status == StatusUnknown {
			return false
		}
	}
	return true
}

// RecordDirectDigest records that another zone has sent its digest directly to this host.
func (t *Table) RecordDirectDigest(now time.Time, name string) { t.directAt[name] = now }

// DirectZones returns the version and age of the zones whose digests arrived directly at
// this host within a time; they go into its heartbeats. The other zones are left to the
// hosts that received their digests: if each host repeated what it has from its peers,
// every heartbeat would contain all zones.
func (t *Table) DirectZones(now time.Time, within time.Duration) map[string]ZoneSeen {
	var seen map[string]ZoneSeen
	for name, z := range t.zones {
		if directAt, ok := t.directAt[name]; !ok || now.Sub(directAt) > within {
			continue
		}
		if seen == nil {
			seen = map[string]ZoneSeen{}
		}
		seen[name] = ZoneSeen{Version: z.digest.Version, Age: now.Sub(z.seen)}
	}
	return seen
}

// Version returns a number that grows whenever a host appears, leaves or changes its state.
func (t *Table) Version() uint64 { return t.version }

// HostStatus is a host with its status.
type HostStatus struct {
	Host   Host
	Status Status
}

// Tick updates the status of every host and returns those that went down or became
// unreachable.
func (t *Table) Tick(now time.Time) []HostStatus {
	t.warmingUp = now.Sub(t.started) <= t.options.Timeout
	var changes []HostStatus
	for name, r := range t.hosts {
		if name == t.options.Self.Incarnation.Host {
			r.seen = now
			continue
		}
		status := t.deriveStatus(now, r)
		if status != r.status {
			t.version++
		}
		if status != r.status && status != StatusUp {
			changes = append(changes, HostStatus{Host: r.host, Status: status})
		}
		r.status = status
		if status == StatusDown && now.Sub(r.seen) > t.options.Forget {
			delete(t.hosts, name)
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].Host.Incarnation.Host < changes[j].Host.Incarnation.Host
	})
	t.updateOwnDigest()
	return changes
}

// SkipPause excludes a time during which this process did not run. If it counted that time
// as silence of the other hosts, it would declare all of them down.
func (t *Table) SkipPause(pause time.Duration) {
	t.started = t.started.Add(pause)
	for _, r := range t.hosts {
		r.seen = r.seen.Add(pause)
	}
	for _, z := range t.zones {
		z.seen = z.seen.Add(pause)
	}
}

// deriveStatus returns a host's status from its heartbeats, or for another zone from the
// zone's digest.
func (t *Table) deriveStatus(now time.Time, r *hostRow) Status {
	if r.status == StatusUnknown {
		return StatusUnknown
	}
	if r.host.Zone == t.options.Self.Zone {
		if now.Sub(r.seen) > t.options.Timeout {
			return StatusDown
		}
		return StatusUp
	}
	z := t.zones[r.host.Zone]
	if z == nil || now.Sub(z.seen) > t.options.Timeout {
		if r.status == StatusDown {
			return StatusDown
		}
		return StatusUnreachable
	}
	if r.status != StatusUnreachable {
		r.seen = z.seen
		return r.status
	}
	for _, h := range z.digest.Hosts {
		if h.Incarnation == r.host.Incarnation {
			return StatusUp
		}
	}
	return StatusDown
}

// updateOwnDigest rebuilds the digest of the own zone if its hosts have changed.
func (t *Table) updateOwnDigest() {
	hosts := t.Up(t.options.Self.Zone)
	if sameHosts(hosts, t.ownDigest.Hosts) {
		return
	}
	t.ownDigest = ZoneDigest{Zone: t.options.Self.Zone, Version: contentVersion(hosts), Hosts: hosts}
}

// contentVersion returns a hash of a list of hosts. Two hosts that send digests of the same
// zone get the same version for the same content, so that it isn't pulled again.
func contentVersion(hosts []Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, h := range hosts {
		_, _ = fmt.Fprintf(&d, "%s %s %s %s %s %t\n", h.Incarnation, h.Zone, h.Addr, h.HTTP, h.State, h.Disk)
	}
	return d.Sum64()
}

func sameHosts(a, b []Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Status returns a host's description and status.
func (t *Table) Status(name string) (Host, Status) {
	r := t.hosts[name]
	if r == nil {
		return Host{}, StatusUnknown
	}
	return r.host, r.status
}

// Up returns the hosts of a zone that are up, sorted by name.
func (t *Table) Up(zone string) []Host {
	var hosts []Host
	for _, r := range t.hosts {
		if r.host.Zone == zone && r.status == StatusUp {
			hosts = append(hosts, r.host)
		}
	}
	sortHosts(hosts)
	return hosts
}

// All returns every known host with its status, sorted by name.
func (t *Table) All() []HostStatus {
	var all []HostStatus
	for _, r := range t.hosts {
		all = append(all, HostStatus{Host: r.host, Status: r.status})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Host.Incarnation.Host < all[j].Host.Incarnation.Host
	})
	return all
}

// Zones returns the names of all zones with a known host, sorted.
func (t *Table) Zones() []string {
	seen := map[string]bool{}
	var names []string
	for _, r := range t.hosts {
		if !seen[r.host.Zone] {
			seen[r.host.Zone] = true
			names = append(names, r.host.Zone)
		}
	}
	sort.Strings(names)
	return names
}

func sortHosts(hosts []Host) {
	sort.Slice(hosts, func(i, j int) bool {
		return hosts[i].Incarnation.Host < hosts[j].Incarnation.Host
	})
}

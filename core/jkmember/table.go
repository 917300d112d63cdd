// Package jkmember is the pure membership core of a host: a table of hosts fed by
// heartbeats of the own zone and digests of the others, and the choices made
// by rendezvous hash over it. Wrong or late knowledge costs efficiency only;
// nothing safe depends on this table.
package jkmember

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jktoken"
)

// State is what a host says about itself.
type State string

// States of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Status is what the table concludes about a host.
type Status string

// Statuses of a host.
const (
	// StatusUp means heard of within the timeout.
	StatusUp Status = "up"
	// StatusDown means that the host's own zone has not heard it within the
	// timeout.
	StatusDown Status = "down"
	// StatusUnreachable means that the host's whole zone is not heard.
	StatusUnreachable Status = "unreachable"
	// StatusUnknown means configured but never heard.
	StatusUnknown Status = "unknown"
)

// Host is the description of a host in heartbeats and digests.
type Host struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation jktoken.Incarnation `msgpack:"incarnation"`
	Zone        string              `msgpack:"zone"`
	Addr        string              `msgpack:"addr"`
	HTTP        string              `msgpack:"http"`
	State       State               `msgpack:"state"`
	Disk        bool                `msgpack:"disk"`
}

// ZoneDigest describes the hosts of a zone to the other zones. Version identifies
// the content.
type ZoneDigest struct {
	Zone    string `msgpack:"zone"`
	Version uint64 `msgpack:"version"`
	Hosts   []Host `msgpack:"hosts"`
}

// ZoneSeen tells how fresh a host's knowledge of a zone is.
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
	// Forget is the silence after which a host's row is dropped.
	Forget time.Duration
}

// row is one host of the table.
type row struct {
	host   Host
	seen   time.Time
	status Status
}

// zone is one other zone of the table.
type zone struct {
	digest ZoneDigest
	seen   time.Time
}

// Table is the membership knowledge of one host. It is not safe for concurrent
// use.
type Table struct {
	options Options
	hosts   map[string]*row
	zones   map[string]*zone
	// heard holds when a zone's speaker last reached this host itself.
	heard   map[string]time.Time
	version uint64
	own     ZoneDigest
	// started is the time at which this host began to listen. Until the timeout
	// has passed, a host that was not heard yet is not known to be down.
	started   time.Time
	listening bool
	// leaving holds the hosts that the platform's list names as leaving.
	leaving map[string]bool
	// drained holds the hosts that the configuration names as leaving.
	drained map[string]bool
}

// New returns a table that knows only its own host.
func New(now time.Time, o Options) *Table {
	t := &Table{
		options: o, hosts: map[string]*row{}, zones: map[string]*zone{}, heard: map[string]time.Time{},
		started: now, listening: true,
	}
	t.hosts[o.Self.Incarnation.Host] = &row{host: o.Self, seen: now, status: StatusUp}
	return t
}

// Self returns the own host's description.
func (t *Table) Self() Host { return t.hosts[t.options.Self.Incarnation.Host].host }

// SetSelf replaces the own host's description, for example with another state.
func (t *Table) SetSelf(h Host) {
	t.version++
	t.hosts[h.Incarnation.Host].host = h
}

// SetLeaving replaces the hosts that the platform's list names as leaving.
func (t *Table) SetLeaving(hosts map[string]bool) {
	if !maps.Equal(hosts, t.leaving) {
		t.version++
	}
	t.leaving = hosts
}

// SetDrained replaces the hosts that the configuration names as leaving. Unlike
// the platform's list, this is an operator's decision and always believed.
func (t *Table) SetDrained(hosts map[string]bool) { t.drained = hosts }

// IsDrained reports whether the configuration names a host as leaving.
func (t *Table) IsDrained(name string) bool { return t.drained[name] }

// Seed adds a configured host that has not been heard yet.
func (t *Table) Seed(h Host) {
	if t.hosts[h.Incarnation.Host] == nil {
		t.hosts[h.Incarnation.Host] = &row{host: h, status: StatusUnknown}
	}
}

// Observe takes a heartbeat of a host of the own zone. An older incarnation
// than the known one is ignored.
func (t *Table) Observe(now time.Time, h Host) {
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
	t.hosts[h.Incarnation.Host] = &row{host: h, seen: now, status: StatusUp}
}

// Beat notes a heartbeat of a known incarnation of the own zone. It reports false
// if the incarnation is not known, so that its description is needed first.
func (t *Table) Beat(now time.Time, i jktoken.Incarnation) bool {
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

// ObserveZone takes the digest of another zone, received age ago by the host
// that passed it on. One that is older than the known one is ignored. It reports
// whether the content changed.
func (t *Table) ObserveZone(now time.Time, d ZoneDigest, age time.Duration) bool {
	if d.Zone == t.options.Self.Zone {
		return false
	}
	z := t.zones[d.Zone]
	if z != nil && now.Add(-age).Before(z.seen) {
		return false
	}
	changed := z == nil || d.Version != z.digest.Version
	t.zones[d.Zone] = &zone{digest: d, seen: now.Add(-age)}
	if changed {
		t.applyZone(now, d)
	}
	return changed
}

// RefreshZone notes that a zone was heard age ago with the known content.
func (t *Table) RefreshZone(now time.Time, name string, s ZoneSeen) {
	z := t.zones[name]
	if z != nil && z.digest.Version == s.Version && now.Add(-s.Age).After(z.seen) {
		z.seen = now.Add(-s.Age)
	}
}

// NeedsZone reports whether a peer has heard a zone later than this host, with
// another content.
func (t *Table) NeedsZone(now time.Time, name string, s ZoneSeen) bool {
	if name == t.options.Self.Zone {
		return false
	}
	z := t.zones[name]
	return z == nil || (z.digest.Version != s.Version && now.Add(-s.Age).After(z.seen))
}

func (t *Table) applyZone(now time.Time, d ZoneDigest) {
	t.version++
	listed := map[string]bool{}
	for _, h := range d.Hosts {
		listed[h.Incarnation.Host] = true
		r := t.hosts[h.Incarnation.Host]
		if r == nil || r.host.Incarnation.Start <= h.Incarnation.Start {
			t.hosts[h.Incarnation.Host] = &row{host: h, seen: now, status: StatusUp}
		}
	}
	for name, r := range t.hosts {
		if r.host.Zone == d.Zone && !listed[name] && r.status == StatusUp {
			r.status = StatusDown
		}
	}
}

// Zone returns the digest of a known zone. The own one is known as soon as every
// host of the zone was heard or counts as down.
func (t *Table) Zone(name string) (ZoneDigest, bool) {
	if name == t.options.Self.Zone {
		t.updateOwn()
		return t.own, t.knowsOwn()
	}
	z := t.zones[name]
	if z == nil {
		return ZoneDigest{}, false
	}
	return z.digest, true
}

// knowsOwn reports whether this host can tell which hosts of its zone are down.
func (t *Table) knowsOwn() bool {
	if !t.listening {
		return true
	}
	for _, r := range t.hosts {
		if r.host.Zone == t.options.Self.Zone && r.status == StatusUnknown {
			return false
		}
	}
	return true
}

// HeardZone notes that a speaker of another zone has sent its digest to this host.
func (t *Table) HeardZone(now time.Time, name string) { t.heard[name] = now }

// Seen returns the freshness of the zones that this host itself has heard within
// a time, for a heartbeat. Others are left to the hosts that heard them: if each
// host repeated what it has from its peers, all zones would be in all heartbeats.
func (t *Table) Seen(now time.Time, within time.Duration) map[string]ZoneSeen {
	var seen map[string]ZoneSeen
	for name, z := range t.zones {
		if heard, ok := t.heard[name]; !ok || now.Sub(heard) > within {
			continue
		}
		if seen == nil {
			seen = map[string]ZoneSeen{}
		}
		seen[name] = ZoneSeen{Version: z.digest.Version, Age: now.Sub(z.seen)}
	}
	return seen
}

// Version changes whenever a host appears, goes, or changes its state.
func (t *Table) Version() uint64 { return t.version }

// Change is a host whose status or incarnation has changed.
type Change struct {
	Host   Host
	Status Status
}

// Tick updates every status and returns the hosts that went down.
func (t *Table) Tick(now time.Time) []Change {
	t.listening = now.Sub(t.started) <= t.options.Timeout
	var changes []Change
	for name, r := range t.hosts {
		if name == t.options.Self.Incarnation.Host {
			r.seen = now
			continue
		}
		status := t.conclude(now, r)
		if status != r.status {
			t.version++
		}
		if status != r.status && status != StatusUp {
			changes = append(changes, Change{Host: r.host, Status: status})
		}
		r.status = status
		if status == StatusDown && now.Sub(r.seen) > t.options.Forget {
			delete(t.hosts, name)
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].Host.Incarnation.Host < changes[j].Host.Incarnation.Host
	})
	t.updateOwn()
	return changes
}

// SkipPause leaves out a time in which this host itself did not run. A paused
// host that counted it as silence of the others would declare them all ended.
func (t *Table) SkipPause(pause time.Duration) {
	t.started = t.started.Add(pause)
	for _, r := range t.hosts {
		r.seen = r.seen.Add(pause)
	}
	for _, z := range t.zones {
		z.seen = z.seen.Add(pause)
	}
}

func (t *Table) conclude(now time.Time, r *row) Status {
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

// updateOwn rebuilds the digest of the own zone.
func (t *Table) updateOwn() {
	hosts := t.Up(t.options.Self.Zone)
	if sameHosts(hosts, t.own.Hosts) {
		return
	}
	t.own = ZoneDigest{Zone: t.options.Self.Zone, Version: contentVersion(hosts), Hosts: hosts}
}

// contentVersion identifies a list of hosts. Two hosts that speak for one zone
// give the same version to the same content, so that nobody pulls it again.
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

// Status returns what is known of a host.
func (t *Table) Status(name string) (Host, Status) {
	r := t.hosts[name]
	if r == nil {
		return Host{}, StatusUnknown
	}
	return r.host, r.status
}

// Up returns the hosts of a zone that are up, in order of name.
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

// All returns every known host with its status, in order of name.
func (t *Table) All() []Change {
	var all []Change
	for _, r := range t.hosts {
		all = append(all, Change{Host: r.host, Status: r.status})
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].Host.Incarnation.Host < all[j].Host.Incarnation.Host
	})
	return all
}

// Zones returns the names of all zones with a known host, in order.
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

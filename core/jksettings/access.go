package jksettings

import (
	"time"

	"jasmineknot.example/core/jktoken"
)

// Host returns the name of this host.
func (s Settings) Host() string { return s.file.Host }

// Zone returns the availability zone of this host.
func (s Settings) Zone() string { return s.file.Zone }

// Listen returns the listen address for the other daemons.
func (s Settings) Listen() string { return s.file.Listen }

// HTTP returns the listen address for callers and operators.
func (s Settings) HTTP() string { return s.file.HTTP }

// Platform returns the URL of the platform.
func (s Settings) Platform() string { return s.file.Platform }

// DataFolder returns the folder for copies of program histories, or "" on a host without
// a disk.
func (s Settings) DataFolder() string { return s.file.DataFolder }

// LogLevel returns the minimum level that is logged.
func (s Settings) LogLevel() Level { return s.file.LogLevel }

// Limits returns the limits that bound the daemon's memory and its load on others.
func (s Settings) Limits() Limits { return Limits{file: s.file.Limits} }

// Intervals returns the daemon's intervals and timeouts.
func (s Settings) Intervals() Intervals { return Intervals{file: s.file.Intervals} }

// TokenKeys returns the keys of continuation tokens. The first one signs, all verify.
func (s Settings) TokenKeys() []jktoken.Key {
	keys := make([]jktoken.Key, len(s.file.TokenKeys))
	for i, k := range s.file.TokenKeys {
		keys[i] = jktoken.Key{ID: k.ID, Secret: []byte(k.Secret)}
	}
	return keys
}

// Peers returns the seed hosts from which the others are discovered, without this host.
func (s Settings) Peers() []Peer {
	var peers []Peer
	for _, p := range s.file.Peers {
		if p.Host != s.file.Host {
			peers = append(peers, Peer{file: p})
		}
	}
	return peers
}

// Peer is a seed host.
type Peer struct {
	file filePeer
}

// Host returns the peer's name.
func (p Peer) Host() string { return p.file.Host }

// Zone returns the peer's availability zone.
func (p Peer) Zone() string { return p.file.Zone }

// Address returns the peer's listen address.
func (p Peer) Address() string { return p.file.Address }

// Limits are the limits that bound the daemon's memory and its load on others.
type Limits struct {
	file fileLimits
}

// EndpointQueue returns the largest number of calls queued for one endpoint.
func (l Limits) EndpointQueue() int { return l.file.EndpointQueue }

// EntryQueue returns the largest number of calls that this host has accepted and not yet
// dispatched.
func (l Limits) EntryQueue() int { return l.file.EntryQueue }

// Programs returns the largest number of programs whose home is this host.
func (l Limits) Programs() int { return l.file.Programs }

// Calls returns the largest number of calls remembered for de-duplication.
func (l Limits) Calls() int { return l.file.Calls }

// Streams returns the largest number of concurrent streams to one daemon.
func (l Limits) Streams() int { return l.file.Streams }

// Suspects returns the largest number of remembered fingerprints of requests that have
// crashed endpoints.
func (l Limits) Suspects() int { return l.file.Suspects }

// BodyBytes returns the largest size of a request body in bytes.
func (l Limits) BodyBytes() int64 { return l.file.BodyBytes }

// MemoryBytes returns the memory of the daemon in bytes.
func (l Limits) MemoryBytes() int64 { return l.file.MemoryMB << 20 }

// PlatformCalls returns the largest number of calls to the platform per second.
func (l Limits) PlatformCalls() int { return l.file.PlatformCalls }

// ModelLoads returns the largest number of concurrent model loads in this host's zone. 0
// means that this host sends no orders to engines.
func (l Limits) ModelLoads() int { return l.file.ModelLoads }

// Intervals are the daemon's intervals and timeouts.
type Intervals struct {
	file fileIntervals
}

// Heartbeat returns the time between heartbeats within the zone.
func (i Intervals) Heartbeat() time.Duration { return time.Duration(i.file.Heartbeat) }

// ZoneDigest returns the time between digests to the other zones.
func (i Intervals) ZoneDigest() time.Duration { return time.Duration(i.file.ZoneDigest) }

// DeadAfter returns the time without a heartbeat after which a host is declared dead.
func (i Intervals) DeadAfter() time.Duration { return time.Duration(i.file.DeadAfter) }

// Lease returns the duration of the host's lease at the platform.
func (i Intervals) Lease() time.Duration { return time.Duration(i.file.Lease) }

// Tick returns the time between the periodic passes of the dispatcher over its tables.
func (i Intervals) Tick() time.Duration { return time.Duration(i.file.Tick) }

// Watch returns the timeout of one watch request to the platform.
func (i Intervals) Watch() time.Duration { return time.Duration(i.file.Watch) }

// HostList returns the time between reads of the platform's host list.
func (i Intervals) HostList() time.Duration { return time.Duration(i.file.HostList) }

// Drain returns the timeout of a graceful shutdown.
func (i Intervals) Drain() time.Duration { return time.Duration(i.file.Drain) }

// ModelLoad returns the average time between two model loads in this host's zone.
func (i Intervals) ModelLoad() time.Duration { return time.Duration(i.file.ModelLoad) }

package jkentry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jkrelay"
)

const (
	// bytesPerTunnel is what one tunnel takes of this host's memory, with both of its sockets, and
	// tunnelShare the part of the memory limit that all of them may take: one eighth.
	bytesPerTunnel = 96 << 10
	tunnelShare    = 8
	// defaultTunnels bounds the tunnels of a host without a memory limit.
	defaultTunnels = 512
)

// newDialer returns the dialer of connections to endpoints.
func (e *Entry) newDialer() *jkrelay.Dialer {
	return jkrelay.NewDialer(jkrelay.DialerOptions{
		Timer: e.timer, Log: e.log.Part("relay"), Self: e.self(), EndpointAt: e.endpointAt, Addrs: e.endpointAddrs,
		Relays: e.relaysFor, OnHang: func() { e.pool.CloseIdleDirect() },
	})
}

// newRelay returns the relay for other entries.
func (e *Entry) newRelay() *jkrelay.Relay {
	tunnels := e.settings.MemoryBytes / tunnelShare / bytesPerTunnel
	if tunnels <= 0 {
		tunnels = defaultTunnels
	}
	return jkrelay.NewRelay(jkrelay.Options{
		Log: e.log.Part("relay"), AddrOf: e.endpointAddr, IsHost: e.members.has, Stopping: e.stop.Begun,
		Dialer: e.dialer, MaxTunnels: tunnels,
	})
}

// isIsolated reports whether there is no way to any endpoint: neither a new connection nor one that is
// open.
func (e *Entry) isIsolated() bool { return e.dialer.IsIsolated() && !e.pool.HasIdle() }

// endpointAddr returns the address of an endpoint of the registry.
func (e *Entry) endpointAddr(id string) (addr string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.endpoints[id]
	return s.Addr, ok
}

// endpointAt returns the endpoint of the registry at an address.
func (e *Entry) endpointAt(addr string) (id string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.endpoints {
		if s.Addr == addr {
			return id, true
		}
	}
	return "", false
}

// endpointAddrs returns the addresses of all endpoints.
func (e *Entry) endpointAddrs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.endpoints))
	for _, s := range e.endpoints {
		out = append(out, s.Addr)
	}
	return out
}

// relaysFor returns the entries in reach that may reach an endpoint: those of its zone and of the own
// one first, as the way through a third zone crosses two. The rest of the order differs from host to
// host and from endpoint to endpoint, which spreads the tunnels.
func (e *Entry) relaysFor(endpoint string) []jkrelay.Host {
	e.mu.Lock()
	zone := e.endpoints[endpoint].Endpoint.Zone
	e.mu.Unlock()
	hosts := e.members.entries(e.settings.Host, e.probes.Reachable)
	rank := func(h HostEntry) (int, uint64) {
		crossings := 0
		for _, end := range []string{e.settings.Zone, zone} {
			if h.Zone != end {
				crossings++
			}
		}
		return crossings, xxhash.Sum64String(e.settings.Host + "\x00" + h.Host + "\x00" + endpoint)
	}
	slices.SortFunc(hosts, func(a, b HostEntry) int {
		ca, ha := rank(a)
		cb, hb := rank(b)
		return cmp.Or(cmp.Compare(ca, cb), cmp.Compare(ha, hb))
	})
	var out []jkrelay.Host
	for _, h := range hosts {
		out = append(out, jkrelay.Host{Name: h.Host, Addr: h.Addr, Zone: h.Zone})
	}
	return out
}

// crossZoneDelay is the assumed one-way network delay between two zones: the larger of
// the users' published figures.
const crossZoneDelay = 1400 * time.Microsecond

// assumedDelay returns the assumed one-way network delay between two zones.
func assumedDelay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return crossZoneDelay
}

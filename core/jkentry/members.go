package jkentry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jasmineknot.example/core/jkaccount"
	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jktimer"
)

// newHostPeriod is how long a host counts as new. It exceeds the time after which another
// entry that the store refuses learns of the host through its peers.
const newHostPeriod = 8 * time.Second

// members holds the hosts that have an entry in the platform's store.
type members struct {
	timer   *jktimer.Service
	started time.Time

	mu    sync.Mutex
	hosts map[string]HostEntry
	// appearedAt is when a host was first seen at its present address.
	appearedAt map[string]time.Time
}

func newMembers(timer *jktimer.Service) *members {
	return &members{timer: timer, started: timer.Now(), hosts: map[string]HostEntry{}, appearedAt: map[string]time.Time{}}
}

func (m *members) set(h HostEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hosts[h.Host].Addr != h.Addr {
		m.appearedAt[h.Host] = m.timer.Now()
	}
	m.hosts[h.Host] = h
}

// isNew reports whether a host appeared so recently that other hosts may not know it yet.
// Hosts that appeared within newHostPeriod of this process's own start aren't new. The caller
// holds the lock.
func (m *members) isNew(host string) bool {
	appearedAt := m.appearedAt[host]
	return appearedAt.Sub(m.started) > newHostPeriod && m.timer.Now().Sub(appearedAt) < newHostPeriod
}

func (m *members) has(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.hosts[host]
	return ok
}

// isCopy reports whether a host has a copy of the ledger.
func (m *members) isCopy(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].Ledger
}

// isCopyIn reports whether a host of a zone has a copy of the ledger.
func (m *members) isCopyIn(host, zone string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].Ledger && m.hosts[host].Zone == zone
}

func (m *members) isLeaving(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].Leaving
}

func (m *members) remove(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, host)
}

// copies returns the hosts with a copy of the ledger, without those that are leaving.
func (m *members) copies() []jkaccount.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []jkaccount.Copy
	for _, h := range m.hosts {
		if h.Ledger && !h.Leaving {
			out = append(out, jkaccount.Copy{Host: h.Host, Addr: h.Addr, Zone: h.Zone, Disk: h.Disk, New: m.isNew(h.Host)})
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

// maxIssuers bounds the hosts that issue permits: with more of them each has too small a share of
// a small cap.
const maxIssuers = 16

// issuers returns the storage hosts that issue permits. All hosts with the same list of the store
// choose the same ones.
func (m *members) issuers() []jkquota.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []jkquota.Host
	for _, h := range m.hosts {
		if h.Ledger && !h.Leaving {
			all = append(all, jkquota.Host{Name: h.Host, Addr: h.Addr, Zone: h.Zone})
		}
	}
	return jkquota.FirstOfZones(all, "issuer", maxIssuers)
}

// knownFor returns for how long a host has been known at its present address.
func (m *members) knownFor(host string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.hosts[host]; !ok {
		return 0
	}
	return m.timer.Now().Sub(m.appearedAt[host])
}

// sources returns the other hosts whose copies of the ledger may have records that no other host
// has. Those that are leaving count until they have handed theirs over.
func (m *members) sources(self string) []HostEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HostEntry
	for _, h := range m.hosts {
		if h.Ledger && !h.HandedOver && h.Host != self {
			out = append(out, h)
		}
	}
	return out
}

// senders returns the entries that send requests to endpoints, ordered by name: those that
// are reachable, and always the given one.
func (m *members) senders(self jkforward.Host, reachable func(host string) bool) []jkforward.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []jkforward.Host{self}
	for _, h := range m.hosts {
		if !h.Ledger && !h.Leaving && !h.Suspected && h.Host != self.Name && reachable(h.Host) {
			out = append(out, jkforward.Host{Name: h.Host, Zone: h.Zone})
		}
	}
	slices.SortFunc(out, func(a, b jkforward.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// entries returns the other entries that are reachable and aren't leaving.
func (m *members) entries(self string, reachable func(host string) bool) []HostEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HostEntry
	for _, h := range m.hosts {
		if !h.Ledger && !h.Leaving && !h.Suspected && h.Host != self && reachable(h.Host) {
			out = append(out, h)
		}
	}
	return out
}

// watchers returns the reachable entries through which other hosts may watch the store.
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

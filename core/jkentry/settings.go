// Package jkentry assembles the two processes that serve a fleet of endpoints behind a
// platform: the entry, which takes callers' requests, and the storage, which keeps a copy
// of the ledger on a disk. It wires the other packages together and keeps the hosts'
// entries in the platform's store; forwarding, placement and the ledger itself are in
// packages of their own, and all that is specific to one platform is in its adapter.
package jkentry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// Settings holds what a process is given at its start.
type Settings struct {
	Host  string
	Zone  string
	Zones []string
	// Front is the address for callers, and Ready the one at which the platform checks
	// whether the entry takes new connections.
	Front string
	Ready string
	// Inner is the address for other hosts: messages over TCP, probes over UDP.
	Inner string
	// Seeds are the addresses for other hosts of a few hosts, which may be stale or down.
	Seeds []string
	// Metrics is the address at which metrics are served; empty for none.
	Metrics string
	// Folder is the folder for persistent data; empty on hosts without a disk.
	Folder string
	// First is set when the whole system starts for the first time.
	First bool
	// MemoryBytes is the memory limit above which the platform kills the process.
	MemoryBytes int64
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// LostDisks is the number of disks whose simultaneous loss must not lose records.
	LostDisks int
	// Revocation is the time after which a key that was removed from the rules must not be
	// served by any host, whether or not it reaches the store; zero means no such bound.
	Revocation time.Duration
	// LearnedPlacement makes entries place requests by their learned costs.
	LearnedPlacement bool
	LogLevel         string
	// Listeners are open already. Those that are nil are opened at the addresses.
	Listeners Listeners
}

// Listeners are the sockets of a process for other hosts and for callers.
type Listeners struct {
	Inner  net.Listener
	Probes *net.UDPConn
	Front  net.Listener
}

// listenAt returns a listener that is open already, or opens one at an address.
func listenAt(open net.Listener, addr string) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	return net.Listen("tcp", addr)
}

// otherSeeds returns the seeds without this host.
func (s Settings) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.Inner })
}

// EndpointState is an endpoint's entry in the platform's registry.
type EndpointState struct {
	Endpoint jksched.Endpoint
	Addr     string
	// Born identifies the start of the endpoint, so that a restart under the same id is
	// detected.
	Born int64
}

// HostEntry is a host's own entry in the platform's store.
type HostEntry struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Ledger is set for hosts with a copy of the ledger.
	Ledger bool `json:"ledger"`
	// Disk names the disk of that copy. Entries of earlier releases don't have it.
	Disk string `json:"disk,omitempty"`
	// Leaving is set while the host hands its records over before it is removed.
	Leaving bool `json:"leaving"`
	// HandedOver is set once a leaving host has handed its records over.
	HandedOver bool `json:"handed_over,omitempty"`
	// Suspected is set by another host that gets no answer from this one. A host that is
	// alive refutes it by writing its entry again.
	Suspected bool `json:"suspected,omitempty"`
	// Announced is set with Suspected: the revision at which the host itself wrote its entry last.
	Announced int64 `json:"announced,omitempty"`
	// Removed is set in what remains of the entry of a storage host that was removed while it was
	// silent. A host that returns without its disk learns from it that it isn't new.
	Removed bool `json:"removed,omitempty"`
}

// Change is one decoded change of the platform's store. It is about rules, an endpoint, a
// host or a host to be emptied; only the fields of one of them are set.
type Change struct {
	Rules *jkruleset.Set
	// Endpoint is an endpoint that was added or changed, and RemovedEndpoint the id of one
	// that was removed.
	Endpoint        *EndpointState
	RemovedEndpoint string
	// Host is a host entry that was written, and RemovedHost a host whose entry was removed.
	Host        *HostEntry
	RemovedHost string
	// RetireHost is a host that has to hand its records over within RetireWithin, before
	// it is removed.
	RetireHost   string
	RetireWithin time.Duration
}

// Platform is the access to a platform that its adapter provides.
type Platform struct {
	Source  jkfollow.Source
	Dialect jkforward.Dialect
	// RulesKey is the key of the rules in the store. ReadRules reads it by a linearizable read, and
	// found is false if the store has no rules.
	RulesKey  string
	ReadRules func(ctx context.Context) (rules jkfollow.Item, found bool, err error)
	// Decode decodes one change of the store. It fails with an *UnreadableError for an
	// entry whose content can't be used.
	Decode func(item jkfollow.Item) (Change, error)
	// PutHost writes the host's own entry, whatever its revision.
	PutHost func(ctx context.Context, e HostEntry) error
	// SwapHost replaces a host's entry by compare-and-swap on its revision, or removes it
	// if next is nil. It fails with an *EntryChangedError if the entry is at another
	// revision.
	SwapHost func(ctx context.Context, host string, next *HostEntry, revision int64) error
	// PutRetireStatus reports whether a host that is to be removed has handed all records over.
	PutRetireStatus func(ctx context.Context, host string, completed bool) error
}

// UnreadableError reports an entry of the store that can't be used.
type UnreadableError struct {
	Key    string
	Detail string
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("entry %q of the store can't be used: %s", e.Key, e.Detail)
}

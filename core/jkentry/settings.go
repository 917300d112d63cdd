// Package jkentry assembles the processes that serve a fleet of endpoints behind
// a platform: the entry, which takes callers' requests, and the storage, which
// keeps a copy of the ledger on a disk.
package jkentry

import (
	"context"
	"fmt"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// Settings are what a process learns at its start.
type Settings struct {
	Host  string
	Zone  string
	Zones []string
	// Front is where callers connect and Ready where the platform asks whether
	// the entry takes new connections.
	Front string
	Ready string
	// Inner is the address for other hosts, over TCP and UDP.
	Inner string
	// Metrics is the address of counters.
	Metrics string
	// Folder is for what has to last; empty on hosts without a disk.
	Folder string
	// First is set where the whole system starts for the first time.
	First bool
	// MemoryBytes is the limit beyond which the process is killed.
	MemoryBytes int64
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// LostDisks is the number of disks that may be lost at once.
	LostDisks int
	LogLevel  string
}

// EndpointState is an endpoint's entry in the platform's registry.
type EndpointState struct {
	Endpoint jksched.Endpoint
	Addr     string
	// Born distinguishes the starts of an endpoint under one id.
	Born int64
}

// HostEntry is a host's own entry in the platform's store.
type HostEntry struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Ledger is set for hosts with a copy of the ledger.
	Ledger bool `json:"ledger"`
	// Leaving is set while the host is being emptied.
	Leaving bool `json:"leaving"`
	// Suspected is set by another host to which this one is silent. A host that
	// lives writes its entry again.
	Suspected bool `json:"suspected,omitempty"`
}

// Change is one decoded change of the platform's store; exactly one field is set
// beside Key and Revision.
type Change struct {
	Rules *jkruleset.Set
	// Endpoint is nil and EndpointID set where an endpoint left.
	Endpoint   *EndpointState
	EndpointID string
	// Host is nil and HostName set where a host's entry was removed.
	Host     *HostEntry
	HostName string
	// Retire names a host that is to be emptied within Within.
	Retire string
	Within time.Duration
}

// Platform is what the adapter provides.
type Platform struct {
	Source  jkfollow.Source
	Dialect jkforward.Dialect
	// Decode decodes one change. It fails with an *UnreadableError for entries
	// that say nothing usable.
	Decode func(item jkfollow.Item) (Change, error)
	// PutHost writes the host's own entry.
	PutHost func(ctx context.Context, e HostEntry) error
	// SwapHost replaces a host's entry that is at a revision, or removes it where
	// next is nil. It fails with an *EntryChangedError if the entry isn't at the
	// revision.
	SwapHost func(ctx context.Context, host string, next *HostEntry, revision int64) error
	// PutRetire reports how far the emptying of a host is.
	PutRetire func(ctx context.Context, host string, completed bool) error
}

// UnreadableError is returned for an entry of the store that can't be used.
type UnreadableError struct {
	Key    string
	Detail string
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("entry %q of the store can't be used: %s", e.Key, e.Detail)
}

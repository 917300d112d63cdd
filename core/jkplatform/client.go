// Package jkplatform is the client of the operators' platform: a small
// key-value service with compare-and-swap, leases and watches, and the list of
// hosts. All access goes through the function fields of Client, so that another
// service is supported by one more constructor.
package jkplatform

import (
	"context"
	"time"
)

// MaxValue is the largest value in bytes that the platform stores.
const MaxValue = 1 << 20

// Record is one key with its value.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store-wide number of the write that produced the value.
	// It grows with each write of any key, so it also orders records and
	// serves as the position of a watch.
	Version uint64 `json:"version"`
}

// Lease is a claim of one holder on a key for a limited time.
type Lease struct {
	Key    string
	Holder string
	// Token is the fencing token: greater than that of every earlier lease of
	// the same key.
	Token uint64
	// TTL counts from the moment the platform granted the lease. A holder
	// counts it from before it sent the request, because it can't know when
	// the request arrived.
	TTL time.Duration
}

// HostState says whether a host of the platform's list accepts new work.
type HostState string

// States of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one row of the platform's host list, which lags behind the hosts' actual
// states.
type HostEntry struct {
	Host  string    `json:"host"`
	Zone  string    `json:"zone"`
	State HostState `json:"state"`
}

// Client provides access to one platform. Every function may be called from several
// goroutines. Reads fail with *NotFoundError or *UnavailableError. Writes fail with
// *ExistsError, *ConflictError, *UnavailableError (the write did not take effect) or
// *UncertainError (it may have taken effect). An argument that the platform can't store
// gives *InvalidError.
type Client struct {
	// Get returns the record of a key.
	Get func(ctx context.Context, key string) (Record, error)
	// Create writes a key that doesn't exist; *ExistsError carries the existing
	// record.
	Create func(ctx context.Context, key string, value []byte) (Record, error)
	// CompareAndSwap replaces the value of a key if it still has the given
	// version; *ConflictError carries the current record.
	CompareAndSwap func(ctx context.Context, key string, value []byte, version uint64) (Record, error)
	// List returns all records whose key starts with prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Record, error)
	// Watch waits until a record under prefix has a version above after, for
	// at most wait, and returns all such records ordered by version, together
	// with the position to continue from.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Record, uint64, error)
	// AcquireLease takes a lease that nobody holds. *ExistsError carries the
	// current lease as a record: its holder as the value and its token as the
	// version. A holder that acquires its own lease again gets a new token.
	AcquireLease func(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease; *ConflictError means that it has expired or
	// belongs to another token.
	RenewLease func(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// ReleaseLease releases a lease; *ConflictError as for RenewLease.
	ReleaseLease func(ctx context.Context, lease Lease) error
	// ReadLease returns the lease of a key, or *NotFoundError when nobody
	// holds it at present.
	ReadLease func(ctx context.Context, key string) (Lease, error)
	// Hosts returns the platform's host list.
	Hosts func(ctx context.Context) ([]HostEntry, error)
}

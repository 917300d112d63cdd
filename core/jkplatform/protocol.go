package jkplatform

import "time"

// Paths of the HTTP protocol. Reads are GET requests with query parameters,
// writes are POST requests with a JSON body. Values are base64 in JSON.
const (
	PathGet     = "/v1/record"
	PathCreate  = "/v1/record/create"
	PathSwap    = "/v1/record/swap"
	PathList    = "/v1/records"
	PathWatch   = "/v1/watch"
	PathLease   = "/v1/lease"
	PathAcquire = "/v1/lease/acquire"
	PathRenew   = "/v1/lease/renew"
	PathRelease = "/v1/lease/release"
	PathHosts   = "/v1/hosts"
)

// Code is the machine-readable kind of an error response.
type Code string

// Codes of error responses. Any other failure counts as a lost response.
const (
	CodeNotFound    Code = "not_found"
	CodeExists      Code = "exists"
	CodeConflict    Code = "conflict"
	CodeInvalid     Code = "invalid"
	CodeRateLimited Code = "rate_limited"
	CodeUnavailable Code = "unavailable"
)

// WriteRequest is the body of a create or a swap.
type WriteRequest struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version,omitempty"`
}

// LeaseRequest is the body of every write to a lease.
type LeaseRequest struct {
	Key            string `json:"key"`
	Holder         string `json:"holder"`
	Token          uint64 `json:"token,omitempty"`
	TTLMillisecond int64  `json:"ttl_ms,omitempty"`
}

// LeaseResponse describes a lease that is held.
type LeaseResponse struct {
	Key            string `json:"key"`
	Holder         string `json:"holder"`
	Token          uint64 `json:"token"`
	TTLMillisecond int64  `json:"ttl_ms"`
}

// Lease returns the response as a lease.
func (a LeaseResponse) Lease() Lease {
	return Lease{
		Key: a.Key, Holder: a.Holder, Token: a.Token,
		TTL: time.Duration(a.TTLMillisecond) * time.Millisecond,
	}
}

// ListResponse is the response to a list or a watch. Position is set for a watch.
type ListResponse struct {
	Records  []Record `json:"records"`
	Position uint64   `json:"position,omitempty"`
}

// HostsResponse is the response to a request for the host list.
type HostsResponse struct {
	Hosts []HostEntry `json:"hosts"`
}

// ErrorResponse is the body of every response with a status of 400 or more.
type ErrorResponse struct {
	Code    Code   `json:"code"`
	Detail  string `json:"detail"`
	Present Record `json:"present"`
}

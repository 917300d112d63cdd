package jkendpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// LoadReport is the load that an engine reports. It describes the engine as it was AgeMS
// before the response, or longer.
type LoadReport struct {
	AgeMS               int64    `json:"age_ms"`
	Running             int      `json:"running"`
	Queued              int      `json:"queued"`
	MaxBatch            int      `json:"max_batch"`
	CachedTokens        int      `json:"cached_tokens"`
	CacheCapacityTokens int      `json:"cache_capacity_tokens"`
	TokensPerSecond     float64  `json:"tokens_per_second"`
	Models              []string `json:"models"`
	Adapters            []string `json:"adapters"`
	Role                string   `json:"role"`
}

// CacheEventKind says how an engine's cache changed.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports that the engine's cache now holds Tokens tokens of a
// program's history.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Program  string         `json:"program"`
	Tokens   int            `json:"tokens"`
}

// CacheEvents is one page of events. A gap in their sequence means that events are missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"` // value of after for the next page
}

// OrderKind is the kind of a control command.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderVersion OrderKind = "version"
	OrderAdapter OrderKind = "adapter"
)

// Order is a control command to an engine. Which fields apply depends on the kind: load
// and unload take Model, version takes Model and Version, adapter takes Adapter (and
// Remove), role takes Role.
type Order struct {
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Remove       bool      `json:"remove,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken uint64    `json:"fencing_token"`
}

// ModelPhase is the state of a model or adapter on an engine.
type ModelPhase string

// Phases of a model or adapter.
const (
	ModelLoading ModelPhase = "loading"
	ModelReady   ModelPhase = "ready"
)

// ModelState is one model or adapter of an engine.
type ModelState struct {
	Name    string     `json:"name"`
	Version string     `json:"version,omitempty"`
	Phase   ModelPhase `json:"phase"`
}

// State is the state that an engine reports without the delay of a LoadReport.
type State struct {
	Models       []ModelState   `json:"models"`
	Adapters     []ModelState   `json:"adapters"`
	Role         string         `json:"role"`
	FencingToken uint64         `json:"fencing_token"` // highest seen
	Running      int            `json:"running"`
	Queued       int            `json:"queued"`
	Suspended    int            `json:"suspended"`   // closed streams that can still be resumed
	HeldTokens   map[string]int `json:"held_tokens"` // cache held, by program
}

// KV is an exported KV cache of one program.
type KV struct {
	Program string   `json:"program"`
	Tokens  int      `json:"tokens"`
	Blocks  []string `json:"blocks"` // chained digests of the cached blocks
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var out LoadReport
	err := c.call(ctx, outgoing{method: http.MethodGet, addr: addr, path: "/load", repeatable: true}, nil, &out)
	return out, err
}

// CacheEvents returns the cache events with a sequence above after.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	path := fmt.Sprintf("/cache_events?after=%d", after)
	err := c.call(ctx, outgoing{method: http.MethodGet, addr: addr, path: path, repeatable: true}, nil, &out)
	return out, err
}

// State returns the engine's present state.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var out State
	err := c.call(ctx, outgoing{method: http.MethodGet, addr: addr, path: "/state", repeatable: true}, nil, &out)
	return out, err
}

// ReleaseCache drops everything the engine holds for a program.
func (c *Client) ReleaseCache(ctx context.Context, addr, program string) error {
	path := "/kv/" + url.PathEscape(program)
	return c.call(ctx, outgoing{method: http.MethodDelete, addr: addr, path: path, repeatable: true}, nil, nil)
}

// ExportKV returns a program's KV cache.
func (c *Client) ExportKV(ctx context.Context, addr, program string) (KV, error) {
	var out KV
	path := "/kv/" + url.PathEscape(program)
	err := c.call(ctx, outgoing{method: http.MethodGet, addr: addr, path: path, repeatable: true}, nil, &out)
	return out, err
}

// ImportKV stores a KV cache that another engine exported.
func (c *Client) ImportKV(ctx context.Context, addr string, kv KV) error {
	path := "/kv/" + url.PathEscape(kv.Program)
	return c.call(ctx, outgoing{method: http.MethodPut, addr: addr, path: path, repeatable: true}, kv, nil)
}

// Order sends a control command to an engine. It returns once the engine has accepted it;
// State shows when it is in force. A refused token yields a *FencedError.
func (c *Client) Order(ctx context.Context, addr string, order Order) error {
	return c.call(ctx, outgoing{method: http.MethodPost, addr: addr, path: "/orders"}, order, nil)
}

// Package jkruleset holds the operators' rules for requests: routes, services and
// limits. It selects the route and the service of a request, not the endpoint. A Set is
// immutable; a new version replaces it as a whole.
package jkruleset

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether requests of a route may be repeated.
type Kind string

// Kinds of routes. A stream may be repeated only where it may be resumed.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non_idempotent"
	KindStream        Kind = "stream"
)

// Share is the part of a route's traffic that one service gets.
type Share struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// RouteConfig holds the properties of a route.
type RouteConfig struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting; zero means
	// no limit.
	Timeout time.Duration
	// Target is the time within which a response is on time.
	Target time.Duration
	// MaxGap is the longest pause between two events of a stream that counts as on
	// time.
	MaxGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts is the number of endpoints to which one request may be sent.
	MaxAttempts int
	// Sticky is set for requests that run faster at an endpoint that has handled
	// their object or prompt before.
	Sticky bool
	// Resumable is set for streams that can continue at another endpoint after the
	// last event.
	Resumable bool
	// Retain is set if the system stores the turns of a chain for Retention.
	Retain    bool
	Retention time.Duration
	// Public is set if requests need no key even where the rules have workspaces.
	Public bool
	Shares []Share
}

// Route holds the rules for the requests of one host name and path prefix, with the
// services that may run them.
type Route struct{ config RouteConfig }

// NewRoute returns a route with the given properties.
func NewRoute(c RouteConfig) *Route {
	c.Shares = slices.Clone(c.Shares)
	return &Route{config: c}
}

// Name returns the route's name.
func (r *Route) Name() string { return r.config.Name }

// Host returns the host name whose requests the route covers.
func (r *Route) Host() string { return r.config.Host }

// Kind returns the route's kind.
func (r *Route) Kind() Kind { return r.config.Kind }

// Timeout returns the longest time that a request may be kept waiting.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Target returns the time within which a response is on time.
func (r *Route) Target() time.Duration { return r.config.Target }

// MaxGap returns the longest pause between two events of a stream that counts as on
// time.
func (r *Route) MaxGap() time.Duration { return r.config.MaxGap }

// Priority returns the route's rank; 0 is the highest.
func (r *Route) Priority() int { return r.config.Priority }

// MaxAttempts returns the number of endpoints to which one request may be sent.
func (r *Route) MaxAttempts() int { return r.config.MaxAttempts }

// Sticky reports whether requests run faster at an endpoint that has handled their
// object or prompt before.
func (r *Route) Sticky() bool { return r.config.Sticky }

// Resumable reports whether a stream may continue at another endpoint.
func (r *Route) Resumable() bool { return r.config.Resumable }

// Public reports whether requests need no key even where the rules have workspaces.
func (r *Route) Public() bool { return r.config.Public }

// Retain reports whether the system stores the turns of a chain.
func (r *Route) Retain() bool { return r.config.Retain }

// Retention returns how long turns and budgets are stored.
func (r *Route) Retention() time.Duration { return r.config.Retention }

// Repeatable reports whether a request that may already have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.config.Kind == KindIdempotent || (r.config.Kind == KindStream && r.config.Resumable)
}

// Service returns the service for a request, or "" if the route has none. The hash of
// the request's key selects the share of the traffic, so that all hosts send requests
// of one key to one service.
func (r *Route) Service(hash uint64) string {
	shares := r.config.Shares
	if len(shares) == 0 {
		return ""
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	const buckets = 1 << 20
	point := float64(hash%buckets) / buckets * sum
	for _, s := range shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return shares[len(shares)-1].Service
}

// Services returns the names of the services that run the route's requests.
func (r *Route) Services() []string {
	out := make([]string, 0, len(r.config.Shares))
	for _, s := range r.config.Shares {
		out = append(out, s.Service)
	}
	return out
}

// ServiceConfig holds the properties of a service.
type ServiceConfig struct {
	Name string
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers together.
	MaxConnections int
	// Model is set for language model engines.
	Model bool
	// Slots is the number of requests that a model engine runs at once.
	Slots int
	// EventTokens is the number of tokens in each event of a stream.
	EventTokens int64
	// CacheTokens is the size of a model engine's cache in tokens.
	CacheTokens int64
}

// Service is a group of endpoints that run the same requests.
type Service struct{ config ServiceConfig }

// NewService returns a service with the given properties.
func NewService(c ServiceConfig) *Service { return &Service{config: c} }

// Name returns the service's name.
func (s *Service) Name() string { return s.config.Name }

// HealthPath returns the path of the endpoints' health check.
func (s *Service) HealthPath() string { return s.config.HealthPath }

// MaxConnections returns the number of connections that one endpoint accepts from all
// callers together.
func (s *Service) MaxConnections() int { return s.config.MaxConnections }

// Model reports whether the endpoints are language model engines.
func (s *Service) Model() bool { return s.config.Model }

// EventTokens returns the number of tokens in each event of a stream.
func (s *Service) EventTokens() int64 { return s.config.EventTokens }

// CacheTokens returns the size of a model engine's cache in tokens; zero means unknown.
func (s *Service) CacheTokens() int64 { return s.config.CacheTokens }

// Limits bounds the size of a caller's requests, the time until their header has been
// received, and the idle time of a connection.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Set is one version of the rules.
type Set struct {
	version  int64
	limits   Limits
	services map[string]*Service
	// routesByHost lists the routes of each host name, the longest prefix first.
	routesByHost map[string][]*Route
	routeCount   int
	usedServices []string
	retainsTurns bool
	// workspaces are nil where requests need no key.
	workspaces      []*Workspace
	workspacesByKey map[KeyHash]*Workspace
}

// NewSet builds a version of the rules.
func NewSet(version int64, limits Limits, services []*Service, routes []*Route) *Set {
	s := &Set{
		version:      version,
		limits:       limits,
		services:     make(map[string]*Service, len(services)),
		routesByHost: make(map[string][]*Route),
		routeCount:   len(routes),
	}
	for _, service := range services {
		s.services[service.Name()] = service
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host())
		s.routesByHost[host] = append(s.routesByHost[host], r)
		s.retainsTurns = s.retainsTurns || r.Retain()
		for _, name := range r.Services() {
			if !slices.Contains(s.usedServices, name) {
				s.usedServices = append(s.usedServices, name)
			}
		}
	}
	for _, list := range s.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.config.Prefix) - len(a.config.Prefix) })
	}
	return s
}

// Version returns the version of the rules.
func (s *Set) Version() int64 { return s.version }

// Limits returns the limits for callers.
func (s *Set) Limits() Limits { return s.limits }

// RouteCount returns the number of routes.
func (s *Set) RouteCount() int { return s.routeCount }

// RetainsTurns reports whether any route retains turns.
func (s *Set) RetainsTurns() bool { return s.retainsTurns }

// Services returns the names of the services of all routes, each once.
func (s *Set) Services() []string { return s.usedServices }

// Service returns a service by its name, or nil.
func (s *Set) Service(name string) *Service { return s.services[name] }

// RouteNamed returns the route with a name, or nil.
func (s *Set) RouteNamed(name string) *Route {
	for _, list := range s.routesByHost {
		for _, r := range list {
			if r.Name() == name {
				return r
			}
		}
	}
	return nil
}

// Match returns the host's route with the longest prefix of the path, or nil if no
// route matches. It ignores the host's port and case.
func (s *Set) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	list, ok := s.routesByHost[host]
	if !ok {
		list = s.routesByHost[strings.ToLower(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.config.Prefix) {
			return r
		}
	}
	return nil
}

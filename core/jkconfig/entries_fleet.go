package jkconfig

import (
	"cmp"
	"encoding/json"
	"strings"
	"time"

	"jasmineknot.example/core/jkschema"
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// State says whether an endpoint or a host takes new work.
type State string

// States of endpoints and hosts; only hosts join.
const (
	StateJoining State = "joining"
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Endpoint is a back end: a model engine or an instance of a service.
type Endpoint struct {
	id string
	f  struct {
		Zone          string       `json:"zone"`
		Address       string       `json:"address"`
		Kind          EndpointKind `json:"kind"`
		Models        []string     `json:"models"`
		Service       string       `json:"service"`
		Slots         int          `json:"slots"`
		CacheTokens   int64        `json:"cache_tokens"`
		ChecksFencing bool         `json:"checks_fencing"`
		State         State        `json:"state"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (e *Endpoint) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &e.f) }

// ID returns the endpoint's id.
func (e Endpoint) ID() string { return e.id }

// Zone returns its availability zone.
func (e Endpoint) Zone() string { return e.f.Zone }

// Address returns the address of its HTTP interface.
func (e Endpoint) Address() string { return e.f.Address }

// Kind returns whether it is an engine or a service.
func (e Endpoint) Kind() EndpointKind { return e.f.Kind }

// Models returns the models that an engine can hold.
func (e Endpoint) Models() []string { return e.f.Models }

// Service returns the service it belongs to, or "" for an engine.
func (e Endpoint) Service() string { return e.f.Service }

// Slots returns the number of calls it runs at once.
func (e Endpoint) Slots() int { return e.f.Slots }

// CacheTokens returns the size of an engine's prompt cache in tokens.
func (e Endpoint) CacheTokens() int64 { return e.f.CacheTokens }

// ChecksFencing reports whether it refuses orders with an old fencing token.
func (e Endpoint) ChecksFencing() bool { return e.f.ChecksFencing }

// State returns whether it receives new work.
func (e Endpoint) State() State { return e.f.State }

// Host is an entry host.
type Host struct {
	name string
	f    struct {
		Zone    string `json:"zone"`
		Address string `json:"address"`
		State   State  `json:"state"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (h *Host) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &h.f) }

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Zone returns its availability zone.
func (h Host) Zone() string { return h.f.Zone }

// Address returns its address for the other daemons.
func (h Host) Address() string { return h.f.Address }

// State returns whether it joins, serves or leaves.
func (h Host) State() State { return h.f.State }

// Capacity holds the limits of endpoints and the admission settings.
type Capacity struct {
	f struct {
		MaxRunning          int               `json:"max_running"`
		MaxQueued           *int              `json:"max_queued"`
		MaxWait             jkschema.Duration `json:"max_wait"`
		ShedAbove           float64           `json:"shed_above"`
		SecondDispatchRatio *float64          `json:"second_dispatch_ratio"`
		RetryRatio          *float64          `json:"retry_ratio"`
		SlowFactor          float64           `json:"slow_factor"`
	}
}

// UnmarshalJSON reads an entry of the section.
func (c *Capacity) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &c.f) }

// MaxRunning returns the number of calls that may run at once on one endpoint, or 0 if
// it isn't set.
func (c Capacity) MaxRunning() int { return c.f.MaxRunning }

// MaxQueued returns the number of calls that may wait for one endpoint, and whether it
// is set.
func (c Capacity) MaxQueued() (int, bool) {
	if c.f.MaxQueued == nil {
		return 0, false
	}
	return *c.f.MaxQueued, true
}

// MaxWait returns the time in the queue after which a call is refused, or 0 if it isn't
// set.
func (c Capacity) MaxWait() time.Duration { return time.Duration(c.f.MaxWait) }

// ShedAbove returns the load, as a ratio of capacity, above which the lowest class is
// refused, or 0 if it isn't set.
func (c Capacity) ShedAbove() float64 { return c.f.ShedAbove }

// SecondDispatchRatio returns the extra tokens that second dispatches may cost, as a
// ratio, and whether it is set.
func (c Capacity) SecondDispatchRatio() (float64, bool) { return optional(c.f.SecondDispatchRatio) }

// RetryRatio returns the retries allowed per call over a minute, and whether it is set.
func (c Capacity) RetryRatio() (float64, bool) { return optional(c.f.RetryRatio) }

// SlowFactor returns the ratio to the peers' time per token above which an endpoint
// counts as slow, or 0 if it isn't set.
func (c Capacity) SlowFactor() float64 { return c.f.SlowFactor }

// orElse returns the limits, with unset ones taken from the entry d.
func (c Capacity) orElse(d Capacity) Capacity {
	c.f.MaxRunning = cmp.Or(c.f.MaxRunning, d.f.MaxRunning)
	c.f.MaxQueued = cmp.Or(c.f.MaxQueued, d.f.MaxQueued)
	c.f.MaxWait = cmp.Or(c.f.MaxWait, d.f.MaxWait)
	c.f.ShedAbove = cmp.Or(c.f.ShedAbove, d.f.ShedAbove)
	c.f.SecondDispatchRatio = cmp.Or(c.f.SecondDispatchRatio, d.f.SecondDispatchRatio)
	c.f.RetryRatio = cmp.Or(c.f.RetryRatio, d.f.RetryRatio)
	c.f.SlowFactor = cmp.Or(c.f.SlowFactor, d.f.SlowFactor)
	return c
}

func optional(v *float64) (float64, bool) {
	if v == nil {
		return 0, false
	}
	return *v, true
}

// ServiceRules holds the timeout of a service's calls and whether they may be repeated.
type ServiceRules struct {
	f struct {
		Timeout    jkschema.Duration   `json:"timeout"`
		Repeatable bool                `json:"repeatable"`
		Paths      map[string]pathRule `json:"paths"`
	}
}

// pathRule overrides the rules of a service for one path.
type pathRule struct {
	Repeatable *bool             `json:"repeatable"`
	Timeout    jkschema.Duration `json:"timeout"`
}

// UnmarshalJSON reads an entry of a section.
func (r *ServiceRules) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &r.f) }

// Repeatable reports whether a call of the path is idempotent and may be repeated.
// Without a rule it may not.
func (r ServiceRules) Repeatable(path string) bool {
	if rule := r.rule(path); rule.Repeatable != nil {
		return *rule.Repeatable
	}
	return r.f.Repeatable
}

// Timeout returns the longest wait for the response to a call of the path, or 0 if no
// rule sets it.
func (r ServiceRules) Timeout(path string) time.Duration {
	if rule := r.rule(path); rule.Timeout > 0 {
		return time.Duration(rule.Timeout)
	}
	return time.Duration(r.f.Timeout)
}

// rule returns the rule of the path itself, or else that of the longest pattern ending
// in /* that matches it.
func (r ServiceRules) rule(path string) pathRule {
	if rule, ok := r.f.Paths[path]; ok {
		return rule
	}
	var found pathRule
	longest := -1
	for pattern, rule := range r.f.Paths {
		base, ok := strings.CutSuffix(pattern, "*")
		if ok && strings.HasSuffix(base, "/") && strings.HasPrefix(path, base) && len(base) > longest {
			found, longest = rule, len(base)
		}
	}
	return found
}

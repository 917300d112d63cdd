package jkforward

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jksched"
)

// Metrics counts the requests of callers and the attempts at endpoints.
type Metrics struct {
	set      *metrics.Set
	inFlight atomic.Int64
	// byWorkspace counts the requests of workspaces.
	byWorkspace *workspaceCounts
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{set: set, byWorkspace: newWorkspaceCounts(set)}
	set.NewGauge("jk_requests_in_flight", func() float64 { return float64(m.inFlight.Load()) })
	return m
}

// InFlight returns the number of requests in flight.
func (m *Metrics) InFlight() int64 { return m.inFlight.Load() }

// Workspaces returns the requests by workspace since the process started.
func (m *Metrics) Workspaces() WorkspaceCounts { return m.byWorkspace.counts() }

// workspaceReason returns the reason by which a request of a workspace is counted.
func workspaceReason(c *call) string {
	switch {
	case c.reason != "":
		return c.reason
	case c.status >= 200 && c.status < 300:
		return "served"
	}
	return "endpoint_status"
}

// observe counts a finished request and its duration.
func (m *Metrics) observe(c *call, took time.Duration) {
	if c.workspace != nil {
		m.byWorkspace.observe(c.receivedAt.Add(took), c.workspaceName(), workspaceReason(c))
	}
	kind := "none"
	if c.route != nil {
		kind = string(c.route.Kind())
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_requests_total{kind=%q,status="%d",reason=%q}`, kind, c.status, c.reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`jk_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// countAttempt counts one exchange with an endpoint by its outcome.
func (m *Metrics) countAttempt(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_attempts_total{outcome=%q}`, outcome)).Inc()
}

// countPlacement counts a call that was placed by its learned cost by the reason for its endpoint.
func (m *Metrics) countPlacement(reason jksched.PlacementReason) {
	if reason != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`jk_placements_total{reason=%q}`, string(reason))).Inc()
	}
}

// observePrediction adds the time that a call took relative to the predicted one.
func (m *Metrics) observePrediction(kind jksched.Kind, ratio float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`jk_placement_actual_over_predicted{kind=%q}`, string(kind))).Update(ratio)
}

// countTooLong counts an abandoned response by the part that exceeds its bound.
func (m *Metrics) countTooLong(part string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_answers_too_long_total{part=%q}`, part)).Inc()
}

// countLimited counts a request that was delayed or refused because endpoints limit the
// rate of requests.
func (m *Metrics) countLimited(action string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_limited_total{action=%q}`, action)).Inc()
}

// continuedResult is what was known of a stream that its caller continues.
type continuedResult string

// Results of a stream that its caller continues: its version is recorded, or it can have begun at one
// version only, or neither, so that it is refused.
const (
	continuedRecorded    continuedResult = "recorded"
	continuedOnlyVersion continuedResult = "only_version"
	continuedUnknown     continuedResult = "unknown"
)

func (m *Metrics) countContinued(result continuedResult) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_streams_continued_total{result=%q}`, string(result))).Inc()
}

func hashOf(key string) uint64 { return xxhash.Sum64String(key) }

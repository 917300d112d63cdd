package jkaccount

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts how turns are kept and written to copies.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// keepResult is the result of keeping one turn, as a label of a metric.
type keepResult string

const (
	keepWritten keepResult = "kept"
	// The zones in reach hold the turn, which are fewer than usual.
	keepFewZones   keepResult = "kept_in_few_zones"
	keepTimedOut   keepResult = "time_used_up"
	keepCallerLeft keepResult = "caller_left"
)

// observeKeep counts one kept or failed turn by its result, and the time that it took.
func (m *Metrics) observeKeep(result keepResult, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_turns_kept_total{result=%q}`, string(result))).Inc()
	m.set.GetOrCreateHistogram(`jk_turn_keep_seconds`).Update(took.Seconds())
}

// countWrite counts one write of records to a copy by its outcome.
func (m *Metrics) countWrite(o outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_copy_writes_total{outcome=%q}`, string(o))).Inc()
}

package jkaccount

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts how turns are kept.
type Metrics struct{ set *metrics.Set }

// NewMetrics registers the counters of turns in a set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

// keepResult is the outcome of keeping one turn.
type keepResult string

const (
	keepDone    keepResult = "kept"
	keepTooFew  keepResult = "too_few_copies"
	keepExpired keepResult = "time_used_up"
	keepLeft    keepResult = "caller_left"
)

func (m *Metrics) kept(result keepResult, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_turns_kept_total{result=%q}`, string(result))).Inc()
	m.set.GetOrCreateHistogram(`jk_turn_keep_seconds`).Update(took.Seconds())
}

// written counts one write of records to a copy by its outcome.
func (m *Metrics) written(o outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`jk_copy_writes_total{outcome=%q}`, string(o))).Inc()
}

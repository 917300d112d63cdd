package jkentry

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
)

// Guards against a return to an older version of the rules (CONFIG) when a stale replica of
// the store answers a list.
func TestOlderRulesAreIgnored(t *testing.T) {
	e := &Entry{log: jklog.Discard(), metrics: metrics.NewSet()}
	for _, step := range []struct{ offered, inForce int64 }{{20, 20}, {10, 20}, {20, 20}, {35, 35}} {
		e.setRules(jkruleset.NewSet(step.offered, jkruleset.Limits{}, nil, nil), jkfollow.Item{})
		if got := e.rules.Load().Version(); got != step.inForce {
			t.Errorf("version %d is in force after %d was offered, want %d", got, step.offered, step.inForce)
		}
	}
}

package jkentry

import (
	"testing"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
)

// Guards against rules that go back to an older version (CONFIG), after a list that
// was answered by a store that is behind.
func TestOlderRulesAreNotTaken(t *testing.T) {
	e := &Entry{log: jklog.Discard()}
	for _, step := range []struct{ offered, inForce int64 }{{20, 20}, {10, 20}, {20, 20}, {35, 35}} {
		e.setRules(jkruleset.NewSet(step.offered, jkruleset.Limits{}, nil, nil))
		if got := e.rules.Load().Version(); got != step.inForce {
			t.Errorf("version %d is in force after %d was offered, want %d", got, step.offered, step.inForce)
		}
	}
}

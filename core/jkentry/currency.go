package jkentry

import (
	"fmt"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
)

// newRulesWatch returns the watch of how current the rules are.
func (e *Entry) newRulesWatch() *jkfollow.RulesWatch {
	w := jkfollow.NewRulesWatch(jkfollow.RulesWatchOptions{
		Timer: e.timer, Log: e.log.Part("rules"), Host: e.settings.Host, Bound: e.settings.Revocation,
		Read: e.platform.ReadRules, Pool: e.peers, Apply: e.applyRules, OnCall: e.countRulesCall,
		Peers: func() []jkfollow.Peer { return e.members.watchers(e.probes.Reachable) },
	})
	e.metrics.NewGauge("jk_rules_age_seconds", func() float64 {
		age, ok := w.Age()
		if !ok {
			return -1
		}
		return age.Seconds()
	})
	return w
}

// applyRules processes rules that came with a confirmation.
func (e *Entry) applyRules(item jkfollow.Item) {
	if e.isRules(item) {
		e.apply(item)
	}
}

// isRules reports whether an item holds the rules.
func (e *Entry) isRules(item jkfollow.Item) bool {
	return item.Key == e.platform.RulesKey && !item.Deleted
}

// rulesProcessed tells the watch of the rules that an item has been processed. The caller holds the
// lock.
func (e *Entry) rulesProcessed(item jkfollow.Item) {
	rules := e.rules.Load()
	e.rulesWatch.SetInForce(item, rules != nil && rules.HasWorkspaces())
}

// countRulesCall counts a call for a confirmation of the rules.
func (e *Entry) countRulesCall(call jkfollow.RulesCall, outcome jkfollow.RulesOutcome) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`jk_rules_confirmations_total{call=%q,outcome=%q}`, string(call), string(outcome))).Inc()
}

// currency tells the handler how current the rules are.
func (e *Entry) currency() jkforward.Currency {
	notServed := e.metrics.GetOrCreateCounter(`jk_rules_refusals_total{reason="rules_not_current"}`)
	notDenied := e.metrics.GetOrCreateCounter(`jk_rules_refusals_total{reason="key_uncertain"}`)
	return jkforward.Currency{
		MayServe: func() bool {
			ok := e.rulesWatch.MayServe()
			if !ok {
				notServed.Inc()
			}
			return ok
		},
		MayDeny: func() bool {
			ok := e.rulesWatch.MayDeny()
			if !ok {
				notDenied.Inc()
			}
			return ok
		},
	}
}

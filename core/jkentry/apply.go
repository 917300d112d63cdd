package jkentry

import (
	"errors"
	"fmt"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkprobe"
	"jasmineknot.example/core/jkruleset"
)

// apply processes one change of the platform's store.
func (e *Entry) apply(item jkfollow.Item) {
	if e.isRules(item) && item.Revision == e.rulesWatch.InForce() {
		// The watch and the confirmations both bring new rules.
		return
	}
	change, err := e.platform.Decode(item)
	var unreadable *UnreadableError
	switch {
	case errors.As(err, &unreadable):
		e.countIgnored(ignoredUnreadable)
		e.log.Info("store entry ignored", "key", item.Key, "revision", item.Revision, "via", item.Via, "detail", unreadable.Detail)
	case err != nil:
		e.countIgnored(ignoredUnreadable)
		e.log.Warn("store change can't be decoded", "key", item.Key, "revision", item.Revision, "via", item.Via, "error", err)
		change = Change{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRules(item) {
		// It also counts for rules that can't be used: those in force are kept in spite of them.
		defer e.rulesProcessed(item)
	}
	switch {
	case change.Rules != nil:
		e.setRules(change.Rules, item)
	case change.Endpoint != nil:
		e.setEndpoint(*change.Endpoint, item.Revision)
	case change.RemovedEndpoint != "":
		e.removeEndpoint(change.RemovedEndpoint, item.Revision)
	case change.Host != nil && change.Host.Removed:
		e.members.remove(change.Host.Host)
		e.registry.set(*change.Host, item.Revision)
		e.probes.RemovePeer(change.Host.Host)
	case change.Host != nil:
		e.members.set(*change.Host)
		e.updateSenders()
		e.news.hostAppeared(*change.Host)
		e.registry.set(*change.Host, item.Revision)
		e.probes.SetPeer(jkprobe.Peer{Host: change.Host.Host, Addr: change.Host.Addr, Zone: change.Host.Zone, AlwaysProbed: change.Host.Ledger})
	case change.RemovedHost != "":
		e.members.remove(change.RemovedHost)
		e.registry.remove(change.RemovedHost)
		e.probes.RemovePeer(change.RemovedHost)
	}
}

// ignoredReason is why a change of the store isn't applied.
type ignoredReason string

// Reasons for which a change isn't applied.
const (
	ignoredUnreadable ignoredReason = "unreadable"
	ignoredOlder      ignoredReason = "older"
)

func (e *Entry) countIgnored(reason ignoredReason) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`jk_store_changes_ignored_total{reason=%q}`, string(reason))).Inc()
}

// countWatch counts a watch of the store by its way and outcome.
func (e *Entry) countWatch(way jkfollow.WatchWay, outcome jkfollow.WatchOutcome) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`jk_store_watches_total{way=%q,outcome=%q}`, string(way), string(outcome))).Inc()
}

// setRules puts rules into force unless the version in force is the same or newer.
func (e *Entry) setRules(next *jkruleset.Set, item jkfollow.Item) {
	now := e.rules.Load()
	if now != nil && next.Version() <= now.Version() {
		e.countIgnored(ignoredOlder)
		e.log.Info("rules ignored, version isn't newer", "version", next.Version(), "in_force", now.Version(), "revision", item.Revision, "via", item.Via)
		return
	}
	if e.settings.LearnedPlacement {
		e.fleet.SetServices(next)
	}
	e.rules.Store(next)
	e.log.Info("rules in force", "version", next.Version(), "routes", next.RouteCount(), "revision", item.Revision, "via", item.Via,
		"silence_ms", item.Silence.Milliseconds())
}

// setEndpoint adds or updates an endpoint. The caller holds the lock.
func (e *Entry) setEndpoint(s EndpointState, revision int64) {
	previous, ok := e.endpoints[s.Endpoint.ID]
	if ok && previous.Born != s.Born {
		// A restarted endpoint has neither the load nor the prefix cache of the earlier one.
		e.fleet.RemoveEndpoint(s.Endpoint.ID)
	}
	if !ok || previous.Endpoint.State != s.Endpoint.State || previous.Addr != s.Addr || previous.Born != s.Born {
		e.log.Info("endpoint changed", "endpoint", s.Endpoint.ID, "service", s.Endpoint.Service, "addr", s.Addr,
			"state", s.Endpoint.State, "revision", revision)
	}
	e.endpoints[s.Endpoint.ID] = s
	e.fleet.SetEndpoint(s.Endpoint, s.Addr, s.Born)
	e.crashes.SetEndpoint(s.Endpoint.ID, s.Addr, s.Born)
}

// removeEndpoint removes an endpoint with its connections. The caller holds the lock.
func (e *Entry) removeEndpoint(id string, revision int64) {
	known, ok := e.endpoints[id]
	if !ok {
		return
	}
	e.log.Info("endpoint removed", "endpoint", id, "revision", revision)
	delete(e.endpoints, id)
	e.fleet.RemoveEndpoint(id)
	e.crashes.RemoveEndpoint(id)
	e.pool.CloseIdle(known.Addr)
	e.dialer.Forget(known.Addr)
}

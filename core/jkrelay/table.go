package jkrelay

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCutOff is the number of endpoints that this host must have failed to reach, while none
	// has answered, until it may be cut off from all of them.
	minCutOff = 3
	// minLostChecks is the number of checks in a row that must find no way to any endpoint.
	minLostChecks = 2
	// retryAfter is the time between two attempts to reach an endpoint in a way that has failed.
	retryAfter = time.Second
	// avoidPeriod is how long a host isn't asked that didn't answer, or has no way to endpoints.
	avoidPeriod = time.Second
)

// way is how an endpoint is reached.
type way string

// Ways to an endpoint. On wayEither a connection of this host's own is tried first.
const (
	wayEither way = "either"
	wayRelay  way = "relay"
	wayNone   way = "none"
)

// relayCheck is what a check of relays shows.
type relayCheck string

// Results of a check of relays. Busy ones count as a way.
const (
	relaysServe  relayCheck = "serve"
	relaysLost   relayCheck = "lost"
	relaysSilent relayCheck = "silent"
)

// table holds which endpoints this host reaches itself and which through others.
type table struct {
	// directAt is when this host last connected to an endpoint itself, and joinedAt when a relay last
	// reached one.
	directAt, joinedAt time.Time
	// failed holds the endpoints that this host failed to connect to itself, with the time of the last
	// failure that a request met.
	failed map[string]time.Time
	// relayed holds those of them that a relay has reached, with the time of the last try without one,
	// and lost those that no relay has reached.
	relayed, lost map[string]time.Time
	// missedAt holds when relays last didn't reach an endpoint, by endpoint and relay.
	missedAt map[string]map[string]time.Time
	// joinedBy holds the relay that reached an endpoint last.
	joinedBy map[string]string
	// late holds the endpoints to which a connection of this host's own took long and came, with the time.
	late map[string]time.Time
	// isolated is set while neither this host nor any relay reaches an endpoint, and lostChecks is the
	// number of checks in a row that found no way.
	isolated   bool
	lostChecks int
	// avoidUntil is until when a host isn't asked.
	avoidUntil map[string]time.Time
}

func newTable() *table {
	return &table{failed: map[string]time.Time{}, relayed: map[string]time.Time{}, lost: map[string]time.Time{}, late: map[string]time.Time{}, avoidUntil: map[string]time.Time{}, missedAt: map[string]map[string]time.Time{}, joinedBy: map[string]string{}}
}

// isTroubled reports whether any endpoint isn't reached directly.
func (t *table) isTroubled() bool { return len(t.failed) > 0 }

// isCutOff reports whether this host failed to connect to several of n endpoints, or to all of a
// few, and to none since.
func (t *table) isCutOff(n int) bool {
	failures := 0
	for _, at := range t.failed {
		if at.After(t.directAt) {
			failures++
		}
	}
	return failures > 0 && failures >= min(minCutOff, n)
}

// choose returns the way to one of n endpoints.
func (t *table) choose(addr string, n int) way {
	_, relayed := t.relayed[addr]
	switch {
	case t.isolated:
		return wayNone
	case relayed || t.joinedAt.After(t.directAt) && t.isCutOff(n):
		return wayRelay
	}
	return wayEither
}

// mayRelay reports whether relays may be asked for an endpoint that this host can't reach.
func (t *table) mayRelay(now time.Time, addr string) bool {
	lost, ok := t.lost[addr]
	return !ok || now.Sub(lost) >= retryAfter
}

// mayBeCut reports whether a connection of this host's own that takes long shows anything: not if one to the
// same endpoint took long just before and came.
func (t *table) mayBeCut(now time.Time, addr string) bool {
	late, ok := t.late[addr]
	return !ok || now.Sub(late) >= retryAfter
}

// connected records that this host has connected to an endpoint itself.
func (t *table) connected(now time.Time) { t.directAt, t.isolated, t.lostChecks = now, false, 0 }

// reached records the same of a certain endpoint.
func (t *table) reached(now time.Time, addr string) {
	t.connected(now)
	t.forget(addr)
}

// cameLate records that a connection that has reached an endpoint took long.
func (t *table) cameLate(now time.Time, addr string) { t.late[addr] = now }

// missed records that this host failed to connect to an endpoint itself. Further failures of one
// that is reached through relays tell nothing new.
func (t *table) missed(now time.Time, addr string) {
	delete(t.late, addr)
	if _, ok := t.relayed[addr]; ok {
		t.relayed[addr] = now
		return
	}
	t.failed[addr] = now
}

// joined records that a relay has reached an endpoint.
func (t *table) joined(now time.Time, addr string) {
	t.joinedAt, t.isolated, t.lostChecks = now, false, 0
	delete(t.lost, addr)
	_, failed := t.failed[addr]
	if _, known := t.relayed[addr]; failed && !known {
		t.relayed[addr] = now
	}
}

// notJoined records that no relay has reached an endpoint, and why. Relays that may soon have another
// answer leave it reached through relays if it was.
func (t *table) notJoined(now time.Time, addr string, why Result) {
	t.lost[addr] = now
	if !why.mayPass() {
		delete(t.relayed, addr)
	}
}

// checkedRelays records what a check of relays showed of this host, which is cut off from n endpoints. A
// check that relays didn't answer in time tells nothing, and a single one may be wrong.
func (t *table) checkedRelays(found relayCheck, n int) {
	switch {
	case found == relaysServe || !t.isCutOff(n):
		t.lostChecks = 0
	case found == relaysLost:
		t.lostChecks++
	}
	t.isolated = t.lostChecks >= minLostChecks
}

// avoid records that a host shouldn't be asked for a while.
func (t *table) avoid(now time.Time, host string) { t.avoidUntil[host] = now.Add(avoidPeriod) }

// forget drops an endpoint that was removed.
func (t *table) forget(addr string) {
	delete(t.failed, addr)
	delete(t.relayed, addr)
	delete(t.lost, addr)
	delete(t.late, addr)
	delete(t.missedAt, addr)
	delete(t.joinedBy, addr)
	t.settle()
}

// settle ends the isolation of a host that knows no endpoint any more which it failed to reach.
func (t *table) settle() {
	if !t.isTroubled() {
		t.isolated, t.lostChecks = false, 0
	}
}

// retain drops all endpoints but those at the given addresses.
func (t *table) retain(addrs []string) {
	for _, rows := range []map[string]time.Time{t.failed, t.relayed, t.lost, t.late} {
		maps.DeleteFunc(rows, func(addr string, _ time.Time) bool { return !slices.Contains(addrs, addr) })
	}
	maps.DeleteFunc(t.missedAt, func(addr string, _ map[string]time.Time) bool { return !slices.Contains(addrs, addr) })
	maps.DeleteFunc(t.joinedBy, func(addr, _ string) bool { return !slices.Contains(addrs, addr) })
	t.settle()
}

// missedBy records that hosts haven't reached an endpoint.
func (t *table) missedBy(now time.Time, addr string, hosts []Host) {
	if t.missedAt[addr] == nil {
		t.missedAt[addr] = map[string]time.Time{}
	}
	for _, h := range hosts {
		t.missedAt[addr][h.Name] = now
	}
}

// due returns up to n endpoints that are reached through relays and are to be tried without, the one
// that was tried longest ago first.
func (t *table) due(now time.Time, n int) []string {
	var out []string
	for addr, at := range t.relayed {
		if now.Sub(at) >= retryAfter {
			out = append(out, addr)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return t.relayed[a].Compare(t.relayed[b]) })
	return out[:min(n, len(out))]
}

// expire drops hosts that may be asked again.
func (t *table) expire(now time.Time) {
	maps.DeleteFunc(t.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

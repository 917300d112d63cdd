// Package jkfreshness decides from confirmations by the store whether the rules in force of a host are
// known to be the newest, and whom the host asks next. It runs no calls and reads no clock: all times
// are uptimes (jktimer.Service.Uptime), which include suspensions of the machine.
package jkfreshness

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configures a Table.
type Options struct {
	// Host is the name of this host.
	Host string
	// Bound is the time after which a key that was removed must not be served; zero means that
	// there is no such bound.
	Bound time.Duration
}

// Confirmation states that the newest revision of the rules at a time was none before Revision.
type Confirmation struct {
	Revision int64
	// At is the uptime of this host when the read that shows it was sent, or an earlier one.
	At time.Duration
}

const (
	// maxInterval is the longest interval between confirmations. Twice the interval has to stay
	// close to maxDenyAge, whatever the bound.
	maxInterval = time.Second
	// minInterval keeps a bound that no host can hold from filling the network with calls.
	minInterval = 100 * time.Millisecond
	// maxDenyAge is the age of the rules up to which an unknown key is denied. New rules have to be
	// in force on all hosts 3 s after the store confirmed them, so that a key which this host
	// doesn't know was added too recently for a caller to rely on it.
	maxDenyAge = 2 * time.Second
	// noAge is the age of rules without a confirmation.
	noAge = time.Duration(math.MaxInt64)
)

// Table holds what a host knows about the age of its rules. It isn't safe for concurrent use.
type Table struct {
	bound    time.Duration
	interval time.Duration
	// host is this host, and spread a number from 0 to 1 by which the hosts differ, so that they
	// don't act at the same moment.
	host   string
	spread float64

	// active is set while the rules in force have workspaces, and activeAt is since when.
	active   bool
	activeAt time.Duration
	// inForce is the revision of the rules in force. confirmed is the newest confirmation that
	// counts, and pending one of a revision that isn't in force yet.
	inForce   int64
	confirmed Confirmation
	pending   Confirmation

	asks  asks
	reads reads
}

// New returns a Table that knows nothing.
func New(o Options) *Table {
	t := &Table{
		bound: o.Bound, interval: maxInterval, host: o.Host,
		spread: float64(xxhash.Sum64String(o.Host)) / math.MaxUint64,
		asks:   asks{askedAt: map[string]time.Duration{}, avoidUntil: map[string]time.Duration{}},
	}
	if o.Bound > 0 {
		t.interval = max(minInterval, min(maxInterval, o.Bound/5))
	}
	return t
}

// SetInForce records that the rules in force include all versions up to a revision, and whether they
// have workspaces. The rules must be in force already. The revision never goes back.
func (t *Table) SetInForce(revision int64, hasWorkspaces bool, now time.Duration) {
	if hasWorkspaces && !t.active {
		t.activeAt = now
	}
	t.inForce, t.active = max(t.inForce, revision), hasWorkspaces
	if t.pending.Revision > 0 && t.pending.Revision <= t.inForce && t.pending.At > t.confirmed.At {
		t.confirmed = t.pending
	}
}

// InForce returns the revision up to which the rules in force are complete.
func (t *Table) InForce() int64 { return t.inForce }

// Confirm takes a confirmation. One of a revision that isn't in force counts from when it is.
func (t *Table) Confirm(c Confirmation, now time.Duration) {
	if c.Revision <= 0 || c.At > now {
		return
	}
	switch {
	case c.Revision > t.inForce:
		if c.Revision > t.pending.Revision || c.Revision == t.pending.Revision && c.At > t.pending.At {
			t.pending = c
		}
	case c.At > t.confirmed.At || t.confirmed.Revision == 0:
		t.confirmed = c
	}
}

// Confirmed returns the newest confirmation that counts for the rules in force, and false if there is
// none.
func (t *Table) Confirmed() (Confirmation, bool) { return t.confirmed, t.confirmed.Revision > 0 }

// Age returns the age of the rules in force: no newer ones had been confirmed by the store that long
// ago. Without a confirmation it is the largest duration.
func (t *Table) Age(now time.Duration) time.Duration {
	if t.confirmed.Revision == 0 {
		return noAge
	}
	return now - t.confirmed.At
}

// MayServe reports whether a key of the rules can't have been removed for longer than the bound. The
// limit of four fifths leaves the rest to clocks that run at different speeds.
func (t *Table) MayServe(now time.Duration) bool {
	return t.bound <= 0 || t.Age(now) < t.bound/5*4
}

// MayDeny reports whether a key that the rules don't have can't have been added already.
func (t *Table) MayDeny(now time.Duration) bool {
	limit := maxDenyAge
	if t.bound > 0 {
		limit = min(limit, t.bound/5*4)
	}
	return t.pending.Revision <= t.inForce && t.Age(now) <= limit
}

// State is how well a host knows that its rules are the newest.
type State string

// States of the rules. An entry with late rules takes no new connections, and one with stale rules
// refuses requests with keys.
const (
	StateCurrent State = "current"
	StateLate    State = "late"
	StateStale   State = "stale"
)

// State returns the state of the rules in force. They are current where nothing depends on their age.
func (t *Table) State(now time.Duration) State {
	switch {
	case !t.active || t.bound <= 0 || t.Age(now) < t.bound/5*3:
		return StateCurrent
	case t.MayServe(now):
		return StateLate
	}
	return StateStale
}

// IsReady reports whether the host should get new connections.
func (t *Table) IsReady(now time.Duration) bool { return t.State(now) == StateCurrent }

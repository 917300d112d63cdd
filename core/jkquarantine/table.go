// Package jkquarantine is the pure table of request contents that crash
// endpoints. One crash makes a content a suspect that only its home may try
// once more; a second crash quarantines it.
package jkquarantine

import (
	"time"

	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jktoken"
)

const (
	// crashLimit is the number of crashes after which a content is refused
	// everywhere.
	crashLimit = 2
	// exclusive is how long a suspect is left to its home. It covers the time
	// until the news has reached every host and the second try has ended.
	exclusive = 30 * time.Second
	// retention is how long a quarantined content stays refused.
	retention = 24 * time.Hour
	// exported bounds the suspects in one heartbeat, the latest first to leave
	// when all have been sent.
	exported = 8
)

// row is one suspect.
type row struct {
	crashes int
	owner   jktoken.Incarnation
	last    time.Time
	sent    time.Time
}

// Table holds the suspects that a host knows. It is not safe for concurrent
// use.
type Table struct {
	limit int
	rows  map[string]*row
}

// New returns a table of at most limit suspects. When it is full the one with
// the oldest crash is dropped.
func New(limit int) *Table { return &Table{limit: limit, rows: map[string]*row{}} }

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.rows) }

// Crashed notes that an endpoint died while it ran a content for a home.
func (t *Table) Crashed(now time.Time, fingerprint string, home jktoken.Incarnation) {
	r := t.add(fingerprint)
	r.crashes++
	r.owner = home
	r.last = now
	r.sent = time.Time{}
}

// Merge takes the suspects of another host. Counts of one content don't add up,
// because both hosts may have heard of the same crash.
func (t *Table) Merge(now time.Time, suspects []jkmsg.Suspect) {
	for _, s := range suspects {
		r := t.add(s.Fingerprint)
		if s.Crashes > r.crashes {
			r.crashes = s.Crashes
			r.owner = s.Owner
			r.last = now.Add(-s.Age)
			r.sent = time.Time{}
		}
	}
}

func (t *Table) add(fingerprint string) *row {
	r := t.rows[fingerprint]
	if r != nil {
		return r
	}
	if len(t.rows) >= t.limit {
		t.dropOldest()
	}
	r = &row{}
	t.rows[fingerprint] = r
	return r
}

func (t *Table) dropOldest() {
	oldest := ""
	for id, r := range t.rows {
		if oldest == "" || r.last.Before(t.rows[oldest].last) {
			oldest = id
		}
	}
	delete(t.rows, oldest)
}

// IsRefused reports whether a home may not run a content now.
func (t *Table) IsRefused(now time.Time, fingerprint string, home jktoken.Incarnation) bool {
	r := t.rows[fingerprint]
	if r == nil {
		return false
	}
	if r.crashes >= crashLimit {
		return now.Sub(r.last) < retention
	}
	return r.owner != home && now.Sub(r.last) < exclusive
}

// Export returns the suspects that wait longest to be sent.
func (t *Table) Export(now time.Time) []jkmsg.Suspect {
	var out []jkmsg.Suspect
	for len(out) < exported && len(out) < len(t.rows) {
		next := ""
		for id, r := range t.rows {
			if !r.sent.Equal(now) && (next == "" || r.sent.Before(t.rows[next].sent)) {
				next = id
			}
		}
		if next == "" {
			break
		}
		r := t.rows[next]
		r.sent = now
		out = append(out, jkmsg.Suspect{Fingerprint: next, Crashes: r.crashes, Owner: r.owner, Age: now.Sub(r.last)})
	}
	return out
}

// Quarantined returns the contents that are refused everywhere.
func (t *Table) Quarantined(now time.Time) []string {
	var out []string
	for id, r := range t.rows {
		if r.crashes >= crashLimit && now.Sub(r.last) < retention {
			out = append(out, id)
		}
	}
	return out
}

// Remove lifts the quarantine of a content.
func (t *Table) Remove(fingerprint string) { delete(t.rows, fingerprint) }

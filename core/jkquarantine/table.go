// Package jkquarantine is the pure table of request contents that crash
// endpoints. One crash makes a content a suspect that only its home may try
// once more; a second crash quarantines it.
package jkquarantine

import (
	"sort"
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
	// lifted holds when the quarantine of a content was lifted, so that the
	// news of older crashes, still told by other hosts, is ignored.
	lifted map[string]time.Time
}

// New returns a table of at most limit suspects. When it is full the one with
// the oldest crash is dropped.
func New(limit int) *Table {
	return &Table{limit: limit, rows: map[string]*row{}, lifted: map[string]time.Time{}}
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.rows) }

// Crashes returns the number of known crashes of a content.
func (t *Table) Crashes(fingerprint string) int {
	if r := t.rows[fingerprint]; r != nil {
		return r.crashes
	}
	return 0
}

// Crashed notes that an endpoint died while it ran a content for a home, which
// makes the given number of crashes. Two hosts that note the same crash give the
// same number, so it counts once.
func (t *Table) Crashed(now time.Time, fingerprint string, home jktoken.Incarnation, crashes int) {
	r := t.add(fingerprint)
	if crashes <= r.crashes {
		return
	}
	r.crashes = crashes
	r.owner = home
	r.last = now
	r.sent = time.Time{}
}

// Merge takes the suspects of another host. Counts of one content don't add up,
// because both hosts may have heard of the same crash.
func (t *Table) Merge(now time.Time, suspects []jkmsg.Suspect) {
	for _, s := range suspects {
		if t.isLifted(now.Add(-s.Age), s.Fingerprint) {
			continue
		}
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

// All returns every content in the table, ordered by fingerprint.
func (t *Table) All(now time.Time) []jkmsg.Suspect {
	out := make([]jkmsg.Suspect, 0, len(t.rows))
	for id, r := range t.rows {
		out = append(out, jkmsg.Suspect{Fingerprint: id, Crashes: r.crashes, Owner: r.owner, Age: now.Sub(r.last)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// liftDelay covers the time that the news of a crash takes between hosts, which
// makes the crash look later than it was.
const liftDelay = 2 * time.Second

// Lift ends the quarantine of a content and reports whether it was known. Crashes
// before now no longer count; later ones do.
func (t *Table) Lift(now time.Time, fingerprint string) bool {
	_, known := t.rows[fingerprint]
	delete(t.rows, fingerprint)
	for id, at := range t.lifted {
		if now.Sub(at) > retention || len(t.lifted) >= t.limit {
			delete(t.lifted, id)
		}
	}
	t.lifted[fingerprint] = now
	return known
}

func (t *Table) isLifted(crashed time.Time, fingerprint string) bool {
	at, ok := t.lifted[fingerprint]
	return ok && crashed.Before(at.Add(liftDelay))
}

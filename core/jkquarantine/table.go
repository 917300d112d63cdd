// Package jkquarantine is the table of request contents, by fingerprint, that crash
// endpoints. After one crash a content is a suspect that only its home may retry once;
// a second crash quarantines it. The package does no input or output and takes the time
// as an argument; heartbeats carry its suspects between hosts.
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
	// retryExclusivity is how long only the home of a suspect may run it. It covers the
	// time until every host knows of the crash and the retry has ended.
	retryExclusivity = 30 * time.Second
	// retention is how long a quarantined content stays refused after its last crash.
	retention = 24 * time.Hour
	// maxExported bounds the suspects in one heartbeat.
	maxExported = 8
)

// suspect is a content that has crashed an endpoint at least once.
type suspect struct {
	crashes    int
	owner      jktoken.Incarnation
	lastCrash  time.Time
	lastExport time.Time
}

// Table holds the suspects known to a host. It is not safe for concurrent use.
type Table struct {
	limit    int
	suspects map[string]*suspect
	// liftedAt holds the time at which the quarantine of a content was lifted, so that
	// reports of older crashes, which other hosts still send, are ignored.
	liftedAt map[string]time.Time
}

// New returns a table of at most limit suspects. A full table evicts the suspect with
// the oldest crash.
func New(limit int) *Table {
	return &Table{limit: limit, suspects: map[string]*suspect{}, liftedAt: map[string]time.Time{}}
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.suspects) }

// Crashes returns the number of known crashes of a content.
func (t *Table) Crashes(fingerprint string) int {
	if r := t.suspects[fingerprint]; r != nil {
		return r.crashes
	}
	return 0
}

// Crashed records that an endpoint died while it ran a content for a home. Crashes is
// the total including this one: two hosts that record the same crash give the same
// number, so it counts once.
func (t *Table) Crashed(now time.Time, fingerprint string, home jktoken.Incarnation, crashes int) {
	r := t.getOrAdd(fingerprint)
	if crashes <= r.crashes {
		return
	}
	r.crashes = crashes
	r.owner = home
	r.lastCrash = now
	r.lastExport = time.Time{}
}

// Merge adds the suspects of another host. The higher count of a content wins; counts
// are not added up, because both hosts may know of the same crash.
func (t *Table) Merge(now time.Time, suspects []jkmsg.Suspect) {
	for _, s := range suspects {
		if t.isLifted(now.Add(-s.Age), s.Fingerprint) {
			continue
		}
		r := t.getOrAdd(s.Fingerprint)
		if s.Crashes > r.crashes {
			r.crashes = s.Crashes
			r.owner = s.Owner
			r.lastCrash = now.Add(-s.Age)
			r.lastExport = time.Time{}
		}
	}
}

// getOrAdd returns the entry of a content, adding one if there is none.
func (t *Table) getOrAdd(fingerprint string) *suspect {
	r := t.suspects[fingerprint]
	if r != nil {
		return r
	}
	if len(t.suspects) >= t.limit {
		t.evictOldest()
	}
	r = &suspect{}
	t.suspects[fingerprint] = r
	return r
}

func (t *Table) evictOldest() {
	oldest := ""
	for id, r := range t.suspects {
		if oldest == "" || r.lastCrash.Before(t.suspects[oldest].lastCrash) {
			oldest = id
		}
	}
	delete(t.suspects, oldest)
}

// IsRefused reports whether a home must not run a content now.
func (t *Table) IsRefused(now time.Time, fingerprint string, home jktoken.Incarnation) bool {
	r := t.suspects[fingerprint]
	if r == nil {
		return false
	}
	if r.crashes >= crashLimit {
		return now.Sub(r.lastCrash) < retention
	}
	return r.owner != home && now.Sub(r.lastCrash) < retryExclusivity
}

// Export returns the suspects for the next heartbeat: first those not exported since
// their last crash became known, then those exported longest ago.
func (t *Table) Export(now time.Time) []jkmsg.Suspect {
	var out []jkmsg.Suspect
	for len(out) < maxExported && len(out) < len(t.suspects) {
		next := ""
		for id, r := range t.suspects {
			if !r.lastExport.Equal(now) && (next == "" || r.lastExport.Before(t.suspects[next].lastExport)) {
				next = id
			}
		}
		if next == "" {
			break
		}
		r := t.suspects[next]
		r.lastExport = now
		out = append(out, jkmsg.Suspect{Fingerprint: next, Crashes: r.crashes, Owner: r.owner, Age: now.Sub(r.lastCrash)})
	}
	return out
}

// Quarantined returns the contents that are refused everywhere.
func (t *Table) Quarantined(now time.Time) []string {
	var out []string
	for id, r := range t.suspects {
		if r.crashes >= crashLimit && now.Sub(r.lastCrash) < retention {
			out = append(out, id)
		}
	}
	return out
}

// All returns every content in the table, ordered by fingerprint.
func (t *Table) All(now time.Time) []jkmsg.Suspect {
	out := make([]jkmsg.Suspect, 0, len(t.suspects))
	for id, r := range t.suspects {
		out = append(out, jkmsg.Suspect{Fingerprint: id, Crashes: r.crashes, Owner: r.owner, Age: now.Sub(r.lastCrash)})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// propagationDelay bounds the time that a report of a crash takes between hosts. Because
// of this delay, the receiver takes the crash to be later than it was.
const propagationDelay = 2 * time.Second

// Lift ends the quarantine of a content and reports whether the content was known.
// Crashes before now no longer count; later ones do.
func (t *Table) Lift(now time.Time, fingerprint string) bool {
	_, known := t.suspects[fingerprint]
	delete(t.suspects, fingerprint)
	for id, at := range t.liftedAt {
		if now.Sub(at) > retention || len(t.liftedAt) >= t.limit {
			delete(t.liftedAt, id)
		}
	}
	t.liftedAt[fingerprint] = now
	return known
}

// isLifted reports whether a crash reported by another host happened before the
// content's quarantine was lifted, with propagationDelay as margin.
func (t *Table) isLifted(crashed time.Time, fingerprint string) bool {
	at, ok := t.liftedAt[fingerprint]
	return ok && crashed.Before(at.Add(propagationDelay))
}

// Package jkcrash counts, for each request content, the endpoints that ended while they
// ran it, and says which contents are refused. Hosts exchange their counts; the exchange
// may lose, repeat and reorder messages. The package does no input or output and takes
// the time as an argument. The daemon's own interface has jkquarantine instead, whose
// suspects have a home that alone may retry them; here any host may get any retry.
package jkcrash

import (
	"cmp"
	"slices"
	"time"
)

// crashLimit is the number of crashes after which a content is refused.
const crashLimit = 3

const (
	// suspectRetention is how long a content below the limit is remembered after its
	// last crash.
	suspectRetention = 5 * time.Minute
	// minQuarantine is how long a content at the limit is refused. Each further crash
	// doubles the time, up to maxQuarantine.
	minQuarantine = time.Minute
	maxQuarantine = time.Hour
	// maxCrashes bounds the crashes that are remembered for one content.
	maxCrashes = 12
)

// Key identifies the content of a request.
type Key uint64

// Life identifies one start of an endpoint.
type Life uint64

// Suspect is a content with the lives of the endpoints that ended while they ran it.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key     Key
	Crashes []Life
	// Cleared are crashes that no longer count, since the content was served later.
	Cleared []Life
	// Age is the time since the last crash.
	Age time.Duration
}

// row is the state of one content.
type row struct {
	crashes    []Life
	cleared    []Life
	lastCrash  time.Time
	lastExport time.Time
}

// count returns the number of crashes that count.
func (r *row) count() int {
	n := 0
	for _, life := range r.crashes {
		if !slices.Contains(r.cleared, life) {
			n++
		}
	}
	return n
}

// quarantine returns how long the content is refused after its last crash.
func (r *row) quarantine() time.Duration {
	n := r.count()
	if n < crashLimit {
		return 0
	}
	return min(minQuarantine<<(n-crashLimit), maxQuarantine)
}

// Table holds the suspects known to a host. It is not safe for concurrent use.
type Table struct {
	limit int
	rows  map[Key]*row
}

// New returns a table of at most limit contents. A full table forgets the content with
// the oldest crash.
func New(limit int) *Table { return &Table{limit: limit, rows: map[Key]*row{}} }

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.rows) }

// Crashed records that an endpoint ended while it ran a content, and returns the number
// of crashes that count. It reports false if the crash was known.
func (t *Table) Crashed(now time.Time, key Key, life Life) (crashes int, added bool) {
	r := t.getOrAdd(key)
	if slices.Contains(r.crashes, life) {
		return r.count(), false
	}
	r.lastCrash, r.lastExport = now, time.Time{}
	if len(r.crashes) < maxCrashes {
		r.crashes = append(r.crashes, life)
	}
	return r.count(), true
}

// Served records that an endpoint served a content, which clears it of the crashes so
// far. It reports whether there were any that counted.
func (t *Table) Served(key Key) bool {
	r := t.rows[key]
	if r == nil || r.count() == 0 {
		return false
	}
	r.cleared, r.lastExport = slices.Clone(r.crashes), time.Time{}
	return true
}

// Refused returns how long a content is still refused; it isn't if the time is zero.
func (t *Table) Refused(now time.Time, key Key) time.Duration {
	r := t.rows[key]
	if r == nil {
		return 0
	}
	return max(r.quarantine()-now.Sub(r.lastCrash), 0)
}

// RefusedCount returns the number of contents that are refused.
func (t *Table) RefusedCount(now time.Time) int {
	n := 0
	for key := range t.rows {
		if t.Refused(now, key) > 0 {
			n++
		}
	}
	return n
}

// Merge adds the suspects of another host and returns the contents that are refused only
// since then.
func (t *Table) Merge(now time.Time, suspects []Suspect) []Key {
	var refused []Key
	for _, s := range suspects {
		if s.Age < 0 || s.Age > maxQuarantine {
			continue
		}
		before := t.Refused(now, s.Key)
		r := t.getOrAdd(s.Key)
		crashes, cleared := len(r.crashes), len(r.cleared)
		r.crashes = union(r.crashes, s.Crashes)
		r.cleared = union(r.cleared, s.Cleared)
		if at := now.Add(-s.Age); len(r.crashes) > crashes && at.After(r.lastCrash) {
			r.lastCrash = at
		}
		if len(r.crashes) > crashes || len(r.cleared) > cleared {
			r.lastExport = time.Time{}
		}
		if before == 0 && t.Refused(now, s.Key) > 0 {
			refused = append(refused, s.Key)
		}
	}
	return refused
}

func union(a, b []Life) []Life {
	for _, life := range b {
		if len(a) < maxCrashes && !slices.Contains(a, life) {
			a = append(a, life)
		}
	}
	return a
}

func (t *Table) getOrAdd(key Key) *row {
	if r := t.rows[key]; r != nil {
		return r
	}
	if len(t.rows) >= t.limit {
		t.evictOldest()
	}
	r := &row{}
	t.rows[key] = r
	return r
}

func (t *Table) evictOldest() {
	var oldest Key
	first := true
	for key, r := range t.rows {
		if first || r.lastCrash.Before(t.rows[oldest].lastCrash) {
			oldest, first = key, false
		}
	}
	delete(t.rows, oldest)
}

// Expire forgets contents whose last crash is long ago.
func (t *Table) Expire(now time.Time) {
	for key, r := range t.rows {
		if now.Sub(r.lastCrash) > max(2*r.quarantine(), suspectRetention) {
			delete(t.rows, key)
		}
	}
}

// Changed reports whether a suspect has changed since its last export.
func (t *Table) Changed() bool {
	for _, r := range t.rows {
		if r.lastExport.IsZero() {
			return true
		}
	}
	return false
}

// Export returns up to n suspects for other hosts: those that changed first, then those
// exported longest ago.
func (t *Table) Export(now time.Time, n int) []Suspect {
	keys := t.exportOrder()
	keys = keys[:min(n, len(keys))]
	for _, key := range keys {
		t.rows[key].lastExport = now
	}
	return t.suspects(now, keys)
}

// Latest returns up to n suspects, those with the latest crashes, for a host that has
// started. It doesn't count as an export.
func (t *Table) Latest(now time.Time, n int) []Suspect {
	keys := t.exportOrder()
	slices.SortStableFunc(keys, func(a, b Key) int { return t.rows[b].lastCrash.Compare(t.rows[a].lastCrash) })
	return t.suspects(now, keys[:min(n, len(keys))])
}

func (t *Table) exportOrder() []Key {
	keys := make([]Key, 0, len(t.rows))
	for key := range t.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if c := t.rows[a].lastExport.Compare(t.rows[b].lastExport); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return keys
}

func (t *Table) suspects(now time.Time, keys []Key) []Suspect {
	out := make([]Suspect, 0, len(keys))
	for _, key := range keys {
		r := t.rows[key]
		out = append(out, Suspect{Key: key, Crashes: slices.Clone(r.crashes), Cleared: slices.Clone(r.cleared), Age: now.Sub(r.lastCrash)})
	}
	return out
}

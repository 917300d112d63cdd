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

// Crash is the end of an endpoint while it ran a content.
type Crash struct {
	Life Life
	// SentAt is when the content was sent to the endpoint, and EndedAt when its exchange
	// broke off.
	SentAt  time.Time
	EndedAt time.Time
}

// Suspect is a content with the endpoints that ended while they ran it.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`

	Key     Key
	Crashes []CrashReport
	// Cleared are crashes that no longer count, since the content was served later.
	Cleared []Life
}

// CrashReport is a crash for another host, whose clock differs.
type CrashReport struct {
	_msgpack struct{} `msgpack:",as_array"`

	Life Life
	// Sent and Ended are the times since then.
	Sent  time.Duration
	Ended time.Duration
}

// row is the state of one content.
type row struct {
	// crashes are ordered by their ends.
	crashes    []Crash
	cleared    []Life
	lastExport time.Time
}

// count returns the number of crashes that count: those of attempts that were sent after
// the crash before. Endpoints that end at the same moment, for a reason of their own, may
// all have run a content that many callers send.
func (r *row) count() int {
	n := 0
	var last time.Time
	for _, c := range r.crashes {
		if slices.Contains(r.cleared, c.Life) || c.SentAt.Before(last) {
			continue
		}
		n++
		last = c.EndedAt
	}
	return n
}

// lastCrash returns when the last crash ended.
func (r *row) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].EndedAt
}

// add adds a crash and reports whether it wasn't known.
func (r *row) add(c Crash) bool {
	known := slices.ContainsFunc(r.crashes, func(other Crash) bool { return other.Life == c.Life })
	if known || len(r.crashes) >= maxCrashes {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.EndedAt.Compare(b.EndedAt) })
	return true
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
func (t *Table) Crashed(key Key, c Crash) (crashes int, added bool) {
	r := t.getOrAdd(key)
	if added = r.add(c); added {
		r.lastExport = time.Time{}
	}
	return r.count(), added
}

// Served records that an endpoint served a content, which clears it of the crashes so
// far. It reports whether there were any that counted.
func (t *Table) Served(key Key) bool {
	r := t.rows[key]
	if r == nil || r.count() == 0 {
		return false
	}
	r.lastExport = time.Time{}
	for _, c := range r.crashes {
		r.clear(c.Life)
	}
	return true
}

// clear records that a crash no longer counts, and reports whether that is new.
func (r *row) clear(life Life) bool {
	if len(r.cleared) >= maxCrashes || slices.Contains(r.cleared, life) {
		return false
	}
	r.cleared = append(r.cleared, life)
	return true
}

// Refused returns how long a content is still refused; it isn't if the time is zero.
func (t *Table) Refused(now time.Time, key Key) time.Duration {
	r := t.rows[key]
	if r == nil {
		return 0
	}
	return max(r.quarantine()-now.Sub(r.lastCrash()), 0)
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
		before := t.Refused(now, s.Key)
		r := t.getOrAdd(s.Key)
		changed := false
		for _, c := range s.Crashes {
			if c.Ended < 0 || c.Sent < c.Ended || c.Ended > maxQuarantine {
				continue
			}
			changed = r.add(Crash{Life: c.Life, SentAt: now.Add(-c.Sent), EndedAt: now.Add(-c.Ended)}) || changed
		}
		for _, life := range s.Cleared {
			changed = r.clear(life) || changed
		}
		if changed {
			r.lastExport = time.Time{}
		}
		if before == 0 && t.Refused(now, s.Key) > 0 {
			refused = append(refused, s.Key)
		}
	}
	return refused
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
		if first || r.lastCrash().Before(t.rows[oldest].lastCrash()) {
			oldest, first = key, false
		}
	}
	delete(t.rows, oldest)
}

// Expire forgets contents whose last crash is long ago.
func (t *Table) Expire(now time.Time) {
	for key, r := range t.rows {
		if now.Sub(r.lastCrash()) > max(2*r.quarantine(), suspectRetention) {
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
	slices.SortStableFunc(keys, func(a, b Key) int { return t.rows[b].lastCrash().Compare(t.rows[a].lastCrash()) })
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
		one := Suspect{Key: key, Cleared: slices.Clone(r.cleared)}
		for _, c := range r.crashes {
			one.Crashes = append(one.Crashes, CrashReport{Life: c.Life, Sent: now.Sub(c.SentAt), Ended: now.Sub(c.EndedAt)})
		}
		out = append(out, one)
	}
	return out
}

package jkforward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jksched"
)

// Host is a host that sends requests to endpoints.
type Host struct {
	Name string
	Zone string
}

// notice is what an endpoint says of itself in its answers.
type notice struct {
	// born is the start time of the endpoint that says so.
	born int64
	// limit is the number of requests a second that the endpoint takes from all hosts
	// together; zero means that it names no limit.
	limit float64
	// leaving is set once the endpoint has said that it leaves. It never takes that back.
	leaving bool
	// saidAt is when the latest answer said so, at this host or another one, and changedAt
	// when it last said something else than before.
	saidAt     time.Time
	changedAt  time.Time
	exportedAt time.Time
	// removedAt is when the entry of the endpoint was removed.
	removedAt time.Time
	// leftAt is when the endpoint was first known to leave, or its entry was removed.
	leftAt time.Time
}

// NoticeReport is a notice for other hosts.
type NoticeReport struct {
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	Born     int64
	Limit    float64
	Leaving  bool
	Age      time.Duration
}

// Limits beyond maxLimit allow any load. An endpoint that takes no requests is asked again
// at the rate of minLimit, in requests a second.
const (
	maxLimit = 1e6
	minLimit = 0.1
)

// ParsedLimit returns a limit that an endpoint named, or zero if it allows any load or
// can't be one.
func ParsedLimit(perSecond float64) float64 {
	if math.IsNaN(perSecond) || perSecond < 0 || perSecond > maxLimit {
		return 0
	}
	return max(perSecond, minLimit)
}

// keepNotice keeps the notice of an endpoint whose entry was written, and drops that of an
// earlier start. The caller holds the lock.
func (f *Fleet) keepNotice(id string, born int64) {
	n := f.notices[id]
	if n == nil || n.born != born {
		f.notices[id] = &notice{born: born}
		f.direct.ClearLimit(id)
		return
	}
	n.removedAt = time.Time{}
	f.applyNotice(id, n)
}

// noteState notes whether an endpoint takes new calls. The caller holds the lock.
func (f *Fleet) noteState(id string) {
	n := f.notices[id]
	if n == nil {
		return
	}
	switch e, ok := f.direct.Endpoint(id); {
	case ok && e.State == jksched.StateLive:
		n.leftAt = time.Time{}
	case n.leftAt.IsZero():
		n.leftAt = f.timer.Now()
	}
}

// hasJustLeft reports whether an endpoint began to leave, or its entry was removed, less than leftReusePeriod ago. The
// caller holds the lock.
func (f *Fleet) hasJustLeft(id string) bool {
	n := f.notices[id]
	return n != nil && !n.leftAt.IsZero() && f.timer.Now().Sub(n.leftAt) < leftReusePeriod
}

// removedNoticePeriod is how long the notice of an endpoint is kept after its entry was
// removed: a registry that was away may list the endpoint again.
const removedNoticePeriod = time.Minute

// expireNotices drops the notices of endpoints that were removed. The caller holds the
// lock.
func (f *Fleet) expireNotices(now time.Time) {
	for id, n := range f.notices {
		if !n.removedAt.IsZero() && now.Sub(n.removedAt) > removedNoticePeriod {
			delete(f.notices, id)
		}
	}
}

// applyNotice passes what an endpoint says to the placer: that it leaves, whatever its entry
// says, and this host's share of its limit. The caller holds the lock.
func (f *Fleet) applyNotice(id string, n *notice) {
	if e, ok := f.direct.Endpoint(id); ok && n.leaving && e.State == jksched.StateLive {
		e.State = jksched.StateLeaving
		f.direct.SetEndpoint(e)
	}
	if n.limit == 0 {
		f.direct.ClearLimit(id)
		return
	}
	f.direct.SetLimit(f.timer.Now(), id, f.shareOf(id, n.limit))
}

// shareOf returns this host's share of an endpoint's limit. The limit is shared by as many
// hosts as it has requests a second, so that not more of them send at the same moment:
// first the hosts of the endpoint's zone, each ordered by a hash. All hosts that know the
// same hosts agree. The caller holds the lock.
func (f *Fleet) shareOf(id string, limit float64) float64 {
	sharing := max(min(int(limit), len(f.hosts)), 1)
	e, _ := f.direct.Endpoint(id)
	rank := 0
	for _, other := range f.hosts {
		if other.Name != f.self.Name && compareHosts(id, e.Zone, other, f.self) < 0 {
			rank++
		}
	}
	if rank >= sharing {
		return 0
	}
	return limit / float64(sharing)
}

func compareHosts(endpoint, zone string, a, b Host) int {
	if a.Zone == zone != (b.Zone == zone) {
		if a.Zone == zone {
			return -1
		}
		return 1
	}
	return cmp.Compare(xxhash.Sum64String(a.Name+"\x00"+endpoint), xxhash.Sum64String(b.Name+"\x00"+endpoint))
}

// SetHosts sets the hosts that share the limits of endpoints, including this one.
func (f *Fleet) SetHosts(hosts []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(hosts, f.hosts) {
		return
	}
	f.hosts = slices.Clone(hosts)
	for id, n := range f.notices {
		if n.limit > 0 {
			f.applyNotice(id, n)
		}
	}
}

// reportNotice records what an answer of an endpoint to this host says, and reports
// whether it changes anything.
func (f *Fleet) reportNotice(id string, limit float64, leaving bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.notices[id]
	if n == nil {
		// The entry of the endpoint was removed long ago.
		return false
	}
	return f.update(id, n, limit, leaving, f.timer.Now())
}

func (f *Fleet) update(id string, n *notice, limit float64, leaving bool, saidAt time.Time) bool {
	if !saidAt.After(n.saidAt) {
		limit = n.limit
	} else {
		n.saidAt = saidAt
	}
	leaving = leaving || n.leaving
	if n.limit == limit && n.leaving == leaving {
		return false
	}
	n.limit, n.leaving, n.changedAt, n.exportedAt = limit, leaving, f.timer.Now(), time.Time{}
	f.applyNotice(id, n)
	f.noteState(id)
	return true
}

// LimitedEndpoints returns the number of endpoints that name a limit.
func (f *Fleet) LimitedEndpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for id, n := range f.notices {
		if _, known := f.direct.Endpoint(id); known && n.limit > 0 {
			count++
		}
	}
	return count
}

// NoticesChanged reports whether a notice has changed since its last export.
func (f *Fleet) NoticesChanged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.notices {
		if n.exportedAt.IsZero() && !n.changedAt.IsZero() {
			return true
		}
	}
	return false
}

// endedNoticePeriod is how long the end of a limit is reported to other hosts.
const endedNoticePeriod = 10 * time.Second

// ExportNotices returns up to n notices for other hosts: those that changed first, then
// those exported longest ago.
func (f *Fleet) ExportNotices(n int) []NoticeReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	f.expireNotices(now)
	ids := f.noticeOrder(now)
	ids = ids[:min(n, len(ids))]
	out := f.noticeReports(now, ids)
	for _, id := range ids {
		f.notices[id].exportedAt = now
	}
	return out
}

// LatestNotices returns up to n notices for a host that has started. It doesn't count as
// an export.
func (f *Fleet) LatestNotices(n int) []NoticeReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	ids := f.noticeOrder(now)
	return f.noticeReports(now, ids[:min(n, len(ids))])
}

// noticeOrder returns the endpoints whose notices other hosts need, in the order of their
// export. The caller holds the lock.
func (f *Fleet) noticeOrder(now time.Time) []string {
	var ids []string
	for id, one := range f.notices {
		if one.limit > 0 || one.leaving || (!one.changedAt.IsZero() && now.Sub(one.changedAt) < endedNoticePeriod) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		if c := f.notices[a].exportedAt.Compare(f.notices[b].exportedAt); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ids
}

func (f *Fleet) noticeReports(now time.Time, ids []string) []NoticeReport {
	out := make([]NoticeReport, 0, len(ids))
	for _, id := range ids {
		one := f.notices[id]
		out = append(out, NoticeReport{Endpoint: id, Born: one.born, Limit: one.limit, Leaving: one.leaving, Age: now.Sub(one.saidAt)})
	}
	return out
}

// MergeNotices applies the notices of another host. Of two reports on one endpoint the
// later one counts.
func (f *Fleet) MergeNotices(reports []NoticeReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	for _, r := range reports {
		n := f.notices[r.Endpoint]
		if n == nil || n.born != r.Born || r.Age < 0 {
			continue
		}
		limit := r.Limit
		if limit != 0 {
			limit = ParsedLimit(limit)
		}
		f.update(r.Endpoint, n, limit, r.Leaving, now.Add(-r.Age))
	}
}

package jkentry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// EntryChangedError reports a compare-and-swap of a host's entry that is at another revision.
type EntryChangedError struct {
	Host     string
	Revision int64
}

func (e *EntryChangedError) Error() string {
	return fmt.Sprintf("entry of host %q isn't at revision %d", e.Host, e.Revision)
}

// observeInterval is the interval at which a host checks whether the others answer.
const observeInterval = time.Second

// A host that was silent for suspectAfter is marked as suspected, and its entry is removed
// after removeAfter. Both exceed the usual network partition of 12 s. A host that is alive
// and reaches the store refutes the mark within refuteTimeout by writing its entry again.
// Storage hosts are marked as soon as all running hosts exclude them, which takes the
// prober 7 s, so that a host that starts later excludes them as well.
const (
	suspectAfter        = 15 * time.Second
	suspectStorageAfter = 8 * time.Second
	removeAfter         = 20 * time.Second
	refuteTimeout       = 5 * time.Second
)

// observersPerStorage is the number of entries that observe one storage host. Each acts with
// a delay of its own within observerSpread, so that mostly one of them calls the store.
const (
	observersPerStorage = 3
	observerSpread      = 3 * time.Second
)

// maxRemovedMarks is the number of removed storage hosts of which a mark stays in the store. The
// oldest ones are deleted first.
const maxRemovedMarks = 16

// callCooldown is the least time between two store calls about the same host.
const callCooldown = 5 * time.Second

// writeVisibleWithin is how long the own entry, once written, may take to arrive from the
// watch of the store. Until then it isn't written again.
const writeVisibleWithin = 3 * time.Second

// registry keeps the host's own entry in the platform's store, and marks and then removes
// the entries of hosts that no longer answer.
type registry struct {
	registryOptions

	mu  sync.Mutex
	own HostEntry
	// pendingAnnounces is the number of writes of the own entry in progress.
	pendingAnnounces int
	announcedAt      time.Time
	rows             map[string]*registryRow
}

// registryOptions configures a registry.
type registryOptions struct {
	timer *jktimer.Service
	log   jklog.Logger
	own   HostEntry
	// put and swap are PutHost and SwapHost of Platform.
	put  func(ctx context.Context, e HostEntry) error
	swap func(ctx context.Context, host string, next *HostEntry, revision int64) error
	// observes is set on hosts that mark and remove the entries of others.
	observes bool
	// storeReachable reports whether the store answers.
	storeReachable func() bool
	// lastAnswer returns when a host last answered and whether it is probed.
	lastAnswer func(host string) (last time.Time, probed bool)
	reachable  func(host string) bool
	// paused reports whether this process was paused just now, so that answers may be unread. It is set on hosts that
	// observe others.
	paused func() bool
	// runAsync runs a store call without blocking the caller.
	runAsync func(call func())
}

// registryRow is a host's entry with what was observed since it was written.
type registryRow struct {
	entry    HostEntry
	revision int64
	// silentFor is how long all conditions for a removal have held, and suspectedFor for how
	// much of that time the entry has been marked. Both count observations, since time
	// during which this process didn't run proves nothing.
	silentFor    time.Duration
	suspectedFor time.Duration
	cooldown     time.Duration
}

// runInGoroutine runs a store call in its own goroutine, so that it doesn't delay the
// timer's other subscribers.
func runInGoroutine(call func()) { go call() }

func newRegistry(o registryOptions) *registry {
	return &registry{registryOptions: o, own: o.own, rows: map[string]*registryRow{}}
}

// run writes the host's own entry and maintains the entries until the context ends.
func (r *registry) run(ctx context.Context) {
	stop := r.timer.Every(observeInterval, func() { r.tick(ctx) })
	defer stop()
	r.announce(ctx)
	<-ctx.Done()
}

// set stores an entry read from the store. An entry that was written again restarts the
// observation of its host, unless the write only marked it as suspected.
func (r *registry) set(e HostEntry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := &registryRow{entry: e, revision: revision}
	if known := r.rows[e.Host]; known != nil && e.Suspected {
		row.silentFor = known.silentFor
	}
	r.rows[e.Host] = row
}

func (r *registry) remove(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rows, host)
}

// tick writes the own entry if needed and, on a host that observes others, marks or removes
// the entries that are due.
func (r *registry) tick(ctx context.Context) {
	storeReachable := r.storeReachable()
	if r.needsAnnounce(storeReachable) {
		r.runAsync(func() { r.announce(ctx) })
	}
	if !r.observes {
		return
	}
	for _, change := range r.observe(storeReachable) {
		r.runAsync(func() { r.apply(ctx, change) })
	}
}

// needsAnnounce reports whether the own entry has to be written again: it is missing,
// marked as suspected, or out of date.
func (r *registry) needsAnnounce(storeReachable bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !storeReachable || r.pendingAnnounces > 0 || r.timer.Now().Sub(r.announcedAt) < writeVisibleWithin {
		return false
	}
	row := r.rows[r.own.Host]
	if row == nil || row.entry.Removed {
		r.log.Warn("own host entry is missing", "host", r.own.Host)
		return true
	}
	// An entry with another address was written by another start of the host.
	return row.entry != r.own && row.entry.Addr == r.own.Addr
}

// announceRetryInterval is the time between two attempts to write to the store.
const announceRetryInterval = 400 * time.Millisecond

// storeCallTimeout bounds one call to the store.
const storeCallTimeout = 2 * time.Second

// setOwn replaces the host's own entry and writes it.
func (r *registry) setOwn(ctx context.Context, own HostEntry) {
	r.mu.Lock()
	r.own = own
	r.mu.Unlock()
	r.announce(ctx)
}

// announce writes the host's own entry, with retries until the store accepts it.
func (r *registry) announce(ctx context.Context) {
	r.mu.Lock()
	r.pendingAnnounces++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pendingAnnounces--
		r.announcedAt = r.timer.Now()
	}()
	for ctx.Err() == nil {
		r.mu.Lock()
		own := r.own
		r.mu.Unlock()
		tryCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := r.put(tryCtx, own)
		cancel()
		if err == nil {
			r.log.Info("host announced", "host", own.Host, "addr", own.Addr, "ledger", own.Ledger, "leaving", own.Leaving)
			return
		}
		r.log.Warn("host entry not written", "host", own.Host, "error", err)
		r.timer.Wait(announceRetryInterval, ctx.Done())
	}
}

// entryChange is a host whose entry is to be marked or removed at a revision.
type entryChange struct {
	entry    HostEntry
	revision int64
}

// observe adds one observation of each other host and returns the entries that are due to
// be marked or removed. Nothing is observed right after a pause of this process, which ends no silence either.
func (r *registry) observe(storeReachable bool) []entryChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused() {
		return nil
	}
	now := r.timer.Now()
	var out []entryChange
	for host, row := range r.rows {
		if host == r.own.Host || row.entry.Removed {
			continue
		}
		row.cooldown = max(0, row.cooldown-observeInterval)
		if !storeReachable || !r.isSilent(host, now) || !r.zoneAnswers(row.entry, now) {
			row.silentFor, row.suspectedFor = 0, 0
			continue
		}
		row.silentFor += observeInterval
		if row.entry.Suspected {
			row.suspectedFor += observeInterval
		}
		if row.cooldown == 0 && r.isStepDue(row) && r.isObserver(row.entry) {
			row.cooldown = callCooldown
			out = append(out, entryChange{row.entry, row.revision})
		}
	}
	if storeReachable {
		out = append(out, r.surplusMarks()...)
	}
	return out
}

// surplusMarks returns the oldest marks of removed hosts if there are too many. The caller holds
// the lock.
func (r *registry) surplusMarks() []entryChange {
	var marks []*registryRow
	for _, row := range r.rows {
		if row.entry.Removed {
			row.cooldown = max(0, row.cooldown-observeInterval)
			marks = append(marks, row)
		}
	}
	if len(marks) <= maxRemovedMarks {
		return nil
	}
	slices.SortFunc(marks, func(a, b *registryRow) int { return cmp.Compare(a.revision, b.revision) })
	var out []entryChange
	for _, row := range marks[:len(marks)-maxRemovedMarks] {
		if row.cooldown == 0 && r.isObserver(row.entry) {
			row.cooldown = callCooldown
			out = append(out, entryChange{row.entry, row.revision})
		}
	}
	return out
}

// isSilent reports whether a host is probed, is out of reach and hasn't answered within
// observeInterval. Hosts in reach may be probed as seldom as that.
func (r *registry) isSilent(host string, now time.Time) bool {
	last, probed := r.lastAnswer(host)
	return probed && now.Sub(last) > observeInterval && !r.reachable(host)
}

// zoneAnswers reports whether another host of the entry's zone answers. If none does, the
// zone may be partitioned and the host's silence proves nothing.
func (r *registry) zoneAnswers(e HostEntry, now time.Time) bool {
	for host, row := range r.rows {
		if host == e.Host || host == r.own.Host || row.entry.Zone != e.Zone {
			continue
		}
		last, probed := r.lastAnswer(host)
		if probed && !last.IsZero() && (now.Sub(last) <= observeInterval || r.reachable(host)) {
			return true
		}
	}
	return false
}

// isStepDue reports whether a silent host's entry is to be marked, or removed if it is
// marked already.
func (r *registry) isStepDue(row *registryRow) bool {
	delay := time.Duration(observerRank(r.own.Host, row.entry.Host) % uint64(observerSpread))
	switch {
	case row.entry.Suspected:
		return row.silentFor >= removeAfter+delay && row.suspectedFor > refuteTimeout
	case row.entry.Ledger:
		return row.silentFor >= suspectStorageAfter+delay
	}
	return row.silentFor >= suspectAfter+delay
}

// announced returns the revision at which a host wrote its entry last, or zero if that isn't known.
func (r *registry) announced(host string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[host]
	switch {
	case row == nil:
		return 0
	case row.entry.Suspected:
		return row.entry.Announced
	}
	return row.revision
}

// isSuspected reports whether a host is marked as suspected.
func (r *registry) isSuspected(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[host]
	return row != nil && row.entry.Suspected
}

// suspectedByOthers reports whether a host is marked as suspected and has never answered a
// probe of this process, as happens if the process started after the host fell silent.
func (r *registry) suspectedByOthers(host string) bool {
	if !r.isSuspected(host) || r.reachable(host) {
		return false
	}
	last, probed := r.lastAnswer(host)
	return probed && last.IsZero()
}

// isObserver reports whether this host marks and removes the entry of another one. An entry
// host is probed by a few others only, all of which observe it. A storage host is probed by
// all, of which the reachable entries that rank first observe it.
func (r *registry) isObserver(e HostEntry) bool {
	if !e.Ledger {
		return true
	}
	lowerRanked := 0
	for host, row := range r.rows {
		if row.entry.Ledger || host == r.own.Host || !r.reachable(host) {
			continue
		}
		if cmp.Less(observerRank(host, e.Host), observerRank(r.own.Host, e.Host)) {
			lowerRanked++
		}
	}
	return lowerRanked < observersPerStorage
}

// observerRank returns an observer's rank for a host; lower ones come first.
func observerRank(observer, host string) uint64 {
	return xxhash.Sum64String(observer + "\x00" + host)
}

// apply takes the next step towards the removal of an entry: it marks it as suspected, removes it or
// deletes the mark that remained of it.
func (r *registry) apply(ctx context.Context, change entryChange) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	var (
		message string
		next    *HostEntry
		e       = change.entry
	)
	switch {
	case e.Removed:
		message = "mark of removed host deleted"
	case !e.Suspected:
		message = "silent host suspected"
		next = &e
		next.Suspected, next.Announced = true, change.revision
	case e.Ledger && !e.HandedOver:
		message = "entry of silent host removed"
		next = &HostEntry{Host: e.Host, Zone: e.Zone, Addr: e.Addr, Ledger: true, Removed: true}
	default:
		message = "entry of silent host removed"
	}
	err := r.swap(ctx, change.entry.Host, next, change.revision)
	var changed *EntryChangedError
	switch {
	case err == nil:
		r.log.Info(message, "host", change.entry.Host, "addr", change.entry.Addr, "revision", change.revision)
	case errors.As(err, &changed):
		r.log.Debug("host entry left alone, changed since it was read", "host", change.entry.Host, "revision", change.revision)
	default:
		r.log.Warn("host entry not marked or removed", "host", change.entry.Host, "error", err)
	}
}

package jkentry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// EntryChangedError is returned where a host's entry isn't at the named revision.
type EntryChangedError struct {
	Host     string
	Revision int64
}

func (e *EntryChangedError) Error() string {
	return fmt.Sprintf("entry of host %q isn't at revision %d", e.Host, e.Revision)
}

// registryEvery is the interval at which other hosts are observed.
const registryEvery = time.Second

// A host that was silent for suspectAfter is marked as suspected, and its entry is
// removed after removeAfter. Both exceed the usual cut of 12 s. A host that lives and
// reaches the store answers the mark within answerTime by writing its entry again.
// Storage hosts are marked as soon as all that run pass them over, which takes the
// prober 7 s, so that a host that starts does so too.
const (
	suspectAfter        = 15 * time.Second
	suspectStorageAfter = 8 * time.Second
	removeAfter         = 20 * time.Second
	answerTime          = 5 * time.Second
)

// observers is the number of entries that observe one storage host, and observerSpread
// the time over which they act, so that mostly one of them calls the store.
const (
	observers      = 3
	observerSpread = 3 * time.Second
)

// restAfterCall is the time until the next call for the same host.
const restAfterCall = 5 * time.Second

// announcedHeard is how long a written entry may take to come back from the store.
const announcedHeard = 3 * time.Second

// registry keeps the host's own entry in the platform's store and removes the entries
// of hosts that are gone for good.
type registry struct {
	registryOptions

	mu         sync.Mutex
	own        HostEntry
	announcing int
	announced  time.Time
	rows       map[string]*registryRow
}

// registryOptions holds what a registry needs.
type registryOptions struct {
	timer *jktimer.Service
	log   jklog.Logger
	own   HostEntry
	// put and swap are the calls of Platform.
	put  func(ctx context.Context, e HostEntry) error
	swap func(ctx context.Context, host string, next *HostEntry, revision int64) error
	// observes is set on hosts that observe others.
	observes bool
	// inTouch reports whether the store answers.
	inTouch func() bool
	// heard returns when a host last answered and whether it is probed.
	heard     func(host string) (last time.Time, probed bool)
	reachable func(host string) bool
	// start runs a call to the store.
	start func(call func())
}

// registryRow is a host's entry and what was observed since it was written.
type registryRow struct {
	entry    HostEntry
	revision int64
	// silent is how long all conditions for a removal have held, and suspected how
	// long of that the entry has been marked. Both count observations, since time
	// during which this process didn't run proves nothing.
	silent    time.Duration
	suspected time.Duration
	rest      time.Duration
}

// startCall runs a call to the store beside the timer's other subscribers.
func startCall(call func()) { go call() }

func newRegistry(o registryOptions) *registry {
	return &registry{registryOptions: o, own: o.own, rows: map[string]*registryRow{}}
}

// run announces the host and keeps the entries until the context ends.
func (r *registry) run(ctx context.Context) {
	stop := r.timer.Every(registryEvery, func() { r.tick(ctx) })
	defer stop()
	r.announce(ctx)
	<-ctx.Done()
}

// set takes an entry of the store. One that was written again starts a new
// observation, unless it was only marked.
func (r *registry) set(e HostEntry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := &registryRow{entry: e, revision: revision}
	if known := r.rows[e.Host]; known != nil && e.Suspected {
		row.silent = known.silent
	}
	r.rows[e.Host] = row
}

func (r *registry) remove(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.rows, host)
}

func (r *registry) tick(ctx context.Context) {
	inTouch := r.inTouch()
	if r.isDue(inTouch) {
		r.start(func() { r.announce(ctx) })
	}
	if !r.observes {
		return
	}
	for _, v := range r.observe(inTouch) {
		r.start(func() { r.apply(ctx, v) })
	}
}

// isDue reports whether the own entry has to be written again: it is missing, marked
// or out of date.
func (r *registry) isDue(inTouch bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !inTouch || r.announcing > 0 || r.timer.Now().Sub(r.announced) < announcedHeard {
		return false
	}
	row := r.rows[r.own.Host]
	if row == nil {
		r.log.Warn("own host entry is missing", "host", r.own.Host)
		return true
	}
	// An entry with another address belongs to another start of the host.
	return row.entry != r.own && row.entry.Addr == r.own.Addr
}

// announcePause is the time between two tries to write the host's own entry.
const announcePause = 400 * time.Millisecond

// announceTimeout bounds one try.
const announceTimeout = 2 * time.Second

// change writes another own entry.
func (r *registry) change(ctx context.Context, own HostEntry) {
	r.mu.Lock()
	r.own = own
	r.mu.Unlock()
	r.announce(ctx)
}

// announce writes the host's own entry until the store has taken it.
func (r *registry) announce(ctx context.Context) {
	r.mu.Lock()
	r.announcing++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.announcing--
		r.announced = r.timer.Now()
	}()
	for ctx.Err() == nil {
		r.mu.Lock()
		own := r.own
		r.mu.Unlock()
		try, cancel := context.WithTimeout(ctx, announceTimeout)
		err := r.put(try, own)
		cancel()
		if err == nil {
			r.log.Info("host announced", "host", own.Host, "addr", own.Addr, "ledger", own.Ledger, "leaving", own.Leaving)
			return
		}
		r.log.Warn("host not announced", "host", own.Host, "error", err)
		r.timer.Wait(announcePause, ctx.Done())
	}
}

// entryChange is a host whose entry is to be marked or removed at a revision.
type entryChange struct {
	entry    HostEntry
	revision int64
}

// observe counts one more observation of each host and returns what is to be done.
func (r *registry) observe(inTouch bool) []entryChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	var out []entryChange
	for host, row := range r.rows {
		if host == r.own.Host {
			continue
		}
		row.rest = max(0, row.rest-registryEvery)
		if !inTouch || !r.isSilent(host, now) || !r.zoneAnswers(row.entry, now) {
			row.silent, row.suspected = 0, 0
			continue
		}
		row.silent += registryEvery
		if row.entry.Suspected {
			row.suspected += registryEvery
		}
		if row.rest == 0 && r.isOver(row) && r.isObserver(row.entry) {
			row.rest = restAfterCall
			out = append(out, entryChange{row.entry, row.revision})
		}
	}
	return out
}

// isSilent reports whether a host is probed and doesn't answer.
func (r *registry) isSilent(host string, now time.Time) bool {
	last, probed := r.heard(host)
	return probed && now.Sub(last) > registryEvery
}

// zoneAnswers reports whether another host of the zone answers, so that the zone
// isn't cut off.
func (r *registry) zoneAnswers(e HostEntry, now time.Time) bool {
	for host, row := range r.rows {
		if host == e.Host || host == r.own.Host || row.entry.Zone != e.Zone {
			continue
		}
		if last, probed := r.heard(host); probed && now.Sub(last) <= registryEvery {
			return true
		}
	}
	return false
}

// isOver reports whether the time until the next step is over.
func (r *registry) isOver(row *registryRow) bool {
	delay := time.Duration(observerRank(r.own.Host, row.entry.Host) % uint64(observerSpread))
	switch {
	case row.entry.Suspected:
		return row.silent >= removeAfter+delay && row.suspected > answerTime
	case row.entry.Ledger:
		return row.silent >= suspectStorageAfter+delay
	}
	return row.silent >= suspectAfter+delay
}

// isGone reports whether a host is marked that doesn't answer this one and never did,
// as this one has started since.
func (r *registry) isGone(host string) bool {
	r.mu.Lock()
	row := r.rows[host]
	isMarked := row != nil && row.entry.Suspected
	r.mu.Unlock()
	if !isMarked || r.reachable(host) {
		return false
	}
	last, probed := r.heard(host)
	return probed && last.IsZero()
}

// isObserver reports whether this host observes another one. Entries are probed by a
// few others only, storage hosts by all.
func (r *registry) isObserver(e HostEntry) bool {
	if !e.Ledger {
		return true
	}
	before := 0
	for host, row := range r.rows {
		if row.entry.Ledger || host == r.own.Host || !r.reachable(host) {
			continue
		}
		if cmp.Less(observerRank(host, e.Host), observerRank(r.own.Host, e.Host)) {
			before++
		}
	}
	return before < observers
}

func observerRank(observer, host string) uint64 {
	return xxhash.Sum64String(observer + "\x00" + host)
}

// apply marks an entry, or removes one that is marked.
func (r *registry) apply(ctx context.Context, v entryChange) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	message := "silent host suspected"
	var next *HostEntry
	if v.entry.Suspected {
		message = "entry of silent host removed"
	} else {
		marked := v.entry
		marked.Suspected = true
		next = &marked
	}
	err := r.swap(ctx, v.entry.Host, next, v.revision)
	var changed *EntryChangedError
	switch {
	case err == nil:
		r.log.Info(message, "host", v.entry.Host, "addr", v.entry.Addr, "revision", v.revision)
	case errors.As(err, &changed):
		r.log.Debug("host entry changed meanwhile", "host", v.entry.Host, "revision", v.revision)
	default:
		r.log.Warn("host entry not changed", "host", v.entry.Host, "error", err)
	}
}

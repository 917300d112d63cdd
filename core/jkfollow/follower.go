// Package jkfollow follows the keys of the platform's store under a prefix: it lists
// them once, then watches for changes and passes each of them on. A host may watch
// through another host, so that the calls to the store don't grow with the hosts. The
// package neither decodes values nor writes to the store.
package jkfollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Item is one key of the store or a change of it.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Deleted is set if the key was removed; Value is empty then.
	Deleted bool
	// Via is where this host read the change: ViaStore or the name of another host.
	Via string `msgpack:"-"`
	// Silence is the time since the answer before the one that brought the change.
	Silence time.Duration `msgpack:"-"`
}

// ViaStore is the Via of changes that a host read from the store itself.
const ViaStore = "store"

// Page is the answer of a list or a watch.
type Page struct {
	Items []Item
	// Revision is the revision after which the next watch continues.
	Revision int64
	// Via is where the page was read: ViaStore or the name or address of another host.
	Via string
	// Age is the age of a page that another host has passed on.
	Age time.Duration
}

// HistoryLostError is returned by a watch from a revision after which the store no
// longer has all changes.
type HistoryLostError struct{ Revision int64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store has no history after revision %d", e.Revision)
}

// Source reads the store.
type Source struct {
	// List returns all keys under the prefix. The store's pages aren't one snapshot, so
	// the revision is that of the first page.
	List func(ctx context.Context, prefix string) (Page, error)
	// Watch returns the changes after a revision. If there are none, it waits for one and
	// returns an empty page after the given time.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
	// watchTimeout bounds a watch; zero means storeWatchTimeout.
	watchTimeout time.Duration
}

// Options holds the dependencies and callbacks of a Follower.
type Options struct {
	Timer  *jktimer.Service
	Log    jklog.Logger
	Source Source
	// Store reads the store itself, for confirmations.
	Store  Source
	Prefix string
	// Apply is called for each change; calls don't overlap.
	Apply func(Item)
	// OnReachable is called when the store becomes reachable or unreachable.
	OnReachable func(reachable bool)
	// OnGap is called when keys were listed again, before Confirm relies on the list: it doesn't show
	// what came and went since the last change. Nil if nobody needs that.
	OnGap func()
}

// watchWait is how long one watch waits for changes. It is also the interval at which
// hosts that follow a peer learn that nothing has changed.
const watchWait = 500 * time.Millisecond

// watchSlack is the time for an answer of the store after the wait is over. A slow store
// takes sixty times its usual 4 ms.
const watchSlack = 500 * time.Millisecond

// storeWatchTimeout bounds a watch of the store. A store that loses its history never
// answers the watches in flight, so it has to stay below the 2 s within which rules must
// be in force.
const storeWatchTimeout = watchWait + watchSlack

// listTimeout is the timeout of a list. A slow store takes fifty times its usual 4 ms.
const listTimeout = 2500 * time.Millisecond

// minBackoff and maxBackoff bound the time between retries while the store is
// unreachable.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Follower keeps track of the keys under one prefix.
type Follower struct {
	Options
	// revisions holds the latest known revision of each key.
	revisions map[string]int64
	revision  int64
	reachable atomic.Bool
	// answeredAt is when the latest page arrived.
	answeredAt time.Time

	mu sync.Mutex
	// cancelCall cancels the call in flight and the pause after it. The call began at
	// calledAt.
	cancelCall func()
	calledAt   time.Time
	// applied is the revision up to which all changes have been applied, and appliedChanged is closed
	// and replaced when it grows. knownAt is when the call began that last brought changes or none.
	applied        int64
	appliedChanged chan struct{}
	knownAt        time.Time
	// nextConfirmation is the one whose call hasn't begun; nil if nobody waits. confirming is set while
	// confirmAll runs.
	nextConfirmation *confirmation
	confirming       bool
}

// New returns a Follower, which Run starts.
func New(o Options) *Follower {
	return &Follower{Options: o, revisions: map[string]int64{}, appliedChanged: make(chan struct{})}
}

// StoreReachable reports whether the last call to the source succeeded.
func (f *Follower) StoreReachable() bool { return f.reachable.Load() }

// KnownAt returns a time up to which all changes of the store have been applied, or zero before the first
// list.
func (f *Follower) KnownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knownAt
}

// Run lists and watches the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) {
	listed, backoff := false, minBackoff
	for ctx.Err() == nil {
		callCtx, cancel := f.beginCall(ctx)
		var err error
		fresh := true
		if !listed {
			fresh, err = f.list(callCtx)
			listed = err == nil
		} else {
			err = f.watch(callCtx)
		}
		var lost *HistoryLostError
		switch {
		case err == nil:
			backoff = minBackoff
			if fresh {
				f.setReachable(true, nil)
			}
		case errors.As(err, &lost):
			f.Log.Info("history lost, keys are listed again", "prefix", f.Prefix, "revision", f.revision)
			listed = false
		default:
			f.setReachable(false, err)
			if f.Timer.Wait(backoff, callCtx.Done()) {
				backoff = min(2*backoff, maxBackoff)
			}
		}
		cancel()
	}
}

func (f *Follower) beginCall(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelCall, f.calledAt = cancel, f.Timer.Now()
	return ctx, cancel
}

// minRetryAge is the age of a call below which Retry lets it go on. A slow store takes
// sixty times its usual 4 ms.
const minRetryAge = 250 * time.Millisecond

// Retry makes a follower that has lost the store call it again at once. It is meant for the
// end of a partition: a call that began before may hang until its timeout.
func (f *Follower) Retry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelCall == nil || f.reachable.Load() || f.Timer.Now().Sub(f.calledAt) < minRetryAge {
		return
	}
	f.Log.Info("store is called again, a host is back", "prefix", f.Prefix)
	f.cancelCall()
}

func (f *Follower) setReachable(reachable bool, err error) {
	if f.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		f.Log.Info("store reached", "prefix", f.Prefix, "revision", f.revision)
	} else {
		f.Log.Warn("store lost", "prefix", f.Prefix, "revision", f.revision, "error", err)
	}
	f.OnReachable(reachable)
}

// list lists the prefix and reports whether the list shows the present state of the store.
func (f *Follower) list(ctx context.Context) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := f.Timer.Now()
	page, err := f.Source.List(ctx, f.Prefix)
	if err != nil {
		return false, err
	}
	present := make(map[string]bool, len(page.Items))
	silence := f.answered()
	older := page.Revision < f.revision
	for _, item := range page.Items {
		present[item.Key] = true
		if _, known := f.revisions[item.Key]; older && !known && item.Revision <= f.revision {
			// It was removed after the list.
			continue
		}
		item.Via, item.Silence = page.Via, silence
		f.apply(item)
	}
	for key := range f.revisions {
		if !present[key] {
			f.apply(Item{Key: key, Revision: page.Revision, Deleted: true, Via: page.Via, Silence: silence})
		}
	}
	if f.revision > 0 && f.OnGap != nil {
		f.OnGap()
	}
	f.revision = max(f.revision, page.Revision)
	f.setApplied(began.Add(-page.Age))
	return page.Age <= maxAge, nil
}

// answered records the arrival of a page and returns the time since the one before it,
// or zero for the first one.
func (f *Follower) answered() time.Duration {
	now, last := f.Timer.Now(), f.answeredAt
	f.answeredAt = now
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

func (f *Follower) watch(ctx context.Context) error {
	timeout := storeWatchTimeout
	if f.Source.watchTimeout > 0 {
		timeout = f.Source.watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := f.Timer.Now()
	page, err := f.Source.Watch(ctx, f.Prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	silence := f.answered()
	for _, item := range page.Items {
		item.Via, item.Silence = page.Via, silence
		f.apply(item)
	}
	f.revision = max(f.revision, page.Revision)
	f.setApplied(began.Add(-page.Age))
	return nil
}

// apply passes a change on unless the key is already known at the same or a newer
// revision.
func (f *Follower) apply(item Item) {
	if item.Revision <= f.revisions[item.Key] {
		return
	}
	if item.Deleted {
		delete(f.revisions, item.Key)
	} else {
		f.revisions[item.Key] = item.Revision
	}
	f.Apply(item)
}

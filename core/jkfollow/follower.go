// Package jkfollow keeps a copy of the platform store's keys under a prefix up
// to date: it lists them once, then watches for changes.
package jkfollow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Deleted is set where the key was removed; Value is empty then.
	Deleted bool
}

// Page is the answer of a list or a watch.
type Page struct {
	Items []Item
	// Revision is where the next watch continues.
	Revision int64
}

// HistoryLostError is returned by a watch from a revision that the store no
// longer knows.
type HistoryLostError struct{ Revision int64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store has no history after revision %d", e.Revision)
}

// Source reads the store.
type Source struct {
	// List returns all keys under the prefix. The pages behind it aren't a
	// snapshot, so that the revision is the one of the first page.
	List func(ctx context.Context, prefix string) (Page, error)
	// Watch returns the changes after a revision, or none after the wait.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error)
}

// Options holds what a follower needs.
type Options struct {
	Timer  *jktimer.Service
	Log    jklog.Logger
	Source Source
	Prefix string
	// Apply takes one change; calls don't overlap.
	Apply func(Item)
	// Settled is called after each list, and with false when contact is lost.
	Settled func(inTouch bool)
}

// watchWait is how long one watch waits. A store that forgets its history drops
// the watches under way without an answer, so that wait and slack together have
// to stay under the 2 s in which a configuration is to be in force.
const watchWait = time.Second

// watchSlack is added to the wait before a watch is given up; a slow store takes
// sixty times its usual 4 ms.
const watchSlack = 500 * time.Millisecond

// listTimeout bounds a list; a slow store takes fifty times its usual 4 ms.
const listTimeout = 2500 * time.Millisecond

// firstPause and maxPause bound the time between two tries without contact.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Follower follows one prefix.
type Follower struct {
	Options
	known    map[string]int64
	revision int64
	inTouch  atomic.Bool
}

// New returns a follower that doesn't run yet.
func New(o Options) *Follower {
	return &Follower{Options: o, known: map[string]int64{}}
}

// InTouch reports whether the last call was answered.
func (f *Follower) InTouch() bool { return f.inTouch.Load() }

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) {
	listed, pause := false, firstPause
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
		}
		var lost *HistoryLostError
		switch {
		case err == nil:
			pause = firstPause
			f.touch(true, nil)
		case errors.As(err, &lost):
			f.Log.Info("history lost, keys are listed again", "prefix", f.Prefix, "revision", f.revision)
			listed = false
		default:
			f.touch(false, err)
			f.Timer.Wait(pause, ctx.Done())
			pause = min(2*pause, maxPause)
		}
	}
}

func (f *Follower) touch(inTouch bool, err error) {
	if f.inTouch.Swap(inTouch) == inTouch {
		return
	}
	if inTouch {
		f.Log.Info("store reached", "prefix", f.Prefix, "revision", f.revision)
	} else {
		f.Log.Warn("store lost", "prefix", f.Prefix, "revision", f.revision, "error", err)
	}
	f.Settled(inTouch)
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := f.Source.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(page.Items))
	for _, item := range page.Items {
		present[item.Key] = true
		f.apply(item)
	}
	for key := range f.known {
		if !present[key] {
			f.apply(Item{Key: key, Revision: page.Revision, Deleted: true})
		}
	}
	f.revision = max(f.revision, page.Revision)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	page, err := f.Source.Watch(ctx, f.Prefix, f.revision, watchWait)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		f.apply(item)
	}
	f.revision = max(f.revision, page.Revision)
	return nil
}

// apply passes a change on unless a newer one of the key is known.
func (f *Follower) apply(item Item) {
	if item.Revision <= f.known[item.Key] {
		return
	}
	if item.Deleted {
		delete(f.known, item.Key)
	} else {
		f.known[item.Key] = item.Revision
	}
	f.Apply(item)
}

package jkfollow

import (
	"context"
	"time"
)

const (
	// confirmTimeout bounds a confirmation. A slow store takes sixty times its usual 4 ms.
	confirmTimeout = 500 * time.Millisecond
	// confirmInterval is the least time between two calls to the store for confirmations.
	confirmInterval = 100 * time.Millisecond
)

// confirmation is a call to the store that confirms what is known, for all that wait for one when it
// begins.
type confirmation struct {
	done chan struct{}
	// revision is the revision up to which changes must have been applied.
	revision int64
	err      error
}

// Confirm waits until all changes that the store held at the time of the call have been applied, and
// reports whether they have been. It asks the store itself: the answer before may be of any age, in a
// process that stood still or whose connections have died.
func (f *Follower) Confirm(ctx context.Context) bool {
	if !f.StoreReachable() {
		return false
	}
	c := f.joinConfirmation()
	expired := make(chan struct{})
	defer f.Timer.After(confirmTimeout, func() { close(expired) })()
	select {
	case <-c.done:
	case <-expired:
		return false
	case <-ctx.Done():
		return false
	}
	for c.err == nil {
		applied, changed := f.appliedRevision()
		if applied >= c.revision {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// joinConfirmation returns the next confirmation, whose call to the store hasn't begun.
func (f *Follower) joinConfirmation() *confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextConfirmation == nil {
		f.nextConfirmation = &confirmation{done: make(chan struct{})}
	}
	if !f.confirming {
		f.confirming = true
		go f.confirmAll()
	}
	return f.nextConfirmation
}

// confirmAll calls the store until nobody waits for a confirmation.
func (f *Follower) confirmAll() {
	for {
		f.mu.Lock()
		c := f.nextConfirmation
		f.nextConfirmation = nil
		f.confirming = c != nil
		f.mu.Unlock()
		if c == nil {
			return
		}
		began := f.Timer.Now()
		c.revision, c.err = f.presentRevision()
		close(c.done)
		if left := confirmInterval - f.Timer.Now().Sub(began); left > 0 {
			f.Timer.Wait(left, nil)
		}
	}
}

// presentRevision returns a revision of the store that is no older than the call: the applied one if the
// store has no change after it.
func (f *Follower) presentRevision() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	applied, _ := f.appliedRevision()
	page, err := f.Store.Watch(ctx, f.Prefix, applied, 0)
	if err != nil || len(page.Items) == 0 {
		return applied, err
	}
	return page.Revision, nil
}

// appliedRevision returns the revision up to which all changes have been applied, and a channel that
// is closed when it grows.
func (f *Follower) appliedRevision() (int64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied, f.appliedChanged
}

// setApplied records that all changes up to the follower's revision have been applied, and that there
// were no others at a time.
func (f *Follower) setApplied(knownAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knownAt.After(f.knownAt) {
		f.knownAt = knownAt
	}
	if f.revision > f.applied {
		f.applied = f.revision
		close(f.appliedChanged)
		f.appliedChanged = make(chan struct{})
	}
}

package jkconfig

import (
	"context"
	"errors"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// Run watches the platform until the context ends, while this host is its zone's
// watcher. An outage is logged when it begins and when it ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minReadBackoff
	for ctx.Err() == nil {
		if !f.options.IsWatcher() {
			f.options.Timer.Wait(watcherCheckInterval, ctx.Done())
			continue
		}
		err := f.watchOnce(ctx, f.options.Wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if retry > minReadBackoff {
				f.options.Log.Info("platform can be followed again", "revision", f.Revision())
			}
			retry = minReadBackoff
			continue
		}
		if retry == minReadBackoff {
			f.options.Log.Warn("platform can't be followed", "error", err, "revision", f.Revision())
		}
		f.options.Timer.Wait(retry, ctx.Done())
		retry = min(2*retry, maxReadBackoff)
	}
}

// Load reads the newest revision from the platform. A host calls it when it starts; if
// the platform is down, the host gets its first revision from another host.
func (f *Follower) Load(ctx context.Context) error {
	d, changes, err := f.reader.readNewest(ctx)
	if err != nil {
		return err
	}
	if f.replace(d, changes) {
		f.options.Log.Info("configuration read from the platform", "revision", d.revision)
	}
	f.loaded.Store(true)
	return nil
}

// Loaded reports whether the platform has been read since this host started.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// HasSynced reports whether the host has a document. Revision 0 counts only if the
// platform has been read: a host that has reached neither the platform nor another host
// since it started is at revision 0 as well.
func (f *Follower) HasSynced() bool { return f.Revision() > 0 || f.Loaded() }

// CatchUp applies the revisions that the platform has now, without waiting for more.
func (f *Follower) CatchUp(ctx context.Context) error { return f.watchOnce(ctx, 0) }

// watchOnce applies the revisions after the newest known one, and waits for the next if
// there are none yet.
func (f *Follower) watchOnce(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() && f.Newest().position == 0 {
		return f.Load(ctx)
	}
	call, done := withTimeout(ctx, f.options.Timer, wait+watchGrace)
	defer done()
	records, _, err := f.options.Client.Watch(call, keyPrefix, f.Newest().position, wait)
	if err != nil {
		return err
	}
	f.loaded.Store(true)
	return f.applyRecords(ctx, records)
}

// applyRecords applies records of the platform. If there is a gap, because revisions
// came from another host in the meantime or because a record isn't the next revision,
// it reads the newest revision from the platform.
func (f *Follower) applyRecords(ctx context.Context, records []jkplatform.Record) error {
	changes, err := decodeChanges(records)
	if err != nil {
		return err
	}
	for _, c := range changes {
		err := f.applyChange(c)
		var gap *GapError
		if errors.As(err, &gap) {
			return f.Load(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

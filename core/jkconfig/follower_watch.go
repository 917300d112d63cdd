package jkconfig

import (
	"context"
	"errors"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// Run follows the platform until the context ends, whenever this host is its
// zone's watcher. An outage is logged when it begins and when it is over.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		if !f.options.IsWatcher() {
			f.options.Timer.Wait(idleInterval, ctx.Done())
			continue
		}
		err := f.follow(ctx, f.options.Wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if retry > firstRetry {
				f.options.Log.Info("platform can be followed again", "revision", f.Revision())
			}
			retry = firstRetry
			continue
		}
		if retry == firstRetry {
			f.options.Log.Warn("platform can't be followed", "error", err, "revision", f.Revision())
		}
		f.options.Timer.Wait(retry, ctx.Done())
		retry = min(2*retry, lastRetry)
	}
}

// Load reads the newest revision from the platform. A host calls it at its
// start; without the platform it depends on what other hosts offer.
func (f *Follower) Load(ctx context.Context) error {
	d, changes, err := f.reader.newest(ctx)
	if err != nil {
		return err
	}
	if f.replace(d, changes) {
		f.options.Log.Info("configuration read from the platform", "revision", d.revision)
	}
	f.loaded.Store(true)
	return nil
}

// Loaded reports whether the platform has been read since the start. A host at
// revision 0 that is not loaded doesn't know the configuration.
func (f *Follower) Loaded() bool { return f.loaded.Load() }

// CatchUp takes the revisions that the platform has now, without waiting.
func (f *Follower) CatchUp(ctx context.Context) error { return f.follow(ctx, 0) }

// follow reads the revisions after the known one and waits for the next if
// there are none.
func (f *Follower) follow(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() && f.Newest().position == 0 {
		return f.Load(ctx)
	}
	call, done := within(ctx, f.options.Timer, wait+watchGrace)
	defer done()
	records, _, err := f.options.Client.Watch(call, keyPrefix, f.Newest().position, wait)
	if err != nil {
		return err
	}
	f.loaded.Store(true)
	return f.takeRecords(ctx, records)
}

// takeRecords applies records of the platform. A gap means that revisions came
// from elsewhere meanwhile, or that a record can't be read as the next one.
func (f *Follower) takeRecords(ctx context.Context, records []jkplatform.Record) error {
	changes, err := decodeChanges(records)
	if err != nil {
		return err
	}
	for _, c := range changes {
		err := f.take(c)
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

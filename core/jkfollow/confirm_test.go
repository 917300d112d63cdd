package jkfollow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against knowledge that counts as fresh although the store has newer changes: the watch in flight
// hangs, as the one of a process that stood still, and the history is lost.
func TestConfirmationIsOfTheStoreAtTheTimeOfTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var revision, applied, gaps, calls atomic.Int64
		revision.Store(5)
		released, lost := make(chan struct{}), atomic.Bool{}
		present := func() Page {
			return Page{Items: []Item{{Key: "servers/e", Revision: revision.Load()}}, Revision: revision.Load()}
		}
		changes := func(after int64) (Page, error) {
			switch {
			case lost.Load():
				return Page{}, &HistoryLostError{Revision: after}
			case after < revision.Load():
				return present(), nil
			}
			return Page{Revision: after}, nil
		}
		f := New(Options{
			Timer: jktimer.New(), Log: jklog.Discard(), OnReachable: func(bool) {}, OnGap: func() { gaps.Add(1) },
			Apply: func(i Item) { applied.Store(i.Revision) },
			Source: Source{
				List: func(context.Context, string) (Page, error) { lost.Store(false); return present(), nil },
				Watch: func(ctx context.Context, _ string, after int64, _ time.Duration) (Page, error) {
					select {
					case <-released:
						return changes(after)
					case <-ctx.Done():
						return Page{}, ctx.Err()
					}
				},
				watchTimeout: time.Hour,
			},
			Store: Source{Watch: func(_ context.Context, _ string, after int64, _ time.Duration) (Page, error) {
				calls.Add(1)
				return changes(after)
			}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done; time.Sleep(time.Second) }()
		synctest.Wait()
		if !f.Confirm(ctx) || applied.Load() != 5 || gaps.Load() != 0 {
			t.Errorf("what is known isn't confirmed, applied %d, %d gaps", applied.Load(), gaps.Load())
		}
		revision.Store(6)
		began := time.Now()
		if f.Confirm(ctx) || time.Since(began) > confirmTimeout {
			t.Errorf("revision %d counts as fresh after %s, the store has 6", applied.Load(), time.Since(began))
		}
		time.AfterFunc(confirmTimeout/2, func() { released <- struct{}{} })
		if !f.Confirm(ctx) || applied.Load() != 6 {
			t.Errorf("revision %d isn't confirmed once it was applied, want 6", applied.Load())
		}
		lost.Store(true)
		if f.Confirm(ctx) {
			t.Error("what is known counts as fresh, and the store has lost its history")
		}
		revision.Store(8)
		released <- struct{}{}
		synctest.Wait()
		if !f.Confirm(ctx) || applied.Load() != 8 || gaps.Load() != 1 {
			t.Errorf("the list isn't confirmed, applied %d, %d gaps", applied.Load(), gaps.Load())
		}
		before := calls.Load()
		answers := make(chan bool)
		for range 100 {
			go func() { answers <- f.Confirm(ctx) }()
		}
		for range 100 {
			if !<-answers {
				t.Error("one of many isn't confirmed")
			}
		}
		if n := calls.Load() - before; n > 2 {
			t.Errorf("%d calls to the store, want 2 at most", n)
		}
	})
}

// Guards against unknown streams that are refused beside a slow store, because they arrive while it is
// asked for others.
func TestSlowStoreConfirmsForAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Sixty times the usual time.
		const slow = 240 * time.Millisecond
		f := New(Options{
			Timer: jktimer.New(), Log: jklog.Discard(), OnReachable: func(bool) {}, Apply: func(Item) {},
			Source: Source{
				List: func(context.Context, string) (Page, error) { return Page{Revision: 5}, nil },
				Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (Page, error) {
					<-ctx.Done()
					return Page{}, ctx.Err()
				},
			},
			Store: Source{Watch: func(_ context.Context, _ string, after int64, _ time.Duration) (Page, error) {
				time.Sleep(slow)
				return Page{Revision: after}, nil
			}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done; time.Sleep(time.Second) }()
		synctest.Wait()
		answers := make(chan bool)
		for i := range 2 {
			go func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				answers <- f.Confirm(ctx)
			}()
		}
		for i := range 2 {
			if !<-answers {
				t.Errorf("answer %d: not confirmed, though the store answers within %s", i, slow)
			}
		}
	})
}

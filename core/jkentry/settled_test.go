package jkentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against turns that are answered with 404 by an entry which stood still after its first list and takes
// the copies that it knew then for all: that the store answered last counts only with the time.
func TestEntryThatStoodStillAfterItsStartDoesNotKnowAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timer, clock := jktimer.NewManual(time.Unix(1000, 0))
		answers := make(chan jkfollow.Page)
		e := &Entry{log: jklog.Discard(), timer: timer, members: newMembers(timer)}
		e.follower = jkfollow.New(jkfollow.Options{
			Timer: timer, Log: jklog.Discard(), Apply: func(jkfollow.Item) {}, OnReachable: func(bool) {},
			Source: jkfollow.Source{
				List: func(context.Context, string) (jkfollow.Page, error) { return jkfollow.Page{Revision: 5}, nil },
				Watch: func(ctx context.Context, _ string, _ int64, _ time.Duration) (jkfollow.Page, error) {
					select {
					case page := <-answers:
						return page, nil
					case <-ctx.Done():
						return jkfollow.Page{}, ctx.Err()
					}
				},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); e.follower.Run(ctx) }()
		defer func() { cancel(); <-done }()
		synctest.Wait()
		clock.Advance(2 * newHostPeriod)
		if e.membersSettled() {
			t.Error("all hosts count as known by a list from before the host stood still")
		}
		// The watch that began before is answered.
		answers <- jkfollow.Page{Revision: 5}
		synctest.Wait()
		if e.membersSettled() {
			t.Error("all hosts count as known by a watch from before the host stood still")
		}
		answers <- jkfollow.Page{Revision: 5}
		synctest.Wait()
		if !e.membersSettled() {
			t.Error("not all hosts count as known, though the store was watched long after the start")
		}
	})
}

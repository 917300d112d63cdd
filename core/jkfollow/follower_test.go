package jkfollow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// applyBound is the time within which users require a configuration to be in force.
const applyBound = 2 * time.Second

// run starts a follower of the source and returns a channel of its changes.
func run(t *testing.T, s Source) <-chan Item {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	items := make(chan Item, 16)
	done := make(chan struct{})
	f := New(Options{
		Timer: jktimer.New(), Log: jklog.Discard(), Source: s,
		Apply: func(i Item) { items <- i }, OnReachable: func(bool) {},
	})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return items
}

func next(t *testing.T, items <-chan Item, within time.Duration) Item {
	t.Helper()
	select {
	case i := <-items:
		return i
	case <-time.After(within):
		t.Fatalf("no change within %s", within)
		return Item{}
	}
}

// Guards against a configuration that is in force too late. A store that loses its
// history never answers the watches in flight and reports the loss only to the next
// watch.
func TestUnansweredWatchIsNoticedInTime(t *testing.T) {
	var lists, watches atomic.Int64
	items := run(t, Source{
		List: func(context.Context, string) (Page, error) {
			n := lists.Add(1)
			return Page{Items: []Item{{Key: "op/config", Revision: n * 10}}, Revision: n * 10}, nil
		},
		Watch: func(ctx context.Context, _ string, after int64, _ time.Duration) (Page, error) {
			if watches.Add(1) == 2 {
				return Page{}, &HistoryLostError{Revision: after}
			}
			<-ctx.Done()
			return Page{}, ctx.Err()
		},
	})
	next(t, items, time.Second)
	if got := next(t, items, applyBound); got.Revision != 20 {
		t.Errorf("revision %d, want that of the second list", got.Revision)
	}
}

// Guards against keys that stay known although they were removed while the history was
// lost, and against an older value that replaces a newer one.
func TestListRemovesKeysAndSkipsOlderRevisions(t *testing.T) {
	f := New(Options{Timer: jktimer.New(), Log: jklog.Discard()})
	var got []Item
	f.Apply = func(i Item) { got = append(got, i) }
	pages := []Page{
		{Items: []Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, Revision: 4},
		{Items: []Item{{Key: "a", Revision: 2}}, Revision: 6},
	}
	for _, p := range pages {
		f.Source.List = func(context.Context, string) (Page, error) { return p, nil }
		if _, err := f.list(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	want := []Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}, {Key: "b", Revision: 6, Deleted: true}}
	if len(got) != len(want) {
		t.Fatalf("changes %v, want %v", got, want)
	}
	for i := range want {
		if got[i].Key != want[i].Key || got[i].Revision != want[i].Revision || got[i].Deleted != want[i].Deleted {
			t.Errorf("change %d is %v, want %v", i, got[i], want[i])
		}
	}
}

package jkfollow

import (
	"context"
	"maps"
	"slices"
	"time"

	"jasmineknot.example/core/jkwire"
)

// TypeState is the type of the message by which a host asks another one for all that it
// knows of the store.
const TypeState = "store_state"

// StatePart is a part of the answer to a TypeState message. Revision and Age are the same in
// all parts.
type StatePart struct {
	Items []Item `msgpack:"items"`
	// Revision is the revision up to which the items are complete.
	Revision int64 `msgpack:"revision"`
	// Age is the age of the answer: the store had no other changes that long ago.
	Age time.Duration `msgpack:"age"`
}

const (
	// seedDelay is how long the store may take for a list before the seeds are asked. A slow
	// store takes sixty times its usual 4 ms.
	seedDelay = 300 * time.Millisecond
	// seedTimeout bounds the answers of the seeds. One that is cut off answers nothing.
	seedTimeout = 400 * time.Millisecond
	// maxPartBytes is the size of the values in one part of a state.
	maxPartBytes = 512 << 10
)

// listing is the result of a list.
type listing struct {
	page Page
	err  error
}

// list lists the store. If the store fails, or doesn't answer for a while, the seeds are
// asked for what they know, so that a host which starts while it is cut off from the store
// can serve by the rules that its neighbours have in force.
func (r *WatchRelay) list(ctx context.Context, prefix string) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := r.Timer.Now()
	fromStore := make(chan listing, 1)
	go func() {
		page, err := r.Source.List(ctx, prefix)
		fromStore <- listing{page, err}
	}()
	var fromSeeds chan listing
	expired := make(chan struct{})
	defer r.Timer.After(seedDelay, func() { close(expired) })()
	waited := expired
	ask := func() {
		waited = nil
		fromSeeds = make(chan listing, 1)
		go func(answer chan<- listing) { answer <- r.askSeeds(ctx) }(fromSeeds)
	}
	var storeErr error
	for {
		select {
		case l := <-fromStore:
			if l.err == nil {
				l.page.Via = ViaStore
				r.relist(l.page, began)
				return l.page, nil
			}
			r.storeLost()
			storeErr, fromStore = l.err, nil
			if fromSeeds == nil {
				ask()
			}
		case <-waited:
			ask()
		case l := <-fromSeeds:
			if l.err == nil {
				r.Log.Info("state taken from another host", "host", l.page.Via, "revision", l.page.Revision, "keys", len(l.page.Items), "age", l.page.Age)
				r.relist(l.page, r.Timer.Now().Add(-l.page.Age))
				return l.page, nil
			}
			if fromStore == nil {
				return Page{}, storeErr
			}
			fromSeeds = nil
		}
	}
}

// relist replaces what is known by a list that was complete at a time.
func (r *WatchRelay) relist(page Page, confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	older := page.Revision < r.revision
	if !older {
		clear(r.items)
	}
	for _, item := range page.Items {
		if _, known := r.items[item.Key]; older && !known && item.Revision <= r.revision {
			// It was removed after the list.
			continue
		}
		r.remember(item)
	}
	// A list doesn't show which keys were deleted before it, so the history starts over.
	r.revision = max(r.revision, page.Revision)
	r.history, r.oldest = nil, r.revision
	r.listed, r.confirmedAt = true, confirmedAt
	r.reachable = page.Age <= maxAge
	r.storeFailed = page.Via != ViaStore
	r.notify()
}

// remember adds a change to the items, unless a later one of its key is known. The lock must
// be held.
func (r *WatchRelay) remember(item Item) {
	switch {
	case item.Revision < r.items[item.Key].Revision:
	case item.Deleted:
		delete(r.items, item.Key)
	default:
		r.items[item.Key] = item
	}
}

// noStateError is returned if no seed has answered.
type noStateError struct{ asked int }

func (e *noStateError) Error() string { return "none of the seeds answered" }

// askSeeds asks all seeds for what they know and returns the newest answer.
func (r *WatchRelay) askSeeds(ctx context.Context) listing {
	if r.Seeds == nil {
		return listing{err: &noStateError{}}
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	seeds := r.Seeds()
	answers := make(chan listing, len(seeds))
	for _, addr := range seeds {
		go func() {
			page, err := r.fetchState(ctx, addr)
			answers <- listing{page, err}
		}()
	}
	best := listing{err: &noStateError{asked: len(seeds)}}
	for range seeds {
		if l := <-answers; l.err == nil && (best.err != nil || l.page.Revision > best.page.Revision) {
			best = l
		}
	}
	return best
}

// fetchState returns what the host at an address knows of the store.
func (r *WatchRelay) fetchState(ctx context.Context, addr string) (Page, error) {
	s, err := r.Pool.Open(ctx, addr, TypeState, nil)
	if err != nil {
		return Page{}, err
	}
	defer s.Close()
	page := Page{Via: addr}
	for {
		m, err := s.Receive(ctx)
		if err != nil {
			return Page{}, err
		}
		var part StatePart
		if err := m.Decode(&part); err != nil {
			return Page{}, err
		}
		page.Items = append(page.Items, part.Items...)
		page.Revision, page.Age = part.Revision, part.Age
		if m.Last {
			return page, nil
		}
	}
}

// HandleState answers a TypeState message. It fails if this host hasn't listed the store yet.
func (r *WatchRelay) HandleState(in *jkwire.ServerStream) error {
	r.mu.Lock()
	listed := r.listed
	items := slices.Collect(maps.Values(r.items))
	part := StatePart{Revision: r.revision, Age: r.Timer.Now().Sub(r.confirmedAt)}
	r.mu.Unlock()
	if !listed {
		return in.Fail("store_lost", "this host has not listed the store")
	}
	size, first := 0, 0
	for i, item := range items {
		if size += len(item.Value); size < maxPartBytes {
			continue
		}
		part.Items = items[first : i+1]
		if err := in.Send(&part); err != nil {
			return err
		}
		size, first = 0, i+1
	}
	part.Items = items[first:]
	return in.End(&part)
}

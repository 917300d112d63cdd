package jkfollow

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// TypeWatch is the message by which a host follows the store through another.
const TypeWatch = "store_watch"

// WatchRequest asks for the changes after a revision.
type WatchRequest struct {
	After int64         `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
}

// WatchAnswer holds changes; it is empty where there are none.
type WatchAnswer struct {
	Items    []Item `msgpack:"items"`
	Revision int64  `msgpack:"revision"`
}

// Peer is a host that may watch the store for others.
type Peer struct {
	Host string
	Addr string
}

// watchers is the number of hosts that watch the store themselves. The others
// follow one of them, so that the calls to the store don't grow with the hosts.
const watchers = 2

// avoidFor is how long a host isn't followed after it didn't answer. One that
// answers that it has lost the store is asked again each time, which costs less than
// a call to the store.
const avoidFor = 4 * time.Second

// collectPause is the time between a change that the store reported and the next
// call. Changes often come in series: when a fleet starts, each host writes its
// entry, and a call for each change would be the square of the hosts.
const collectPause = 200 * time.Millisecond

// maxHistory bounds the changes that a host keeps for its followers. One
// configuration may hold some hundred kilobytes.
const maxHistory = 64

// SharedOptions holds what a Shared needs.
type SharedOptions struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	// Host is the own name; hosts that never watch for others leave it empty.
	Host   string
	Source Source
	Pool   *jkwire.Pool
	// Peers returns the hosts that watch, the own one included.
	Peers func() []Peer
}

// Shared follows the store for this host and for others.
type Shared struct {
	SharedOptions

	mu       sync.Mutex
	history  []Item
	oldest   int64
	revision int64
	inTouch  bool
	changed  chan struct{}
	// avoided holds hosts that aren't followed until a time.
	avoided map[string]time.Time
	// collectUntil is when the store may be called again after a change.
	collectUntil time.Time
}

// NewShared returns a Shared without history.
func NewShared(o SharedOptions) *Shared {
	return &Shared{SharedOptions: o, changed: make(chan struct{})}
}

// ThroughPeers returns a source that watches through another host where one is
// to be had. Lists always go to the store.
func (s *Shared) ThroughPeers() Source {
	return Source{List: s.list, Watch: s.watch}
}

func (s *Shared) list(ctx context.Context, prefix string) (Page, error) {
	page, err := s.Source.List(ctx, prefix)
	if err != nil {
		s.setTouch(false)
		return page, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A list doesn't tell what was deleted before it, so that the history
	// begins anew.
	s.history, s.oldest, s.revision, s.inTouch = nil, page.Revision, page.Revision, true
	s.wake()
	return page, nil
}

func (s *Shared) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	for _, peer := range s.candidates() {
		page, err := s.follow(ctx, peer, after, wait)
		if err == nil {
			s.record(page)
			return page, nil
		}
		s.Log.Info("peer not followed", "peer", peer.Host, "error", err)
		var answered *jkwire.RemoteError
		if !errors.As(err, &answered) {
			s.avoid(peer)
			// The time for this call is over.
			return Page{}, err
		}
	}
	s.mu.Lock()
	pause := s.collectUntil.Sub(s.Timer.Now())
	s.mu.Unlock()
	if pause > 0 {
		s.Timer.Wait(pause, ctx.Done())
	}
	page, err := s.Source.Watch(ctx, prefix, after, wait)
	if err != nil {
		s.setTouch(false)
		return page, err
	}
	s.record(page)
	if len(page.Items) > 0 {
		s.mu.Lock()
		s.collectUntil = s.Timer.Now().Add(collectPause)
		s.mu.Unlock()
	}
	return page, nil
}

// candidates returns the hosts to follow, the preferred one first. It is empty on a
// host that watches the store itself.
func (s *Shared) candidates() []Peer {
	peers := s.Peers()
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host))
	})
	peers = peers[:min(len(peers), watchers)]
	if len(peers) == 0 || slices.ContainsFunc(peers, func(p Peer) bool { return p.Host == s.Host }) {
		return nil
	}
	first := int(xxhash.Sum64String(s.Host) % uint64(len(peers)))
	peers = slices.Concat(peers[first:], peers[:first])
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Timer.Now()
	return slices.DeleteFunc(peers, func(p Peer) bool { return now.Before(s.avoided[p.Host]) })
}

// avoid passes a host over for a while that didn't answer.
func (s *Shared) avoid(p Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoided == nil {
		s.avoided = map[string]time.Time{}
	}
	s.avoided[p.Host] = s.Timer.Now().Add(avoidFor)
}

// followSlack is added to the wait before a followed host is given up.
const followSlack = 300 * time.Millisecond

// follow asks a host for changes. The wait ends early enough for an answer within
// the context's time, so that a missing one is the host's fault.
func (s *Shared) follow(ctx context.Context, p Peer, after int64, wait time.Duration) (Page, error) {
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, max(0, time.Until(end)-followSlack))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	var answer WatchAnswer
	err := s.Pool.Call(ctx, p.Addr, TypeWatch, &WatchRequest{After: after, Wait: wait}, &answer)
	return Page(answer), err
}

// record keeps changes for this host's own followers.
func (s *Shared) record(page Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, page.Items...)
	if over := len(s.history) - maxHistory; over > 0 {
		s.oldest = s.history[over-1].Revision
		s.history = slices.Clone(s.history[over:])
	}
	touched := s.inTouch
	s.revision, s.inTouch = max(s.revision, page.Revision), true
	if len(page.Items) > 0 || !touched {
		s.wake()
	}
}

// wake tells waiting followers that something changed. The caller holds the lock.
func (s *Shared) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Shared) setTouch(inTouch bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inTouch != inTouch {
		s.inTouch = inTouch
		s.wake()
	}
}

// Handle answers a follower.
func (s *Shared) Handle(ctx context.Context, in *jkwire.Incoming) error {
	var m WatchRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	end := s.Timer.Now().Add(m.Wait)
	for {
		answer, inTouch, changed := s.since(m.After)
		switch {
		case !inTouch:
			return in.Fail("store_lost", "this host has lost the store or the history")
		case len(answer.Items) > 0:
			return in.End(&answer)
		}
		left := end.Sub(s.Timer.Now())
		if left <= 0 {
			return in.End(&answer)
		}
		expired := make(chan struct{})
		stop := s.Timer.After(left, func() { close(expired) })
		select {
		case <-changed:
		case <-expired:
		case <-ctx.Done():
			stop()
			return ctx.Err()
		}
		stop()
	}
}

// since returns the changes after a revision, whether they are all, and a
// channel that is closed at the next change.
func (s *Shared) since(after int64) (WatchAnswer, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := WatchAnswer{Revision: max(after, s.revision)}
	for _, item := range s.history {
		if item.Revision > after {
			answer.Items = append(answer.Items, item)
		}
	}
	return answer, s.inTouch && after >= s.oldest, s.changed
}

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

// TypeWatch is the type of the message by which a host watches the store through
// another host.
const TypeWatch = "store_watch"

// WatchRequest asks for the changes after a revision.
type WatchRequest struct {
	After int64         `msgpack:"after"`
	Wait  time.Duration `msgpack:"wait"`
	// Age is the age of what the follower knows.
	Age time.Duration `msgpack:"age"`
}

// WatchAnswer holds the changes after the requested revision, if there are any.
type WatchAnswer struct {
	Items    []Item `msgpack:"items"`
	Revision int64  `msgpack:"revision"`
	// Age is the age of the answer: the store had no other changes that long ago.
	Age time.Duration `msgpack:"age"`
	// Held is how long the peer held the request.
	Held time.Duration `msgpack:"held"`
}

// Peer is a host that may watch the store for other hosts.
type Peer struct {
	Host string
	Addr string
}

// directWatchers is the number of hosts that watch the store themselves. The others
// follow one of them, so that the calls to the store don't grow with the hosts.
const directWatchers = 2

// maxAge is the age of a host's knowledge of the store at which it asks the store itself,
// whatever its peers answer. It leaves 700 ms for that call until rules must be in force,
// and exceeds the age that a peer reaches between two answers of the store, where a change
// comes late in one watch and the next one brings none.
const maxAge = 2*watchWait + 300*time.Millisecond

// peerWait is how long a peer holds a watch while the store tells it nothing new, and
// peerTimeout the time for its answer. With less than minPeerTimeout left until maxAge a
// peer isn't asked, since a sound one may miss it.
const (
	peerWait       = watchWait + 200*time.Millisecond
	peerTimeout    = peerWait + 200*time.Millisecond
	minPeerTimeout = 150 * time.Millisecond
)

// minAgeGain is how much younger than the follower's knowledge a peer's has to be for an
// answer without changes.
const minAgeGain = 300 * time.Millisecond

// avoidPeriod is how long a peer isn't followed after it failed to answer. A peer that
// answers that it has lost the store is tried again each time, which costs less than a
// call to the store.
const avoidPeriod = 4 * time.Second

// coalesceDelay is the time between a change reported by the store and the next call, so
// that one call returns several changes. Changes often come in bursts: when a fleet
// starts, each host writes its entry, and a call for each change would make the number
// of calls grow with the square of the hosts.
const coalesceDelay = 200 * time.Millisecond

// maxHistory is the number of changes that a host keeps for its followers. One
// configuration may take several hundred kilobytes.
const maxHistory = 64

// WatchRelayOptions holds the dependencies of a WatchRelay.
type WatchRelayOptions struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	// Host is the name of this host. Hosts that never watch for others leave it empty.
	Host   string
	Source Source
	Pool   *jkwire.Pool
	// Peers returns the hosts that may watch the store, including this one.
	Peers func() []Peer
	// Seeds returns the addresses of hosts that may know what the store holds; nil if none
	// are known before the first list.
	Seeds func() []string
	// OnWatch is called after each watch; nil if it isn't counted.
	OnWatch func(way WatchWay, outcome WatchOutcome)
}

// WatchWay is how a host watches the store.
type WatchWay string

// Ways of a watch.
const (
	WayStore WatchWay = "store"
	WayPeer  WatchWay = "peer"
)

// WatchOutcome is the outcome of one watch.
type WatchOutcome string

// Outcomes of a watch. A lost one was answered by a peer that has lost the store or a
// part of its history, and a failed one had no answer.
const (
	WatchAnswered WatchOutcome = "answered"
	WatchLost     WatchOutcome = "lost"
	WatchFailed   WatchOutcome = "failed"
)

// WatchRelay watches the store, directly or through a peer, for this host and for the
// hosts that follow it.
type WatchRelay struct {
	WatchRelayOptions

	mu sync.Mutex
	// history holds the latest changes, and all of them after the revision oldest.
	history   []Item
	oldest    int64
	revision  int64
	reachable bool
	// confirmedAt is a time at which the store had no changes but those known here.
	confirmedAt time.Time
	// storeFailed is set while the last call to the store had no answer.
	storeFailed bool
	// changed is closed and replaced when history, reachable or confirmedAt changes, to
	// wake followers.
	changed chan struct{}
	// items holds the latest change of each key that isn't deleted.
	items map[string]Item
	// listed is set once items holds all keys.
	listed bool
	// avoidUntil is the time until which a host isn't followed, by its name.
	avoidUntil map[string]time.Time
	// coalesceUntil is the earliest time of the next call to the store after a change.
	coalesceUntil time.Time
}

// NewWatchRelay returns a WatchRelay with an empty history.
func NewWatchRelay(o WatchRelayOptions) *WatchRelay {
	if o.OnWatch == nil {
		o.OnWatch = func(WatchWay, WatchOutcome) {}
	}
	return &WatchRelay{WatchRelayOptions: o, changed: make(chan struct{}), items: map[string]Item{}}
}

// ThroughPeers returns a source that watches through another host if one is available. It
// lists the store, or takes what the seeds know if the store doesn't answer.
func (r *WatchRelay) ThroughPeers() Source {
	return Source{List: r.list, Watch: r.watch, watchTimeout: directWatchers*peerTimeout + coalesceDelay + storeWatchTimeout}
}

func (r *WatchRelay) watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	peers := r.peerCandidates()
	for _, peer := range peers {
		timeout := r.peerBudget()
		if timeout < minPeerTimeout {
			break
		}
		page, confirmedAt, err := r.watchPeer(ctx, peer, after, timeout)
		if ctx.Err() != nil {
			return Page{}, ctx.Err()
		}
		if err != nil {
			r.peerFailed(peer, after, err)
			continue
		}
		r.OnWatch(WayPeer, WatchAnswered)
		if r.record(page, confirmedAt) {
			return page, nil
		}
		r.Log.Debug("peer knows nothing newer of the store", "peer", peer.Host, "after", after, "age", r.age())
	}
	if len(peers) > 0 {
		r.Log.Info("store watched in place of peers", "peers", len(peers), "after", after, "age", r.age())
	}
	return r.watchStore(ctx, prefix, after, wait)
}

// peerBudget returns the time for an answer of a peer. It may be negative: then this host
// has to ask the store first.
func (r *WatchRelay) peerBudget() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeFailed {
		return peerTimeout
	}
	return min(peerTimeout, maxAge-r.Timer.Now().Sub(r.confirmedAt))
}

// peerFailed counts and logs a watch through a peer that brought nothing. A peer that
// didn't answer isn't followed for a while.
func (r *WatchRelay) peerFailed(p Peer, after int64, err error) {
	r.Log.Info("peer not followed", "peer", p.Host, "after", after, "age", r.age(), "error", err)
	var answered *jkwire.RemoteError
	if errors.As(err, &answered) {
		r.OnWatch(WayPeer, WatchLost)
		return
	}
	r.OnWatch(WayPeer, WatchFailed)
	r.avoid(p)
}

// watchStore watches the store itself.
func (r *WatchRelay) watchStore(ctx context.Context, prefix string, after int64, wait time.Duration) (Page, error) {
	r.mu.Lock()
	pause := r.coalesceUntil.Sub(r.Timer.Now())
	r.mu.Unlock()
	if pause > 0 {
		r.Timer.Wait(pause, ctx.Done())
		wait = max(wait-pause, 0)
	}
	ctx, cancel := context.WithTimeout(ctx, storeWatchTimeout)
	defer cancel()
	began := r.Timer.Now()
	page, err := r.Source.Watch(ctx, prefix, after, wait)
	if err != nil {
		r.OnWatch(WayStore, WatchFailed)
		r.storeLost()
		return page, err
	}
	r.OnWatch(WayStore, WatchAnswered)
	page.Via = ViaStore
	confirmedAt := began
	if len(page.Items) == 0 {
		// The store usually answers without changes only once the wait is over.
		confirmedAt = began.Add(min(wait, r.Timer.Now().Sub(began)))
	}
	r.record(page, confirmedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailed = false
	if len(page.Items) > 0 {
		r.coalesceUntil = r.Timer.Now().Add(coalesceDelay)
	}
	return page, nil
}

// peerCandidates returns the peers to follow in order of preference. A hash of this host's
// name selects the first one, which spreads the hosts over the peers. The list is empty on
// a host that watches the store itself.
func (r *WatchRelay) peerCandidates() []Peer {
	peers := rankPeers(r.Peers())
	peers = peers[:min(len(peers), directWatchers)]
	if len(peers) == 0 || slices.ContainsFunc(peers, func(p Peer) bool { return p.Host == r.Host }) {
		return nil
	}
	first := int(xxhash.Sum64String(r.Host) % uint64(len(peers)))
	peers = slices.Concat(peers[first:], peers[:first])
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	return slices.DeleteFunc(peers, func(p Peer) bool { return now.Before(r.avoidUntil[p.Host]) })
}

// rankPeers sorts hosts by the order in which they call the store for others, which is the same on all
// hosts.
func rankPeers(peers []Peer) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host))
	})
	return peers
}

// avoid excludes a peer for avoidPeriod because it didn't answer.
func (r *WatchRelay) avoid(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil = map[string]time.Time{}
	}
	r.avoidUntil[p.Host] = r.Timer.Now().Add(avoidPeriod)
}

// watchPeer watches the store through a peer. It also returns a time at which the store
// had no other changes. That time is counted from when the request was sent, since the
// answer may have been on its way for long.
func (r *WatchRelay) watchPeer(ctx context.Context, p Peer, after int64, timeout time.Duration) (Page, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := r.Timer.Now()
	request := WatchRequest{After: after, Wait: min(peerWait, timeout*3/4), Age: r.age()}
	var answer WatchAnswer
	err := r.Pool.Call(ctx, p.Addr, TypeWatch, &request, &answer)
	page := Page{Items: answer.Items, Revision: answer.Revision, Via: p.Host, Age: answer.Age - answer.Held}
	return page, began.Add(answer.Held - answer.Age), err
}

// age returns the age of what this host knows of the store.
func (r *WatchRelay) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Timer.Now().Sub(r.confirmedAt)
}

// record appends changes to the history for the hosts that follow this one, and reports
// whether this host has learned anything from the page.
func (r *WatchRelay) record(page Page, confirmedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, item := range page.Items {
		r.remember(item)
	}
	r.history = append(r.history, page.Items...)
	if excess := len(r.history) - maxHistory; excess > 0 {
		r.oldest = r.history[excess-1].Revision
		r.history = slices.Clone(r.history[excess:])
	}
	newer := len(page.Items) > 0 || confirmedAt.After(r.confirmedAt)
	if confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
	if newer || !r.reachable {
		r.notify()
	}
	r.revision, r.reachable = max(r.revision, page.Revision), true
	return newer
}

// notify wakes the handlers of waiting followers. The lock must be held.
func (r *WatchRelay) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// storeLost records that the store didn't answer.
func (r *WatchRelay) storeLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailed = true
	if r.reachable {
		r.reachable = false
		r.notify()
	}
}

// Handle answers a WatchRequest of a follower. It waits up to the requested time for
// changes, or until this host knows that there are none of late. It fails if this host has
// lost the store or part of the requested history.
func (r *WatchRelay) Handle(ctx context.Context, in *jkwire.ServerStream) error {
	var m WatchRequest
	if err := in.Decode(&m); err != nil {
		return err
	}
	began := r.Timer.Now()
	for {
		answer, complete, changed := r.changesSince(m.After)
		answer.Held = r.Timer.Now().Sub(began)
		remaining := m.Wait - answer.Held
		switch {
		case !complete:
			return in.Fail("store_lost", "this host has lost the store or the history")
		case len(answer.Items) > 0, remaining <= 0, answer.Age+minAgeGain <= m.Age+answer.Held:
			return in.End(&answer)
		}
		expired := make(chan struct{})
		stop := r.Timer.After(remaining, func() { close(expired) })
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

// changesSince returns the changes after a revision, whether they are complete, and a
// channel that is closed at the next change.
func (r *WatchRelay) changesSince(after int64) (WatchAnswer, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := WatchAnswer{Revision: max(after, r.revision), Age: r.Timer.Now().Sub(r.confirmedAt)}
	for _, item := range r.history {
		if item.Revision > after {
			answer.Items = append(answer.Items, item)
		}
	}
	return answer, r.reachable && after >= r.oldest, r.changed
}

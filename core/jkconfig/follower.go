package jkconfig

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jktimer"
)

const (
	// keptChanges and keptBytes bound the changes in memory for peers that are
	// a little behind.
	keptChanges = 512
	keptBytes   = 4 << 20
	// idleInterval is how often a host that isn't its zone's watcher checks
	// whether it has become the watcher.
	idleInterval = 500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
	// watchGrace is the time after the end of a watch by which its answer must
	// have come.
	watchGrace = 5 * time.Second
)

// FollowerOptions are what a follower needs.
type FollowerOptions struct {
	Client *jkplatform.Client
	Timer  *jktimer.Service
	Log    jklog.Logger
	// IsWatcher tells whether this host watches the platform for its zone.
	IsWatcher func() bool
	// Wait is the longest wait of one watch.
	Wait time.Duration
}

// Follower holds the newest known revision and never goes back to an older one.
// Revisions come from the platform or from other hosts.
type Follower struct {
	options FollowerOptions
	reader  *reader
	current atomic.Pointer[Document]
	// loaded is set once the platform has been read from the start; before
	// that a watch would return all records ever written.
	loaded atomic.Bool

	mu          sync.Mutex
	recent      []Change
	recentBytes int
	subscribers []func(*Document)

	packMu   sync.Mutex
	packed   []byte
	packedOf uint64
}

// NewFollower returns a follower at revision 0.
func NewFollower(o FollowerOptions) *Follower {
	if o.IsWatcher == nil {
		o.IsWatcher = func() bool { return false }
	}
	f := &Follower{options: o, reader: &reader{client: o.Client, timer: o.Timer}}
	f.current.Store(Empty())
	return f
}

// Newest returns the newest known document.
func (f *Follower) Newest() *Document { return f.current.Load() }

// Revision returns the newest known revision, for heartbeats.
func (f *Follower) Revision() uint64 { return f.Newest().revision }

// OnChange registers a function that is called with each new document in
// order. The follower is locked meanwhile: only Newest and Revision may be
// called.
func (f *Follower) OnChange(run func(*Document)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, run)
}

// Offer takes a whole document from another host, in the form of Packed, and
// reports whether it was newer.
func (f *Follower) Offer(revision uint64, packed []byte) (bool, error) {
	if revision <= f.Revision() {
		return false, nil
	}
	d, err := readSnapshot(packed)
	if err != nil {
		return false, eris.Wrapf(err, "offered revision %d", revision)
	}
	if d.revision != revision {
		return false, eris.Errorf("offered revision %d holds revision %d", revision, d.revision)
	}
	return f.replace(d, nil), nil
}

// OfferChanges takes changes from another host, in the form of ChangesAfter.
// *GapError means that a whole document is needed.
func (f *Follower) OfferChanges(changes [][]byte) error {
	for _, text := range changes {
		var c Change
		if err := json.Unmarshal(text, &c); err != nil {
			return eris.Wrap(err, "decode offered change")
		}
		if err := f.take(c); err != nil {
			return err
		}
	}
	return nil
}

// ChangesAfter returns the changes after a revision for another host, or false
// if they are no longer in memory; Packed is to be sent then.
func (f *Follower) ChangesAfter(revision uint64) ([][]byte, bool) {
	changes, ok := f.recentAfter(revision)
	if !ok {
		return nil, false
	}
	var texts [][]byte
	for _, c := range changes {
		text, err := json.Marshal(c)
		if err != nil || !c.hasPatch() {
			return nil, false
		}
		texts = append(texts, text)
	}
	return texts, true
}

// Packed returns the newest document for another host and its revision.
func (f *Follower) Packed() (uint64, []byte, error) {
	d := f.Newest()
	f.packMu.Lock()
	defer f.packMu.Unlock()
	if f.packed != nil && f.packedOf == d.revision {
		return d.revision, f.packed, nil
	}
	packed, err := d.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	f.packed, f.packedOf = packed, d.revision
	return d.revision, packed, nil
}

// recentAfter returns the changes after a revision, or false if not all of them
// are in memory.
func (f *Follower) recentAfter(revision uint64) ([]Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.Revision() {
		return nil, true
	}
	if len(f.recent) == 0 || revision+1 < f.recent[0].Revision || revision > f.Revision() {
		return nil, false
	}
	return append([]Change{}, f.recent[revision+1-f.recent[0].Revision:]...), true
}

// findEdit returns the change with an edit id, if it is in memory.
func (f *Follower) findEdit(id string) (Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.recent) - 1; i >= 0; i-- {
		if f.recent[i].EditID == id {
			return f.recent[i], true
		}
	}
	return Change{}, false
}

// take applies one change; one that is already known is ignored.
func (f *Follower) take(c Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.Newest()
	if c.Revision <= d.revision {
		return nil
	}
	if c.Revision != d.revision+1 && len(c.Document) == 0 {
		return &GapError{Have: d.revision, Got: c.Revision}
	}
	next, err := d.advance(c)
	if err != nil {
		return err
	}
	if c.Revision != d.revision+1 {
		f.recent, f.recentBytes = nil, 0
	}
	c.Document = nil
	f.remember(c)
	f.publish(next)
	return nil
}

// replace takes a whole document, unless it is older, together with the changes
// that led to it.
func (f *Follower) replace(d *Document, changes []Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.revision <= f.Revision() {
		return false
	}
	f.recent, f.recentBytes = nil, 0
	for _, c := range changes {
		c.Document = nil
		f.remember(c)
	}
	f.publish(d)
	return true
}

// remember keeps a change for peers. The lock is held.
func (f *Follower) remember(c Change) {
	f.recent = append(f.recent, c)
	f.recentBytes += c.size()
	for len(f.recent) > keptChanges || f.recentBytes > keptBytes {
		f.recentBytes -= f.recent[0].size()
		f.recent = f.recent[1:]
	}
}

// publish makes a document the newest one. The lock is held.
func (f *Follower) publish(d *Document) {
	f.current.Store(d)
	for _, run := range f.subscribers {
		run(d)
	}
}

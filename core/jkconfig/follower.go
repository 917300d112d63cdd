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
	// maxRecentChanges and maxRecentBytes bound the changes held in memory for peers
	// that are a few revisions behind.
	maxRecentChanges = 512
	maxRecentBytes   = 4 << 20
	// watcherCheckInterval is the interval at which a host that isn't its zone's
	// watcher checks whether it has become the watcher.
	watcherCheckInterval = 500 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the pause after a failed read.
	minReadBackoff = 100 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// watchGrace is how long after the end of a watch its answer may arrive.
	watchGrace = 5 * time.Second
)

// FollowerOptions holds a follower's dependencies.
type FollowerOptions struct {
	Client *jkplatform.Client
	Timer  *jktimer.Service
	Log    jklog.Logger
	// IsWatcher reports whether this host watches the platform for its zone. The
	// zone's other hosts get revisions from their peers.
	IsWatcher func() bool
	// Wait is the longest time that one watch waits for a revision.
	Wait time.Duration
}

// Follower holds the newest known document and never goes back to an older revision.
// Revisions come from the platform or from other hosts.
type Follower struct {
	options FollowerOptions
	reader  *reader
	current atomic.Pointer[Document]
	// loaded is set once the platform has been read. Without a position from
	// which to continue, a watch would return all records ever written.
	loaded atomic.Bool

	mu sync.Mutex
	// recent holds the newest changes without gaps; recentBytes is their size.
	recent      []Change
	recentBytes int
	subscribers []func(*Document)

	snapshotMu       sync.Mutex
	snapshot         []byte
	snapshotRevision uint64
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

// Revision returns the number of the newest known revision, which heartbeats carry.
func (f *Follower) Revision() uint64 { return f.Newest().revision }

// OnChange registers a function that is called with each new document in order. The
// follower is locked during the call: the function may call only Newest and Revision.
func (f *Follower) OnChange(run func(*Document)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, run)
}

// ApplySnapshot applies a whole document from Snapshot, sent by another host or saved on
// disk, unless this host has the same or a newer revision. It reports whether the
// document was newer.
func (f *Follower) ApplySnapshot(revision uint64, packed []byte) (bool, error) {
	if revision <= f.Revision() {
		return false, nil
	}
	d, err := decodeSnapshot(packed)
	if err != nil {
		return false, eris.Wrapf(err, "snapshot of revision %d", revision)
	}
	if d.revision != revision {
		return false, eris.Errorf("snapshot of revision %d holds revision %d", revision, d.revision)
	}
	return f.replace(d, nil), nil
}

// ApplyChanges applies changes that another host got from ChangesAfter. *GapError means
// that revisions are missing in between, so a whole document is needed.
func (f *Follower) ApplyChanges(changes [][]byte) error {
	for _, text := range changes {
		var c Change
		if err := json.Unmarshal(text, &c); err != nil {
			return eris.Wrap(err, "decode change")
		}
		if err := f.applyChange(c); err != nil {
			return err
		}
	}
	return nil
}

// ChangesAfter returns the encoded changes after a revision for another host, or false
// if they are no longer in memory; that host then needs a Snapshot.
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

// Snapshot returns the newest revision and its Document.Snapshot, for another host or
// to save on disk. The snapshot is cached until the revision changes.
func (f *Follower) Snapshot() (uint64, []byte, error) {
	d := f.Newest()
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	if f.snapshot != nil && f.snapshotRevision == d.revision {
		return d.revision, f.snapshot, nil
	}
	snapshot, err := d.Snapshot()
	if err != nil {
		return 0, nil, err
	}
	f.snapshot, f.snapshotRevision = snapshot, d.revision
	return d.revision, snapshot, nil
}

// recentAfter returns the changes after a revision, or false if memory doesn't have all
// of them.
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

// applyChange applies one change. A change that is already known is ignored.
func (f *Follower) applyChange(c Change) error {
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
	f.appendRecent(c)
	f.publish(next)
	return nil
}

// replace publishes a whole document if it is newer, and replaces the changes in memory
// by those that led to it.
func (f *Follower) replace(d *Document, changes []Change) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.revision <= f.Revision() {
		return false
	}
	f.recent, f.recentBytes = nil, 0
	for _, c := range changes {
		c.Document = nil
		f.appendRecent(c)
	}
	f.publish(d)
	return true
}

// appendRecent adds a change to those in memory for peers and evicts the oldest ones
// beyond the bounds. The caller holds the lock.
func (f *Follower) appendRecent(c Change) {
	f.recent = append(f.recent, c)
	f.recentBytes += c.memoryBytes()
	for len(f.recent) > maxRecentChanges || f.recentBytes > maxRecentBytes {
		f.recentBytes -= f.recent[0].memoryBytes()
		f.recent = f.recent[1:]
	}
}

// publish makes a document the newest one and calls the subscribers. The caller holds
// the lock.
func (f *Follower) publish(d *Document) {
	f.current.Store(d)
	for _, run := range f.subscribers {
		run(d)
	}
}

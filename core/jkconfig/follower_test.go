package jkconfig

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// Guards against a watcher that misses revisions during an outage.
func TestWatcherFollows(t *testing.T) {
	s := newFixture(t)
	writer, watcher := s.host(false), s.host(true)
	writer.mustEdit(t, "a", 0, budgets(1))
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		watcher.follower.Run(ctx)
		close(stopped)
	}()
	eventually(t, "revision 1", func() bool { return watcher.follower.Revision() == 1 })
	s.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	if watcher.follower.Revision() != 1 {
		t.Fatal("the configuration in force was lost in the outage")
	}
	s.platform.SetFaults(jkstandin.PlatformFaults{})
	writer.mustEdit(t, "b", 1, budgets(2))
	eventually(t, "revision 2", func() bool { return watcher.follower.Revision() == 2 })
	cancel()
	<-stopped
}

// Guards against a restarted host that stays at an older revision although a peer sends a
// newer one, against one that goes back to an older revision which a slower peer sends, and
// against one that reads the platform from the start although it has a peer's document.
func TestRestartedFollowerNeverGoesBack(t *testing.T) {
	s := newFixture(t)
	old := s.host(false)
	old.mustEdit(t, "a", 0, budgets(1))
	_, oldPacked, err := old.follower.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	peer := s.host(false)
	peer.mustEdit(t, "b", 1, budgets(2))
	_, newPacked, err := peer.follower.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	restarted := s.host(false)
	if err := restarted.follower.Load(t.Context()); err == nil || restarted.follower.Loaded() {
		t.Fatal("loaded without a platform")
	}
	var seen []uint64
	restarted.follower.OnChange(func(d *Document) { seen = append(seen, d.Revision()) })
	for _, offer := range []struct {
		revision uint64
		packed   []byte
		taken    bool
	}{{1, oldPacked, true}, {2, newPacked, true}, {1, oldPacked, false}} {
		if ok, err := restarted.follower.ApplySnapshot(offer.revision, offer.packed); ok != offer.taken || err != nil {
			t.Fatalf("offer of revision %d: %v %v", offer.revision, ok, err)
		}
	}
	if b, _ := restarted.follower.Newest().Budget("w"); b.Tokens() != 2 || fmt.Sprint(seen) != "[1 2]" {
		t.Fatalf("budget %d after revisions %v", b.Tokens(), seen)
	}
	s.platform.SetFaults(jkstandin.PlatformFaults{})
	before := s.platform.Counts()
	if err := restarted.follower.CatchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	if after := s.platform.Counts(); after.Reads != before.Reads || after.Watches != before.Watches+1 {
		t.Fatalf("a host with a peer's document read the platform from the start: %+v", after)
	}
}

// Guards against damaged documents from peers and against changes that are applied
// across a gap.
func TestPeerDocumentsAndChanges(t *testing.T) {
	s := newFixture(t)
	h, peer := s.host(false), s.host(false)
	for n := range 4 {
		h.mustEdit(t, fmt.Sprint("e", n), uint64(n), budgets(n+1))
	}
	changes, ok := h.follower.ChangesAfter(0)
	if !ok || len(changes) != 4 {
		t.Fatalf("%d changes, %v", len(changes), ok)
	}
	var gap *GapError
	if err := peer.follower.ApplyChanges(changes[2:]); !errors.As(err, &gap) {
		t.Fatalf("want a gap, got %v", err)
	}
	if err := peer.follower.ApplyChanges(changes[:3]); err != nil || peer.follower.Revision() != 3 {
		t.Fatalf("revision %d: %v", peer.follower.Revision(), err)
	}
	_, packed, err := h.follower.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peer.follower.ApplySnapshot(9, packed); err == nil {
		t.Fatal("applied a document under a wrong revision")
	}
	if _, err := peer.follower.ApplySnapshot(4, packed[:len(packed)/2]); err == nil || peer.follower.Revision() != 3 {
		t.Fatal("applied a truncated document")
	}
	if err := peer.follower.ApplyChanges(changes); err != nil || peer.follower.Revision() != 4 {
		t.Fatalf("revision %d: %v", peer.follower.Revision(), err)
	}
}

// writeRevisions writes the records of revisions as editors would have, from the first
// revision of a block. Block 0 stays empty; nothing reads it.
func (s *fixture) writeRevisions(h *host, from, until uint64) {
	s.t.Helper()
	d := Empty()
	for n := from; n <= until; n++ {
		d.revision = n - 1
		c := Change{Revision: n, EditID: fmt.Sprint("e", n-1), Section: SectionBudgets, Patch: budgets(int(n))}
		next, err := d.apply(c)
		if err != nil {
			s.t.Fatal(err)
		}
		if n%blockSize == 0 {
			if c.Document, err = next.Snapshot(); err != nil {
				s.t.Fatal(err)
			}
		}
		value, err := c.encode()
		if err != nil {
			s.t.Fatal(err)
		}
		if _, err := h.client.Create(s.t.Context(), revisionKey(n), value); err != nil {
			s.t.Fatal(err)
		}
		d = next
	}
}

// Guards against a start without any document that reads all records ever written, and
// against errors at the boundaries of blocks.
func TestColdReadAcrossBlocks(t *testing.T) {
	s := newFixture(t)
	h := s.host(false)
	s.writeRevisions(h, blockSize, 2*blockSize-3)
	if err := h.follower.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	for n := uint64(2*blockSize - 3); n < 2*blockSize+3; n++ {
		h.mustEdit(t, fmt.Sprint("e", n), n, budgets(int(n)+1))
		cold := s.host(false)
		before := s.platform.Counts().Reads
		if err := cold.follower.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		if reads := s.platform.Counts().Reads - before; cold.follower.Revision() != n+1 || reads > 7 {
			t.Fatalf("revision %d, want %d, after %d reads", cold.follower.Revision(), n+1, reads)
		}
	}
	d, err := h.follower.DocumentAt(t.Context(), blockSize+5)
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := d.Budget("w"); b.Tokens() != blockSize+5 {
		t.Fatalf("old revision has %d tokens", b.Tokens())
	}
	cold := s.host(false)
	if err := cold.follower.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, f := range []*Follower{h.follower, cold.follower} {
		history, err := f.History(t.Context(), blockSize+8, 5)
		if err != nil || len(history) != 5 || history[0].Revision != blockSize+7 {
			t.Fatalf("%d changes: %v", len(history), err)
		}
	}
}

// Guards against a search for the newest block whose cost grows in proportion to the
// number of blocks: a year of 48,000 changes a day is 17,520 blocks.
func TestLastBlockSearchIsLogarithmic(t *testing.T) {
	for _, last := range []uint64{0, 1, 2, 3, 1000, 17520} {
		calls := 0
		client := &jkplatform.Client{Get: func(_ context.Context, k string) (jkplatform.Record, error) {
			calls++
			if k > revisionKey(last*blockSize+1) {
				return jkplatform.Record{}, &jkplatform.NotFoundError{Key: k}
			}
			return jkplatform.Record{Key: k}, nil
		}}
		r := &reader{client: client, timer: jktimer.New()}
		got, err := r.lastBlock(t.Context())
		if err != nil || got != last || calls > 40 {
			t.Errorf("block %d, want %d, after %d reads: %v", got, last, calls, err)
		}
		t.Logf("block %d found by %d reads", last, calls)
	}
}

// Guards against numbers that are equal but have different texts: the merge patch would
// leave the old text, and the edit would fail.
func TestNumbersAreNormalised(t *testing.T) {
	h := newFixture(t).host(false)
	for n, entry := range []string{
		`{"max_running": 8, "retry_ratio": 0.1}`,
		`{"max_running": 8.0, "retry_ratio": 0.10, "slow_factor": 2.50}`,
		`{"max_running": 8e0, "retry_ratio": 1e-1, "max_queued": 0.0}`,
	} {
		edit := Edit{
			ID: fmt.Sprint("e", n), Team: "site", Section: SectionCapacity, Base: uint64(n),
			Value: fmt.Appendf(nil, `{"owner": "site", "entries": {"default": %s}}`, entry),
		}
		if _, err := h.editor.Apply(t.Context(), edit); err != nil {
			t.Fatalf("%s: %v", entry, err)
		}
		if c := h.follower.Newest().Capacity("x"); c.MaxRunning() != 8 {
			t.Fatalf("%s: max_running is %d", entry, c.MaxRunning())
		}
	}
}

// syncFromPeer does what heartbeats do: a host that sees a newer revision at its zone's
// watcher applies the changes since its own, or else the whole document.
func syncFromPeer(t *testing.T, from, to *Follower) {
	t.Helper()
	if from.Revision() <= to.Revision() {
		return
	}
	if changes, ok := from.ChangesAfter(to.Revision()); ok {
		if err := to.ApplyChanges(changes); err != nil {
			t.Fatal(err)
		}
		return
	}
	revision, packed, err := from.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.ApplySnapshot(revision, packed); err != nil {
		t.Fatal(err)
	}
}

// Guards against platform calls that grow with the number of hosts, and against hosts
// that miss a revision which they get only from their zone's watcher.
func TestOneWatcherPerZone(t *testing.T) {
	s := newFixture(t)
	const zones, hosts, edits = 3, 4, 20
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	watchers, peers := make([]*Follower, zones), make([][]*Follower, zones)
	for z := range zones {
		watchers[z] = s.host(true).follower
		running.Go(func() { watchers[z].Run(ctx) })
		for range hosts {
			peer := s.host(false).follower
			peers[z] = append(peers[z], peer)
			running.Go(func() { peer.Run(ctx) })
		}
	}
	writer := s.host(false)
	for n := range uint64(edits) {
		writer.mustEdit(t, fmt.Sprint("e", n), n, budgets(int(n)+1))
	}
	eventually(t, "all hosts at the last revision", func() bool {
		behind := 0
		for z, watcher := range watchers {
			for _, peer := range peers[z] {
				syncFromPeer(t, watcher, peer)
				if peer.Revision() != edits {
					behind++
				}
			}
		}
		return behind == 0
	})
	eventually(t, "one waiting watch per zone", func() bool { return s.platform.Counts().Waiting == zones })
	// Each watcher, and the editor for each edit, may need one watch per revision.
	if c := s.platform.Counts(); c.Watches > (zones+1)*(edits+1) || c.Writes != edits {
		t.Errorf("calls at the platform: %+v", c)
	}
	cancel()
	running.Wait()
}

package jkvault

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkrecord"
)

// replicationFile is the file in the ledger's folder that says which copies lack reservations of this one.
const replicationFile = "replication"

// maxReplicationBytes bounds the content of that file.
const maxReplicationBytes = 1 << 20

// reservationMargin covers that a request for records is a little older than the time from which they are sent.
const reservationMargin = time.Second

// replication tracks whether the hosts of the other zones have copied the reservations that were admitted on this copy
// without a majority.
type replication struct {
	// incomplete is set while others may lack reservations. It is read without waiting for the disk.
	incomplete atomic.Bool

	mu sync.Mutex
	// since is when the first reservation that others may lack was marked, and zero if they have all.
	since time.Time
	// marks counts the marked reservations.
	marks int
	// copiedBy are the hosts that have copied since the last mark.
	copiedBy map[string]bool
	// written is set if the state is on disk.
	written bool
	save    func(data []byte) error
}

// replicationContent is the content of the file.
type replicationContent struct {
	SinceMS  int64    `msgpack:"since_ms"`
	CopiedBy []string `msgpack:"copied_by"`
}

// mark notes that a reservation that was recorded at a time is admitted without a majority. It returns once that is on disk.
func (r *replication) mark(at time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incomplete.Store(true)
	r.marks++
	if r.written && len(r.copiedBy) == 0 && !r.since.IsZero() && !at.Before(r.since) {
		return nil
	}
	if r.since.IsZero() || at.Before(r.since) {
		r.since = at
	}
	r.copiedBy = map[string]bool{}
	return r.write()
}

// begin returns the number of marks, for copied. The records that are sent have to be read after that.
func (r *replication) begin() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks
}

// copied notes that a host has copied the records added since a time, which were read after begin.
func (r *replication) copied(host string, begin int, since time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	isCovered := since.IsZero() || !since.After(r.since.Add(-reservationMargin))
	if r.since.IsZero() || r.marks != begin || !isCovered || r.copiedBy[host] {
		return nil
	}
	r.copiedBy[host] = true
	return r.write()
}

// clearIfCopied returns those of several hosts that haven't copied, and deletes the marks if there are none.
func (r *replication) clearIfCopied(hosts []Source, allKnown bool) ([]Source, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		return nil, nil
	}
	out := slices.DeleteFunc(slices.Clone(hosts), func(s Source) bool { return r.copiedBy[s.Host] })
	if len(out) > 0 || !allKnown {
		return out, nil
	}
	since := r.since
	r.since = time.Time{}
	if err := r.write(); err != nil {
		r.since = since
		return nil, err
	}
	r.copiedBy = nil
	r.incomplete.Store(false)
	return nil, nil
}

// isComplete reports whether others have all reservations.
func (r *replication) isComplete() bool { return !r.incomplete.Load() }

// write writes the state to disk. The caller holds the lock.
func (r *replication) write() error {
	r.written = false
	var content []byte
	if !r.since.IsZero() {
		data, err := msgpack.Marshal(&replicationContent{SinceMS: r.since.UnixMilli(), CopiedBy: slices.Sorted(maps.Keys(r.copiedBy))})
		if err != nil {
			return eris.Wrap(err, "encode replication")
		}
		content = jkrecord.Append(nil, data)
	}
	if err := r.save(content); err != nil {
		return err
	}
	r.written = true
	return nil
}

// forget makes all hosts copy all records, since it isn't known what they lack.
func (r *replication) forget() {
	r.incomplete.Store(true)
	r.since, r.copiedBy = time.UnixMilli(0), map[string]bool{}
}

// read takes over the content of the file. One that is damaged says nothing.
func (r *replication) read(content []byte) {
	if len(content) == 0 {
		return
	}
	r.forget()
	data, err := jkrecord.Read(bytes.NewReader(content), maxReplicationBytes)
	if err != nil {
		return
	}
	var read replicationContent
	if err := msgpack.Unmarshal(data, &read); err != nil {
		return
	}
	r.since = time.UnixMilli(read.SinceMS)
	for _, host := range read.CopiedBy {
		r.copiedBy[host] = true
	}
}

// openReplication reads the file of the ledger's folder. A folder with records that has none is of a release without marks.
func (v *Vault) openReplication() error {
	r := &v.replication
	r.save = func(data []byte) error { return v.log.WriteFile(replicationFile, data) }
	switch {
	case v.hasMarker(replicationFile):
		r.read(v.log.ReadFile(replicationFile))
		return nil
	case v.hasMarker(certainMarker):
		r.forget()
	}
	return r.write()
}

// reservedAt returns when the copy recorded a reservation, or now if it hasn't.
func (v *Vault) reservedAt(s *jkledger.Spending) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, ok := v.ledger.SpendingAdded(s.Program, s.Request); ok {
		return at
	}
	return v.Timer.Now()
}

// Replicated reports whether the copies of the other zones have all reservations that this one has admitted. A copy that
// isn't certain may have lost some that they lack.
func (v *Vault) Replicated() bool { return v.certain.Load() && v.replication.isComplete() }

// checkReplicated returns the hosts of other zones that may lack reservations of this one, and deletes the marks if there are none.
func (v *Vault) checkReplicated() []Source {
	sources, allKnown := v.sources()
	others := slices.DeleteFunc(slices.Clone(sources), func(s Source) bool { return s.Neighbour })
	missing, err := v.replication.clearIfCopied(others, allKnown)
	if err != nil {
		v.Log.Warn("replication not written", "error", err)
	}
	return missing
}

// Replicate asks the hosts that may lack reservations of this copy, and are in reach, to copy its records.
func (v *Vault) Replicate(ctx context.Context, self string, reachable func(host string) bool) {
	for _, s := range v.checkReplicated() {
		if reachable(s.Host) {
			v.handOverTo(ctx, self, s.Addr)
		}
	}
	v.checkReplicated()
}

// noteCopied notes that a host has copied the records that a request asked for.
func (v *Vault) noteCopied(host string, begin int, m *jkledger.SyncRequest, since time.Time) {
	if len(m.Gone) > 0 {
		return
	}
	if err := v.replication.copied(host, begin, since); err != nil {
		v.Log.Warn("replication not written", "error", err)
	}
}

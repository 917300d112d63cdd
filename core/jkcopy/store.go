// Package jkcopy stores replicas of program histories on one host, in a checksummed
// append-only log under the data folder. Each replica (a copy) has a fence: appends
// of a lower epoch are refused, so that a former home can't write to a program that
// its successor has taken over. The package doesn't replicate; the home of a program
// sends the records and chooses the hosts.
package jkcopy

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// maxSegmentBytes is the size at which the log continues in a new segment.
const maxSegmentBytes = 64 << 20

// FencedError is returned for an append whose epoch is below the fence, or equal to
// it and owned by another home.
type FencedError struct {
	Program string
	Epoch   uint64
	Fence   uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("append to program %s: epoch %d is fenced off by epoch %d", e.Program, e.Epoch, e.Fence)
}

// GapError is returned for a record that doesn't follow the last stored one. The
// writer then sends a snapshot.
type GapError struct {
	Program string
	LastSeq uint64
	Seq     uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("append to program %s: record %d does not follow %d", e.Program, e.Seq, e.LastSeq)
}

// FullError is returned when the log has reached its size limit in bytes.
type FullError struct {
	Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("copy log has reached its limit of %d bytes", e.Limit)
}

// NotHeldError is returned for a program that has no copy in this store.
type NotHeldError struct {
	Program string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("no copy of program %s on this host", e.Program)
}

// heldCopy is the index entry of one program: its place in the log and its fence.
type heldCopy struct {
	fence   uint64
	owner   jktoken.Incarnation
	epoch   uint64
	seq     uint64
	entries []location
	ended   bool
	// idleLimit is how long the program may stay idle; zero means no limit.
	idleLimit time.Duration
	// lastAppend is the time of the last append or, after a restart, of the first
	// Expire: the log doesn't store the time.
	lastAppend time.Time
	// uncertain is set while records of this program may be missing, because the log
	// was damaged or another incarnation wrote it. An append that the fence and the
	// sequence number admit shows that the copy is complete.
	uncertain bool
}

// Store holds the copies on one host: the log and its index in memory.
type Store struct {
	folder   string
	maxBytes int64

	mu       sync.Mutex
	programs map[string]*heldCopy
	segments map[int]*segment
	current  *segment
	bytes    int64
	damaged  bool
}

// Open reads the log under the data folder and builds the index. Appends are refused
// once the log has reached maxBytes. A damaged tail is truncated; see Damaged.
func Open(dataFolder string, maxBytes int64) (*Store, error) {
	s := &Store{
		folder:   filepath.Join(dataFolder, "copies"),
		maxBytes: maxBytes,
		programs: map[string]*heldCopy{},
		segments: map[int]*segment{},
	}
	if err := os.MkdirAll(s.folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create data folder")
	}
	numbers, err := segmentNumbers(s.folder)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		numbers = []int{1}
	}
	for _, n := range numbers {
		if err := s.load(n); err != nil {
			s.Close()
			return nil, err
		}
	}
	if s.damaged {
		for _, h := range s.programs {
			h.uncertain = true
		}
	}
	return s, nil
}

func (s *Store) load(number int) error {
	seg, err := openSegment(s.folder, number)
	if err != nil {
		return err
	}
	s.segments[number] = seg
	s.current = seg
	damaged, err := seg.load(s.index)
	s.bytes += seg.size
	s.damaged = s.damaged || damaged
	return err
}

// Damaged reports whether damaged entries were truncated when the log was opened.
func (s *Store) Damaged() bool { return s.damaged }

// Len returns the number of programs with a copy.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.programs)
}

// Bytes returns the size of the log in bytes.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Close closes the log's files.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		_ = seg.file.Close()
	}
}

// Sync flushes the log to the disk. An append survives a killed process as soon as
// it returns, and a failed host only after the next Sync; until then the second copy
// in another zone covers the loss of this host.
func (s *Store) Sync() error {
	s.mu.Lock()
	file := s.current.file
	s.mu.Unlock()
	return eris.Wrap(file.Sync(), "sync log")
}

// Append stores a record. The error is a *FencedError, a *GapError, a *FullError or
// a disk error.
func (s *Store) Append(now time.Time, r jkprogram.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.programs[r.Program]
	if err := checkAppend(h, r); err != nil {
		return err
	}
	if s.bytes >= s.maxBytes {
		return eris.Wrap(&FullError{Limit: s.maxBytes}, "append")
	}
	e := entry{Record: &r}
	if err := s.write(e); err != nil {
		return err
	}
	h = s.programs[r.Program]
	h.uncertain = false
	h.lastAppend = now
	return nil
}

// checkAppend compares a record's epoch with the fence and its sequence number with
// the last stored one. A snapshot replaces the history, so it may leave a gap.
func checkAppend(h *heldCopy, r jkprogram.Record) error {
	if h != nil && (r.Epoch < h.fence || (r.Epoch == h.fence && !h.owner.IsZero() && r.Home != h.owner)) {
		return eris.Wrap(&FencedError{Program: r.Program, Epoch: r.Epoch, Fence: h.fence}, "append")
	}
	if r.Kind == jkprogram.RecordSnapshot {
		return nil
	}
	if h == nil || r.Epoch != h.epoch || r.Seq != h.seq+1 {
		gap := &GapError{Program: r.Program, Seq: r.Seq}
		if h != nil {
			gap.LastSeq = h.seq
		}
		return eris.Wrap(gap, "append")
	}
	return nil
}

// write appends an entry to the log and adds it to the index. It starts a new segment
// if the current one is full.
func (s *Store) write(e entry) error {
	if s.current.size >= maxSegmentBytes {
		// Sync covers the current segment only.
		if err := s.current.file.Sync(); err != nil {
			return eris.Wrap(err, "sync full log segment")
		}
		if err := s.load(s.current.number + 1); err != nil {
			return err
		}
	}
	l, err := s.current.append(e)
	if err != nil {
		return err
	}
	s.bytes += int64(l.size)
	s.index(e, l)
	return nil
}

// index applies an entry of the log to the table of programs.
func (s *Store) index(e entry, l location) {
	switch {
	case e.Record != nil:
		s.indexRecord(e.Record, l)
	case e.Fence != nil:
		h := s.getOrCreate(e.Fence.Program)
		s.addLocation(h, l)
		h.fence = e.Fence.Epoch
		h.owner = e.Fence.Owner
	case e.Forget != "":
		s.releaseEntries(s.programs[e.Forget])
		delete(s.programs, e.Forget)
	}
}

func (s *Store) indexRecord(r *jkprogram.Record, l location) {
	h := s.getOrCreate(r.Program)
	if r.Kind == jkprogram.RecordSnapshot {
		s.releaseEntries(h)
	}
	s.addLocation(h, l)
	h.ended = r.Kind == jkprogram.RecordEnd || (r.Snapshot != nil && r.Snapshot.End != "")
	if r.Snapshot != nil {
		h.idleLimit = r.Snapshot.Meta.Limits.IdleLimit
	}
	h.epoch = r.Epoch
	h.seq = r.Seq
	h.owner = r.Home
	h.fence = max(h.fence, r.Epoch)
}

func (s *Store) addLocation(h *heldCopy, l location) {
	h.entries = append(h.entries, l)
	s.segments[l.segment].liveEntries++
}

func (s *Store) getOrCreate(program string) *heldCopy {
	h := s.programs[program]
	if h == nil {
		h = &heldCopy{}
		s.programs[program] = h
	}
	return h
}

// releaseEntries removes a program's references into the log and deletes the segments
// that nothing refers to any more.
func (s *Store) releaseEntries(h *heldCopy) {
	if h == nil {
		return
	}
	for _, l := range h.entries {
		seg := s.segments[l.segment]
		if seg == nil {
			continue
		}
		seg.liveEntries--
		if seg.liveEntries == 0 && seg != s.current {
			s.deleteSegment(seg)
		}
	}
	h.entries = nil
}

func (s *Store) deleteSegment(seg *segment) {
	_ = seg.file.Close()
	// A file that can't be removed is read and deleted again at the next start.
	_ = os.Remove(segmentPath(s.folder, seg.number))
	s.bytes -= seg.size
	delete(s.segments, seg.number)
}

// ReadResult is the result of a read of a copy.
type ReadResult struct {
	State jkprogram.State
	// Fence is the copy's fence. After TakeOver, the reader may append with this epoch.
	Fence uint64
	// Uncertain reports that records may be missing, because the log was damaged or
	// the copies of a former incarnation aren't resolved.
	Uncertain bool
}

// Read returns a program's state without changing the fence.
func (s *Store) Read(program string) (ReadResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readState(program)
}

// TakeOver returns a program's state and raises its fence to at least epoch, and
// above the current fence if another incarnation owns it. Appends of lower epochs are
// refused from then on.
func (s *Store) TakeOver(program string, owner jktoken.Incarnation, epoch uint64) (ReadResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.programs[program]
	if h == nil || len(h.entries) == 0 {
		return ReadResult{}, eris.Wrap(&NotHeldError{Program: program}, "take over")
	}
	next := max(epoch, h.fence)
	if h.owner != owner {
		next = max(epoch, h.fence+1)
	}
	if next != h.fence || h.owner != owner {
		if err := s.write(entry{Fence: &fence{Program: program, Epoch: next, Owner: owner}}); err != nil {
			return ReadResult{}, err
		}
	}
	return s.readState(program)
}

func (s *Store) readState(program string) (ReadResult, error) {
	h := s.programs[program]
	if h == nil || len(h.entries) == 0 {
		return ReadResult{}, eris.Wrap(&NotHeldError{Program: program}, "read")
	}
	r := ReadResult{Fence: h.fence, Uncertain: h.uncertain}
	for _, l := range h.entries {
		e, err := s.segments[l.segment].read(l)
		if err != nil {
			return ReadResult{}, err
		}
		if e.Record == nil {
			continue
		}
		if !r.State.Apply(*e.Record) {
			return ReadResult{}, eris.Errorf("copy of program %s: record at offset %d does not apply", program, l.offset)
		}
	}
	return r, nil
}

// Orphan is a program that no home has written to for longer than its idle limit.
type Orphan struct {
	Program string
	// Home is the incarnation that owns the copy's fence: the last writer, or a later
	// reader that took the program over.
	Home jktoken.Incarnation
}

// Orphans returns the programs that are past their idle limit and have not ended.
func (s *Store) Orphans(now time.Time) []Orphan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Orphan
	for id, h := range s.programs {
		if h.ended || h.idleLimit == 0 || h.lastAppend.IsZero() || now.Sub(h.lastAppend) <= h.idleLimit {
			continue
		}
		out = append(out, Orphan{Program: id, Home: h.owner})
	}
	return out
}

// Expire deletes the copies of programs that ended longer ago than endedFor, and of
// programs that no home has written to for orphanedFor. It returns how many.
func (s *Store) Expire(now time.Time, endedFor, orphanedFor time.Duration) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, h := range s.programs {
		if h.lastAppend.IsZero() {
			h.lastAppend = now
		}
		age := now.Sub(h.lastAppend)
		if age <= orphanedFor && (!h.ended || age <= endedFor) {
			continue
		}
		if err := s.write(entry{Forget: id}); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// Package jkcopy keeps history copies of programs in a checksummed append-only
// log under the data folder. A copy refuses appends of an epoch below its fence,
// so that a former home cannot go on behind its successor's back.
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

// segmentLimit is the size in bytes at which a new segment is begun.
const segmentLimit = 64 << 20

// FencedError is returned for an append of an epoch below the fence.
type FencedError struct {
	Program string
	Epoch   uint64
	Fence   uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("append to program %s: epoch %d is below the fence %d", e.Program, e.Epoch, e.Fence)
}

// GapError is returned for a record that does not follow the stored ones. The
// writer then sends a snapshot.
type GapError struct {
	Program string
	Held    uint64
	Got     uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("append to program %s: record %d does not follow %d", e.Program, e.Got, e.Held)
}

// FullError is returned when the data folder has reached its limit in bytes.
type FullError struct {
	Limit int64
}

func (e *FullError) Error() string { return fmt.Sprintf("data folder has reached %d bytes", e.Limit) }

// NotHeldError is returned for a program without a copy here.
type NotHeldError struct {
	Program string
}

func (e *NotHeldError) Error() string { return fmt.Sprintf("no copy of program %s here", e.Program) }

// held is the index row of one program.
type held struct {
	fence   uint64
	owner   jktoken.Incarnation
	epoch   uint64
	seq     uint64
	entries []location
	ended   bool
	// idle is the program's idle limit; zero means none.
	idle time.Duration
	// touched is the time of the last append, or of the first Expire after a
	// start.
	touched time.Time
	// uncertain is set when the log was damaged: records of this program may
	// be missing until an append shows that it is complete.
	uncertain bool
}

// Store is the set of copies on one host.
type Store struct {
	folder string
	limit  int64

	mu       sync.Mutex
	programs map[string]*held
	segments map[int]*segment
	current  *segment
	bytes    int64
	damaged  bool
}

// Open reads the log under the data folder. Limit bounds the log in bytes. A
// damaged tail is cut off; see Damaged.
func Open(dataFolder string, limit int64) (*Store, error) {
	s := &Store{
		folder:   filepath.Join(dataFolder, "copies"),
		limit:    limit,
		programs: map[string]*held{},
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

// Damaged reports whether the log lost entries when it was opened.
func (s *Store) Damaged() bool { return s.damaged }

// Len returns the number of programs held.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.programs)
}

// Bytes returns the size of the log.
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

// Sync writes the log to the disk. An append is safe from a killed process as
// soon as it returns, and from a failed host after the next Sync; the second
// copy in another zone covers the time between.
func (s *Store) Sync() error {
	s.mu.Lock()
	file := s.current.file
	s.mu.Unlock()
	return eris.Wrap(file.Sync(), "sync log")
}

// Append stores a record. The error is a *FencedError, a *GapError, a
// *FullError or a failure of the disk.
func (s *Store) Append(now time.Time, r jkprogram.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.programs[r.Program]
	if err := check(h, r); err != nil {
		return err
	}
	if s.bytes >= s.limit {
		return eris.Wrap(&FullError{Limit: s.limit}, "append")
	}
	e := entry{Record: &r}
	if err := s.write(e); err != nil {
		return err
	}
	h = s.programs[r.Program]
	h.uncertain = false
	h.touched = now
	return nil
}

func check(h *held, r jkprogram.Record) error {
	if h != nil && (r.Epoch < h.fence || (r.Epoch == h.fence && !h.owner.IsZero() && r.Home != h.owner)) {
		return eris.Wrap(&FencedError{Program: r.Program, Epoch: r.Epoch, Fence: h.fence}, "append")
	}
	if r.Kind == jkprogram.RecordSnapshot {
		return nil
	}
	if h == nil || r.Epoch != h.epoch || r.Seq != h.seq+1 {
		gap := &GapError{Program: r.Program, Got: r.Seq}
		if h != nil {
			gap.Held = h.seq
		}
		return eris.Wrap(gap, "append")
	}
	return nil
}

// write appends an entry to the log and the index.
func (s *Store) write(e entry) error {
	if s.current.size >= segmentLimit {
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

// index enters an entry of the log into the table of programs.
func (s *Store) index(e entry, l location) {
	switch {
	case e.Record != nil:
		s.indexRecord(e.Record, l)
	case e.Fence != nil:
		h := s.row(e.Fence.Program)
		s.keep(h, l)
		h.fence = e.Fence.Epoch
		h.owner = e.Fence.Owner
	case e.Forget != "":
		s.release(s.programs[e.Forget])
		delete(s.programs, e.Forget)
	}
}

func (s *Store) indexRecord(r *jkprogram.Record, l location) {
	h := s.row(r.Program)
	if r.Kind == jkprogram.RecordSnapshot {
		s.release(h)
	}
	s.keep(h, l)
	h.ended = r.Kind == jkprogram.RecordEnd || (r.Snapshot != nil && r.Snapshot.End != "")
	if r.Snapshot != nil {
		h.idle = r.Snapshot.Meta.Limits.IdleLimit
	}
	h.epoch = r.Epoch
	h.seq = r.Seq
	h.owner = r.Home
	h.fence = max(h.fence, r.Epoch)
}

func (s *Store) keep(h *held, l location) {
	h.entries = append(h.entries, l)
	s.segments[l.segment].live++
}

func (s *Store) row(program string) *held {
	h := s.programs[program]
	if h == nil {
		h = &held{}
		s.programs[program] = h
	}
	return h
}

// release gives up a program's entries and deletes segments without live
// entries.
func (s *Store) release(h *held) {
	if h == nil {
		return
	}
	for _, l := range h.entries {
		seg := s.segments[l.segment]
		if seg == nil {
			continue
		}
		seg.live--
		if seg.live == 0 && seg != s.current {
			s.drop(seg)
		}
	}
	h.entries = nil
}

func (s *Store) drop(seg *segment) {
	_ = seg.file.Close()
	// A file that can't be removed is read and dropped again at the next start.
	_ = os.Remove(segmentPath(s.folder, seg.number))
	s.bytes -= seg.size
	delete(s.segments, seg.number)
}

// Reading is the answer to a read of a copy.
type Reading struct {
	State jkprogram.State
	// Fence is the epoch that the reader may use after a take-over read.
	Fence uint64
	// Uncertain tells that records may be missing because the log was damaged.
	Uncertain bool
}

// Read returns a program's state without changing the fence.
func (s *Store) Read(program string) (Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(program)
}

// TakeOver returns a program's state and raises its fence to at least epoch and
// above every epoch of another owner. Appends of lower epochs are refused from
// then on.
func (s *Store) TakeOver(program string, owner jktoken.Incarnation, epoch uint64) (Reading, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.programs[program]
	if h == nil || len(h.entries) == 0 {
		return Reading{}, eris.Wrap(&NotHeldError{Program: program}, "take over")
	}
	next := max(epoch, h.fence)
	if h.owner != owner {
		next = max(epoch, h.fence+1)
	}
	if next != h.fence || h.owner != owner {
		if err := s.write(entry{Fence: &fence{Program: program, Epoch: next, Owner: owner}}); err != nil {
			return Reading{}, err
		}
	}
	return s.read(program)
}

func (s *Store) read(program string) (Reading, error) {
	h := s.programs[program]
	if h == nil || len(h.entries) == 0 {
		return Reading{}, eris.Wrap(&NotHeldError{Program: program}, "read")
	}
	r := Reading{Fence: h.fence, Uncertain: h.uncertain}
	for _, l := range h.entries {
		e, err := s.segments[l.segment].read(l)
		if err != nil {
			return Reading{}, err
		}
		if e.Record == nil {
			continue
		}
		if !r.State.Apply(*e.Record) {
			return Reading{}, eris.Errorf("copy of program %s: record at %d does not apply", program, l.offset)
		}
	}
	return r, nil
}

// Orphan is a program that no home has written to for its idle limit.
type Orphan struct {
	Program string
	// Home is the incarnation that wrote last.
	Home jktoken.Incarnation
}

// Orphans returns the programs past their idle limit that have not ended.
func (s *Store) Orphans(now time.Time) []Orphan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Orphan
	for id, h := range s.programs {
		if h.ended || h.idle == 0 || h.touched.IsZero() || now.Sub(h.touched) <= h.idle {
			continue
		}
		out = append(out, Orphan{Program: id, Home: h.owner})
	}
	return out
}

// Expire forgets programs that ended longer ago than endedFor, and programs
// that no home has written to for orphanedFor. It returns how many.
func (s *Store) Expire(now time.Time, endedFor, orphanedFor time.Duration) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, h := range s.programs {
		if h.touched.IsZero() {
			h.touched = now
		}
		age := now.Sub(h.touched)
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

package jkhome

import (
	"context"
	"io"
	"math/rand"
	"testing"
	"time"

	"jasmineknot.example/core/jkcopy"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jktoken"
)

// copyFixture is a home with one program and a copy of it at another host.
type copyFixture struct {
	home    *Home
	store   *jkcopy.Store
	program string
	// up is the state that the home sees for the copy's host; refuses makes the host
	// store no record.
	up, refuses bool
	appends     int
}

func newCopyFixture(t *testing.T) *copyFixture {
	t.Helper()
	s := &copyFixture{up: true}
	var err error
	if s.store, err = jkcopy.Open(t.TempDir(), 1<<20); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.store.Close)
	keys, err := jktoken.NewKeyring([]jktoken.Key{{ID: "k", Secret: make([]byte, 16)}})
	if err != nil {
		t.Fatal(err)
	}
	timer, _ := jktimer.NewManual(time.Unix(1000, 0))
	s.home = New(Options{
		Self: jktoken.Incarnation{Host: "home", Start: 1}, Timer: timer, Keys: keys, MaxPrograms: 10, CopyGrace: 10 * time.Second,
		Log: jklog.New(io.Discard, timer.Now), Rand: rand.New(rand.NewSource(1)), Sched: jksched.DefaultOptions(),
		Rules: Rules{Template: func(string) (Template, bool) { return Template{Budget: 1000}, true }},
		Transport: Transport{
			ChooseCopies: func(string) []string { return []string{"copy"} },
			HostState:    func(string) (jktoken.Incarnation, bool) { return jktoken.Incarnation{Host: "copy", Start: 1}, s.up },
			AppendCopy:   s.append,
		},
	})
	r := s.home.Create(context.Background(), jkmsg.Create{Workspace: "w", Template: "t"})
	if r.Problem != nil {
		t.Fatal(r.Problem)
	}
	s.program = r.Programs[0].Program
	s.home.MaintainCopies(context.Background())
	return s
}

func (s *copyFixture) append(_ context.Context, _ string, r jkprogram.Record) (jkmsg.CopyStatus, error) {
	s.appends++
	if s.refuses {
		return jkmsg.CopyFailed, nil
	}
	if s.store.Append(time.Unix(1000, 0), r) != nil {
		return jkmsg.CopyGap, nil
	}
	return jkmsg.CopyStored, nil
}

// record writes a record without a change to the copies.
func (s *copyFixture) record() jkprogram.CopyResult {
	s.home.mu.Lock()
	r, _ := s.home.core.NoOp(s.program)
	s.home.mu.Unlock()
	return s.home.appendAll(context.Background(), r)
}

func (s *copyFixture) isComplete(t *testing.T) bool {
	t.Helper()
	r, err := s.store.Read(s.program)
	if err != nil {
		t.Fatal(err)
	}
	state, _ := s.home.core.State(s.program)
	return r.State.Seq == state.Seq
}

// Guards against a copy that still lacks records after its host was unreachable for a
// short time: only the program's next call, which may be days away, would repair it.
func TestCopyCatchesUpAfterHostUnreachable(t *testing.T) {
	s := newCopyFixture(t)
	s.up = false
	if s.record() == jkprogram.CopyRecorded {
		t.Fatal("an unreachable host stored a record")
	}
	s.home.MaintainCopies(context.Background())
	s.up = true
	s.home.MaintainCopies(context.Background())
	if !s.isComplete(t) {
		t.Fatal("the copy lacks a record")
	}
	before := s.appends
	s.home.MaintainCopies(context.Background())
	if s.appends != before {
		t.Error("a complete copy is written again")
	}
}

// Guards against a copy that still lacks a record that its host was up for but failed
// to store.
func TestCopyCatchesUpAfterFailedAppend(t *testing.T) {
	s := newCopyFixture(t)
	s.refuses = true
	s.record()
	s.home.MaintainCopies(context.Background())
	s.refuses = false
	s.home.MaintainCopies(context.Background())
	if !s.isComplete(t) {
		t.Fatal("the copy lacks a record")
	}
}

// Guards against a copy that is never repaired because another program with a copy at
// the same host has moved to another home.
func TestCopyCatchesUpBesideMovedProgram(t *testing.T) {
	s := newCopyFixture(t)
	moved := s.program
	s.up = false
	s.record()
	r := s.home.Create(context.Background(), jkmsg.Create{Workspace: "w", Template: "t"})
	if r.Problem != nil {
		t.Fatal(r.Problem)
	}
	s.home.core.Supersede(moved)
	s.up = true
	s.home.MaintainCopies(context.Background())
	if s.program = r.Programs[0].Program; !s.store.Holds(s.program) || !s.isComplete(t) {
		t.Fatal("the copy lacks a record")
	}
	if len(s.home.missed["copy"]) > 0 {
		t.Errorf("missed records of moved programs remain: %v", s.home.missed)
	}
}

// Guards against a repair that overwrites the copy at the former home's host before a
// caller's token shows whether that copy holds more turns.
func TestCopyOfFormerHomeIsKept(t *testing.T) {
	s := newCopyFixture(t)
	state, _ := s.home.core.State(s.program)
	s.home.core.Supersede(s.program)
	record, err := s.home.core.Adopt(time.Unix(1000, 0), state, state.Epoch+1)
	if err != nil {
		t.Fatal(err)
	}
	s.up = false
	s.home.appendAll(context.Background(), record)
	s.up = true
	before := s.appends
	s.home.MaintainCopies(context.Background())
	if s.appends != before {
		t.Error("the copy was written")
	}
}

// Guards against turns that only the disk of the former home's host holds, and that the
// new home still lacks although that host is back before the program has run again.
func TestTurnsOfReturnedFormerHome(t *testing.T) {
	former := newCopyFixture(t)
	ctx := context.Background()
	self := jktoken.Incarnation{Host: "next", Start: 1}
	first := former.home.Self()
	disk, err := jkcopy.Open(t.TempDir(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	stores := map[string]*jkcopy.Store{first.Host: disk, "copy": former.store}
	snapshot, _ := former.home.core.Snapshot(former.program)
	snapshot.Snapshot.Copies = []string{first.Host, "copy"}
	turn := jkprogram.Record{
		Program: former.program, Home: first, Epoch: snapshot.Epoch, Seq: snapshot.Seq + 1, Kind: jkprogram.RecordTurn,
		Granted: snapshot.Snapshot.Granted, Turn: &jkprogram.Turn{Number: 1, RequestID: "r1", Outcome: jkprogram.OutcomeCompleted},
	}
	for _, r := range []jkprogram.Record{snapshot, turn} {
		if err := disk.Append(time.Unix(1000, 0), r); err != nil {
			t.Fatal(err)
		}
	}
	if err := former.store.Append(time.Unix(1000, 0), snapshot); err != nil {
		t.Fatal(err)
	}
	back := false
	o := former.home.options
	o.Self = self
	o.Transport.ReadCopy = func(_ context.Context, host string, m jkmsg.CopyRead) (jkmsg.CopyReadResult, error) {
		if host == first.Host && !back {
			return jkmsg.CopyReadResult{}, io.ErrUnexpectedEOF
		}
		r, err := stores[host].TakeOver(m.Program, m.Reader, m.Epoch)
		return jkmsg.CopyReadResult{Host: jktoken.Incarnation{Host: host, Start: 1}, Held: err == nil, Fence: r.Fence, State: r.State}, err
	}
	o.Transport.AppendCopy = func(_ context.Context, host string, r jkprogram.Record) (jkmsg.CopyStatus, error) {
		if host == first.Host && !back {
			return jkmsg.CopyFailed, nil
		}
		if stores[host].Append(time.Unix(1000, 0), r) != nil {
			return jkmsg.CopyGap, nil
		}
		return jkmsg.CopyStored, nil
	}
	o.Transport.IsCopyHostRemoved = func(context.Context, jktoken.Incarnation, jktoken.Incarnation) (bool, error) { return false, nil }
	o.Transport.IsEnded = func(context.Context) (bool, error) { return false, nil }
	next := New(o)
	copies := []string{first.Host, "copy"}
	if err := next.Adopt(ctx, former.program, first, copies, 1); err != nil {
		t.Fatal(err)
	}
	if !next.IsBehind(former.program, 1) {
		t.Fatal("the turn is known without the former home's disk")
	}
	takenOver, _ := next.core.Info(former.program)
	back = true
	if err := next.Adopt(ctx, former.program, first, copies, 1); err != nil {
		t.Fatal(err)
	}
	if next.IsBehind(former.program, 1) {
		t.Error("the turn of the former home's disk is not found")
	}
	if info, _ := next.core.Info(former.program); info.Epoch <= takenOver.Epoch || info.Spent < takenOver.Granted {
		t.Errorf("epoch %d with %d tokens spent, want more than %d with all %d granted ones spent", info.Epoch, info.Spent, takenOver.Epoch, takenOver.Granted)
	}
}

// Guards against the same turns that are overwritten once their host has restarted, or by a
// takeover during which that host comes back.
func TestTurnsOfReturnedFormerHomeAreNotOverwritten(t *testing.T) {
	s := newCopyFixture(t)
	state, _ := s.home.core.State(s.program)
	s.home.core.Supersede(s.program)
	record, err := s.home.core.Adopt(time.Unix(1000, 0), state, state.Epoch+1)
	if err != nil {
		t.Fatal(err)
	}
	before := s.appends
	s.home.appendAdopted(context.Background(), record, "copy", false)
	s.home.options.Transport.HostState = func(string) (jktoken.Incarnation, bool) { return jktoken.Incarnation{Host: "copy", Start: 2}, true }
	s.home.MaintainCopies(context.Background())
	if s.appends != before {
		t.Error("the copy at the former home's host was written, which hasn't been read")
	}
	s.home.appendAdopted(context.Background(), record, "copy", true)
	if s.appends == before {
		t.Error("a copy that was read wasn't written")
	}
}

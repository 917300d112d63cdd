package jkcopy

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

var (
	now   = time.Unix(1000, 0)
	homeA = jktoken.Incarnation{Host: "a", Start: 1}
	homeB = jktoken.Incarnation{Host: "b", Start: 1}
)

func open(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// home returns a core with one program whose first record is in the store.
func home(t *testing.T, s *Store) *jkprogram.Core {
	t.Helper()
	c := jkprogram.New(jkprogram.Options{Self: homeA, MaxPrograms: 10})
	r, err := c.Create(now, jkprogram.Creation{Program: "p", Meta: jkprogram.Meta{Budget: 1000}, Copies: []string{"x"}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Append(now, r); err != nil {
		t.Fatal(err)
	}
	return c
}

func runTurn(t *testing.T, c *jkprogram.Core, requestID string) jkprogram.Record {
	t.Helper()
	claims, err := c.Claims("p")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Submit(now, jkprogram.Submission{Program: "p", Token: &claims, RequestID: requestID, Kind: jkprogram.KindService, Repeatable: true}); err != nil {
		t.Fatal(err)
	}
	r, _, err := c.Complete(now, "p", jkprogram.Result{Outcome: jkprogram.OutcomeCompleted, Answer: []byte(requestID)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a restart of the copy's host that loses history.
func TestStateSurvivesRestart(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	c := home(t, s)
	for _, id := range []string{"r1", "r2"} {
		if err := s.Append(now, runTurn(t, c, id)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	again := open(t, folder)
	r, err := again.Read("p")
	if err != nil {
		t.Fatal(err)
	}
	if r.Uncertain || r.State.Turn() != 2 || string(r.State.Turns[1].Answer) != "r2" {
		t.Fatalf("got uncertain %t, %d turns", r.Uncertain, r.State.Turn())
	}
}

// Guards against a former home that can still append after its successor has taken the
// copy over, also when the copy's host restarted in between.
func TestFenceRefusesFormerHome(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	c := home(t, s)
	r, err := s.TakeOver("p", homeB, 1)
	if err != nil || r.Fence != 1 {
		t.Fatalf("got fence %d (%v), want 1", r.Fence, err)
	}
	late := runTurn(t, c, "late")
	s.Close()
	for _, store := range []*Store{open(t, folder)} {
		err := store.Append(now, late)
		var fenced *FencedError
		if !errors.As(err, &fenced) || fenced.Fence != 1 {
			t.Fatalf("got %v, want a fenced append", err)
		}
		r, err := store.TakeOver("p", homeA, 1)
		if err != nil || r.Fence != 2 {
			t.Fatalf("got fence %d (%v), want 2 for another owner", r.Fence, err)
		}
	}
}

// Guards against a damaged or truncated tail that is read as history, and against a
// copy that is reported as certain after it lost records.
func TestDamagedTail(t *testing.T) {
	damages := map[string]func(data []byte) []byte{
		"truncated": func(data []byte) []byte { return data[:len(data)-3] },
		"changed":   func(data []byte) []byte { data[len(data)-2] ^= 1; return data },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s := open(t, folder)
			c := home(t, s)
			if err := s.Append(now, runTurn(t, c, "r1")); err != nil {
				t.Fatal(err)
			}
			if err := s.Append(now, runTurn(t, c, "r2")); err != nil {
				t.Fatal(err)
			}
			s.Close()
			path := segmentPath(filepath.Join(folder, "copies"), 1)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(data), 0o600); err != nil {
				t.Fatal(err)
			}
			again := open(t, folder)
			r, err := again.Read("p")
			if err != nil {
				t.Fatal(err)
			}
			if !r.Uncertain || r.State.Turn() != 1 {
				t.Fatalf("got uncertain %t, %d turns; want an uncertain copy with 1 turn", r.Uncertain, r.State.Turn())
			}
			var gap *GapError
			if err := again.Append(now, runTurn(t, c, "r3")); !errors.As(err, &gap) {
				t.Fatalf("got %v, want a gap", err)
			}
			snapshot, _ := c.Snapshot("p")
			if err := again.Append(now, snapshot); err != nil {
				t.Fatal(err)
			}
			r, err = again.Read("p")
			if err != nil || r.Uncertain || r.State.Turn() != 3 {
				t.Fatalf("got uncertain %t, %d turns after a snapshot (%v)", r.Uncertain, r.State.Turn(), err)
			}
		})
	}
}

// Guards against a data folder that grows without bound because the copies of ended
// programs are never deleted.
func TestExpireForgetsEndedPrograms(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	c := home(t, s)
	ended, err := c.End(now, "p", jkprogram.EndCompleted)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Append(now, ended[0].Record); err != nil {
		t.Fatal(err)
	}
	if n, err := s.Expire(now.Add(time.Minute), time.Hour, 2*time.Hour); n != 0 || err != nil {
		t.Fatalf("deleted %d programs too early (%v)", n, err)
	}
	if n, err := s.Expire(now.Add(90*time.Minute), time.Hour, 2*time.Hour); n != 1 || err != nil {
		t.Fatalf("deleted %d programs, want 1 (%v)", n, err)
	}
	s.Close()
	if got := open(t, folder).Len(); got != 0 {
		t.Fatalf("%d programs after a restart, want 0", got)
	}
}

// Guards against a restarted host whose copies count as complete although the
// programs' homes may have replaced it in the meantime, and against an ordinary restart
// that loses copies.
func TestRestartMakesCopiesUncertain(t *testing.T) {
	first := jktoken.Incarnation{Host: "x", Start: 1}
	second := jktoken.Incarnation{Host: "x", Start: 2}
	for _, kept := range []bool{true, false} {
		folder := t.TempDir()
		s := open(t, folder)
		if former, err := s.BeginIncarnation(first); err != nil || len(former) != 0 {
			t.Fatalf("got former %v (%v) in a new folder", former, err)
		}
		home(t, s)
		s.Close()
		again := open(t, folder)
		if former, err := again.BeginIncarnation(second); err != nil || len(former) != 1 || former[0] != first {
			t.Fatalf("got former %v (%v)", former, err)
		}
		if r, err := again.Read("p"); err != nil || !r.Uncertain {
			t.Fatalf("got uncertain %t (%v) before ResolveFormer", r.Uncertain, err)
		}
		if err := again.ResolveFormer(second, kept); err != nil {
			t.Fatal(err)
		}
		r, err := again.Read("p")
		if kept && (err != nil || r.Uncertain) {
			t.Fatalf("got uncertain %t (%v) for copies that were kept", r.Uncertain, err)
		}
		if !kept && err == nil {
			t.Fatal("a copy on a replaced host is still read")
		}
	}
}

package jkconfig

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// Guards against two edits of one section where the second silently overwrites
// the first.
func TestSameSectionRace(t *testing.T) {
	s := newFixture(t)
	s.host(false).mustEdit(t, "start", 0, budgets(1))
	const editors = 6
	var wg sync.WaitGroup
	errs := make([]error, editors)
	for i := range editors {
		h := s.host(false)
		wg.Go(func() {
			_, errs[i] = h.editor.Apply(t.Context(), Edit{
				ID: fmt.Sprint("e", i), Team: "money", Section: SectionBudgets, Base: 1, Value: budgets(100 + i),
			})
		})
	}
	wg.Wait()
	won := 0
	for i, err := range errs {
		var conflict *ConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &conflict):
			t.Fatalf("editor %d: %v", i, err)
		case !strings.Contains(string(conflict.Yours), fmt.Sprint(100+i)) || string(conflict.Theirs) == string(conflict.Yours) || conflict.Team != "money":
			t.Fatalf("editor %d: conflict without both texts: %+v", i, conflict)
		}
	}
	if won != 1 {
		t.Fatalf("%d edits succeeded, want 1", won)
	}
}

// Guards against edits of different sections that are refused or lost because
// they race for the same revision number.
func TestDifferentSectionsRace(t *testing.T) {
	s := newFixture(t)
	const rounds = 10
	var wg sync.WaitGroup
	for _, section := range serviceSections() {
		h := s.host(false)
		wg.Go(func() {
			base := uint64(0)
			for n := range rounds {
				r, err := h.editor.Apply(t.Context(), Edit{
					ID: fmt.Sprint(section, n), Team: "team", Section: section, Base: base,
					Value: serviceRules("team", "svc-"+string(section), n+1),
				})
				if err != nil {
					t.Errorf("%s %d: %v", section, n, err)
					return
				}
				base = r.Revision
			}
		})
	}
	wg.Wait()
	h := s.host(false)
	if err := h.follower.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	d := h.follower.Newest()
	if d.Revision() != 3*rounds {
		t.Fatalf("revision %d, want %d", d.Revision(), 3*rounds)
	}
	for _, section := range serviceSections() {
		if r, _ := d.Service("svc-" + string(section)); r.Timeout("/") != rounds*time.Millisecond {
			t.Fatalf("%s: last edit is missing: %v", section, r.Timeout("/"))
		}
	}
}

// Guards against an editor that writes twice or reports a failure when the answer to
// its write is lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	s := newFixture(t)
	h := s.host(false)
	h.mustEdit(t, "a", 0, budgets(1))
	s.platform.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
	if r := h.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 {
		t.Fatalf("result %+v", r)
	}
	if n := s.countRecords(h, "b"); n != 1 {
		t.Fatalf("edit b has %d revisions", n)
	}
}

// Guards against an edit that is applied twice because its caller got no answer and
// sends it again through another host, after more edits of the same section.
func TestEditSentAgainIsAppliedOnce(t *testing.T) {
	s := newFixture(t)
	h := s.host(false)
	h.mustEdit(t, "a", 0, budgets(1))
	h.mustEdit(t, "b", 1, budgets(2))
	h.mustEdit(t, "c", 2, budgets(3))
	for _, other := range []*host{s.host(false), h} {
		if r := other.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 {
			t.Fatalf("repeated edit: %+v, want its first revision 2", r)
		}
	}
	// A host that got the document from a peer has no history in memory.
	_, packed, err := h.follower.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := s.host(false)
	if ok, err := fresh.follower.ApplySnapshot(3, packed); !ok || err != nil {
		t.Fatal(ok, err)
	}
	if r := fresh.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 {
		t.Fatalf("repeated edit without history: %+v", r)
	}
	if n := s.countRecords(h, "b"); n != 1 {
		t.Fatalf("edit b has %d revisions", n)
	}
}

// Guards against an edit that is reported as not written although both the answer and
// the read-back were lost. The same edit sent again must find its revision.
func TestUnresolvedAnswerIsUncertain(t *testing.T) {
	s := newFixture(t)
	client := jkplatform.NewHTTPLimited(s.url, s.client, 100000, 100000)
	h := s.hostWith(client, false)
	h.mustEdit(t, "a", 0, budgets(1))
	create := client.Create
	client.Create = func(ctx context.Context, key string, value []byte) (jkplatform.Record, error) {
		if !s.platform.Faults().Down {
			s.platform.SetFaults(jkstandin.PlatformFaults{LoseAnswers: 1})
		}
		r, err := create(ctx, key, value)
		s.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
		return r, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	edit := Edit{ID: "b", Team: "money", Section: SectionBudgets, Base: 1, Value: budgets(2)}
	_, err := h.editor.Apply(ctx, edit)
	var uncertain *UncertainError
	if !errors.As(err, &uncertain) || uncertain.Revision != 2 {
		t.Fatalf("want an uncertain revision 2, got %v", err)
	}
	s.platform.SetFaults(jkstandin.PlatformFaults{})
	client.Create = create
	if r := h.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 || s.countRecords(h, "b") != 1 {
		t.Fatalf("repetition: %+v, %d revisions", r, s.countRecords(h, "b"))
	}
}

// Guards against an edit that is written twice because its first write arrives late:
// while an editor finds nothing at the key of an uncertain write, it must not try
// another key.
func TestDelayedWriteIsNotDuplicated(t *testing.T) {
	s := newFixture(t)
	client := jkplatform.NewHTTPLimited(s.url, s.client, 100000, 100000)
	h := s.hostWith(client, false)
	h.mustEdit(t, "a", 0, budgets(1))
	create := client.Create
	var delayed func()
	client.Create = func(ctx context.Context, key string, value []byte) (jkplatform.Record, error) {
		if delayed == nil {
			delayed = func() { _, _ = create(t.Context(), key, value) }
			return jkplatform.Record{}, &jkplatform.UncertainError{Operation: "create", Key: key, Cause: context.DeadlineExceeded}
		}
		delayed()
		return create(ctx, key, value)
	}
	if r := h.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 || s.countRecords(h, "b") != 1 {
		t.Fatalf("result %+v, %d revisions", r, s.countRecords(h, "b"))
	}
}

// Guards against an edit that blocks or has an unknown outcome while the platform is
// down, although nothing can have been written.
func TestPlatformDown(t *testing.T) {
	s := newFixture(t)
	h := s.host(false)
	h.mustEdit(t, "a", 0, budgets(1))
	s.platform.SetFaults(jkstandin.PlatformFaults{Down: true})
	_, err := h.editor.Apply(t.Context(), Edit{ID: "b", Team: "money", Section: SectionBudgets, Base: 1, Value: budgets(2)})
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("want unavailable, got %v", err)
	}
	if h.follower.Revision() != 1 {
		t.Fatal("the configuration in force changed during the outage")
	}
	s.platform.SetFaults(jkstandin.PlatformFaults{DelayMS: 100})
	if r := h.mustEdit(t, "b", 1, budgets(2)); r.Revision != 2 {
		t.Fatalf("slow platform: %+v", r)
	}
}

// Guards against accepted edits by the wrong team, on an unknown base, with wrong fields
// or with the id of another edit, and against a revision for an edit without a change.
func TestRefusedEdits(t *testing.T) {
	s := newFixture(t)
	h := s.host(false)
	h.mustEdit(t, "a", 0, budgets(1))
	var owner *OwnerError
	_, err := h.editor.Apply(t.Context(), Edit{ID: "b", Team: "kitchen", Section: SectionBudgets, Base: 1, Value: budgets(2)})
	if !errors.As(err, &owner) || owner.Owner != "money" {
		t.Fatalf("want an owner error, got %v", err)
	}
	for _, edit := range []Edit{
		{ID: "c", Team: "money", Section: SectionBudgets, Base: 7, Value: budgets(2)},
		{ID: "", Team: "money", Section: SectionBudgets, Base: 1, Value: budgets(2)},
		{ID: "c", Team: "money", Section: "colours", Base: 1, Value: budgets(2)},
		{ID: "c", Team: "money", Section: SectionBudgets, Base: 1, Value: budgets(0)},
		{ID: "a", Team: "kitchen", Section: SectionMenus, Base: 1, Value: serviceRules("kitchen", "s", 1)},
	} {
		if _, err := h.editor.Apply(t.Context(), edit); err == nil {
			t.Errorf("accepted %+v", edit)
		}
	}
	if r := h.mustEdit(t, "d", 1, budgets(1)); r.Changed || r.Revision != 1 {
		t.Fatalf("an edit without a change wrote a revision: %+v", r)
	}
}

// Guards against an edit that waits forever for a platform that doesn't answer, or that
// reports its outcome as known.
func TestEditTimesOutIfPlatformHangs(t *testing.T) {
	s := newFixture(t)
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	client := jkplatform.NewHTTPLimited(s.url, s.client, 100000, 100000)
	client.Create = func(ctx context.Context, key string, _ []byte) (jkplatform.Record, error) {
		<-ctx.Done()
		return jkplatform.Record{}, &jkplatform.UncertainError{Operation: "create", Key: key, Cause: ctx.Err()}
	}
	h := s.hostAt(timer, client, false)
	decided := make(chan error, 1)
	go func() {
		_, err := h.editor.Apply(t.Context(), Edit{ID: "a", Team: "money", Section: SectionBudgets, Value: budgets(1)})
		decided <- err
	}()
	pause := jktimer.New()
	for {
		select {
		case err := <-decided:
			var uncertain *UncertainError
			if waited := timer.Now().Sub(time.Unix(1000, 0)); !errors.As(err, &uncertain) || waited < editTimeout {
				t.Fatalf("after %s: %v", waited, err)
			}
			return
		default:
			pause.Wait(time.Millisecond, t.Context().Done())
			clock.Advance(50 * time.Millisecond)
		}
	}
}

package jkprogram

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasmineknot.example/core/jktoken"
)

// fakeCopy stands for a history copy with its fence.
type fakeCopy struct {
	state State
	fence uint64
	owner jktoken.Incarnation
	held  bool
}

func (c *fakeCopy) append(r Record) CopyResult {
	if r.Epoch < c.fence || (r.Epoch == c.fence && c.held && r.Home != c.owner) {
		return CopyFenced
	}
	if !c.state.Apply(r) {
		return CopyUnreachable // answered as a gap; the home sends a snapshot
	}
	c.held, c.fence, c.owner = true, r.Epoch, r.Home
	return CopyRecorded
}

// site is a small world of three homes with two copies; each home may take over
// from the one before it once that one is declared ended: the actions of the random
// schedule work on it, and its ledger holds what really ran.
type site struct {
	t       *rapid.T
	now     time.Time
	homes   []*Core
	selfs   []jktoken.Incarnation
	cut     [][]bool // cut[home][copy]
	copies  []*fakeCopy
	ended   []bool // the homes that have an ended record
	started []map[string]bool
	ran     map[string]int
	told    map[string]Outcome
	cost    int64
	tokens  []jktoken.Claims
	first   map[string]jktoken.Claims
	costs   map[string]int64
	serial  int
}

const (
	modelBudget = 300
	modelID     = "p"
	modelHomes  = 3
)

func newSite(t *rapid.T) *site {
	s := &site{
		t: t, now: time.Unix(1, 0), ran: map[string]int{}, told: map[string]Outcome{}, first: map[string]jktoken.Claims{}, costs: map[string]int64{},
		copies: []*fakeCopy{{}, {}}, ended: make([]bool, modelHomes),
	}
	for i := range modelHomes {
		s.cut = append(s.cut, []bool{false, false})
		s.started = append(s.started, map[string]bool{})
		self := jktoken.Incarnation{Host: fmt.Sprint("h", i), Start: 1}
		s.selfs = append(s.selfs, self)
		s.homes = append(s.homes, New(Options{Self: self, MaxPrograms: 10, EndedRetention: time.Hour}))
	}
	r, err := s.homes[0].Create(s.now, Creation{Program: modelID, Meta: Meta{Budget: modelBudget}, Copies: []string{"c0", "c1"}})
	if err != nil {
		t.Fatal(err)
	}
	s.write(0, r)
	s.issue(0)
	return s
}

// write sends a record from a home to all copies.
func (s *site) write(home int, r Record) CopyResult {
	out := CopyRecorded
	for i, c := range s.copies {
		if s.cut[home][i] {
			out = CopyUnreachable
			continue
		}
		result := c.append(r)
		if result == CopyUnreachable {
			snapshot, ok := s.homes[home].Snapshot(modelID)
			if ok {
				snapshot.Snapshot.Granted = max(snapshot.Snapshot.Granted, r.Granted)
				if r.Intent != nil {
					snapshot.Snapshot.Intent = r.Intent
				}
				result = c.append(snapshot)
			}
		}
		if result == CopyFenced {
			return CopyFenced
		}
	}
	return out
}

// issue gives the program's present token to the caller.
func (s *site) issue(home int) {
	if c, err := s.homes[home].Claims(modelID); err == nil {
		s.tokens = append(s.tokens, c)
	}
}

// submit sends a new request, or a retry with the token of its first try.
func (s *site) submit(home int, id string, repeatable bool) {
	claims := s.first[id]
	a, err := s.homes[home].Submit(s.now, Submission{
		Program: modelID, Token: &claims, RequestID: id, Kind: KindService, Repeatable: repeatable, MaxCost: s.costs[id],
	})
	if err != nil {
		s.refused(id, repeatable, err)
		return
	}
	switch a.Action {
	case ActionReplay:
		s.tell(id, a.Turn.Outcome)
		s.tokens = append(s.tokens, a.Claims)
		return
	case ActionAttach:
		return
	case ActionStart:
	}
	if a.Record != nil {
		result := s.write(home, *a.Record)
		if err := s.homes[home].Recorded(modelID, result); err != nil {
			s.refused(id, repeatable, err)
			return
		}
	}
	s.run(home, id)
}

// run is the dispatch to the endpoint: from here on the request has run.
func (s *site) run(home int, id string) {
	s.ran[id]++
	s.cost += s.costs[id]
	s.started[home][id] = true
	if s.told[id] == OutcomeNotRun {
		s.t.Fatalf("request %s ran after its caller was told not_run", id)
	}
}

// refused is what the caller concludes from an error; the mapping is the one of
// the problem answers.
func (s *site) refused(id string, repeatable bool, err error) {
	var old *OldEpochError
	var behind *HistoryBehindError
	var unknown *UnknownProgramError
	var moved *SupersededError
	switch {
	case errors.As(err, &old), errors.As(err, &behind):
		s.tell(id, OutcomeUnknown)
	case errors.As(err, &unknown), errors.As(err, &moved):
		// The caller asks again elsewhere.
	case !repeatable:
		s.tell(id, OutcomeNotRun)
	}
}

func (s *site) tell(id string, o Outcome) {
	if o == OutcomeNotRun && s.ran[id] > 0 {
		s.t.Fatalf("caller of %s was told not_run although it ran", id)
	}
	if o != "" && (s.told[id] == "" || s.told[id] == OutcomeUnknown) {
		s.told[id] = o
	}
}

// finish completes the running call of a home, if it has one.
func (s *site) finish(home int, outcome Outcome) {
	for id := range s.started[home] {
		delete(s.started[home], id)
		r, claims, err := s.homes[home].Complete(s.now, modelID, Result{Outcome: outcome, Answer: []byte(id), Cost: s.costs[id]})
		if err != nil {
			return
		}
		if s.write(home, r) == CopyFenced {
			s.homes[home].Supersede(modelID)
			return
		}
		s.tell(id, outcome)
		s.tokens = append(s.tokens, claims)
	}
}

// takeOver lets a home adopt the program from the copies it reaches. Every home
// on the way to it may have raised the epoch once.
func (s *site) takeOver(home int) {
	if home == 0 || !s.ended[home-1] || s.homes[home].Len() > 0 {
		return
	}
	var best State
	var fence uint64
	for i, c := range s.copies {
		if s.cut[home][i] || !c.held {
			continue
		}
		c.fence, c.owner = max(c.fence+1, uint64(home)), s.selfs[home]
		fence = max(fence, c.fence)
		if best.Program == "" || c.state.Seq > best.Seq {
			best = c.state
			best.Turns = append([]Turn(nil), c.state.Turns...)
		}
	}
	if best.Program == "" {
		return
	}
	for i, c := range s.copies {
		if !s.cut[home][i] && c.held {
			c.fence = fence
		}
	}
	r, err := s.homes[home].Adopt(s.now, best, fence)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write(home, r)
	s.issue(home)
}

func (s *site) check() {
	if s.cost > modelBudget {
		s.t.Fatalf("%d tokens spent, budget %d", s.cost, modelBudget)
	}
	for _, h := range s.homes {
		state, ok := h.State(modelID)
		if !ok {
			continue
		}
		previous := startDigest(modelID)
		for i, turn := range state.Turns {
			if turn.Number != uint64(i+1) || turn.Digest != turnDigest(previous, &turn) {
				s.t.Fatalf("turn %d does not continue the history", i+1)
			}
			previous = turn.Digest
		}
	}
}

// Guards against a deposit that runs twice, a not_run that ran, a spend beyond
// the budget and a history out of order, under cuts between homes and copies,
// takeovers of homes that are still alive, lost answers and retries.
func TestHomesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite(rt)
		repeatable := map[string]bool{}
		var ids []string
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			home := rapid.IntRange(0, modelHomes-1).Draw(rt, "home")
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 0, 1:
				s.serial++
				id := fmt.Sprint("r", s.serial)
				repeatable[id] = rapid.Bool().Draw(rt, "repeatable")
				s.first[id] = s.tokens[rapid.IntRange(max(0, len(s.tokens)-3), len(s.tokens)-1).Draw(rt, "token")]
				// The smaller cost fits into one grant step, the larger one does not.
				s.costs[id] = rapid.SampledFrom([]int64{19, 60}).Draw(rt, "cost")
				ids = append(ids, id)
				s.submit(home, id, repeatable[id])
			case 2:
				if len(ids) > 0 {
					id := ids[rapid.IntRange(0, len(ids)-1).Draw(rt, "retry")]
					s.submit(home, id, repeatable[id])
				}
			case 3:
				s.finish(home, OutcomeCompleted)
			case 4:
				s.finish(home, OutcomeUnknown)
			case 5:
				copyOf := rapid.IntRange(0, 1).Draw(rt, "copy")
				s.cut[home][copyOf] = !s.cut[home][copyOf]
			case 6:
				if home > 0 {
					s.ended[home-1] = true
				}
				s.takeOver(home)
			case 7:
				s.issue(home)
			}
			s.check()
		}
		for id, n := range s.ran {
			if !repeatable[id] && n > 1 {
				rt.Fatalf("request %s ran %d times", id, n)
			}
		}
	})
}

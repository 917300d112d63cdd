package jkprogram

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasmineknot.example/core/jktoken"
)

// fakeCopy simulates a history copy with its fence.
type fakeCopy struct {
	state    State
	fence    uint64
	owner    jktoken.Incarnation
	hasState bool
}

func (c *fakeCopy) append(r Record) CopyResult {
	if r.Epoch < c.fence || (r.Epoch == c.fence && c.hasState && r.Home != c.owner) {
		return CopyFenced
	}
	if !c.state.Apply(r) {
		return CopyUnreachable // answered as a gap; the home sends a snapshot
	}
	c.hasState, c.fence, c.owner = true, r.Epoch, r.Home
	return CopyRecorded
}

// fixture simulates three homes with two copies. Each home may take over from the one
// before it once that one is declared ended. The random schedule acts on the fixture,
// which counts the calls that ran and what they cost.
type fixture struct {
	t          *rapid.T
	now        time.Time
	homes      []*Core
	selfs      []jktoken.Incarnation
	cut        [][]bool // cut[home][copy]
	copies     []*fakeCopy
	ended      []bool // the homes that have an ended record
	started    []map[string]bool
	ran        map[string]int
	reported   map[string]Outcome
	totalCost  int64
	tokens     []jktoken.Claims
	firstToken map[string]jktoken.Claims
	costs      map[string]int64
	lastID     int
}

const (
	modelBudget = 300
	modelID     = "p"
	modelHomes  = 3
)

func newFixture(t *rapid.T) *fixture {
	s := &fixture{
		t: t, now: time.Unix(1, 0), ran: map[string]int{}, reported: map[string]Outcome{}, firstToken: map[string]jktoken.Claims{}, costs: map[string]int64{},
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
	s.issueToken(0)
	return s
}

// write sends a record from a home to all copies.
func (s *fixture) write(home int, r Record) CopyResult {
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

// issueToken gives the caller the token of the program's present turn.
func (s *fixture) issueToken(home int) {
	if c, err := s.homes[home].Claims(modelID); err == nil {
		s.tokens = append(s.tokens, c)
	}
}

// submit sends a new request, or a retry with the token of its first attempt.
func (s *fixture) submit(home int, id string, repeatable bool) {
	claims := s.firstToken[id]
	a, err := s.homes[home].Submit(s.now, Submission{
		Program: modelID, Token: &claims, RequestID: id, Kind: KindService, Repeatable: repeatable, MaxCost: s.costs[id],
	})
	if err != nil {
		s.reportError(id, repeatable, err)
		return
	}
	switch a.Action {
	case ActionReplay:
		s.report(id, a.Turn.Outcome)
		s.tokens = append(s.tokens, a.Claims)
		return
	case ActionAttach:
		return
	case ActionStart:
	}
	if a.Record != nil {
		result := s.write(home, *a.Record)
		if err := s.homes[home].HandleWriteResult(modelID, result); err != nil {
			s.reportError(id, repeatable, err)
			return
		}
	}
	s.dispatch(home, id)
}

// dispatch sends the request to the endpoint and counts it as run from then on.
func (s *fixture) dispatch(home int, id string) {
	s.ran[id]++
	s.totalCost += s.costs[id]
	s.started[home][id] = true
	if s.reported[id] == OutcomeNotRun {
		s.t.Fatalf("request %s ran after its caller got not_run", id)
	}
}

// reportError reports the outcome that the caller concludes from an error. The
// mapping is that of package jkproblem.
func (s *fixture) reportError(id string, repeatable bool, err error) {
	var old *OldEpochError
	var behind *HistoryBehindError
	var unknown *UnknownProgramError
	var moved *SupersededError
	switch {
	case errors.As(err, &old), errors.As(err, &behind):
		s.report(id, OutcomeUnknown)
	case errors.As(err, &unknown), errors.As(err, &moved):
		// The caller retries at another host.
	case !repeatable:
		s.report(id, OutcomeNotRun)
	}
}

func (s *fixture) report(id string, o Outcome) {
	if o == OutcomeNotRun && s.ran[id] > 0 {
		s.t.Fatalf("caller of %s got not_run although it ran", id)
	}
	if o != "" && (s.reported[id] == "" || s.reported[id] == OutcomeUnknown) {
		s.reported[id] = o
	}
}

// finish completes the running call of a home, if it has one.
func (s *fixture) finish(home int, outcome Outcome) {
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
		s.report(id, outcome)
		s.tokens = append(s.tokens, claims)
	}
}

// takeOver lets a home adopt the program from the copies it reaches. Each of
// the homes before it may have raised the epoch once.
func (s *fixture) takeOver(home int) {
	if home == 0 || !s.ended[home-1] || s.homes[home].Len() > 0 {
		return
	}
	var best State
	var fence uint64
	for i, c := range s.copies {
		if s.cut[home][i] || !c.hasState {
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
		if !s.cut[home][i] && c.hasState {
			c.fence = fence
		}
	}
	r, err := s.homes[home].Adopt(s.now, best, fence)
	if err != nil {
		s.t.Fatal(err)
	}
	s.write(home, r)
	s.issueToken(home)
}

func (s *fixture) check() {
	if s.totalCost > modelBudget {
		s.t.Fatalf("%d tokens spent, budget %d", s.totalCost, modelBudget)
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

// Guards against a deposit that runs twice, a request that ran although its caller
// got not_run, spending beyond the budget and a history out of order. The schedule
// has partitions between homes and copies, takeovers of homes that still run, lost
// answers and retries.
func TestHomesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newFixture(rt)
		repeatable := map[string]bool{}
		var ids []string
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			home := rapid.IntRange(0, modelHomes-1).Draw(rt, "home")
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 0, 1:
				s.lastID++
				id := fmt.Sprint("r", s.lastID)
				repeatable[id] = rapid.Bool().Draw(rt, "repeatable")
				s.firstToken[id] = s.tokens[rapid.IntRange(max(0, len(s.tokens)-3), len(s.tokens)-1).Draw(rt, "token")]
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
				s.issueToken(home)
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

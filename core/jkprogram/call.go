package jkprogram

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktoken"
)

// Submission is one request of a caller for a program.
type Submission struct {
	Program string
	// Token is nil for a chat client without token support; Messages then
	// place the request in the history.
	Token      *jktoken.Claims
	RequestID  string
	Kind       Kind
	Repeatable bool
	// Claimed tells that the caller's own key was claimed for this program, so
	// that a non-repeatable call needs no token at the program's first home.
	Claimed bool
	// MaxCost bounds the call's cost in tokens, prompt included.
	MaxCost int64
	// Messages holds one digest for each chat message of the request, the
	// resent history included. Service calls have none.
	Messages []string
}

// Action tells what to do with an admitted submission.
type Action string

// Actions.
const (
	// ActionStart begins a new call.
	ActionStart Action = "start"
	// ActionAttach joins the call that already runs for this request.
	ActionAttach Action = "attach"
	// ActionReplay answers with the recorded turn.
	ActionReplay Action = "replay"
)

// Admission is the decision on a submission.
type Admission struct {
	Action Action
	// Record must be stored at all copies before dispatch; see Recorded. Nil
	// if nothing has to be stored first.
	Record *Record
	// Turn is the recorded answer of a replay.
	Turn *Turn
	// NewMessages is the number of messages, counted from the end, that the
	// request adds to the history.
	NewMessages int
	// Claims of the token after the replayed turn.
	Claims jktoken.Claims
}

// Submit decides on a request. On ActionStart the program's token is in use by
// this request until Complete, Refuse or Abort.
func (c *Core) Submit(now time.Time, s Submission) (Admission, error) {
	p := c.programs[s.Program]
	if p == nil {
		return Admission{}, eris.Wrap(&UnknownProgramError{Program: s.Program}, "submit")
	}
	if p.superseded {
		return Admission{}, eris.Wrap(&SupersededError{Program: s.Program}, "submit")
	}
	if number, ok := p.requests[s.RequestID]; ok {
		return p.replay(number, c.options.Self), nil
	}
	// This check comes first: a refusal as not_run is true only at the home
	// that issued the token.
	if !s.Repeatable && !p.issued(s, c.options.Self) {
		old := &OldEpochError{Program: s.Program, RequestID: s.RequestID, Current: p.state.Epoch}
		if s.Token != nil {
			old.Epoch = s.Token.Epoch
		}
		return Admission{}, eris.Wrap(old, "submit")
	}
	if err := p.open(); err != nil {
		return Admission{}, err
	}
	added, err := p.position(s)
	if err != nil {
		return Admission{}, err
	}
	if p.running != nil {
		return p.attach(s)
	}
	if p.closed[s.RequestID] || p.closedAll {
		return Admission{}, eris.Wrap(&ClosedError{Program: s.Program, RequestID: s.RequestID}, "submit")
	}
	if limit := p.state.Meta.Limits.MaxTurns; limit > 0 && p.state.Turn() >= limit {
		return Admission{}, eris.Wrap(&EndedError{Program: s.Program, Reason: EndMaxTurns}, "submit")
	}
	return p.start(now, s, added)
}

// replay returns the answer recorded for a turn and the claims of the token
// that was handed out with it.
func (p *program) replay(number uint64, self jktoken.Incarnation) Admission {
	t := p.state.Turns[number-1]
	claims := p.claims(self)
	claims.Turn = number
	claims.Digest = t.Digest
	return Admission{Action: ActionReplay, Turn: &t, Claims: claims}
}

func (p *program) attach(s Submission) (Admission, error) {
	if p.running.requestID == s.RequestID {
		return Admission{Action: ActionAttach}, nil
	}
	// The running call may yet be refused and free the token; a request that
	// was told not_run must stay out even then.
	if !s.Repeatable {
		p.close(s.RequestID)
	}
	return Admission{}, eris.Wrap(p.stale(p.state.Turn()), "submit")
}

// position checks that the request stands at the present end of the history
// and returns the number of messages that it adds.
func (p *program) position(s Submission) (int, error) {
	if s.Token != nil {
		if err := p.checkToken(s); err != nil {
			return 0, err
		}
	}
	if s.Kind != KindModel {
		return 0, nil
	}
	added := len(s.Messages) - len(p.messages)
	if added < 1 {
		return 0, eris.Wrap(&HistoryMismatchError{Program: s.Program, Turn: p.state.Turn()}, "submit")
	}
	for i, m := range p.messages {
		if s.Messages[i] != m {
			return 0, eris.Wrap(&HistoryMismatchError{Program: s.Program, Turn: p.state.Turn()}, "submit")
		}
	}
	return added, nil
}

func (p *program) checkToken(s Submission) error {
	t := s.Token
	held := p.state.Turn()
	switch {
	case t.Epoch < p.state.Epoch && t.Turn > p.state.Base && !p.untouched && !p.isPrior(t):
		return eris.Wrap(&ForkError{Program: s.Program, Turn: t.Turn, Base: p.state.Base}, "submit")
	case t.Turn > held:
		return eris.Wrap(&HistoryBehindError{Program: s.Program, Turn: t.Turn, Held: held}, "submit")
	case t.Turn < held:
		return eris.Wrap(p.stale(t.Turn), "submit")
	case t.Digest != p.state.Digest():
		return eris.Wrap(&HistoryMismatchError{Program: s.Program, Turn: t.Turn}, "submit")
	}
	return nil
}

// issued reports whether this home may dispatch a non-repeatable request: its
// token comes from this home in the present epoch or from a home that handed
// over by plan, or its key was claimed for a program that never moved.
func (p *program) issued(s Submission, self jktoken.Incarnation) bool {
	if s.Token == nil {
		return s.Claimed && p.state.Home == self && p.state.Epoch == 0
	}
	if s.Token.Home == self && s.Token.Epoch == p.state.Epoch {
		return true
	}
	return p.isPrior(s.Token)
}

// isPrior reports whether a token comes from a home that handed over by plan.
func (p *program) isPrior(t *jktoken.Claims) bool {
	return slices.Contains(p.state.Prior, Origin{Home: t.Home, Epoch: t.Epoch})
}

func (p *program) stale(turn uint64) error {
	return &StaleTokenError{Program: p.state.Program, Turn: turn, Current: p.state.Turn()}
}

func (p *program) start(now time.Time, s Submission, added int) (Admission, error) {
	need := p.committed() + s.MaxCost
	if need > p.state.Meta.Budget {
		if !s.Repeatable {
			p.close(s.RequestID)
		}
		return Admission{}, eris.Wrap(p.budgetError(s.MaxCost, false), "submit")
	}
	p.running = &call{
		requestID:  s.RequestID,
		kind:       s.Kind,
		repeatable: s.Repeatable,
		maxCost:    s.MaxCost,
		granted:    p.state.Granted,
	}
	p.lastActive = now
	p.untouched = false
	a := Admission{Action: ActionStart, NewMessages: added}
	if need > p.state.Granted {
		p.running.granted = min(p.state.Meta.Budget, max(need, p.state.Granted+step(p.state.Meta.Budget)))
	}
	if s.Repeatable && p.running.granted == p.state.Granted {
		return a, nil
	}
	a.Record = p.prepare()
	return a, nil
}

// prepare returns the record that goes to the copies before dispatch: an
// intent for a call that may not be repeated, else a larger grant.
func (p *program) prepare() *Record {
	kind := RecordGrant
	if !p.running.repeatable {
		kind = RecordIntent
	}
	r := p.record(kind)
	r.Granted = p.running.granted
	if kind == RecordIntent {
		r.Intent = &Intent{RequestID: p.running.requestID, Turn: p.state.Turn() + 1}
		p.state.Intent = r.Intent
	}
	return &r
}

// CopyResult tells how the copies took a record.
type CopyResult string

// Results of a write to all copies.
const (
	// CopyRecorded means that every copy has the record.
	CopyRecorded CopyResult = "recorded"
	// CopyUnreachable means that at least one copy did not answer.
	CopyUnreachable CopyResult = "unreachable"
	// CopyFenced means that another home has taken the program over.
	CopyFenced CopyResult = "fenced"
)

// Recorded continues a started call after its record went to the copies. A nil
// error means that the call may be dispatched. On an error the request did not
// run and never will under its id.
func (c *Core) Recorded(id string, result CopyResult) error {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return eris.Wrap(&UnknownProgramError{Program: id}, "recorded")
	}
	switch result {
	case CopyFenced:
		c.Supersede(id)
		return eris.Wrap(&SupersededError{Program: id}, "recorded")
	case CopyRecorded:
		p.state.Granted = max(p.state.Granted, p.running.granted)
		return nil
	case CopyUnreachable:
	}
	// The copies hold the old grant, so only what it covers may be spent.
	if p.committed() <= p.state.Granted {
		return nil
	}
	needed := p.running.maxCost
	p.refuse()
	return eris.Wrap(p.budgetError(needed, true), "recorded")
}

// Refuse gives up a started call that was certainly not dispatched. The token
// becomes free again. The id of a non-repeatable request is closed for good. If
// the call was announced at the copies, the record takes that back; without it a
// successor would have to call the outcome unknown.
func (c *Core) Refuse(id string) *Record {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return nil
	}
	announced := p.state.Intent != nil
	p.refuse()
	if !announced {
		return nil
	}
	r := p.record(RecordClosed)
	return &r
}

func (p *program) refuse() {
	p.state.Spent += p.running.charged
	if !p.running.repeatable {
		p.close(p.running.requestID)
	}
	p.state.Intent = nil
	p.running = nil
}

// close closes a request id before any dispatch, so that not_run stays true.
func (p *program) close(requestID string) {
	if len(p.closed) >= closedLimit {
		p.closedAll = true
		return
	}
	p.closed[requestID] = true
}

// Retry charges a lost attempt in full and reserves another one. It returns a
// record to store first when the grant has to grow; see Extended.
func (c *Core) Retry(id string) (*Record, error) {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return nil, eris.Wrap(&UnknownProgramError{Program: id}, "retry")
	}
	need := p.committed() + p.running.maxCost
	if need > p.state.Meta.Budget {
		return nil, eris.Wrap(p.budgetError(p.running.maxCost, false), "retry")
	}
	p.running.charged += p.running.maxCost
	if need <= p.state.Granted {
		return nil, nil
	}
	p.running.granted = min(p.state.Meta.Budget, max(need, p.state.Granted+step(p.state.Meta.Budget)))
	r := p.record(RecordGrant)
	r.Granted = p.running.granted
	return &r, nil
}

// Extended continues a running call after the record of Retry went to the copies.
// On an error no further attempt may begin; those under way go on and keep the
// token.
func (c *Core) Extended(id string, result CopyResult) error {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return eris.Wrap(&UnknownProgramError{Program: id}, "extended")
	}
	switch result {
	case CopyFenced:
		c.Supersede(id)
		return eris.Wrap(&SupersededError{Program: id}, "extended")
	case CopyRecorded:
		p.state.Granted = max(p.state.Granted, p.running.granted)
		return nil
	case CopyUnreachable:
	}
	if p.committed() <= p.state.Granted {
		return nil
	}
	p.running.charged -= p.running.maxCost
	return eris.Wrap(p.budgetError(p.running.maxCost, true), "extended")
}

// Abort ends a repeatable call that failed. What its attempts may have cost is
// charged; the token stays valid for another try.
func (c *Core) Abort(id string) {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return
	}
	p.state.Spent += p.running.charged + p.running.maxCost
	p.running = nil
}

// Result is what became of a dispatched call.
type Result struct {
	Outcome  Outcome
	Endpoint string
	Status   int
	Input    []byte
	Answer   []byte
	// Messages holds the digests of the messages that the turn adds.
	Messages []string
	// Cost in tokens; negative means unknown and is charged in full.
	Cost int64
}

// Complete finishes the running call as a turn. The record goes to the copies;
// the claims belong to the next token.
func (c *Core) Complete(now time.Time, id string, r Result) (Record, jktoken.Claims, error) {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return Record{}, jktoken.Claims{}, eris.Wrap(&UnknownProgramError{Program: id}, "complete")
	}
	cost := r.Cost
	if cost < 0 {
		cost = p.running.maxCost
	}
	t := Turn{
		Number:    p.state.Turn() + 1,
		RequestID: p.running.requestID,
		Kind:      p.running.kind,
		Outcome:   r.Outcome,
		Endpoint:  r.Endpoint,
		Status:    r.Status,
		Input:     r.Input,
		Answer:    r.Answer,
		Messages:  r.Messages,
		Cost:      cost + p.running.charged,
	}
	record := p.finish(now, t)
	return record, p.claims(c.options.Self), nil
}

// finish appends a turn and frees the program for its next call.
func (p *program) finish(now time.Time, t Turn) Record {
	t.Digest = turnDigest(p.state.Digest(), &t)
	p.state.Turns = append(p.state.Turns, t)
	p.state.Spent += t.Cost
	p.state.Intent = nil
	p.index(t)
	p.running = nil
	p.closed = map[string]bool{}
	p.closedAll = false
	p.lastActive = now
	r := p.record(RecordTurn)
	r.Turn = &t
	return r
}

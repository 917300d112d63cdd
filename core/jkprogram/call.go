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
	// determine its position in the history.
	Token      *jktoken.Claims
	RequestID  string
	Kind       Kind
	Repeatable bool
	// Claimed is true if the caller's idempotency key was claimed for this program,
	// so that a non-repeatable call needs no token at the program's first home.
	Claimed bool
	// MaxCost bounds the call's cost in tokens, prompt included.
	MaxCost int64
	// Messages holds one digest for each chat message of the request, the
	// resent history included. Service calls have none.
	Messages []string
}

// Action says how an admitted submission is served.
type Action string

// Actions.
const (
	// ActionStart begins a new call.
	ActionStart Action = "start"
	// ActionAttach waits for the running call of the same request.
	ActionAttach Action = "attach"
	// ActionReplay answers with the recorded turn.
	ActionReplay Action = "replay"
)

// Admission is the decision on a submission.
type Admission struct {
	Action Action
	// Record must be stored at all copies before dispatch; see HandleWriteResult. Nil
	// if nothing has to be stored first.
	Record *Record
	// Turn is the recorded answer of a replay.
	Turn *Turn
	// NewMessages is the number of messages, counted from the end, that the
	// request adds to the history.
	NewMessages int
	// Claims is the content of the token that follows the replayed turn.
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
	// This check precedes those that refuse with not_run: only the home that
	// issued the token can know that the request did not run.
	if !s.Repeatable && !p.mayDispatchNonRepeatable(s, c.options.Self) {
		old := &OldEpochError{Program: s.Program, RequestID: s.RequestID, Current: p.state.Epoch}
		if s.Token != nil {
			old.Epoch = s.Token.Epoch
		}
		return Admission{}, eris.Wrap(old, "submit")
	}
	if err := p.checkAcceptsCalls(); err != nil {
		return Admission{}, err
	}
	added, err := p.checkHistory(s)
	if err != nil {
		return Admission{}, err
	}
	if p.running != nil {
		return p.attach(s)
	}
	if p.closedRequests[s.RequestID] || p.allClosed {
		return Admission{}, eris.Wrap(&ClosedError{Program: s.Program, RequestID: s.RequestID}, "submit")
	}
	if limit := p.state.Meta.Limits.MaxTurns; limit > 0 && p.state.Turn() >= limit {
		return Admission{}, eris.Wrap(&EndedError{Program: s.Program, Reason: EndMaxTurns}, "submit")
	}
	return p.startCall(now, s, added)
}

// replay returns the answer recorded for a turn and the claims of the token
// that was issued with it.
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
	// The running call may still be refused, which frees the token. A request whose
	// caller got not_run must not run even then.
	if !s.Repeatable {
		p.closeRequest(s.RequestID)
	}
	return Admission{}, eris.Wrap(p.staleTokenError(p.state.Turn()), "submit")
}

// checkHistory checks that the request continues the history from its last turn and
// returns the number of messages that it adds.
func (p *program) checkHistory(s Submission) (int, error) {
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
	case t.Epoch < p.state.Epoch && t.Turn > p.state.Base && !p.unusedSinceAdoption && !p.isFromPlannedHandover(t):
		return eris.Wrap(&ForkError{Program: s.Program, Turn: t.Turn, Base: p.state.Base}, "submit")
	case t.Turn > held:
		return eris.Wrap(&HistoryBehindError{Program: s.Program, Turn: t.Turn, Held: held}, "submit")
	case t.Turn < held:
		return eris.Wrap(p.staleTokenError(t.Turn), "submit")
	case t.Digest != p.state.Digest():
		return eris.Wrap(&HistoryMismatchError{Program: s.Program, Turn: t.Turn}, "submit")
	}
	return nil
}

// mayDispatchNonRepeatable reports whether this home may dispatch a non-repeatable
// request: its token comes from this home in the present epoch or from a home that
// handed over as planned, or its key was claimed for a program that never moved.
func (p *program) mayDispatchNonRepeatable(s Submission, self jktoken.Incarnation) bool {
	if s.Token == nil {
		return s.Claimed && p.state.Home == self && p.state.Epoch == 0
	}
	if s.Token.Home == self && s.Token.Epoch == p.state.Epoch {
		return true
	}
	return p.isFromPlannedHandover(s.Token)
}

// isFromPlannedHandover reports whether a token comes from a home that handed the
// program over in a planned handover.
func (p *program) isFromPlannedHandover(t *jktoken.Claims) bool {
	return slices.Contains(p.state.Prior, Origin{Home: t.Home, Epoch: t.Epoch})
}

// staleTokenError returns the error for a token of an earlier turn, or of the present
// turn while another request uses it.
func (p *program) staleTokenError(turn uint64) error {
	return &StaleTokenError{Program: p.state.Program, Turn: turn, Current: p.state.Turn()}
}

func (p *program) startCall(now time.Time, s Submission, added int) (Admission, error) {
	need := p.committed() + s.MaxCost
	if need > p.state.Meta.Budget {
		if !s.Repeatable {
			p.closeRequest(s.RequestID)
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
	p.unusedSinceAdoption = false
	a := Admission{Action: ActionStart, NewMessages: added}
	if need > p.state.Granted {
		p.running.granted = min(p.state.Meta.Budget, max(need, p.state.Granted+grantStep(p.state.Meta.Budget)))
	}
	if s.Repeatable && p.running.granted == p.state.Granted {
		return a, nil
	}
	a.Record = p.dispatchRecord()
	return a, nil
}

// dispatchRecord returns the record that must reach the copies before dispatch: an
// intent for a non-repeatable call, otherwise a larger grant.
func (p *program) dispatchRecord() *Record {
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

// CopyResult is the result of writing a record to all copies.
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

// HandleWriteResult continues a started call after its record was sent to the copies.
// A nil error means that the call may be dispatched. On an error the request did not
// run, and this home won't run it later under the same id unless it is repeatable.
func (c *Core) HandleWriteResult(id string, result CopyResult) error {
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
	p.refuseRunning()
	return eris.Wrap(p.budgetError(needed, true), "recorded")
}

// Refuse drops a started call that was not dispatched and frees the token. The id
// of a non-repeatable request is closed permanently. If the copies may hold an
// intent for the call, the returned record cancels it; without that record a
// successor would have to report the outcome as unknown.
func (c *Core) Refuse(id string) *Record {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return nil
	}
	hasIntent := p.state.Intent != nil
	p.refuseRunning()
	if !hasIntent {
		return nil
	}
	r := p.record(RecordClosed)
	return &r
}

func (p *program) refuseRunning() {
	p.state.Spent += p.running.charged
	if !p.running.repeatable {
		p.closeRequest(p.running.requestID)
	}
	p.state.Intent = nil
	p.running = nil
}

// closeRequest closes the id of a request that was not dispatched, so that it can't
// run after its caller got not_run.
func (p *program) closeRequest(requestID string) {
	if len(p.closedRequests) >= maxClosedRequests {
		p.allClosed = true
		return
	}
	p.closedRequests[requestID] = true
}

// Retry charges a lost attempt in full and reserves another one. It returns a
// record to store first when the grant has to grow; see
// HandleRetryWriteResult.
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
	p.running.granted = min(p.state.Meta.Budget, max(need, p.state.Granted+grantStep(p.state.Meta.Budget)))
	r := p.record(RecordGrant)
	r.Granted = p.running.granted
	return &r, nil
}

// HandleRetryWriteResult continues a running call after the record of Retry was sent to
// the copies. On an error no further attempt may begin; attempts in flight continue
// and keep the token.
func (c *Core) HandleRetryWriteResult(id string, result CopyResult) error {
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

// Abort ends a repeatable call that failed. The maximum cost of its attempts is
// charged; the token stays valid for a retry.
func (c *Core) Abort(id string) {
	p := c.programs[id]
	if p == nil || p.running == nil {
		return
	}
	p.state.Spent += p.running.charged + p.running.maxCost
	p.running = nil
}

// Result is the result of a dispatched call.
type Result struct {
	Outcome  Outcome
	Endpoint string
	Status   int
	Input    []byte
	Answer   []byte
	// Messages holds the digests of the messages that the turn adds.
	Messages []string
	// Cost is in tokens. A negative cost is unknown and charged in full.
	Cost int64
}

// Complete finishes the running call as a turn. It returns the record for the
// copies and the content of the next token.
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
	record := p.appendTurn(now, t)
	return record, p.claims(c.options.Self), nil
}

// appendTurn appends a turn and frees the program for its next call.
func (p *program) appendTurn(now time.Time, t Turn) Record {
	t.Digest = turnDigest(p.state.Digest(), &t)
	p.state.Turns = append(p.state.Turns, t)
	p.state.Spent += t.Cost
	p.state.Intent = nil
	p.indexTurn(t)
	p.running = nil
	p.closedRequests = map[string]bool{}
	p.allClosed = false
	p.lastActive = now
	r := p.record(RecordTurn)
	r.Turn = &t
	return r
}

// Package jkreference is a reference implementation of the home of one program: a map
// in a single process, without failures, replication or concurrency. Differential
// tests use it as the oracle for the real core; nothing else uses it.
package jkreference

import "github.com/rotisserie/eris"

// Outcome is the result of a request.
type Outcome string

// The outcomes of Submit. Completed and Failed are also passed to Complete.
const (
	// Started means that the request was accepted and starts to run.
	Started Outcome = "started"
	// Running means that the request is running already; the attempts share its result.
	Running Outcome = "running"
	// Completed means that the request has completed; its recorded answer is returned.
	Completed Outcome = "completed"
	// Failed means that the request ran and gave no answer.
	Failed Outcome = "failed"
	// NotRun means that the request was refused: it never ran and never will.
	NotRun Outcome = "not_run"
	// StaleToken means that another request has used the token.
	StaleToken Outcome = "stale_token"
	// InvalidToken means that the program hasn't reached the turn of the token.
	InvalidToken Outcome = "invalid_token"
)

// requestKey identifies a request: the turn of its token and its request id.
type requestKey struct {
	turn uint64
	id   string
}

// recordedReply is the recorded outcome of a request and its answer, if there is one.
type recordedReply struct {
	outcome Outcome
	answer  string
}

// Home runs the calls of one program, one at a time, in the order of its token chain.
type Home struct {
	budget  int64
	turn    uint64
	running *requestKey
	// reserved is the maximum cost of the running call.
	reserved int64
	replies  map[requestKey]recordedReply
}

// New returns a home at turn 0 with a budget in the unit of the costs.
func New(budget int64) *Home {
	return &Home{budget: budget, replies: map[requestKey]recordedReply{}}
}

// Submit submits a request with the token of a turn, a request id and the maximum cost
// of the request. It returns the outcome and the recorded answer, if there is one.
// A refusal is recorded as well, so that a late attempt of a refused request never
// runs. An invalid token is not recorded: the same request may still run once the
// program has reached the turn.
func (h *Home) Submit(turn uint64, id string, cost int64) (Outcome, string) {
	k := requestKey{turn: turn, id: id}
	if r, ok := h.replies[k]; ok {
		return r.outcome, r.answer
	}
	switch {
	case turn > h.turn:
		return InvalidToken, ""
	case turn < h.turn || h.running != nil:
		h.replies[k] = recordedReply{outcome: StaleToken}
		return StaleToken, ""
	case cost < 0 || cost > h.budget:
		h.replies[k] = recordedReply{outcome: NotRun}
		return NotRun, ""
	}
	h.running, h.reserved = &k, cost
	h.replies[k] = recordedReply{outcome: Running}
	return Started, ""
}

// Complete ends the running call as Completed or Failed at the given cost, which must
// not exceed the cost it was submitted with. Only a completed call consumes its token;
// after a failed one another request id can use the same token. An error leaves the
// state unchanged.
func (h *Home) Complete(outcome Outcome, answer string, cost int64) error {
	switch {
	case h.running == nil:
		return eris.Errorf("complete: no call is running")
	case outcome != Completed && outcome != Failed:
		return eris.Errorf("complete: outcome %q, allowed are %q and %q", outcome, Completed, Failed)
	case cost < 0 || cost > h.reserved:
		return eris.Errorf("complete: cost %d, allowed is 0 to %d", cost, h.reserved)
	}
	h.budget -= cost
	h.replies[*h.running] = recordedReply{outcome: outcome, answer: answer}
	h.running, h.reserved = nil, 0
	if outcome == Completed {
		h.turn++
	}
	return nil
}

// Turn returns the number of completed calls.
func (h *Home) Turn() uint64 { return h.turn }

// Remaining returns the remaining budget.
func (h *Home) Remaining() int64 { return h.budget }

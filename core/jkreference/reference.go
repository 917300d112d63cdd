// Package jkreference is a naive home of one program: one process, one map, no
// failures. Differential tests compare the real core with it.
package jkreference

import "github.com/rotisserie/eris"

// Outcome is the home's reply to a request.
type Outcome string

// The outcomes of Submit. Completed and Failed are also passed to Complete.
const (
	// Started means that the request runs from now on.
	Started Outcome = "started"
	// Running means that the request runs already; its result is shared.
	Running Outcome = "running"
	// Completed means that the recorded answer is returned.
	Completed Outcome = "completed"
	// Failed means that the request ran without an answer.
	Failed Outcome = "failed"
	// NotRun means that the request never ran and never will.
	NotRun Outcome = "not_run"
	// StaleToken means that another request has used the token.
	StaleToken Outcome = "stale_token"
	// InvalidToken means that the program has not reached the token's turn.
	InvalidToken Outcome = "invalid_token"
)

// key identifies a request: the turn of its token and its request id.
type key struct {
	turn uint64
	id   string
}

// reply is the recorded reply to a key.
type reply struct {
	outcome Outcome
	answer  string
}

// Home runs the calls of one program along its token chain.
type Home struct {
	budget  int64
	turn    uint64
	running *key
	// reserved is the highest cost that the running call may have.
	reserved int64
	replies  map[key]reply
}

// New returns a home at turn 0 that may spend budget, in the unit of costs.
func New(budget int64) *Home {
	return &Home{budget: budget, replies: map[key]reply{}}
}

// Submit presents the token of a turn with a request id and the highest cost of
// the request. It returns the outcome and the recorded answer, if there is one.
// A refusal is recorded as well, so that a late attempt of a refused request
// never runs. An invalid token is not recorded, because it promises nothing.
func (h *Home) Submit(turn uint64, id string, cost int64) (Outcome, string) {
	k := key{turn: turn, id: id}
	if r, ok := h.replies[k]; ok {
		return r.outcome, r.answer
	}
	switch {
	case turn > h.turn:
		return InvalidToken, ""
	case turn < h.turn || h.running != nil:
		h.replies[k] = reply{outcome: StaleToken}
		return StaleToken, ""
	case cost < 0 || cost > h.budget:
		h.replies[k] = reply{outcome: NotRun}
		return NotRun, ""
	}
	h.running, h.reserved = &k, cost
	h.replies[k] = reply{outcome: Running}
	return Started, ""
}

// Complete ends the running call as Completed or Failed at the given cost, which
// is at most the cost it was submitted with. Only a completed call uses its
// token; after a failed one the same token takes another request id. An error
// leaves the state unchanged.
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
	h.replies[*h.running] = reply{outcome: outcome, answer: answer}
	h.running, h.reserved = nil, 0
	if outcome == Completed {
		h.turn++
	}
	return nil
}

// Turn returns the number of completed calls.
func (h *Home) Turn() uint64 { return h.turn }

// Remaining returns what the program may still spend.
func (h *Home) Remaining() int64 { return h.budget }

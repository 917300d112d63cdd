package jkforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reservation sets aside tokens of a program's budget for one turn.
type Reservation struct {
	Program string
	// Request names the reservation: the request, or the result of AtVersion.
	Request string
	Tokens  int64
	Budget  int64
	// Retention is how long the program's record is stored after its last turn.
	Retention time.Duration
}

// Settlement ends a reservation with the number of tokens sent to the caller.
type Settlement struct {
	Program string
	// Request names the reservation.
	Request   string
	Tokens    int64
	Retention time.Duration
}

// Turn is one turn of a chain, stored until Retention has passed.
type Turn struct {
	Request  string
	Previous string
	// Reservation names the reservation that the turn settles.
	Reservation string
	Program     string
	Input       []byte
	Output      []byte
	Tokens      int64
	Retention   time.Duration
	// ChainPrograms are the programs that the turns before it were answered for.
	ChainPrograms []string
}

// Chain is what precedes a turn.
type Chain struct {
	// Content is the inputs and outputs, the oldest turn first.
	Content []byte
	// Programs are those that the turns were answered for.
	Programs []string
}

// Account stores the budgets and turns of programs, shared by all hosts.
type Account struct {
	// Reserve fails with a *BudgetSpentError or a *NoQuorumError.
	Reserve func(ctx context.Context, r Reservation) error
	// Continue is Reserve for a stream that another request of the program began, and returns the
	// version in the name of that one's reservation. It fails with an *UnknownStreamError, with the
	// tokens reserved, if no copy knows it.
	Continue func(ctx context.Context, r Reservation, origin string) (version string, err error)
	// Settle returns without waiting for the copies.
	Settle func(s Settlement)
	// Release is Settle for a request that hasn't run, and waits for the copies: its caller is told so, which has to hold
	// even if all hosts fail right after. It waits until the context ends at most.
	Release func(ctx context.Context, s Settlement)
	// Chain returns the turns up to and including the given request, which usually belongs to
	// the program. It fails with an *UnknownTurnError or a *NoQuorumError.
	Chain func(ctx context.Context, program, request string) (Chain, error)
	// CanKeep fails with a *NoQuorumError if Keep would wait for copies that are out of reach.
	CanKeep func(ctx context.Context, program string) error
	// Keep returns once the turn is on enough copies to survive the tolerated
	// number of failures, and retries until the context ends. It also settles the
	// turn's reservation, and renews the retention of its chain.
	Keep func(ctx context.Context, t Turn) error
}

// BudgetSpentError is returned if the rest of a budget is too small for one more turn.
type BudgetSpentError struct {
	Program string
	Spent   int64
	Budget  int64
}

func (e *BudgetSpentError) Error() string {
	return fmt.Sprintf("program %q has spent %d of %d tokens", e.Program, e.Spent, e.Budget)
}

// UnknownTurnError is returned for a turn that doesn't exist.
type UnknownTurnError struct{ Request string }

func (e *UnknownTurnError) Error() string { return fmt.Sprintf("turn %q does not exist", e.Request) }

// NoQuorumError is returned if too few copies answered.
type NoQuorumError struct {
	Operation string
	Answers   int
	Needed    int
	// RetryAfter is the time after which the operation may succeed, or zero if that isn't known.
	RetryAfter time.Duration
}

func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("%s: %d of %d needed copies answered", e.Operation, e.Answers, e.Needed)
}

// refusalForError maps an error of the account to a refusal. Each refusal states that
// the request didn't run.
func refusalForError(err error) *refusal {
	var spent *BudgetSpentError
	var unknown *UnknownTurnError
	var noQuorum *NoQuorumError
	switch {
	case errors.As(err, &spent):
		return &refusal{status: 402, reason: "budget_spent"}
	case errors.As(err, &unknown):
		return &refusal{status: 404, reason: "unknown_turn"}
	}
	retryAfter := quorumRetryAfter
	if errors.As(err, &noQuorum) {
		retryAfter = max(retryAfter, noQuorum.RetryAfter)
	}
	return &refusal{status: 503, reason: "account_uncertain", retryAfter: retryAfter}
}

// rotationRetryAfter is the Retry-After of a turn that this host's zone can't keep: by then callers
// are sent to other zones.
const rotationRetryAfter = time.Second

// accountRefusal maps an error of the account to a refusal.
func (h *Handler) accountRefusal(err error) *refusal {
	refused := refusalForError(err)
	if refused.status == http.StatusServiceUnavailable && h.OutOfRotation != nil && h.OutOfRotation() {
		refused.retryAfter = max(refused.retryAfter, rotationRetryAfter)
	}
	return refused
}

// quorumRetryAfter is the Retry-After of a request for which too few copies
// answered: about the time in which a host finds another path to them.
const quorumRetryAfter = 250 * time.Millisecond

package jkforward

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Reservation holds tokens of a program's budget for one turn.
type Reservation struct {
	Program string
	Request string
	Tokens  int64
	Budget  int64
	// Retention is how long the program is remembered after its last turn.
	Retention time.Duration
}

// Settlement ends a reservation with the tokens that the caller was handed.
type Settlement struct {
	Program   string
	Request   string
	Tokens    int64
	Retention time.Duration
}

// Turn is one turn of a chain, kept until Retention has passed.
type Turn struct {
	Request   string
	Previous  string
	Program   string
	Input     []byte
	Output    []byte
	Tokens    int64
	Retention time.Duration
}

// Account keeps budgets and turns over all hosts.
type Account struct {
	// Reserve fails with a *BudgetSpentError or an *UncertainError.
	Reserve func(ctx context.Context, r Reservation) error
	// Settle doesn't wait.
	Settle func(s Settlement)
	// Chain returns the inputs and outputs of the turns up to the named one,
	// which usually belongs to the program. It fails with an *UnknownTurnError or
	// an *UncertainError.
	Chain func(ctx context.Context, program, request string) ([]byte, error)
	// Keep returns once the turn outlives the losses that have to be borne, and goes
	// on trying until the context ends. It settles the turn's reservation as well.
	Keep func(ctx context.Context, t Turn) error
}

// BudgetSpentError is returned where a budget doesn't hold one more turn.
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

// UncertainError is returned where too few copies could be asked.
type UncertainError struct {
	Operation string
	Answers   int
	Needed    int
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s: %d of %d needed copies answered", e.Operation, e.Answers, e.Needed)
}

// refusalOf maps the account's errors to statuses. Each means that the request
// didn't run.
func refusalOf(err error) *refusal {
	var spent *BudgetSpentError
	var unknown *UnknownTurnError
	switch {
	case errors.As(err, &spent):
		return &refusal{status: 402, reason: "budget_spent"}
	case errors.As(err, &unknown):
		return &refusal{status: 404, reason: "unknown_turn"}
	}
	return &refusal{status: 503, reason: "account_uncertain", retryAfter: accountRetry}
}

// accountRetry is when a caller may return after too few copies answered:
// about the time in which a host finds another path to them.
const accountRetry = 250 * time.Millisecond

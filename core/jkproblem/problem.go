// Package jkproblem maps the typed errors of the core to the problem responses that callers
// see. Each error type is mapped once, here. Writing the HTTP response is up to the API.
package jkproblem

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// Type is the machine-readable kind of a problem.
type Type string

// Types of problems.
const (
	TypeBadRequest         Type = "bad_request"
	TypeInvalidToken       Type = "invalid_token"
	TypeStaleToken         Type = "stale_token"
	TypeHistoryMismatch    Type = "history_mismatch"
	TypeHistoryUnavailable Type = "history_unavailable"
	TypeHistoryFork        Type = "history_fork"
	TypeUnknownProgram     Type = "unknown_program"
	TypeProgramEnded       Type = "program_ended"
	TypeBudgetExhausted    Type = "budget_exhausted"
	TypeGrantUnavailable   Type = "grant_unavailable"
	TypeRequestClosed      Type = "request_closed"
	TypeFormerHome         Type = "former_home"
	TypeProgramMoved       Type = "program_moved"
	TypeOverloaded         Type = "overloaded"
	TypeUnavailable        Type = "unavailable"
	TypeQuarantined        Type = "quarantined"
	TypeUnknownModel       Type = "unknown_model"
	TypeUnknownService     Type = "unknown_service"
	TypeNotAllowed         Type = "not_allowed"
	TypeDeadlineExceeded   Type = "deadline_exceeded"
	TypeEndpointFailed     Type = "endpoint_failed"
	TypeOutcomeUnknown     Type = "outcome_unknown"
	TypeStreamBroken       Type = "stream_broken"
	TypeInternal           Type = "internal"
)

// Problem is the body of an error response.
type Problem struct {
	Type   Type   `json:"type" msgpack:"type"`
	Title  string `json:"title" msgpack:"title"`
	Status int    `json:"status" msgpack:"status"`
	Detail string `json:"detail" msgpack:"detail"`
	// Outcome reports whether the request ran and how it ended.
	Outcome jkprogram.Outcome `json:"outcome" msgpack:"outcome"`
	// Field names the invalid field of a bad request.
	Field string `json:"field,omitempty" msgpack:"field,omitempty"`
	// RetryAfter is in milliseconds; zero means that a retry does not help or
	// needs no wait.
	RetryAfter int64 `json:"retry_after_ms,omitempty" msgpack:"retry_after_ms,omitempty"`
}

func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Type, p.Detail) }

// typeInfo holds the title, the HTTP status and the default outcome of each type.
var typeInfo = map[Type]struct {
	title   string
	status  int
	outcome jkprogram.Outcome
}{
	TypeBadRequest:         {"The request is not valid.", http.StatusBadRequest, jkprogram.OutcomeNotRun},
	TypeInvalidToken:       {"The program token is not valid.", http.StatusUnauthorized, jkprogram.OutcomeNotRun},
	TypeStaleToken:         {"Another request has used the token.", http.StatusConflict, jkprogram.OutcomeNotRun},
	TypeHistoryMismatch:    {"The request does not continue the program's history.", http.StatusConflict, jkprogram.OutcomeNotRun},
	TypeHistoryUnavailable: {"Part of the program's history can't be reached.", http.StatusServiceUnavailable, jkprogram.OutcomeUnknown},
	TypeHistoryFork:        {"The token belongs to another branch of the program.", http.StatusConflict, jkprogram.OutcomeNotRun},
	TypeUnknownProgram:     {"The program is not known.", http.StatusNotFound, jkprogram.OutcomeNotRun},
	TypeProgramEnded:       {"The program has ended.", http.StatusGone, jkprogram.OutcomeNotRun},
	TypeBudgetExhausted:    {"The call does not fit into the budget.", http.StatusPaymentRequired, jkprogram.OutcomeNotRun},
	TypeGrantUnavailable:   {"The budget can't be extended at present.", http.StatusServiceUnavailable, jkprogram.OutcomeNotRun},
	TypeRequestClosed:      {"The request was refused before and will not run.", http.StatusConflict, jkprogram.OutcomeNotRun},
	TypeFormerHome:         {"A former home may have run the request.", http.StatusConflict, jkprogram.OutcomeUnknown},
	TypeProgramMoved:       {"The program has moved to another home.", http.StatusServiceUnavailable, jkprogram.OutcomeNotRun},
	TypeOverloaded:         {"There is no room for the request now.", http.StatusTooManyRequests, jkprogram.OutcomeNotRun},
	TypeUnavailable:        {"The request can't be served now.", http.StatusServiceUnavailable, jkprogram.OutcomeUnknown},
	TypeQuarantined:        {"The request has crashed endpoints and is quarantined.", http.StatusUnprocessableEntity, jkprogram.OutcomeNotRun},
	TypeUnknownModel:       {"The model is not served here.", http.StatusNotFound, jkprogram.OutcomeNotRun},
	TypeUnknownService:     {"The service is not known.", http.StatusNotFound, jkprogram.OutcomeNotRun},
	TypeNotAllowed:         {"The configuration does not allow the request.", http.StatusForbidden, jkprogram.OutcomeNotRun},
	TypeDeadlineExceeded:   {"The deadline has passed.", http.StatusGatewayTimeout, jkprogram.OutcomeUnknown},
	TypeEndpointFailed:     {"The endpoint failed.", http.StatusBadGateway, jkprogram.OutcomeFailed},
	TypeOutcomeUnknown:     {"It is not known whether the request ran.", http.StatusBadGateway, jkprogram.OutcomeUnknown},
	TypeStreamBroken:       {"The stream broke off.", http.StatusBadGateway, jkprogram.OutcomeUnknown},
	TypeInternal:           {"The host failed.", http.StatusInternalServerError, jkprogram.OutcomeUnknown},
}

// New returns a problem with the title, status and default outcome of its type.
func New(t Type, detail string) *Problem {
	k := typeInfo[t]
	return &Problem{Type: t, Title: k.title, Status: k.status, Detail: detail, Outcome: k.outcome}
}

// Newf is New with a formatted detail.
func Newf(t Type, format string, args ...any) *Problem {
	return New(t, fmt.Sprintf(format, args...))
}

// WithOutcome replaces the outcome.
func (p *Problem) WithOutcome(o jkprogram.Outcome) *Problem {
	p.Outcome = o
	return p
}

// WithField names the invalid field.
func (p *Problem) WithField(name string) *Problem {
	p.Field = name
	return p
}

// WithRetryAfter sets the time after which a retry makes sense.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d.Milliseconds()
	return p
}

// From maps an error to its problem. An error of an unknown type becomes an internal
// problem with an unknown outcome.
func From(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	if p := fromToken(err); p != nil {
		return p
	}
	if p := fromProgram(err); p != nil {
		return p
	}
	return fromOther(err)
}

func fromToken(err error) *Problem {
	var invalid *jktoken.InvalidError
	var stale *jkprogram.StaleTokenError
	var mismatch *jkprogram.HistoryMismatchError
	var behind *jkprogram.HistoryBehindError
	var fork *jkprogram.ForkError
	var closed *jkprogram.ClosedError
	var old *jkprogram.OldEpochError
	switch {
	case errors.As(err, &invalid):
		return New(TypeInvalidToken, invalid.Error()).WithField("X-Program-Token")
	case errors.As(err, &stale):
		return New(TypeStaleToken, stale.Error())
	case errors.As(err, &mismatch):
		return New(TypeHistoryMismatch, mismatch.Error())
	case errors.As(err, &behind):
		return New(TypeHistoryUnavailable, behind.Error())
	case errors.As(err, &fork):
		return New(TypeHistoryFork, fork.Error())
	case errors.As(err, &closed):
		return New(TypeRequestClosed, closed.Error())
	case errors.As(err, &old):
		return New(TypeFormerHome, old.Error())
	}
	return nil
}

func fromProgram(err error) *Problem {
	var unknown *jkprogram.UnknownProgramError
	var ended *jkprogram.EndedError
	var budget *jkprogram.BudgetError
	var moved *jkprogram.SupersededError
	var full *jkprogram.TableFullError
	switch {
	case errors.As(err, &unknown):
		return New(TypeUnknownProgram, unknown.Error())
	case errors.As(err, &ended):
		return New(TypeProgramEnded, ended.Error())
	case errors.As(err, &budget) && budget.GrantUnavailable:
		return New(TypeGrantUnavailable, budget.Error()).WithRetryAfter(time.Second)
	case errors.As(err, &budget):
		return New(TypeBudgetExhausted, budget.Error())
	case errors.As(err, &moved):
		return New(TypeProgramMoved, moved.Error()).WithRetryAfter(100 * time.Millisecond)
	case errors.As(err, &full):
		return New(TypeOverloaded, full.Error()).WithRetryAfter(time.Second)
	}
	return nil
}

func fromOther(err error) *Problem {
	var refused *jksched.RefusedError
	var field *jkchat.FieldError
	switch {
	case errors.As(err, &field):
		return New(TypeBadRequest, field.Error()).WithField(field.Field)
	case errors.As(err, &refused):
		return New(TypeOverloaded, refused.Error()).WithRetryAfter(refused.RetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return New(TypeDeadlineExceeded, err.Error())
	}
	return New(TypeInternal, err.Error())
}

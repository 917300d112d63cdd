package jkupstream

import "fmt"

// Reason is why a request was not sent.
type Reason string

// Reasons of a NotSentError.
const (
	ReasonUnreachable     Reason = "unreachable"
	ReasonConnectionLimit Reason = "connection_limit"
	ReasonCancelled       Reason = "cancelled"
	// The endpoint was started again.
	ReasonOtherStart Reason = "other_start"
	// The endpoint didn't tell which start it is.
	ReasonUnknownStart Reason = "unknown_start"
	// MaySend of the request returned an error.
	ReasonNotAllowed Reason = "not_allowed"
)

// NotSentError is returned for a request of which no byte was sent.
type NotSentError struct {
	Addr   string
	Reason Reason
	Cause  error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request to %s not sent: %s: %v", e.Addr, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ExchangeError is returned for a request that was sent, at least in part, and has no
// complete response. The request may have run.
type ExchangeError struct {
	Addr string
	// Stage is the part of the exchange that failed: write, header or body.
	Stage Stage
	Cause error
}

// Stage is a part of an exchange with an endpoint.
type Stage string

// Stages of an exchange.
const (
	StageWrite  Stage = "write"
	StageHeader Stage = "header"
	StageBody   Stage = "body"
)

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s broke off in %s: %v", e.Addr, e.Stage, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// InvalidStatusError is the cause of an exchange whose response has a status outside of 100 to 599.
// Such bytes aren't a response.
type InvalidStatusError struct {
	Addr   string
	Status string
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response of %s has the invalid status %.20q", e.Addr, e.Status)
}

package jkendpoint

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// NotSentError reports that no byte of the request was written, so it did not run and
// will not run.
type NotSentError struct {
	Addr string
	Err  error
}

func (e *NotSentError) Error() string { return fmt.Sprintf("%s: request not sent: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// UncertainError reports that the request was written at least in part and no complete
// response arrived, so it may have run.
type UncertainError struct {
	Addr            string
	BytesSent       int64 // a write still in progress counts in full
	ResponseStarted bool  // whether any byte of a response arrived
	Status          int   // of the incomplete response, or 0
	// Reused says that the connection had carried an earlier request. The
	// endpoint may then just have closed an idle connection; this is weaker
	// evidence of a crash than a failure on a fresh connection.
	Reused bool
	Err    error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s: outcome unknown after %d bytes sent, answered %t: %v", e.Addr, e.BytesSent, e.ResponseStarted, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// StatusError is a complete response of an engine that reports a failure.
type StatusError struct {
	Addr       string
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0 if the engine sent none
}

func (e *StatusError) Error() string {
	const maxBody = 200
	body := e.Body
	if len(body) > maxBody {
		body = body[:maxBody]
	}
	return fmt.Sprintf("%s: status %d: %s", e.Addr, e.Status, body)
}

// FencedError is the refusal of an order whose fencing token is older than
// one the engine has seen.
type FencedError struct {
	Addr    string
	Token   uint64 // of the refused order
	Current uint64 // highest token the engine has seen
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("%s: order with fencing token %d refused, current token is %d", e.Addr, e.Token, e.Current)
}

// CodeFenced is the error code in an engine's refusal of an old order.
const CodeFenced = "fenced"

// CodeModelNotFound is the error code in an engine's refusal of a call for a
// model that it doesn't serve, for example because it loads another version.
const CodeModelNotFound = "model_not_found"

// IsModelNotFound reports whether the engine refused a call, without running it,
// because it doesn't serve the model.
func (e *StatusError) IsModelNotFound() bool {
	var refusal ErrorBody
	return e.Status == http.StatusNotFound && json.Unmarshal(e.Body, &refusal) == nil && refusal.Error.Code == CodeModelNotFound
}

// ErrorBody is the JSON body of a refusal by an engine.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one refusal. The token fields are set with CodeFenced.
type ErrorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Type         string `json:"type,omitempty"`
	Token        uint64 `json:"token,omitempty"`
	CurrentToken uint64 `json:"current_token,omitempty"`
}

// statusError turns a response that reports a failure into a *FencedError or a
// *StatusError.
func statusError(addr string, resp *http.Response, body []byte) error {
	var refusal ErrorBody
	if resp.StatusCode == http.StatusConflict && json.Unmarshal(body, &refusal) == nil && refusal.Error.Code == CodeFenced {
		return &FencedError{Addr: addr, Token: refusal.Error.Token, Current: refusal.Error.CurrentToken}
	}
	e := &StatusError{Addr: addr, Status: resp.StatusCode, Body: body}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

package jkforward

import (
	"net/http"
	"time"

	"jasmineknot.example/core/jksched"
)

// Facts is what a caller says of its request.
type Facts struct {
	// Request identifies one attempt of a caller.
	Request string
	Program string
	// Session identifies a line of turns within a program.
	Session string
	// Previous is the request of the turn that this one continues from.
	Previous string
	Model    string
	// Object is what requests that concern the same thing have in common.
	Object string
	// Wait is how long the caller will wait; zero if it doesn't say.
	Wait time.Duration
	// ProgramLeft is the time until the program should be finished; zero if
	// unknown.
	ProgramLeft time.Duration
	// Budget is the number of tokens that all turns of the program may generate;
	// zero means no budget.
	Budget       int64
	PromptTokens int64
	// MaxTokens bounds what the turn generates; LikelyTokens is the caller's
	// estimate, or zero.
	MaxTokens    int64
	LikelyTokens int64
	Parts        []jksched.Segment
	// LastEvent is the id of the last event that the caller has, or empty.
	LastEvent string
}

// Outgoing is what the system says to an endpoint beside the caller's header.
type Outgoing struct {
	// Endpoint is the id of the endpoint that may run the request.
	Endpoint string
	// Left is how long the answer is waited for.
	Left time.Duration
	// Urgency ranks the request at a model engine from 0, the first, to 9.
	Urgency int
	// LastEvent is the id of the event after which a stream goes on.
	LastEvent string
}

// AnswerFacts is what an endpoint says of its answer.
type AnswerFacts struct {
	Request string
	// Signed reports whether the answer carries the endpoint's signature.
	Signed bool
	// NotRun states that the endpoint didn't run the request.
	NotRun bool
	// Load is valid if HasLoad is set.
	Load    jksched.DirectLoad
	HasLoad bool
}

// Dialect translates between callers, endpoints and the system.
type Dialect struct {
	// Read decodes a caller's header.
	Read func(h http.Header) Facts
	// Forwardable reports whether a caller's header may reach an endpoint.
	Forwardable func(name string) bool
	// Prepare adds what the system says to an endpoint.
	Prepare func(h http.Header, o Outgoing)
	// Answer decodes an endpoint's header.
	Answer func(h http.Header) AnswerFacts
}

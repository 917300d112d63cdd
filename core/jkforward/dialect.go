package jkforward

import (
	"net/http"
	"time"

	"jasmineknot.example/core/jksched"
)

// RequestInfo holds what a caller's header says about its request.
type RequestInfo struct {
	// Request is the id of one attempt of a caller.
	Request string
	// Key is the caller's key. It must not be logged or sent on.
	Key     string
	Program string
	// Session identifies a sequence of turns within a program.
	Session string
	// Previous is the request of the turn that this one continues from.
	Previous string
	Model    string
	// Object is an affinity key: requests that concern the same object share it.
	Object string
	// Wait is the caller's timeout; zero if it gives none.
	Wait time.Duration
	// ProgramLeft is the time until the program should be finished; zero if
	// unknown.
	ProgramLeft time.Duration
	// Budget is the number of tokens that all turns of the program may generate;
	// zero means no budget.
	Budget       int64
	PromptTokens int64
	// MaxTokens bounds the tokens that the turn generates; LikelyTokens is the
	// caller's estimate of them, or zero.
	MaxTokens    int64
	LikelyTokens int64
	// Parts are the prefixes of the prompt that endpoints may have cached.
	Parts []jksched.Segment
	// LastEvent is the id of the last event that the caller received, or empty.
	LastEvent string
	// Resumes is the request that brought the first event of the stream that this one continues, or
	// empty.
	Resumes string
}

// ForwardInfo holds what the system adds to the caller's header for an endpoint.
type ForwardInfo struct {
	// Endpoint is the id of the endpoint that may run the request.
	Endpoint string
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// TimeLeft is the time left for the response.
	TimeLeft time.Duration
	// Urgency ranks the request in the queue of a model engine, from 0 (first) to 9.
	Urgency int
	// LastEvent is the id of the event after which a stream resumes.
	LastEvent string
}

// ResponseInfo holds what an endpoint's header says about its response.
type ResponseInfo struct {
	Request string
	// Signed reports whether the response carries the endpoint's signature.
	Signed bool
	// NotRun states that the endpoint didn't run the request.
	NotRun bool
	// Load is valid if HasLoad is set.
	Load    jksched.DirectLoad
	HasLoad bool
	// Limit is the number of requests a second that the endpoint takes from all hosts
	// together; zero if it names no limit.
	Limit float64
	// Leaving states that the endpoint is about to end and takes no new requests.
	Leaving bool
}

// Dialect converts between the headers of callers and endpoints and the types of
// this package, which doesn't know the names of the headers.
type Dialect struct {
	// DecodeRequest decodes a caller's header.
	DecodeRequest func(h http.Header) RequestInfo
	// Forwardable reports whether a caller's header may reach an endpoint.
	Forwardable func(name string) bool
	// IsCredential reports whether a header holds a caller's key or workspace. Such headers of
	// callers don't reach an endpoint where the rules have workspaces. Nil means that none does.
	IsCredential func(name string) bool
	// AddHeaders adds the system's own headers to a request to an endpoint.
	AddHeaders func(h http.Header, o ForwardInfo)
	// DecodeResponse decodes an endpoint's header.
	DecodeResponse func(h http.Header) ResponseInfo
	// ReportTarget is the path at which an endpoint reports its start, and DecodeReport returns the one
	// that a report names. Endpoints aren't asked if it is empty.
	ReportTarget string
	DecodeReport func(report []byte) (born int64, ok bool)
}

func (d Dialect) isCredential(name string) bool { return d.IsCredential != nil && d.IsCredential(name) }

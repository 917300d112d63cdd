package jkforward

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jkcrash"
	"jasmineknot.example/core/jkintake"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// call is the state of one caller's request while the handler processes it.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	info    RequestInfo
	route   *jkruleset.Route
	service *jkruleset.Service
	// workspace is the caller's workspace; nil without one.
	workspace *jkruleset.Workspace
	// rulesVersion is the version of the rules that the workspace is from.
	rulesVersion int64
	// key is the hash of the caller's key, if it sent one.
	key    jkruleset.KeyHash
	hasKey bool
	// isAuthenticated is set by the first check of the key, and dropsCredentials once the rules had
	// workspaces.
	isAuthenticated  bool
	dropsCredentials bool
	// release gives back the request's permit; nil without one. isAtEndpoint is set while an endpoint
	// has the request, and afterwards unless that one states that it didn't run it.
	release      func()
	isAtEndpoint bool

	body []byte
	// bodyBegun is set once the read of the caller's body has begun.
	bodyBegun bool
	// held counts the body and a whole answer; nil before there is one of them.
	held *jkintake.Body
	// answer is a whole answer of an endpoint. It is written once the call at the endpoint has ended.
	answer []byte
	// input is the body as the caller sent it, without the earlier turns.
	input []byte
	// chainPrograms are the programs of the earlier turns.
	chainPrograms []string
	// contentKey is set by content.
	contentKey jkcrash.Key

	receivedAt time.Time
	deadline   time.Time
	// sentAt is when the request was sent to the endpoint of the latest attempt.
	sentAt time.Time
	// firstSentAt is when the request was first sent to an endpoint, and firstEventAt
	// when the first event of a stream arrived.
	firstSentAt  time.Time
	firstEventAt time.Time

	// attempts counts the failed attempts in which an endpoint may have run the
	// request.
	attempts int
	excluded []string
	// last is the endpoint of the latest attempt.
	last target
	// uncached is the number of prompt tokens that the endpoint of the latest attempt is
	// expected to read, or -1 if that isn't known.
	uncached int64
	// reportedLoad is what the endpoint of the latest attempt said of itself; nil if nothing.
	reportedLoad *jksched.DirectLoad
	// broken is how the latest exchange broke off.
	broken exchangeBreak
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// mayHaveRunAt is the last endpoint that may have run the request.
	mayHaveRunAt string

	// headerSent is set once the header of a stream was sent to the caller.
	headerSent  bool
	lastEventID string
	events      int64
	output      []byte

	// givenUp is set if this host gave up the latest exchange that broke off, or one before it sent the
	// request.
	givenUp bool
	// watchdog detects a stalled exchange of a repeatable request and is nil for others. hasEvents
	// tells it whether the caller has an event, hasNewEvents whether one has come since the exchange began,
	// before which there were eventsBefore, and isSent whether the request has a connection and is sent.
	watchdog                        *watchdog
	hasEvents, hasNewEvents, isSent atomic.Bool
	eventsBefore                    int64
	// spare sends a stream once more beside an exchange that is silent; nil if the latest attempt has none. Spares
	// counts how often that was done.
	spare  *spare
	spares int

	// version is the software version of the endpoints that may run the stream, if versionBound is
	// set.
	version      string
	versionBound bool

	// beginsProgram is set for a turn that begins a program, tracked once its program has been told
	// of the turn, and prediction is what was predicted for it then.
	beginsProgram bool
	tracked       bool
	prediction    jksched.Prediction

	// reservation is the name of the reservation in the program's budget, and reservedTokens the
	// number of its tokens.
	reservation    string
	reservedTokens int64
	status         int
	reason         string
}

// exchangeBreak is how an exchange with an endpoint broke off.
type exchangeBreak string

// Ways in which an exchange broke off, if it did: this host cancelled it, or the
// connection ended or failed.
const (
	exchangeWhole     exchangeBreak = "whole"
	exchangeCancelled exchangeBreak = "cancelled"
	exchangeEnded     exchangeBreak = "ended"
)

// recordBroken records that the exchange with the given context broke off.
func (c *call) recordBroken(ctx context.Context) {
	c.broken = exchangeEnded
	if ctx.Err() != nil {
		c.broken = exchangeCancelled
	}
}

func (c *call) isStream() bool { return c.route.Kind() == jkruleset.KindStream }

// schedulerCall describes the call to the scheduler.
func (c *call) schedulerCall() jksched.Call {
	out := jksched.Call{
		ID: c.info.Request, Program: c.affinityKey(), Kind: jksched.KindService, Service: c.service.Name(),
		Model: c.info.Model, Deadline: c.deadline, Repeatable: c.route.Repeatable(), Version: c.version, VersionBound: c.versionBound,
	}
	out.Route, out.BodyBytes = c.route.Name(), int64(len(c.body))
	if c.workspace != nil {
		out.Workspace = c.workspace.Name()
	}
	if !c.service.Model() {
		return out
	}
	out.Kind = jksched.KindModel
	out.Prefix = c.info.Parts
	out.PromptTokens = c.info.PromptTokens
	for _, part := range c.info.Parts {
		out.PromptTokens = max(out.PromptTokens, part.Tokens)
	}
	out.MaxTokens = c.info.MaxTokens
	if c.info.LikelyTokens > 0 {
		out.TokenLimit = c.info.MaxTokens
		out.MaxTokens = min(c.info.LikelyTokens, max(c.info.MaxTokens, 1))
	}
	return out
}

// affinityKey identifies requests that benefit from the same endpoint, for example
// because of its prefix cache: the session, object or program, or else the request.
func (c *call) affinityKey() string {
	for _, k := range []string{c.info.Session, c.info.Object, c.info.Program} {
		if k != "" {
			return k
		}
	}
	return c.origin()
}

// hopHeaders are the headers that concern one connection only: the hop-by-hop headers
// and those that are set anew for each request. They aren't forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// forwardHeader returns the caller's header without hop-by-hop headers and without
// headers that only the system may set.
func (c *call) forwardHeader(d Dialect) http.Header {
	out := make(http.Header, len(c.request.Header)+4)
	connectionOnly := connectionHeaders(c.request.Header)
	for name, values := range c.request.Header {
		if hopHeaders[name] || connectionOnly[name] || !d.Forwardable(name) || c.dropsCredentials && d.isCredential(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionHeaders returns the headers that the Connection header lists as
// hop-by-hop.
func connectionHeaders(h http.Header) map[string]bool {
	var out map[string]bool
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

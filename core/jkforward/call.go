package jkforward

import (
	"net/http"
	"strings"
	"time"

	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// call is one request of a caller on its way through the steps.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	facts   Facts
	route   *jkruleset.Route
	service *jkruleset.Service
	body    []byte
	// input is the turn's own part of the body.
	input []byte

	began    time.Time
	deadline time.Time
	// sent is when the request was first sent to an endpoint, and first when the
	// first event or the answer arrived.
	sent  time.Time
	first time.Time

	// attempts counts the endpoints that may have run the request.
	attempts int
	exclude  []string
	// lastEndpoint is where the request was sent last.
	lastEndpoint string
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool

	// started is set once the header of a stream was passed on.
	started   bool
	lastEvent string
	events    int64
	output    []byte

	// watchdog watches the exchange of a repeatable request; nil for others.
	watchdog *watchdog

	// reserved is the number of tokens held in the program's budget.
	reserved int64
	status   int
	reason   string
}

func (c *call) isStream() bool { return c.route.Kind() == jkruleset.KindStream }

// scheduled describes the call for the scheduler.
func (c *call) scheduled() jksched.Call {
	out := jksched.Call{
		ID: c.facts.Request, Program: c.key(), Kind: jksched.KindService, Service: c.service.Name(),
		Model: c.facts.Model, Deadline: c.deadline, Repeatable: c.route.Repeatable(),
	}
	if !c.service.Model() {
		return out
	}
	out.Kind = jksched.KindModel
	out.Prefix = c.facts.Parts
	out.PromptTokens = c.facts.PromptTokens
	for _, part := range c.facts.Parts {
		out.PromptTokens = max(out.PromptTokens, part.Tokens)
	}
	out.MaxTokens = c.facts.MaxTokens
	if c.facts.LikelyTokens > 0 {
		out.MaxTokens = min(c.facts.LikelyTokens, max(c.facts.MaxTokens, 1))
	}
	return out
}

// key is what requests that profit from the same endpoint have in common.
func (c *call) key() string {
	for _, k := range []string{c.facts.Session, c.facts.Object, c.facts.Program} {
		if k != "" {
			return k
		}
	}
	return c.facts.Request
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
}

// forwarded returns the caller's header without what concerns its connection
// only and what only the system may say.
func (c *call) forwarded(d Dialect) http.Header {
	out := make(http.Header, len(c.request.Header)+4)
	named := connectionNames(c.request.Header)
	for name, values := range c.request.Header {
		if hopHeaders[name] || named[name] || !d.Forwardable(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionNames returns the headers that Connection declares as its own.
func connectionNames(h http.Header) map[string]bool {
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

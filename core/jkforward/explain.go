package jkforward

import (
	"fmt"

	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// ExplainQuery describes a request whose placement is to be explained.
type ExplainQuery struct {
	Route     string
	Workspace string
	// Session is what the request's placement is bound to: a session, an object or a program.
	Session   string
	Parts     []jksched.Segment
	MaxTokens int64
	BodyBytes int64
}

// UnknownRouteError is returned for a route that the rules don't have, or that has no service.
type UnknownRouteError struct{ Route string }

func (e *UnknownRouteError) Error() string { return fmt.Sprintf("no route %q", e.Route) }

// Explain returns where a request would go now, and why. Nothing is sent or counted. The error is an
// *UnknownRouteError.
func (f *Fleet) Explain(rules *jkruleset.Set, q ExplainQuery) (jksched.Explanation, error) {
	route := rules.RouteNamed(q.Route)
	if route == nil {
		return jksched.Explanation{}, &UnknownRouteError{Route: q.Route}
	}
	service := rules.Service(route.Service(hashOf(q.Session)))
	if service == nil {
		return jksched.Explanation{}, &UnknownRouteError{Route: q.Route}
	}
	c := jksched.Call{
		Program: q.Session, Kind: jksched.KindService, Service: service.Name(), Route: q.Route, Workspace: q.Workspace, BodyBytes: q.BodyBytes,
	}
	if service.Model() {
		c.Kind, c.Prefix, c.MaxTokens = jksched.KindModel, q.Parts, q.MaxTokens
		for _, part := range q.Parts {
			c.PromptTokens += part.Tokens
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.direct.Explain(f.timer.Now(), c), nil
}

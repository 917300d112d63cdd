package jkforward

import (
	"net/http"
	"time"

	"jasmineknot.example/core/jkruleset"
)

// currencyRetryAfter is the Retry-After of a request that this entry can't judge until its rules are
// confirmed: about the time of a read of the store.
const currencyRetryAfter = 300 * time.Millisecond

func (c Currency) mayServe() bool { return c.MayServe == nil || c.MayServe() }

func (c Currency) mayDeny() bool { return c.MayDeny == nil || c.MayDeny() }

// hashKey replaces the caller's key by its hash, so that nothing that is logged later can contain it.
func (c *call) hashKey() {
	if c.info.Key != "" {
		c.key, c.hasKey = jkruleset.HashKey(c.info.Key), true
		c.info.Key = ""
	}
}

// authenticate checks the caller's key with the newest rules. The first check sets the workspace of
// the request; further ones before each attempt ensure that the key is still one of that workspace.
func (h *Handler) authenticate(c *call) *refusal {
	rules, w, refused := h.checkKey(c)
	if refused != nil {
		return refused
	}
	c.dropsCredentials = c.dropsCredentials || rules.HasWorkspaces()
	if w != nil {
		c.workspace, c.rulesVersion = w, rules.Version()
	}
	c.isAuthenticated = true
	return nil
}

// checkKey checks the caller's key with the newest rules, and returns them and the caller's workspace, or
// nil if they ask for no key.
func (h *Handler) checkKey(c *call) (*jkruleset.Set, *jkruleset.Workspace, *refusal) {
	for {
		rules := h.Rules()
		w, refused := h.findWorkspace(c, rules)
		if h.Rules().Version() != rules.Version() {
			// The currency was asked about the newer rules.
			continue
		}
		return rules, w, refused
	}
}

// findWorkspace returns the caller's workspace, or nil if the rules ask for no key.
func (h *Handler) findWorkspace(c *call, rules *jkruleset.Set) (*jkruleset.Workspace, *refusal) {
	if !c.needsKey(rules) {
		return nil, nil
	}
	if !h.Currency.mayServe() {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "rules_not_current", retryAfter: currencyRetryAfter}
	}
	var w *jkruleset.Workspace
	if c.hasKey {
		w = rules.Workspace(c.key)
	}
	switch {
	case w == nil && h.Currency.mayDeny():
		return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
	case w == nil:
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "key_uncertain", retryAfter: currencyRetryAfter}
	case c.isAuthenticated && c.workspaceName() != w.Name():
		// Its budget and turns are in the scope of the workspace before.
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "workspace_changed", retryAfter: slotRetryAfter}
	}
	return w, nil
}

// needsKey reports whether the rules ask for a key. A route that they no longer have is as it was.
func (c *call) needsKey(rules *jkruleset.Set) bool {
	if !rules.HasWorkspaces() {
		return false
	}
	route := rules.Match(c.request.Host, c.request.URL.Path)
	if route == nil {
		route = c.route
	}
	return !route.Public()
}

// noRoute returns the refusal of a request that matches no route. Callers take a 404 for final, so that
// an entry which may not know the newest routes doesn't send it in a fleet with workspaces.
func (h *Handler) noRoute(rules *jkruleset.Set) *refusal {
	if rules.HasWorkspaces() && (!h.Currency.mayDeny() || h.Rules().Version() != rules.Version()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "route_uncertain", retryAfter: currencyRetryAfter}
	}
	return &refusal{status: http.StatusNotFound, reason: "no_route"}
}

// deniedError is returned by maySend.
type deniedError struct{ refused *refusal }

func (e *deniedError) Error() string { return e.refused.reason }

// maySend checks the key again once there is a connection, which may have taken a while, and drops
// credentials from the header if the rules have got workspaces meanwhile.
func (h *Handler) maySend(c *call, header http.Header) error {
	before := c.dropsCredentials
	if refused := h.authenticate(c); refused != nil {
		return &deniedError{refused}
	}
	if c.dropsCredentials && !before {
		h.dropCredentials(header)
	}
	return c.recordSent()
}

func (h *Handler) dropCredentials(header http.Header) {
	for name := range header {
		if h.Dialect.isCredential(name) {
			delete(header, name)
		}
	}
}

// recordSent records that the body is sent, unless its count has ended.
func (c *call) recordSent() error {
	if c.held == nil {
		return nil
	}
	return c.held.Send()
}

// endDenied returns the refusal of a request that may not be sent anymore. One that may have run ends
// as after its last attempt.
func (c *call) endDenied(refused *refusal) *refusal {
	if c.mayHaveRun {
		return c.finalRefusal(refused.reason, 0)
	}
	return refused
}

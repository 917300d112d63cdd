package jkforward

import (
	"strings"
	"testing"
	"time"
)

// Guards against requests over a cap that are served or use up the ledger, against refusals that don't
// tell when to come back, and against an uncapped workspace that needs a permit.
func TestRequestsOverACapAreRefused(t *testing.T) {
	for _, test := range []struct {
		name, workspace string
		err             error
		status          int
		retry, reason   string
	}{
		{"at the cap", "acme", &QuotaError{Workspace: "acme", RetryAfter: 1500 * time.Millisecond}, 429, "1.500", "cap_reached"},
		{"no issuer", "acme", &QuotaError{Workspace: "acme", RetryAfter: 200 * time.Millisecond, Unknown: true}, 503, "0.200", "cap_uncertain"},
		{"no time", "acme", &QuotaError{Workspace: "acme"}, 429, "0.020", "cap_reached"},
		{"other error", "acme", errStalled, 503, "0.120", "cap_uncertain"},
		{"without a cap", "beta", &QuotaError{Workspace: "beta"}, 200, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyedFixture(t)
			f.endpoints["e1"].steps = []string{"events 1"}
			f.quotaErr = test.err
			status, _, header := f.ask(t, "/chat/x", "", testKey, keyOfWorkspace(test.workspace), testProgram, "p")
			f.front.Close()
			if status != test.status || header.Get("Retry-After") != test.retry {
				t.Errorf("status %d, Retry-After %q, want %d and %q", status, header.Get("Retry-After"), test.status, test.retry)
			}
			if test.status == 200 {
				return
			}
			if f.seen() != "" || len(f.memoryAccount.reserved) > 0 || !strings.Contains(f.logged(), "reason="+test.reason) {
				t.Errorf("endpoints saw %q, reserved is %v:\n%s", f.seen(), f.memoryAccount.reserved, f.logged())
			}
		})
	}
}

// Guards against permits that are lost with requests which haven't run, and against permits that are
// given back although the request may have run.
func TestPermitsOfRequestsThatHaventRunAreReleased(t *testing.T) {
	for _, test := range []struct {
		name, path, program, previous string
		steps                         []string
		spent                         bool
		status, released              int
		taken                         string
	}{
		{name: "served", path: "/safe/x", steps: []string{"ok"}, status: 200, taken: "acme version=1 first=false"},
		{name: "refused by all endpoints", path: "/safe/x", steps: []string{"refuse", "refuse", "refuse"}, status: 503, released: 1, taken: "acme version=1 first=false"},
		{name: "may have run", path: "/once/x", steps: []string{"cut"}, status: 502, taken: "acme version=1 first=false"},
		{name: "may have run, then refused", path: "/safe/x", steps: []string{"cut", "refuse"}, status: 502, taken: "acme version=1 first=false"},
		{name: "first turn, budget spent", path: "/chat/x", program: "p", spent: true, status: 402, released: 1, taken: "acme version=1 first=true"},
		{name: "unknown turn", path: "/chat/x", previous: "other", status: 404, released: 1, taken: "acme version=1 first=false"},
		{name: "stream without turns", path: "/stream/x", steps: []string{"events 1"}, status: 200, taken: "acme version=1 first=false"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyedFixture(t)
			// The script of one endpoint goes on at the other one.
			for i, step := range test.steps {
				e := f.endpoints[[]string{"e1", "e2"}[i%2]]
				e.steps = append(e.steps, step)
			}
			if test.spent {
				f.memoryAccount.reserveErr = &BudgetSpentError{Program: "p"}
			}
			headers := []string{testKey, keyOfWorkspace("acme")}
			if test.program != "" {
				headers = append(headers, testProgram, test.program)
			}
			if test.previous != "" {
				headers = append(headers, testPrevious, test.previous)
			}
			status, _, _ := f.ask(t, test.path, "", headers...)
			// The permit is released after the response was sent.
			f.front.Close()
			if status != test.status || f.released != test.released {
				t.Errorf("status %d and %d permits released, want %d and %d", status, f.released, test.status, test.released)
			}
			if got := strings.Join(f.taken, ", "); got != test.taken || f.isAccountAskedFirst {
				t.Errorf("taken is %q, want %q; the account was asked before: %t", got, test.taken, f.isAccountAskedFirst)
			}
		})
	}
}

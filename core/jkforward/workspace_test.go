package jkforward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jkupstream"
)

// keyedFixture is a fixture whose rules have the workspaces acme, with the key "key of acme", and
// beta. The priority of beta is higher, and acme has a cap.
type keyedFixture struct {
	*fixture
	rules               atomic.Pointer[jkruleset.Set]
	mayServe, mayDeny   atomic.Bool
	onDial              func()
	logMu               sync.Mutex
	logLines            bytes.Buffer
	quotaErr            error
	quotaMu             sync.Mutex
	taken               []string
	released            int
	isAccountAskedFirst bool
}

// Write implements io.Writer for log lines.
func (f *keyedFixture) Write(line []byte) (int, error) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.logLines.Write(line)
}

func keyOfWorkspace(name string) string { return "key of " + name }

func testWorkspaces(names ...string) []*jkruleset.Workspace {
	out := []*jkruleset.Workspace{}
	for _, name := range names {
		c := jkruleset.WorkspaceConfig{Name: name, Keys: []jkruleset.KeyHash{jkruleset.HashKey(keyOfWorkspace(name))}}
		if name == "acme" {
			c.Rate, c.Burst = 10, 5
		}
		out = append(out, jkruleset.NewWorkspace(c))
	}
	return out
}

// keyedRules returns the rules of the tests at a version with a public route and with workspaces.
func keyedRules(version int64, workspaces ...*jkruleset.Workspace) *jkruleset.Set {
	route := func(name string, kind jkruleset.Kind, resumable, retain, public bool, service string) *jkruleset.Route {
		return jkruleset.NewRoute(jkruleset.RouteConfig{
			Name: name, Host: "site.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 2,
			Resumable: resumable, Retain: retain, Public: public, Shares: []jkruleset.Share{{Service: service, Weight: 1}},
		})
	}
	return jkruleset.NewSet(version, jkruleset.Limits{MaxBodyBytes: 1000}, []*jkruleset.Service{
		jkruleset.NewService(jkruleset.ServiceConfig{Name: "s", EventTokens: 5, Model: true}),
	}, []*jkruleset.Route{
		route("safe", jkruleset.KindIdempotent, false, false, false, "s"),
		route("once", jkruleset.KindNonIdempotent, false, false, false, "s"),
		route("open", jkruleset.KindIdempotent, false, false, true, "s"),
		route("stream", jkruleset.KindStream, true, false, false, "s"),
		route("chat", jkruleset.KindStream, false, true, false, "s"),
	}).WithWorkspaces(workspaces)
}

func newKeyedFixture(t *testing.T) *keyedFixture {
	t.Helper()
	f := &keyedFixture{}
	f.rules.Store(keyedRules(1, testWorkspaces("acme", "beta")...))
	f.mayServe.Store(true)
	f.mayDeny.Store(true)
	connections := jkupstream.DefaultOptions()
	connections.Dial = func(ctx context.Context, addr string) (net.Conn, bool, error) {
		if f.onDial != nil {
			f.onDial()
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", addr)
		return c, false, err
	}
	connections.OnAnswer = func() {}
	f.fixture = newFixtureWith(t, func(string) net.Listener { return listenTCP(t) }, connections, func(o *Options) {
		o.Rules = f.rules.Load
		o.Currency = Currency{MayServe: f.mayServe.Load, MayDeny: f.mayDeny.Load}
		o.Quota = Quota{Take: f.take}
		o.Log = jklog.New(f, time.Now)
	})
	return f
}

func (f *keyedFixture) take(_ context.Context, w *jkruleset.Workspace, version int64, first bool) (func(), error) {
	f.memoryAccount.mu.Lock()
	askedBefore := len(f.memoryAccount.reserved) > 0
	f.memoryAccount.mu.Unlock()
	f.quotaMu.Lock()
	defer f.quotaMu.Unlock()
	f.isAccountAskedFirst = f.isAccountAskedFirst || askedBefore
	f.taken = append(f.taken, fmt.Sprintf("%s version=%d first=%t", w.Name(), version, first))
	if f.quotaErr != nil {
		return nil, f.quotaErr
	}
	return func() {
		f.quotaMu.Lock()
		defer f.quotaMu.Unlock()
		f.released++
	}, nil
}

// ask sends a request with headers and returns its status and body. A response that breaks off has
// the status statusAborted.
func (f *keyedFixture) ask(t *testing.T, path, body string, headers ...string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.front.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(testRequest, "r1")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return statusAborted, "", nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return statusAborted, string(data), resp.Header
	}
	return resp.StatusCode, string(data), resp.Header
}

// seen returns the requests at both endpoints.
func (f *keyedFixture) seen() string {
	out := []string{}
	for _, id := range []string{"e1", "e2"} {
		e := f.endpoints[id]
		e.mu.Lock()
		for _, s := range e.seen {
			out = append(out, id+" "+s)
		}
		e.mu.Unlock()
	}
	return strings.Join(out, ", ")
}

// logged returns all log lines.
func (f *keyedFixture) logged() string {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.logLines.String()
}

// Guards against requests without a known key that reach an endpoint, against a 401 or 404 of an entry
// that may not know the newest rules, against keys and forged workspaces that reach an endpoint, and
// against a body that is read before the key is checked.
func TestKeysAreChecked(t *testing.T) {
	acme, unknown := []string{testKey, keyOfWorkspace("acme"), testWorkspace, "forged"}, []string{testKey, "other", testWorkspace, "acme"}
	for _, test := range []struct {
		name, path, body string
		headers          []string
		stale, unsure    bool
		status           int
		retry            bool
		reason, seen     string
	}{
		{name: "known key", path: "/safe/x", headers: acme, status: 200, seen: `e1 POST /safe/x "" of acme`},
		{name: "known key on an unsure entry", path: "/safe/x", headers: acme, unsure: true, status: 200, seen: `e1 POST /safe/x "" of acme`},
		{name: "known key, stale rules", path: "/safe/x", headers: acme, stale: true, status: 503, retry: true, reason: "rules_not_current"},
		{name: "unknown key", path: "/safe/x", headers: unknown, status: 401, reason: "unknown_key"},
		{name: "unknown key on an unsure entry", path: "/safe/x", headers: unknown, unsure: true, status: 503, retry: true, reason: "key_uncertain"},
		{name: "no key", path: "/safe/x", status: 401, reason: "unknown_key"},
		{name: "unknown key with a large body", path: "/safe/x", body: strings.Repeat("x", 2000), status: 401, reason: "unknown_key"},
		{name: "public route", path: "/open/x", headers: acme, status: 200, seen: `e1 POST /open/x ""`},
		{name: "public route, stale rules", path: "/open/x", headers: unknown, stale: true, unsure: true, status: 200, seen: `e1 POST /open/x ""`},
		{name: "no route", path: "/none/x", headers: acme, status: 404, reason: "no_route"},
		{name: "no route on an unsure entry", path: "/none/x", headers: acme, unsure: true, status: 503, retry: true, reason: "route_uncertain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyedFixture(t)
			f.mayServe.Store(!test.stale)
			f.mayDeny.Store(!test.unsure)
			status, _, header := f.ask(t, test.path, test.body, test.headers...)
			f.front.Close()
			if status != test.status || (header.Get("Retry-After") != "") != test.retry || f.seen() != test.seen {
				t.Errorf("status %d, Retry-After %q, endpoints saw %q", status, header.Get("Retry-After"), f.seen())
			}
			if want := "reason=" + test.reason; test.reason != "" && !strings.Contains(f.logged(), want) {
				t.Errorf("log lines have no %s:\n%s", want, f.logged())
			}
		})
	}
}

// Guards against fleets without workspaces whose requests need a key or lose headers, or that the
// currency of the rules keeps from being served.
func TestFleetWithoutWorkspacesIsServedAsBefore(t *testing.T) {
	f := newKeyedFixture(t)
	f.rules.Store(keyedRules(1))
	f.mayServe.Store(false)
	f.mayDeny.Store(false)
	status, _, _ := f.ask(t, "/safe/x", "", testKey, "any", testWorkspace, "mine")
	if want := `e1 POST /safe/x "" with key any of mine`; status != 200 || f.seen() != want {
		t.Errorf("status %d, endpoints saw %q, want %q", status, f.seen(), want)
	}
	if status, _, _ = f.ask(t, "/none/x", ""); status != 404 {
		t.Errorf("status %d without a route, want 404", status)
	}
	f.front.Close()
	if strings.Contains(f.logged(), "workspace") || len(f.taken) > 0 {
		t.Errorf("a workspace is logged or permits are taken: %v\n%s", f.taken, f.logged())
	}
}

// Guards against a 401 or 404 by rules that were replaced while the entry asked whether they are the newest.
func TestNewestRulesDecide(t *testing.T) {
	f := newKeyedFixture(t)
	f.handler.Currency.MayDeny = func() bool {
		f.rules.Store(keyedRules(2, testWorkspaces("acme", "beta", "new")...))
		return true
	}
	if status, _, _ := f.ask(t, "/safe/x", "", testKey, keyOfWorkspace("new")); status != 200 {
		t.Errorf("status %d for a key that was added, want 200", status)
	}
	f.rules.Store(keyedRules(1, testWorkspaces("acme")...))
	if status, _, _ := f.ask(t, "/none/x", ""); status != 503 {
		t.Errorf("status %d for a route that may have been added, want 503", status)
	}
}

// Guards against requests that are sent with a key that was removed, or by an entry whose rules are too
// old by then, while they waited for a further attempt.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	removeKey := func(f *keyedFixture) { f.rules.Store(keyedRules(2, testWorkspaces("beta")...)) }
	moveKey := func(f *keyedFixture) {
		moved := jkruleset.WorkspaceConfig{Name: "beta", Keys: []jkruleset.KeyHash{jkruleset.HashKey(keyOfWorkspace("acme"))}}
		f.rules.Store(keyedRules(2, jkruleset.NewWorkspace(moved)))
	}
	for _, test := range []struct {
		name, path, step string
		change           func(f *keyedFixture)
		status           int
		reason           string
	}{
		{"key removed, refused by the first endpoint", "/safe/x", "refuse", removeKey, 401, "unknown_key"},
		{"key removed, may have run", "/safe/x", "cut", removeKey, 502, "unknown_key"},
		{"key removed, stream has begun", "/stream/x", "events-cut 1,2", removeKey, statusAborted, "unknown_key"},
		{"rules too old", "/safe/x", "refuse", func(f *keyedFixture) { f.mayServe.Store(false) }, 503, "rules_not_current"},
		{"rules too old, may have run", "/safe/x", "cut", func(f *keyedFixture) { f.mayServe.Store(false) }, 502, "rules_not_current"},
		{"key of another workspace", "/safe/x", "refuse", moveKey, 503, "workspace_changed"},
		{"removed on an unsure entry", "/safe/x", "refuse", func(f *keyedFixture) { f.mayDeny.Store(false); removeKey(f) }, 503, "key_uncertain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newKeyedFixture(t)
			f.endpoints["e1"].steps = []string{test.step}
			f.endpoints["e1"].onRequest = func() { test.change(f) }
			status, _, _ := f.ask(t, test.path, "", testKey, keyOfWorkspace("acme"))
			// The log line of an aborted stream may come after the caller has noticed its end.
			f.front.Close()
			if status != test.status || strings.Contains(f.seen(), "e2") || strings.Count(f.seen(), "POST") != 1 {
				t.Errorf("status %d, want %d; endpoints saw %q, want one request", status, test.status, f.seen())
			}
			if !strings.Contains(f.logged(), "reason="+test.reason) {
				t.Errorf("log lines have no reason=%s:\n%s", test.reason, f.logged())
			}
		})
	}
}

// Guards against requests that are sent although their key was removed while a connection was
// opened, and against keys that are sent on a public route since the rules got workspaces then.
func TestKeyIsCheckedOnceThereIsAConnection(t *testing.T) {
	f := newKeyedFixture(t)
	f.onDial = func() { f.rules.Store(keyedRules(2, testWorkspaces("beta")...)) }
	if status, _, _ := f.ask(t, "/safe/x", "", testKey, keyOfWorkspace("acme")); status != 401 || f.seen() != "" {
		t.Errorf("status %d, want 401; endpoints saw %q", status, f.seen())
	}
	f.front.Close()
	if f.released != 1 {
		t.Errorf("%d permits are released, want 1", f.released)
	}
	f = newKeyedFixture(t)
	f.rules.Store(keyedRules(1))
	f.onDial = func() { f.rules.Store(keyedRules(2, testWorkspaces("acme")...)) }
	status, _, _ := f.ask(t, "/open/x", "", testKey, keyOfWorkspace("acme"), testWorkspace, "acme")
	if want := `e1 POST /open/x ""`; status != 200 || f.seen() != want {
		t.Errorf("status %d, endpoints saw %q, want %q", status, f.seen(), want)
	}
}

// Guards against a workspace's priority that the route's hides.
func TestUrgencyOfWorkspaces(t *testing.T) {
	high := 0
	for _, test := range []struct {
		priority *int
		want     int
	}{{nil, 7}, {&high, 4}} {
		c := &call{
			route:     jkruleset.NewRoute(jkruleset.RouteConfig{Priority: 3}),
			workspace: jkruleset.NewWorkspace(jkruleset.WorkspaceConfig{Name: "acme", Priority: test.priority}),
		}
		if got := urgency(c); got != test.want {
			t.Errorf("urgency is %d with the workspace's priority %v, want %d", got, test.priority, test.want)
		}
	}
}

// Guards against keys in log lines, metrics, responses and the operator's view, and against log lines
// that don't name the workspace.
func TestKeysAreNotRecorded(t *testing.T) {
	f := newKeyedFixture(t)
	f.endpoints["e1"].steps = []string{"ok", "fail", "cut", "refuse"}
	out := ""
	for _, key := range []string{keyOfWorkspace("acme"), "secret", keyOfWorkspace("beta")} {
		for _, path := range []string{"/safe/x", "/once/x", "/open/x", "/chat/x", "/none/x"} {
			_, body, header := f.ask(t, path, "", testKey, key, testPrevious, "unknown")
			out += fmt.Sprint(body, header)
		}
	}
	f.mayServe.Store(false)
	f.ask(t, "/safe/x", "", testKey, keyOfWorkspace("acme"))
	f.front.Close()
	var all bytes.Buffer
	f.metrics.WritePrometheus(&all)
	all.WriteString(f.logged())
	all.WriteString(out)
	for _, key := range []string{"key of", "secret"} {
		if strings.Contains(all.String(), key) {
			t.Errorf("%q is recorded:\n%s", key, all.String())
		}
	}
	for _, want := range []string{"workspace=acme", `jk_workspace_requests_total{workspace="acme",reason="unknown_turn"}`} {
		if !strings.Contains(all.String(), want) {
			t.Errorf("%q is not recorded:\n%s", want, all.String())
		}
	}
}

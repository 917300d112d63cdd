package jkforward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"jasmineknot.example/core/jkcrash"
	"jasmineknot.example/core/jkruleset"
)

// namedAccount is an Account that knows turns and budgets by the names that it gets.
type namedAccount struct {
	mu    sync.Mutex
	turns map[string]Turn
	spent map[string]int64
	names []string
}

func (n *namedAccount) account() Account {
	n.turns, n.spent = map[string]Turn{}, map[string]int64{}
	return Account{
		Reserve: func(_ context.Context, r Reservation) error { return n.reserve(r) },
		Continue: func(_ context.Context, r Reservation, origin string) (string, error) {
			n.note(origin)
			return "v1", n.reserve(r)
		},
		Settle:  func(s Settlement) { n.note(s.Program, s.Request) },
		Release: func(_ context.Context, s Settlement) { n.note(s.Program, s.Request) },
		Chain: func(_ context.Context, program, request string) (Chain, error) {
			n.note(program, request)
			n.mu.Lock()
			defer n.mu.Unlock()
			turn, ok := n.turns[request]
			if !ok {
				return Chain{}, &UnknownTurnError{Request: request}
			}
			return Chain{Content: turn.Output}, nil
		},
		CanKeep: func(_ context.Context, program string) error {
			n.note(program)
			return nil
		},
		Keep: func(_ context.Context, turn Turn) error {
			n.note(turn.Program, turn.Request, turn.Reservation)
			if turn.Previous != "" {
				n.note(turn.Previous)
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.turns[turn.Request] = turn
			return nil
		},
	}
}

func (n *namedAccount) note(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names = append(n.names, names...)
}

func (n *namedAccount) reserve(r Reservation) error {
	n.note(r.Program, r.Request)
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Budget > 0 && n.spent[r.Program]+r.Tokens > r.Budget {
		return &BudgetSpentError{Program: r.Program}
	}
	n.spent[r.Program] += r.Tokens
	return nil
}

// Guards against turns and budgets that two workspaces share because their callers use the same ids, and
// against a name that reaches the ledger without its workspace.
func TestWorkspacesShareNoTurnsAndBudgets(t *testing.T) {
	f := newKeyedFixture(t)
	account := &namedAccount{}
	f.handler.Account = account.account()
	ask := func(workspace, path, previous string, want int) {
		t.Helper()
		f.endpoints["e1"].mu.Lock()
		f.endpoints["e1"].steps = []string{"events 1"}
		f.endpoints["e1"].mu.Unlock()
		headers := []string{testKey, keyOfWorkspace(workspace), testProgram, "p"}
		if previous != "" {
			headers = append(headers, testPrevious, previous)
		}
		if status, _, _ := f.ask(t, path, "", headers...); status != want {
			t.Errorf("%s %s after %q: status %d, want %d", workspace, path, previous, status, want)
		}
	}
	ask("acme", "/chat/x", "", 200)
	ask("acme", "/chat/x", "r1", 200)
	ask("beta", "/chat/x", "r1", 404)
	if answer := f.askRaw(t, "/chat/x", testKey+": "+keyOfWorkspace("beta")+"\r\n"+testPrevious+": "+scopedName("acme", "r1")); !strings.HasPrefix(answer, "HTTP/1.1 400 ") {
		t.Errorf("a forged name of a turn is answered with %q, want 400", answer)
	}
	// A program has 100 tokens, and each turn takes 10.
	for range 8 {
		ask("acme", "/stream/x", "", 200)
	}
	ask("acme", "/stream/x", "", 402)
	ask("beta", "/stream/x", "", 200)
	f.front.Close()
	for _, name := range account.names {
		if !strings.HasPrefix(name, "\x1facme\x1f") && !strings.HasPrefix(name, "\x1fbeta\x1f") {
			t.Errorf("the account gets the name %q", name)
		}
	}
}

// askRaw sends a request whose header a client wouldn't send, and returns the first line of the answer.
func (f *keyedFixture) askRaw(t *testing.T, path, header string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n%s\r\n\r\n", path, header)
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// Guards against continued streams whose record isn't found, or is one of another workspace.
func TestContinuedStreamsAreScoped(t *testing.T) {
	f := newKeyedFixture(t)
	account := &namedAccount{}
	f.handler.Account = account.account()
	f.endpoints["e1"].steps = []string{"events 4"}
	status, _, _ := f.ask(t, "/stream/x", "", testKey, keyOfWorkspace("acme"), testLast, "3", testResumes, "r0")
	f.front.Close()
	want := []string{"\x1facme\x1fr0", "\x1facme\x1fstream\x00r0", "\x1facme\x1fr1"}
	if got := strings.Join(account.names, ","); status != 200 || got != strings.Join(want, ",") {
		t.Errorf("status %d, the account gets %q, want %q", status, account.names, want)
	}
	reservation := AtVersion(scopedName("acme", "r0"), "v1")
	if _, ok := VersionOf(reservation, scopedName("beta", "r0")); ok {
		t.Error("the version of a stream of another workspace is found")
	}
	if v, ok := VersionOf(reservation, scopedName("acme", "r0")); !ok || v != "v1" {
		t.Errorf("version %q, %t", v, ok)
	}
}

// Guards against two workspaces with one name for different things. Headers and names of workspaces
// hold no control characters, versions and derived names may hold U+0000.
func TestScopedNamesAreDistinct(t *testing.T) {
	workspace := rapid.StringMatching(`[ -~]{0,3}`)
	id := rapid.StringMatching("[ -~]{0,3}")
	derived := func(t *rapid.T) string {
		name := id.Draw(t, "id")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 1:
			return streamProgram(name)
		case 2:
			return AtVersion(name, id.Draw(t, "version"))
		}
		return name
	}
	rapid.Check(t, func(t *rapid.T) {
		w1, w2 := workspace.Draw(t, "w1"), workspace.Draw(t, "w2")
		n1, n2 := derived(t), derived(t)
		same := w1 == w2 && n1 == n2
		if got := scopedName(w1, n1) == scopedName(w2, n2); got != same {
			t.Fatalf("(%q, %q) and (%q, %q) have the names %q and %q", w1, n1, w2, n2, scopedName(w1, n1), scopedName(w2, n2))
		}
	})
}

// Guards against a workspace that has the requests of another one refused by crashing endpoints, and
// against contents of requests without a workspace that old builds know by another key.
func TestQuarantineIsScoped(t *testing.T) {
	content := func(workspace string) any {
		c := &call{request: httptest.NewRequest("POST", "http://site.example/x", nil), input: []byte("content")}
		if workspace != "" {
			c.workspace = jkruleset.NewWorkspace(jkruleset.WorkspaceConfig{Name: workspace})
		}
		return c.content()
	}
	if content("acme") == content("beta") || content("acme") == content("") || content("acme") != content("acme") {
		t.Errorf("contents are %v, %v and %v", content("acme"), content("beta"), content(""))
	}
	// The value that the builds before workspaces compute.
	if want := jkcrash.Key(1787679659577976026); content("") != want {
		t.Errorf("the content without a workspace is %v, want %v", content(""), want)
	}
}

package jkconfig

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a stand-in platform for the hosts of one test.
type fixture struct {
	t        *testing.T
	platform *jkstandin.Platform
	url      string
	client   *http.Client
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	p := jkstandin.NewPlatform(jktimer.New(), jkstandin.PlatformLimits{})
	server := httptest.NewServer(p)
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return &fixture{t: t, platform: p, url: server.URL, client: &http.Client{Transport: transport}}
}

// host is the configuration part of one daemon.
type host struct {
	client   *jkplatform.Client
	follower *Follower
	editor   *Editor
}

func (s *fixture) host(watcher bool) *host {
	return s.hostWith(jkplatform.NewHTTPLimited(s.url, s.client, 100000, 100000), watcher)
}

func (s *fixture) hostWith(client *jkplatform.Client, watcher bool) *host {
	return s.hostAt(jktimer.New(), client, watcher)
}

func (s *fixture) hostAt(timer *jktimer.Service, client *jkplatform.Client, watcher bool) *host {
	f := NewFollower(FollowerOptions{
		Client: client, Timer: timer, Log: jklog.Discard(),
		IsWatcher: func() bool { return watcher }, Wait: time.Second,
	})
	e := NewEditor(EditorOptions{Client: client, Timer: timer, Log: jklog.Discard(), Follower: f})
	return &host{client: client, follower: f, editor: e}
}

// budgets returns a valid section with one entry, distinguished by n.
func budgets(n int) []byte {
	return fmt.Appendf(nil, `{"owner":"money","entries":{"default":{"tokens":%d,"window":"24h"}}}`, n)
}

// serviceRules returns a valid service section whose one service is distinguished by n.
func serviceRules(owner, service string, n int) []byte {
	return fmt.Appendf(nil, `{"owner":%q,"entries":{%q:{"timeout":"%dms"}}}`, owner, service, n)
}

func (h *host) mustEdit(t *testing.T, id string, base uint64, value []byte) Result {
	t.Helper()
	r, err := h.editor.Apply(t.Context(), Edit{ID: id, Team: "money", Section: SectionBudgets, Base: base, Value: value})
	if err != nil {
		t.Fatalf("edit %s: %v", id, err)
	}
	return r
}

// countRecords returns the number of revisions at the platform with an edit id.
func (s *fixture) countRecords(h *host, id string) int {
	s.t.Helper()
	records, err := h.client.List(s.t.Context(), keyPrefix)
	if err != nil {
		s.t.Fatal(err)
	}
	n := 0
	for _, r := range records {
		c, err := decodeChange(r)
		if err != nil {
			s.t.Fatal(err)
		}
		if c.EditID == id {
			n++
		}
	}
	return n
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	timer := jktimer.New()
	for range 500 {
		if ok() {
			return
		}
		timer.Wait(10*time.Millisecond, t.Context().Done())
	}
	t.Fatalf("%s: not within 5s", what)
}

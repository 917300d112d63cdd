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

// site is a stand-in platform with the hosts that use it.
type site struct {
	t        *testing.T
	platform *jkstandin.Platform
	url      string
	client   *http.Client
}

func newSite(t *testing.T) *site {
	t.Helper()
	p := jkstandin.NewPlatform(jktimer.New(), jkstandin.PlatformLimits{})
	server := httptest.NewServer(p)
	transport := &http.Transport{MaxIdleConnsPerHost: 32}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return &site{t: t, platform: p, url: server.URL, client: &http.Client{Transport: transport}}
}

// host is the configuration part of one daemon.
type host struct {
	client   *jkplatform.Client
	follower *Follower
	editor   *Editor
}

func (s *site) host(watcher bool) *host {
	return s.hostWith(jkplatform.NewHTTPLimited(s.url, s.client, 100000, 100000), watcher)
}

func (s *site) hostWith(client *jkplatform.Client, watcher bool) *host {
	return s.hostAt(jktimer.New(), client, watcher)
}

func (s *site) hostAt(timer *jktimer.Service, client *jkplatform.Client, watcher bool) *host {
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

// records counts the revisions at the platform that an edit id has.
func (s *site) records(h *host, id string) int {
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

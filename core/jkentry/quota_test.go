package jkentry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkquota"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
)

// cappedWorkspace returns a workspace with a cap of 20 requests a second and a burst of 10.
func cappedWorkspace() *jkruleset.Workspace {
	return jkruleset.NewWorkspace(jkruleset.WorkspaceConfig{Name: "w", Rate: 20, Burst: 10})
}

// takeError asks an entry for a permit and returns the refusal, or nil.
func takeError(t *testing.T, e *Entry) *jkforward.QuotaError {
	t.Helper()
	release, err := e.quota.take(context.Background(), cappedWorkspace(), 1, false)
	var refused *jkforward.QuotaError
	if err == nil && release != nil {
		return nil
	}
	if !errors.As(err, &refused) {
		t.Fatalf("error %v is no refusal", err)
	}
	return refused
}

// Guards against caps that don't hold, or that can't be used, over the connections of whole
// processes, and against requests that are served while no issuer answers.
func TestStorageHostsIssuePermitsToEntries(t *testing.T) {
	store := &memoryStore{items: map[string]jkfollow.Item{}}
	timer := jktimer.New()
	e, err := NewEntry(Settings{Host: "entry-a", Zone: "a", Zones: []string{"a", "b"}, First: true}.listening(t), store.platform(), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); e.Run(stop) }()
	t.Cleanup(func() { close(stop); <-done })
	if refused := takeError(t, e); refused == nil || !refused.Unknown {
		t.Fatalf("%v without any issuer", refused)
	}
	stops := []func(){runHost(t, "storage-a", store.platform(), timer), runHost(t, "storage-b", store.platform(), timer)}
	for _, stop := range stops {
		t.Cleanup(stop)
	}
	for end := time.Now().Add(20 * time.Second); takeError(t, e) != nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no permit within 20s")
		}
	}
	began, granted := time.Now(), 0
	for time.Since(began) < 3*time.Second {
		if refused := takeError(t, e); refused == nil {
			granted++
		} else if refused.RetryAfter <= 0 {
			t.Fatalf("refusal %v names no time", refused)
		}
		time.Sleep(time.Millisecond)
	}
	if most := 20*time.Since(began).Seconds() + 10 + 1; granted == 0 || float64(granted) > most {
		t.Errorf("%d permits in 3s, want some and at most %.0f", granted, most)
	}
	t.Logf("%d permits in 3s", granted)
	for _, stop := range stops {
		stop()
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if refused := takeError(t, e); refused != nil && refused.Unknown {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the cap is still known 5s after the last issuer stopped")
		}
	}
}

// Guards against issuers that hosts choose differently, that leave a zone without one, or that
// include hosts that are leaving.
func TestIssuersAreChosenAlikeInEveryZone(t *testing.T) {
	timer, _ := jktimer.NewManual(time.Unix(1000, 0))
	choose := func(first int) []jkquota.Host {
		m := newMembers(timer)
		for i := range 40 {
			n := (first + i) % 40
			// One zone has a single storage host.
			zone := []string{"a", "b", "c"}[n%3]
			if n == 39 {
				zone = "d"
			}
			m.set(HostEntry{Host: fmt.Sprint("s", n), Addr: fmt.Sprint("addr", n), Zone: zone, Ledger: n%4 != 1, Leaving: n%4 == 2})
		}
		return m.issuers()
	}
	chosen, zones := choose(0), map[string]int{}
	for i, h := range choose(17) {
		if chosen[i] != h {
			t.Errorf("issuer %d is %v and %v", i, chosen[i], h)
		}
		var n int
		if _, err := fmt.Sscanf(h.Name, "s%d", &n); err != nil || n%4 == 1 || n%4 == 2 {
			t.Errorf("%s issues permits, %v", h.Name, err)
		}
		zones[h.Zone]++
	}
	if len(chosen) != maxIssuers || len(zones) != 4 {
		t.Errorf("%d issuers in zones %v", len(chosen), zones)
	}
}

// Guards against a storage host that issues no permits where the store names another address for it than
// its own, and against one that goes on after another host has got its name.
func TestStorageHostAtATranslatedAddressIssues(t *testing.T) {
	entry := func(addr string) Change {
		return Change{Host: &HostEntry{Host: "a", Zone: "a", Addr: addr, Ledger: true}}
	}
	entries := map[string]Change{"translated": entry("198.51.100.1:1"), "replaced": entry("198.51.100.2:1")}
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Zones: []string{"a"}, Folder: memoryFolder(t)}.listening(t), scriptedPlatform(entries), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop := make(chan struct{})
		close(stop)
		s.Run(stop)
	})
	s.listOnce.Do(func() { close(s.hostsListed) })
	for i, c := range []struct {
		key  string
		want int
	}{{"translated", 1}, {"replaced", 0}} {
		s.apply(context.Background(), jkfollow.Item{Key: c.key, Revision: int64(i + 1)})
		clock.Advance(issuerDelay)
		if got := len(s.permits.issuers()); got != c.want {
			t.Errorf("%d issuers with the entry %q, want %d", got, c.key, c.want)
		}
	}
}

// Guards against a storage host that issues permits before it knows the others, or after it was
// taken out of use.
func TestStorageHostIssuesOnlyWhileItIsListed(t *testing.T) {
	timer, clock := jktimer.NewManual(time.Unix(1000, 0))
	entries := map[string]Change{}
	s, err := NewStorage(Settings{Host: "a", Zone: "a", Zones: []string{"a", "b"}, Folder: memoryFolder(t)}.listening(t), scriptedPlatform(entries), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop := make(chan struct{})
		close(stop)
		s.Run(stop)
	})
	own := HostEntry{Host: "a", Zone: "a", Addr: s.settings.Inner, Ledger: true}
	leaving := own
	leaving.Leaving = true
	entries["a"], entries["leaving"] = Change{Host: &own}, Change{Host: &leaving}
	entries["b"] = Change{Host: &HostEntry{Host: "b", Zone: "b", Addr: "127.0.0.1:1", Ledger: true}}
	expect := func(when string, want int) {
		t.Helper()
		if got := len(s.permits.issuers()); got != want {
			t.Errorf("%d issuers %s, want %d", got, when, want)
		}
	}
	s.apply(context.Background(), jkfollow.Item{Key: "a", Revision: 1})
	s.apply(context.Background(), jkfollow.Item{Key: "b", Revision: 2})
	clock.Advance(issuerDelay)
	expect("without a complete list", 0)
	s.listOnce.Do(func() { close(s.hostsListed) })
	expect("with a list", 2)
	s.members.remove("a")
	expect("after the removal", 0)
	s.apply(context.Background(), jkfollow.Item{Key: "a", Revision: 3})
	expect("right after the return", 0)
	clock.Advance(issuerDelay)
	expect("a while after the return", 2)
	s.apply(context.Background(), jkfollow.Item{Key: "leaving", Revision: 4})
	expect("while leaving", 0)
}

// Guards against a host that is alone in being cut off and issues on while the others have taken over
// its part, and against issuers that stop during an outage of the store or a cut of their whole zone.
func TestHostThatMayBeRemovedStopsIssuing(t *testing.T) {
	self := Settings{Host: "a1", Zone: "a"}
	issuers := []jkquota.Host{{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "b1", Zone: "b"}}
	for _, c := range []struct {
		what    string
		age     time.Duration
		reaches string
		want    bool
	}{
		{"alone in being cut off", issuerStaleAfter, "", true},
		{"cut off for a short time", issuerStaleAfter - time.Second, "", false},
		{"cut off with its zone", issuerStaleAfter, "a2", false},
		{"cut off from its zone", issuerStaleAfter, "b1", true},
		{"without the store", issuerStaleAfter, "a2 b1", false},
	} {
		if got := mayBeRemoved(c.age, self, issuers, func(host string) bool { return strings.Contains(c.reaches, host) }); got != c.want {
			t.Errorf("%s: may be removed is %v", c.what, got)
		}
	}
	if issuerStaleAfter >= removeAfter {
		t.Error("an issuer stops later than it may be removed")
	}
}

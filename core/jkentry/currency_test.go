package jkentry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jktimer"
)

// keyedStore is a store that holds rules with workspaces only.
type keyedStore struct {
	revision atomic.Int64
	down     atomic.Bool
}

func (s *keyedStore) item() jkfollow.Item {
	return jkfollow.Item{Key: "op/config", Revision: s.revision.Load()}
}

// platform adds the rules to a platform. Revision 3 of the rules can't be read.
func (s *keyedStore) platform(p Platform) Platform {
	p.RulesKey = "op/config"
	p.ReadRules = func(context.Context) (jkfollow.Item, bool, error) {
		if s.down.Load() {
			return jkfollow.Item{}, false, errors.New("the store is down")
		}
		return s.item(), true, nil
	}
	rules, decode := p.RulesKey, p.Decode
	p.Decode = func(item jkfollow.Item) (Change, error) {
		switch {
		case item.Key != rules:
			return decode(item)
		case item.Revision == 3:
			return Change{}, &UnreadableError{Key: item.Key, Detail: "not JSON"}
		}
		c, err := decode(jkfollow.Item{Key: "rules"})
		base := c.Rules
		key := jkruleset.HashKey(fmt.Sprint("key-", item.Revision))
		c.Rules = jkruleset.NewSet(item.Revision, base.Limits(), nil, nil).
			WithWorkspaces([]*jkruleset.Workspace{jkruleset.NewWorkspace(jkruleset.WorkspaceConfig{Name: "w", Keys: []jkruleset.KeyHash{key}})})
		return c, err
	}
	return p
}

// keyedEntry is an entry on a clock of the test, whose store holds rules with workspaces.
type keyedEntry struct {
	*Entry
	t     *testing.T
	store *keyedStore
	clock *jktimer.Manual
}

func newKeyedEntry(t *testing.T, bound time.Duration) *keyedEntry {
	t.Helper()
	k := &keyedEntry{t: t, store: &keyedStore{}}
	k.store.revision.Store(1)
	var timer *jktimer.Service
	timer, k.clock = jktimer.NewManual(stopBegins)
	const endpoint = "127.0.0.1:1"
	e, err := NewEntry(Settings{Host: "entry-a", Zone: "a", Zones: []string{"a"}, Revocation: bound}.listening(t),
		k.store.platform(stopTestPlatform([]string{endpoint})), timer, jklog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	k.Entry = e
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); e.rulesWatch.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		for _, end := range e.closers {
			end()
		}
	})
	k.clock.Advance(2 * startTimeout)
	e.apply(jkfollow.Item{Key: endpoint, Revision: 1})
	e.apply(k.store.item())
	k.await("the rules are confirmed", e.rulesWatch.MayDeny)
	return k
}

// await lets time pass until a state is reached.
func (k *keyedEntry) await(what string, reached func() bool) {
	k.t.Helper()
	eventually(k.t, what, func() bool {
		if reached() {
			return true
		}
		k.clock.Advance(20 * time.Millisecond)
		return false
	})
}

// Guards against an entry that serves removed keys, denies added ones or takes new connections while it
// can't know the newest rules, against one that doesn't come back, and against one that doesn't answer
// other hosts.
func TestEntryRefusesKeysUnlessItsRulesAreCurrent(t *testing.T) {
	k := newKeyedEntry(t, 5*time.Second)
	c := k.currency()
	check := func(when string, serve, deny, ready bool) {
		t.Helper()
		if s, d, r := c.MayServe(), c.MayDeny(), k.Ready(); s != serve || d != deny || r != ready {
			t.Errorf("%s: serve %t, deny %t, ready %t, want %t, %t, %t", when, s, d, r, serve, deny, ready)
		}
	}
	check("confirmed", true, true, true)
	var answer jkfollow.RulesAnswer
	err := k.peers.Call(t.Context(), k.settings.Inner, jkfollow.TypeRulesConfirm, &jkfollow.RulesRequest{Revision: 1}, &answer)
	if err != nil || answer.Revision != 1 || answer.Item != nil {
		t.Errorf("another host is answered %+v, error %v", answer, err)
	}
	k.store.down.Store(true)
	k.clock.Suspend(2500 * time.Millisecond)
	check("after 2.5 s", true, false, true)
	k.clock.Suspend(time.Second)
	check("after 3.5 s", true, false, false)
	k.clock.Suspend(time.Second)
	check("after 4.5 s", false, false, false)
	k.store.down.Store(false)
	k.await("the rules are confirmed again", c.MayDeny)
	check("confirmed again", true, true, true)
}

// Guards against an entry that refuses keys without a bound, and against one that denies by rules of any
// age.
func TestEntryWithoutBoundServesByOldRules(t *testing.T) {
	k := newKeyedEntry(t, 0)
	c := k.currency()
	k.store.down.Store(true)
	k.clock.Suspend(time.Hour)
	if !c.MayServe() || c.MayDeny() || !k.Ready() {
		t.Errorf("serve %t, deny %t, ready %t after an hour, want true, false, true", c.MayServe(), c.MayDeny(), k.Ready())
	}
}

// Guards against rules that a read has shown and that wait for the watch, against a confirmation that
// counts before they are in force, and against an outage by rules that can't be used.
func TestReadPutsNewerRulesIntoForce(t *testing.T) {
	k := newKeyedEntry(t, 5*time.Second)
	k.store.revision.Store(2)
	k.await("revision 2", func() bool { return k.rulesWatch.InForce() == 2 })
	if k.rules.Load().Workspace(jkruleset.HashKey("key-2")) == nil || k.rules.Load().Workspace(jkruleset.HashKey("key-1")) != nil {
		t.Error("revision 2 counts as in force, and its rules aren't")
	}
	k.apply(k.store.item())
	k.store.revision.Store(3)
	k.await("revision 3", func() bool { return k.rulesWatch.InForce() == 3 })
	k.await("the rules are confirmed", k.rulesWatch.MayDeny)
	if got := k.rules.Load().Version(); got != 2 {
		t.Errorf("version %d is in force beside rules that can't be read, want 2", got)
	}
	if n := k.metrics.GetOrCreateCounter(`jk_store_changes_ignored_total{reason="older"}`).Get(); n != 0 {
		t.Errorf("%d changes count as older, though they are those in force", n)
	}
}

package jkentry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jkfollow"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// memoryStore is an in-memory stand-in for the platform's store that holds host entries only.
type memoryStore struct {
	mu       sync.Mutex
	revision int64
	events   []jkfollow.Item
	items    map[string]jkfollow.Item
}

func (m *memoryStore) write(host string, next *HostEntry) {
	m.revision++
	item := jkfollow.Item{Key: host, Revision: m.revision, Deleted: next == nil}
	delete(m.items, host)
	if next != nil {
		// Encoding can't fail: a host entry has only strings and booleans.
		item.Value, _ = json.Marshal(next)
		m.items[host] = item
	}
	m.events = append(m.events, item)
}

func (m *memoryStore) hosts() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, host := range []string{"entry-a", "entry-b", "storage-a", "storage-b"} {
		item, ok := m.items[host]
		var e HostEntry
		if ok && json.Unmarshal(item.Value, &e) == nil && !e.Removed {
			out = append(out, host)
		}
	}
	return strings.Join(out, " ")
}

func (m *memoryStore) list(context.Context, string) (jkfollow.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := jkfollow.Page{Revision: m.revision}
	for _, item := range m.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (m *memoryStore) watch(_ context.Context, _ string, after int64, wait time.Duration) (jkfollow.Page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		m.mu.Lock()
		page := jkfollow.Page{Revision: m.revision}
		for _, item := range m.events {
			if item.Revision > after {
				page.Items = append(page.Items, item)
			}
		}
		m.mu.Unlock()
		if len(page.Items) > 0 || time.Now().After(end) {
			return page, nil
		}
	}
}

func (m *memoryStore) platform() Platform {
	return Platform{
		Source: jkfollow.Source{List: m.list, Watch: m.watch},
		Decode: func(item jkfollow.Item) (Change, error) {
			if item.Deleted {
				return Change{RemovedHost: item.Key}, nil
			}
			var h HostEntry
			return Change{Host: &h}, json.Unmarshal(item.Value, &h)
		},
		PutHost: func(_ context.Context, e HostEntry) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.write(e.Host, &e)
			return nil
		},
		SwapHost: func(_ context.Context, host string, next *HostEntry, revision int64) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.items[host].Revision != revision {
				return &EntryChangedError{Host: host, Revision: revision}
			}
			m.write(host, next)
			return nil
		},
	}
}

// runHost runs an entry or a storage, by its name's prefix, until the returned function is
// called.
func runHost(t *testing.T, name string, p Platform, timer *jktimer.Service) (stop func()) {
	t.Helper()
	role, zone, _ := strings.Cut(name, "-")
	s := Settings{Host: name, Zone: zone, Zones: []string{"a", "b"}, First: true}.listening(t)
	var run func(stop <-chan struct{})
	if role == "storage" {
		s.Folder = t.TempDir()
		host, err := NewStorage(s, p, timer, jklog.Discard())
		if err != nil {
			t.Fatal(err)
		}
		run = host.Run
	} else {
		host, err := NewEntry(s, p, timer, jklog.Discard())
		if err != nil {
			t.Fatal(err)
		}
		run = host.Run
	}
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); run(stopping) }()
	var once sync.Once
	return func() { once.Do(func() { close(stopping) }); <-done }
}

// Guards against entries of stopped hosts that stay in the store, and against the removal of
// running hosts' entries. It runs whole processes, with prober, follower and registry.
func TestFleetRemovesTheEntryOfAStoppedHost(t *testing.T) {
	store := &memoryStore{items: map[string]jkfollow.Item{}}
	timer, clock := jktimer.NewManual(time.Now())
	stopClock := make(chan struct{})
	var clockDone sync.WaitGroup
	clockDone.Add(1)
	go func() {
		defer clockDone.Done()
		for {
			select {
			case <-stopClock:
				return
			default:
				// Five times real time, which leaves probes enough time to be answered.
				clock.Advance(50 * time.Millisecond)
				time.Sleep(10 * time.Millisecond)
			}
		}
	}()
	defer clockDone.Wait()
	defer close(stopClock)
	stops := map[string]func(){}
	for _, name := range []string{"entry-a", "entry-b", "storage-a", "storage-b"} {
		stops[name] = runHost(t, name, store.platform(), timer)
		defer stops[name]()
	}
	pass := func(d time.Duration) {
		end := timer.Now().Add(d)
		for timer.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	pass(3 * time.Second)
	stops["storage-b"]()
	pass(removeAfter - 2*time.Second)
	if got := store.hosts(); got != "entry-a entry-b storage-a storage-b" {
		t.Errorf("hosts are %q before removeAfter has passed", got)
	}
	// On a busy machine, late answers to probes restart the observation.
	const want = "entry-a entry-b storage-a"
	for range 30 {
		if store.hosts() == want {
			break
		}
		pass(refuteTimeout)
	}
	if got := store.hosts(); got != want {
		t.Errorf("hosts are %q, want those that run", got)
	}
}

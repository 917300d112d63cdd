package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
// Each answer takes answerDelay.
type store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision int64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// answerDelay is the time of one answer in the sheets of the users.
const answerDelay = 4 * time.Millisecond

// pageSize is the page size of the project's own stand-in in platform/jksoak.
const pageSize = 8

// maxEvents bounds the history. It covers far more than the 20 s of the sheets.
const maxEvents = 20000

func newStore() *store {
	return &store{items: map[string]storeItem{}, revision: 1, changed: make(chan struct{})}
}

// put writes a key as the operator or a server does; a nil value removes it.
func (s *store) put(key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data)
}

// write changes one key. The caller holds the lock.
func (s *store) write(key string, value []byte) {
	known, ok := s.items[key]
	if !ok && value == nil {
		return
	}
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if ok {
		item.Created = known.Created
	}
	if item.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.events = append(s.events, item)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// keys returns the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.get(w, r)
	case r.URL.Path == "/v1/kv-range":
		s.list(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/v1/kv-txn" && r.Method == http.MethodPost:
		s.txn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		time.Sleep(answerDelay)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"key": item.Key, "value": item.Value, "revision": item.Revision, "created_rev": item.Created, "lease": 0, "as_of": revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := map[string]any{"as_of": s.revision, "more_pages": len(keys) > pageSize}
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	page["items"] = items
	s.mu.Unlock()
	answer(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var m struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Remove []string `json:"remove"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range m.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			items := []storeItem{}
			for _, e := range m.ExpectedRev {
				if item, ok := s.items[e.Key]; ok {
					items = append(items, item)
				}
			}
			s.mu.Unlock()
			time.Sleep(answerDelay)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
			return
		}
	}
	for _, one := range m.Writes {
		s.write(one.Key, one.Value)
	}
	for _, key := range m.Remove {
		s.write(key, nil)
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"revision": revision})
}

// answer sends a JSON body after the time of one answer.
func answer(w http.ResponseWriter, v any) {
	time.Sleep(answerDelay)
	w.Header().Set("Content-Type", "application/json")
	// The write fails if the caller has left.
	_ = json.NewEncoder(w).Encode(v)
}

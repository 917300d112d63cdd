package jkstandin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"jasmineknot.example/core/jkplatform"
)

// platformBodyLimit bounds a request body in bytes: a value of the largest size
// in base64 with its key.
const platformBodyLimit = 2 << 20

// platformStore is the table of records. The order of writes is kept, so that a
// watch needn't scan the whole table.
type platformStore struct {
	version uint64
	records map[string]jkplatform.Record
	log     []platformChange
}

type platformChange struct {
	version uint64
	key     string
}

func (s *platformStore) put(key string, value []byte) jkplatform.Record {
	s.version++
	r := jkplatform.Record{Key: key, Value: value, Version: s.version}
	s.records[key] = r
	s.log = append(s.log, platformChange{version: s.version, key: key})
	return r
}

// after returns the records under prefix whose version is above the given one.
func (s *platformStore) after(prefix string, version uint64) []jkplatform.Record {
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > version })
	var found []jkplatform.Record
	for _, c := range s.log[from:] {
		r := s.records[c.key]
		if strings.HasPrefix(c.key, prefix) && r.Version == c.version {
			found = append(found, r)
		}
	}
	return found
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	record, ok := p.store.records[key]
	p.mu.Unlock()
	if !ok {
		platformFail(w, http.StatusNotFound, jkplatform.CodeNotFound, key, jkplatform.Record{})
		return
	}
	platformAnswer(w, record)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	answer := jkplatform.ListResponse{Position: p.store.version}
	for key, record := range p.store.records {
		if strings.HasPrefix(key, prefix) {
			answer.Records = append(answer.Records, record)
		}
	}
	p.mu.Unlock()
	sort.Slice(answer.Records, func(i, j int) bool { return answer.Records[i].Key < answer.Records[j].Key })
	platformAnswer(w, answer)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	body, ok := platformWriteBody(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	present, exists := p.store.records[body.Key]
	var written jkplatform.Record
	if !exists {
		written = p.store.put(body.Key, body.Value)
		p.wake()
	}
	p.mu.Unlock()
	if exists {
		platformFail(w, http.StatusConflict, jkplatform.CodeExists, body.Key, present)
		return
	}
	p.answerWrite(w, jkplatform.Record{Key: written.Key, Version: written.Version})
}

func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	body, ok := platformWriteBody(w, r)
	if !ok {
		return
	}
	p.mu.Lock()
	present, exists := p.store.records[body.Key]
	match := exists && present.Version == body.Version
	var written jkplatform.Record
	if match {
		written = p.store.put(body.Key, body.Value)
		p.wake()
	}
	p.mu.Unlock()
	switch {
	case !exists:
		platformFail(w, http.StatusNotFound, jkplatform.CodeNotFound, body.Key, jkplatform.Record{})
	case !match:
		platformFail(w, http.StatusConflict, jkplatform.CodeConflict, body.Key, present)
	default:
		p.answerWrite(w, jkplatform.Record{Key: written.Key, Version: written.Version})
	}
}

// watch holds the request until a record is newer, the wait is over or the
// platform goes down.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, "after: "+err.Error(), jkplatform.Record{})
		return
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, "wait_ms: "+err.Error(), jkplatform.Record{})
		return
	}
	p.countWaiting(1)
	defer p.countWaiting(-1)
	over := make(chan struct{})
	stop := p.timer.After(time.Duration(wait)*time.Millisecond, func() { close(over) })
	defer stop()
	p.await(w, r, query.Get("prefix"), after, over)
}

func (p *Platform) await(w http.ResponseWriter, r *http.Request, prefix string, after uint64, over chan struct{}) {
	for {
		if p.refused(w) {
			return
		}
		p.mu.Lock()
		answer := jkplatform.ListResponse{Records: p.store.after(prefix, after), Position: p.store.version}
		changed := p.changed
		p.mu.Unlock()
		if len(answer.Records) > 0 {
			platformAnswer(w, answer)
			return
		}
		select {
		case <-changed:
		case <-over:
			platformAnswer(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) countWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

// platformWriteBody reads and checks the body of a write; it answers itself
// when the body is wrong.
func platformWriteBody(w http.ResponseWriter, r *http.Request) (jkplatform.WriteRequest, bool) {
	var body jkplatform.WriteRequest
	if !platformReadBody(w, r, &body) {
		return body, false
	}
	if body.Key == "" || len(body.Value) > jkplatform.MaxValue {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, "key is empty or value above 1048576 bytes", jkplatform.Record{})
		return body, false
	}
	return body, true
}

func platformReadBody(w http.ResponseWriter, r *http.Request, to any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platformBodyLimit)).Decode(to); err != nil {
		platformFail(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return false
	}
	return true
}

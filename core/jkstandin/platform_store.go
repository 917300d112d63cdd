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

// platformBodyLimit bounds a request body in bytes: it has room for a key and a value
// of the largest size in base64.
const platformBodyLimit = 2 << 20

// platformStore is the table of records. It retains the order of writes, so that a
// watch needn't scan the whole table.
type platformStore struct {
	version uint64
	records map[string]jkplatform.Record
	changes []platformChange
}

// platformChange is a write: the new version and the key.
type platformChange struct {
	version uint64
	key     string
}

func (s *platformStore) put(key string, value []byte) jkplatform.Record {
	s.version++
	r := jkplatform.Record{Key: key, Value: value, Version: s.version}
	s.records[key] = r
	s.changes = append(s.changes, platformChange{version: s.version, key: key})
	return r
}

// recordsAfter returns the records under a prefix whose version is above the given one.
func (s *platformStore) recordsAfter(prefix string, version uint64) []jkplatform.Record {
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > version })
	var found []jkplatform.Record
	for _, c := range s.changes[from:] {
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
		platformError(w, http.StatusNotFound, jkplatform.CodeNotFound, key, jkplatform.Record{})
		return
	}
	platformReply(w, record)
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
	platformReply(w, answer)
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
		p.wakeWatches()
	}
	p.mu.Unlock()
	if exists {
		platformError(w, http.StatusConflict, jkplatform.CodeExists, body.Key, present)
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
		p.wakeWatches()
	}
	p.mu.Unlock()
	switch {
	case !exists:
		platformError(w, http.StatusNotFound, jkplatform.CodeNotFound, body.Key, jkplatform.Record{})
	case !match:
		platformError(w, http.StatusConflict, jkplatform.CodeConflict, body.Key, present)
	default:
		p.answerWrite(w, jkplatform.Record{Key: written.Key, Version: written.Version})
	}
}

// watch blocks the request until a record under the prefix is newer than the given
// version, the wait time has passed, or a fault refuses the call.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, "after: "+err.Error(), jkplatform.Record{})
		return
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, "wait_ms: "+err.Error(), jkplatform.Record{})
		return
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timeout := make(chan struct{})
	stop := p.timer.After(time.Duration(wait)*time.Millisecond, func() { close(timeout) })
	defer stop()
	p.awaitRecords(w, r, query.Get("prefix"), after, timeout)
}

func (p *Platform) awaitRecords(w http.ResponseWriter, r *http.Request, prefix string, after uint64, timeout chan struct{}) {
	for {
		if p.refuseByFault(w) {
			return
		}
		p.mu.Lock()
		answer := jkplatform.ListResponse{Records: p.store.recordsAfter(prefix, after), Position: p.store.version}
		changed := p.changed
		p.mu.Unlock()
		if len(answer.Records) > 0 {
			platformReply(w, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			platformReply(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) addWaiting(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Waiting += n
}

// platformWriteBody reads and validates the body of a write. For an invalid body it
// sends the error and returns false.
func platformWriteBody(w http.ResponseWriter, r *http.Request) (jkplatform.WriteRequest, bool) {
	var body jkplatform.WriteRequest
	if !platformReadBody(w, r, &body) {
		return body, false
	}
	if body.Key == "" || len(body.Value) > jkplatform.MaxValue {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, "key is empty or value above 1048576 bytes", jkplatform.Record{})
		return body, false
	}
	return body, true
}

// platformReadBody decodes a JSON body. For an invalid body it sends the error and
// returns false.
func platformReadBody(w http.ResponseWriter, r *http.Request, to any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, platformBodyLimit)).Decode(to); err != nil {
		platformError(w, http.StatusBadRequest, jkplatform.CodeInvalid, err.Error(), jkplatform.Record{})
		return false
	}
	return true
}

package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventTokens is the event_tokens of the engines in the site files.
const eventTokens = 29

// server is a stand-in for a server of the platform: a language model server, or a plain
// one.
type server struct {
	id      string
	service string
	zone    string
	model   bool
	slots   int
	addr    string
	born    int64
	rec     *record
	runs    *runs
	// answerIn is how long a plain request takes.
	answerIn time.Duration

	mu      sync.Mutex
	running int
	seq     int64
	// lineBreaks is set if the data of each event begins with a line break.
	lineBreaks bool
}

// setLineBreaks makes the data of each event begin with a line break.
func (s *server) setLineBreaks(set bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lineBreaks = set
}

// runs records which request has run where, and with which body.
type runs struct {
	mu sync.Mutex
	by map[string][]oneRun
}

type oneRun struct {
	server string
	body   string
	at     time.Time
}

func newRuns() *runs { return &runs{by: map[string][]oneRun{}} }

func (r *runs) add(id, server string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], oneRun{server: server, body: digest(body), at: time.Now()})
}

func (r *runs) of(id string) []oneRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]oneRun(nil), r.by[id]...)
}

func digest(body []byte) string { return fmt.Sprintf("%x", sha256.Sum256(body))[:16] }

func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.born = time.Now().UnixMilli()
	hs := &http.Server{Handler: s}
	go func() { _ = hs.Serve(l) }()
	return nil
}

// beat is the entry that the server writes to the store.
func (s *server) beat() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	out := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	if s.model {
		out["stage"] = "both"
		out["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return out
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	w.Header().Set("X-Instance-Id", s.id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d,100", s.running, s.slots))
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	s.rec.add("server", "%s gets %s %s, request %s, %d bytes", s.id, r.Method, r.URL.Path, id, len(body))
	switch {
	case id == "":
		s.notRun(w, id, http.StatusBadRequest)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != s.id:
		s.notRun(w, id, http.StatusMisdirectedRequest)
		return
	}
	s.runs.add(id, s.id, body)
	s.rec.add("server", "%s runs request %s, body %s", s.id, id, digest(body))
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	if s.model {
		s.stream(w, r, id)
		return
	}
	time.Sleep(s.answerIn)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

func (s *server) notRun(w http.ResponseWriter, id string, status int) {
	s.rec.add("server", "%s answers %d to request %s and doesn't run it", s.id, status, id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// eventGap is the pause between two events of a stream.
const eventGap = 5 * time.Millisecond

// eventsOf returns the number of events of a turn: what the caller allows at most.
func eventsOf(usage string) int {
	_, most, _ := strings.Cut(usage, ",")
	n, _ := strconv.Atoi(most)
	return n / eventTokens
}

// eventData is the data of one event of a turn.
func eventData(id string, n int, lineBreaks bool) string {
	data := fmt.Sprintf("%s-%d", id, n)
	if lineBreaks {
		return "\n" + data
	}
	return data
}

// stream answers a turn with its events.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flusher := http.NewResponseController(w)
	s.mu.Lock()
	lineBreaks := s.lineBreaks
	s.mu.Unlock()
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	for n := from + 1; n <= eventsOf(r.Header.Get("X-Token-Usage")); n++ {
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\n%s\n", n, encodeData(eventData(id, n, lineBreaks))); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

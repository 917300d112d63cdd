package jkload

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// fakeSite serves the callers' API like a site of one daemon. Its mode selects the
// fault that it injects.
type fakeSite struct {
	mode    string
	service *jkstandin.Service

	mu        sync.Mutex
	programs  map[string]*fakeProgram
	refused   map[string]bool                       // tokens refused once in the mode "retry later"
	responses map[string]*httptest.ResponseRecorder // by token and request id
}

type fakeProgram struct {
	turn     int
	messages []jkchat.Message
}

func newFakeSite(t *testing.T, mode string) (site *fakeSite, entry, account string) {
	timer := jktimer.New()
	site = &fakeSite{
		mode: mode, service: jkstandin.NewService(jkstandin.ServiceOptions{}, timer, jklog.Discard()),
		programs: map[string]*fakeProgram{}, refused: map[string]bool{}, responses: map[string]*httptest.ResponseRecorder{},
	}
	daemon, service := httptest.NewServer(site), httptest.NewServer(site.service)
	t.Cleanup(daemon.Close)
	t.Cleanup(service.Close)
	return site, daemon.URL, service.URL
}

func (f *fakeSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == "/v1/programs" {
		id := fmt.Sprintf("p%d", len(f.programs))
		f.programs[id] = &fakeProgram{}
		_, _ = fmt.Fprintf(w, `{"id":%q,"token":"%s/0"}`, id, id)
		return
	}
	token := r.Header.Get(headerToken)
	key := token + " " + r.Header.Get(headerRequest)
	response, repeated := f.responses[key]
	if !repeated {
		response = httptest.NewRecorder()
		f.serve(response, r, token)
		f.responses[key] = response
	}
	// Every fifth call loses its response after it ran; the retry must get the stored one.
	if len(f.responses)%5 == 0 && !repeated || f.mode == "no outcome" && strings.HasPrefix(r.URL.Path, "/v1/services/") {
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}

func (f *fakeSite) serve(w http.ResponseWriter, r *http.Request, token string) {
	id, turn, _ := strings.Cut(token, "/")
	p := f.programs[id]
	if p != nil && r.URL.Path == "/v1/programs/"+id+"/resume" {
		_, _ = fmt.Fprintf(w, `{"token":"%s/%d"}`, id, p.turn)
		return
	}
	if p == nil || turn != strconv.Itoa(p.turn) {
		writeProblem(w, http.StatusConflict, "not_run", 0)
		return
	}
	if r.URL.Path == "/v1/programs/"+id+"/cancel" {
		return
	}
	if f.mode == "retry later" && p.turn%2 == 0 && !f.refused[token] {
		f.refused[token] = true
		writeProblem(w, http.StatusServiceUnavailable, "not_run", 1)
		return
	}
	p.turn++
	if f.mode == "new home" && p.turn%3 == 1 {
		writeProblem(w, http.StatusBadGateway, "outcome_unknown", 0)
		return
	}
	w.Header().Set(headerToken, fmt.Sprintf("%s/%d", id, p.turn))
	if path, ok := strings.CutPrefix(r.URL.Path, "/v1/services/orders"); ok {
		f.serveService(w, r, path)
		return
	}
	f.serveChat(w, r, id, p)
}

func writeProblem(w http.ResponseWriter, status int, outcome string, retryAfterMS int) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"type":"test","outcome":%q,"retry_after_ms":%d}`, outcome, retryAfterMS)
}

func (f *fakeSite) serveService(w http.ResponseWriter, r *http.Request, path string) {
	body, _ := io.ReadAll(r.Body)
	runs := 1
	if f.mode == "twice" {
		runs = 2
	}
	if f.mode == "lost" {
		runs = 0
	}
	var response *httptest.ResponseRecorder
	for range runs {
		response = httptest.NewRecorder()
		f.service.ServeHTTP(response, httptest.NewRequest(r.Method, path, strings.NewReader(string(body))))
	}
	switch f.mode {
	case "lost":
		_, _ = w.Write(body)
	case "not run":
		writeProblem(w, http.StatusServiceUnavailable, "not_run", 0)
	case "unknown":
		writeProblem(w, http.StatusBadGateway, "outcome_unknown", 0)
	default:
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	}
}

func (f *fakeSite) serveChat(w http.ResponseWriter, r *http.Request, id string, p *fakeProgram) {
	var request jkchat.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.messages = append(p.messages, request.Messages...)
	n, _ := strconv.Atoi(request.Metadata[jkstandin.EngineAnswerTokensKey])
	text := jkstandin.EngineAnswer(id, p.messages, n)
	if f.mode == "wrong answer" && p.turn == 2 {
		text = jkstandin.EngineAnswer("other", p.messages, n)
	}
	message := jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(text)}
	p.messages = append(p.messages, message)
	if !request.Stream {
		_ = json.NewEncoder(w).Encode(jkchat.Completion{Choices: []jkchat.Choice{{Message: message, FinishReason: jkchat.FinishStop}}})
		return
	}
	out := jkchat.NewEventWriter(w, nil)
	write := func(e jkchat.Event, body any) {
		e.Data, _ = json.Marshal(body)
		_ = out.Write(e)
	}
	finalEvent := jkchat.Final{
		Outcome: "completed", Token: w.Header().Get(headerToken), Length: len(text), Digest: jkchat.TextDigest(text),
	}
	w.Header().Del(headerToken)
	if f.mode == "truncated" {
		text = text[:len(text)-1]
	}
	write(jkchat.Event{}, jkchat.Chunk{Choices: []jkchat.ChunkChoice{{Delta: jkchat.Delta{Content: text}}}})
	write(jkchat.Event{Name: jkchat.EventFinal}, finalEvent)
}

package jkpath

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startSite serves a site of one daemon that passes calls to an engine after a delay.
// With truncate, the stream of every call lacks its final event.
func startSite(t *testing.T, engine http.Handler, delay time.Duration, truncate bool) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"id":"p1","token":"t0"}`)
	})
	mux.HandleFunc("POST /v1/programs/p1/cancel", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerToken) != "t0" || r.Header.Get(headerRequest) == "" {
			w.WriteHeader(http.StatusConflict)
			return
		}
		time.Sleep(delay)
		answer := httptest.NewRecorder()
		engine.ServeHTTP(answer, r)
		text := contentOf(answer.Body.Bytes())
		_, _ = w.Write(bytes.TrimSuffix(answer.Body.Bytes(), []byte("data: [DONE]\n\n")))
		if !truncate {
			_, _ = fmt.Fprintf(w, "event: jasmineknot\ndata: {\"outcome\":\"completed\",\"length\":%d,\"digest\":%q}\n\n",
				len(text), jkchat.TextDigest(text))
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// contentOf returns the content of an engine's stream that has one token.
func contentOf(stream []byte) string {
	_, rest, _ := strings.Cut(string(stream), `"content":"`)
	text, _, _ := strings.Cut(rest, `"`)
	return text
}

// Guards against a measurement that misses the delay of the path, counts a truncated
// response, or leaves memory held in the engine.
func TestMeasure(t *testing.T) {
	timer := jktimer.New()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	engine := jkstandin.NewEngine(options, timer, jklog.Discard())
	server := httptest.NewServer(engine)
	defer server.Close()
	o := DefaultOptions()
	o.Engine, o.Entry = server.URL, startSite(t, engine, 20*time.Millisecond, false)
	o.Calls, o.Warmup, o.Duration, o.Concurrency = 20, 1, 100*time.Millisecond, 4
	r, err := Measure(t.Context(), o, timer)
	if err != nil {
		t.Fatal(err)
	}
	if r.Added.P50MS < 15 || r.Added.P50MS > 200 || r.Failures != 0 {
		t.Fatalf("got %+v, want about 20 ms added", r)
	}
	if r.DirectRequestsPerSecond < 2*r.PathRequestsPerSecond || r.PathRequestsPerSecond < 10 {
		t.Fatalf("got %+v", r)
	}
	for program := range engine.State().HeldTokens {
		if strings.HasPrefix(program, "direct") {
			t.Fatalf("cache held for %s", program)
		}
	}
	o.Entry = startSite(t, engine, 0, true)
	if _, err := Measure(t.Context(), o, timer); err == nil || !strings.Contains(err.Error(), "stream ended") {
		t.Fatalf("cut stream: got %v", err)
	}
	o.Engine = ""
	if _, err := Measure(t.Context(), o, timer); err == nil || !strings.HasPrefix(err.Error(), "engine:") {
		t.Fatalf("got %v", err)
	}
}

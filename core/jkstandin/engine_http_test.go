package jkstandin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// engineFixture is an engine that listens on a TCP address, with a client for it.
type engineFixture struct {
	*testing.T
	engine *Engine
	server *Server
	client *jkendpoint.Client
}

func newEngineFixture(t *testing.T) *engineFixture {
	t.Helper()
	options := DefaultEngineOptions()
	options.TimeScale = 0.02
	timer := jktimer.New()
	s := &engineFixture{T: t, engine: NewEngine(options, timer, jklog.Discard()), client: jkendpoint.New(jkendpoint.Options{})}
	server, err := Serve("127.0.0.1:0", s.engine, timer)
	if err != nil {
		t.Fatal(err)
	}
	s.server = server
	t.Cleanup(func() {
		s.client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

func discardChunk(jkchat.Chunk) error { return nil }

func newChatRequest(program string, tokens int, texts ...string) jkendpoint.ChatRequest {
	r := jkendpoint.ChatRequest{Program: program, RequestID: program + "-r", Request: jkchat.Request{
		Model: "standin-model", Metadata: map[string]string{EngineAnswerTokensKey: fmt.Sprint(tokens)},
	}}
	for _, text := range texts {
		r.Request.Messages = append(r.Request.Messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
	}
	return r
}

func (s *engineFixture) chat(r jkendpoint.ChatRequest) (jkendpoint.ChatResult, error) {
	return s.client.Chat(s.Context(), s.server.Address(), r, discardChunk)
}

// waitFor polls a condition that another goroutine brings about; it fails after 5 s.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within 5 s: %s", what)
}

// Guards against lost, repeated or mixed tokens when a stream is resumed after its
// connection was cut.
func TestEngineCutAndResume(t *testing.T) {
	s := newEngineFixture(t)
	s.engine.SetFaults(EngineFaults{CutAfterTokens: 7, CutTimes: 2})
	r := newChatRequest("p1", 30, "hello")
	text := ""
	for attempt := range 3 {
		got, err := s.chat(r)
		text += got.Message.Content.String()
		r.ResumeFrom += got.Chunks
		var uncertain *jkendpoint.UncertainError
		if attempt < 2 && (!errors.As(err, &uncertain) || !uncertain.ResponseStarted || got.Chunks != 7) {
			t.Fatalf("attempt %d: got %d chunks, %v", attempt, got.Chunks, err)
		}
		if attempt == 2 && (err != nil || got.Usage.CompletionTokens != 30) {
			t.Fatalf("resumed: got %+v, %v", got, err)
		}
	}
	if want := EngineAnswer("p1", r.Request.Messages, 30); text != want {
		t.Fatalf("got %q, want %q", text, want)
	}
	r.ResumeFrom = 3
	var status *jkendpoint.StatusError
	if _, err := s.chat(r); !errors.As(err, &status) || status.Status != 404 {
		t.Fatalf("resumed a finished stream: %v", err)
	}
	// The answer is cached as well, so the next turn prefills only its own message.
	next := newChatRequest("p1", 1)
	next.Request.Messages = append(next.Request.Messages, r.Request.Messages[0],
		jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(text)}, newChatRequest("", 0, "next").Request.Messages[0])
	got, err := s.chat(next)
	if err != nil || got.Usage.Cached() < 30 || got.Usage.PromptTokens-got.Usage.Cached() > engineBlockTokens+4 {
		t.Fatalf("second turn: %+v, %v", got.Usage, err)
	}
}

// Guards against computation that goes on after a client closed its stream, and
// against cache and suspended streams that remain after the client released them.
func TestEngineCancelAndRelease(t *testing.T) {
	s := newEngineFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	chunks := 0
	_, err := s.client.Chat(ctx, s.server.Address(), newChatRequest("p1", 100_000, fmt.Sprintf("%100d", 1)), func(jkchat.Chunk) error {
		if chunks++; chunks == 3 {
			cancel()
		}
		return nil
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	waitFor(t, "stream suspended", func() bool { return s.engine.State().Suspended == 1 })
	if st := s.engine.State(); st.Running != 0 || st.HeldTokens["p1"] == 0 {
		t.Fatalf("after the cancel: %+v", st)
	}
	if err := s.client.ReleaseCache(t.Context(), s.server.Address(), "p1"); err != nil {
		t.Fatal(err)
	}
	st, err := s.client.State(t.Context(), s.server.Address())
	if err != nil || len(st.HeldTokens) != 0 || st.Suspended != 0 {
		t.Fatalf("after the release: %+v, %v", st, err)
	}
}

// Guards against a crash that still sends a response, leaves the port open or isn't
// counted, and against an engine that doesn't restart afterwards.
func TestEngineCrash(t *testing.T) {
	s := newEngineFixture(t)
	s.engine.SetFaults(EngineFaults{CrashMarker: "poison", CrashDownMS: 10_000})
	other := make(chan error)
	started := make(chan struct{})
	go func() {
		first := true
		_, err := s.client.Chat(t.Context(), s.server.Address(), newChatRequest("p1", 100_000, "long"), func(jkchat.Chunk) error {
			if first {
				close(started)
			}
			first = false
			return nil
		})
		other <- err
	}()
	<-started
	var uncertain *jkendpoint.UncertainError
	if _, err := s.chat(newChatRequest("p2", 5, "a poison b")); !errors.As(err, &uncertain) || uncertain.ResponseStarted || uncertain.Reused {
		t.Fatalf("crashing request: %v", err)
	}
	if err := <-other; !errors.As(err, &uncertain) || !uncertain.ResponseStarted {
		t.Fatalf("other request: %v", err)
	}
	var refused *jkendpoint.NotSentError
	waitFor(t, "connection refused", func() bool {
		_, err := s.chat(newChatRequest("p3", 5, "fine"))
		return errors.As(err, &refused)
	})
	waitFor(t, "engine is back", func() bool {
		_, err := s.chat(newChatRequest("p3", 5, "fine"))
		return err == nil
	})
	if n := s.engine.Account().Crashes; n != 1 {
		t.Fatalf("got %d crashes", n)
	}
}

// Guards against KV blocks that are lost between export and import, and against a
// refused order whose error lacks the current fencing token.
func TestEngineKVAndFencing(t *testing.T) {
	a, b := newEngineFixture(t), newEngineFixture(t)
	r := newChatRequest("p1", 5, fmt.Sprintf("%1000d", 1))
	if _, err := a.chat(r); err != nil {
		t.Fatal(err)
	}
	kv, err := a.client.ExportKV(t.Context(), a.server.Address(), "p1")
	if err != nil {
		t.Fatal(err)
	}
	if err := b.client.ImportKV(t.Context(), b.server.Address(), kv); err != nil {
		t.Fatal(err)
	}
	got, err := b.chat(r)
	if err != nil || got.Usage.Cached() != got.Usage.PromptTokens/engineBlockTokens*engineBlockTokens {
		t.Fatalf("got %+v, exported %d tokens, %v", got.Usage, kv.Tokens, err)
	}
	order := jkendpoint.Order{Kind: jkendpoint.OrderRole, Role: "decode", FencingToken: 5}
	if err := a.client.Order(t.Context(), a.server.Address(), order); err != nil {
		t.Fatal(err)
	}
	order.FencingToken = 4
	var fenced *jkendpoint.FencedError
	if err := a.client.Order(t.Context(), a.server.Address(), order); !errors.As(err, &fenced) || fenced.Current != 5 {
		t.Fatalf("got %v", err)
	}
	load, err := a.client.Load(t.Context(), a.server.Address())
	if err != nil || load.MaxBatch != 16 {
		t.Fatalf("got %+v, %v", load, err)
	}
	waitFor(t, "cache event", func() bool {
		page, err := a.client.CacheEvents(t.Context(), a.server.Address(), 0)
		return err == nil && len(page.Events) > 0 && page.Events[0].Program == "p1"
	})
}

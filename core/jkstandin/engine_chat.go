package jkstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkendpoint"
)

// engineCall is one chat request while its handler runs.
type engineCall struct {
	request  jkchat.Request
	sequence *engineSequence
	from     int // tokens the client has already
	life     chan struct{}
	late     time.Duration
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	limits := jkchat.DefaultLimits()
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limits.Bytes)+1))
	if err != nil {
		return // the client is gone
	}
	request, err := jkchat.ParseRequest(body, limits)
	if err != nil {
		serviceRefuse(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	call, status, code := e.open(request, r.Header)
	if call == nil {
		serviceRefuse(w, status, code, "request refused")
		return
	}
	if call.late > 0 && !e.timer.Wait(call.late, r.Context().Done()) {
		e.closeStream(call.sequence)
		return
	}
	if request.Stream {
		e.stream(w, r, call)
		return
	}
	e.answerWhole(w, r, call)
}

// open checks a request against the engine's state and queues it.
func (e *Engine) open(request jkchat.Request, h http.Header) (call *engineCall, status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse != 0 {
		return nil, e.faults.Refuse, "refused"
	}
	if !e.serves(request.Model) {
		return nil, http.StatusNotFound, jkendpoint.CodeModelNotFound
	}
	call = &engineCall{request: request, life: e.life, late: e.scaled(time.Duration(e.faults.LateMS) * time.Millisecond)}
	id := h.Get(jkendpoint.HeaderRequest)
	if from, err := strconv.Atoi(h.Get(jkendpoint.HeaderResumeFrom)); err == nil && from > 0 {
		call.from = from
		if call.sequence = e.resume(id, from); call.sequence == nil {
			return nil, http.StatusNotFound, "not_resumable"
		}
		return call, 0, ""
	}
	call.sequence = e.newSequence(request, h)
	e.account.Accepted++
	e.submit(call.sequence)
	return call, 0, ""
}

func (e *Engine) newSequence(request jkchat.Request, h http.Header) *engineSequence {
	program := h.Get(jkendpoint.HeaderProgram)
	if program == "" {
		program = request.Metadata["program_id"]
	}
	if program == "" {
		program = "none"
	}
	priority, err := strconv.Atoi(h.Get(jkendpoint.HeaderPriority))
	if err != nil {
		priority = 0
	}
	s := &engineSequence{
		id: h.Get(jkendpoint.HeaderRequest), program: program, priority: priority,
		answer: newEngineAnswer(program, request), progressed: make(chan struct{}, 1),
	}
	text := engineRender(request.Messages)
	s.tokens = engineTokens(text)
	s.prompt = engineChain(request.Model, text)
	s.answered = engineChain(request.Model, text+engineRender([]jkchat.Message{s.answer.message()}))
	s.marked = e.faults.CrashMarker != "" && strings.Contains(text, e.faults.CrashMarker)
	return s
}

// await blocks until the sequence has more than n tokens and returns how many.
// It returns false when the client is gone; a crash aborts the connection.
func (e *Engine) await(r *http.Request, call *engineCall, n int) (int, bool) {
	for {
		e.mu.Lock()
		produced := call.sequence.produced
		e.mu.Unlock()
		if produced > n || call.sequence.finishedAt(n) {
			return produced, true
		}
		select {
		case <-call.sequence.progressed:
		case <-call.life:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return 0, false
		}
	}
}

// finishedAt reports whether the first n tokens are all there will be.
func (s *engineSequence) finishedAt(n int) bool { return n >= len(s.answer.tokens) }

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, call *engineCall) {
	s := call.sequence
	w.Header().Set("Content-Type", jkchat.ContentType)
	out := jkchat.NewEventWriter(w, http.NewResponseController(w).Flush)
	cut := e.takeCut()
	for sent := call.from; !s.finishedAt(sent); {
		produced, ok := e.await(r, call, sent)
		if !ok {
			e.closeStream(s)
			return
		}
		for ; sent < produced; sent++ {
			if cut > 0 && sent-call.from >= cut {
				e.closeStream(s)
				panic(http.ErrAbortHandler)
			}
			if e.writeChunk(out, call, e.contentChunk(s, sent)) != nil {
				e.closeStream(s)
				return
			}
		}
	}
	e.finishStream(out, call)
}

// takeCut returns the number of tokens after which this stream is cut, or 0.
func (e *Engine) takeCut() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.CutAfterTokens == 0 || (f.CutTimes > 0 && e.cuts >= f.CutTimes) {
		return 0
	}
	e.cuts++
	return f.CutAfterTokens
}

func (e *Engine) contentChunk(s *engineSequence, i int) jkchat.ChunkChoice {
	delta := jkchat.Delta{Content: s.answer.tokens[i]}
	if i == 0 {
		delta.Role = jkchat.RoleAssistant
	}
	if call := s.answer.call; call != nil {
		delta.ToolCalls = []jkchat.ToolCallDelta{{ID: call.ID, Type: call.Type, Function: call.Function}}
	}
	return jkchat.ChunkChoice{Delta: delta}
}

// finishStream writes the finish reason, the usage if asked for, and the final
// event. Errors mean that the client is gone after the whole answer.
func (e *Engine) finishStream(out *jkchat.EventWriter, call *engineCall) {
	finish := call.sequence.answer.finish
	if e.writeChunk(out, call, jkchat.ChunkChoice{FinishReason: &finish}) != nil {
		return
	}
	if o := call.request.StreamOptions; o != nil && o.IncludeUsage {
		chunk := e.chunk(call)
		usage := call.sequence.usage()
		chunk.Usage = &usage
		if engineWriteJSON(out, chunk) != nil {
			return
		}
	}
	_ = out.Write(jkchat.Event{Data: []byte(jkchat.Done)})
}

func (e *Engine) chunk(call *engineCall) jkchat.Chunk {
	return jkchat.Chunk{
		ID: call.sequence.answerID(), Object: jkchat.ObjectChunk, Created: e.timer.Now().Unix(),
		Model: call.request.Model, Choices: []jkchat.ChunkChoice{},
	}
}

func (e *Engine) writeChunk(out *jkchat.EventWriter, call *engineCall, choice jkchat.ChunkChoice) error {
	chunk := e.chunk(call)
	chunk.Choices = append(chunk.Choices, choice)
	return engineWriteJSON(out, chunk)
}

func engineWriteJSON(out *jkchat.EventWriter, chunk jkchat.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return out.Write(jkchat.Event{Data: data})
}

func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, call *engineCall) {
	s := call.sequence
	if _, ok := e.await(r, call, len(s.answer.tokens)-1); !ok {
		e.closeStream(s)
		return
	}
	usage := s.usage()
	serviceReply(w, http.StatusOK, jkchat.Completion{
		ID: s.answerID(), Object: jkchat.ObjectCompletion, Created: e.timer.Now().Unix(), Model: call.request.Model,
		Choices: []jkchat.Choice{{Message: s.answer.message(), FinishReason: s.answer.finish}}, Usage: &usage,
	})
}

func (s *engineSequence) answerID() string {
	if s.id != "" {
		return "chatcmpl-" + s.id
	}
	return fmt.Sprintf("chatcmpl-%d", s.serial)
}

// usage is valid once the sequence has finished.
func (s *engineSequence) usage() jkchat.Usage {
	return jkchat.Usage{
		PromptTokens: s.tokens, CompletionTokens: len(s.answer.tokens), TotalTokens: s.tokens + len(s.answer.tokens),
		PromptDetails: &jkchat.PromptDetails{CachedTokens: s.cached},
	}
}

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

// engineCall is the state of a chat request whose handler is running.
type engineCall struct {
	request     jkchat.Request
	sequence    *engineSequence
	resumeFrom  int // number of tokens that the client has received in an earlier attempt
	crashSignal chan struct{}
	delay       time.Duration
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	limits := jkchat.DefaultLimits()
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limits.Bytes)+1))
	if err != nil {
		return // the client closed the connection
	}
	request, err := jkchat.ParseRequest(body, limits)
	if err != nil {
		serviceRefuse(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	call, status, code := e.acceptRequest(request, r.Header)
	if call == nil {
		serviceRefuse(w, status, code, "request refused")
		return
	}
	if call.delay > 0 && !e.timer.Wait(call.delay, r.Context().Done()) {
		e.closeStream(call.sequence)
		return
	}
	if request.Stream {
		e.writeStream(w, r, call)
		return
	}
	e.writeCompletion(w, r, call)
}

// acceptRequest queues a request or resumes its closed stream. For a refused request
// it returns nil with the HTTP status and the error code.
func (e *Engine) acceptRequest(request jkchat.Request, h http.Header) (call *engineCall, status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse != 0 {
		return nil, e.faults.Refuse, "refused"
	}
	if !e.serves(request.Model) {
		return nil, http.StatusNotFound, jkendpoint.CodeModelNotFound
	}
	call = &engineCall{request: request, crashSignal: e.crashSignal, delay: e.scaled(time.Duration(e.faults.LateMS) * time.Millisecond)}
	id := h.Get(jkendpoint.HeaderRequest)
	if from, err := strconv.Atoi(h.Get(jkendpoint.HeaderResumeFrom)); err == nil && from > 0 {
		call.resumeFrom = from
		if call.sequence = e.resume(id, from); call.sequence == nil {
			return nil, http.StatusNotFound, "not_resumable"
		}
		return call, 0, ""
	}
	call.sequence = e.newSequence(request, h)
	e.account.Accepted++
	e.enqueue(call.sequence)
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
		answer: newEngineAnswer(program, request), progress: make(chan struct{}, 1),
	}
	text := engineConversationText(request.Messages)
	s.promptTokens = engineTokenCount(text)
	s.promptBlocks = engineBlockDigests(request.Model, text)
	s.finalBlocks = engineBlockDigests(request.Model, text+engineConversationText([]jkchat.Message{s.answer.message()}))
	s.hasCrashMarker = e.faults.CrashMarker != "" && strings.Contains(text, e.faults.CrashMarker)
	return s
}

// awaitTokens blocks until the sequence has produced more than n tokens and returns
// their number. It returns false if the client closed the connection; a crash of the
// engine aborts the connection.
func (e *Engine) awaitTokens(r *http.Request, call *engineCall, n int) (int, bool) {
	for {
		e.mu.Lock()
		produced := call.sequence.produced
		e.mu.Unlock()
		if produced > n || call.sequence.finishedAt(n) {
			return produced, true
		}
		select {
		case <-call.sequence.progress:
		case <-call.crashSignal:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return 0, false
		}
	}
}

// finishedAt reports whether the answer has no more than n tokens.
func (s *engineSequence) finishedAt(n int) bool { return n >= len(s.answer.tokens) }

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, call *engineCall) {
	s := call.sequence
	w.Header().Set("Content-Type", jkchat.ContentType)
	out := jkchat.NewEventWriter(w, http.NewResponseController(w).Flush)
	cut := e.cutPosition()
	for sent := call.resumeFrom; !s.finishedAt(sent); {
		produced, ok := e.awaitTokens(r, call, sent)
		if !ok {
			e.closeStream(s)
			return
		}
		for ; sent < produced; sent++ {
			if cut > 0 && sent-call.resumeFrom >= cut {
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

// cutPosition returns the number of tokens after which this stream is cut, or 0 if it
// isn't, and counts a cut against CutTimes.
func (e *Engine) cutPosition() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.faults
	if f.CutAfterTokens == 0 || (f.CutTimes > 0 && e.cutStreams >= f.CutTimes) {
		return 0
	}
	e.cutStreams++
	return f.CutAfterTokens
}

func (e *Engine) contentChunk(s *engineSequence, i int) jkchat.ChunkChoice {
	delta := jkchat.Delta{Content: s.answer.tokens[i]}
	if i == 0 {
		delta.Role = jkchat.RoleAssistant
	}
	if call := s.answer.toolCall; call != nil {
		delta.ToolCalls = []jkchat.ToolCallDelta{{ID: call.ID, Type: call.Type, Function: call.Function}}
	}
	return jkchat.ChunkChoice{Delta: delta}
}

// finishStream writes the finish reason, the usage if requested, and the final event.
// Write errors are ignored: they mean that the client closed the connection after it
// was sent the complete answer.
func (e *Engine) finishStream(out *jkchat.EventWriter, call *engineCall) {
	finish := call.sequence.answer.finishReason
	if e.writeChunk(out, call, jkchat.ChunkChoice{FinishReason: &finish}) != nil {
		return
	}
	if o := call.request.StreamOptions; o != nil && o.IncludeUsage {
		chunk := e.newChunk(call)
		usage := call.sequence.usage()
		chunk.Usage = &usage
		if engineWriteJSON(out, chunk) != nil {
			return
		}
	}
	_ = out.Write(jkchat.Event{Data: []byte(jkchat.Done)})
}

func (e *Engine) newChunk(call *engineCall) jkchat.Chunk {
	return jkchat.Chunk{
		ID: call.sequence.completionID(), Object: jkchat.ObjectChunk, Created: e.timer.Now().Unix(),
		Model: call.request.Model, Choices: []jkchat.ChunkChoice{},
	}
}

func (e *Engine) writeChunk(out *jkchat.EventWriter, call *engineCall, choice jkchat.ChunkChoice) error {
	chunk := e.newChunk(call)
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

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, call *engineCall) {
	s := call.sequence
	if _, ok := e.awaitTokens(r, call, len(s.answer.tokens)-1); !ok {
		e.closeStream(s)
		return
	}
	usage := s.usage()
	serviceReply(w, http.StatusOK, jkchat.Completion{
		ID: s.completionID(), Object: jkchat.ObjectCompletion, Created: e.timer.Now().Unix(), Model: call.request.Model,
		Choices: []jkchat.Choice{{Message: s.answer.message(), FinishReason: s.answer.finishReason}}, Usage: &usage,
	})
}

func (s *engineSequence) completionID() string {
	if s.id != "" {
		return "chatcmpl-" + s.id
	}
	return fmt.Sprintf("chatcmpl-%d", s.serial)
}

// usage returns the token usage. It is valid once the sequence has finished.
func (s *engineSequence) usage() jkchat.Usage {
	return jkchat.Usage{
		PromptTokens: s.promptTokens, CompletionTokens: len(s.answer.tokens), TotalTokens: s.promptTokens + len(s.answer.tokens),
		PromptDetails: &jkchat.PromptDetails{CachedTokens: s.cachedTokens},
	}
}

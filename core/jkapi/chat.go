package jkapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkmsg"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// metadataProgram is the request's metadata key that names a program.
const metadataProgram = "program_id"

// chat serves a chat-completions request.
func (a *api) chat(c echo.Context) error {
	start := a.Timer.Now()
	m, problem := a.readHeaders(c)
	model := ""
	if problem == nil {
		model, problem = a.readChat(c, &m)
	}
	if problem == nil {
		if problem = a.ensureProgram(c, &m); problem != nil {
			a.observe(c, m, kindChat, start, time.Time{}, jkmsg.CallResult{Outcome: problem.Outcome, Problem: problem})
		}
	}
	if problem != nil {
		return sendProblem(c, problem)
	}
	ctx, cancel := a.requestContext(c, m)
	defer cancel()
	if m.Stream {
		return a.stream(ctx, c, m, model, start)
	}
	result := a.Call(ctx, m, func(string) error { return nil })
	a.observe(c, m, kindChat, start, a.Timer.Now(), result)
	setResultHeaders(c, result)
	if result.Problem != nil {
		return sendProblem(c, result.Problem)
	}
	c.Response().Header().Set(HeaderDigest, digest(result.Body))
	return a.writeAnswer(c, http.StatusOK, echo.MIMEApplicationJSON, result.Body)
}

// readChat reads and checks the body and returns the model's name. A request
// without id gets one from its content, so that a client library's own retry is
// recognised.
func (a *api) readChat(c echo.Context, m *jkmsg.Call) (string, *jkproblem.Problem) {
	body, problem := a.readBody(c, m.Deadline)
	if problem != nil {
		return "", problem
	}
	request, err := jkchat.ParseRequest(body, jkchat.DefaultLimits())
	if err != nil {
		return "", jkproblem.From(err)
	}
	m.Kind = jkprogram.KindModel
	m.Chat = body
	m.Stream = request.Stream
	if m.Program == "" {
		m.Program = request.Metadata[metadataProgram]
	}
	if m.RequestID == "" {
		m.RequestID = "content-" + digest(body)
	}
	return request.Model, nil
}

// ensureProgram creates a program for a chat request that names none.
func (a *api) ensureProgram(c echo.Context, m *jkmsg.Call) *jkproblem.Problem {
	if m.Program != "" || m.Token != "" {
		return nil
	}
	h := c.Request().Header
	template := h.Get(HeaderTemplate)
	if template == "" {
		template = defaultTemplate
	}
	r := a.Create(c.Request().Context(), jkmsg.Create{
		Workspace: h.Get(HeaderWorkspace), Template: template, RequestID: m.RequestID,
	})
	if r.Problem != nil {
		return r.Problem
	}
	m.Program = r.Programs[0].Program
	return nil
}

// streamWriter sends one streamed answer to the caller.
type streamWriter struct {
	c          echo.Context
	events     *jkchat.EventWriter
	id         string
	created    int64
	model      string
	text       strings.Builder
	started    bool
	firstWrite time.Time
	now        func() time.Time
}

func (a *api) stream(ctx context.Context, c echo.Context, m jkmsg.Call, model string, start time.Time) error {
	s := &streamWriter{c: c, model: model, id: "chatcmpl-" + digest([]byte(m.Program+m.RequestID)), created: start.Unix(), now: a.Timer.Now}
	result := a.Call(ctx, m, s.writeText)
	a.observe(c, m, kindChat, start, s.firstWrite, result)
	if result.Problem != nil && !s.started {
		setResultHeaders(c, result)
		return sendProblem(c, result.Problem)
	}
	// A failed write means that the caller has disconnected and can't get the error.
	_ = s.finish(result)
	return nil
}

// start sends the headers and the first event.
func (s *streamWriter) start() error {
	if s.started {
		return nil
	}
	s.started = true
	s.firstWrite = s.now()
	response := s.c.Response()
	response.Header().Set(echo.HeaderContentType, jkchat.ContentType)
	response.Header().Set("Cache-Control", "no-store")
	response.WriteHeader(http.StatusOK)
	s.events = jkchat.NewEventWriter(response, http.NewResponseController(response).Flush)
	return s.writeChunk(jkchat.Delta{Role: jkchat.RoleAssistant}, nil, nil)
}

func (s *streamWriter) writeText(text string) error {
	if err := s.start(); err != nil {
		return err
	}
	s.text.WriteString(text)
	return s.writeChunk(jkchat.Delta{Content: text}, nil, nil)
}

func (s *streamWriter) writeChunk(d jkchat.Delta, finish *jkchat.FinishReason, usage *jkchat.Usage) error {
	return s.writeEvent("", jkchat.Chunk{
		ID: s.id, Object: jkchat.ObjectChunk, Created: s.created, Model: s.model,
		Choices: []jkchat.ChunkChoice{{Delta: d, FinishReason: finish}}, Usage: usage,
	})
}

func (s *streamWriter) writeEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.events.Write(jkchat.Event{Name: name, Data: data})
}

// finish sends the rest of the recorded answer, the final event and the end marker.
// After a problem the end marker is left out, so that the stream does not look
// complete.
func (s *streamWriter) finish(r jkmsg.CallResult) error {
	if err := s.start(); err != nil {
		return err
	}
	if r.Problem != nil {
		return s.writeEvent(jkchat.EventFinal, s.newFinalEvent(r))
	}
	var diverged *divergedError
	if err := s.writeRemaining(r.Body); errors.As(err, &diverged) {
		r.Problem = jkproblem.New(jkproblem.TypeStreamBroken, err.Error()).WithOutcome(r.Outcome)
		return s.writeEvent(jkchat.EventFinal, s.newFinalEvent(r))
	} else if err != nil {
		return err
	}
	if err := s.writeEvent(jkchat.EventFinal, s.newFinalEvent(r)); err != nil {
		return err
	}
	return s.events.Write(jkchat.Event{Data: []byte(jkchat.Done)})
}

// newFinalEvent returns the event that describes the text that was sent.
func (s *streamWriter) newFinalEvent(r jkmsg.CallResult) any {
	f := finalEvent{Program: r.Program, Problem: r.Problem}
	f.Outcome = string(r.Outcome)
	f.Token = r.Token
	f.Length = s.text.Len()
	f.Digest = jkchat.TextDigest(s.text.String())
	return f
}

// finalEvent is the last event of a stream before the end marker. A stream without it
// is not complete.
type finalEvent struct {
	jkchat.Final
	Program string             `json:"program"`
	Problem *jkproblem.Problem `json:"problem,omitempty"`
}

// divergedError is returned when the recorded answer does not continue the text
// already sent, which happens when another attempt than the streamed one answered.
type divergedError struct {
	// sent is the length of the text already sent in bytes.
	sent int
}

func (e *divergedError) Error() string {
	return fmt.Sprintf("the recorded answer differs from the %d bytes already sent; the same request gets it whole", e.sent)
}

// writeRemaining sends the part of the recorded answer that was not streamed: the text of
// a replayed answer, tool calls, the finish reason and the usage.
func (s *streamWriter) writeRemaining(body []byte) error {
	var completion jkchat.Completion
	if err := json.Unmarshal(body, &completion); err != nil {
		return err
	}
	if len(completion.Choices) == 0 {
		return errors.New("the answer has no choice")
	}
	choice := completion.Choices[0]
	fullText := choice.Message.Content.String()
	if !strings.HasPrefix(fullText, s.text.String()) {
		return &divergedError{sent: s.text.Len()}
	}
	if len(fullText) > s.text.Len() {
		if err := s.writeText(fullText[s.text.Len():]); err != nil {
			return err
		}
	}
	var calls []jkchat.ToolCallDelta
	for i, t := range choice.Message.ToolCalls {
		calls = append(calls, jkchat.ToolCallDelta{Index: i, ID: t.ID, Type: t.Type, Function: t.Function})
	}
	finish := choice.FinishReason
	return s.writeChunk(jkchat.Delta{ToolCalls: calls}, &finish, completion.Usage)
}

// digest returns 128 bits of SHA-256 as hex.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

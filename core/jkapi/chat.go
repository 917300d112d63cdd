package jkapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	m, problem := a.base(c)
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
	ctx, cancel := a.context(c, m)
	defer cancel()
	if m.Stream {
		return a.stream(ctx, c, m, model, start)
	}
	result := a.Call(ctx, m, func(string) error { return nil })
	a.observe(c, m, kindChat, start, a.Timer.Now(), result)
	identify(c, result)
	if result.Problem != nil {
		return sendProblem(c, result.Problem)
	}
	c.Response().Header().Set(HeaderDigest, digest(result.Body))
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, result.Body)
}

// readChat reads and checks the body and returns the model's name. A request
// without id gets one from its content, so that a client library's own retry is
// recognised.
func (a *api) readChat(c echo.Context, m *jkmsg.Call) (string, *jkproblem.Problem) {
	body, problem := a.body(c)
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

// body reads a request body up to the limit.
func (a *api) body(c echo.Context) ([]byte, *jkproblem.Problem) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, a.BodyLimit+1))
	if err != nil {
		return nil, jkproblem.Newf(jkproblem.TypeBadRequest, "the body can't be read: %v", err).WithField("body")
	}
	if int64(len(body)) > a.BodyLimit {
		p := jkproblem.Newf(jkproblem.TypeBadRequest, "the body has more than %d bytes", a.BodyLimit).WithField("body")
		p.Status = http.StatusRequestEntityTooLarge
		return nil, p
	}
	return body, nil
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

// streamer writes one streamed answer.
type streamer struct {
	c       echo.Context
	events  *jkchat.EventWriter
	id      string
	created int64
	model   string
	text    strings.Builder
	begun   bool
	first   time.Time
	now     func() time.Time
}

func (a *api) stream(ctx context.Context, c echo.Context, m jkmsg.Call, model string, start time.Time) error {
	s := &streamer{c: c, model: model, id: "chatcmpl-" + digest([]byte(m.Program+m.RequestID)), created: start.Unix(), now: a.Timer.Now}
	result := a.Call(ctx, m, s.write)
	a.observe(c, m, kindChat, start, s.first, result)
	if result.Problem != nil && !s.begun {
		identify(c, result)
		return sendProblem(c, result.Problem)
	}
	// A failed write means that the caller is gone; there is nobody to tell.
	_ = s.end(result)
	return nil
}

// begin sends the headers and the first event.
func (s *streamer) begin() error {
	if s.begun {
		return nil
	}
	s.begun = true
	s.first = s.now()
	response := s.c.Response()
	response.Header().Set(echo.HeaderContentType, jkchat.ContentType)
	response.Header().Set("Cache-Control", "no-store")
	response.WriteHeader(http.StatusOK)
	s.events = jkchat.NewEventWriter(response, http.NewResponseController(response).Flush)
	return s.chunk(jkchat.Delta{Role: jkchat.RoleAssistant}, nil, nil)
}

func (s *streamer) write(text string) error {
	if err := s.begin(); err != nil {
		return err
	}
	s.text.WriteString(text)
	return s.chunk(jkchat.Delta{Content: text}, nil, nil)
}

func (s *streamer) chunk(d jkchat.Delta, finish *jkchat.FinishReason, usage *jkchat.Usage) error {
	return s.send("", jkchat.Chunk{
		ID: s.id, Object: jkchat.ObjectChunk, Created: s.created, Model: s.model,
		Choices: []jkchat.ChunkChoice{{Delta: d, FinishReason: finish}}, Usage: usage,
	})
}

func (s *streamer) send(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.events.Write(jkchat.Event{Name: name, Data: data})
}

// end sends what the text lacks, the final event and the end marker. After a
// problem the end marker is left out, so that the stream does not look whole.
func (s *streamer) end(r jkmsg.CallResult) error {
	if err := s.begin(); err != nil {
		return err
	}
	if r.Problem != nil {
		return s.send(jkchat.EventFinal, s.final(r))
	}
	var diverged *divergedError
	if err := s.rest(r.Body); errors.As(err, &diverged) {
		r.Problem = jkproblem.New(jkproblem.TypeStreamBroken, err.Error()).WithOutcome(r.Outcome)
		return s.send(jkchat.EventFinal, s.final(r))
	} else if err != nil {
		return err
	}
	if err := s.send(jkchat.EventFinal, s.final(r)); err != nil {
		return err
	}
	return s.events.Write(jkchat.Event{Data: []byte(jkchat.Done)})
}

// final describes the text that was sent.
func (s *streamer) final(r jkmsg.CallResult) any {
	f := finalEvent{Program: r.Program, Problem: r.Problem}
	f.Outcome = string(r.Outcome)
	f.Token = r.Token
	f.Length = s.text.Len()
	f.Digest = jkchat.TextDigest(s.text.String())
	return f
}

// finalEvent is the last event of a stream before the end marker. A stream
// without it is not whole.
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

// rest sends the part of the recorded answer that was not streamed: the text of
// a replayed answer, tool calls, the finish reason and the usage.
func (s *streamer) rest(body []byte) error {
	var completion jkchat.Completion
	if err := json.Unmarshal(body, &completion); err != nil {
		return err
	}
	if len(completion.Choices) == 0 {
		return errors.New("the answer has no choice")
	}
	choice := completion.Choices[0]
	whole := choice.Message.Content.String()
	if !strings.HasPrefix(whole, s.text.String()) {
		return &divergedError{sent: s.text.Len()}
	}
	if len(whole) > s.text.Len() {
		if err := s.write(whole[s.text.Len():]); err != nil {
			return err
		}
	}
	var calls []jkchat.ToolCallDelta
	for i, t := range choice.Message.ToolCalls {
		calls = append(calls, jkchat.ToolCallDelta{Index: i, ID: t.ID, Type: t.Type, Function: t.Function})
	}
	finish := choice.FinishReason
	return s.chunk(jkchat.Delta{ToolCalls: calls}, &finish, completion.Usage)
}

// digest returns 128 bits of SHA-256 as hex.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

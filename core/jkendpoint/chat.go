package jkendpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkchat"
)

// Headers of a chat call to an engine.
const (
	HeaderProgram    = "X-Program-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
)

// ChatRequest is one model call.
type ChatRequest struct {
	Request    jkchat.Request
	Program    string
	RequestID  string
	Priority   int // higher runs first
	ResumeFrom int // content chunks already received of the same request id
	Repeatable bool
	Header     http.Header
}

// ChatResult is the response to a model call. With an error it holds what had arrived
// until then.
type ChatResult struct {
	ID           string
	Message      jkchat.Message
	FinishReason jkchat.FinishReason
	Usage        jkchat.Usage
	Chunks       int // content chunks received
}

// Chat runs a model call as a stream and passes each chunk to emit. It returns without
// error only if the stream was complete. An error of emit cancels the call and is wrapped
// in the returned *UncertainError. A cancelled context closes the connection, which makes
// the engine cancel the call.
func (c *Client) Chat(ctx context.Context, addr string, r ChatRequest, emit func(jkchat.Chunk) error) (ChatResult, error) {
	r.Request.Stream = true
	r.Request.StreamOptions = &jkchat.StreamOptions{IncludeUsage: true}
	body, err := json.Marshal(r.Request)
	if err != nil {
		return ChatResult{}, &NotSentError{Addr: addr, Err: eris.Wrap(err, "encode request")}
	}
	resp, a, err := c.send(ctx, outgoing{
		method: http.MethodPost, addr: addr, path: "/v1/chat/completions",
		header: r.header(), body: body, repeatable: r.Repeatable,
	})
	if err != nil {
		return ChatResult{}, err
	}
	defer a.done(resp)
	if resp.StatusCode != http.StatusOK {
		body, err := c.readBody(resp, a)
		if err != nil {
			return ChatResult{}, err
		}
		return ChatResult{}, statusError(addr, resp, body)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), jkchat.ContentType) {
		return ChatResult{}, a.failure(fmt.Errorf("answer has content type %q", resp.Header.Get("Content-Type")))
	}
	events := jkchat.NewEventReader(io.LimitReader(resp.Body, c.options.MaxStreamBytes), c.options.MaxEventBytes)
	result, err := readStream(events, a, emit)
	if err == nil && r.Repeatable {
		drain(ctx, events, a)
	}
	return result, err
}

// drainTimeout is the time an engine has to end its response after the final
// event. The connection of a slower one is closed instead of reused.
const drainTimeout = 20 * time.Millisecond

// drain reads the end of the response, without which the connection can't be reused.
func drain(ctx context.Context, events *jkchat.EventReader, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	_, _ = events.Next() // the response is complete whatever follows
}

func (r ChatRequest) header() http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set("Content-Type", "application/json")
	h.Set("Accept", jkchat.ContentType)
	for name, value := range map[string]string{HeaderProgram: r.Program, HeaderRequest: r.RequestID} {
		if value != "" {
			h.Set(name, value)
		}
	}
	for name, value := range map[string]int{HeaderPriority: r.Priority, HeaderResumeFrom: r.ResumeFrom} {
		if value != 0 {
			h.Set(name, strconv.Itoa(value))
		}
	}
	return h
}

// errStreamTruncated reports a stream that ended before its final event.
var errStreamTruncated = errors.New("stream ended before its final event")

// readStream passes each chunk to emit and assembles the response.
func readStream(events *jkchat.EventReader, a *attempt, emit func(jkchat.Chunk) error) (ChatResult, error) {
	var assembler jkchat.Assembler
	var result ChatResult
	fail := func(err error) (ChatResult, error) {
		result.fill(&assembler)
		return result, a.failure(err)
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			err = errStreamTruncated
		}
		if err != nil {
			return fail(eris.Wrap(err, "read stream"))
		}
		if string(event.Data) == jkchat.Done {
			break
		}
		chunk, err := decodeChunk(a, event.Data)
		var refused *StatusError
		if errors.As(err, &refused) {
			result.fill(&assembler)
			return result, refused
		}
		if err != nil {
			return fail(err)
		}
		if err := assembler.Add(chunk); err != nil {
			return fail(err)
		}
		if hasContent(chunk) {
			result.Chunks++
		}
		if err := emit(chunk); err != nil {
			return fail(eris.Wrap(err, "pass on chunk"))
		}
	}
	if !assembler.Finished() {
		return fail(errStreamTruncated)
	}
	result.fill(&assembler)
	return result, nil
}

func (r *ChatResult) fill(assembler *jkchat.Assembler) {
	full := assembler.Completion()
	r.ID, r.Message, r.FinishReason, r.Usage = full.ID, assembler.Message(), assembler.FinishReason(), assembler.Usage()
}

// decodeChunk decodes an event. An error object within the stream becomes a *StatusError
// with the status of the response, 200.
func decodeChunk(a *attempt, data []byte) (jkchat.Chunk, error) {
	var event struct {
		jkchat.Chunk
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return jkchat.Chunk{}, eris.Wrap(err, "decode chunk")
	}
	if len(event.Error) > 0 && string(event.Error) != "null" {
		return jkchat.Chunk{}, &StatusError{Addr: a.addr, Status: a.status, Body: event.Error}
	}
	return event.Chunk, nil
}

func hasContent(c jkchat.Chunk) bool {
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" || len(choice.Delta.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

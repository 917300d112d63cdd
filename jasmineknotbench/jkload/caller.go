package jkload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jktimer"
)

// outcome is the result of a call as reported to the caller.
type outcome string

const (
	outcomeCompleted outcome = "completed"
	outcomeFailed    outcome = "failed"
	outcomeNotRun    outcome = "not_run"
	outcomeUnknown   outcome = "outcome_unknown"
	// outcomeNone means that no attempt returned an outcome.
	outcomeNone outcome = "none"
	// outcomeAborted means that the run ended before there was an outcome.
	outcomeAborted outcome = "aborted"
)

// Headers of the caller's API.
const (
	headerProgram  = "X-Program-Id"
	headerToken    = "X-Program-Token"
	headerHistory  = "X-Program-History"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
)

// maxResponseBytes bounds the body that is read of one response.
const maxResponseBytes = 64 << 20

// call is one request of a program. All its attempts carry the same program token.
type call struct {
	method, path string
	body         []byte
	program      string
	token        string
	stream       bool
	firstEntry   int // index of the entry that the first attempt goes through
	// history is "append" if the body holds only the new messages.
	history string
}

// callResult is the result of the last attempt of a call.
type callResult struct {
	outcome    outcome
	status     int
	token      string
	program    string
	text       string // answer of a model call
	body       []byte
	message    jkchat.Message
	problem    string // type of the problem, or the last error
	retryAfter time.Duration
	firstByte  time.Duration // from the start of the successful attempt
	attempts   int
}

// caller sends calls to the entries of a site and retries them.
type caller struct {
	options Options
	timer   *jktimer.Service
	http    *http.Client
}

func newCaller(o Options, timer *jktimer.Service) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &caller{options: o, timer: timer, http: &http.Client{Transport: transport}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// do sends a call until it has an outcome or no attempts are left. Each attempt
// goes through the next entry, with the same token and request id, so that a retry
// is idempotent. Only a call that was refused as not_run with a retry time is sent
// under a new request id.
func (c *caller) do(ctx context.Context, k call) callResult {
	id := uuid.NewString()
	var a callResult
	for n := range c.options.Attempts {
		entry := c.options.Entries[(k.firstEntry+n)%len(c.options.Entries)]
		a = c.attempt(ctx, entry, id, k)
		a.attempts = n + 1
		retry := a.outcome == outcomeNone || a.outcome == outcomeNotRun && a.retryAfter > 0
		if !retry || n+1 == c.options.Attempts {
			break
		}
		if a.outcome == outcomeNotRun {
			id = uuid.NewString()
		}
		wait := a.retryAfter
		if wait <= 0 {
			wait = min(50*time.Millisecond<<n, 2*time.Second)
		}
		if !c.timer.Wait(wait, ctx.Done()) {
			break
		}
	}
	if a.outcome == outcomeNone && ctx.Err() != nil {
		a.outcome = outcomeAborted
	}
	return a
}

func (c *caller) attempt(ctx context.Context, entry, id string, k call) callResult {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	started := c.timer.Now()
	resp, err := c.send(ctx, entry, id, k)
	if err != nil {
		return callResult{outcome: outcomeNone, problem: err.Error()}
	}
	defer resp.Body.Close()
	a := callResult{status: resp.StatusCode, token: resp.Header.Get(headerToken), program: resp.Header.Get(headerProgram)}
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if k.stream && resp.StatusCode == http.StatusOK {
		err = c.readStream(body, &a, started)
	} else {
		a.body, err = io.ReadAll(body)
		a.firstByte = c.timer.Now().Sub(started)
	}
	if err != nil {
		a.outcome, a.problem = outcomeNone, err.Error()
		return a
	}
	if a.outcome == "" {
		a.classify(resp)
	}
	return a
}

func (c *caller) send(ctx context.Context, entry, id string, k call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, k.method, entry+k.path, bytes.NewReader(k.body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range map[string]string{headerProgram: k.program, headerToken: k.token, headerRequest: id, headerHistory: k.history} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if d := c.options.Deadline; d > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(d.Milliseconds(), 10))
	}
	return c.http.Do(req)
}

// readStream assembles a streamed answer. The stream is valid only if it ends with
// its final event and has the length and digest that this event announces.
func (c *caller) readStream(body io.Reader, a *callResult, started time.Time) error {
	events := jkchat.NewEventReader(body, 4<<20)
	var assembler jkchat.Assembler
	var final *jkchat.Final
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return eris.Wrap(err, "read stream")
		}
		switch {
		case event.Name == jkchat.EventFinal:
			final = &jkchat.Final{}
			if err := json.Unmarshal(event.Data, final); err != nil {
				return eris.Wrap(err, "decode final event")
			}
		case string(event.Data) == jkchat.Done:
		default:
			if a.firstByte == 0 {
				a.firstByte = c.timer.Now().Sub(started)
			}
			if err := addChunk(&assembler, event.Data); err != nil {
				return err
			}
		}
	}
	if final == nil {
		return errors.New("stream ended without its final event")
	}
	a.outcome, a.token = outcome(final.Outcome), final.Token
	a.message = assembler.Message()
	a.text = a.message.Content.String()
	if a.outcome == outcomeCompleted {
		return final.Check(a.text)
	}
	return nil
}

func addChunk(assembler *jkchat.Assembler, data []byte) error {
	var chunk jkchat.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return eris.Wrap(err, "decode chunk")
	}
	return assembler.Add(chunk)
}

// classify derives the outcome of a response that is not a stream.
func (a *callResult) classify(resp *http.Response) {
	if a.status < 300 {
		a.outcome = outcomeCompleted
		return
	}
	var problem struct {
		Type         string `json:"type"`
		Detail       string `json:"detail"`
		Outcome      string `json:"outcome"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	}
	isProblem := strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json")
	if json.Unmarshal(a.body, &problem) != nil || (!isProblem && problem.Outcome == "") {
		// A response of the service itself, passed through.
		a.outcome, a.problem = outcomeFailed, fmt.Sprintf("status %d", a.status)
		return
	}
	a.problem = strings.TrimSpace(problem.Type + " " + problem.Detail)
	a.retryAfter = time.Duration(problem.RetryAfterMS) * time.Millisecond
	switch o := outcome(problem.Outcome); o {
	case outcomeCompleted, outcomeFailed, outcomeNotRun, outcomeUnknown:
		a.outcome = o
	default: // unavailable: retry
		a.outcome = outcomeNone
	}
}

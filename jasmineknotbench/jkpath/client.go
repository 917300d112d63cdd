package jkpath

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

const (
	headerProgram = "X-Program-Id"
	headerToken   = "X-Program-Token"
	headerRequest = "X-Request-Id"
)

// client performs single calls and measures their duration.
type client struct {
	options Options
	timer   *jktimer.Service
	http    *http.Client
	runID   string // makes the prompts of each run unique
}

func newClient(o Options, timer *jktimer.Service) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: o.Concurrency, DisableCompression: true}
	return &client{options: o, timer: timer, http: &http.Client{Transport: transport}, runID: uuid.NewString()}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// newRequest builds a request that has the same size by both routes but a prompt of
// its own, so that neither call finds the prompt of the other in the cache.
func (c *client) newRequest(route string, i int) jkchat.Request {
	text := fmt.Sprintf("%s %6s %8d ", c.runID, route, i)
	text += strings.Repeat("word", max(0, c.options.PromptTokens-len(text)/4))
	return jkchat.Request{
		Model: c.options.Model, Stream: true,
		Messages: []jkchat.Message{{Role: jkchat.RoleUser, Content: jkchat.Text(text)}},
		Metadata: map[string]string{jkstandin.EngineAnswerTokensKey: strconv.Itoa(c.options.AnswerTokens)},
	}
}

// callDirect calls the engine directly, then frees the cache that the call holds.
func (c *client) callDirect(ctx context.Context, i int) (time.Duration, error) {
	program := fmt.Sprintf("direct-%s-%d", c.runID, i)
	took, err := c.streamCall(ctx, c.options.Engine, http.Header{headerProgram: {program}}, c.newRequest("direct", i), checkDirectEnd)
	if err != nil {
		return 0, err
	}
	_, _, err = c.exchange(ctx, http.MethodDelete, c.options.Engine+"/kv/"+url.PathEscape(program), nil, nil)
	return took, err
}

// callThroughSite makes the same call through the site, in a program of its own. Only
// the model call is timed.
func (c *client) callThroughSite(ctx context.Context, i int) (time.Duration, error) {
	header, body, err := c.exchange(ctx, http.MethodPost, c.options.Entry+"/v1/programs", nil,
		map[string]string{"workspace": c.options.Workspace})
	if err != nil {
		return 0, eris.Wrap(err, "create program")
	}
	var created struct {
		ID        string `json:"id"`
		ProgramID string `json:"program_id"`
		Token     string `json:"token"`
	}
	if err := json.Unmarshal(body, &created); err != nil {
		return 0, eris.Wrap(err, "decode program")
	}
	if created.ID == "" {
		created.ID = created.ProgramID
	}
	if token := header.Get(headerToken); token != "" {
		created.Token = token
	}
	h := http.Header{headerProgram: {created.ID}, headerToken: {created.Token}, headerRequest: {uuid.NewString()}}
	took, err := c.streamCall(ctx, c.options.Entry, h, c.newRequest("path", i), checkSiteEnd)
	if err != nil {
		return 0, err
	}
	_, _, err = c.exchange(ctx, http.MethodPost, c.options.Entry+"/v1/programs/"+url.PathEscape(created.ID)+"/cancel",
		http.Header{headerToken: {created.Token}}, map[string]string{})
	return took, eris.Wrap(err, "end program")
}

// streamCall performs a streamed call and returns the time until its last byte.
func (c *client) streamCall(ctx context.Context, base string, h http.Header, r jkchat.Request, checkEnd func(last jkchat.Event, text string) error) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	started := c.timer.Now()
	resp, err := c.send(ctx, http.MethodPost, base+"/v1/chat/completions", h, r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	events := jkchat.NewEventReader(resp.Body, 1<<20)
	var assembler jkchat.Assembler
	var last jkchat.Event
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, eris.Wrap(err, "read stream")
		}
		if last.Name != jkchat.EventFinal {
			last = event
		}
		if event.Name != "" || string(event.Data) == jkchat.Done {
			continue
		}
		var chunk jkchat.Chunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return 0, eris.Wrap(err, "decode chunk")
		}
		if err := assembler.Add(chunk); err != nil {
			return 0, err
		}
	}
	took := c.timer.Now().Sub(started)
	return took, checkEnd(last, assembler.Message().Content.String())
}

// checkDirectEnd checks that the stream of an engine ends with [DONE].
func checkDirectEnd(last jkchat.Event, _ string) error {
	if string(last.Data) != jkchat.Done {
		return fmt.Errorf("stream ended with %.100q", last.Data)
	}
	return nil
}

// checkSiteEnd checks the final event of a site. At most [DONE] follows it.
func checkSiteEnd(last jkchat.Event, text string) error {
	var final jkchat.Final
	if last.Name != jkchat.EventFinal {
		return fmt.Errorf("stream ended with event %q %.100q", last.Name, last.Data)
	}
	if err := json.Unmarshal(last.Data, &final); err != nil {
		return eris.Wrap(err, "decode final event")
	}
	return final.Check(text)
}

// exchange sends one request and returns the header and body of its response.
func (c *client) exchange(ctx context.Context, method, address string, h http.Header, body any) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	resp, err := c.send(ctx, method, address, h, body)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.Header, answer, err
}

// send sends one request. A status of 300 or above is an error.
func (c *client) send(ctx context.Context, method, address string, h http.Header, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	if h != nil {
		req.Header = h
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, 500))
	return nil, errors.Join(fmt.Errorf("%s %s: status %d: %s", method, address, resp.StatusCode, detail), err)
}

package jkprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// callerOutcome is the outcome of a request as it was reported to the caller. It is
// empty if the caller got no answer.
type callerOutcome string

const (
	outcomeCompleted = callerOutcome(jkprogram.OutcomeCompleted)
	outcomeNotRun    = callerOutcome(jkprogram.OutcomeNotRun)
	outcomeUnknown   = callerOutcome(jkprogram.OutcomeUnknown)
)

// reply is one answer of an entry host.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem jkproblem.Problem
	outcome jkprogram.Outcome
	// text and token are those of a complete streamed answer.
	text  string
	token string
	err   error
}

// program is a caller's view of one program: the token, the conversation and
// the requests that are part of the history.
type program struct {
	s        *site
	id       string
	token    string
	messages []jkchat.Message
	requests []string
	serial   int
	// entry is the index of the host that the next request enters through.
	entry int
	// zone restricts the hosts that the caller can reach; empty for all.
	zone string
	// onFirstText is called once, when the next stream delivers its first text.
	onFirstText func()
	// trace holds the last 12 attempts, for the message of a failed test.
	trace []string
}

// attemptTimeout bounds one attempt at one host. An entry host itself retries for 3 s.
const attemptTimeout = 5 * time.Second

// do sends one request to a host.
func (s *site) do(h *host, method, path string, header map[string]string, body any, onText func()) reply {
	data, err := json.Marshal(body)
	if err != nil {
		return reply{err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Each piece of text restarts the timeout, so a stream may take longer than
	// attemptTimeout.
	stop := clock.After(attemptTimeout, cancel)
	defer func() { stop() }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.ready.HTTP+path, bytes.NewReader(data))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	res, err := s.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	r := reply{status: res.StatusCode, header: res.Header, token: res.Header.Get(jkapi.HeaderToken), outcome: jkprogram.Outcome(res.Header.Get(jkapi.HeaderOutcome))}
	if strings.HasPrefix(res.Header.Get("Content-Type"), jkchat.ContentType) {
		r.stream(res.Body, func() {
			stop()
			stop = clock.After(attemptTimeout, cancel)
			if onText != nil {
				onText()
				onText = nil
			}
		})
		return r
	}
	if r.body, r.err = io.ReadAll(res.Body); r.err == nil && r.status >= http.StatusBadRequest {
		r.err = json.Unmarshal(r.body, &r.problem)
	}
	return r
}

// stream reads a streamed answer. A stream that ends without its final event and
// end marker is an error.
func (r *reply) stream(body io.Reader, onText func()) {
	events := jkchat.NewEventReader(body, 1<<20)
	var text strings.Builder
	var final struct {
		Outcome jkprogram.Outcome `json:"outcome"`
		Token   string            `json:"token"`
		Length  int               `json:"length"`
		Digest  string            `json:"digest"`
		Problem jkproblem.Problem `json:"problem"`
	}
	for {
		e, err := events.Next()
		switch {
		case err != nil:
			r.err = fmt.Errorf("stream is incomplete: %w", err)
			if final.Problem.Type != "" {
				r.err = nil
				r.problem, r.outcome, r.status = final.Problem, final.Outcome, final.Problem.Status
			}
			return
		case e.Name == jkchat.EventFinal:
			r.err = json.Unmarshal(e.Data, &final)
		case string(e.Data) == jkchat.Done:
			r.text, r.token, r.outcome = text.String(), final.Token, final.Outcome
			r.err = jkchat.Final{Length: final.Length, Digest: final.Digest}.Check(r.text)
			return
		default:
			var c jkchat.Chunk
			if err := json.Unmarshal(e.Data, &c); err != nil {
				r.err = err
				return
			}
			if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
				text.WriteString(c.Choices[0].Delta.Content)
				onText()
			}
		}
	}
}

func (r reply) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	return fmt.Sprintf("%d %s %s %.100s %s", r.status, r.outcome, r.problem.Type, r.body, r.problem.Detail)
}

// final reports whether a retry can't change the outcome for the caller.
func (r reply) final() bool {
	if r.err != nil {
		return false
	}
	switch r.problem.Type {
	case "":
		return true
	case jkproblem.TypeProgramMoved, jkproblem.TypeUnavailable, jkproblem.TypeDeadlineExceeded, jkproblem.TypeStreamBroken, jkproblem.TypeInternal,
		jkproblem.TypeHistoryUnavailable, jkproblem.TypeOverloaded, jkproblem.TypeGrantUnavailable, jkproblem.TypeEndpointFailed:
		return false
	}
	return true
}

// nextHost returns the entry host of the next attempt: round robin over the hosts
// that the caller can reach, without excluded ones.
func (p *program) nextHost() *host {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	for range p.s.hosts {
		h := p.s.hosts[p.entry%len(p.s.hosts)]
		p.entry++
		if !p.s.excluded[h.name] && (p.zone == "" || h.zone == p.zone) {
			return h
		}
	}
	return p.s.hosts[0]
}

// setExcluded sets whether the load balancer leaves out a host.
func (s *site) setExcluded(h *host, excluded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excluded[h.name] = excluded
}

// send repeats a request with the same token and id through other hosts until
// an answer is final or limit has passed, and returns the last reply.
func (p *program) send(limit time.Duration, method, path string, header map[string]string, body any) reply {
	end := clock.Now().Add(limit)
	for {
		h := p.nextHost()
		r := p.s.do(h, method, path, header, body, p.onFirstText)
		p.onFirstText = nil
		p.trace = append(p.trace, fmt.Sprintf("%s %s via %s: %s %s", clock.Now().Format("05.000"), header[jkapi.HeaderRequest], h.name, r.outcome, r))
		if len(p.trace) > 12 {
			p.trace = p.trace[1:]
		}
		var dial *net.OpError
		if r.err != nil && (!errors.As(r.err, &dial) || dial.Op != "dial") {
			p.s.mu.Lock()
			p.s.transportErrors = append(p.s.transportErrors, r.err.Error())
			p.s.mu.Unlock()
		}
		if r.final() || clock.Now().After(end) {
			return r
		}
		p.s.pause(50 * time.Millisecond)
	}
}

// callerTimeout is the default time within which a caller expects an answer. It
// covers a takeover with shortIntervals.
const callerTimeout = 15 * time.Second

// create starts a program whose home is the given host.
func (s *site) create(h *host) *program {
	s.t.Helper()
	p, err := s.tryCreate(h)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *site) tryCreate(h *host) (*program, error) {
	r := s.do(h, "POST", "/v1/programs", nil, map[string]string{"workspace": "w", "template": jksite.Template}, nil)
	if r.err != nil || r.status != http.StatusCreated {
		return nil, fmt.Errorf("create at %s: %s", h.name, r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	return &program{s: s, id: r.header.Get(jkapi.HeaderProgram), token: r.token, entry: slices.Index(s.hosts, h) + 1}, nil
}

// newHeaders returns the headers and the id of a new request.
func (p *program) newHeaders() (map[string]string, string) {
	p.serial++
	id := fmt.Sprintf("r%d", p.serial)
	return map[string]string{jkapi.HeaderToken: p.token, jkapi.HeaderRequest: id}, id
}

// chatRequest returns a request with the conversation and one more user message.
func (p *program) chatRequest(text string, stream bool, tokens int) jkchat.Request {
	messages := append(slices.Clone(p.messages), jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
	return jkchat.Request{
		Model: jksite.Model, Messages: messages, Stream: stream, MaxTokens: tokens,
		Metadata: map[string]string{jkstandin.EngineAnswerTokensKey: fmt.Sprint(tokens)},
	}
}

// chat completes one turn and checks every byte of the answer.
func (p *program) chat(text string, stream bool, tokens int) error {
	request := p.chatRequest(text, stream, tokens)
	header, id := p.newHeaders()
	return p.accept(request, id, p.send(callerTimeout, "POST", "/v1/chat/completions", header, request))
}

// accept checks a reply to a chat request and takes over its answer and token.
func (p *program) accept(request jkchat.Request, id string, r reply) error {
	if r.err != nil || r.outcome != jkprogram.OutcomeCompleted {
		return fmt.Errorf("program %s request %s: %s\n%s", p.id, id, r, strings.Join(p.trace, "\n"))
	}
	answer := r.text
	if !strings.HasPrefix(r.header.Get("Content-Type"), jkchat.ContentType) {
		var c jkchat.Completion
		if err := json.Unmarshal(r.body, &c); err != nil || len(c.Choices) != 1 {
			return fmt.Errorf("program %s request %s: body %.200s", p.id, id, r.body)
		}
		answer = c.Choices[0].Message.Content.String()
	}
	if err := jkstandin.CheckEngineAnswer(p.id, request.Messages, answer); err != nil {
		return fmt.Errorf("program %s request %s: %w", p.id, id, err)
	}
	if n := len(strings.Fields(answer)); n < request.MaxTokens {
		return fmt.Errorf("program %s request %s: answer has %d words of %d tokens", p.id, id, n, request.MaxTokens)
	}
	p.messages = request.Messages
	p.messages = append(p.messages, jkchat.Message{Role: jkchat.RoleAssistant, Content: jkchat.Text(answer)})
	p.token = r.token
	p.requests = append(p.requests, id)
	return nil
}

// chatTurns completes several turns, every other one streamed.
func (p *program) chatTurns(n int) error {
	for i := range n {
		if err := p.chat(fmt.Sprintf("step %d", i), i%2 == 1, 20); err != nil {
			return err
		}
	}
	return nil
}

// pay charges a deposit once and records the outcome that the caller received.
// After not_run the caller keeps its token; after an unknown outcome it needs
// resume.
func (p *program) pay(action string) (callerOutcome, reply) {
	header, id := p.newHeaders()
	return p.payWithHeaders(action, header, id, callerTimeout)
}

func (p *program) payWithHeaders(action string, header map[string]string, id string, limit time.Duration) (callerOutcome, reply) {
	p.s.recordOutcome(action, "")
	// A not_run is final for every type of problem: the caller may rely on it.
	var r reply
	end := clock.Now().Add(limit)
	for {
		r = p.send(0, "POST", "/v1/services/"+jksite.Service+"/actions/charge", header, map[string]string{"action_id": action})
		if r.final() || r.outcome == jkprogram.OutcomeNotRun || clock.Now().After(end) {
			break
		}
		p.s.pause(50 * time.Millisecond)
	}
	outcome := callerOutcome(r.outcome)
	if r.err != nil {
		outcome = ""
	}
	if outcome == outcomeCompleted {
		var receipt struct {
			Receipt string `json:"receipt"`
		}
		if err := json.Unmarshal(r.body, &receipt); err != nil || receipt.Receipt != jkstandin.ServiceReceipt("charge", action) {
			p.s.t.Errorf("deposit %s: answer is not its receipt: %.200s", action, r.body)
		}
		if r.token != "" {
			p.token = r.token
			p.requests = append(p.requests, id)
		}
	}
	p.s.recordOutcome(action, outcome)
	return outcome, r
}

func (s *site) recordOutcome(action string, outcome callerOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[action] = outcome
}

// resume requests a new token after an unknown outcome.
func (p *program) resume() error {
	end := clock.Now().Add(callerTimeout)
	for {
		r := p.s.do(p.nextHost(), "POST", "/v1/programs/"+p.id+"/resume", map[string]string{jkapi.HeaderToken: p.token}, nil, nil)
		if r.err == nil && r.status == http.StatusOK && r.token != "" {
			p.token = r.token
			return nil
		}
		if clock.Now().After(end) {
			return fmt.Errorf("resume %s: %s", p.id, r)
		}
		p.s.pause(50 * time.Millisecond)
	}
}

// show fetches the program's state from the site.
func (p *program) show() (jkapi.Program, error) {
	var shown jkapi.Program
	end := clock.Now().Add(callerTimeout)
	for {
		r := p.s.do(p.nextHost(), "GET", "/v1/programs/"+p.id, map[string]string{jkapi.HeaderToken: p.token}, nil, nil)
		if r.err == nil && r.status == http.StatusOK {
			return shown, json.Unmarshal(r.body, &shown)
		}
		if clock.Now().After(end) {
			return shown, fmt.Errorf("show %s: %s", p.id, r)
		}
		p.s.pause(50 * time.Millisecond)
	}
}

// home returns the host that runs the program.
func (p *program) home() *host {
	p.s.t.Helper()
	shown, err := p.show()
	if err != nil {
		p.s.t.Fatal(err)
	}
	return p.s.host(shown.Home)
}

// checkHistory compares the history with the requests that completed for the
// caller. The history may have turns with an unknown outcome as well.
func (p *program) checkHistory() error {
	shown, err := p.show()
	if err != nil {
		return err
	}
	var have []string
	for i, t := range shown.Turns {
		if t.Number != uint64(i+1) {
			return fmt.Errorf("program %s: turn %d is at position %d", p.id, t.Number, i+1)
		}
		if t.Outcome != jkprogram.OutcomeUnknown {
			have = append(have, t.RequestID)
		}
	}
	if !slices.Equal(have, p.requests) {
		return fmt.Errorf("program %s: history has requests %v, the caller knows %v", p.id, have, p.requests)
	}
	return nil
}

// checkActions compares the recorded outcomes of callers with the runs at the services.
func (s *site) checkActions() {
	s.t.Helper()
	actions := s.serviceActions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for action, outcome := range s.outcomes {
		runs := actions[action].Runs
		wrong := runs > 1 || outcome == "" || outcome == outcomeCompleted && runs != 1 || outcome == outcomeNotRun && runs != 0
		if wrong {
			s.t.Errorf("deposit %s ran %d times, its recorded outcome is %q", action, runs, outcome)
		}
	}
	for action, a := range actions {
		if _, known := s.outcomes[action]; !known {
			s.t.Errorf("deposit %s ran %d times, but no caller requested it", action, a.Runs)
		}
	}
}

// noError fails the test on an error.
func (s *site) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

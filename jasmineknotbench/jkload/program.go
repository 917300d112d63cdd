package jkload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkstandin"
)

// program is the state of one running program.
type program struct {
	*Runner
	plan     plan
	id       string
	token    string
	messages []jkchat.Message
}

// run performs the turns of the plan and reports whether the program reached its end.
func (p *program) run(ctx context.Context) bool {
	if !p.create(ctx) {
		return false
	}
	ok := true
	for i, t := range p.plan.turns {
		if t.pause > 0 && !p.timer.Wait(t.pause, ctx.Done()) {
			return false
		}
		if ok = p.runTurn(ctx, i, t); !ok {
			break
		}
	}
	if p.options.EndPrograms {
		p.cancel(ctx)
	}
	return ok
}

func (p *program) create(ctx context.Context) bool {
	body := p.encode(map[string]any{
		"workspace": p.options.Workspace, "budget_tokens": p.options.BudgetTokens,
	})
	a := p.caller.do(ctx, call{method: http.MethodPost, path: "/v1/programs", body: body, firstEntry: p.plan.index})
	p.recorder.countCall("create", a)
	var created struct {
		ID        string `json:"id"`
		ProgramID string `json:"program_id"`
		Token     string `json:"token"`
	}
	if a.outcome != outcomeCompleted {
		return false
	}
	if err := json.Unmarshal(a.body, &created); err != nil {
		p.recorder.addViolation("create program: %v in response %.200s", err, a.body)
		return false
	}
	p.id, p.token = firstNonEmpty(created.ID, created.ProgramID, a.program), firstNonEmpty(a.token, created.Token)
	if p.id == "" || p.token == "" {
		p.recorder.addViolation("create program: no program id or token in response %.200s", a.body)
		return false
	}
	return true
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

func (p *program) encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		p.recorder.addViolation("encode request body: %v", err)
	}
	return raw
}

// runTurn performs one turn and reports whether the program can continue. If the
// outcome is unknown and there is no new token, it resumes the program first.
func (p *program) runTurn(ctx context.Context, i int, t turn) bool {
	started := p.timer.Now()
	kind, perform := "chat", p.callModel
	if t.service != "" {
		kind, perform = "service", p.callService
	}
	a := perform(ctx, i, t)
	p.recorder.countCall(kind, a)
	if a.outcome == outcomeUnknown && a.token == "" && p.resume(ctx, i) {
		if t.service != "" {
			return true
		}
		// A model call is safe to repeat; under the new token it is a new call.
		a = perform(ctx, i, t)
		p.recorder.countCall(kind, a)
	}
	return p.finishTurn(kind, i, a, p.timer.Now().Sub(started))
}

// finishTurn records the result of a turn, takes its new token and reports whether
// the program can continue.
func (p *program) finishTurn(kind string, i int, a callResult, took time.Duration) bool {
	if a.token != "" {
		p.token = a.token
	}
	if a.outcome == outcomeCompleted && a.token == "" {
		p.recorder.addViolation("program %s turn %d: completed without a new token", p.id, i)
		return false
	}
	p.recorder.countTurn(a.outcome == outcomeCompleted && (p.options.TurnTarget <= 0 || took <= p.options.TurnTarget))
	if a.outcome == outcomeCompleted {
		p.recorder.recordLatency(kind, took)
		return true
	}
	// A failed action has a response with a new token, so the program can continue.
	return kind == "service" && a.token != ""
}

func (p *program) callModel(ctx context.Context, i int, t turn) callResult {
	messages := append(slices.Clip(p.messages), jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(t.prompt)})
	sent := messages
	history := ""
	if !p.options.ResendHistory {
		sent = sent[len(sent)-1:]
		history = "append"
	}
	request := jkchat.Request{
		Model: p.options.Model, Messages: sent, Stream: t.stream, MaxTokens: 2 * p.options.AnswerTokens,
		Metadata: map[string]string{jkstandin.EngineAnswerTokensKey: strconv.Itoa(t.tokens)},
	}
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/chat/completions", body: p.encode(request),
		program: p.id, token: p.token, stream: t.stream, firstEntry: p.plan.index + i, history: history,
	})
	if a.outcome != outcomeCompleted {
		return a
	}
	if !t.stream {
		var completion jkchat.Completion
		if err := json.Unmarshal(a.body, &completion); err != nil || len(completion.Choices) == 0 {
			p.recorder.addViolation("program %s turn %d: no completion in response %.200s", p.id, i, a.body)
			a.outcome = outcomeNone
			return a
		}
		a.message = completion.Choices[0].Message
		a.text = a.message.Content.String()
	}
	p.recorder.recordLatency("first_byte", a.firstByte)
	if p.options.CheckAnswers {
		if err := jkstandin.CheckEngineAnswer(p.id, messages, a.text); err != nil {
			p.recorder.addViolation("program %s turn %d: %v", p.id, i, err)
		}
	}
	messages = append(messages, a.message)
	p.messages = messages
	return a
}

func (p *program) callService(ctx context.Context, i int, t turn) callResult {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/services/" + url.PathEscape(t.service) + "/actions/reserve",
		body:    p.encode(map[string]string{"action_id": t.actionID}),
		program: p.id, token: p.token, firstEntry: p.plan.index + i,
	})
	p.actionLog.record(t.service, t.actionID, a.outcome)
	if a.outcome == outcomeCompleted {
		var receipt struct {
			ActionID string `json:"action_id"`
		}
		if err := json.Unmarshal(a.body, &receipt); err != nil || receipt.ActionID != t.actionID {
			p.recorder.addViolation("program %s turn %d: response isn't the receipt of this action: %.200s", p.id, i, a.body)
		}
	}
	return a
}

// resume requests a new token from the program's current home.
func (p *program) resume(ctx context.Context, i int) bool {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/programs/" + url.PathEscape(p.id) + "/resume",
		program: p.id, token: p.token, body: []byte("{}"), firstEntry: p.plan.index + i,
	})
	p.recorder.countCall("resume", a)
	var resumed struct {
		Token string `json:"token"`
	}
	if a.outcome == outcomeCompleted && json.Unmarshal(a.body, &resumed) == nil {
		p.token = firstNonEmpty(a.token, resumed.Token)
		return p.token != ""
	}
	return false
}

func (p *program) cancel(ctx context.Context) {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/programs/" + url.PathEscape(p.id) + "/cancel",
		program: p.id, token: p.token, body: []byte("{}"), firstEntry: p.plan.index,
	})
	p.recorder.countCall("end", a)
}

// newRunID returns a random prefix for the action ids of a run. It keeps the ids of
// runs with the same seed apart.
func newRunID() string { return fmt.Sprintf("%.8s", uuid.NewString()) }

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

// program is one program while it runs.
type program struct {
	*Runner
	plan     plan
	id       string
	token    string
	messages []jkchat.Message
}

// run performs the plan and reports whether every turn was completed.
func (p *program) run(ctx context.Context) bool {
	if !p.create(ctx) {
		return false
	}
	ended := true
	for i, t := range p.plan.turns {
		if t.pause > 0 && !p.timer.Wait(t.pause, ctx.Done()) {
			return false
		}
		if ended = p.turn(ctx, i, t); !ended {
			break
		}
	}
	if p.options.EndPrograms {
		p.end(ctx)
	}
	return ended
}

func (p *program) create(ctx context.Context) bool {
	body := p.encode(map[string]any{
		"workspace": p.options.Workspace, "budget_tokens": p.options.BudgetTokens,
	})
	a := p.caller.do(ctx, call{method: http.MethodPost, path: "/v1/programs", body: body, first: p.plan.index})
	p.report.count("create", a)
	var created struct {
		ID        string `json:"id"`
		ProgramID string `json:"program_id"`
		Token     string `json:"token"`
	}
	if a.outcome != outcomeCompleted {
		return false
	}
	if err := json.Unmarshal(a.body, &created); err != nil {
		p.report.violate("create: %v in %.200s", err, a.body)
		return false
	}
	p.id, p.token = firstOf(created.ID, created.ProgramID, a.program), firstOf(a.token, created.Token)
	if p.id == "" || p.token == "" {
		p.report.violate("create: no program id or token in %.200s", a.body)
		return false
	}
	return true
}

func firstOf(values ...string) string {
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
		p.report.violate("encode: %v", err)
	}
	return raw
}

// turn performs one call and reports whether the program can go on.
func (p *program) turn(ctx context.Context, i int, t turn) bool {
	started := p.timer.Now()
	kind, perform := "chat", p.chat
	if t.service != "" {
		kind, perform = "service", p.service
	}
	a := perform(ctx, i, t)
	p.report.count(kind, a)
	if a.outcome == outcomeUnknown && a.token == "" && p.resume(ctx, i) {
		if t.service != "" {
			return true
		}
		// A model call may be repeated; under the new token it is a new call.
		a = perform(ctx, i, t)
		p.report.count(kind, a)
	}
	return p.conclude(kind, i, a, p.timer.Now().Sub(started))
}

// conclude takes the result of a turn over and reports whether the program can
// go on.
func (p *program) conclude(kind string, i int, a answer, took time.Duration) bool {
	if a.token != "" {
		p.token = a.token
	}
	if a.outcome == outcomeCompleted && a.token == "" {
		p.report.violate("program %s turn %d: completed without a new token", p.id, i)
		return false
	}
	p.report.turn(a.outcome == outcomeCompleted && (p.options.TurnTarget <= 0 || took <= p.options.TurnTarget))
	if a.outcome == outcomeCompleted {
		p.report.record(kind, took)
		return true
	}
	// A failed action has an answer; a program goes on after it.
	return kind == "service" && a.token != ""
}

func (p *program) chat(ctx context.Context, i int, t turn) answer {
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
		program: p.id, token: p.token, stream: t.stream, first: p.plan.index + i, history: history,
	})
	if a.outcome != outcomeCompleted {
		return a
	}
	if !t.stream {
		var whole jkchat.Completion
		if err := json.Unmarshal(a.body, &whole); err != nil || len(whole.Choices) == 0 {
			p.report.violate("program %s turn %d: incomplete answer %.200s", p.id, i, a.body)
			a.outcome = outcomeNone
			return a
		}
		a.message = whole.Choices[0].Message
		a.text = a.message.Content.String()
	}
	p.report.record("first_byte", a.firstByte)
	if p.options.CheckAnswers {
		if err := jkstandin.CheckEngineAnswer(p.id, messages, a.text); err != nil {
			p.report.violate("program %s turn %d: %v", p.id, i, err)
		}
	}
	messages = append(messages, a.message)
	p.messages = messages
	return a
}

func (p *program) service(ctx context.Context, i int, t turn) answer {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/services/" + url.PathEscape(t.service) + "/actions/reserve",
		body:    p.encode(map[string]string{"action_id": t.actionID}),
		program: p.id, token: p.token, first: p.plan.index + i,
	})
	p.ledger.tell(t.service, t.actionID, a.outcome)
	if a.outcome == outcomeCompleted {
		var receipt struct {
			ActionID string `json:"action_id"`
		}
		if err := json.Unmarshal(a.body, &receipt); err != nil || receipt.ActionID != t.actionID {
			p.report.violate("program %s turn %d: answer of another action: %.200s", p.id, i, a.body)
		}
	}
	return a
}

// resume asks for a token under the program's present home.
func (p *program) resume(ctx context.Context, i int) bool {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/programs/" + url.PathEscape(p.id) + "/resume",
		program: p.id, token: p.token, body: []byte("{}"), first: p.plan.index + i,
	})
	p.report.count("resume", a)
	var resumed struct {
		Token string `json:"token"`
	}
	if a.outcome == outcomeCompleted && json.Unmarshal(a.body, &resumed) == nil {
		p.token = firstOf(a.token, resumed.Token)
		return p.token != ""
	}
	return false
}

func (p *program) end(ctx context.Context) {
	a := p.caller.do(ctx, call{
		method: http.MethodPost, path: "/v1/programs/" + url.PathEscape(p.id) + "/cancel",
		program: p.id, token: p.token, body: []byte("{}"), first: p.plan.index,
	})
	p.report.count("end", a)
}

// newRunID keeps the action ids of runs with the same seed apart.
func newRunID() string { return fmt.Sprintf("%.8s", uuid.NewString()) }

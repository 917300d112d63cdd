package jkdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/jasmineknot/jkcaller"
)

const (
	workspace = "demo"
	// answerTokens bounds one answer.
	answerTokens = 24
	// subBudget is the sub-agent's share of the budget in tokens.
	subBudget = 20000
	toolPause = 300 * time.Millisecond
	// releaseLimit is the time after a program's end by which no engine may
	// hold its cache.
	releaseLimit = 5 * time.Second
	releaseCheck = 20 * time.Millisecond
	depositID    = "deposit-1"
)

// run is the state of one demo.
type run struct {
	ctx   context.Context
	out   io.Writer
	site  *jksite.Embedded
	start time.Time
	main  conversation
	sub   conversation
}

// conversation is a caller's side of a program.
type conversation struct {
	program  string
	token    string
	messages []jkchat.Message
	turns    int
}

// all runs the steps in order.
func (r *run) all() error {
	steps := []func() error{
		r.introduce,
		r.create,
		func() error { return r.turn(&r.main, 1, "draft a menu for a wedding with 120 guests") },
		func() error { return r.turn(&r.main, 2, "leave out the fish") },
		r.pause,
		r.subAgent,
		func() error { return r.turn(&r.main, 3, "add the dessert that the sub-agent found") },
		r.deposit,
		func() error { return r.turn(&r.main, 3, "confirm the booking") },
		r.account,
		r.finish,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	r.say("all expectations are met")
	return nil
}

// say prints one line with the time since the start.
func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.2f s  %s\n", r.site.Timer.Now().Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// host returns the address of the n-th host's HTTP API.
func (r *run) host(n int) string { return r.site.Daemons[n].HTTP() }

func (r *run) name(n int) string { return r.site.Site.Hosts[n].Name }

func (r *run) introduce() error {
	for i, h := range r.site.Site.Hosts {
		r.say("host %s in zone %s serves callers at %s", h.Name, h.Zone, r.host(i))
	}
	for _, e := range r.site.Site.Endpoints {
		r.say("endpoint %s in zone %s at %s", e.ID, e.Zone, e.Address)
	}
	return nil
}

func (r *run) create() error {
	a, err := r.send(http.MethodPost, 0, "/v1/programs", nil,
		map[string]any{"workspace": workspace, "template": jksite.Template})
	if err != nil {
		return fmt.Errorf("create the program: %w", err)
	}
	r.main.begin(a)
	r.say("program %s is created through %s", r.main.program, r.name(0))
	return nil
}

func (c *conversation) begin(a jkcaller.Answer) {
	c.program = a.Header.Get(jkapi.HeaderProgram)
	c.token = a.Header.Get(jkapi.HeaderToken)
}

// send sends a request and returns a problem as an error.
func (r *run) send(method string, host int, path string, header map[string]string, body any) (jkcaller.Answer, error) {
	return jkcaller.Read(r.ctx, jkcaller.Request{Method: method, Server: r.host(host), Path: path, Header: header, Body: body}, nil)
}

// turn runs one model call through a host and checks that the answer belongs to
// this history.
func (r *run) turn(c *conversation, host int, text string) error {
	c.turns++
	c.messages = append(c.messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
	header := map[string]string{jkapi.HeaderToken: c.token, jkapi.HeaderRequest: fmt.Sprintf("%s-%d", c.program, c.turns)}
	a, err := r.send(http.MethodPost, host, "/v1/chat/completions", header,
		jkchat.Request{Model: jksite.Model, Messages: c.messages, MaxTokens: answerTokens})
	if err != nil {
		return fmt.Errorf("turn %d through %s: %w", c.turns, r.name(host), err)
	}
	var completion jkchat.Completion
	if err := json.Unmarshal(a.Body, &completion); err != nil {
		return fmt.Errorf("turn %d: %w", c.turns, err)
	}
	answer := completion.Choices[0].Message
	if err := jkstandin.EngineCheckAnswer(c.program, c.messages, answer.Content.String()); err != nil {
		return fmt.Errorf("turn %d has the answer to another history: %w", c.turns, err)
	}
	c.messages = append(c.messages, answer)
	c.token = a.Header.Get(jkapi.HeaderToken)
	r.say("turn %q entered through %s: %d prompt and %d answer tokens", text, r.name(host),
		completion.Usage.PromptTokens, completion.Usage.CompletionTokens)
	return nil
}

func (r *run) pause() error {
	r.say("a tool runs for %v", toolPause)
	r.site.Timer.Wait(toolPause, r.ctx.Done())
	return r.ctx.Err()
}

// subAgent runs a sub-program with a share of the budget.
func (r *run) subAgent() error {
	a, err := r.send(http.MethodPost, 3, "/v1/programs", nil, map[string]any{
		"workspace": workspace, "template": jksite.Template, "parent_token": r.main.token, "budget_tokens": subBudget,
	})
	if err != nil {
		return fmt.Errorf("create the sub-program: %w", err)
	}
	r.sub.begin(a)
	r.say("sub-program %s has %d tokens of the budget", r.sub.program, subBudget)
	if err := r.turn(&r.sub, 2, "find a dessert without milk"); err != nil {
		return fmt.Errorf("sub-program: %w", err)
	}
	p, err := r.show(1, r.sub.program)
	if err != nil {
		return err
	}
	if p.Budget != subBudget || p.Parent != r.main.program {
		return fmt.Errorf("the sub-program has budget %d and parent %q, expected %d and %q", p.Budget, p.Parent, subBudget, r.main.program)
	}
	_, err = r.send(http.MethodPost, 1, "/v1/programs/"+r.sub.program+"/finish", map[string]string{jkapi.HeaderToken: r.sub.token}, nil)
	if err != nil {
		return fmt.Errorf("finish the sub-program: %w", err)
	}
	r.say("sub-program ended with %d tokens spent", p.Spent)
	return nil
}

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
	// maxAnswerTokens bounds the length of an answer.
	maxAnswerTokens = 24
	// subProgramBudget is the sub-program's share of the budget in tokens.
	subProgramBudget = 20000
	toolDuration     = 300 * time.Millisecond
	// releaseTimeout is the time after a program's end within which all engines
	// must have released its cache.
	releaseTimeout      = 5 * time.Second
	releasePollInterval = 20 * time.Millisecond
	depositID           = "deposit-1"
)

// demoRun is the state of one demo.
type demoRun struct {
	ctx   context.Context
	out   io.Writer
	site  *jksite.Embedded
	start time.Time
	main  conversation
	sub   conversation
}

// conversation is the caller's state of a program: its token and its messages.
type conversation struct {
	program  string
	token    string
	messages []jkchat.Message
	turns    int
}

// runSteps runs the steps in order.
func (r *demoRun) runSteps() error {
	steps := []func() error{
		r.printSite,
		r.create,
		func() error { return r.turn(&r.main, 1, "draft a menu for a wedding with 120 guests") },
		func() error { return r.turn(&r.main, 2, "leave out the fish") },
		r.runTool,
		r.subAgent,
		func() error { return r.turn(&r.main, 3, "add the dessert that the sub-agent found") },
		r.deposit,
		func() error { return r.turn(&r.main, 3, "confirm the booking") },
		r.checkHistory,
		r.finish,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	r.printf("all expectations are met")
	return nil
}

// printf prints one line, preceded by the time since the start.
func (r *demoRun) printf(format string, args ...any) {
	fmt.Fprintf(r.out, "%5.2f s  %s\n", r.site.Timer.Now().Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// hostAddr returns the address of the n-th host's HTTP API.
func (r *demoRun) hostAddr(n int) string { return r.site.Daemons[n].HTTP() }

func (r *demoRun) hostName(n int) string { return r.site.Site.Hosts[n].Name }

func (r *demoRun) printSite() error {
	for i, h := range r.site.Site.Hosts {
		r.printf("host %s in zone %s serves callers at %s", h.Name, h.Zone, r.hostAddr(i))
	}
	for _, e := range r.site.Site.Endpoints {
		r.printf("endpoint %s in zone %s at %s", e.ID, e.Zone, e.Address)
	}
	return nil
}

func (r *demoRun) create() error {
	a, err := r.send(http.MethodPost, 0, "/v1/programs", nil,
		map[string]any{"workspace": workspace, "template": jksite.Template})
	if err != nil {
		return fmt.Errorf("create the program: %w", err)
	}
	r.main.readHeaders(a)
	r.printf("program %s is created through %s", r.main.program, r.hostName(0))
	return nil
}

func (c *conversation) readHeaders(a jkcaller.Response) {
	c.program = a.Header.Get(jkapi.HeaderProgram)
	c.token = a.Header.Get(jkapi.HeaderToken)
}

// send sends a request through a host and returns a problem in the answer as an error.
func (r *demoRun) send(method string, host int, path string, header map[string]string, body any) (jkcaller.Response, error) {
	return jkcaller.SendAndDecode(r.ctx, jkcaller.Request{Method: method, Server: r.hostAddr(host), Path: path, Header: header, Body: body}, nil)
}

// turn makes one model call through a host and checks that the answer is the one to
// this program's history.
func (r *demoRun) turn(c *conversation, host int, text string) error {
	c.turns++
	c.messages = append(c.messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
	header := map[string]string{jkapi.HeaderToken: c.token, jkapi.HeaderRequest: fmt.Sprintf("%s-%d", c.program, c.turns)}
	a, err := r.send(http.MethodPost, host, "/v1/chat/completions", header,
		jkchat.Request{Model: jksite.Model, Messages: c.messages, MaxTokens: maxAnswerTokens})
	if err != nil {
		return fmt.Errorf("turn %d through %s: %w", c.turns, r.hostName(host), err)
	}
	var completion jkchat.Completion
	if err := json.Unmarshal(a.Body, &completion); err != nil {
		return fmt.Errorf("answer of turn %d can't be decoded: %w", c.turns, err)
	}
	answer := completion.Choices[0].Message
	if err := jkstandin.CheckEngineAnswer(c.program, c.messages, answer.Content.String()); err != nil {
		return fmt.Errorf("turn %d got the answer to another history: %w", c.turns, err)
	}
	c.messages = append(c.messages, answer)
	c.token = a.Header.Get(jkapi.HeaderToken)
	r.printf("turn %q entered through %s: %d prompt and %d answer tokens", text, r.hostName(host),
		completion.Usage.PromptTokens, completion.Usage.CompletionTokens)
	return nil
}

func (r *demoRun) runTool() error {
	r.printf("a tool runs for %v", toolDuration)
	r.site.Timer.Wait(toolDuration, r.ctx.Done())
	return r.ctx.Err()
}

// subAgent runs one turn in a sub-program that has a share of the program's budget.
func (r *demoRun) subAgent() error {
	a, err := r.send(http.MethodPost, 3, "/v1/programs", nil, map[string]any{
		"workspace": workspace, "template": jksite.Template, "parent_token": r.main.token, "budget_tokens": subProgramBudget,
	})
	if err != nil {
		return fmt.Errorf("create the sub-program: %w", err)
	}
	r.sub.readHeaders(a)
	r.printf("sub-program %s has %d tokens of the budget", r.sub.program, subProgramBudget)
	if err := r.turn(&r.sub, 2, "find a dessert without milk"); err != nil {
		return fmt.Errorf("sub-program: %w", err)
	}
	p, err := r.fetchProgram(1, r.sub.program)
	if err != nil {
		return err
	}
	if p.Budget != subProgramBudget || p.Parent != r.main.program {
		return fmt.Errorf("the sub-program has budget %d and parent %q, expected %d and %q", p.Budget, p.Parent, subProgramBudget, r.main.program)
	}
	_, err = r.send(http.MethodPost, 1, "/v1/programs/"+r.sub.program+"/finish", map[string]string{jkapi.HeaderToken: r.sub.token}, nil)
	if err != nil {
		return fmt.Errorf("finish the sub-program: %w", err)
	}
	r.printf("sub-program ended with %d tokens spent", p.Spent)
	return nil
}

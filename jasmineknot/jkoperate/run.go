package jkoperate

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

const (
	// maxAttempts bounds the attempts of one request. With the longest delay between
	// them they outlast a takeover, which begins after 3 s without a heartbeat.
	maxAttempts = 8
	// defaultRetryInterval is the delay before a retry if the problem gives none.
	defaultRetryInterval = time.Second
)

// runCommand runs a program with one turn for each text.
type runCommand struct {
	*command
	timer *jktimer.Service

	template  string
	workspace string
	model     string
	maxTokens int
	budget    int64
	parent    string
	keep      bool
	texts     []string

	program  string
	token    string
	messages []jkchat.Message
}

func registerRun(parent *kingpin.CmdClause, c *command) {
	r := &runCommand{command: c, timer: jktimer.New()}
	cmd := parent.Command("run", "Run a program with one turn for each text and print the answers.")
	cmd.Flag("template", "Template of the section programs.").Default("default").StringVar(&r.template)
	cmd.Flag("workspace", "Workspace that the program belongs to.").StringVar(&r.workspace)
	cmd.Flag("model", "Model to call.").Required().StringVar(&r.model)
	cmd.Flag("max-tokens", "Longest answer in tokens.").Default("256").IntVar(&r.maxTokens)
	cmd.Flag("budget", "Budget in tokens, at most the template's.").Int64Var(&r.budget)
	cmd.Flag("parent-token", "Token of a program to make this one its sub-program.").StringVar(&r.parent)
	cmd.Flag("keep", "Don't end the program after the last turn.").BoolVar(&r.keep)
	cmd.Arg("text", "Texts of the turns; the lines of standard input by default.").StringsVar(&r.texts)
	cmd.Action(func(*kingpin.ParseContext) error { return r.run() })
}

func (r *runCommand) run() error {
	if err := r.readTexts(); err != nil {
		return err
	}
	if err := r.create(); err != nil {
		return adviseProgram(err)
	}
	fmt.Fprintf(r.out, "program %s\n", r.program)
	for i, text := range r.texts {
		if err := r.turn(i+1, text); err != nil {
			return &jkcommand.AdviceError{
				Cause:  fmt.Errorf("turn %d failed: %w", i+1, adviseProgram(err)),
				Advice: fmt.Sprintf("the program has %d finished turns: jasmineknot program show %s", i, r.program),
			}
		}
	}
	if r.keep {
		fmt.Fprintf(r.out, "token %s\n", r.token)
		return nil
	}
	return r.finish()
}

func (r *runCommand) readTexts() error {
	if len(r.texts) > 0 {
		return nil
	}
	lines := bufio.NewScanner(r.in)
	for lines.Scan() {
		if text := strings.TrimSpace(lines.Text()); text != "" {
			r.texts = append(r.texts, text)
		}
	}
	if len(r.texts) == 0 {
		return &jkcommand.UsageError{Detail: "no text is given; name texts as arguments or send lines to standard input"}
	}
	return lines.Err()
}

func (r *runCommand) create() error {
	body := map[string]any{"workspace": r.workspace, "template": r.template}
	if r.budget > 0 {
		body["budget_tokens"] = r.budget
	}
	if r.parent != "" {
		body["parent_token"] = r.parent
	}
	var p jkapi.Program
	// The request id lets the host that received it first recognise a retry.
	a, err := r.send(jkcaller.Request{
		Method: http.MethodPost, Path: programsPath, Body: body,
		Header: map[string]string{jkapi.HeaderRequest: uuid.NewString()},
	}, &p)
	r.program, r.token = p.ID, a.Header.Get(jkapi.HeaderToken)
	return err
}

func (r *runCommand) turn(n int, text string) error {
	r.messages = append(r.messages, jkchat.Message{Role: jkchat.RoleUser, Content: jkchat.Text(text)})
	var completion jkchat.Completion
	a, err := r.send(jkcaller.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: map[string]string{jkapi.HeaderToken: r.token, jkapi.HeaderRequest: uuid.NewString()},
		Body:   jkchat.Request{Model: r.model, Messages: r.messages, MaxTokens: r.maxTokens},
	}, &completion)
	if err != nil {
		return err
	}
	if len(completion.Choices) == 0 {
		return errors.New("the completion has no choices")
	}
	answer := completion.Choices[0].Message
	r.messages = append(r.messages, answer)
	r.token = a.Header.Get(jkapi.HeaderToken)
	fmt.Fprintf(r.out, "turn %d: %s\n", n, answer.Content.String())
	return nil
}

func (r *runCommand) finish() error {
	var p jkapi.Program
	_, err := r.send(jkcaller.Request{
		Method: http.MethodPost, Path: programsPath + "/" + r.program + "/finish",
		Header: map[string]string{jkapi.HeaderToken: r.token},
	}, &p)
	if err != nil {
		return adviseProgram(err)
	}
	fmt.Fprintf(r.out, "%s after %d turns, %d of %d tokens spent\n", p.End, p.Turn, p.Spent, p.Budget)
	return nil
}

// send sends a request, and retries it through the next server. The retries are
// safe because they have the same token and request id.
func (r *runCommand) send(q jkcaller.Request, into any) (jkcaller.Response, error) {
	for attempt := 0; ; attempt++ {
		q.Server = r.servers[attempt%len(r.servers)]
		ctx, cancel := r.requestContext()
		a, err := jkcaller.SendAndDecode(ctx, q, into)
		cancel()
		wait, retryable := retryDelay(err)
		if !retryable || attempt+1 == maxAttempts {
			return a, err
		}
		r.timer.Wait(wait, nil)
	}
}

// retryDelay reports whether a retry of the request can succeed, and the delay
// before it.
func retryDelay(err error) (time.Duration, bool) {
	var noAnswer *jkcommand.NoAnswerError
	var p *jkproblem.Problem
	switch {
	case errors.As(err, &noAnswer):
		return defaultRetryInterval, true
	case !errors.As(err, &p):
		return 0, false
	case p.RetryAfter > 0:
		return time.Duration(p.RetryAfter) * time.Millisecond, true
	}
	return defaultRetryInterval, p.Type == jkproblem.TypeUnavailable
}

// hostsNotUp returns the hosts that a status doesn't show as up.
func hostsNotUp(hosts []jkdaemon.HostStatus) []Missing {
	var missing []Missing
	for _, h := range hosts {
		if h.Status != string(jkmember.StatusUp) {
			missing = append(missing, Missing{Host: h.Host, Reason: "it is " + h.Status})
		}
	}
	return missing
}

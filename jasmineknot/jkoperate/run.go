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
	// maxTries bounds the tries of one request; with the longest wait between
	// them they outlast a takeover, which begins after 3 s without heartbeat.
	maxTries = 8
	// tryInterval is the wait before a retry whose problem names none.
	tryInterval = time.Second
)

// runCommand runs a program from a list of texts.
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
	// The request id lets the first host recognise a retry.
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
		return errors.New("the answer has no choice")
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

// send sends a request and repeats it with the same token and request id, which
// makes the repeat safe, through the next server.
func (r *runCommand) send(q jkcaller.Request, into any) (jkcaller.Answer, error) {
	for try := 0; ; try++ {
		q.Server = r.servers[try%len(r.servers)]
		ctx, cancel := r.context()
		a, err := jkcaller.Read(ctx, q, into)
		cancel()
		wait, again := retryAfter(err)
		if !again || try+1 == maxTries {
			return a, err
		}
		r.timer.Wait(wait, nil)
	}
}

// retryAfter tells whether another try of the same request can succeed, and
// after which time.
func retryAfter(err error) (time.Duration, bool) {
	var noAnswer *jkcommand.NoAnswerError
	var p *jkproblem.Problem
	switch {
	case errors.As(err, &noAnswer):
		return tryInterval, true
	case !errors.As(err, &p):
		return 0, false
	case p.RetryAfter > 0:
		return time.Duration(p.RetryAfter) * time.Millisecond, true
	}
	return tryInterval, p.Type == jkproblem.TypeUnavailable
}

// silent returns the hosts that a status shows as not up.
func silent(hosts []jkdaemon.HostStatus) []Missing {
	var missing []Missing
	for _, h := range hosts {
		if h.Status != string(jkmember.StatusUp) {
			missing = append(missing, Missing{Host: h.Host, Reason: "it is " + h.Status})
		}
	}
	return missing
}

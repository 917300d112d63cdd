package jkoperate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

const programsPath = "/v1/programs"

func registerProgram(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("program", "Run, show, cancel and list programs.")
	c := newCommand(cmd, in, out)
	registerRun(cmd, c)
	list := cmd.Command("list", "List the programs of all hosts that answer.")
	workspace := list.Flag("workspace", "List only the programs of this workspace.").String()
	c.addJSONFlag(list)
	list.Action(func(*kingpin.ParseContext) error { return c.programList(*workspace) })
	show := cmd.Command("show", "Show a program and its turns.")
	c.addJSONFlag(show)
	shown := show.Arg("program", "Id of the program.").Required().String()
	show.Action(func(*kingpin.ParseContext) error { return c.programShow(*shown) })
	cancel := cmd.Command("cancel", "End a program and its sub-programs and release what they hold.")
	cancelled := cancel.Arg("program", "Id of the program.").Required().String()
	cancel.Action(func(*kingpin.ParseContext) error { return c.programCancel(*cancelled) })
}

func (c *command) programList(workspace string) error {
	status, err := c.fetchStatus()
	if err != nil {
		return err
	}
	var list struct {
		Programs []jkapi.Program `json:"programs"`
	}
	path := programsPath + "?workspace=" + url.QueryEscape(workspace)
	if err := c.sendToAny(jkcaller.Request{Method: http.MethodGet, Path: path}, &list); err != nil {
		return err
	}
	missing := hostsNotUp(status.Hosts)
	if c.json {
		return c.printJSON(map[string]any{"programs": list.Programs, "missing": missing})
	}
	rows := [][]any{{"PROGRAM", "WORKSPACE", "TEMPLATE", "HOME", "TURN", "SPENT", "BUDGET", "STATE"}}
	for _, p := range list.Programs {
		rows = append(rows, []any{p.ID, orDash(p.Workspace), p.Template, p.Home, p.Turn, p.Spent, p.Budget, programState(p)})
	}
	c.printTable(rows)
	c.printMissing(missing, len(status.Hosts))
	return nil
}

// programState returns how a program has ended, or else whether it has a running
// call or waits for its next one.
func programState(p jkapi.Program) string {
	switch {
	case p.End != "":
		return p.End
	case p.Running != "":
		return "running"
	}
	return "waiting"
}

func (c *command) programShow(id string) error {
	var p jkapi.Program
	if err := c.sendToAny(jkcaller.Request{Method: http.MethodGet, Path: programsPath + "/" + url.PathEscape(id)}, &p); err != nil {
		return adviseProgram(err)
	}
	if c.json {
		return c.printJSON(p)
	}
	c.printTable([][]any{
		{"program", p.ID},
		{"state", programState(p)},
		{"workspace", orDash(p.Workspace)},
		{"template", p.Template},
		{"parent", orDash(p.Parent)},
		{"home", fmt.Sprintf("%s, epoch %d", p.Home, p.Epoch)},
		{"copies", orDash(strings.Join(p.Copies, ", "))},
		{"tokens", fmt.Sprintf("%d spent, %d granted, budget %d", p.Spent, p.Granted, p.Budget)},
	})
	fmt.Fprintln(c.out)
	rows := [][]any{{"TURN", "KIND", "OUTCOME", "ENDPOINT", "TOKENS", "REQUEST"}}
	for _, t := range p.Turns {
		rows = append(rows, []any{t.Number, t.Kind, t.Outcome, orDash(t.Endpoint), t.Cost, t.RequestID})
	}
	c.printTable(rows)
	return nil
}

func (c *command) programCancel(id string) error {
	var p jkapi.Program
	if err := c.sendToAny(jkcaller.Request{Method: http.MethodPost, Path: programsPath + "/" + url.PathEscape(id) + "/cancel"}, &p); err != nil {
		return adviseProgram(err)
	}
	fmt.Fprintf(c.out, "program %s has ended: %s\n", p.ID, p.End)
	return nil
}

// adviseProgram adds to a problem what the operator can do.
func adviseProgram(err error) error {
	var p *jkproblem.Problem
	if !errors.As(err, &p) {
		return err
	}
	switch p.Type {
	case jkproblem.TypeUnknownProgram:
		return &jkcommand.AdviceError{Cause: err, Advice: "check the id by: jasmineknot program list"}
	case jkproblem.TypeUnavailable, jkproblem.TypeProgramMoved:
		return &jkcommand.AdviceError{Cause: err, Advice: "its home can't be reached now; run the command again in a few seconds"}
	case jkproblem.TypeQuarantined:
		return &jkcommand.AdviceError{Cause: err, Advice: "see jasmineknot quarantine list"}
	case jkproblem.TypeBudgetExhausted:
		return &jkcommand.AdviceError{Cause: err, Advice: "raise budget_tokens in the section programs, or lower --max-tokens"}
	}
	return err
}

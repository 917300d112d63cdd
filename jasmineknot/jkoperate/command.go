// Package jkoperate holds the operators' commands for a running site: status,
// program, endpoint, host, orders, quarantine and report. The commands that edit
// the configuration in general are in jkcommand.
package jkoperate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

// defaultServer is the URL at which a daemon on the same machine serves callers.
const defaultServer = "http://127.0.0.1:8000"

// serverVariable is the environment variable with the URL of a daemon.
const serverVariable = "JASMINEKNOT_SERVER"

// command holds the streams and the flags that all commands share.
type command struct {
	in  io.Reader
	out io.Writer

	servers []string
	timeout time.Duration
	json    bool
}

// Register adds the commands to an application.
func Register(app *kingpin.Application) { RegisterWithStreams(app, os.Stdin, os.Stdout) }

// RegisterWithStreams is Register with given streams for input and output.
func RegisterWithStreams(app *kingpin.Application, in io.Reader, out io.Writer) {
	registerStatus(app, in, out)
	registerProgram(app, in, out)
	registerEndpoint(app, in, out)
	registerHost(app, in, out)
	registerOrders(app, in, out)
	registerQuarantine(app, in, out)
	registerReport(app, in, out)
}

func newCommand(cmd *kingpin.CmdClause, in io.Reader, out io.Writer) *command {
	c := &command{in: in, out: out}
	cmd.Flag("server", "URL of a daemon; repeat it to name others that are asked if the first doesn't answer.").
		Envar(serverVariable).Default(defaultServer).StringsVar(&c.servers)
	cmd.Flag("timeout", "Longest wait for an answer.").Default("10s").DurationVar(&c.timeout)
	return c
}

func (c *command) addJSONFlag(cmd *kingpin.CmdClause) {
	cmd.Flag("json", "Print JSON instead of a table.").BoolVar(&c.json)
}

func (c *command) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.timeout)
}

// sendToAny sends a request to one server after the other until one answers.
func (c *command) sendToAny(r jkcaller.Request, into any) error {
	var failed error
	for _, server := range c.servers {
		r.Server = server
		ctx, cancel := c.requestContext()
		_, err := jkcaller.SendAndDecode(ctx, r, into)
		cancel()
		var noAnswer *jkcommand.NoAnswerError
		if !errors.As(err, &noAnswer) {
			return err
		}
		failed = err
	}
	return &jkcommand.AdviceError{Cause: failed, Advice: "check --server or name another daemon"}
}

func (c *command) printJSON(v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(c.out, string(text))
	return nil
}

// printTable prints rows in aligned columns; a header is the first row.
func (c *command) printTable(rows [][]any) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	// The writer only fails if the output does.
	_ = w.Flush()
}

// orDash returns "-" for an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Package jkcommand holds the config commands of the jasmineknot command line, with
// their client of the configuration API, and the error types and exit codes that
// all commands share. The other commands are in jkoperate and jkdemo.
package jkcommand

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Register adds the config commands to an application.
func Register(app *kingpin.Application) {
	RegisterWithStreams(app, os.Stdin, os.Stdout)
}

// RegisterWithStreams is Register with given streams for input and output.
func RegisterWithStreams(app *kingpin.Application, in io.Reader, out io.Writer) {
	c := &configCommand{in: in, out: out}
	cmd := app.Command("config", "Read and edit the configuration document.")
	cmd.Flag("server", "URL of a daemon.").Envar("JASMINEKNOT_SERVER").
		Default("http://127.0.0.1:8000").StringVar(&c.server)
	cmd.Flag("timeout", "Longest wait for an answer.").Default("30s").DurationVar(&c.timeout)
	c.registerGet(cmd)
	c.registerEdit(cmd)
	c.registerValidate(cmd)
	c.registerDiff(cmd)
	c.registerHistory(cmd)
}

func (c *configCommand) registerGet(parent *kingpin.CmdClause) {
	cmd := parent.Command("get", "Print the document, or one section of it.").Action(c.get)
	cmd.Arg("section", "Section to print.").HintOptions(sectionNames()...).StringVar(&c.section)
	cmd.Flag("revision", "Revision to print instead of the newest one.").Uint64Var(&c.revision)
	cmd.Flag("for-edit", "Print the section together with its base revision, for the edit command.").BoolVar(&c.forEdit)
}

func (c *configCommand) registerEdit(parent *kingpin.CmdClause) {
	cmd := parent.Command("edit", "Replace a section by a file that get --for-edit has printed and you have changed.").Action(c.edit)
	cmd.Arg("file", "File to read; standard input by default.").StringVar(&c.file)
	cmd.Flag("team", "Team that makes the edit.").Envar("JASMINEKNOT_TEAM").Required().StringVar(&c.team)
	cmd.Flag("edit-id", "Id of an edit that is sent again; a new one by default.").StringVar(&c.editID)
}

func (c *configCommand) registerValidate(parent *kingpin.CmdClause) {
	cmd := parent.Command("validate", "Check a file against the schema and the other sections, without writing.").Action(c.validate)
	cmd.Arg("file", "File to read, from get --for-edit or an object of sections; standard input by default.").StringVar(&c.file)
}

func (c *configCommand) registerDiff(parent *kingpin.CmdClause) {
	cmd := parent.Command("diff", "Print the difference between a file or an old revision and another revision.").Action(c.diff)
	cmd.Arg("file", "File to compare with the document; standard input by default.").StringVar(&c.file)
	cmd.Flag("from", "Older revision, instead of a file.").Uint64Var(&c.from)
	cmd.Flag("to", "Newer revision; the newest one by default.").Uint64Var(&c.revision)
}

func (c *configCommand) registerHistory(parent *kingpin.CmdClause) {
	cmd := parent.Command("history", "Print accepted edits, the newest first.").Action(c.history)
	cmd.Flag("before", "Print edits before this revision.").Uint64Var(&c.before)
	cmd.Flag("limit", "Number of edits to read, 1 to 500.").Default("20").IntVar(&c.limit)
	cmd.Flag("section", "Print only edits of this section.").HintOptions(sectionNames()...).StringVar(&c.section)
	cmd.Flag("patch", "Print each edit's merge patch.").BoolVar(&c.patch)
}

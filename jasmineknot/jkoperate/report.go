package jkoperate

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkobjective"
	"jasmineknot.example/core/jkreport"
	"jasmineknot.example/jasmineknot/jkcaller"
)

func registerReport(app *kingpin.Application, in io.Reader, out io.Writer) {
	cmd := app.Command("report", "Show how fast the error budgets of the service-level objectives burn.")
	c := newCommand(cmd, in, out)
	c.addJSONFlag(cmd)
	page := cmd.Flag("html", "Write a page with plots to this file as well.").String()
	cmd.Action(func(*kingpin.ParseContext) error { return c.report(*page) })
}

// report merges the counters of all hosts.
func (c *command) report(page string) error {
	status, err := c.fetchStatus()
	if err != nil {
		return err
	}
	answers, missing := c.sendToAll(status, jkcaller.Request{Method: http.MethodGet, Path: "/v1/report"},
		func() any { return &jkobjective.Snapshot{} })
	var snapshots []jkobjective.Snapshot
	for _, p := range answers {
		snapshots = append(snapshots, *p.body.(*jkobjective.Snapshot))
	}
	absent := make([]jkreport.MissingHost, 0, len(missing))
	for _, m := range missing {
		absent = append(absent, jkreport.MissingHost(m))
	}
	r := jkreport.Build(snapshots, absent)
	if page != "" {
		if err := writePage(page, r); err != nil {
			return err
		}
	}
	if c.json {
		return c.printJSON(r)
	}
	if err := jkreport.WriteText(c.out, r); err != nil {
		return err
	}
	if page != "" {
		fmt.Fprintf(c.out, "the page is in %s\n", page)
	}
	return nil
}

func writePage(name string, r jkreport.Report) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create the page")
	}
	if err := jkreport.WriteHTML(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "write the page")
}

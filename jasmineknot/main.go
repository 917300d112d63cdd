// Command jasmineknot is the command line of operators and callers of
// jasmineknot, a scheduler for agent programs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/jasmineknot/jkcommand"
	"jasmineknot.example/jasmineknot/jkdemo"
	"jasmineknot.example/jasmineknot/jkoperate"
)

func main() {
	app := kingpin.New("jasmineknot", "Operate jasmineknot, a scheduler for agent programs.")
	jkcommand.Register(app)
	jkdemo.Register(app)
	jkoperate.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jasmineknot: "+err.Error())
		os.Exit(jkcommand.ExitCode(err))
	}
}

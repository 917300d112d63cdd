// Command jasmineknotbench serves stand-ins of the systems around jasmineknot,
// generates load on a running site and compares scheduling policies.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/jasmineknotbench/jkcapacity"
	"jasmineknot.example/jasmineknotbench/jkfleet"
	"jasmineknot.example/jasmineknotbench/jkload"
	"jasmineknot.example/jasmineknotbench/jkpath"
	"jasmineknot.example/jasmineknotbench/jkpolicy"
	"jasmineknot.example/jasmineknotbench/jkstandincmd"
)

func main() {
	app := kingpin.New("jasmineknotbench", "Stand-ins, load and policy experiments for jasmineknot.")
	app.HelpFlag.Short('h')
	jkstandincmd.Register(app)
	jkcapacity.Register(app)
	jkfleet.Register(app)
	jkload.Register(app)
	jkpolicy.Register(app)
	jkpath.Register(app)
	_, err := app.Parse(os.Args[1:])
	app.FatalIfError(err, "")
}

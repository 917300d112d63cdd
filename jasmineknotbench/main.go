// Command jasmineknotbench is part of jasmineknot, a scheduler for agent programs.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/jasmineknotbench/jkpolicy"
)

func main() {
	app := kingpin.New("jasmineknotbench", "Measures jasmineknot.")
	jkpolicy.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

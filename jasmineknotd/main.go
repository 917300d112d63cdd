// Command jasmineknotd is the daemon of a jasmineknot entry host.
package main

import (
	"os"

	"jasmineknot.example/jasmineknotd/jkdaemoncmd"
)

func main() {
	os.Exit(jkdaemoncmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}

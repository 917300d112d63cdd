// Package jkcapacity works out what a daemon and the platform spend at the target
// size, from slopes that were measured on one machine.
package jkcapacity

import (
	_ "embed" // the measured slopes
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

//go:embed slopes.json
var measured []byte

// command holds the values of the flags.
type command struct {
	slopes string
	json   bool
}

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	c := &command{}
	cmd := app.Command("capacity", "Work out the capacity page from measured slopes.")
	cmd.Flag("slopes", "File of slopes; the checked-in one by default.").StringVar(&c.slopes)
	cmd.Flag("json", "Print JSON.").BoolVar(&c.json)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run(os.Stdout) })
}

func (c *command) run(out io.Writer) error {
	text := measured
	if c.slopes != "" {
		var err error
		if text, err = os.ReadFile(c.slopes); err != nil {
			return eris.Wrap(err, "read slopes")
		}
	}
	p, err := Work(text)
	if err != nil {
		return err
	}
	if c.json {
		return json.NewEncoder(out).Encode(p)
	}
	return p.Write(out)
}

// Package jkcapacity estimates the load on a daemon and on the platform at the target
// size, by extrapolating from costs that were measured on one machine. It measures
// nothing itself; the fleet command measures the fleets.
package jkcapacity

import (
	_ "embed" // embeds slopes.json
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
)

//go:embed slopes.json
var defaultSlopes []byte

// command holds the values of the flags.
type command struct {
	slopesPath string
	json       bool
}

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	c := &command{}
	cmd := app.Command("capacity", "Work out the capacity page from measured slopes.")
	cmd.Flag("slopes", "File of slopes; the checked-in one by default.").StringVar(&c.slopesPath)
	cmd.Flag("json", "Print JSON.").BoolVar(&c.json)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run(os.Stdout) })
}

func (c *command) run(out io.Writer) error {
	text := defaultSlopes
	if c.slopesPath != "" {
		var err error
		if text, err = os.ReadFile(c.slopesPath); err != nil {
			return eris.Wrap(err, "read slopes")
		}
	}
	p, err := NewPlan(text)
	if err != nil {
		return err
	}
	if c.json {
		return json.NewEncoder(out).Encode(p)
	}
	return p.WriteMarkdown(out)
}

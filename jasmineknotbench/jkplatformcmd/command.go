// Package jkplatformcmd is the command that serves a stand-in platform.
package jkplatformcmd

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/jasmineknotbench/jkserve"
)

// command holds the values of the flags.
type command struct {
	address string
	limits  jkstandin.PlatformLimits
}

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	c := &command{}
	cmd := app.Command("standin-platform", "Serve a stand-in platform: key-value service, leases, watches and host list.")
	cmd.Flag("address", "Loopback address; port 0 picks a free port.").Default("127.0.0.1:0").StringVar(&c.address)
	cmd.Flag("reads", "Reads a second; 0 means no limit.").Default("2000").Float64Var(&c.limits.Reads)
	cmd.Flag("writes", "Writes a second; 0 means no limit.").Default("400").Float64Var(&c.limits.Writes)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *command) run() error {
	timer := jktimer.New()
	log := jklog.New(os.Stderr, timer.Now).Part("platform")
	return jkserve.Run(c.address, jkstandin.NewPlatform(timer, c.limits), timer, log)
}

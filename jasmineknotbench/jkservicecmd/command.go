// Package jkservicecmd is the command that serves a stand-in plain service.
package jkservicecmd

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/jasmineknotbench/jkserve"
)

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	var address string
	var options jkstandin.ServiceOptions
	cmd := app.Command("standin-service", "Serve a stand-in plain service with non-repeatable actions.")
	cmd.Flag("address", "Loopback address; port 0 picks a free port.").Default("127.0.0.1:0").StringVar(&address)
	cmd.Flag("time-scale", "Real seconds per modelled second.").Default("1").Float64Var(&options.TimeScale)
	cmd.Flag("delay", "Modelled time of an action.").Default("5ms").DurationVar(&options.Delay)
	cmd.Action(func(*kingpin.ParseContext) error {
		timer := jktimer.New()
		logger := jklog.New(os.Stderr, timer.Now)
		return jkserve.Run(address, jkstandin.NewService(options, timer, logger), timer, logger.Part("service"))
	})
}

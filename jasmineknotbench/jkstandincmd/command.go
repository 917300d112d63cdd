// Package jkstandincmd holds the commands that serve stand-ins of the systems around
// jasmineknot: platform, model engine, plain service and tool service. The stand-ins
// themselves are in jkstandin.
package jkstandincmd

import (
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/jasmineknotbench/jkserve"
)

// Register adds the commands to an application.
func Register(app *kingpin.Application) {
	registerPlatform(app)
	registerEngine(app)
	registerService(app)
	registerTool(app)
}

// addServeCommand adds the command standin-<name>, which serves a handler until
// SIGTERM or SIGINT. The handler is created after the flags are parsed.
func addServeCommand(app *kingpin.Application, name, help string, newHandler func(*jktimer.Service, jklog.Logger) http.Handler) *kingpin.CmdClause {
	var address string
	cmd := app.Command("standin-"+name, help)
	cmd.Flag("address", "Loopback address; port 0 picks a free port.").Default("127.0.0.1:0").StringVar(&address)
	return cmd.Action(func(*kingpin.ParseContext) error {
		timer := jktimer.New()
		logger := jklog.New(os.Stderr, timer.Now)
		return jkserve.Run(address, newHandler(timer, logger), timer, logger.Part(name))
	})
}

func registerPlatform(app *kingpin.Application) {
	var limits jkstandin.PlatformLimits
	cmd := addServeCommand(app, "platform", "Serve a stand-in platform: key-value service, leases, watches and host list.",
		func(timer *jktimer.Service, _ jklog.Logger) http.Handler { return jkstandin.NewPlatform(timer, limits) })
	cmd.Flag("reads", "Reads a second; 0 means no limit.").Default("2000").Float64Var(&limits.Reads)
	cmd.Flag("writes", "Writes a second; 0 means no limit.").Default("400").Float64Var(&limits.Writes)
}

func registerService(app *kingpin.Application) {
	var options jkstandin.ServiceOptions
	cmd := addServeCommand(app, "service", "Serve a stand-in plain service with non-repeatable actions.",
		func(timer *jktimer.Service, logger jklog.Logger) http.Handler {
			return jkstandin.NewService(options, timer, logger)
		})
	cmd.Flag("time-scale", "Real seconds per modelled second.").Default("1").Float64Var(&options.TimeScale)
	cmd.Flag("delay", "Modelled time of an action.").Default("5ms").DurationVar(&options.Delay)
}

func registerTool(app *kingpin.Application) {
	var options jkstandin.ToolOptions
	cmd := addServeCommand(app, "tool", "Serve a stand-in tool service.",
		func(timer *jktimer.Service, logger jklog.Logger) http.Handler {
			return jkstandin.NewTool(options, timer, logger)
		})
	cmd.Flag("time-scale", "Real seconds per modelled second.").Default("1").Float64Var(&options.TimeScale)
	cmd.Flag("pause", "Modelled time of a call that names none.").Default("500ms").DurationVar(&options.Pause)
}

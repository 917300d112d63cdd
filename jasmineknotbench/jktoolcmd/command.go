// Package jktoolcmd is the command that serves a stand-in tool service.
package jktoolcmd

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
	var options jkstandin.ToolOptions
	cmd := app.Command("standin-tool", "Serve a stand-in tool service.")
	cmd.Flag("address", "Loopback address; port 0 picks a free port.").Default("127.0.0.1:0").StringVar(&address)
	cmd.Flag("time-scale", "Real seconds per modelled second.").Default("1").Float64Var(&options.TimeScale)
	cmd.Flag("pause", "Modelled time of a call that names none.").Default("500ms").DurationVar(&options.Pause)
	cmd.Action(func(*kingpin.ParseContext) error {
		timer := jktimer.New()
		logger := jklog.New(os.Stderr, timer.Now)
		return jkserve.Run(address, jkstandin.NewTool(options, timer, logger), timer, logger.Part("tool"))
	})
}

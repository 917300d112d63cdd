// Package jkdaemoncmd is the command line of the daemon, with the commands run and
// check-settings. The daemon itself is in core/jkdaemon.
package jkdaemoncmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkschema"
	"jasmineknot.example/core/jksettings"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("jasmineknotd", "The daemon of a jasmineknot entry host.")
	app.HelpFlag.Short('h')
	app.Writer(stderr)
	run := app.Command("run", "Serve until SIGTERM or SIGINT.").Default()
	runFile := run.Flag("settings", "The settings file in JSON.").Short('s').Required().String()
	check := app.Command("check-settings", "Check a settings file and name every wrong field.")
	checkFile := check.Flag("settings", "The settings file in JSON.").Short('s').Required().String()
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "jasmineknotd: %v, try --help\n", err)
		return exitUsage
	}
	if selected == check.FullCommand() {
		return checkSettings(*checkFile, stdout, stderr)
	}
	return serve(*runFile, stdout, stderr)
}

func checkSettings(path string, stdout, stderr io.Writer) int {
	s, err := jksettings.Load(path)
	if err != nil {
		return settingsError(stderr, err)
	}
	fmt.Fprintf(stdout, "settings of host %s in zone %s are valid\n", s.Host(), s.Zone())
	return exitOK
}

func settingsError(stderr io.Writer, err error) int {
	var report *jkschema.ReportError
	if errors.As(err, &report) {
		fmt.Fprintln(stderr, report.Error())
		return exitSettings
	}
	fmt.Fprintf(stderr, "jasmineknotd: %v\n", err)
	return exitFailure
}

// memoryLimitPercent is the share of the memory limit, in percent, from which the garbage
// collector runs more often. The rest is for stacks, kernel buffers and the binary.
const memoryLimitPercent = 60

func serve(path string, stdout, stderr io.Writer) int {
	s, err := jksettings.Load(path)
	if err != nil {
		return settingsError(stderr, err)
	}
	debug.SetMemoryLimit(s.Limits().MemoryBytes() * memoryLimitPercent / 100)
	timer := jktimer.New()
	log := jklog.New(stderr, timer.Now).Allow(string(s.LogLevel()))
	faults := &jkwire.Faults{}
	d, err := jkdaemon.New(s, jkdaemon.Options{Timer: timer, Log: log, Faults: faults})
	if err != nil {
		log.Part("daemon").Error("host can't start", err)
		return exitFailure
	}
	registerFaults(d, faults)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d.Start(context.Background())
	fmt.Fprintf(stdout, "{\"ready\":true,\"http\":%q,\"listen\":%q}\n", d.HTTP(), d.Addr())
	<-ctx.Done()
	d.Stop()
	return exitOK
}

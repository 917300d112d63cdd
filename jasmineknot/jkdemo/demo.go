// Package jkdemo implements the demo command: it starts a site within the process,
// runs a program with a sub-program on it over HTTP, and checks the answers, the
// program's figures, and what the stand-in engines and services did. It is no load
// test.
package jkdemo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

const (
	// timeScale makes the stand-in engines 100 times faster than real ones.
	timeScale = 0.01
	// demoTimeout bounds the whole demo.
	demoTimeout = 60 * time.Second
)

// Options configures Run.
type Options struct {
	Out io.Writer
	Log jklog.Logger
	// Prepare changes the site before the program starts; nil outside tests.
	Prepare func(*jksite.Embedded)
}

// Register adds the demo command to an application.
func Register(app *kingpin.Application) {
	cmd := app.Command("demo", "Run one program on a site within this process and check every step.")
	level := cmd.Flag("log-level", "Lowest level of the daemons' log lines.").Default("error").Enum("debug", "info", "warn", "error")
	cmd.Action(func(*kingpin.ParseContext) error {
		return Run(context.Background(), Options{Out: os.Stdout, Log: jklog.New(os.Stderr, time.Now).Allow(*level)})
	})
}

// Run starts the site, runs the program and stops the site. It stops at the first
// expectation that isn't met and returns it as an error.
func Run(ctx context.Context, o Options) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "jasmineknot-demo-")
	if err != nil {
		return eris.Wrap(err, "create a temporary data folder for the hosts")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = timeScale
	site, err := jksite.StartEmbedded(ctx, jksite.EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Engine: options, Log: o.Log,
		// With these intervals the hosts discover each other within a second.
		Intervals: map[string]string{"heartbeat": "100ms", "zone_digest": "200ms"},
		Folder:    func(host string) string { return filepath.Join(folder, host) },
	})
	defer site.Stop(context.WithoutCancel(ctx))
	if err != nil {
		return eris.Wrap(err, "start the site")
	}
	if o.Prepare != nil {
		o.Prepare(site)
	}
	r := &demoRun{ctx: ctx, out: o.Out, site: site, start: site.Timer.Now()}
	if err := r.runSteps(); err != nil {
		return fmt.Errorf("the demo failed: %w", err)
	}
	return nil
}

// Package jkfleet measures how the control overhead of a daemon (processor time,
// memory, control traffic) grows with the fleet. It starts many daemons as plain
// processes next to stand-ins of the platform and the engines, and reads the
// daemons' own metrics. It doesn't check outcomes; the load command does.
package jkfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktimer"
)

// maxDaemons keeps a run within a few hundred processes.
const maxDaemons = 200

// command holds the values of the flags.
type command struct {
	daemonPath         string
	sizes              string
	zones              int
	endpointsPerDaemon int
	settleTime         time.Duration
	window             time.Duration
	programRate        float64
	answerTokens       int
	json               bool
	folder             string
}

// Register adds the command to an application.
func Register(app *kingpin.Application) {
	c := &command{}
	cmd := app.Command("fleet", "Measure processor time, memory and control traffic of a daemon at several fleet sizes.")
	cmd.Flag("daemon", "Path of the jasmineknotd program.").Required().StringVar(&c.daemonPath)
	cmd.Flag("sizes", "Numbers of daemons, separated by commas.").Default("7,25,50,100").StringVar(&c.sizes)
	cmd.Flag("zones", "Availability zones.").Default("9").IntVar(&c.zones)
	cmd.Flag("endpoints", "Endpoints in the configuration for each daemon; the target has 19.").Default("19").IntVar(&c.endpointsPerDaemon)
	cmd.Flag("settle", "Time between the start and the measurement.").Default("8s").DurationVar(&c.settleTime)
	cmd.Flag("window", "Length of the measurement.").Default("10s").DurationVar(&c.window)
	cmd.Flag("rate", "New programs a second for each daemon; 0 measures an idle fleet.").Default("0").Float64Var(&c.programRate)
	cmd.Flag("answer-tokens", "Tokens of each answer of the load.").Default("16").IntVar(&c.answerTokens)
	cmd.Flag("folder", "Folder for settings and data; a temporary one by default.").StringVar(&c.folder)
	cmd.Flag("json", "Print JSON.").BoolVar(&c.json)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run(os.Stdout) })
}

func (c *command) run(out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sizes, err := parseSizes(c.sizes)
	if err != nil {
		return err
	}
	folder := c.folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "jkfleet"); err != nil {
			return eris.Wrap(err, "create folder")
		}
		defer os.RemoveAll(folder)
	}
	var results []Result
	for _, n := range sizes {
		r, err := c.measure(ctx, jktimer.New(), folder, n)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if c.json {
		return json.NewEncoder(out).Encode(results)
	}
	return writeTable(out, results)
}

func parseSizes(text string) ([]int, error) {
	var sizes []int
	for _, s := range strings.Split(text, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > maxDaemons {
			return nil, eris.Errorf("sizes: got %q, allowed: numbers from 1 to %d", s, maxDaemons)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func writeTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "daemons\tzone size\tendpoints\tcore %\tcore % max\tmemory MB\tmemory MB max\tcontrol B/s\tcontrol B/s max\tplatform calls/s\tcalls/s\t")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t\n",
			r.Daemons, r.ZoneSize, r.Endpoints, 100*r.Core, 100*r.CoreMax, r.Memory/1e6, r.MemoryMax/1e6, r.Control, r.ControlMax, r.PlatformCalls, r.Calls)
	}
	return w.Flush()
}

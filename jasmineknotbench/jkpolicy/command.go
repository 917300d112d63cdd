package jkpolicy

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jktimer"
)

// command holds the flags and outputs of the command "policy".
type command struct {
	settings settings
	workload string
	json     bool
	html     string
	quiet    bool
	out      io.Writer
	progress io.Writer
	timer    *jktimer.Service
}

// sweepLoads are the offered loads, as shares of the capacity, of the plot of latency
// over load.
var sweepLoads = []float64{0.3, 0.5, 0.7, 0.8, 0.85, 0.9, 0.95}

// Register adds the command "policy" to the application.
func Register(app *kingpin.Application) {
	c := &command{settings: settings{sweep: sweepLoads}, out: os.Stdout, progress: os.Stderr, timer: jktimer.New()}
	cmd := app.Command("policy", "Compare scheduling policies in virtual time.")
	cmd.Flag("seeds", "Number of seeds; figures are medians with their range.").Default("1").IntVar(&c.settings.seeds)
	cmd.Flag("seed", "First seed.").Default("1").Uint64Var(&c.settings.seed)
	cmd.Flag("load", "Offered load as a share of the fleet's capacity.").Default("0.85").Float64Var(&c.settings.load)
	cmd.Flag("duration", "Measured virtual time.").Default("300s").DurationVar(&c.settings.duration)
	cmd.Flag("workload", "Workload, or all.").Default("all").EnumVar(&c.workload, append([]string{"all"}, workloadNames...)...)
	cmd.Flag("json", "Print JSON instead of tables.").BoolVar(&c.json)
	cmd.Flag("html", "Also write a report with plots to this file.").StringVar(&c.html)
	cmd.Flag("quiet", "Print no progress.").BoolVar(&c.quiet)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *command) validate() error {
	switch {
	case c.settings.seeds < 1:
		return eris.Errorf("seeds %d: want at least 1", c.settings.seeds)
	case c.settings.load <= 0 || c.settings.load > 2:
		return eris.Errorf("load %g: want more than 0 and at most 2", c.settings.load)
	case c.settings.duration < 60*time.Second:
		return eris.Errorf("duration %s: want at least 60s", c.settings.duration)
	}
	return nil
}

func (c *command) run() error {
	if err := c.validate(); err != nil {
		return err
	}
	names := workloadNames
	if c.workload != "all" {
		names = []string{c.workload}
	}
	var reports []report
	var all []*results
	for _, name := range names {
		w, err := loadWorkload(name)
		if err != nil {
			return err
		}
		r := runExperiment(w, c.settings, c.reporter(name))
		rows := r.rows()
		all = append(all, r)
		reports = append(reports, newReport(r, rows))
		if c.json {
			continue
		}
		if err := writeTable(c.out, r, rows); err != nil {
			return eris.Wrap(err, "write table")
		}
		fmt.Fprintln(c.out)
	}
	if c.html != "" {
		if err := writeHTML(c.html, all, reports); err != nil {
			return err
		}
	}
	if c.json {
		return eris.Wrap(writeJSON(c.out, reports), "write JSON")
	}
	return nil
}

// reporter returns a function that prints progress at most every two seconds.
func (c *command) reporter(name string) func(done, total int) {
	last := c.timer.Now()
	return func(done, total int) {
		now := c.timer.Now()
		if c.quiet || now.Sub(last) < 2*time.Second {
			return
		}
		last = now
		fmt.Fprintf(c.progress, "policy: %s: %d of %d runs\n", name, done, total)
	}
}

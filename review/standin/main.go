// Command standin runs one case of the review: it starts the project's processes and the
// stand-ins of the platform, its servers and its clients, on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

var cases = map[string]func(f *fleet, r *runs, trouble bool) ([]string, error){
	"replaced": playReplaced,
	"restarts": playRestarts,
	"lines":    playLines,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case or program")
		return exitNotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	f, err := newFleet(dir, program, rec, retentionOf(os.Args[1]))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer f.killAll()
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		defer func() { _ = os.CopyFS(keep, os.DirFS(dir)) }()
	}
	r := newRuns()
	if err := f.addServers(r); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	f.configure()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(f, r, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.note("the case couldn't run: %v", o.err)
			return exitNotRun
		case len(o.broken) > 0:
			rec.note("broken: %s", strings.Join(o.broken, ", "))
			return exitBroken
		}
		rec.note("held")
		return exitHeld
	case <-time.After(caseLimit):
		rec.note("the case couldn't run: it takes too long")
	case <-stopped:
		rec.note("the case couldn't run: it was stopped")
	}
	return exitNotRun
}

// retentionOf returns the retention_s of a case's route of turns.
func retentionOf(name string) int {
	if name == "restarts" {
		return shortRetention
	}
	return retentionSeconds
}

package jkspec

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	// modelDir is a link to spec/ at the root. The test cache records only files
	// inside the module, so a path outside it would leave a stale result cached.
	modelDir = "models"
	// depthLimit and memoryLimitMB bound one search; reaching a bound is an error.
	depthLimit    = 20000
	memoryLimitMB = 1024
	// searches run at once: three of memoryLimitMB stay below 4 GB.
	searches = 3
	// commandLimit ends a checker that hangs.
	commandLimit = 2 * time.Minute
)

var (
	states    = regexp.MustCompile(`(\d+) states, stored`)
	depth     = regexp.MustCompile(`depth reached (\d+)`)
	violation = regexp.MustCompile(`assertion violated +(.*) \(at depth`)
	switches  = regexp.MustCompile(`\b(?:MUTANT|VARIANT|WITNESS|DESIGN)_[A-Z_]+\b`)
	slots     = make(chan struct{}, searches)
)

// result is what the checker found. Trace has one line per step.
type result struct {
	violated string
	states   string
	depth    string
	trace    string
}

// TestModels checks every model and every mutant of it. It guards against a
// protocol rule that allows a forbidden outcome, and against a model too weak
// to notice a broken rule.
//
// The commands of the table are
//
//	verify model=NAME [defines=(...)]   every reachable state satisfies the model
//	refute model=NAME defines=(...)     the checker finds a violation (a mutant)
//	reach model=NAME defines=(...)      the checker reaches the state (not vacuous)
func TestModels(t *testing.T) {
	requireTool(t, "spin", "spin")
	requireTool(t, "gcc", "gcc")
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Parallel()
		datadriven.RunTest(t, path, runCase)
	})
}

// TestTableIsComplete guards against a model or a mutant that no case checks.
func TestTableIsComplete(t *testing.T) {
	models, err := filepath.Glob(filepath.Join(modelDir, "*.pml"))
	if err != nil || len(models) == 0 {
		t.Fatalf("no models in %s: %v", modelDir, err)
	}
	for _, path := range models {
		name := strings.TrimSuffix(filepath.Base(path), ".pml")
		table := read(t, filepath.Join("testdata", name))
		if !strings.Contains(table, "verify model="+name+"\n") {
			t.Errorf("%s: no case verifies the model without defines", name)
		}
		used := switches.FindAllString(table, -1)
		for _, s := range switches.FindAllString(read(t, path), -1) {
			if !slices.Contains(used, s) {
				t.Errorf("%s: no case sets %s", name, s)
			}
		}
	}
}

func runCase(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var model string
	var defines []string
	d.ScanArgs(t, "model", &model)
	for _, a := range d.CmdArgs {
		if a.Key == "defines" {
			defines = a.Vals
		}
	}
	wantViolation := d.Cmd != "verify"
	r, err := check(t, model, defines, wantViolation)
	if err != nil {
		d.Fatalf(t, "%s %v: %v", model, defines, err)
	}
	t.Logf("%s %s %s: %s states, depth %s\n%s", d.Cmd, model, strings.Join(defines, " "), r.states, r.depth, r.trace)
	if (r.violated != "") != wantViolation {
		d.Fatalf(t, "%s %s %v: violated assertion %q\n%s", d.Cmd, model, defines, r.violated, r.trace)
	}
	switch d.Cmd {
	case "verify":
		return "holds\n"
	case "refute":
		return "refuted: " + r.violated + "\n"
	case "reach":
		return "reached\n"
	}
	d.Fatalf(t, "unknown command %q, allowed are verify, refute and reach", d.Cmd)
	return ""
}

// check searches all states of a model in a temporary directory. A search for
// a violation runs breadth first, so that its trace is a shortest one.
func check(t *testing.T, model string, defines []string, breadthFirst bool) (result, error) {
	t.Helper()
	slots <- struct{}{}
	defer func() { <-slots }()
	dir := t.TempDir()
	file := model + ".pml"
	source := read(t, filepath.Join(modelDir, file))
	if err := os.WriteFile(filepath.Join(dir, file), []byte(source), 0o600); err != nil {
		return result{}, err
	}
	var flags []string
	for _, d := range defines {
		flags = append(flags, "-D"+d)
	}
	if _, err := run(dir, "spin", append(flags, "-a", file)...); err != nil {
		return result{}, err
	}
	// Most searches for a violation are short, so compiling them is the larger part.
	build := []string{"-w", "-DSAFETY", "-DNOCLAIM", fmt.Sprintf("-DMEMLIM=%d", memoryLimitMB), "-o", "pan", "pan.c"}
	mode := []string{"-O1"}
	if breadthFirst {
		mode = []string{"-O0", "-DBFS"}
	}
	if _, err := run(dir, "gcc", append(mode, build...)...); err != nil {
		return result{}, err
	}
	out, err := run(dir, filepath.Join(dir, "pan"), fmt.Sprintf("-m%d", depthLimit), "-E")
	r := result{violated: first(violation, out), states: first(states, out), depth: first(depth, out)}
	if r.violated != "" {
		r.trace, err = run(dir, "spin", append(flags, "-t", "-B", "-T", file)...)
		return r, err
	}
	return r, errors.Join(err, complete(out))
}

// complete reports a search that a bound ended early.
func complete(out string) error {
	for _, s := range []string{"max search depth too small", "MEMLIM bound", "out of memory", "Search not completed"} {
		if strings.Contains(out, s) {
			return fmt.Errorf("incomplete search: %s\n%s", s, out)
		}
	}
	if !strings.Contains(out, "errors: 0") || !states.MatchString(out) {
		return fmt.Errorf("unexpected output of the checker:\n%s", out)
	}
	return nil
}

func run(dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%s %s: %w\n%s", name, strings.Join(args, " "), err, out)
	}
	return string(out), err
}

func requireTool(t *testing.T, name, pkg string) {
	t.Helper()
	if _, err := exec.LookPath(name); err != nil {
		t.Fatalf("%s is not installed: install the Debian package %q", name, pkg)
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func first(re *regexp.Regexp, s string) string {
	if m := re.FindStringSubmatch(s); m != nil {
		return m[1]
	}
	return ""
}

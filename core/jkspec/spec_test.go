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
	// modelDir is a symbolic link to spec/ at the root of the repository. The test cache
	// tracks only files inside the module, so that with a path outside of it a changed
	// model would leave a stale test result cached.
	modelDir = "models"
	// maxDepth and memoryLimitMB bound one search; a search that reaches a bound fails.
	maxDepth      = 20000
	memoryLimitMB = 1024
	// maxSearches bounds the concurrent searches: three of memoryLimitMB use less than 4 GB.
	maxSearches = 3
	// commandTimeout ends a command that hangs.
	commandTimeout = 2 * time.Minute
)

var (
	statesPattern    = regexp.MustCompile(`(\d+) states, stored`)
	depthPattern     = regexp.MustCompile(`depth reached (\d+)`)
	violationPattern = regexp.MustCompile(`assertion violated +(.*) \(at depth`)
	switchPattern    = regexp.MustCompile(`\b(?:MUTANT|VARIANT|WITNESS|DESIGN)_[A-Z_]+\b`)
	searchSlots      = make(chan struct{}, maxSearches)
)

// searchResult is the result of the model checker. The trace leads to the violated
// assertion, one line per step.
type searchResult struct {
	violated string
	states   string
	depth    string
	trace    string
}

// TestModels checks every model and its mutants. It guards against a protocol rule that
// allows a forbidden outcome, and against a model that doesn't detect a broken rule.
//
// The commands in testdata are
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

// TestTableIsComplete guards against a model or a mutant that no case in testdata checks.
func TestTableIsComplete(t *testing.T) {
	models, err := filepath.Glob(filepath.Join(modelDir, "*.pml"))
	if err != nil || len(models) == 0 {
		t.Fatalf("no models in %s: %v", modelDir, err)
	}
	for _, path := range models {
		name := strings.TrimSuffix(filepath.Base(path), ".pml")
		table := readFile(t, filepath.Join("testdata", name))
		if !strings.Contains(table, "verify model="+name+"\n") {
			t.Errorf("%s: no case verifies the model without defines", name)
		}
		used := switchPattern.FindAllString(table, -1)
		for _, s := range switchPattern.FindAllString(readFile(t, path), -1) {
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
	r, err := searchModel(t, model, defines, wantViolation)
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

// searchModel searches all states of a model in a temporary directory. A search for a
// violation runs breadth first, so that it finds a shortest trace.
func searchModel(t *testing.T, model string, defines []string, breadthFirst bool) (searchResult, error) {
	t.Helper()
	searchSlots <- struct{}{}
	defer func() { <-searchSlots }()
	dir := t.TempDir()
	file := model + ".pml"
	source := readFile(t, filepath.Join(modelDir, file))
	if err := os.WriteFile(filepath.Join(dir, file), []byte(source), 0o600); err != nil {
		return searchResult{}, err
	}
	var flags []string
	for _, d := range defines {
		flags = append(flags, "-D"+d)
	}
	if _, err := runCommand(dir, "spin", append(flags, "-a", file)...); err != nil {
		return searchResult{}, err
	}
	// Most searches for a violation are short and take less time than the compilation,
	// so these are compiled without optimization.
	build := []string{"-w", "-DSAFETY", "-DNOCLAIM", fmt.Sprintf("-DMEMLIM=%d", memoryLimitMB), "-o", "pan", "pan.c"}
	mode := []string{"-O1"}
	if breadthFirst {
		mode = []string{"-O0", "-DBFS"}
	}
	if _, err := runCommand(dir, "gcc", append(mode, build...)...); err != nil {
		return searchResult{}, err
	}
	out, err := runCommand(dir, filepath.Join(dir, "pan"), fmt.Sprintf("-m%d", maxDepth), "-E")
	r := searchResult{violated: firstMatch(violationPattern, out), states: firstMatch(statesPattern, out), depth: firstMatch(depthPattern, out)}
	if r.violated != "" {
		r.trace, err = runCommand(dir, "spin", append(flags, "-t", "-B", "-T", file)...)
		return r, err
	}
	return r, errors.Join(err, checkComplete(out))
}

// checkComplete returns an error if a bound ended the search early, or if the output of
// the checker doesn't report a complete search without errors.
func checkComplete(out string) error {
	for _, s := range []string{"max search depth too small", "MEMLIM bound", "out of memory", "Search not completed"} {
		if strings.Contains(out, s) {
			return fmt.Errorf("incomplete search: %s\n%s", s, out)
		}
	}
	if !strings.Contains(out, "errors: 0") || !statesPattern.MatchString(out) {
		return fmt.Errorf("unexpected output of the checker:\n%s", out)
	}
	return nil
}

func runCommand(dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
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

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func firstMatch(re *regexp.Regexp, s string) string {
	if m := re.FindStringSubmatch(s); m != nil {
		return m[1]
	}
	return ""
}

package jkoperate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/jasmineknot/jkcaller"
	"jasmineknot.example/jasmineknot/jkcommand"
)

// site is an embedded site under test.
type site struct {
	t *testing.T
	*jksite.Embedded
	// programs holds the program ids in order of their first appearance; the n-th
	// is masked as PROGRAMn.
	programs []string
	// fingerprint is the fingerprint of the content that has crashed an engine.
	fingerprint string
}

// memoryFolder returns a folder in memory where the machine has one: the disk of a busy machine may stand
// still for longer than a test lasts.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("/dev/shm", "site")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

func newSite(t *testing.T, limits map[string]int) *site {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	folder := memoryFolder(t)
	e, err := jksite.StartEmbedded(ctx, jksite.EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Engine: options, Log: jklog.Discard(),
		Intervals: map[string]string{"heartbeat": "100ms", "zone_digest": "200ms", "dead_after": "1s", "model_load": "100ms"},
		Limits:    limits, Site: jksite.Site{Replicas: 2},
		Folder: func(host string) string { return filepath.Join(folder, host) },
	})
	t.Cleanup(func() { e.Stop(context.Background()) })
	if err != nil {
		t.Fatal(err)
	}
	return &site{t: t, Embedded: e}
}

// run executes a command line and returns its output, with the values that differ
// between runs masked.
func (s *site) run(server int, line, in string) string {
	var out bytes.Buffer
	app := kingpin.New("jasmineknot", "").Terminate(nil).UsageWriter(&out).ErrorWriter(&out)
	RegisterWithStreams(app, strings.NewReader(in), &out)
	args := strings.Fields(s.unmask(line))
	words := 2
	if args[0] == "status" || args[0] == "report" {
		words = 1
	}
	args = slices.Insert(args, words, "--server", s.Daemons[server].HTTP(), "--timeout", "5s")
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(&out, "%v\nexit %d\n", err, jkcommand.ExitCode(err))
	}
	return s.mask(out.String())
}

var (
	programID   = regexp.MustCompile(`p-[ab]-\d\.[0-9a-z]+\.[0-9a-z]+`)
	incarnation = regexp.MustCompile(`([ab]-\d)@[0-9a-z]+`)
	address     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	requestID   = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	age         = regexp.MustCompile(`\d+s ago`)
	spaces      = regexp.MustCompile(` {2,}`)
	// endpointFigures is an endpoint's measured figures: limit and token time.
	endpointFigures = regexp.MustCompile(`(engine|deposits)-([ab]  \S+  \S+  \S+  \d+  \d+)  \d+  \S+`)
	turnAnswer      = regexp.MustCompile(`(turn \d: ).*`)
	copiesLine      = regexp.MustCompile(`copies  .*`)
	// Answers depend on the program's id, and so does the number of a turn's tokens.
	spentTokens       = regexp.MustCompile(`\d+( spent, )\d+( granted)|\d+( of \d+ tokens spent)`)
	turnRow           = regexp.MustCompile(`(model  completed  )engine-[ab]  \d+`)
	spentColumn       = regexp.MustCompile(`(START  \d+  )\d+`)
	uncheckedWaitLine = regexp.MustCompile(`engines that don't check tokens .*\n`)
	fencingToken      = regexp.MustCompile(`token \d+`)
	uptime            = regexp.MustCompile(`started \d+s ago`)
	coverage          = regexp.MustCompile(`\d+% of`)
	anyToken          = regexp.MustCompile(`token \S+`)
)

func (s *site) mask(text string) string {
	text = programID.ReplaceAllStringFunc(text, func(id string) string {
		i := slices.Index(s.programs, id)
		if i < 0 {
			i = len(s.programs)
			s.programs = append(s.programs, id)
		}
		return "PROGRAM" + strconv.Itoa(i+1)
	})
	text = incarnation.ReplaceAllString(text, "$1@START")
	text = address.ReplaceAllString(text, "ADDRESS")
	text = requestID.ReplaceAllString(text, "ID")
	text = age.ReplaceAllString(text, "AGE ago")
	text = spaces.ReplaceAllString(text, "  ")
	text = uncheckedWaitLine.ReplaceAllString(text, "")
	text = fencingToken.ReplaceAllString(text, "token N")
	text = uptime.ReplaceAllString(text, "started N ago")
	text = coverage.ReplaceAllString(text, "N% of")
	text = copiesLine.ReplaceAllString(text, "copies  NAMES")
	text = spentTokens.ReplaceAllString(text, "N$1$2$3")
	text = turnRow.ReplaceAllString(text, "${1}ENGINE  N")
	text = spentColumn.ReplaceAllString(text, "${1}N")
	if s.fingerprint != "" {
		text = strings.ReplaceAll(text, s.fingerprint, "FINGERPRINT")
	}
	text = endpointFigures.ReplaceAllString(text, "$1-$2  LIMIT  PACE")
	text = turnAnswer.ReplaceAllString(text, "${1}ANSWER")
	return anyToken.ReplaceAllString(text, "token TOKEN")
}

// unmask puts the values back that mask has replaced.
func (s *site) unmask(line string) string {
	for i, id := range s.programs {
		line = strings.ReplaceAll(line, "PROGRAM"+strconv.Itoa(i+1), id)
	}
	return strings.ReplaceAll(line, "FINGERPRINT", s.fingerprint)
}

// findSuspect reads the fingerprint of the content that has crashed an engine from
// the hosts.
func (s *site) findSuspect() {
	var q jkdaemon.QuarantineStatus
	for _, d := range s.Daemons {
		_, err := jkcaller.SendAndDecode(context.Background(), jkcaller.Request{Method: http.MethodGet, Server: d.HTTP(), Path: quarantinePath}, &q)
		if err == nil && len(q.Suspects) > 0 {
			s.fingerprint = q.Suspects[0].Fingerprint
		}
	}
}

// wait repeats a command for up to 10 s until its output contains want.
func (s *site) wait(server int, line, want string) string {
	var out string
	for range 200 {
		if out = s.run(server, line, ""); strings.Contains(out, want) {
			return ""
		}
		s.Timer.Wait(50*time.Millisecond, nil)
	}
	return "got after 10 s:\n" + out
}

// Guards against commands that hide a host without an answer, edits that don't
// reach the hosts, work on drained hosts, a quarantine that remains after it was
// lifted, and errors without advice.
func TestOperate(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var limits map[string]int
		if filepath.Base(path) == "orders" {
			limits = map[string]int{"model_loads": 2}
		}
		s := newSite(t, limits)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			server := 0
			if td.HasArg("server") {
				td.ScanArgs(t, "server", &server)
			}
			first, rest, _ := strings.Cut(td.Input, "\n")
			switch td.Cmd {
			case "run":
				return s.run(server, first, rest)
			case "wait":
				return s.wait(server, first, rest)
			case "kill":
				n, err := strconv.Atoi(first)
				if err != nil {
					t.Fatal(err)
				}
				s.Daemons[n].Kill()
			case "section":
				if err := jksite.WriteSection(context.Background(), http.DefaultClient, s.Daemons[0].HTTP(), first, json.RawMessage(rest), "edit-"+first); err != nil {
					return err.Error()
				}
			case "platform":
				s.Platform.SetFaults(jkstandin.PlatformFaults{Down: first == "down"})
			case "crash":
				for _, e := range s.Engines {
					e.SetFaults(jkstandin.EngineFaults{CrashMarker: first, CrashDownMS: 100})
				}
			case "suspect":
				s.findSuspect()
			default:
				t.Fatalf("command %q is not known", td.Cmd)
			}
			return ""
		})
	})
}

// Guards against a shell completion that doesn't offer the names of endpoints.
func TestCompletion(t *testing.T) {
	s := newSite(t, nil)
	t.Setenv(serverVariable, s.Daemons[0].HTTP())
	// Kingpin writes completions to the process's standard output.
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = file
	app := kingpin.New("jasmineknot", "").Terminate(nil)
	RegisterWithStreams(app, strings.NewReader(""), io.Discard)
	_, err = app.Parse([]string{"--completion-bash", "endpoint", "drain", ""})
	os.Stdout = stdout
	text, readErr := os.ReadFile(file.Name())
	if err != nil || readErr != nil || !strings.Contains(string(text), "engine-b") {
		t.Errorf("got %q, errors %v and %v, expected a list with engine-b", text, err, readErr)
	}
}

// Guards against JSON output that doesn't list the hosts without an answer, so that
// a script takes partial figures for complete ones.
func TestJSONNamesMissingHosts(t *testing.T) {
	s := newSite(t, nil)
	s.Daemons[3].Kill()
	for _, line := range []string{"status --json", "report --json", "quarantine list --json"} {
		var answer struct {
			Missing []Missing `json:"missing"`
		}
		out := s.run(0, line, "")
		if err := json.Unmarshal([]byte(out), &answer); err != nil || len(answer.Missing) != 1 || answer.Missing[0].Host != "b-2" {
			t.Errorf("%s: got %v and error %v\n%s", line, answer.Missing, err, out)
		}
	}
}

package jkcommand

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/datadriven"
	"github.com/labstack/echo/v4"

	"jasmineknot.example/core/jkconfig"
	"jasmineknot.example/core/jkconfigadapter"
	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkplatform"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// startConfigAPI serves the configuration API with a stand-in platform behind it.
func startConfigAPI(t *testing.T) (url string, platform *jkstandin.Platform, f *jkconfig.Follower) {
	t.Helper()
	timer := jktimer.New()
	platform = jkstandin.NewPlatform(timer, jkstandin.PlatformLimits{})
	store := httptest.NewServer(platform)
	client := jkplatform.NewHTTP(store.URL, nil)
	f = jkconfig.NewFollower(jkconfig.FollowerOptions{Client: client, Timer: timer, Log: jklog.Discard(), Wait: time.Second})
	e := jkconfig.NewEditor(jkconfig.EditorOptions{Client: client, Timer: timer, Log: jklog.Discard(), Follower: f})
	router := echo.New()
	functions := jkconfigadapter.NewFunctions(f, e)
	functions.BodyLimit = 4096
	jkconfigapi.Register(router.Group(configPath), functions)
	server := httptest.NewServer(router)
	t.Cleanup(func() {
		server.Close()
		store.CloseClientConnections()
		store.Close()
	})
	return server.URL, platform, f
}

// run executes one command line and returns its output, error and exit code.
func run(args []string, in string) string {
	var out bytes.Buffer
	app := kingpin.New("jasmineknot", "").Terminate(nil).UsageWriter(&out).ErrorWriter(&out)
	RegisterWithStreams(app, strings.NewReader(in), &out)
	_, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(&out, "%v\nexit %d\n", err, ExitCode(err))
	}
	return out.String()
}

// Guards against commands that hide a refusal, exit with 0 after one, or don't
// tell the operator what to do. The script covers edits of two teams, a conflict,
// invalid documents and edits during an outage.
func TestConfigCommands(t *testing.T) {
	url, platform, follower := startConfigAPI(t)
	timestamp := regexp.MustCompile(`20\d\d-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	folder := t.TempDir()
	datadriven.RunTest(t, "testdata/config", func(t *testing.T, td *datadriven.TestData) string {
		first, rest, _ := strings.Cut(td.Input, "\n")
		switch td.Cmd {
		case "run":
			args := append([]string{"config", "--server", url}, strings.Fields(strings.ReplaceAll(first, "FOLDER", folder))...)
			out := timestamp.ReplaceAllString(run(args, rest), "TIME")
			return strings.NewReplacer(url, "SERVER", folder, "FOLDER").Replace(out)
		case "file":
			if err := os.WriteFile(filepath.Join(folder, first), []byte(rest), 0o600); err != nil {
				t.Fatal(err)
			}
		case "load":
			if err := follower.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
		case "faults":
			platform.SetFaults(jkstandin.PlatformFaults{Down: first == "down", LoseAnswers: strings.Count(first, "lose")})
		}
		return ""
	})
}

// Guards against an edit that got no answer and is reported as not applied,
// although it may have been.
func TestNoAnswer(t *testing.T) {
	const file = `{"section":"menus","base_revision":0,"value":{}}`
	out := run([]string{"config", "--server", "http://127.0.0.1:1", "edit", "-", "--team", "kitchen", "--edit-id", "e1"}, file)
	if !strings.Contains(out, "--edit-id e1") || !strings.Contains(out, fmt.Sprint("exit ", ExitUncertain)) {
		t.Error(out)
	}
	out = run([]string{"config", "--server", "http://127.0.0.1:1", "get"}, "")
	if !strings.Contains(out, fmt.Sprint("exit ", ExitUnavailable)) {
		t.Error(out)
	}
}

package jksite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkstandin"
)

// Guards against invalid requests that get an unclear error, or that change a program.
// Each data file holds requests and the problems returned for them.
func TestWrongRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a"}, HostsPerZone: 1, Engine: options, Site: Site{Budget: 400},
		Log: jklog.New(os.Stderr, time.Now).Allow("error"),
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + site.Daemons[0].HTTP()
	datadriven.Walk(t, "testdata/requests", func(t *testing.T, path string) {
		created := send(t, "POST", base+"/v1/programs", nil, map[string]string{"workspace": "w", "template": Template})
		program, token := created.header.Get(jkapi.HeaderProgram), created.header.Get(jkapi.HeaderToken)
		values := strings.NewReplacer("PROGRAM", program, "TOKEN", token, "LARGE", strings.Repeat("x", 5<<20))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			a := sendText(t, d.Cmd, base, d.CmdArgs, values.Replace(d.Input), values)
			out := describe(t, a)
			show := send(t, "GET", base+"/v1/programs/"+program, nil, nil)
			var p jkapi.Program
			if err := json.Unmarshal(show.body, &p); err != nil {
				t.Fatal(err)
			}
			return strings.ReplaceAll(strings.ReplaceAll(out, program, "PROGRAM"), token, "TOKEN") + fmt.Sprintf("program at turn %d\n", p.Turn)
		})
	})
}

// sendText sends a request of a data file, whose arguments are the path and headers.
func sendText(t *testing.T, method, base string, args []datadriven.CmdArg, body string, values *strings.Replacer) response {
	t.Helper()
	req, err := http.NewRequest(strings.ToUpper(method), base+args[0].Key, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range args[1:] {
		req.Header.Set(a.Key, values.Replace(a.Vals[0]))
	}
	return receive(t, req)
}

func describe(t *testing.T, a response) string {
	t.Helper()
	if a.status < http.StatusBadRequest {
		return fmt.Sprintf("%d\n", a.status)
	}
	var p jkproblem.Problem
	if err := json.Unmarshal(a.body, &p); err != nil {
		t.Fatalf("no problem: %d %s", a.status, a.body)
	}
	out := fmt.Sprintf("%d %s outcome=%s", a.status, p.Type, p.Outcome)
	if p.Field != "" {
		out += " field=" + p.Field
	}
	return out + "\n" + p.Detail + "\n"
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

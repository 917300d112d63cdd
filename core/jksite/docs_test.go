package jksite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkstandin"
)

// example is a request on the API page and the response shown for it.
type example struct {
	line            int
	request, answer string
}

var (
	examplePattern = regexp.MustCompile("(?s)```http\n(.*?)\n```\n+```text\n(.*?)\n```")
	placeholder    = regexp.MustCompile(`\{([a-z_0-9]+)\}`)
)

func parseExamples(page string) []example {
	var all []example
	for _, m := range examplePattern.FindAllStringSubmatchIndex(page, -1) {
		all = append(all, example{
			line:    1 + strings.Count(page[:m[0]], "\n"),
			request: page[m[2]:m[3]], answer: page[m[4]:m[5]],
		})
	}
	return all
}

// exampleRunner sends the examples' requests. It captures values from their responses,
// such as tokens, for later requests.
type exampleRunner struct {
	hosts    map[string]string
	captured map[string]string
}

func (r *exampleRunner) substitute(text string) string {
	return placeholder.ReplaceAllStringFunc(text, func(h string) string {
		if v, ok := r.captured[strings.Trim(h, "{}")]; ok {
			return v
		}
		return h
	})
}

// parse splits a message into its first line, headers and body.
func parse(text string) (first string, header map[string]string, body string) {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(head, "\n")
	header = map[string]string{}
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ": ")
		header[name] = value
	}
	return lines[0], header, body
}

func (r *exampleRunner) run(e example) error {
	first, header, body := parse(r.substitute(e.request))
	method, path, _ := strings.Cut(first, " ")
	host := r.hosts[header["Host"]]
	if host == "" {
		return fmt.Errorf("host %q does not exist", header["Host"])
	}
	req, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	return r.compare(e.answer, res, got)
}

func (r *exampleRunner) compare(want string, res *http.Response, got []byte) error {
	status, header, body := parse(want)
	if status != res.Status {
		return fmt.Errorf("status is %s, the page has %s: %s", res.Status, status, got)
	}
	for name, value := range header {
		if err := r.match(name, value, res.Header.Get(name)); err != nil {
			return err
		}
	}
	var shown, actual any
	d := json.NewDecoder(bytes.NewReader(got))
	if json.Unmarshal([]byte(body), &shown) == nil && d.Decode(&actual) == nil {
		return r.matchJSON("body", shown, actual)
	}
	rest := string(got)
	for _, line := range strings.Split(body, "\n") {
		i := strings.Index(rest, line)
		if i < 0 {
			return fmt.Errorf("the body lacks the line %q, or has it in another order: %s", line, got)
		}
		rest = rest[i+len(line):]
	}
	return nil
}

// match compares a value with the one on the page. "..." matches any value, and {name}
// matches any value and captures it.
func (r *exampleRunner) match(where, want, got string) error {
	name := strings.Trim(want, "{}")
	switch {
	case want == "..." && got != "":
		return nil
	case want == "{"+name+"}" && got != "":
		r.captured[name] = got
		return nil
	case r.substitute(want) == got:
		return nil
	}
	return fmt.Errorf("%s is %q, the page has %q", where, got, want)
}

// matchJSON compares the JSON fields that the page shows and ignores all others.
func (r *exampleRunner) matchJSON(where string, want, got any) error {
	switch w := want.(type) {
	case map[string]any:
		g, _ := got.(map[string]any)
		for name, v := range w {
			if err := r.matchJSON(where+"."+name, v, g[name]); err != nil {
				return err
			}
		}
		return nil
	case []any:
		g, _ := got.([]any)
		if len(g) < len(w) {
			return fmt.Errorf("%s has %d elements, the page has %d", where, len(g), len(w))
		}
		for i, v := range w {
			if err := r.matchJSON(fmt.Sprint(where, "[", i, "]"), v, g[i]); err != nil {
				return err
			}
		}
		return nil
	case string:
		if got == nil {
			got = ""
		}
		return r.match(where, w, fmt.Sprint(got))
	}
	if fmt.Sprint(want) != fmt.Sprint(got) {
		return fmt.Errorf("%s is %v, the page has %v", where, got, want)
	}
	return nil
}

// Guards against an API page whose example requests are refused, or whose responses
// differ from those of the daemons.
func TestAPIPage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	page, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	options := jkstandin.DefaultEngineOptions()
	options.TimeScale = 0.01
	site, err := StartEmbedded(ctx, EmbeddedOptions{
		Zones: []string{"a", "b"}, HostsPerZone: 2, Engine: options, Log: jklog.Discard(),
		Folder: func(string) string { return memoryFolder(t) },
	})
	defer site.Stop(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r := &exampleRunner{hosts: map[string]string{"": site.Daemons[0].HTTP()}, captured: map[string]string{}}
	for i, h := range site.Site.Hosts {
		r.hosts[h.Name] = site.Daemons[i].HTTP()
	}
	all := parseExamples(string(page))
	if want := strings.Count(string(page), "```http"); len(all) != want || want == 0 {
		t.Fatalf("%d of %d requests on the page have a response, want all of them and at least one", len(all), want)
	}
	for _, e := range all {
		if err := r.run(e); err != nil {
			t.Fatalf("docs/api.md:%d: %v", e.line, err)
		}
	}
}

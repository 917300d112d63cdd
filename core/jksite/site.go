// Package jksite describes a small site of hosts and endpoints, and writes its settings
// and configuration. It is the common fixture of the demo, the process tests and the
// fleet measurement; a production site doesn't use it.
package jksite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Names of the model, the template and the service of each site.
const (
	Model    = "chef-8b"
	Template = "booking"
	Service  = "deposits"
)

// tokenSecret signs the tokens of tests and demos. It is public and protects nothing.
const tokenSecret = "a secret for tests and demos only"

// Host is an entry host of the site.
type Host struct {
	Name     string
	Zone     string
	Listen   string
	HTTP     string
	Platform string
	// DataFolder is empty for a host without a disk.
	DataFolder string
	// Intervals overrides intervals of the settings, as duration strings.
	Intervals map[string]string
	// Limits overrides limits of the settings.
	Limits   map[string]int
	LogLevel string
}

// Settings returns the content of the host's settings file.
func (h Host) Settings() ([]byte, error) {
	s := map[string]any{
		"host": h.Name, "zone": h.Zone, "listen": h.Listen, "http": h.HTTP, "platform": h.Platform,
		"token_keys": []map[string]string{{"id": "k1", "secret": tokenSecret}},
		"log_level":  "info",
	}
	if h.LogLevel != "" {
		s["log_level"] = h.LogLevel
	}
	if h.DataFolder != "" {
		s["data_folder"] = h.DataFolder
	}
	if len(h.Intervals) > 0 {
		s["intervals"] = h.Intervals
	}
	if len(h.Limits) > 0 {
		s["limits"] = h.Limits
	}
	return json.MarshalIndent(s, "", "  ")
}

// Endpoint is an engine or, if Service is set, a service of the site.
type Endpoint struct {
	ID      string
	Zone    string
	Address string
	Service string
	Slots   int
	State   string
	// ChecksFencing is set if the engine refuses orders with an outdated fencing token.
	ChecksFencing bool
}

// Site describes the contents of the site's configuration document.
type Site struct {
	Hosts     []Host
	Endpoints []Endpoint
	// Budget is the token budget of a program; zero means 200,000.
	Budget int64
	// Replicas is the desired number of engines with the model; zero means one.
	Replicas int
	// IdleLimit, MaxDuration and MaxTurns are the limits of a program.
	IdleLimit   string
	MaxDuration string
	MaxTurns    int
	// ServiceTimeout is the timeout of calls to the service; empty means 10 s.
	ServiceTimeout string
}

// team is the owner of all sections of the configuration.
const team = "site"

// Sections returns the configuration document's sections.
func (s Site) Sections() map[string]any {
	hosts := map[string]any{}
	for _, h := range s.Hosts {
		hosts[h.Name] = map[string]any{"zone": h.Zone, "address": h.Listen, "state": "live"}
	}
	endpoints := map[string]any{}
	for _, e := range s.Endpoints {
		endpoints[e.ID] = e.section()
	}
	template := map[string]any{
		"models": []string{Model}, "budget_tokens": intOrDefault(s.Budget, 200000), "max_turns": intOrDefault(int64(s.MaxTurns), 96),
		"max_duration": textOrDefault(s.MaxDuration, "1h"), "tool_timeout": "1m", "idle_limit": textOrDefault(s.IdleLimit, "10m"), "priority": "interactive",
	}
	return map[string]any{
		"priorities": map[string]any{"interactive": map[string]any{"level": 0, "weight": 10}},
		"models":     map[string]any{Model: map[string]any{"versions": []string{"1"}, "replicas": intOrDefault(int64(s.Replicas), 1)}},
		"hosts":      hosts,
		"endpoints":  endpoints,
		"payments": map[string]any{Service: map[string]any{
			"timeout": textOrDefault(s.ServiceTimeout, "10s"), "paths": map[string]any{"/actions/*": map[string]any{"repeatable": false}},
		}},
		"programs": map[string]any{Template: template, "default": template},
	}
}

func (e Endpoint) section() map[string]any {
	m := map[string]any{"zone": e.Zone, "address": e.Address, "slots": intOrDefault(int64(e.Slots), 16), "state": textOrDefault(e.State, "live")}
	if e.Service != "" {
		m["kind"] = "service"
		m["service"] = e.Service
		return m
	}
	m["kind"] = "engine"
	m["models"] = []string{Model}
	m["cache_tokens"] = 200000
	m["checks_fencing"] = e.ChecksFencing
	return m
}

func intOrDefault(n, fallback int64) int64 {
	if n != 0 {
		return n
	}
	return fallback
}

func textOrDefault(s, fallback string) string {
	if s != "" {
		return s
	}
	return fallback
}

// sectionOrder is the order in which sections are written, so that each section refers
// only to entries that exist already.
var sectionOrder = []string{"priorities", "models", "hosts", "endpoints", "payments", "programs"}

// Write applies the site's configuration through a host's HTTP API.
func (s Site) Write(ctx context.Context, client *http.Client, hostHTTP string) error {
	sections := s.Sections()
	for _, name := range sectionOrder {
		if err := WriteSection(ctx, client, hostHTTP, name, sections[name], "setup-"+name); err != nil {
			return err
		}
	}
	return nil
}

// WriteSection replaces one section of the configuration.
func WriteSection(ctx context.Context, client *http.Client, hostHTTP, section string, entries any, editID string) error {
	base, err := getRevision(ctx, client, hostHTTP)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{
		"edit_id": editID, "base_revision": base, "team": team,
		"value": map[string]any{"owner": team, "entries": entries},
	})
	if err != nil {
		return err
	}
	return postJSON(ctx, client, "http://"+hostHTTP+"/v1/config/sections/"+section, body)
}

func getRevision(ctx context.Context, client *http.Client, hostHTTP string) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostHTTP+"/v1/config", nil)
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var doc struct {
		Revision uint64 `json:"revision"`
	}
	return doc.Revision, json.NewDecoder(res.Body).Decode(&doc)
}

func postJSON(ctx context.Context, client *http.Client, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s: status %d: %s", url, res.StatusCode, text)
	}
	return nil
}

// HostName returns the name of the n-th host of a zone.
func HostName(zone string, n int) string { return fmt.Sprintf("%s-%d", zone, n) }

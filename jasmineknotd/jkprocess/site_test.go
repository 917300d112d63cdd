package jkprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jkdaemon"
	"jasmineknot.example/core/jkendpoint"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// quick are intervals that keep takeovers within about three seconds.
var quick = map[string]string{"heartbeat": "200ms", "zone_digest": "300ms", "dead_after": "1200ms", "lease": "2s", "host_list": "1s"}

// host is a daemon of the site.
type host struct {
	*process
	zone string
	// folder is empty for a host without a disk.
	folder string
}

// site is a running site and the account of what its callers were told.
type site struct {
	t        *testing.T
	folder   string
	desc     jksite.Site
	client   *http.Client
	platform *process
	hosts    []*host
	engines  []*process
	services []*process

	mu   sync.Mutex
	told map[string]told // by action id
	// closed holds hosts that the platform's balancer sends nothing to.
	closed map[string]bool
	// broken holds the transport errors that callers saw.
	broken []string
	serial int
}

// options describe a site; zero values stand for two zones with two hosts
// each, all with a disk, and quick intervals.
type options struct {
	zones     []string
	perZone   int
	intervals map[string]string
	desc      jksite.Site
}

// timeScale is the real time of a stand-in engine's modelled second: a token
// takes about 0.8 ms.
const timeScale = 0.05

// startSite starts a site, puts its configuration into force and waits until
// all hosts see each other.
func startSite(t *testing.T, o options) *site {
	t.Helper()
	t.Parallel()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	if o.zones == nil {
		o.zones = []string{"a", "b"}
	}
	if o.perZone == 0 {
		o.perZone = 2
	}
	if o.intervals == nil {
		o.intervals = quick
	}
	s := &site{t: t, folder: t.TempDir(), desc: o.desc, told: map[string]told{}, closed: map[string]bool{}, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: 20 * time.Second,
	}}
	t.Cleanup(s.client.CloseIdleConnections)
	s.platform = s.launch("platform", "jasmineknotbench", "standin-platform")
	for _, zone := range o.zones {
		e := s.launch("engine-"+zone, "jasmineknotbench", "standin-engine", "--model", jksite.Model,
			"--time-scale", strconv.FormatFloat(timeScale, 'f', -1, 64))
		d := s.launch("deposits-"+zone, "jasmineknotbench", "standin-service")
		s.engines, s.services = append(s.engines, e), append(s.services, d)
		s.desc.Endpoints = append(s.desc.Endpoints,
			jksite.Endpoint{ID: e.name, Zone: zone, Address: e.ready.Address},
			jksite.Endpoint{ID: d.name, Zone: zone, Address: d.ready.Address, Service: jksite.Service})
		for n := range o.perZone {
			s.startHost(jksite.HostName(zone, n+1), zone, o.intervals)
		}
	}
	s.within(20*time.Second, "the configuration", func() error {
		return s.desc.Write(context.Background(), s.client, s.hosts[0].ready.HTTP)
	})
	s.awaitReady()
	return s
}

func (s *site) launch(name string, args ...string) *process {
	s.t.Helper()
	folder := s.folder
	if *flagLogs != "" {
		folder = filepath.Join(*flagLogs, strings.ReplaceAll(s.t.Name(), "/", "-"))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			s.t.Fatal(err)
		}
	}
	p := &process{t: s.t, name: name, log: filepath.Join(folder, name+".log"), args: args}
	p.start()
	s.t.Cleanup(p.end)
	return p
}

func (s *site) startHost(name, zone string, intervals map[string]string) {
	s.t.Helper()
	h := jksite.Host{
		Name: name, Zone: zone, Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", Platform: "http://" + s.platform.ready.Address,
		DataFolder: filepath.Join(s.folder, "data-"+name), Intervals: intervals,
	}
	s.settings(h)
	p := &host{process: s.launch(name, "jasmineknotd", "run", "--settings", s.settingsPath(name)), zone: zone, folder: h.DataFolder}
	h.Listen, h.HTTP = p.ready.Listen, p.ready.HTTP
	// A restart keeps the addresses, which the configuration names.
	s.settings(h)
	s.desc.Hosts = append(s.desc.Hosts, h)
	s.hosts = append(s.hosts, p)
}

func (s *site) settingsPath(name string) string { return filepath.Join(s.folder, name+".json") }

func (s *site) settings(h jksite.Host) {
	text, err := h.Settings()
	if err == nil {
		err = os.WriteFile(s.settingsPath(h.Name), text, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// within repeats a check until it succeeds or the time is over.
func (s *site) within(limit time.Duration, what string, check func() error) {
	s.t.Helper()
	end := clock.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if clock.Now().After(end) {
			s.t.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		s.pause(20 * time.Millisecond)
	}
}

func (s *site) pause(d time.Duration) { clock.Wait(d, nil) }

// awaitReady waits until all running hosts have the newest configuration and
// see each other.
func (s *site) awaitReady() {
	s.t.Helper()
	up := 0
	for _, h := range s.hosts {
		if h.running() {
			up++
		}
	}
	s.within(20*time.Second, "ready", func() error {
		for _, h := range s.hosts {
			if !h.running() {
				continue
			}
			status, err := s.status(h)
			if err != nil {
				return err
			}
			seen := 0
			for _, r := range status.Hosts {
				if r.Status == "up" {
					seen++
				}
			}
			if seen < up || int(status.Revision) < 6 {
				return fmt.Errorf("%s sees %d of %d hosts, revision %d", h.name, seen, up, status.Revision)
			}
		}
		return nil
	})
}

func (s *site) status(h *host) (jkdaemon.Status, error) {
	var status jkdaemon.Status
	return status, s.get(h.ready.HTTP+"/v1/status", &status)
}

// get reads JSON from an address with path.
func (s *site) get(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, http.NoBody)
	if err != nil {
		return err
	}
	res, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// post sends JSON and fails the test on an error.
func (s *site) post(url string, body any) {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := s.client.Post("http://"+url, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	defer res.Body.Close()
	if text, _ := io.ReadAll(res.Body); res.StatusCode >= http.StatusMultipleChoices {
		s.t.Fatalf("%s: %d %s", url, res.StatusCode, text)
	}
}

func (s *site) faults(p *process, f any) {
	s.t.Helper()
	s.post(p.ready.Address+"/faults", f)
}

// serviceFault sets one fault at all services.
func (s *site) serviceFault(f ...jkstandin.ServiceFault) {
	s.t.Helper()
	for _, p := range s.services {
		s.faults(p, jkstandin.ServiceFaults{Faults: f})
	}
}

// cut separates a zone from all others and from the platform.
func (s *site) cut(zone string) { s.setCut(zone, true) }
func (s *site) heal()           { s.setCut("", false) }

func (s *site) setCut(zone string, platform bool) {
	s.t.Helper()
	for _, h := range s.hosts {
		if !h.running() {
			continue
		}
		others := []string{}
		for _, o := range s.hosts {
			if zone != "" && (o.zone == zone) != (h.zone == zone) {
				others = append(others, o.name)
			}
		}
		s.post(h.ready.HTTP+"/test/cut", map[string]any{"hosts": others, "platform": platform && h.zone == zone})
	}
}

// host returns a host by its name or incarnation.
func (s *site) host(name string) *host {
	s.t.Helper()
	for _, h := range s.hosts {
		if first, _, _ := strings.Cut(name, "@"); first == h.name {
			return h
		}
	}
	s.t.Fatalf("host %q is not part of the site", name)
	return nil
}

// account sums up what the services did.
func (s *site) account() map[string]jkstandin.ServiceAction {
	s.t.Helper()
	sum := map[string]jkstandin.ServiceAction{}
	for _, p := range s.services {
		var a jkstandin.ServiceAccount
		if err := s.get(p.ready.Address+"/account", &a); err != nil {
			s.t.Fatal(err)
		}
		for id, action := range a.Actions {
			action.Runs += sum[id].Runs
			sum[id] = action
		}
	}
	return sum
}

func (s *site) engineAccount(p *process) (a jkstandin.EngineAccount) {
	s.t.Helper()
	if err := s.get(p.ready.Address+"/account", &a); err != nil {
		s.t.Fatal(err)
	}
	return a
}

// held is the number of tokens that engines hold for a program.
func (s *site) held(program string) (tokens, running int, err error) {
	for _, p := range s.engines {
		var state jkendpoint.State
		if err := s.get(p.ready.Address+"/state", &state); err != nil {
			return 0, 0, err
		}
		tokens += state.HeldTokens[program]
		running += state.Running
	}
	return tokens, running, nil
}

// awaitReleased checks that no engine holds memory of an ended program.
func (s *site) awaitReleased(program string) {
	s.t.Helper()
	s.within(5*time.Second, "release of "+program, func() error {
		tokens, _, err := s.held(program)
		if err == nil && tokens > 0 {
			err = fmt.Errorf("%d tokens are held", tokens)
		}
		return err
	})
}

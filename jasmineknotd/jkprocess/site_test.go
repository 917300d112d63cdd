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

// shortIntervals makes a takeover complete within about three seconds.
var shortIntervals = map[string]string{"heartbeat": "200ms", "zone_digest": "300ms", "dead_after": "1200ms", "lease": "2s", "host_list": "1s"}

// host is a daemon of the site.
type host struct {
	*process
	zone string
	// folder is empty for a host without a disk.
	folder string
}

// site is a running site and the outcomes that its callers received.
type site struct {
	t        *testing.T
	folder   string
	desc     jksite.Site
	client   *http.Client
	platform *process
	hosts    []*host
	engines  []*process
	services []*process

	mu       sync.Mutex
	outcomes map[string]callerOutcome // by action id
	// excluded holds the hosts that the platform's load balancer sends no requests to.
	excluded map[string]bool
	// transportErrors are the errors of requests that were cut off or not answered,
	// without those of failed connection attempts.
	transportErrors []string
	serial          int
}

// options describe a site; zero values stand for two zones with two hosts
// each, all with a disk, and shortIntervals.
type options struct {
	zones        []string
	hostsPerZone int
	intervals    map[string]string
	limits       map[string]int
	desc         jksite.Site
}

// timeScale is the number of real seconds that a stand-in engine takes for a
// simulated second: a token takes about 0.8 ms.
const timeScale = 0.05

// startSite starts a site, writes its configuration and waits until all hosts
// have it and see each other as up.
func startSite(t *testing.T, o options) *site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	if o.zones == nil {
		o.zones = []string{"a", "b"}
	}
	if o.hostsPerZone == 0 {
		o.hostsPerZone = 2
	}
	if o.intervals == nil {
		o.intervals = shortIntervals
	}
	s := &site{t: t, folder: memoryFolder(t), desc: o.desc, outcomes: map[string]callerOutcome{}, excluded: map[string]bool{}, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: 20 * time.Second,
	}}
	t.Cleanup(s.client.CloseIdleConnections)
	s.platform = s.startProcess("platform", "jasmineknotbench", "standin-platform")
	for _, zone := range o.zones {
		e := s.startProcess("engine-"+zone, "jasmineknotbench", "standin-engine", "--model", jksite.Model,
			"--time-scale", strconv.FormatFloat(timeScale, 'f', -1, 64))
		d := s.startProcess("deposits-"+zone, "jasmineknotbench", "standin-service")
		s.engines, s.services = append(s.engines, e), append(s.services, d)
		s.desc.Endpoints = append(s.desc.Endpoints,
			jksite.Endpoint{ID: e.name, Zone: zone, Address: e.ready.Address},
			jksite.Endpoint{ID: d.name, Zone: zone, Address: d.ready.Address, Service: jksite.Service})
		for n := range o.hostsPerZone {
			s.startHost(jksite.HostName(zone, n+1), zone, o)
		}
	}
	s.within(20*time.Second, "the configuration", func() error {
		return s.desc.Write(context.Background(), s.client, s.hosts[0].ready.HTTP)
	})
	s.awaitReady()
	return s
}

func (s *site) startProcess(name string, args ...string) *process {
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
	s.t.Cleanup(p.cleanUp)
	return p
}

func (s *site) startHost(name, zone string, o options) {
	s.t.Helper()
	h := jksite.Host{
		Name: name, Zone: zone, Listen: holdPort(s.t), HTTP: holdPort(s.t), Platform: "http://" + s.platform.ready.Address,
		DataFolder: filepath.Join(s.folder, "data-"+name), Intervals: o.intervals, Limits: o.limits,
	}
	s.writeSettings(h)
	p := &host{process: s.startProcess(name, "jasmineknotd", "run", "--settings", s.settingsPath(name)), zone: zone, folder: h.DataFolder}
	s.desc.Hosts = append(s.desc.Hosts, h)
	s.hosts = append(s.hosts, p)
}

// memoryFolder returns a folder that is in memory where the machine has one for it: a daemon syncs its history log
// before it starts, on a disk that others use too.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("/dev/shm", "jkprocess")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

func (s *site) settingsPath(name string) string { return filepath.Join(s.folder, name+".json") }

func (s *site) writeSettings(h jksite.Host) {
	text, err := h.Settings()
	if err == nil {
		err = os.WriteFile(s.settingsPath(h.Name), text, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// within repeats a check until it succeeds, and fails the test after limit.
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
// see each other as up.
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

// get reads JSON from a URL that is given without its scheme.
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

// post sends JSON to a URL without its scheme and fails the test on an error.
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

func (s *site) setFaults(p *process, f any) {
	s.t.Helper()
	s.post(p.ready.Address+"/faults", f)
}

// setServiceFaults replaces the faults of all services.
func (s *site) setServiceFaults(f ...jkstandin.ServiceFault) {
	s.t.Helper()
	for _, p := range s.services {
		s.setFaults(p, jkstandin.ServiceFaults{Faults: f})
	}
}

// partitionZone separates a zone from all other zones and from the platform.
func (s *site) partitionZone(zone string) { s.setPartition(zone, true) }
func (s *site) healPartition()            { s.setPartition("", false) }

func (s *site) setPartition(zone string, platform bool) {
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

// host returns a host by its name or by its incarnation, which is NAME@START.
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

// serviceActions returns the actions of all services by action id, with the
// number of their runs added up.
func (s *site) serviceActions() map[string]jkstandin.ServiceAction {
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

// heldTokens returns the number of tokens that the engines' caches hold for a
// program, and the number of all running requests.
func (s *site) heldTokens(program string) (tokens, running int, err error) {
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

// awaitReleased waits until no engine holds cache of an ended program.
func (s *site) awaitReleased(program string) {
	s.t.Helper()
	s.within(5*time.Second, "release of "+program, func() error {
		tokens, _, err := s.heldTokens(program)
		if err == nil && tokens > 0 {
			err = fmt.Errorf("engines still hold %d tokens", tokens)
		}
		return err
	})
}

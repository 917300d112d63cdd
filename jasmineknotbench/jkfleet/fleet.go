package jkfleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
	"jasmineknot.example/core/jktimer"
)

// Result is the measurement of one fleet size: the resources that a daemon uses, as
// the mean and the maximum over all daemons. Core is a share of one core, Memory is
// resident bytes, Control is control bytes sent a second. PlatformCalls and Calls are
// a second over the whole fleet.
type Result struct {
	Daemons       int     `json:"daemons"`
	ZoneSize      int     `json:"zone_size"`
	Endpoints     int     `json:"endpoints"`
	Core          float64 `json:"core"`
	CoreMax       float64 `json:"core_max"`
	Memory        float64 `json:"memory_bytes"`
	MemoryMax     float64 `json:"memory_bytes_max"`
	Control       float64 `json:"control_bytes_per_second"`
	ControlMax    float64 `json:"control_bytes_per_second_max"`
	PlatformCalls float64 `json:"platform_calls_per_second"`
	Calls         float64 `json:"calls_per_second"`
}

// engineCount is the number of stand-in engines that all endpoints of the
// configuration share.
const engineCount = 4

// fleet is one running set of daemons.
type fleet struct {
	command   *command
	timer     *jktimer.Service
	platform  *jkstandin.Platform
	servers   []*jkstandin.Server
	processes []*process
	site      jksite.Site
}

// process is one running daemon.
type process struct {
	cmd      *exec.Cmd
	httpAddr string
}

// measure starts a fleet of n daemons, waits for the settle time and returns what the
// daemons used during the measuring window.
func (c *command) measure(ctx context.Context, timer *jktimer.Service, folder string, n int) (Result, error) {
	f := &fleet{command: c, timer: timer}
	defer f.stop()
	if err := f.start(ctx, folder, n); err != nil {
		return Result{}, err
	}
	timer.Wait(c.settleTime, ctx.Done())
	load := newLoad(f, c.programRate)
	if c.programRate > 0 {
		load.start(ctx)
		defer load.stop()
	}
	before, err := f.readSamples(ctx)
	if err != nil {
		return Result{}, err
	}
	platformCallsBefore := f.platformCalls()
	started := timer.Now()
	callsBefore := load.completedCalls.Load()
	timer.Wait(c.window, ctx.Done())
	after, err := f.readSamples(ctx)
	if err != nil {
		return Result{}, err
	}
	seconds := timer.Now().Sub(started).Seconds()
	r := summarize(before, after, seconds)
	r.Daemons = n
	r.ZoneSize = (n + f.zoneCount(n) - 1) / f.zoneCount(n)
	r.Endpoints = len(f.site.Endpoints)
	r.PlatformCalls = float64(f.platformCalls()-platformCallsBefore) / seconds
	r.Calls = float64(load.completedCalls.Load()-callsBefore) / seconds
	return r, ctx.Err()
}

func (f *fleet) start(ctx context.Context, folder string, n int) error {
	f.platform = jkstandin.NewPlatform(f.timer, jkstandin.PlatformLimits{})
	platform, err := f.startServer(f.platform)
	if err != nil {
		return err
	}
	if err := f.startEndpoints(n); err != nil {
		return err
	}
	for i := range n {
		if err := f.startDaemon(folder, i, n, "http://"+platform); err != nil {
			return err
		}
	}
	return f.site.Write(ctx, http.DefaultClient, f.processes[0].httpAddr)
}

func (f *fleet) startServer(h http.Handler) (string, error) {
	s, err := jkstandin.Serve("127.0.0.1:0", h, f.timer)
	if err != nil {
		return "", err
	}
	f.servers = append(f.servers, s)
	return s.Address(), nil
}

// startEndpoints starts a listener for each endpoint and adds the endpoints to the
// configuration. A few stand-in engines serve all of them.
func (f *fleet) startEndpoints(n int) error {
	options := jkstandin.DefaultEngineOptions()
	options.Models = []string{jksite.Model}
	options.TimeScale = 0.01
	var shared []*jkstandin.Engine
	for range engineCount {
		shared = append(shared, jkstandin.NewEngine(options, f.timer, jklog.Discard()))
	}
	for i := range n * f.command.endpointsPerDaemon {
		addr, err := f.startServer(shared[i%engineCount])
		if err != nil {
			return err
		}
		f.site.Endpoints = append(f.site.Endpoints, jksite.Endpoint{
			ID: fmt.Sprintf("engine-%d", i), Zone: zoneName(i % f.zoneCount(n)), Address: addr,
		})
	}
	return nil
}

// zoneCount returns the number of availability zones of a fleet of n daemons.
func (f *fleet) zoneCount(n int) int { return min(n, f.command.zones) }

func zoneName(i int) string { return "z" + strconv.Itoa(i) }

func (f *fleet) startDaemon(folder string, i, n int, platform string) error {
	name := fmt.Sprintf("h%d", i)
	host := jksite.Host{
		Name: name, Zone: zoneName(i % f.zoneCount(n)), Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0", Platform: platform, LogLevel: "error",
	}
	if i%4 == 0 {
		host.DataFolder = filepath.Join(folder, fmt.Sprintf("data-%d-%s", len(f.site.Endpoints), name))
	}
	text, err := host.Settings()
	if err != nil {
		return err
	}
	path := filepath.Join(folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	cmd := exec.Command(f.command.daemonPath, "run", "-s", path) //nolint:noctx // stopped by id in stop
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start daemon")
	}
	p := &process{cmd: cmd}
	f.processes = append(f.processes, p)
	var ready struct {
		HTTP   string `json:"http"`
		Listen string `json:"listen"`
	}
	if err := json.NewDecoder(bufio.NewReader(stdout)).Decode(&ready); err != nil {
		return eris.Wrapf(err, "daemon %s did not start", name)
	}
	p.httpAddr = ready.HTTP
	host.Listen = ready.Listen
	host.HTTP = ready.HTTP
	f.site.Hosts = append(f.site.Hosts, host)
	return nil
}

// stop ends the daemons and stand-in servers that this measurement started.
func (f *fleet) stop() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		_ = p.cmd.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, s := range f.servers {
		_ = s.Shutdown(ctx)
	}
}

func (f *fleet) platformCalls() int64 {
	c := f.platform.Counts()
	return c.Reads + c.Writes + c.Watches + c.Leases + c.Hosts
}

// sample holds the counters of one daemon at one time.
type sample struct {
	cpuSeconds    float64
	residentBytes float64
	controlBytes  float64
}

func (f *fleet) readSamples(ctx context.Context) ([]sample, error) {
	samples := make([]sample, len(f.processes))
	var mu sync.Mutex
	var lastErr error
	var wg sync.WaitGroup
	for i, p := range f.processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, err := readSample(ctx, p.httpAddr)
			mu.Lock()
			defer mu.Unlock()
			samples[i] = s
			if err != nil {
				lastErr = err
			}
		}()
	}
	wg.Wait()
	return samples, lastErr
}

func readSample(ctx context.Context, addr string) (sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return sample{}, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return sample{}, eris.Wrap(err, "read metrics")
	}
	defer res.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(res.Body); err != nil {
		return sample{}, eris.Wrap(err, "read metrics")
	}
	values := map[string]float64{}
	for _, line := range strings.Split(body.String(), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return sample{
		cpuSeconds: values["process_cpu_seconds_total"], residentBytes: values["process_resident_memory_bytes"], controlBytes: values["jk_control_sent_bytes"],
	}, nil
}

func summarize(before, after []sample, seconds float64) Result {
	var r Result
	n := float64(len(after))
	for i := range after {
		core := (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		control := (after[i].controlBytes - before[i].controlBytes) / seconds
		r.Core += core / n
		r.Memory += after[i].residentBytes / n
		r.Control += control / n
		r.CoreMax = max(r.CoreMax, core)
		r.MemoryMax = max(r.MemoryMax, after[i].residentBytes)
		r.ControlMax = max(r.ControlMax, control)
	}
	return r
}

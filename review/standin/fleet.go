package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the fleet.
var zones = []string{"dakar-a", "dakar-b", "thies-c"}

// grace is the time between SIGTERM and SIGKILL (grace_s of the sheets).
const grace = 8 * time.Second

// retentionSeconds is the retention_s of the routes in the site files.
const retentionSeconds = 60

// fleet is a small deployment: processes of the program, and the stand-ins.
type fleet struct {
	dir     string
	program string
	rec     *record
	store   *store
	// storeAddr is the address of the store.
	storeAddr string
	entries   []*process
	storages  []*process
	all       []*process
	servers   []*server
	// retention is the retention_s of the route of turns.
	retention int
}

// process is one process of the program under test.
type process struct {
	name   string
	role   string
	zone   string
	front  string
	ready  string
	inner  int
	folder string
	fleet  *fleet

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// nextPort is the next port to try. Ports below 32768 aren't used for outgoing connections.
var nextPort = 20000 + os.Getpid()%97*120

func freePort() int {
	for {
		nextPort++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return nextPort
		}
	}
}

func newFleet(dir, program string, rec *record, retention int) (*fleet, error) {
	f := &fleet{dir: dir, program: program, rec: rec, store: newStore(), retention: retention}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// addProcess adds a process that isn't started yet.
func (f *fleet) addProcess(name, role, zone string) (*process, error) {
	p := &process{name: name, role: role, zone: zone, fleet: f, folder: filepath.Join(f.dir, name)}
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		return nil, err
	}
	p.inner = freePort()
	metrics := freePort()
	listen, class, dataDir := "{}", "storage", fmt.Sprintf("%q", filepath.Join(p.folder, "data"))
	limits := fmt.Sprintf("{cpu_share: 0.352, cores: 1, memory_mb: %d, max_fds: 8200, link_mbps: 130.0, disk_mb: 480}", memoryMB)
	if role == "entry" {
		p.front, p.ready = fmt.Sprintf("127.0.0.1:%d", freePort()), fmt.Sprintf("127.0.0.1:%d", freePort())
		listen, class, dataDir = fmt.Sprintf("{front: %q, ready: %q}", p.front, p.ready), "front", "null"
		limits = "{cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}"
	}
	for file, bootstrap := range map[string]bool{"first.yaml": true, "again.yaml": false} {
		text := fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
serves: [%q]
ip: "127.0.0.1"
zone: %q
region: "sn-west"
zones: {dakar-a: "sn-west", dakar-b: "sn-west", thies-c: "sn-west"}
listen: %s
port_range: [%d, %d]
seeds: []
bootstrap: %t
in_tolerance: %t
limits: %s
data_dir: %s
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 7.4, drain_ms: 2000, grace_s: %g, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, pass_ms: 120, again_s: 0, finish_s: 10, settle_ms: 1000}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, name, role, class, class, zone, listen, p.inner, metrics, bootstrap, role == "storage", limits, dataDir, grace.Seconds(), f.storeAddr)
		if err := os.WriteFile(filepath.Join(p.folder, file), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	f.all = append(f.all, p)
	if role == "entry" {
		f.entries = append(f.entries, p)
	} else {
		f.storages = append(f.storages, p)
	}
	return p, nil
}

// start starts the process with the command of the deploy file.
func (p *process) start(first bool) error {
	file := "again.yaml"
	if first {
		file = "first.yaml"
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.fleet.program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "JASMINEKNOT_SETTINGS=" + filepath.Join(p.folder, file)}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startJobs <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	p.fleet.rec.add("run", "process %s starts as %q, pid %d", p.name, p.role, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.fleet.rec.add("run", "process %s ends: %v", p.name, endOf(err))
		_ = log.Close()
		close(done)
	}()
	return nil
}

func endOf(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	_ = p.cmd.Process.Signal(s)
	return p.done
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (p *process) stop() {
	p.fleet.rec.add("run", "process %s gets SIGTERM", p.name)
	select {
	case <-p.signal(syscall.SIGTERM):
	case <-time.After(grace):
		<-p.signal(syscall.SIGKILL)
	}
}

func (p *process) kill() { <-p.signal(syscall.SIGKILL) }

// killAll ends all processes that the fleet started.
func (f *fleet) killAll() {
	for _, p := range f.all {
		p.kill()
	}
}

// startFleet starts 7 entries and 3 storage processes for the first time.
func (f *fleet) startFleet() error {
	for i, zone := range zones {
		if _, err := f.addProcess("storage-"+zone+"-1", "storage", zone); err != nil {
			return err
		}
		n := 2
		if i == 0 {
			n = 3
		}
		for k := range n {
			if _, err := f.addProcess(fmt.Sprintf("front-%s-%d", zone, k+1), "entry", zone); err != nil {
				return err
			}
		}
	}
	for _, p := range f.all {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all entries are ready, or returns an error.
func (f *fleet) waitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range f.entries {
		for !p.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("entry %s isn't ready after %s", p.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startJobs takes functions that start processes and runs them on one thread that lasts as
// long as this process: Pdeathsig kills a process when the thread that started it ends.
var startJobs = newStartJobs()

package jkprocess

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

var (
	flagSeeds = flag.Int("jkprocess.seeds", 2, "number of seeds of the random test")
	flagLogs  = flag.String("jkprocess.logs", "", "folder that keeps the logs of the processes")

	clock = jktimer.New()
	// binaryFolder holds the programs under test.
	binaryFolder string
)

// siteSlots bounds the sites that run at the same time. Each has about nine
// processes, which wait most of the time.
var siteSlots = make(chan struct{}, 6)

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	flag.Parse()
	// The tests wait for leases and timeouts most of the time, so more of them run
	// in parallel than there are processors; siteSlots bounds the sites.
	if err := flag.Set("test.parallel", "16"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	folder, err := os.MkdirTemp("", "jkprocess")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binaryFolder = folder
	for _, build := range [][]string{
		{"build", "-tags", "jkfaults", "-o", filepath.Join(folder, "jasmineknotd"), "jasmineknot.example/jasmineknotd"},
		{"build", "-o", filepath.Join(folder, "jasmineknotbench"), "jasmineknot.example/jasmineknotbench"},
	} {
		if out, err := exec.Command("go", build...).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "go %v: %v\n%s", build, err, out)
			return 1
		}
	}
	return m.Run()
}

// readyLine is the line that a process prints once it accepts connections.
type readyLine struct {
	Address string `json:"address"`
	HTTP    string `json:"http"`
	Listen  string `json:"listen"`
}

// process is one process of a site. It can be started again after it has exited.
type process struct {
	t    *testing.T
	name string
	log  string
	args []string

	ready  readyLine
	cmd    *exec.Cmd
	exited chan struct{}
}

// startTimeout bounds the wait for a process to print its readyLine.
const startTimeout = 15 * time.Second

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaryFolder, p.args[0]), p.args[1:]...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	announced := make(chan error, 1)
	p.cmd, p.exited = cmd, exited
	go func() {
		line, err := bufio.NewReader(out).ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &p.ready)
		}
		announced <- err
		_ = cmd.Wait() // the exit status isn't checked; the logs say more
		close(exited)
	}()
	timedOut := make(chan struct{})
	defer clock.After(startTimeout, func() { close(timedOut) })()
	select {
	case err = <-announced:
	case <-timedOut:
		err = fmt.Errorf("no line within %s", startTimeout)
	}
	if err != nil {
		text, _ := os.ReadFile(p.log)
		p.t.Fatalf("%s did not start: %v\n%s", p.name, err, text)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL, like a crash, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze suspends the process until resume.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop requests a graceful stop with SIGTERM and waits until the process has exited.
func (p *process) stop(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitExit(limit)
}

func (p *process) awaitExit(limit time.Duration) {
	p.t.Helper()
	if clock.Wait(limit, p.exited) {
		p.t.Errorf("%s did not stop within %s", p.name, limit)
		p.kill()
	}
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// cleanUp kills the process and prints the end of its log if the test failed.
func (p *process) cleanUp() {
	if p.cmd == nil {
		return
	}
	p.kill()
	if !p.t.Failed() || *flagLogs != "" {
		return
	}
	text, _ := os.ReadFile(p.log)
	if n := len(text); n > 1500 {
		text = text[n-1500:]
	}
	p.t.Logf("log of %s:\n%s", p.name, text)
}

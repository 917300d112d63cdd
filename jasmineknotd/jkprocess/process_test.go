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
	// binaries is the folder of the programs under test.
	binaries string
)

// sites bounds the sites that run at once. Each has about nine processes that
// wait most of the time.
var sites = make(chan struct{}, 6)

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	flag.Parse()
	// The tests wait for leases and limits most of the time, so more of them run
	// at once than there are processors; sites bounds them.
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
	binaries = folder
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

// ready is the line that a process prints once it accepts connections.
type ready struct {
	Address string `json:"address"`
	HTTP    string `json:"http"`
	Listen  string `json:"listen"`
}

// process is one process of a site. It can be started again after its end.
type process struct {
	t    *testing.T
	name string
	log  string
	args []string

	ready  ready
	cmd    *exec.Cmd
	exited chan struct{}
}

// startTimeout bounds the wait for a process to announce itself.
const startTimeout = 15 * time.Second

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
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
		_ = cmd.Wait() // the exit status is of no interest; logs tell more
		close(exited)
	}()
	late := make(chan struct{})
	defer clock.After(startTimeout, func() { close(late) })()
	select {
	case err = <-announced:
	case <-late:
		err = fmt.Errorf("no line within %s", startTimeout)
	}
	if err != nil {
		text, _ := os.ReadFile(p.log)
		p.t.Fatalf("%s did not start: %v\n%s", p.name, err, text)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process as a crash does and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze stops the process from running until resume.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop asks for a graceful stop and waits for it.
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

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end leaves no process behind and shows the log of a failed test.
func (p *process) end() {
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

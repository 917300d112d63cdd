package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// inputBytes is the largest body of a request in the site files (req_bytes).
	inputBytes = 100_000
	// inputRate is the number of kept turns a second. Between two restarts of a storage
	// process, less than 64 MB are written.
	inputRate = 36
	// shortRetention is the retention_s of the route. What a storage process has to keep at
	// any moment is small: inputRate * inputBytes * (shortRetention + 5 s) = 54 MB.
	shortRetention = 10
	// memoryMB is the memory_mb of a storage machine in the sheet.
	memoryMB = 314
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = 300 * time.Millisecond
	// restartEvery is the time between two planned restarts, one machine at a time. It is
	// longer than catch_up_s.
	restartEvery = 8 * time.Second
	// stable is the stable_ms of the sheet. An end so soon after a planned restart isn't counted.
	stable = 3 * time.Second
	// ownEnds is the number of ends by themselves that break the rule, and ownEndMachines
	// the number of machines on which they do.
	ownEnds        = 3
	ownEndMachines = 2
)

// keeper plays the platform for one process: it kills the process when it uses more than
// memory_mb, and starts it again after it has ended.
type keeper struct {
	p *process
	// killed counts the ends because of memory, without those within stable of a planned
	// restart.
	killed atomic.Int64
	// over is set once the process has used more than memory_mb.
	over atomic.Bool
	peak atomic.Int64
	// plannedAt is when the last planned restart began.
	plannedAt time.Time
	// planned is held during a planned restart.
	planned sync.Mutex
	stopped chan struct{}
}

func (k *keeper) run() {
	for {
		select {
		case <-k.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		k.planned.Lock()
		mb := k.p.memory() >> 20
		if mb > k.peak.Load() {
			k.peak.Store(mb)
		}
		if mb > memoryMB {
			k.over.Store(true)
			since := time.Since(k.plannedAt)
			if k.plannedAt.IsZero() || since > stable {
				k.killed.Add(1)
			}
			k.p.fleet.rec.note("%s uses %d MB, memory_mb is %d: the platform kills it, %.1f s after its last planned restart", k.p.name, mb, memoryMB, since.Seconds())
			k.p.kill()
			time.Sleep(restartDelay)
			if err := k.p.start(false); err != nil {
				k.p.fleet.rec.note("%s can't be started: %v", k.p.name, err)
			}
		}
		k.planned.Unlock()
	}
}

// restart is a planned restart.
func (k *keeper) restart() {
	k.planned.Lock()
	defer k.planned.Unlock()
	k.plannedAt = time.Now()
	size := k.p.dataBytes() >> 20
	k.p.fleet.rec.note("%s gets a planned restart, its data_dir holds %d MB, it used %d MB of memory at most", k.p.name, size, k.peak.Load())
	k.p.stop()
	time.Sleep(restartDelay)
	if err := k.p.start(false); err != nil {
		k.p.fleet.rec.note("%s can't be started: %v", k.p.name, err)
	}
}

// memory returns the bytes of anonymous memory that the process uses, which is less than
// all that it uses.
func (p *process) memory() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// dataBytes returns the size of the data folder.
func (p *process) dataBytes() int64 {
	files, err := os.ReadDir(filepath.Join(p.folder, "data"))
	if err != nil {
		return 0
	}
	sum := int64(0)
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

// playRestarts restarts two of the three storage processes by turns, each as planned work, while
// turns are kept. Without the trouble nothing is restarted.
func playRestarts(f *fleet, _ *runs, trouble bool) (broken []string, err error) {
	rec := f.rec
	if err := f.startFleet(); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	var keepers []*keeper
	for _, p := range f.storages {
		k := &keeper{p: p, stopped: make(chan struct{})}
		keepers = append(keepers, k)
		go k.run()
	}
	rec.at(10)
	rec.note("traffic starts: %d kept turns a second with %d bytes each, retention_s %d", inputRate, inputBytes, shortRetention)
	stopTraffic := make(chan struct{})
	var served, refused, failed atomic.Int64
	var traffic sync.WaitGroup
	traffic.Go(func() {
		tick := time.NewTicker(time.Second / inputRate)
		defer tick.Stop()
		input := strings.Repeat("0123456789abcdef", inputBytes/16)
		for i := 0; ; i++ {
			select {
			case <-stopTraffic:
				return
			case <-tick.C:
			}
			traffic.Go(func() {
				a := newAgent(wideBudget)
				r := a.send(rec, f.entries[i%len(f.entries)], input, 2*eventTokens)
				switch {
				case r.whole && r.status == 200:
					served.Add(1)
				case r.status == 503:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			})
		}
	})
	const lastRestart = 96
	for i := 0; ; i++ {
		next := 12 + float64(i)*restartEvery.Seconds()
		if next > lastRestart {
			break
		}
		rec.at(next)
		if trouble && !keepers[i%2].over.Load() {
			keepers[i%2].restart()
		}
		rec.note("%d turns served, %d refused, %d failed", served.Load(), refused.Load(), failed.Load())
	}
	rec.at(lastRestart + 10)
	close(stopTraffic)
	traffic.Wait()
	over := 0
	for _, k := range keepers {
		close(k.stopped)
		k.planned.Lock()
		rec.note("%s: %d MB of memory at most, %d MB in its data_dir, ended %d times because of its memory", k.p.name, k.peak.Load(), k.p.dataBytes()>>20, k.killed.Load())
		k.planned.Unlock()
		if k.killed.Load() >= ownEnds {
			over++
		}
	}
	rec.note("%d turns served, %d refused, %d failed", served.Load(), refused.Load(), failed.Load())
	if over >= ownEndMachines {
		broken = append(broken, fmt.Sprintf("Fault (%d of %d machines in use ended three times because of their memory)", over, len(f.all)))
	}
	return broken, nil
}

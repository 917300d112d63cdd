package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

func newStartJobs() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
}

// record is the record of a case: what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// add writes one line with the seconds since the start.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-8s %s\n", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	r.add("note", format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at waits until a time after the start.
func (r *record) at(seconds float64) {
	time.Sleep(time.Until(r.began.Add(time.Duration(seconds * float64(time.Second)))))
}

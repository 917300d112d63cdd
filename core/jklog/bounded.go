package jklog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"jasmineknot.example/core/jktimer"
)

// boundedWriter collects lines in memory and writes them from one goroutine, so
// that a part never waits for its log. Lines beyond the bounds are dropped and
// counted.
type boundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  bytes.Buffer
	lines   int
	dropped int
}

// Bounds of a log: linesPerFlush lines in each flushEvery, and maxBuffered bytes
// while the output doesn't take any.
const (
	flushEvery    = 200 * time.Millisecond
	linesPerFlush = 120
	maxBuffered   = 512 << 10
)

// NewBounded returns a logger that never blocks its callers on the output, and a
// function that writes the last lines and ends it.
func NewBounded(out io.Writer, timer *jktimer.Service) (l Logger, stop func()) {
	w := &boundedWriter{out: out}
	cancel := timer.Every(flushEvery, w.flush)
	return New(w, timer.Now), func() {
		cancel()
		w.flush()
	}
}

// Write implements io.Writer; each call is one line.
func (w *boundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lines >= linesPerFlush || w.buffer.Len()+len(line) > maxBuffered {
		w.dropped++
		return len(line), nil
	}
	w.lines++
	return w.buffer.Write(line)
}

func (w *boundedWriter) flush() {
	w.mu.Lock()
	data := bytes.Clone(w.buffer.Bytes())
	dropped := w.dropped
	w.buffer.Reset()
	w.lines, w.dropped = 0, 0
	w.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "level=warn message=\"log: lines dropped\" count=%d\n", dropped)
	}
	if len(data) == 0 {
		return
	}
	// A failed log write has nowhere to be reported.
	_, _ = w.out.Write(data)
}

package jklog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"jasmineknot.example/core/jktimer"
)

// boundedWriter buffers lines in memory and writes them from one goroutine, so that
// logging never blocks the caller. Lines beyond the rate or buffer limit are dropped and
// counted.
type boundedWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  bytes.Buffer
	lines   int
	dropped int
}

// Limits of a log: at most linesPerFlush lines in each flushEvery, and at most
// maxBuffered bytes while the output accepts none.
const (
	flushEvery    = 200 * time.Millisecond
	linesPerFlush = 120
	maxBuffered   = 512 << 10
)

// NewBounded returns a rate-limited logger that never blocks its callers on the output,
// and a function that flushes the last lines and stops it.
func NewBounded(out io.Writer, timer *jktimer.Service) (l Logger, stop func()) {
	w := &boundedWriter{out: out}
	cancel := timer.Every(flushEvery, w.flush)
	return New(w, timer.Now), func() {
		cancel()
		w.flush()
	}
}

// Write implements io.Writer. Each call is one line.
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
	// There is no place to report that a log write failed.
	_, _ = w.out.Write(data)
}

package jklog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

// Guards against a log volume that grows with the load, against dropped lines that are
// not counted, and against buffered lines that are lost at the stop.
func TestBoundedLogCountsWhatItDrops(t *testing.T) {
	timer, _ := jktimer.NewManual(time.Unix(0, 0))
	var out bytes.Buffer
	l, stop := NewBounded(&out, timer)
	for range linesPerFlush + 5 {
		l.Info("event")
	}
	stop()
	got := out.String()
	if n := strings.Count(got, "message=event\n"); n != linesPerFlush {
		t.Errorf("%d lines, want %d", n, linesPerFlush)
	}
	if !strings.Contains(got, "lines dropped\" count=5") {
		t.Errorf("the log doesn't end with the count of dropped lines: %q", got[max(0, len(got)-100):])
	}
}

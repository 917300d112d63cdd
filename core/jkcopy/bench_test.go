package jkcopy

import (
	"runtime"
	"testing"

	"jasmineknot.example/core/jkprogram"
)

// BenchmarkAppend measures the append of one turn of 4.6 KB, the average turn at the
// target size, and the memory that the index needs for each record.
func BenchmarkAppend(b *testing.B) {
	s, err := Open(b.TempDir(), 1<<40)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	c := jkprogram.New(jkprogram.Options{Self: homeA, MaxPrograms: 10})
	r, err := c.Create(now, jkprogram.Creation{Program: "p", Meta: jkprogram.Meta{Budget: 1000}})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Append(now, r); err != nil {
		b.Fatal(err)
	}
	seq := r.Seq
	turn := &jkprogram.Turn{Number: 1, RequestID: "r", Input: make([]byte, 2300), Answer: make([]byte, 2300)}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		seq++
		n++
		if err := s.Append(now, jkprogram.Record{Program: "p", Home: homeA, Seq: seq, Kind: jkprogram.RecordTurn, Turn: turn}); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "index-bytes/record")
}

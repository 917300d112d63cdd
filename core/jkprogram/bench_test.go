package jkprogram

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jasmineknot.example/core/jktoken"
)

// Target size of a program: 96 turns and 110,000 tokens at four bytes each.
const (
	benchTurns    = 96
	benchTurnText = 110000 * 4 / benchTurns
)

func benchCore(b *testing.B) *Core {
	b.Helper()
	return New(Options{Self: jktoken.Incarnation{Host: "a", Start: 1}, MaxPrograms: 1 << 20, EndedRetention: time.Minute})
}

// oneTurn submits and completes one call of a program.
func oneTurn(b *testing.B, c *Core, id string, n int, text []byte) {
	b.Helper()
	now := time.Unix(1, 0)
	claims, err := c.Claims(id)
	if err != nil {
		b.Fatal(err)
	}
	_, err = c.Submit(now, Submission{Program: id, Token: &claims, RequestID: fmt.Sprint("r", n), Kind: KindService, Repeatable: true, MaxCost: 1})
	if err != nil {
		b.Fatal(err)
	}
	if _, _, err := c.Complete(now, id, Result{Outcome: OutcomeCompleted, Input: text[:len(text)/2], Answer: text[len(text)/2:], Cost: 1}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkTurn measures the time that the core takes for one call.
func BenchmarkTurn(b *testing.B) {
	c := benchCore(b)
	if _, err := c.Create(time.Unix(1, 0), Creation{Program: "p", Meta: Meta{Budget: 1 << 40}}); err != nil {
		b.Fatal(err)
	}
	text := make([]byte, benchTurnText)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		oneTurn(b, c, "p", n, text)
	}
}

// BenchmarkMemory reports the bytes that a program of the target size holds,
// with and without its text.
func BenchmarkMemory(b *testing.B) {
	const programs = 50
	for b.Loop() {
		for _, size := range []int{2, benchTurnText} {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := benchCore(b)
			for i := range programs {
				id := fmt.Sprint("p", i)
				if _, err := c.Create(time.Unix(1, 0), Creation{Program: id, Meta: Meta{Budget: 1 << 40}}); err != nil {
					b.Fatal(err)
				}
				for n := range benchTurns {
					oneTurn(b, c, id, n, make([]byte, size))
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/programs, fmt.Sprintf("bytes/program-text%d", size))
			runtime.KeepAlive(c)
		}
	}
}

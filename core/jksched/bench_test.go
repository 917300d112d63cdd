package jksched

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// newFilledPlacer returns a placer with n endpoints and the given number of programs with
// a known cache location.
func newFilledPlacer(n, programs int) *Placer {
	p := NewPlacer(testOptions())
	for i := range n {
		id := fmt.Sprint("e", i)
		p.SetEndpoint(Endpoint{
			ID: id, Zone: fmt.Sprint("z", i%9), Kind: KindModel, Models: []string{fmt.Sprint("m", i%max(min(n/4, 38), 1))},
			Slots: 32, CacheTokens: 500000, State: StateLive,
		})
		hot := make([]Segment, 0, maxHotPrefixes)
		for k := range maxHotPrefixes {
			hot = append(hot, Segment{Hash: fmt.Sprint("w", (i*7+k)%3200), Tokens: 2000})
		}
		p.SetLoad(Load{Endpoint: id, At: start, Running: i % 30, Limit: 32, Breaker: BreakerClosed, HotPrefixes: hot})
	}
	for i := range programs {
		c := benchCall(n, i)
		p.Finished(c, fmt.Sprint("e", i%n), Result{Outcome: OutcomeCompleted, Generated: 100})
	}
	return p
}

func benchCall(n, i int) Call {
	w := fmt.Sprint("w", i%3200)
	return Call{
		ID: fmt.Sprint("c", i), Program: fmt.Sprint("p", i), Workspace: w, Kind: KindModel,
		Model:  fmt.Sprint("m", i%max(min(n/4, 38), 1)),
		Prefix: []Segment{{Hash: w, Tokens: 2000}}, PromptTokens: 5000, MaxTokens: 600,
	}
}

// BenchmarkPlace measures a placement for several fleet sizes; its time must not grow
// with the fleet. It also reports the memory per endpoint and per program.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ endpoints, programs int }{
		{10, 300}, {100, 3000}, {1000, 30000}, {8000, 240000},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/programs=%d", size.endpoints, size.programs), func(b *testing.B) {
			before := heapBytes()
			p := newFilledPlacer(size.endpoints, 0)
			endpoints := heapBytes() - before
			for i := range size.programs {
				p.Finished(benchCall(size.endpoints, i), fmt.Sprint("e", i%size.endpoints), Result{Outcome: OutcomeCompleted})
			}
			programs := heapBytes() - before - endpoints
			calls := make([]Call, 1024)
			for i := range calls {
				calls[i] = benchCall(size.endpoints, i*size.programs/len(calls))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Microsecond)
				if _, err := p.Place(now, calls[i%len(calls)]); err != nil {
					b.Fatal(err)
				}
				if i%4096 == 4095 {
					b.StopTimer()
					renewLoads(p, now)
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(endpoints)/float64(size.endpoints), "B/endpoint")
			b.ReportMetric(float64(programs)/float64(size.programs), "B/program")
			runtime.KeepAlive(p)
		})
	}
}

// renewLoads gives every endpoint a new load digest, which clears the placements since
// the previous one.
func renewLoads(p *Placer, now time.Time) {
	for id, row := range p.endpoints {
		p.SetLoad(Load{Endpoint: id, At: now, Running: row.load.Running, Limit: 32, HotPrefixes: row.load.HotPrefixes})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkQueue measures one call through a queue (push, dispatch and finish) with the
// given numbers of endpoints and paused programs.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []struct{ endpoints, programs int }{{1, 30}, {10, 300}, {20, 600}, {100, 3000}} {
		b.Run(fmt.Sprintf("endpoints=%d/programs=%d", size.endpoints, size.programs), func(b *testing.B) {
			q := NewQueue(testOptions())
			for i := range size.endpoints {
				q.SetEndpoint(Endpoint{ID: fmt.Sprint("e", i), Kind: KindModel, Models: []string{"m"}, Slots: 32, State: StateLive})
			}
			calls := make([]Call, size.programs)
			for i := range calls {
				calls[i] = benchCall(1, i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				c := calls[i%len(calls)]
				e := q.order[i%len(q.order)].endpoint.ID
				if err := q.Push(now, c, e); err != nil {
					b.Fatal(err)
				}
				q.Tick(now)
				q.Finished(now, c.ID, e, Result{Outcome: OutcomeCompleted, Generated: 10, ToolCalls: true})
			}
		})
	}
}

// BenchmarkTick measures one tick of a dispatcher in the largest fleet: 20 owned
// endpoints with 30 running calls each and the load digests of 7,900 peers.
func BenchmarkTick(b *testing.B) {
	q := NewQueue(testOptions())
	for i := range 20 {
		id := fmt.Sprint("e", i)
		q.SetEndpoint(Endpoint{ID: id, Kind: KindModel, Models: []string{fmt.Sprint("m", i)}, Slots: 32, State: StateLive})
		for k := range 30 {
			c := benchCall(1, i*30+k)
			c.Model = fmt.Sprint("m", i)
			if err := q.Push(start, c, id); err != nil {
				b.Fatal(err)
			}
		}
	}
	for i := range 7900 {
		q.SetLoad(Load{Endpoint: fmt.Sprint("p", i), Model: fmt.Sprint("m", i%38), At: start, CurrentPace: 25 * time.Millisecond})
	}
	q.Tick(start)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		q.Tick(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
}

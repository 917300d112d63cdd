package jkpolicy

import (
	"container/heap"
	"time"
)

// epoch is the wall time of virtual time zero.
var epoch = time.Unix(1_700_000_000, 0)

// event is a callback at a virtual time.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is a discrete-event simulator: a heap of events in virtual time. Events
// at the same time run in the order in which they were scheduled.
type simulation struct {
	now    time.Duration
	serial uint64
	events eventHeap
	halted bool
}

func (s *simulation) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.events, event{at: s.now + d, serial: s.serial, run: run})
}

func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() {
		run()
		s.every(d, run)
	})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) run(limit time.Duration) {
	for len(s.events) > 0 && !s.halted {
		e := heap.Pop(&s.events).(event)
		if e.at > limit {
			return
		}
		s.now = e.at
		e.run()
	}
}

package jkadmission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// burst replays the load that admission answers: programs of several turns arrive at engines with
// slots, and for some seconds far more of them than the engines can finish in time.
type burst struct {
	now     time.Duration
	events  eventQueue
	rand    *rand.Rand
	control *Controller
	slots   int
	running int
	waiting []func()

	began, refused, inTime int
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

const (
	turnTime  = 300 * time.Millisecond
	pauseTime = 200 * time.Millisecond
	// statedFactor is how much longer than on idle engines a program may take.
	statedFactor = 1.5
)

func (b *burst) after(d time.Duration, run func()) { heap.Push(&b.events, event{b.now + d, run}) }

func (b *burst) clock() time.Time { return time.Unix(0, 0).Add(b.now) }

// outlook predicts what a placer would: the queue in front of the slots, and slower work in a full batch.
func (b *burst) outlook() Outlook {
	run := b.turn()
	over := len(b.waiting) + b.running - b.slots + 1
	return Outlook{Wait: max(run*time.Duration(over)/time.Duration(b.slots), 0), Run: run, Alone: turnTime}
}

func (b *burst) turn() time.Duration {
	return turnTime + turnTime*time.Duration(b.running)*35/time.Duration(b.slots*100)
}

func (b *burst) begin(id string, turns int) {
	stated := time.Duration(statedFactor * float64(time.Duration(turns)*turnTime+time.Duration(turns-1)*pauseTime))
	b.began++
	request := Request{ID: id, Route: "chat", Left: stated}
	if b.control != nil && !b.control.Decide(b.clock(), request, b.outlook()).Admitted {
		b.refused++
		return
	}
	b.run(id, request, b.now+stated, turns, true)
}

func (b *burst) run(id string, r Request, due time.Duration, left int, first bool) {
	if b.control != nil {
		b.control.Begin(b.clock(), id, first, r, b.outlook())
	}
	start := func() {
		b.running++
		b.after(b.turn(), func() {
			b.running--
			if len(b.waiting) > 0 {
				next := b.waiting[0]
				b.waiting = b.waiting[1:]
				next()
			}
			if b.control != nil {
				b.control.End(b.clock(), id, false)
			}
			if left > 1 {
				b.after(pauseTime/2+time.Duration(b.rand.Int64N(int64(pauseTime))), func() { b.run(id, r, due, left-1, false) })
			} else if b.now <= due {
				b.inTime++
			}
		})
	}
	if b.running < b.slots {
		start()
		return
	}
	b.waiting = append(b.waiting, start)
}

// replay runs programs for 30 s, with a burst of the given factor from 8 s to 14 s.
func replay(seed uint64, control *Controller, factor float64) *burst {
	b := &burst{rand: rand.New(rand.NewPCG(seed, 1)), control: control, slots: 60}
	const perSecond = 20
	var arrive func()
	n := 0
	arrive = func() {
		n++
		b.begin(fmt.Sprint(seed, "-", n), 2+b.rand.IntN(7))
		rate := float64(perSecond)
		if b.now > 8*time.Second && b.now < 14*time.Second {
			rate *= factor
		}
		if b.now < 30*time.Second {
			b.after(time.Duration(b.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	b.after(0, arrive)
	for b.events.Len() > 0 {
		e := heap.Pop(&b.events).(event)
		b.now = e.at
		e.run()
	}
	return b
}

// Guards against bursts that make nearly all programs late, because each of them is admitted. With
// admission off a burst of 2.5 leaves under two thirds of the programs in time.
func TestBurstLeavesAdmittedProgramsInTime(t *testing.T) {
	for seed := range uint64(5) {
		off, on := replay(seed, nil, 2.5), replay(seed, NewController(), 2.5)
		t.Logf("seed %d: of %d programs %d in time without admission; of %d, %d refused, %d in time with it", seed, off.began, off.inTime, on.began, on.refused, on.inTime)
		admitted := on.began - on.refused
		if float64(on.inTime) < 0.85*float64(admitted) {
			t.Errorf("seed %d: %d of %d admitted programs are in time, want 0.85", seed, on.inTime, admitted)
		}
		if on.inTime < off.inTime*11/10 {
			t.Errorf("seed %d: %d programs in time, want a tenth more than the %d without admission", seed, on.inTime, off.inTime)
		}
	}
}

// Guards against programs that are admitted since their first turn finds a free endpoint, while later
// turns of the route wait where their prompts are cached.
func TestLatestWaitsCount(t *testing.T) {
	c, now := NewController(), time.Unix(0, 0)
	r := Request{ID: "r", Route: "chat", Left: 3 * time.Second}
	free := Outlook{Run: 450 * time.Millisecond, Alone: 300 * time.Millisecond}
	if d := c.Decide(now, r, free); !d.Admitted {
		t.Fatalf("before: %+v, want admitted", d)
	}
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		c.Waited(now, "chat", 0, 500*time.Millisecond)
	}
	if d := c.Decide(now, r, free); d.Admitted {
		t.Errorf("while turns wait 500 ms: %+v, want refused", d)
	}
	if d := c.Decide(now, Request{ID: "r", Route: "other", Left: 3 * time.Second}, free); !d.Admitted {
		t.Errorf("another route: %+v, want admitted", d)
	}
	if d := c.Decide(now.Add(3*time.Second), r, free); !d.Admitted {
		t.Errorf("3 s later: %+v, want admitted", d)
	}
}

// Guards against refusals because a short first turn makes a usual wait look long.
func TestShortFirstTurnsAreAdmitted(t *testing.T) {
	c, now := NewController(), time.Unix(0, 0)
	r := Request{ID: "r", Route: "chat", Left: 3 * time.Second}
	for range 20 {
		c.Begin(now, "p", false, r, Outlook{Run: 300 * time.Millisecond, Alone: 250 * time.Millisecond})
		c.Waited(now, "chat", 0, 90*time.Millisecond)
	}
	if d := c.Decide(now, r, Outlook{Run: 15 * time.Millisecond, Alone: 12 * time.Millisecond}); !d.Admitted {
		t.Errorf("decision is %+v, want admitted", d)
	}
}

// Guards against refusals where there is room.
func TestCalmLoadIsAdmitted(t *testing.T) {
	for seed := range uint64(5) {
		if on := replay(seed, NewController(), 1); on.refused > 0 {
			t.Errorf("seed %d: %d of %d programs refused in calm", seed, on.refused, on.began)
		}
	}
}

// Guards against an admission that leaves places unused: where endpoints have room a program is
// admitted, however little time it has left.
func TestFreePlacesAreUsed(t *testing.T) {
	o := Outlook{Run: 1400 * time.Millisecond, Alone: time.Second}
	if d := NewController().Decide(time.Unix(0, 0), Request{ID: "r", Route: "chat", Left: time.Millisecond}, o); !d.Admitted {
		t.Errorf("decision is %+v, want admitted", d)
	}
}

// Guards against refused callers that all return at the same moment, or too late to be served.
func TestReturnTimesAreSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 100 {
		d := NewController().Decide(time.Unix(0, 0), Request{ID: fmt.Sprint(i), Route: "chat", Left: time.Second}, Outlook{Wait: time.Second, Run: time.Second, Alone: time.Second})
		if d.Admitted || d.RetryAfter < minRetryAfter/2 || d.RetryAfter > maxRetryAfter*3/2 {
			t.Fatalf("decision is %+v", d)
		}
		seen[d.RetryAfter] = true
	}
	if len(seen) < 50 {
		t.Errorf("100 refused callers return at %d different times", len(seen))
	}
}

// Guards against needs that stay at the assumed shares although programs take less or more.
func TestNeedIsLearned(t *testing.T) {
	c := NewController()
	now := time.Unix(0, 0)
	r := Request{Route: "chat", Left: 10 * time.Second}
	for i := range 20 {
		id := fmt.Sprint(i)
		for turn := range 2 {
			c.Begin(now, id, turn == 0, r, Outlook{Alone: time.Second})
			now = now.Add(2 * time.Second)
			c.End(now, id, false)
		}
		now = now.Add(5 * time.Second)
	}
	c.collect(now)
	if d := c.Decide(now, r, Outlook{Run: time.Second, Alone: time.Second}); d.Need != 2*time.Second {
		t.Errorf("need is %v, want 2s: two turns of 1s on idle endpoints of the 10s stated", d.Need)
	}
}

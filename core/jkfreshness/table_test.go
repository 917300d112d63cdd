package jkfreshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a store whose rules change, and hosts that read it and ask each other. Time passes for all
// of them, whether or not they run: a pause, a suspension and a slow link look the same to it.
type world struct {
	t       *rapid.T
	bound   time.Duration
	now     time.Duration
	written []time.Duration
	hosts   []*worldHost
	calls   []*worldCall
}

type worldHost struct {
	table *Table
	// offset is the host's uptime at the start.
	offset time.Duration
}

// worldCall is a read, or a question if to is set. It is answered at some time after it was sent, and
// the answer arrives at some time after that.
type worldCall struct {
	from, to *worldHost
	sent     time.Duration
	answered bool
	known    bool
	age      time.Duration
	// revision is confirmed, and item the revision of the rules in the answer.
	revision, item int64
}

func (w *world) uptime(h *worldHost) time.Duration { return w.now + h.offset }

func (w *world) host() *worldHost { return rapid.SampledFrom(w.hosts).Draw(w.t, "host") }

func (w *world) pass(*rapid.T) {
	w.now += time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "ms")) * time.Millisecond
}

func (w *world) write(*rapid.T) { w.written = append(w.written, w.now) }

// watch brings a host any of the versions, as late as it may be.
func (w *world) watch(*rapid.T) {
	h, revision := w.host(), rapid.IntRange(1, len(w.written)).Draw(w.t, "revision")
	h.table.SetInForce(int64(revision), true, w.uptime(h))
}

func (w *world) send(*rapid.T) {
	h := w.host()
	c := &worldCall{from: h, sent: w.uptime(h)}
	if to := w.host(); to != h {
		c.to = to
	}
	w.calls = append(w.calls, c)
}

func (w *world) call(t *rapid.T, answered bool) int {
	var at []int
	for i, c := range w.calls {
		if c.answered == answered {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		t.Skip("no call")
	}
	return rapid.SampledFrom(at).Draw(t, "call")
}

func (w *world) answer(t *rapid.T) {
	c := w.calls[w.call(t, false)]
	c.answered = true
	if c.to == nil {
		c.known, c.revision, c.item = true, int64(len(w.written)), int64(len(w.written))
		return
	}
	confirmed, known := c.to.table.Confirmed()
	c.known, c.revision, c.age, c.item = known, confirmed.Revision, c.to.table.Age(w.uptime(c.to)), c.to.table.InForce()
}

// arrive delivers an answer, or loses it, or delivers the confirmation without the rules.
func (w *world) arrive(t *rapid.T) {
	i := w.call(t, true)
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	if !c.known || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	now := w.uptime(c.from)
	if rapid.Bool().Draw(t, "rules") {
		c.from.table.SetInForce(c.item, true, now)
	}
	c.from.table.Confirm(Confirmation{Revision: c.revision, At: c.sent - c.age}, now)
}

// check compares what each host believes with what has been written.
func (w *world) check(t *rapid.T) {
	for _, h := range w.hosts {
		now, newer := w.uptime(h), h.table.InForce()
		var missed time.Duration
		if int(newer) < len(w.written) {
			missed = w.now - w.written[newer]
		}
		if age := h.table.Age(now); missed > age {
			t.Fatalf("the rules count as %s old, and revision %d was written %s ago", age, newer+1, missed)
		}
		if w.bound > 0 && h.table.MayServe(now) && missed >= w.bound {
			t.Fatalf("keys are served %s after revision %d, the bound is %s", missed, newer+1, w.bound)
		}
		if h.table.MayDeny(now) && (missed > maxDenyAge || newer == 0) {
			t.Fatalf("keys are denied %s after revision %d", missed, newer+1)
		}
	}
}

// Guards against rules that count as younger than they are: by answers that were on their way for long,
// by chains of hosts with old answers, by a confirmation of a revision that isn't in force. A removed
// key would be served after its bound, and an added one denied.
func TestKnowledgeIsNeverYoungerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, written: []time.Duration{0}, bound: time.Duration(rapid.IntRange(0, 10).Draw(t, "bound")) * time.Second}
		for _, name := range []string{"a", "b", "c"} {
			offset := time.Duration(rapid.IntRange(0, 20).Draw(t, "offset")) * time.Second
			w.hosts = append(w.hosts, &worldHost{table: New(Options{Host: name, Bound: w.bound}), offset: offset})
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": w.pass, "write": w.write, "watch": w.watch, "send": w.send, "answer": w.answer, "arrive": w.arrive,
			"": w.check,
		})
	})
}

// Guards against a host that serves or denies by rules of any age, and against one that never does.
func TestDecisionsFollowTheAge(t *testing.T) {
	const bound = 5 * time.Second
	for _, c := range []struct {
		age                time.Duration
		serve, deny, ready bool
	}{
		{0, true, true, true},
		{2 * time.Second, true, true, true},
		{2*time.Second + 1, true, false, true},
		{3*time.Second - 1, true, false, true},
		{3 * time.Second, true, false, false},
		{4*time.Second - 1, true, false, false},
		{4 * time.Second, false, false, false},
	} {
		table := New(Options{Host: "a", Bound: bound})
		if table.SetInForce(7, true, 0); table.MayServe(0) || table.MayDeny(0) || table.IsReady(0) {
			t.Error("rules count as current without a confirmation")
		}
		table.Confirm(Confirmation{Revision: 7, At: time.Second}, time.Second)
		now := time.Second + c.age
		if s, d, r := table.MayServe(now), table.MayDeny(now), table.IsReady(now); s != c.serve || d != c.deny || r != c.ready {
			t.Errorf("age %s: serve %t, deny %t, ready %t, want %+v", c.age, s, d, r, c)
		}
	}
	table := New(Options{Host: "a"})
	table.SetInForce(7, true, 0)
	if !table.MayServe(0) || table.MayDeny(0) || !table.IsReady(0) {
		t.Error("without a bound, keys are to be served by unconfirmed rules and none denied")
	}
}

// Guards against a key that is denied by rules of which the host knows that newer ones exist.
func TestNewerRevisionEndsDenials(t *testing.T) {
	table := New(Options{Host: "a", Bound: 5 * time.Second})
	table.SetInForce(7, true, 0)
	table.Confirm(Confirmation{Revision: 7, At: 0}, 0)
	table.Confirm(Confirmation{Revision: 8, At: time.Second}, time.Second)
	if table.MayDeny(time.Second) {
		t.Error("a key is denied by revision 7 after 8 was seen")
	}
	table.SetInForce(8, true, time.Second)
	if age := table.Age(time.Second); age != 0 || !table.MayDeny(time.Second) {
		t.Errorf("rules are %s old once the newer ones are in force, want 0", age)
	}
}

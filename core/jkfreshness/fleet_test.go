package jkfreshness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	fleetTick  = time.Millisecond
	fleetHosts = 67
	fleetBound = 5 * time.Second
)

// fleet is a site of hosts that run their tables' steps. Times are those of a sound site: 4 ms for a
// read, 2 ms for a question.
type fleet struct {
	now   time.Duration
	hosts []*fleetHost
	// storeAnswers and linked tell which calls succeed.
	storeAnswers func(h *fleetHost) bool
	linked       func(from, to *fleetHost) bool
	view         func(h *fleetHost) []string
	// reads and asks count the calls in each second.
	reads, asks map[int]int
}

type fleetHost struct {
	name  string
	rank  int
	table *Table
	step  Step
	sent  time.Duration
	endAt time.Duration
	busy  bool
	// readAt are the times of the host's reads.
	readAt []time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{
		storeAnswers: func(*fleetHost) bool { return true },
		linked:       func(_, _ *fleetHost) bool { return true },
		reads:        map[int]int{}, asks: map[int]int{},
	}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	slices.SortFunc(names, func(a, b string) int {
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	f.view = func(*fleetHost) []string { return names }
	for i, name := range names {
		h := &fleetHost{name: name, rank: i, table: New(Options{Host: name, Bound: fleetBound})}
		h.table.SetInForce(1, true, 0)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; f.now += fleetTick {
		for _, h := range f.hosts {
			if f.now >= h.endAt {
				f.act(h)
			}
		}
		check()
	}
}

// act ends the step that is due at a host and begins the next one.
func (f *fleet) act(h *fleetHost) {
	if h.busy {
		f.end(h)
	}
	ranked := f.view(h)
	h.step, h.sent = h.table.Next(f.now, ranked), f.now
	h.table.Begin(h.step, f.now, ranked)
	h.busy = h.step.Action != ActionNone
	switch h.step.Action {
	case ActionNone:
		h.endAt = f.now + max(h.step.Wait, fleetTick)
	case ActionRead:
		f.reads[int(f.now/time.Second)]++
		h.readAt = append(h.readAt, f.now)
		h.endAt = f.now + 4*time.Millisecond
	case ActionAsk:
		f.asks[int(f.now/time.Second)]++
		h.endAt = f.now + 2*time.Millisecond
		if !f.linked(h, f.find(h.step.Host)) {
			h.endAt = f.now + h.step.Timeout
		}
	}
}

func (f *fleet) find(name string) *fleetHost {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.name == name })]
}

func (f *fleet) end(h *fleetHost) {
	if h.step.Action == ActionRead {
		ok := f.storeAnswers(h)
		if ok {
			h.table.Confirm(Confirmation{Revision: 1, At: h.sent}, f.now)
		}
		h.table.End(h.step, ok, f.now)
		return
	}
	peer := f.find(h.step.Host)
	ok := f.linked(h, peer)
	if _, known := peer.table.Confirmed(); ok && known {
		h.table.Confirm(Confirmation{Revision: 1, At: h.sent - peer.table.Age(f.now-fleetTick)}, f.now)
	}
	h.table.End(h.step, ok, f.now)
}

// oldest returns the greatest age at the hosts that are selected.
func (f *fleet) oldest(selected func(h *fleetHost) bool) time.Duration {
	var out time.Duration
	for _, h := range f.hosts {
		if selected(h) {
			out = max(out, h.table.Age(f.now))
		}
	}
	return out
}

func all(*fleetHost) bool { return true }

// watchAges runs the fleet and returns the greatest age that any of the selected hosts has meanwhile.
func (f *fleet) watchAges(d time.Duration, selected func(h *fleetHost) bool) time.Duration {
	var out time.Duration
	f.run(d, func() { out = max(out, f.oldest(selected)) })
	return out
}

// most returns the greatest number of calls in a whole second from one time to the present.
func (f *fleet) most(counts map[int]int, from time.Duration) int {
	out := 0
	for s := int(from/time.Second) + 1; s < int(f.now/time.Second); s++ {
		out = max(out, counts[s])
	}
	return out
}

// Guards against reads of the store that grow with the hosts, and against hosts that go without
// denials in calm because what they learn is too old.
func TestTwoHostsReadInCalm(t *testing.T) {
	f := newFleet(fleetHosts)
	f.run(5*time.Second, func() {})
	oldest := f.watchAges(20*time.Second, all)
	reads, asks := f.most(f.reads, 5*time.Second), f.most(f.asks, 5*time.Second)
	t.Logf("oldest %s, %d reads and %d questions in a second at most", oldest, reads, asks)
	if oldest > 1500*time.Millisecond || reads > 2 || asks > 75 {
		t.Errorf("rules are up to %s old, with %d reads and %d questions in a second", oldest, reads, asks)
	}
}

// Guards against a fleet that isn't current because the store refuses its two readers, and against all
// hosts that read it then.
func TestStandInsReadForRefusedReaders(t *testing.T) {
	f := newFleet(fleetHosts)
	f.run(5*time.Second, func() {})
	f.storeAnswers = func(h *fleetHost) bool { return h.rank >= readers }
	began := f.now
	oldest := f.watchAges(30*time.Second, all)
	reads, asks := f.most(f.reads, began), f.most(f.asks, began)
	t.Logf("oldest %s, %d reads and %d questions in a second at most", oldest, reads, asks)
	if oldest >= fleetBound/5*3 || reads > 8 {
		t.Errorf("rules are up to %s old, with %d reads in a second", oldest, reads)
	}
}

// Guards against hosts that call a store in an outage more than once a second each, that all call it
// when it is back, and that take long to serve again.
func TestReturnOfTheStore(t *testing.T) {
	f := newFleet(fleetHosts)
	f.run(5*time.Second, func() {})
	f.storeAnswers = func(*fleetHost) bool { return false }
	began := f.now
	f.run(30*time.Second, func() {})
	down, asksDown := f.most(f.reads, began+10*time.Second), f.most(f.asks, began)
	if f.oldest(all) < 30*time.Second {
		t.Fatal("a host is current without the store")
	}
	f.storeAnswers = func(*fleetHost) bool { return true }
	back := f.now
	currentAt := time.Duration(0)
	f.run(10*time.Second, func() {
		if currentAt == 0 && f.oldest(all) < fleetBound/5*3 {
			currentAt = f.now
		}
	})
	reads := f.most(f.reads, back)
	t.Logf("during the outage %d reads and %d questions in a second at most, current after %s with %d reads in a second", down, asksDown, currentAt-back, reads)
	if currentAt == 0 || currentAt-back > 2500*time.Millisecond || reads > 12 || down > 25 {
		t.Errorf("current %s after the return with %d reads in a second; %d in the outage", currentAt-back, reads, down)
	}
	f.checkReads(t)
}

// checkReads fails if a host has read the store twice within a second.
func (f *fleet) checkReads(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		for i := 1; i < len(h.readAt); i++ {
			if d := h.readAt[i] - h.readAt[i-1]; d < time.Second {
				t.Errorf("%s read the store again after %s", h.name, d)
			}
		}
	}
}

// Guards against a zone that is cut off with the store in reach and doesn't read it, while its readers
// are outside and its hosts haven't noticed the cut.
func TestZoneThatIsCutOffReadsItself(t *testing.T) {
	f := newFleet(fleetHosts)
	f.run(5*time.Second, func() {})
	// The zone has every third host, and neither reader nor stand-in.
	inZone := func(h *fleetHost) bool { return h.rank > 3 && h.rank%3 == 0 }
	f.linked = func(from, to *fleetHost) bool { return inZone(from) == inZone(to) }
	full, cut := f.view(nil), []string{}
	for _, h := range f.hosts {
		if inZone(h) {
			cut = append(cut, h.name)
		}
	}
	noticedAt := f.now + time.Second
	f.view = func(h *fleetHost) []string {
		if inZone(h) && f.now >= noticedAt {
			return cut
		}
		return full
	}
	oldest := f.watchAges(20*time.Second, inZone)
	t.Logf("oldest %s", oldest)
	if oldest >= fleetBound/5*3 {
		t.Errorf("rules of the zone are up to %s old", oldest)
	}
	f.checkReads(t)
}

// Guards against hosts that wait for readers and stand-ins that accept questions and answer none, and
// against those that go on asking them instead of reading the store.
func TestFrozenReadersDelayNobody(t *testing.T) {
	f := newFleet(fleetHosts)
	f.run(5*time.Second, func() {})
	frozen := func(h *fleetHost) bool { return h.rank < readers+standIns }
	inVain := 0
	f.linked = func(_, to *fleetHost) bool {
		if frozen(to) {
			// It is called at the start of a question and at its end.
			inVain++
		}
		return !frozen(to)
	}
	const watched = 20 * time.Second
	oldest := f.watchAges(watched, func(h *fleetHost) bool { return !frozen(h) })
	perHost := float64(inVain) / 2 / fleetHosts
	t.Logf("oldest %s, %d reads in a second at most, %.1f questions in vain by each host", oldest, f.most(f.reads, 5*time.Second), perHost)
	if oldest >= fleetBound/5*3 {
		t.Errorf("rules are up to %s old", oldest)
	}
	if most := float64((readers + standIns) * (watched/avoidPeriod + 1)); perHost > most {
		t.Errorf("%.1f questions in vain by each host, want %.0f at most", perHost, most)
	}
	f.checkReads(t)
}

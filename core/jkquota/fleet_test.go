package jkquota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// fleet simulates entries and issuers with a clock by hand: links with delays, losses and cuts,
// hosts that are killed, restarted and paused, and lists of issuers that arrive late.
type fleet struct {
	now    time.Time
	start  time.Time
	random *rand.Rand
	events eventQueue
	serial int

	entries []*simEntry
	issuers map[string]*simIssuer
	// ordered are the issuers in the order in which they were added.
	ordered []*simIssuer
	// inStore are the issuers that the store lists.
	inStore  map[string]bool
	revision int
	cutZones map[string]bool
	loss     float64
	// newsDelay bounds the time in which hosts learn of a change of the store.
	newsDelay time.Duration
	// unsentShare is the part of the permits whose requests aren't sent to an endpoint, which are
	// released within unsentAfter.
	unsentShare float64
	unsentAfter time.Duration

	ran              []time.Time
	served, refused  map[bool]int
	unknown, refusal int
	questions, pulls int
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simHost is what entries and issuers have in common.
type simHost struct {
	name, zone  string
	dead        bool
	pausedUntil time.Time
	// starts counts the starts of the process: messages of an earlier one have no effect.
	starts int
	// revision is that of the store which the process knows, and newsAt when it learns of the
	// newest change. Changes arrive in the order of their revisions.
	revision int
	newsAt   time.Time
}

type simIssuer struct {
	simHost
	issuer *Issuer
	// known holds since when the issuer knows the hosts of the store.
	known map[string]time.Time
}

type simEntry struct {
	simHost
	wallet  *Wallet
	known   map[string]bool
	cap     Cap
	waiters []*Waiter
}

func newFleet(seed uint64, entries, issuers, zones int, c Cap) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), issuers: map[string]*simIssuer{}, inStore: map[string]bool{},
		cutZones: map[string]bool{}, newsDelay: time.Second, served: map[bool]int{}, refused: map[bool]int{},
	}
	for n := range issuers {
		i := f.addIssuer(fmt.Sprint("s", n), fmt.Sprint("z", n%zones))
		f.inStore[i.name] = true
	}
	for n := range entries {
		e := &simEntry{simHost: simHost{name: fmt.Sprint("e", n), zone: fmt.Sprint("z", n%zones)}, known: map[string]bool{}, cap: c}
		f.entries = append(f.entries, e)
		f.startEntry(e)
	}
	for _, i := range f.ordered {
		for name := range f.inStore {
			i.known[name] = f.now.Add(-time.Minute)
		}
	}
	f.every(100*time.Millisecond, f.countIssuers)
	f.countIssuers()
	f.every(200*time.Millisecond, func() {
		for _, e := range f.entries {
			f.onHost(&e.simHost, func() { f.tick(e) })
		}
	})
	return f
}

func (f *fleet) at(t time.Time, run func()) {
	f.serial++
	heap.Push(&f.events, event{t, f.serial, run})
}

func (f *fleet) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

func (f *fleet) every(d time.Duration, run func()) {
	f.after(d, func() { run(); f.every(d, run) })
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// onHost runs a step of a process: later if the process is paused, never if it ended.
func (f *fleet) onHost(h *simHost, run func()) {
	starts := h.starts
	switch {
	case h.dead:
	case f.now.Before(h.pausedUntil):
		f.at(h.pausedUntil, func() {
			if starts == h.starts {
				f.onHost(h, run)
			}
		})
	default:
		run()
	}
}

func (f *fleet) addIssuer(name, zone string) *simIssuer {
	i := &simIssuer{simHost: simHost{name: name, zone: zone}, issuer: NewIssuer(f.now, name), known: map[string]time.Time{}}
	f.issuers[name] = i
	f.ordered = append(f.ordered, i)
	f.after(f.randomTime(PullInterval), func() { f.every(PullInterval, func() { f.onHost(&i.simHost, func() { f.pull(i) }) }) })
	return i
}

func (f *fleet) startEntry(e *simEntry) {
	e.dead, e.waiters = false, nil
	e.starts++
	e.known, e.revision = map[string]bool{}, f.revision
	for name := range f.inStore {
		e.known[name] = true
	}
	e.wallet = NewWallet(WalletOptions{Host: e.name, Zone: e.zone, Reachable: func(host string) bool { return true }})
	f.setIssuers(e)
}

// restartIssuer starts an issuer with an empty memory; it knows the store a while later.
func (f *fleet) restartIssuer(i *simIssuer) {
	i.dead = false
	i.starts++
	i.issuer, i.known = NewIssuer(f.now, i.name), map[string]time.Time{}
	i.revision = f.revision
	starts := i.starts
	f.after(f.randomTime(500*time.Millisecond), func() {
		if i.starts != starts {
			return
		}
		i.revision = f.revision
		for name := range f.inStore {
			i.known[name] = f.now
		}
	})
}

// setListed adds an issuer to the store or removes it; hosts learn of it within newsDelay.
func (f *fleet) setListed(name string, listed bool) {
	f.revision++
	if listed {
		f.inStore[name] = true
	} else {
		delete(f.inStore, name)
	}
	for _, i := range f.ordered {
		f.news(&i.simHost, func() {
			if _, ok := i.known[name]; !listed {
				delete(i.known, name)
			} else if !ok {
				i.known[name] = f.now
			}
		})
	}
	for _, e := range f.entries {
		f.news(&e.simHost, func() {
			e.known[name] = listed
			f.setIssuers(e)
		})
	}
}

// news delivers the newest change of the store to a host, unless the host lists the store before.
func (f *fleet) news(h *simHost, apply func()) {
	if at := f.now.Add(f.randomTime(f.newsDelay)); at.After(h.newsAt) {
		h.newsAt = at
	}
	revision := f.revision
	f.at(h.newsAt, func() {
		f.onHost(h, func() {
			if revision > h.revision {
				h.revision = revision
				apply()
			}
		})
	})
}

func (f *fleet) setIssuers(e *simEntry) {
	var hosts []Host
	for name, ok := range e.known {
		if ok {
			hosts = append(hosts, Host{Name: name, Zone: f.issuers[name].zone})
		}
	}
	e.wallet.SetIssuers(FirstOfZones(hosts, "issuer", 16))
}

// pull sends an issuer's messages to the others and takes the answers.
func (f *fleet) pull(i *simIssuer) {
	starts := i.starts
	for _, p := range i.issuer.Pulls(f.now) {
		f.pulls++
		other := f.issuers[p.To.Name]
		f.deliver(i.zone, other.zone, func() {
			f.onHost(&other.simHost, func() {
				a := other.issuer.Give(f.now, p.Request)
				f.deliver(other.zone, i.zone, func() {
					f.onHost(&i.simHost, func() {
						if i.starts == starts {
							i.issuer.Collect(f.now, p, a)
						}
					})
				})
			})
		})
	}
}

// countIssuers does what a storage host does: it issues once it has known itself for 1.5 s.
func (f *fleet) countIssuers() {
	for _, i := range f.ordered {
		f.onHost(&i.simHost, func() {
			var hosts []Host
			for name := range i.known {
				hosts = append(hosts, Host{Name: name, Zone: f.issuers[name].zone})
			}
			if since, ok := i.known[i.name]; !ok || f.now.Sub(since) < 1500*time.Millisecond {
				hosts = nil
			}
			i.issuer.SetIssuers(f.now, FirstOfZones(hosts, "issuer", 16))
		})
	}
}

func (f *fleet) randomTime(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit) + 1))
}

// load sends requests to entries with given weights at random times.
func (f *fleet) load(perSecond, firstShare float64, weights []float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	var next func()
	next = func() {
		x := f.random.Float64() * sum
		n := 0
		for x -= weights[0]; x > 0; x -= weights[n] {
			n++
		}
		e, first := f.entries[n], f.random.Float64() < firstShare
		f.onHost(&e.simHost, func() {
			waiter, q := e.wallet.Take(f.now, e.cap, first)
			e.waiters = append(e.waiters, waiter)
			f.step(e, q)
		})
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

func (f *fleet) tick(e *simEntry) {
	for _, q := range e.wallet.Tick(f.now) {
		f.send(e, q)
	}
}

// step counts decided requests and sends the next question.
func (f *fleet) step(e *simEntry, q *Question) {
	e.waiters = slices.DeleteFunc(e.waiters, func(a *Waiter) bool {
		if !a.isDecided() {
			return false
		}
		switch {
		case a.Refusal != nil:
			f.refused[a.first]++
			f.refusal++
			if a.Refusal.Unknown {
				f.unknown++
			}
		case f.random.Float64() < f.unsentShare:
			f.after(f.randomTime(f.unsentAfter), func() { f.onHost(&e.simHost, func() { e.wallet.Release(f.now, a.Permit) }) })
		default:
			f.served[a.first]++
			f.ran = append(f.ran, f.now)
		}
		return true
	})
	if q != nil {
		f.send(e, q)
	}
}

// send carries a question to its issuer and the answer back.
func (f *fleet) send(e *simEntry, q *Question) {
	f.questions++
	i, settled := f.issuers[q.Issuer.Name], false
	entryStarts, issuerStarts := e.starts, i.starts
	settle := func(next func() *Question) {
		if !settled && e.starts == entryStarts {
			settled = true
			f.step(e, next())
		}
	}
	f.after(QuestionTimeout, func() {
		f.onHost(&e.simHost, func() { settle(func() *Question { return e.wallet.Fail(f.now, q) }) })
	})
	f.deliver(e.zone, i.zone, func() {
		f.onHost(&i.simHost, func() {
			a, ok := i.issuer.Take(f.now, q.Request)
			if i.starts != issuerStarts {
				return
			}
			f.deliver(i.zone, e.zone, func() {
				f.onHost(&e.simHost, func() {
					settle(func() *Question {
						if !ok {
							return e.wallet.Fail(f.now, q)
						}
						return e.wallet.Answer(f.now, q, a)
					})
				})
			})
		})
	})
}

// deliver carries a message between zones, unless it is lost.
func (f *fleet) deliver(from, to string, run func()) {
	delay := 200*time.Microsecond + f.randomTime(200*time.Microsecond)
	if from != to {
		delay += 1200 * time.Microsecond
	}
	if f.random.Float64() < f.loss {
		// A segment that is sent again is late, beyond the timeout or within it.
		delay += f.randomTime(400 * time.Millisecond)
	}
	f.after(delay, func() {
		if from == to || !f.cutZones[from] && !f.cutZones[to] {
			run()
		}
	})
}

// worstExcess returns the most requests that ran in a window of 5 s beyond a bound for windows
// that start at a time.
func (f *fleet) worstExcess(bound func(start time.Time) float64) float64 {
	worst, end := -1e9, 0
	slices.SortFunc(f.ran, time.Time.Compare)
	for n, start := range f.ran {
		for end < len(f.ran) && f.ran[end].Sub(start) <= 5*time.Second {
			end++
		}
		worst = max(worst, float64(end-n)-bound(start))
	}
	return worst
}

// ranBetween returns the requests that ran from one time after the start to another.
func (f *fleet) ranBetween(from, to time.Duration) int {
	n := 0
	for _, t := range f.ran {
		if d := t.Sub(f.start); d >= from && d < to {
			n++
		}
	}
	return n
}

func evenly(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// unevenly gives half of the load to three entries.
func unevenly(n int) []float64 {
	out := evenly(n)
	for i := range 3 {
		out[i] = float64(n-3) / 3
	}
	return out
}

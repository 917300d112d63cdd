package jkaccount

import (
	"fmt"
	"slices"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jktimer"
)

// Times of the prober and of the list of hosts, which decide what an entry believes
// about a copy.
const (
	silentAfter = 800 * time.Millisecond
	longSilent  = 7 * time.Second
	// probePhase is how much later one host may notice a silence than another.
	probePhase = 250 * time.Millisecond
	// copiedAfter is how long copies take to learn from each other after a cut or a
	// restart; entries rely on it after settleTime.
	copiedAfter = 2 * time.Second
	// copiedAgain is when a new copy copies from the others once more.
	copiedAgain = 5 * time.Second
	// heardAfter is the most that an entry in touch takes to hear of a new host, and
	// newFor how long it counts a host as new then.
	heardAfter = 5 * time.Second
	newFor     = 8 * time.Second
	// calm is the time after which entries know each other's view of the copies.
	calm = 10 * time.Second
)

// budgetWorld is a program's copies in several zones, and entries that reserve for
// it. Hosts go down, start and are cut off; a host keeps its disk.
type budgetWorld struct {
	now     time.Time
	copies  []Copy
	ledgers map[string]*jkledger.Ledger
	added   map[string]time.Time
	down    map[string]time.Time
	// cutOff holds the hosts and entries on one side of a cut, and there those on
	// the other side: hosts that start during a cut reach both.
	cutOff, there map[string]bool
	cutAt         time.Time
	// apart is when two hosts were apart last; synced is set once the first has
	// copied from the second since then.
	apart   map[pair]time.Time
	synced  map[pair]bool
	entries []*budgetEntry
	granted int64
	turns   int
}

type pair struct{ a, b string }

type budgetEntry struct {
	name   string
	zone   string
	phase  time.Duration
	began  time.Time
	heard  map[string]time.Time
	clock  *jktimer.Manual
	client *Client
	// frozen is set while the process doesn't run.
	frozen bool
}

func newBudgetWorld(zones, hosts, entries int) *budgetWorld {
	w := &budgetWorld{
		now: time.Unix(1000, 0), ledgers: map[string]*jkledger.Ledger{}, added: map[string]time.Time{}, down: map[string]time.Time{},
		cutOff: map[string]bool{}, there: map[string]bool{}, apart: map[pair]time.Time{}, synced: map[pair]bool{},
	}
	for z := range zones {
		for h := range hosts {
			w.copies = append(w.copies, Copy{Host: fmt.Sprintf("%c%d", 'a'+z, h), Zone: string(rune('a' + z))})
		}
	}
	for _, c := range w.copies {
		w.ledgers[c.Host] = jkledger.New()
	}
	for i := range entries {
		e := &budgetEntry{name: fmt.Sprint("entry", i), zone: string(rune('a' + i%zones)), phase: probePhase * time.Duration(i) / time.Duration(entries)}
		w.entries = append(w.entries, e)
		w.start(e)
	}
	w.advance(calm)
	return w
}

// start begins an entry's process, which knows the copies that are there.
func (w *budgetWorld) start(e *budgetEntry) {
	timer, clock := jktimer.NewManual(w.now)
	e.began, e.heard, e.clock = w.now, map[string]time.Time{}, clock
	for _, c := range w.copies {
		e.heard[c.Host] = w.now
	}
	e.client = &Client{reach: newReach(), Options: Options{
		Timer: timer, Zone: e.zone, Losses: 1, Zones: 3, MembersSettled: func() bool { return true },
		Copies:    func() []Copy { return w.known(e) },
		Reachable: func(host string) bool { return w.silence(e, host) <= silentAfter+e.phase },
		Lost:      func(host string) bool { return w.silence(e, host) > longSilent+e.phase },
	}}
	e.client.Observe()
}

// known returns the copies that an entry has heard of.
func (w *budgetWorld) known(e *budgetEntry) []Copy {
	var out []Copy
	for _, c := range w.copies {
		heard, ok := e.heard[c.Host]
		if ok {
			c.New = heard.Sub(e.began) > newFor && w.now.Sub(heard) < newFor
			out = append(out, c)
		}
	}
	return out
}

// add starts another copy in a zone, which copies what the others have.
func (w *budgetWorld) add(zone string) string {
	c := Copy{Host: fmt.Sprintf("%s+%d", zone, len(w.copies)), Zone: zone}
	l := jkledger.New()
	w.ledgers[c.Host], w.added[c.Host] = l, w.now
	w.copies = append(w.copies, c)
	for _, other := range w.copies {
		w.copy(c.Host, other.Host)
	}
	return c.Host
}

// addFirst starts copies in a zone until one comes before all others there.
func (w *budgetWorld) addFirst(zone string) string {
	for {
		added := w.add(zone)
		if !slices.ContainsFunc(w.copies, func(c Copy) bool { return c.Zone == zone && rank("p", c.Host) > rank("p", added) }) {
			return added
		}
	}
}

func (w *budgetWorld) areCut(a, b string) bool {
	return w.cutOff[a] && w.there[b] || w.cutOff[b] && w.there[a]
}

// silence is how long an entry has heard nothing of a host.
func (w *budgetWorld) silence(e *budgetEntry, host string) time.Duration {
	longest := time.Duration(0)
	if w.areCut(e.name, host) {
		longest = w.now.Sub(w.cutAt)
	}
	if since, ok := w.down[host]; ok {
		longest = max(longest, w.now.Sub(since))
	}
	return longest
}

// answers reports whether a host gets an entry's message.
func (w *budgetWorld) answers(e *budgetEntry, host string) bool {
	_, down := w.down[host]
	return !down && !w.areCut(e.name, host)
}

// reserve admits a turn as Client.Reserve does.
func (w *budgetWorld) reserve(e *budgetEntry) {
	w.turns++
	r := jkforward.Reservation{Program: "p", Request: fmt.Sprint(w.turns), Tokens: turnTokens, Budget: turnBudget, Retention: time.Hour}
	places := e.client.places(r.Program)
	q := e.client.newQuorum(places)
	copies := slices.DeleteFunc(e.client.copiesOf(places), func(c Copy) bool { return !w.answers(e, c.Host) })
	enough := false
	for _, c := range copies {
		l := w.ledgers[c.Host]
		l.Apply(w.now, jkledger.Record{Spending: &jkledger.Spending{Program: r.Program, Request: r.Request, Tokens: r.Tokens, Retention: r.Retention}})
		if !enough {
			q.add(c.Host, &jkledger.ReserveAnswer{Spendings: l.Spendings(r.Program), Certain: true})
			enough = q.isEnough(r)
		}
	}
	if !enough {
		e.client.judge(q)
	}
	if q.decide(r) == nil {
		w.granted += r.Tokens
		return
	}
	for _, c := range copies {
		w.ledgers[c.Host].Apply(w.now, jkledger.Record{Spending: &jkledger.Spending{Program: r.Program, Request: r.Request, Settled: true, Retention: r.Retention}})
	}
}

// advance lets time pass in the steps of the prober.
func (w *budgetWorld) advance(d time.Duration) {
	for d > 0 {
		step := min(d, ObserveEvery)
		d -= step
		w.now = w.now.Add(step)
		w.exchange()
		for _, e := range w.entries {
			e.clock.Advance(step)
			if !e.frozen {
				w.hear(e)
				e.client.Observe()
			}
		}
	}
}

// hear tells an entry that is in touch of the new copies.
func (w *budgetWorld) hear(e *budgetEntry) {
	for _, c := range w.copies {
		if _, ok := e.heard[c.Host]; !ok && !w.cutOff[e.name] && w.now.Sub(w.added[c.Host]) >= heardAfter*e.phase/probePhase {
			e.heard[c.Host] = w.now
		}
	}
}

// exchange has hosts copy what they lack once they have been together for a while,
// and once more some time after a host has started for the first time.
func (w *budgetWorld) exchange() {
	for _, to := range w.copies {
		for _, from := range w.copies {
			p := pair{to.Host, from.Host}
			_, downTo := w.down[to.Host]
			_, downFrom := w.down[from.Host]
			if downTo || downFrom || w.areCut(to.Host, from.Host) {
				w.apart[p], w.synced[p] = w.now, false
				continue
			}
			began := w.added[to.Host].Add(copiedAgain)
			if last, ok := w.apart[p]; ok {
				began = last.Add(copiedAfter)
			}
			if !w.synced[p] && !w.now.Before(began) {
				w.synced[p] = true
				w.copy(to.Host, from.Host)
			}
		}
	}
}

// copy has a host take over the records of another one that it reaches.
func (w *budgetWorld) copy(to, from string) {
	if _, down := w.down[from]; down || w.areCut(to, from) {
		return
	}
	for _, s := range w.ledgers[from].Spendings("p") {
		w.ledgers[to].Apply(w.now, jkledger.Record{Spending: &s})
	}
}

const (
	turnTokens = 10
	turnBudget = 45
)

// stop ends a host's process, and restart begins all that were ended.
func (w *budgetWorld) stop(host string) { w.down[host] = w.now }

func (w *budgetWorld) restart() { w.down = map[string]time.Time{} }

// cut separates the hosts and entries for which the function is true from the rest.
func (w *budgetWorld) cut(isCut func(name, zone string) bool) {
	w.cutAt = w.now
	place := func(name, zone string) {
		if isCut(name, zone) {
			w.cutOff[name] = true
		} else {
			w.there[name] = true
		}
	}
	for _, c := range w.copies {
		place(c.Host, c.Zone)
	}
	for _, e := range w.entries {
		place(e.name, e.zone)
	}
}

func (w *budgetWorld) cutZone(zone string) {
	w.cut(func(_, z string) bool { return z == zone })
}

func (w *budgetWorld) heal() { w.cutOff, w.there = map[string]bool{}, map[string]bool{} }

// copyIn returns the program's copy in a zone, as an entry sees it.
func (w *budgetWorld) copyIn(e *budgetEntry, zone string) string {
	places := e.client.places("p")
	return places[slices.IndexFunc(places, func(p place) bool { return p.zone == zone })].needed[0].Host
}

func (w *budgetWorld) check(t interface{ Errorf(string, ...any) }) {
	if w.granted > turnBudget+turnTokens {
		t.Errorf("%d tokens are handed out of a budget of %d and one turn of %d", w.granted, turnBudget, turnTokens)
	}
}

package main

import (
	"fmt"
	"time"
)

// Counts of programs, and their budgets.
const (
	// keptChains are programs with a chain of two turns, continued at the end.
	keptChains = 80
	// spentPrograms are programs that went on until they were told that the budget is spent.
	spentPrograms = 80
	// spentBudget is the budget of the latter: two turns and a half.
	spentBudget = 5 * turnTokens / 2
	// wideBudget never binds.
	wideBudget = 100 * turnTokens
)

// replaceGap is the time between the end of a storage machine and the next replacement. It
// is longer than catch_up_s, which is 7.4 s: no two machines count as lost at a time.
const replaceGap = 10 * time.Second

// playReplaced replaces the storage machines of all zones, one after the other and each as planned
// work: the new one is started first, then the old one gets SIGTERM and doesn't return.
func playReplaced(f *fleet, r *runs, trouble bool) (broken []string, err error) {
	rec := f.rec
	if err := f.startFleet(); err != nil {
		return nil, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	rec.at(10)
	rec.note("traffic starts")
	chains := make([]*agent, keptChains)
	parallel(keptChains, 8, func(i int) {
		a := newAgent(wideBudget)
		chains[i] = a
		for range 6 {
			if a.turns < 2 {
				a.turn(rec, f.entries[i%len(f.entries)])
			}
		}
	})
	spent := make([]*agent, spentPrograms)
	parallel(spentPrograms, 8, func(i int) {
		a := newAgent(spentBudget)
		spent[i] = a
		for range 8 {
			if a.turn(rec, f.entries[i%len(f.entries)]).status == 402 {
				return
			}
		}
	})
	for _, a := range chains {
		if a.turns < 2 {
			return nil, fmt.Errorf("program %s has %d of 2 turns before the replacements", a.id, a.turns)
		}
	}
	rec.note("%d programs have two turns, %d have spent their budgets", keptChains, spentPrograms)

	for i, zone := range zones {
		rec.at(20 + float64(i)*(1+replaceGap.Seconds()))
		if !trouble {
			continue
		}
		next, err := f.addProcess("storage-"+zone+"-2", "storage", zone)
		if err != nil {
			return nil, err
		}
		rec.note("%s replaces %s, planned: the new machine first, then SIGTERM", next.name, f.storages[i].name)
		if err := next.start(false); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		f.storages[i].stop()
		rec.note("%s is gone", f.storages[i].name)
	}

	// By now the entries have removed the first two machines that are gone from the store. As
	// long as more than one is listed, they answer 503 for a turn that they don't find.
	rec.at(64)
	rec.note("chains go on")
	lost := make([]string, keptChains)
	parallel(keptChains, 8, func(i int) {
		a := chains[i]
		for try := range 5 {
			previous, age := a.last, time.Since(a.answeredAt)
			res := a.turn(rec, f.entries[(i+3+try)%len(f.entries)])
			switch {
			case res.status == 404 || res.status == 410:
				if age < retentionSeconds*time.Second {
					lost[i] = fmt.Sprintf("LOST: request %s is answered %d, its X-Previous-Turn %s was answered whole %.1f s ago, retention_s is %d", res.id, res.status, previous, age.Seconds(), retentionSeconds)
				}
				return
			case res.whole:
				return
			}
			time.Sleep(250 * time.Millisecond)
		}
	})
	n := 0
	for _, text := range lost {
		if text != "" {
			n++
			rec.add("broken", "%s", text)
		}
	}
	rec.note("LOST: %d of %d chains are answered 404 inside their retention", n, keptChains)
	if n > 0 {
		broken = append(broken, fmt.Sprintf("LOST (%d turns)", n))
	}

	rec.note("programs that have spent their budgets come back")
	over := 0
	parallel(spentPrograms, 8, func(i int) {
		a := spent[i]
		for range 8 {
			// Each turn starts a line of its own, as those of new sub-agents do.
			a.session, a.last = newID(), ""
			a.turn(rec, f.entries[(i+3)%len(f.entries)])
			if a.tokens > a.budget+turnTokens {
				return
			}
		}
	})
	for _, a := range spent {
		if a.tokens > a.budget+turnTokens {
			over++
			rec.add("broken", "BUDGET: program %s was handed %d tokens, its budget is %d and %d for one turn more", a.id, a.tokens, a.budget, turnTokens)
		}
	}
	rec.note("BUDGET, which doesn't count here: %d of %d programs were handed more than their budgets and one turn", over, spentPrograms)
	return broken, nil
}

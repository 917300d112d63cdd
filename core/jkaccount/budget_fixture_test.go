package jkaccount

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jktimer"
)

// Timeouts of the prober, after which an entry changes the state of a copy or a zone.
const (
	unreachableAfter = 800 * time.Millisecond
	lostAfter        = 7 * time.Second
	settledAfter     = 4 * time.Second
	// resumedSettledAfter is when a zone counts as settled after a silence of the entry itself.
	resumedSettledAfter = time.Second
	// resumedAfter is how long an entry that starts or resumes may take to notice that a partition has ended.
	resumedAfter = 500 * time.Millisecond
	// zoneExcludedAfter is how much later a zone counts as cut off than it is noticed.
	zoneExcludedAfter = 300 * time.Millisecond
	// probePhase is how much later one host may notice a failure than another.
	probePhase = 250 * time.Millisecond
	// copiedAfter is how long copies take to catch up with each other after a partition or
	// a restart; entries rely on it after settledAfter.
	copiedAfter = 2 * time.Second
	// confirmedAfter is the silence after which a host fell silent alone.
	confirmedAfter = 2 * time.Second
	// takenForLostAfter is the shortest pause after which others may have taken a host for lost.
	takenForLostAfter = confirmedAfter - 2*probePhase
	// newFor is how long a copy is new.
	newFor = 8 * time.Second
	// copiedAgainAfter is when an added copy copies from the others for the last time.
	copiedAgainAfter = 7 * time.Second
)

// budgetFixture simulates a program's copies in several zones, and entries that reserve tokens
// for it. Hosts go down and zones are partitioned from the others; a host keeps its disk.
type budgetFixture struct {
	now time.Time
	// timer has the time of the fixture, which clock sets.
	timer   *jktimer.Service
	clock   *jktimer.Manual
	copies  []Copy
	ledgers map[string]*jkledger.Ledger
	// downSince is when a host went down and cutSince when a zone was partitioned; no entry
	// means that it is up or connected. recoveredAt is when either last ended, by host or
	// zone.
	downSince map[string]time.Time
	cutSince  map[string]time.Time
	// isolatedSince is since when an entry has been cut off from all copies.
	isolatedSince map[*budgetEntry]time.Time
	// withoutRelays is set if isolated entries reach the other entries as little as the copies.
	withoutRelays bool
	recoveredAt   map[string]time.Time
	// downs holds the times for which hosts were down that are up again, the latest one last.
	downs map[string][]silence
	// partitions holds all partitions, the latest one last.
	partitions []partition
	// missing holds the hosts of other zones from which a host hasn't copied since it was down.
	missing map[string]map[string]bool
	// uncopied holds the hosts of other zones that are back and from which a host hasn't copied since, and when they
	// last answered before.
	uncopied map[string]map[string]time.Time
	// unreplicated holds the hosts on which reservations were admitted without a majority, and by each the hosts that have
	// copied them since.
	unreplicated map[string]map[string]bool
	// said holds by observer whether a host said with its last answer that it isn't among these, and heardAt when that was.
	said    map[string]map[string]bool
	heardAt map[string]map[string]time.Time
	// paused are the hosts among those of downSince that stand still, and pauses the times for which hosts did.
	paused map[string]bool
	pauses map[string][]silence
	// startedAt is when a host was last started again.
	startedAt map[string]time.Time
	// failedLinks are pairs of hosts with a copy that don't reach each other, and linkFailures the times for which they didn't.
	failedLinks  map[link]time.Time
	linkFailures map[link][]silence
	// wasSilent is set for the hosts of uncopied that were silent, and not only unheard by a host that stood still.
	wasSilent map[link]bool
	// kept holds the losses that a host had found harmless when it stopped or was paused.
	kept map[link]keptLoss
	// addedAt is when a host was added.
	addedAt map[string]time.Time
	entries []*budgetEntry
	// outbox holds what entries keep for copies out of their reach, if they don't restart before it is delivered.
	outbox       []undelivered
	deliversLate bool
	// abandoned are the requests whose entries have ended.
	abandoned []string
	// settleAbandoned settles the last turn, as an entry that hasn't ended.
	settleAbandoned func()
	// retention is that of the program, one hour if it is zero, and requestPrefix begins the names of its requests.
	retention     time.Duration
	requestPrefix string
	// granted is the number of tokens of all admitted turns, and turns the number of all
	// reservations.
	granted int64
	turns   int
}

// link is a host with a copy as another one observes it.
type link struct{ from, to string }

// keptLoss is what a host knows of a loss for good.
type keptLoss struct{ confirmed, replicated bool }

// budgetEntry is an entry that notices failures a little later than others, by its phase, or a host with a copy that
// observes the others.
type budgetEntry struct {
	zone  string
	host  string
	phase time.Duration
	// late is how long after the end of a cut an entry still reaches no other zone.
	late   time.Duration
	client *Client
	// observedFrom is when the entry started, or the end of its last pause, and isNew is set after a start.
	observedFrom time.Time
	isNew        bool
}

// restart starts an entry anew: it knows nothing of what was before.
func (f *budgetFixture) restart(e *budgetEntry) {
	e.client = &Client{Options: e.client.Options}
	e.observedFrom, e.isNew = f.now, true
	e.client.Observe()
}

func (e *budgetEntry) name() string { return e.zone + "/" + e.host }

func newBudgetFixture(zones, hosts, entries int) *budgetFixture {
	f := &budgetFixture{
		now: time.Unix(1000, 0), ledgers: map[string]*jkledger.Ledger{}, downSince: map[string]time.Time{},
		cutSince: map[string]time.Time{}, isolatedSince: map[*budgetEntry]time.Time{}, recoveredAt: map[string]time.Time{},
		downs:   map[string][]silence{},
		missing: map[string]map[string]bool{}, uncopied: map[string]map[string]time.Time{}, addedAt: map[string]time.Time{},
		paused: map[string]bool{}, pauses: map[string][]silence{}, startedAt: map[string]time.Time{},
		failedLinks: map[link]time.Time{}, linkFailures: map[link][]silence{}, wasSilent: map[link]bool{}, kept: map[link]keptLoss{},
		unreplicated: map[string]map[string]bool{}, said: map[string]map[string]bool{},
		heardAt: map[string]map[string]time.Time{},
	}
	f.timer, f.clock = jktimer.NewManual(f.now)
	for z := range zones {
		for h := range hosts {
			c := Copy{Host: fmt.Sprintf("%c%d", 'a'+z, h), Zone: string(rune('a' + z)), Disk: "first"}
			f.copies = append(f.copies, c)
			f.ledgers[c.Host] = jkledger.New()
		}
	}
	for i := range entries {
		e := &budgetEntry{zone: string(rune('a' + i%zones)), phase: probePhase * time.Duration(i) / time.Duration(entries)}
		e.client = &Client{Options: Options{
			Timer: f.timer, Zone: e.zone, MaxLostDisks: 1, ZoneCount: zones, MembersSettled: func() bool { return true },
			Copies:         func() []Copy { return f.knownTo(e) },
			Reachable:      func(host string) bool { return f.unreachableFor(e, host) <= unreachableAfter+e.phase },
			LostReplicated: func(host string) bool { return f.lostReplicated(e, host) },
			IsReplicated: func(host string) bool {
				_, isolated := f.isolatedSince[e]
				return !isolated && f.unreachableFor(e, host) <= unreachableAfter+e.phase && f.said[e.name()][host]
			},
			Lost:          func(host string) bool { return f.unreachableFor(e, host) > lostAfter+e.phase },
			ZoneReachable: func(zone string) bool { return f.cutOff(e, zone) <= unreachableAfter+zoneExcludedAfter+e.phase },
			ZoneSettled: func(zone string) bool {
				return zone == e.zone || f.cutOff(e, zone) <= unreachableAfter+e.phase && f.now.Sub(f.lastNoticedCut(e, zone)) >= settledAfter && f.now.Sub(f.lastOwnSilence(e, zone)) >= resumedSettledAfter
			},
			LossConfirmed: func(host string) bool { return f.lossConfirmed(e, host) }, LossConfirmedAfter: confirmedAfter,
			UnreachableFor: func(host string) time.Duration { return f.unreachableFor(e, host) },
		}}
		e.client.Observe()
		f.entries = append(f.entries, e)
	}
	return f
}

// knownTo returns the copies as an entry knows them. It may hear of an added one a little later
// than others, so that this one is new for longer.
func (f *budgetFixture) knownTo(e *budgetEntry) []Copy {
	out := slices.Clone(f.copies)
	for i, c := range out {
		if at, added := f.addedAt[c.Host]; added {
			out[i].New = f.now.Sub(at) < newFor+e.phase
		}
	}
	return out
}

// areCut reports whether two zones can't reach each other.
func (f *budgetFixture) areCut(a, b string) bool {
	_, cutA := f.cutSince[a]
	_, cutB := f.cutSince[b]
	return a != b && (cutA || cutB)
}

// cutFor returns how long two zones haven't been able to reach each other.
func (f *budgetFixture) cutFor(a, b string) time.Duration {
	if a == b {
		return 0
	}
	longest := time.Duration(0)
	for _, zone := range []string{a, b} {
		if since, ok := f.cutSince[zone]; ok {
			longest = max(longest, f.now.Sub(since))
		}
	}
	return longest
}

// cutOff returns how long an entry hasn't been able to reach a zone.
func (f *budgetFixture) cutOff(e *budgetEntry, zone string) time.Duration {
	longest, late := f.cutFor(e.zone, zone), e.late
	if f.now.Sub(e.observedFrom) < resumedAfter {
		late = max(late, resumedAfter)
	}
	for _, p := range f.partitions {
		if zone != e.zone && (p.zone == e.zone || p.zone == zone) && f.now.Sub(p.to) < late {
			longest = max(longest, f.now.Sub(p.from))
		}
	}
	return longest
}

// lastCut returns when the last partition between two zones ended.
func (f *budgetFixture) lastCut(a, b string) time.Time {
	if f.recoveredAt[a].After(f.recoveredAt[b]) {
		return f.recoveredAt[a]
	}
	return f.recoveredAt[b]
}

// lastNoticedCut returns when the last partition that an entry noticed between its zone and another
// one ended.
func (f *budgetFixture) lastNoticedCut(e *budgetEntry, zone string) time.Time {
	var last time.Time
	for _, p := range f.partitions {
		if (p.zone == e.zone || p.zone == zone) && p.to.Sub(p.from) > unreachableAfter+e.phase && p.to.After(e.observedFrom.Add(ownSilence)) {
			last = latest(last, p.to)
		}
	}
	return last
}

// ownSilence is how long after its start or a pause an entry takes a zone that is back for one that was never cut off.
const ownSilence = unreachableAfter + confirmedAfter

// lastOwnSilence returns when an entry last heard a zone again after a silence that may have been its own.
func (f *budgetFixture) lastOwnSilence(e *budgetEntry, zone string) time.Time {
	last := e.observedFrom
	for _, p := range f.partitions {
		if (p.zone == e.zone || p.zone == zone) && p.to.After(e.observedFrom) {
			last = latest(last, p.to)
		}
	}
	return last
}

// unreachableFor returns how long a host hasn't answered an entry.
func (f *budgetFixture) unreachableFor(e *budgetEntry, host string) time.Duration {
	c := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })]
	longest := f.cutOff(e, c.Zone)
	if since, ok := f.isolatedSince[e]; ok && !f.addedAt[host].After(since) {
		longest = max(longest, f.now.Sub(since))
	}
	if since, ok := f.downSince[host]; ok {
		longest = max(longest, f.now.Sub(since))
	}
	if since, ok := f.failedLinks[link{e.host, host}]; ok {
		longest = max(longest, f.now.Sub(since))
	}
	if e.isNew {
		longest = min(longest, f.now.Sub(e.observedFrom))
	}
	return longest
}

// notices reports whether an observer that began at a time notices a silence. If it stood still as that began, the answers
// may be unread at first.
func (f *budgetFixture) notices(e *budgetEntry, s silence, began time.Time) bool {
	for _, own := range f.pauses[e.host] {
		if s.from.After(own.from.Add(-unreachableAfter)) && s.from.Before(own.to) {
			return s.to.Sub(own.to) > confirmedAfter
		}
	}
	return s.to.Sub(latest(s.from, began)) > unreachableAfter+e.phase
}

// lossConfirmed reports whether an entry has confirmed that a host fell silent alone.
func (f *budgetFixture) lossConfirmed(e *budgetEntry, host string) bool {
	return f.unreachableFor(e, host) >= confirmedAfter+e.phase && f.settledWhenLost(e, host) && f.lastAnswer(e, host).Sub(e.observedFrom) >= settledAfter
}

// settledWhenLost reports whether an entry noticed no partition of its zone from that of a
// host, or from any zone if they are the same, from settledAfter before the host's last answer
// until confirmedAfter after it. A host that it noticed down has to be back for as long before its last answer where
// there are other zones.
func (f *budgetFixture) settledWhenLost(e *budgetEntry, host string) bool {
	return !f.wasBackBriefly(e, host) && f.settledSince(e, host, time.Time{}, settledAfter)
}

// wasBackBriefly reports whether a host that an entry had noticed down was back for less than settledAfter.
func (f *budgetFixture) wasBackBriefly(e *budgetEntry, host string) bool {
	lastAnswer := f.lastAnswer(e, host)
	return f.hasOtherZones(e.zone) && lastAnswer.Sub(f.lastNoticedReturn(e, host)) < settledAfter
}

// settledSince reports whether an observer that began at a time has noticed no partition that bears on the loss of a host,
// from a time before its last answer on.
func (f *budgetFixture) settledSince(e *budgetEntry, host string, began time.Time, before time.Duration) bool {
	own := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })].Zone
	lastAnswer := f.lastAnswer(e, host)
	return !slices.ContainsFunc(f.partitions, func(p partition) bool {
		concerns := p.zone == e.zone || p.zone == own || own == e.zone
		end := p.to
		if end.IsZero() {
			end = f.now
		}
		noticed := f.notices(e, silence{p.from, end}, began)
		return concerns && noticed && end.Sub(lastAnswer) > -before && p.from.Sub(lastAnswer) < confirmedAfter
	})
}

// lastNoticedReturn returns when a host was last back that an entry had noticed down.
func (f *budgetFixture) lastNoticedReturn(e *budgetEntry, host string) time.Time {
	var last time.Time
	for _, s := range slices.Concat(f.downs[host], f.linkFailures[link{e.host, host}]) {
		if f.notices(e, s, time.Time{}) {
			last = latest(last, s.to)
		}
	}
	return last
}

// listen notes what the hosts that answer say of their reservations.
func (f *budgetFixture) listen() {
	for _, c := range f.copies {
		f.listenAs(&budgetEntry{zone: c.Zone})
		if _, down := f.downSince[c.Host]; !down {
			f.listenAs(observer(c))
		}
	}
}

func (f *budgetFixture) listenAs(e *budgetEntry) {
	name := e.name()
	if f.said[name] == nil {
		f.said[name], f.heardAt[name] = map[string]bool{}, map[string]time.Time{}
	}
	for _, c := range f.copies {
		if f.unreachableFor(e, c.Host) == 0 && f.isUp(e, c) {
			f.said[name][c.Host], f.heardAt[name][c.Host] = f.unreplicated[c.Host] == nil, f.now
			delete(f.kept, link{e.host, c.Host})
		}
	}
}

// isUp reports whether a host answers an observer.
func (f *budgetFixture) isUp(e *budgetEntry, c Copy) bool {
	_, down := f.downSince[c.Host]
	_, failed := f.failedLinks[link{e.host, c.Host}]
	return !down && !failed && !f.areCut(e.zone, c.Zone)
}

// observer returns the host of a copy as an observer of the others.
func observer(c Copy) *budgetEntry { return &budgetEntry{zone: c.Zone, host: c.Host} }

// lastAnswer returns when an observer last heard a host.
func (f *budgetFixture) lastAnswer(e *budgetEntry, host string) time.Time {
	last := f.heardAt[e.name()][host]
	if since, isolated := f.isolatedSince[e]; isolated && since.Before(last) {
		return since
	}
	return last
}

// lostReplicated reports whether an observer has heard that others have what a silent host admitted, and noticed no
// partition since.
func (f *budgetFixture) lostReplicated(e *budgetEntry, host string) bool {
	if _, isolated := f.isolatedSince[e]; isolated || !f.said[e.name()][host] || f.lastAnswer(e, host).Before(e.observedFrom) {
		return false
	}
	own := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })].Zone
	lastAnswer := f.lastAnswer(e, host)
	isBroken := func(p partition) bool {
		end := p.to
		if end.IsZero() {
			end = f.now
		}
		concerns := p.zone == e.zone || p.zone == own || own == e.zone
		return concerns && f.notices(e, silence{p.from, end}, time.Time{}) && end.Sub(lastAnswer) > -settledAfter && p.from.Sub(lastAnswer) < confirmedAfter
	}
	return f.unreachableFor(e, host) >= confirmedAfter+e.phase && !slices.ContainsFunc(f.partitions, isBroken)
}

func (f *budgetFixture) hasOtherZones(zone string) bool {
	return slices.ContainsFunc(f.copies, func(c Copy) bool { return c.Zone != zone })
}

// partition is a zone that is cut off from the others for a time; to is zero while it is.
type partition struct {
	zone     string
	from, to time.Time
}

// losses returns what a copy's host observes of the others.
func (f *budgetFixture) losses(c Copy) jkledger.Losses {
	var out jkledger.Losses
	own := observer(c)
	for _, other := range f.copies {
		before, uncopied := f.uncopied[c.Host][other.Host]
		if f.isLostReplicated(c, other) {
			out.Replicated = append(out.Replicated, other.Host)
		}
		if uncopied && (f.unreachableFor(own, other.Host) > unreachableAfter || !f.said[own.name()][other.Host]) {
			out.Returned = append(out.Returned, jkledger.Return{Host: other.Host, Since: f.now.Sub(before)})
		}
		missedAnswers := uncopied && !f.wasSilent[link{c.Host, other.Host}]
		switch view := f.viewLoss(c, other); {
		case view == "contested":
		case view == "returned" && other.Zone == c.Zone, view != "unobserved" && missedAnswers, view == "unobserved" && (!uncopied || missedAnswers):
			// Nothing is copied from the host's own zone.
			out.Unobserved = append(out.Unobserved, other.Host)
		case view != "unobserved" && !uncopied:
			out.Confirmed = append(out.Confirmed, other.Host)
		case view == "unobserved" && f.said[own.name()][other.Host]:
			out.UnobservedReplicated = append(out.UnobservedReplicated, other.Host)
		}
	}
	return out
}

// viewLoss returns what a copy's host has seen of the loss of another one. If it was down or stood still itself, it can't
// tell whether a host that falls silent soon after was cut off before.
func (f *budgetFixture) viewLoss(c, other Copy) string {
	own, lastAnswer := observer(c), f.lastAnswer(observer(c), other.Host)
	startedAt := latest(f.startedAt[c.Host], f.addedAt[c.Host])
	observed := lastAnswer.Sub(latest(startedAt, f.recoveredAt[c.Host])) >= settledAfter
	switch {
	case f.unreachableFor(own, other.Host) <= unreachableAfter:
		return "contested"
	case f.kept[link{c.Host, other.Host}].confirmed:
		return "confirmed"
	case lastAnswer.Before(startedAt):
		return "unobserved"
	case f.unreachableFor(own, other.Host) < confirmedAfter || !f.settledSince(own, other.Host, startedAt, settledAfter):
		return "contested"
	case !observed || !f.settledSince(own, other.Host, time.Time{}, settledAfter):
		return "unobserved"
	case f.wasBackBriefly(own, other.Host):
		return "returned"
	}
	return "confirmed"
}

// isLostReplicated reports whether a copy's host knows that a silent one was replicated.
func (f *budgetFixture) isLostReplicated(c, other Copy) bool {
	own, observedAt := observer(c), latest(f.recoveredAt[c.Host], f.addedAt[c.Host])
	return f.kept[link{c.Host, other.Host}].replicated || f.lostReplicated(own, other.Host) && f.lastAnswer(own, other.Host).After(observedAt)
}

// keepLosses notes what a copy's host knows for good as it stops or is paused.
func (f *budgetFixture) keepLosses(c Copy) {
	for _, other := range f.copies {
		_, uncopied := f.uncopied[c.Host][other.Host]
		f.kept[link{c.Host, other.Host}] = keptLoss{
			confirmed: f.viewLoss(c, other) == "confirmed" && !uncopied, replicated: f.isLostReplicated(c, other),
		}
	}
}

// answers reports whether a copy answers an entry's message.
func (f *budgetFixture) answers(e *budgetEntry, c Copy) bool {
	_, down := f.downSince[c.Host]
	reaches := func(other *budgetEntry) bool {
		since, isolated := f.isolatedSince[other]
		inReach := !isolated || f.addedAt[c.Host].After(since)
		return inReach && f.reaches(e, other.zone) && f.reaches(other, c.Zone)
	}
	_, isolated := f.isolatedSince[e]
	if isolated && f.withoutRelays {
		return !down && reaches(e)
	}
	return !down && (reaches(e) || slices.ContainsFunc(f.entries, reaches))
}

// reaches reports whether an entry reaches a zone.
func (f *budgetFixture) reaches(e *budgetEntry, zone string) bool {
	return !f.areCut(e.zone, zone) && f.cutOff(e, zone) == 0
}

// isolate cuts an entry off from all copies that have been added so far. Other entries relay its
// messages unless withoutRelays is set.
func (f *budgetFixture) isolate(e *budgetEntry) {
	if _, isolated := f.isolatedSince[e]; !isolated {
		f.isolatedSince[e] = f.now
	}
}

// abandon reserves tokens for a turn whose entry ends before it settles them.
func (f *budgetFixture) abandon(e *budgetEntry, tokens, budget int64) {
	f.abandoned = append(f.abandoned, f.requestPrefix+fmt.Sprint(f.turns+1))
	f.reserve(e, tokens, budget)
}

// reserve admits a turn as Client.Reserve does.
func (f *budgetFixture) reserve(e *budgetEntry, tokens, budget int64) {
	f.turns++
	r := jkforward.Reservation{Program: "p", Request: f.requestPrefix + fmt.Sprint(f.turns), Tokens: tokens, Budget: budget, Retention: cmp.Or(f.retention, time.Hour)}
	copies := e.client.replicas(r.Program)
	q := newQuorum(len(copies))
	reports, answers := newLossReports(), map[string][]jkledger.Spending{}
	for _, c := range copies {
		if !f.answers(e, c) {
			continue
		}
		losses := f.losses(c)
		reports.add(c.Host, losses)
		l := f.ledgers[c.Host]
		l.Apply(f.now, jkledger.Record{Spending: &jkledger.Spending{Program: r.Program, Request: r.Request, Tokens: tokens, Retention: r.Retention}})
		answers[c.Host] = l.Spendings(r.Program)
		q.add(&jkledger.ReserveAnswer{Spendings: answers[c.Host], Certain: true, Behind: f.isBehind(c), Abandoned: f.abandoned, Losses: losses}, e.client.standsIn(r.Program, c))
	}
	answering := slices.DeleteFunc(slices.Clone(copies), func(c Copy) bool { return !f.answers(e, c) })
	q.unprovenAnswers = e.client.countUnproven(r.Program, answering, reports)
	successors := e.client.successors(r.Program, copies)
	for _, c := range successors {
		if !f.answers(e, c) {
			continue
		}
		reports.addNew(c.Host)
		l := f.ledgers[c.Host]
		l.Apply(f.now, jkledger.Record{Spending: &jkledger.Spending{Program: r.Program, Request: r.Request, Tokens: tokens, Retention: r.Retention}})
		answers[c.Host] = l.Spendings(r.Program)
		q.addSpendings(&jkledger.ReserveAnswer{Spendings: answers[c.Host], Abandoned: f.abandoned})
	}
	all := slices.Concat(copies, successors)
	q.allowance = e.client.allowance(r, copies, successors, reports, q.spendings)
	q.exclusive, q.parted = e.client.isExclusive(r.Program, copies, successors, reports), e.client.isParted(r.Program, copies, reports)
	err := q.decide(r)
	if err == nil {
		f.granted += tokens
		one := newRecording(f.now, r, all, answers)
		if f.settleAbandoned = func() { f.settle(e, one, all) }; !slices.Contains(f.abandoned, r.Request) {
			f.settleAbandoned()
		}
		for _, c := range answering {
			if !q.hasMajority() {
				f.unreplicated[c.Host] = map[string]bool{}
			}
		}
		return
	}
	for _, c := range all {
		if f.answers(e, c) {
			f.ledgers[c.Host].Apply(f.now, jkledger.Record{Spending: &jkledger.Spending{Program: r.Program, Request: r.Request, Settled: true, Retention: r.Retention}})
		}
	}
}

// newRecording returns what an entry notes of the answers to a reservation.
func newRecording(now time.Time, r jkforward.Reservation, asked []Copy, answers map[string][]jkledger.Spending) *recording {
	out := &recording{begunAt: now, reservation: r, answers: answers, disks: map[string]string{}}
	for _, c := range asked {
		out.disks[c.Host] = c.Disk
	}
	return out
}

// undelivered are the records that an entry holds for a copy out of its reach.
type undelivered struct {
	from    *budgetEntry
	to      Copy
	records []jkledger.Record
}

// settle settles a turn that used all that it had reserved, on the copies that answer.
func (f *budgetFixture) settle(e *budgetEntry, one *recording, asked []Copy) {
	r := one.reservation
	spending := jkledger.Spending{Program: r.Program, Request: r.Request, Tokens: r.Tokens, Settled: true, Retention: r.Retention}
	for _, c := range asked {
		f.outbox = append(f.outbox, undelivered{e, c, one.settlement(spending, c.Host)})
	}
	f.deliver()
	if !f.deliversLate {
		f.outbox = nil
	}
}

// deliver delivers what entries hold for copies that are in reach.
func (f *budgetFixture) deliver() {
	f.outbox = slices.DeleteFunc(f.outbox, func(u undelivered) bool {
		if !f.answers(u.from, u.to) {
			return false
		}
		for _, r := range u.records {
			f.ledgers[u.to.Host].Apply(f.now, r)
		}
		return true
	})
}

// advance lets time pass. Entries observe added copies meanwhile, as those of a daemon do.
func (f *budgetFixture) advance(d time.Duration) {
	for len(f.addedAt) > 0 && d > probePhase {
		f.step(probePhase)
		d -= probePhase
	}
	f.step(d)
}

// step lets time pass. Hosts copy the records that they lack from each other only after one of
// them was added, started or was cut off.
func (f *budgetFixture) step(d time.Duration) {
	before := f.now
	f.listen()
	defer f.listen()
	f.now = f.now.Add(d)
	f.clock.Advance(d)
	for _, c := range f.copies {
		if !f.isApart(c) {
			f.ledgers[c.Host].Expire(f.now)
		}
	}
	f.deliver()
	for _, to := range f.copies {
		for _, from := range f.copies {
			_, downTo := f.downSince[to.Host]
			_, downFrom := f.downSince[from.Host]
			if downTo || downFrom || !f.isUp(observer(to), from) || !f.copiesBetween(from, to, before) {
				continue
			}
			f.copy(from, to)
			delete(f.missing[to.Host], from.Host)
			delete(f.uncopied[to.Host], from.Host)
			delete(f.wasSilent, link{to.Host, from.Host})
			for _, s := range f.ledgers[from.Host].Spendings("p") {
				f.ledgers[to.Host].Apply(f.now, jkledger.Record{Spending: &s})
			}
		}
	}
	for _, e := range f.entries {
		e.client.Observe()
	}
}

// isApart reports whether a copy's host keeps what has expired: it doesn't run, has missing records of other zones to copy, or
// has noticed that it doesn't reach one.
func (f *budgetFixture) isApart(c Copy) bool {
	_, down := f.downSince[c.Host]
	return down || slices.ContainsFunc(f.copies, func(other Copy) bool {
		_, uncopied := f.uncopied[c.Host][other.Host]
		return uncopied || f.missing[c.Host][other.Host] || f.cutOff(observer(c), other.Zone) > unreachableAfter+probePhase
	})
}

// copy notes that a host has copied from another one. Once all of the other zones have, nothing is unreplicated.
func (f *budgetFixture) copy(from, to Copy) {
	copiedBy := f.unreplicated[from.Host]
	if copiedBy == nil {
		return
	}
	copiedBy[to.Host] = true
	if !slices.ContainsFunc(f.copies, func(c Copy) bool { return c.Zone != from.Zone && !copiedBy[c.Host] }) {
		delete(f.unreplicated, from.Host)
	}
}

// copiesBetween reports whether one host has copied from another one between a time and now.
func (f *budgetFixture) copiesBetween(from, to Copy, begin time.Time) bool {
	passed := func(at time.Time) bool { return at.After(begin) && !at.After(f.now) }
	together := latest(f.lastCut(to.Zone, from.Zone), latest(f.recoveredAt[to.Host], f.recoveredAt[from.Host]))
	if failures := f.linkFailures[link{to.Host, from.Host}]; len(failures) > 0 {
		together = latest(together, failures[len(failures)-1].to)
	}
	together = latest(together, latest(f.addedAt[to.Host], f.addedAt[from.Host]))
	again, added := f.addedAt[to.Host]
	return passed(together.Add(copiedAfter)) || added && passed(again.Add(copiedAgainAfter))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	turnTokens = 10
	turnBudget = 45
)

func (f *budgetFixture) down(host string) {
	f.listen()
	f.downUnheard(host)
}

// downUnheard makes a host go down whose last probes nobody has had an answer to.
func (f *budgetFixture) downUnheard(host string) {
	c := f.copyOn(host)
	f.stop(c)
	delete(f.uncopied, host)
	f.miss(c)
}

// stop makes a host answer nobody.
func (f *budgetFixture) stop(c Copy) {
	f.keepLosses(c)
	f.downSince[c.Host] = f.now
}

func (f *budgetFixture) copyOn(host string) Copy {
	return f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })]
}

// pause makes a host with a copy stand still until resume.
func (f *budgetFixture) pause(host string) {
	f.listen()
	f.stop(f.copyOn(host))
	f.paused[host] = true
}

// resume makes a host that stands still run again. If that took long, it has lost all others for that time, and lacks what
// they have admitted since.
func (f *budgetFixture) resume(host string) {
	c, s := f.copyOn(host), silence{f.downSince[host], f.now}
	delete(f.paused, host)
	if s.to.Sub(s.from) <= unreachableAfter {
		delete(f.downSince, host)
		return
	}
	f.pauses[host] = append(f.pauses[host], s)
	f.back(host)
	if f.missing[host] == nil {
		f.missing[host] = map[string]bool{}
	}
	for _, from := range f.copies {
		isUp := f.isUp(observer(c), from)
		if from.Zone == c.Zone || !isUp && s.from.Sub(f.lastAnswer(observer(c), from.Host)) > unreachableAfter {
			continue
		}
		if isUp || s.to.Sub(s.from) >= takenForLostAfter {
			f.missing[host][from.Host] = true
		}
		if isUp {
			f.lack(c, from, s.from, f.wasBackDuring(observer(c), from, s))
		}
	}
}

// wasBackDuring reports whether an observer had noticed a silence of a host that ended while it stood still.
func (f *budgetFixture) wasBackDuring(e *budgetEntry, c Copy, own silence) bool {
	silences := slices.Concat(f.downs[c.Host], f.linkFailures[link{e.host, c.Host}])
	for _, p := range f.partitions {
		if p.zone == e.zone || p.zone == c.Zone {
			silences = append(silences, silence{p.from, p.to})
		}
	}
	return slices.ContainsFunc(silences, func(s silence) bool { return !s.to.Before(own.from) && f.notices(e, s, time.Time{}) })
}

// fail makes two hosts with copies lose each other until repair.
func (f *budgetFixture) fail(a, b string) {
	f.listen()
	f.failedLinks[link{a, b}], f.failedLinks[link{b, a}] = f.now, f.now
}

// repair ends all failures of links.
func (f *budgetFixture) repair() {
	for l, since := range f.failedLinks {
		delete(f.failedLinks, l)
		f.linkFailures[l] = append(f.linkFailures[l], silence{since, f.now})
		to, from := f.copyOn(l.from), f.copyOn(l.to)
		_, down := f.downSince[to.Host]
		if f.now.Sub(since) > unreachableAfter && !down && to.Zone != from.Zone && f.isUp(observer(to), from) {
			f.lack(to, from, since, true)
		}
	}
}

// lack notes that a host has to copy from another one that is back from a silence since a time.
func (f *budgetFixture) lack(to, from Copy, since time.Time, wasSilent bool) {
	if f.uncopied[to.Host] == nil {
		f.uncopied[to.Host] = map[string]time.Time{}
	}
	if _, earlier := f.uncopied[to.Host][from.Host]; !earlier {
		f.uncopied[to.Host][from.Host] = since
	}
	if wasSilent {
		f.wasSilent[link{to.Host, from.Host}] = true
	}
}

// miss notes that a copy lacks records of all other zones.
func (f *budgetFixture) miss(c Copy) {
	f.missing[c.Host] = map[string]bool{}
	for _, other := range f.copies {
		if other.Zone != c.Zone {
			f.missing[c.Host][other.Host] = true
		}
	}
}

// isBehind reports whether a copy has copied from all hosts of too few zones.
func (f *budgetFixture) isBehind(c Copy) bool {
	zones, copied := map[string]bool{}, map[string]bool{}
	for _, other := range f.copies {
		zones[other.Zone], copied[other.Zone] = true, other.Zone != c.Zone
	}
	for _, other := range f.copies {
		copied[other.Zone] = copied[other.Zone] && !f.missing[c.Host][other.Host]
	}
	enough := len(zones) - majority(len(zones))
	if len(zones) > 1 {
		enough = max(enough, 1)
	}
	for _, whole := range copied {
		if whole {
			enough--
		}
	}
	return enough > 0
}

func (f *budgetFixture) cut(zone string) {
	f.listen()
	f.cutSince[zone] = f.now
	f.partitions = append(f.partitions, partition{zone: zone, from: f.now})
}

// up starts all hosts that are down.
func (f *budgetFixture) up() {
	for host := range f.downSince {
		if !f.paused[host] {
			f.upAgain(host)
		}
	}
}

func (f *budgetFixture) upAgain(host string) {
	// The log that a start reads doesn't say what had expired and was kept.
	f.ledgers[host].Expire(f.downSince[host])
	f.back(host)
	f.startedAt[host] = f.now
}

// back makes a host answer again.
func (f *budgetFixture) back(host string) {
	f.uncopy(f.silentSince(host), func(from, _ Copy) bool { return from.Host == host })
	f.downs[host] = append(f.downs[host], silence{from: f.downSince[host], to: f.now})
	delete(f.downSince, host)
	f.recoveredAt[host] = f.now
}

// heal ends all partitions.
func (f *budgetFixture) heal() {
	for zone, since := range f.cutSince {
		f.uncopy(since, func(from, to Copy) bool {
			_, down := f.downSince[from.Host]
			return !down && (from.Zone == zone || to.Zone == zone)
		})
		delete(f.cutSince, zone)
		f.recoveredAt[zone] = f.now
		f.partitions[len(f.partitions)-1].to = f.now
	}
}

// silentSince returns since when a host that is down doesn't answer other zones. It may have been cut off before.
func (f *budgetFixture) silentSince(host string) time.Time {
	since := f.downSince[host]
	zone := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })].Zone
	for _, p := range f.partitions {
		if p.zone == zone && p.from.Before(since) && !p.to.Before(since) {
			since = p.from
		}
	}
	return since
}

// uncopy notes that hosts which are up have to copy from others that are back, if these noticed a silence since a time.
func (f *budgetFixture) uncopy(at time.Time, isBack func(from, to Copy) bool) {
	if f.now.Sub(at) <= unreachableAfter+probePhase {
		return
	}
	for _, to := range f.copies {
		if _, down := f.downSince[to.Host]; down {
			continue
		}
		for _, from := range f.copies {
			if from.Zone != to.Zone && isBack(from, to) {
				f.lack(to, from, at, f.notices(observer(to), silence{at, f.now}, time.Time{}))
			}
		}
	}
}

// copyIn returns the host of the program's copy in a zone, as an entry chooses it.
func (f *budgetFixture) copyIn(e *budgetEntry, zone string) string {
	copies := e.client.replicas("p")
	return copies[slices.IndexFunc(copies, func(c Copy) bool { return c.Zone == zone })].Host
}

// check fails if more is granted than the budget and one turn.
func (f *budgetFixture) check(t interface{ Errorf(string, ...any) }) { f.checkOf(t, turnBudget) }

// checkOf is check for another budget.
func (f *budgetFixture) checkOf(t interface{ Errorf(string, ...any) }, budget int64) {
	if f.granted > budget+turnTokens {
		t.Errorf("%d tokens are handed out of a budget of %d and one turn of %d", f.granted, budget, turnTokens)
	}
}

// add adds a host with a copy to a zone. All entries hear of it.
func (f *budgetFixture) add(zone string) {
	f.addCopy(Copy{Host: fmt.Sprintf("%s-added-%d", zone, len(f.copies)), Zone: zone, New: true})
}

// addBefore adds a copy to the zone of another one, in whose place it is chosen later.
func (f *budgetFixture) addBefore(other Copy) { f.addRanked(other, true) }

// addAfter adds a copy to the zone of another one, in whose place it is chosen once that is lost.
func (f *budgetFixture) addAfter(other Copy) { f.addRanked(other, false) }

func (f *budgetFixture) addRanked(other Copy, before bool) {
	added := Copy{Zone: other.Zone, New: true}
	for i := 0; added.Host == "" || ranksBefore("p", added, other) != before; i++ {
		added.Host = fmt.Sprintf("%s-added-%d-%d", other.Zone, len(f.copies), i)
	}
	f.addCopy(added)
}

// loseDisk gives a host that is down an empty disk.
func (f *budgetFixture) loseDisk(host string) {
	i := slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })
	f.copies[i].Disk, f.ledgers[host] = fmt.Sprint(f.now.UnixMilli()), jkledger.New()
}

func (f *budgetFixture) addCopy(c Copy) {
	c.Disk = fmt.Sprint(f.now.UnixMilli())
	f.copies = append(f.copies, c)
	f.ledgers[c.Host] = jkledger.New()
	f.miss(c)
	f.addedAt[c.Host] = f.now
	for _, e := range f.entries {
		e.client.Observe()
	}
}

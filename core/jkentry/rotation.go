package jkentry

import (
	"sync"
	"sync/atomic"
	"time"

	"jasmineknot.example/core/jklog"
)

// Times of the rotation. The reasons are in docs/design/rotation.md.
const (
	// returnAfter is how long the reasons to be out of rotation have to be gone.
	returnAfter = 500 * time.Millisecond
	// An entry that leaves again within leftAgainWithin of its return waits twice as long for the
	// next one, up to maxReturnAfter, so that a flapping link doesn't make readiness flap.
	leftAgainWithin = 10 * time.Second
	maxReturnAfter  = 4 * time.Second
	// maxUncertain is the observed time for which an uncertain view delays the decision. Answers
	// that were unread because of a pause are read within 800 ms.
	maxUncertain = 1500 * time.Millisecond
	// maxObservedStep bounds the time that counts as observed between two decisions, so that a
	// pause of the process doesn't count.
	maxObservedStep = 250 * time.Millisecond
)

// rotationView is what an entry knows at the time of a decision.
type rotationView struct {
	// keepsTurns is set if the rules have a route that keeps turns, and settled if all hosts are
	// likely to be known.
	keepsTurns, settled bool
	// uncertain is set if answers of other hosts may be unread.
	uncertain bool
	// canKeep is set if the copies in zones that answer suffice to keep turns, and othersCanKeep
	// if those in the other zones do.
	canKeep, othersCanKeep bool
	// known is the number of hosts, and answering that of hosts in zones that answer. Both include
	// the entry itself.
	known, answering int
}

// isWorseOff reports whether callers are better served by entries of other zones.
func (v rotationView) isWorseOff() bool {
	return v.keepsTurns && v.settled && !v.canKeep && v.othersCanKeep && 2*v.answering < v.known
}

// rotationState decides whether an entry is out of the platform's rotation because its zone can't
// keep turns.
type rotationState struct {
	out bool
	// decidedAt is the time of the latest decision.
	decidedAt time.Time
	// uncertainFor is the observed time for which the entry has seemed worse off in an uncertain
	// view.
	uncertainFor time.Duration
	// fineSince is since when an entry that is out isn't worse off any more, or zero.
	fineSince time.Time
	// returnedAt is when the entry was last back, and returnAfter how long it has to be fine first.
	returnedAt  time.Time
	returnAfter time.Duration
}

// decide updates the state and reports whether the entry is out of rotation.
func (s *rotationState) decide(now time.Time, v rotationView) bool {
	step := min(now.Sub(s.decidedAt), maxObservedStep)
	if s.decidedAt.IsZero() {
		step = 0
	}
	s.decidedAt = now
	isWorseOff := v.isWorseOff()
	if !isWorseOff || !v.uncertain {
		s.uncertainFor = 0
	}
	switch {
	case isWorseOff && s.out:
		s.fineSince = time.Time{}
	case isWorseOff:
		if v.uncertain {
			s.uncertainFor += step
		}
		if !v.uncertain || s.uncertainFor >= maxUncertain {
			s.leave(now)
		}
	case s.out:
		s.mayReturn(now)
	}
	return s.out
}

func (s *rotationState) leave(now time.Time) {
	next := returnAfter
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < leftAgainWithin {
		next = min(2*s.returnAfter, maxReturnAfter)
	}
	s.out, s.fineSince, s.uncertainFor, s.returnAfter = true, time.Time{}, 0, next
}

// mayReturn ends the time out of rotation once the entry has been fine for long enough.
func (s *rotationState) mayReturn(now time.Time) {
	if s.fineSince.IsZero() {
		s.fineSince = now
	}
	if now.Sub(s.fineSince) >= s.returnAfter {
		s.out, s.returnedAt = false, now
	}
}

// rotationOptions holds what a rotation observes.
type rotationOptions struct {
	log        jklog.Logger
	host, zone string
	now        func() time.Time
	members    *members
	// lostDisks is the number of disks that may be lost at once.
	lostDisks           int
	keepsTurns, settled func() bool
	silentZones         func() (silent map[string]bool, uncertain bool)
	canKeepTurns        func(answers func(zone string) bool) bool
}

// rotation observes whether an entry should be out of the platform's rotation. It is safe for
// concurrent use.
type rotation struct {
	rotationOptions
	out atomic.Bool

	mu    sync.Mutex
	state rotationState
}

func newRotation(o rotationOptions) *rotation { return &rotation{rotationOptions: o} }

// isOut returns the latest decision.
func (r *rotation) isOut() bool { return r.out.Load() }

// decide decides by what is known now whether the entry is out of rotation.
func (r *rotation) decide() bool {
	v := r.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.state.out
	out := r.state.decide(r.now(), v)
	r.out.Store(out)
	if out != was {
		r.log.Warn("rotation changed", "out", out, "can_keep_turns", v.canKeep, "hosts", v.known, "answering", v.answering)
	}
	return out
}

// view collects what is known now. All hosts of a zone count as answering if one of those that are
// probed does: each entry probes others, and all entries of a zone have to decide alike.
func (r *rotation) view() rotationView {
	silent, uncertain := r.silentZones()
	answers := func(zone string) bool { return !silent[zone] }
	v := rotationView{keepsTurns: r.keepsTurns(), settled: r.settled(), uncertain: uncertain, canKeep: r.canKeepTurns(answers)}
	v.known, v.answering = r.members.countAnswering(r.host, answers)
	copies, others := r.members.copies(), 0
	for _, c := range copies {
		if !answers(c.Zone) {
			others++
		}
	}
	v.othersCanKeep = others >= min(r.lostDisks+1, len(copies))
	return v
}

// countAnswering returns the number of hosts that aren't suspected to be down, and the number of
// those in zones that answer. The given host counts in both.
func (m *members) countAnswering(self string, answers func(zone string) bool) (known, answering int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, answering = 1, 1
	for _, h := range m.hosts {
		if h.Host == self || h.Suspected {
			continue
		}
		known++
		if answers(h.Zone) {
			answering++
		}
	}
	return known, answering
}

// newRotation returns the entry's rotation.
func (e *Entry) newRotation() *rotation {
	r := newRotation(rotationOptions{
		log: e.log.Part("rotation"), host: e.settings.Host, zone: e.settings.Zone, now: e.timer.Now, members: e.members,
		lostDisks: e.settings.LostDisks, settled: e.membersSettled, silentZones: e.probes.SilentZones, canKeepTurns: e.account.CanKeepTurns,
		keepsTurns: func() bool { rules := e.rules.Load(); return rules != nil && rules.RetainsTurns() },
	})
	e.metrics.NewGauge("jk_out_of_rotation", func() float64 {
		if r.isOut() {
			return 1
		}
		return 0
	})
	return r
}

// Ready reports whether the entry takes new connections. An entry that can't reach any endpoint of a
// service, nor any endpoint through others, isn't ready, so that callers go to entries of other
// zones. Nor is one whose zone can't keep turns while other zones can, nor one that will soon refuse
// keys, since its rules may not be the newest.
func (e *Entry) Ready() bool {
	rules := e.rules.Load()
	return !e.stop.Begun() && rules != nil && e.rulesWatch.IsReady() && e.news.settled() && e.fleet.Endpoints() > 0 && !e.isIsolated() &&
		!e.fleet.HasUnreachableService(rules.Services()) && !e.rotation.decide()
}

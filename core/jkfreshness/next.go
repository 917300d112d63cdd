package jkfreshness

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Action is what a host does to learn how current its rules are.
type Action string

// Actions: nothing for now, a read of the store, a question to another host.
const (
	ActionNone Action = "none"
	ActionRead Action = "read"
	ActionAsk  Action = "ask"
)

// Step is what a host does next.
type Step struct {
	Action Action
	// Host is the host to ask.
	Host string
	// Wait is the time after which the table is to be asked again, if there is nothing to do.
	Wait time.Duration
	// Timeout bounds the call.
	Timeout time.Duration
}

const (
	// readers is the number of hosts that read the store in calm, and standIns the number of those
	// that do so first if the readers bring nothing.
	readers  = 2
	standIns = 2
	// minReadPause is the least time between two reads of a host, except for readers of a bound
	// that needs more. maxReadPause bounds it after failed reads.
	minReadPause = time.Second
	maxReadPause = 8 * time.Second
	// avoidPeriod is how long a host isn't asked after it didn't answer, as for watches.
	avoidPeriod = 4 * time.Second
	// minReadTimeout and minAskTimeout bound calls where the interval is short. A slow store takes
	// sixty times its usual 4 ms.
	minReadTimeout = 250 * time.Millisecond
	minAskTimeout  = 100 * time.Millisecond
)

// asks is when other hosts were asked, by their names.
type asks struct {
	askedAt    map[string]time.Duration
	avoidUntil map[string]time.Duration
	// turn selects the host to ask beyond readers and stand-ins, and turnAt is from when on.
	turn   int
	turnAt time.Duration
	// answeredAt is when a host answered last.
	answeredAt time.Duration
}

// reads is when the store may be read again, and how many reads have failed since the last success.
type reads struct {
	nextAt   time.Duration
	failures int
}

// class is how early a host reads the store.
type class string

const (
	classReader  class = "reader"
	classStandIn class = "stand_in"
	classOther   class = "other"
)

// classIn returns the class of this host among the hosts in the order of their ranks.
func (t *Table) classIn(ranked []string) class {
	rank := slices.Index(ranked, t.host)
	switch {
	case len(ranked) == 0, rank >= 0 && rank < readers:
		return classReader
	case rank >= 0 && rank < readers+standIns:
		return classStandIn
	}
	return classOther
}

// times returns a multiple of the interval.
func (t *Table) times(factor float64) time.Duration {
	return time.Duration(factor * float64(t.interval))
}

// askAge is the age from which a host asks others. Readers read at the interval, so that a question a
// little later gets a new answer.
func (t *Table) askAge(c class) time.Duration {
	if c == classReader {
		return t.interval
	}
	return t.times(1.05 + 0.2*t.spread)
}

// readAge is the age from which a host reads the store. Those that read first learn it for the others.
func (t *Table) readAge(c class) time.Duration {
	switch c {
	case classReader:
		return t.interval
	case classStandIn:
		return t.times(1.4)
	}
	return t.times(1.8 + 0.6*t.spread)
}

// askPause is the time between two questions to the same host. It is short just after rules with
// workspaces came into force, while all hosts take up their first confirmation.
func (t *Table) askPause(now time.Duration) time.Duration {
	switch {
	case now-t.activeAt < 2*t.interval:
		return t.interval / 10
	case t.Age(now) > 3*t.interval:
		return t.times(1 + t.spread/4)
	}
	return t.interval / 2
}

// Next returns the next step. Ranked are the reachable entries in the order in which they read the
// store; this host may be among them.
func (t *Table) Next(now time.Duration, ranked []string) Step {
	if !t.active {
		return Step{Action: ActionNone, Wait: t.interval}
	}
	c, age := t.classIn(ranked), t.Age(now)
	if due := t.askAge(c) - age; due > 0 {
		return Step{Action: ActionNone, Wait: due}
	}
	read := Step{Action: ActionRead, Timeout: max(t.interval/2, minReadTimeout)}
	// Without a confirmation, a host counts from when it began to need one.
	unknownFor := min(age, now-t.activeAt)
	mayRead := now >= t.reads.nextAt && (c == classReader || unknownFor >= t.readAge(c))
	if mayRead && c == classReader {
		return read
	}
	if host, ok := t.nextHost(now, ranked); ok {
		return Step{Action: ActionAsk, Host: host, Timeout: max(t.interval/5, minAskTimeout)}
	}
	if mayRead {
		return read
	}
	return Step{Action: ActionNone, Wait: t.interval / 20}
}

// nextHost returns the next host to ask: the readers, beginning with one that differs from host to
// host, then the stand-ins, then one more in turn.
func (t *Table) nextHost(now time.Duration, ranked []string) (string, bool) {
	first, rest := t.others(ranked)
	for _, host := range first {
		if t.mayAsk(now, host) {
			return host, true
		}
	}
	if now < t.asks.turnAt {
		return "", false
	}
	for i := range rest {
		if host := rest[(t.asks.turn+i)%len(rest)]; t.mayAsk(now, host) {
			return host, true
		}
	}
	return "", false
}

// others returns the hosts that are asked first, in order, and the rest of the other hosts.
func (t *Table) others(ranked []string) (first, rest []string) {
	reading := slices.Clone(ranked[:min(len(ranked), readers)])
	if len(reading) == readers && xxhash.Sum64String(t.host)%readers == 1 {
		slices.Reverse(reading)
	}
	n := min(len(ranked), readers+standIns)
	isSelf := func(h string) bool { return h == t.host }
	first = slices.DeleteFunc(slices.Concat(reading, ranked[len(reading):n]), isSelf)
	return first, slices.DeleteFunc(slices.Clone(ranked[n:]), isSelf)
}

func (t *Table) mayAsk(now time.Duration, host string) bool {
	askedAt, asked := t.asks.askedAt[host]
	return now >= t.asks.avoidUntil[host] && (!asked || now-askedAt >= t.askPause(now))
}

// Begin records that a step begins.
func (t *Table) Begin(s Step, now time.Duration, ranked []string) {
	switch s.Action {
	case ActionRead:
		t.reads.nextAt = now + t.readPause(now, t.classIn(ranked))
	case ActionAsk:
		if _, asked := t.asks.askedAt[s.Host]; !asked && len(t.asks.askedAt) > 2*len(ranked) {
			// The names are of hosts that are gone, most of them.
			clear(t.asks.askedAt)
			clear(t.asks.avoidUntil)
		}
		t.asks.askedAt[s.Host] = now
		if _, rest := t.others(ranked); slices.Contains(rest, s.Host) {
			t.asks.turn = slices.Index(rest, s.Host) + 1
			t.asks.turnAt = now + t.askPause(now)
		}
	}
}

// HostBack records that a host can be reached again, so that it is asked without delay.
func (t *Table) HostBack(host string) {
	delete(t.asks.askedAt, host)
	delete(t.asks.avoidUntil, host)
}

// End records whether a step was answered. The confirmation that it brought is passed to Confirm.
func (t *Table) End(s Step, answered bool, now time.Duration) {
	switch {
	case s.Action == ActionRead && answered:
		t.reads.failures = 0
	case s.Action == ActionRead:
		t.reads.failures++
	case s.Action == ActionAsk && answered:
		t.asks.answeredAt = now
	case s.Action == ActionAsk:
		t.asks.avoidUntil[s.Host] = now + avoidPeriod
	}
}

// readPause returns the least time until the next read of the store. After failed reads it grows on
// hosts that will learn from others that the store answers again, so that not all hosts keep calling
// a store that is down.
func (t *Table) readPause(now time.Duration, c class) time.Duration {
	if c == classReader && t.reads.failures == 0 {
		return t.interval
	}
	pause := minReadPause
	if c == classOther && now-t.asks.answeredAt < avoidPeriod {
		pause = min(minReadPause<<min(t.reads.failures, 8), maxReadPause)
	}
	return pause + time.Duration(t.spread/4*float64(pause))
}

package jkaccount

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// lossReports holds which copies have answered and what their hosts observe of the others.
type lossReports struct {
	// ofTurns is set if a lost host mustn't have turns that the others lack either.
	ofTurns  bool
	answered map[string]bool
	// reporting are those whose observations count.
	reporting []string
	// confirmed holds the hosts whose loss at least one of them has confirmed, or knows to be replicated.
	confirmed map[string]bool
	// silent holds for each host the reporting ones that don't contest its loss.
	silent map[string][]string
	// returned holds the hosts that at least one of them hasn't copied since they are back, and how long ago they
	// answered before.
	returned map[string]time.Duration
}

// newLossReports returns reports for the reservations of a program.
func newLossReports() *lossReports {
	return &lossReports{answered: map[string]bool{}, confirmed: map[string]bool{}, silent: map[string][]string{}, returned: map[string]time.Duration{}}
}

// newTurnLossReports returns reports for turns.
func newTurnLossReports() *lossReports {
	r := newLossReports()
	r.ofTurns = true
	return r
}

// add adds the answer of a copy.
func (r *lossReports) add(from string, l jkledger.Losses) {
	r.answered[from] = true
	if l.Unlisted {
		return
	}
	r.reporting = append(r.reporting, from)
	for _, host := range l.Confirmed {
		r.confirmed[host] = true
		r.silent[host] = append(r.silent[host], from)
	}
	if !r.ofTurns {
		for _, host := range l.Replicated {
			r.confirmed[host] = true
			r.silent[host] = append(r.silent[host], from)
		}
		for _, host := range l.UnobservedReplicated {
			r.silent[host] = append(r.silent[host], from)
		}
	}
	for _, host := range l.Unobserved {
		r.silent[host] = append(r.silent[host], from)
	}
	for _, back := range l.Returned {
		r.returned[back.Host] = max(r.returned[back.Host], back.Since)
	}
}

// addNew adds the answer of a copy that is new. Its host hasn't noticed yet which ones are down.
func (r *lossReports) addNew(from string) { r.answered[from] = true }

// isContested reports whether a copy that answered reaches a host, or has seen that the host may be cut off rather than
// down.
func (r *lossReports) isContested(host string) bool { return len(r.contesting(host)) > 0 }

// contesting returns the copies because of which a host is contested.
func (r *lossReports) contesting(host string) []string {
	return slices.DeleteFunc(slices.Clone(r.reporting), func(from string) bool { return slices.Contains(r.silent[host], from) })
}

// isLossHarmless reports whether the other copies have what the copy on a silent host has
// admitted. This host may be the only one that can't reach it, so that its own observation
// counts only if no copy that answered contradicts it.
func (c *Client) isLossHarmless(host string, reports *lossReports) bool {
	return !reports.isContested(host) && (reports.confirmed[host] || c.isLossSeen(host, reports))
}

// isLossSeen reports whether this host has seen itself that a loss is harmless.
func (c *Client) isLossSeen(host string, reports *lossReports) bool {
	return c.LossConfirmed(host) || !reports.ofTurns && c.LostReplicated(host)
}

// unprovenLosses describes for a log line the silent hosts whose loss may not be harmless: whether any host has confirmed
// it, and which copies contest it.
func (c *Client) unprovenLosses(reports *lossReports) string {
	var out []string
	for _, known := range c.knownCopies() {
		if c.Reachable(known.Host) || c.isLossHarmless(known.Host, reports) {
			continue
		}
		isConfirmed := reports.confirmed[known.Host] || c.isLossSeen(known.Host, reports)
		out = append(out, fmt.Sprintf("%s confirmed=%t contested_by=%s", known.Host, isConfirmed, strings.Join(reports.contesting(known.Host), "+")))
	}
	return strings.Join(out, ", ")
}

// describeReplaced describes for a log line the lost copies whose places the program's copies have, and that may hold what
// these lack: whether each is silent, or back and not copied by a copy that answered.
func (c *Client) describeReplaced(o *reserveOperation) string {
	var out []string
	for _, other := range c.replaced(o.reservation.Program, o.copies, o.reports) {
		state := "back"
		if !c.Reachable(other.Host) {
			state = "silent"
		}
		_, isUncopied := o.reports.returned[other.Host]
		out = append(out, fmt.Sprintf("%s %s uncopied=%t", other.Host, state, isUncopied))
	}
	return strings.Join(out, ", ")
}

// isDown reports whether a copy is down while no entry of its zone admits turns without the
// other zones. A copy that has answered, if only through a relay, isn't down.
func (c *Client) isDown(target Copy, reports *lossReports) bool {
	return !reports.answered[target.Host] && !c.Reachable(target.Host) &&
		c.isZoneSettled(target.Zone) && c.isLossHarmless(target.Host, reports)
}

// isZoneSettled reports whether a zone and the others have reached each other for so long that
// no entry there admits turns by itself. The own zone is cut off if the others can't be reached.
func (c *Client) isZoneSettled(zone string) bool {
	if zone != c.Zone {
		return c.ZoneSettled(zone)
	}
	return !slices.ContainsFunc(c.Copies(), func(known Copy) bool { return !c.ZoneSettled(known.Zone) })
}

// unsettledZones returns, for a log line, the zones whose silent copies don't count as down.
func (c *Client) unsettledZones() string {
	var out []string
	for _, known := range c.Copies() {
		if !c.ZoneSettled(known.Zone) && !slices.Contains(out, known.Zone) {
			out = append(out, known.Zone)
		}
	}
	return strings.Join(out, ",")
}

// countDown returns the number of copies that are down.
func (c *Client) countDown(copies []Copy, reports *lossReports) int {
	n := 0
	for _, target := range copies {
		if c.isDown(target, reports) {
			n++
		}
	}
	return n
}

// isExclusive reports whether no other part of the fleet can admit turns of a program by
// itself, or has done so without the given copies. Copies that didn't answer are harmless if
// they are down, and lost copies in whose place one of the given was chosen if the others have
// what they admitted. The successors have no vote, but may admit turns elsewhere.
func (c *Client) isExclusive(program string, copies, successors []Copy, reports *lossReports) bool {
	mayAdmit := func(target Copy) bool { return c.mayAdmitAlone(target, reports) }
	return !slices.ContainsFunc(slices.Concat(copies, successors), mayAdmit) && len(c.replaced(program, copies, reports)) == 0
}

// allowance returns how many tokens the turns of a program may have together, by a majority's word: the budget and one
// turn, less what may be granted elsewhere. Each copy that hasn't answered and may admit turns without a majority grants
// its share at most, less what it is known to count, whether it is lost, cut off or slow.
func (c *Client) allowance(r jkforward.Reservation, copies, successors []Copy, reports *lossReports, known spendings) int64 {
	var held []int64
	leave := func(target Copy) {
		held = append(held, known.heldBy(jkledger.HolderName(target.Host, target.Disk), c.Timer.Now()))
	}
	for _, target := range slices.Concat(copies, successors) {
		if c.mayAdmitAlone(target, reports) {
			leave(target)
		}
	}
	for _, other := range c.replaced(r.Program, copies, reports) {
		leave(other)
	}
	if len(held) > 2 {
		// Each of them may grant a larger turn than this one, and two halves of that are within one turn.
		for _, tokens := range held {
			r.Tokens = max(r.Tokens, r.Budget-2*tokens)
		}
	}
	left := r.Budget + r.Tokens
	for _, tokens := range held {
		left -= max(partitionShare(r)-tokens, 0)
	}
	return left
}

// mayAdmitAlone reports whether a copy that hasn't answered may admit turns without a majority.
func (c *Client) mayAdmitAlone(target Copy, reports *lossReports) bool {
	return !reports.answered[target.Host] && !c.isDown(target, reports)
}

// replaced returns the lost copies whose places the given ones have, and that may have admitted turns of which the
// others don't know.
func (c *Client) replaced(program string, copies []Copy, reports *lossReports) []Copy {
	return slices.DeleteFunc(slices.Clone(c.knownCopies()), func(other Copy) bool {
		return c.isLossHarmless(other.Host, reports) || !c.isReplaced(program, other, copies, reports)
	})
}

// fellSilentTogether reports whether a copy fell silent with the chosen one of its zone, as in a cut, or after it.
func (c *Client) fellSilentTogether(other Copy, chosen []Copy) bool {
	return !c.Reachable(other.Host) && slices.ContainsFunc(chosen, func(target Copy) bool {
		return target.Zone == other.Zone && !c.Reachable(target.Host) &&
			c.UnreachableFor(other.Host)-c.UnreachableFor(target.Host) < c.LossConfirmedAfter
	})
}

// isParted reports whether the copies that answered may admit turns without a majority. Only one other
// part of the fleet may do so too, so that the zones of the others have to be cut off, which these
// notice as well. One that is down beside that may have admitted turns while it was cut off itself,
// unless its loss is harmless. So may one that was lost before the cut and whose place another one has.
func (c *Client) isParted(program string, copies []Copy, reports *lossReports) bool {
	missing := slices.DeleteFunc(slices.Clone(copies), func(target Copy) bool { return reports.answered[target.Host] })
	isCut := func(target Copy) bool { return !c.ZoneReachable(target.Zone) }
	// A zone is found unreachable a little later than its first host.
	cut := slices.ContainsFunc(missing, func(target Copy) bool {
		return isCut(target) || c.UnreachableFor(target.Host) < c.LossConfirmedAfter
	})
	wasLost := func(other Copy) bool { return !c.fellSilentTogether(other, copies) }
	return !slices.ContainsFunc(c.replaced(program, copies, reports), wasLost) && !slices.ContainsFunc(missing, func(target Copy) bool {
		return c.Reachable(target.Host) || cut && !isCut(target) && !c.isLossHarmless(target.Host, reports)
	})
}

// untilLossesConfirmed returns the time until all copies that are out of reach are likely to be
// confirmed as lost or to be back. One that is silent for longer waits for the observations of
// others, which take about half as long as its own.
func (c *Client) untilLossesConfirmed() time.Duration {
	longest := c.LossConfirmedAfter / 2
	for _, target := range c.knownCopies() {
		if !c.Reachable(target.Host) {
			longest = max(longest, c.LossConfirmedAfter-c.UnreachableFor(target.Host))
		}
	}
	return longest
}

package jkpolicy

import (
	"slices"
	"time"
)

// peakTurns returns the turns that were submitted during a load peak.
func peakTurns(p *plan, turns []turnRecord) []turnRecord {
	return slices.DeleteFunc(turns, func(t turnRecord) bool { return !p.workload.Peak.contains(t.release) })
}

// possibleInTime returns an upper bound of the number of turns that any scheduler
// could have answered in time, as if no other work existed. For each peak it takes the
// interval in which the service time of the turns released and due within it exceeds
// the fleet's time the most: at least the largest turns that make up the excess must
// be late.
func possibleInTime(p *plan, turns []turnRecord) int {
	c := p.workload.Peak
	late := 0
	for k := 0.0; k*c.PeriodS < (p.cacheWarmup + p.duration).Seconds(); k++ {
		begin := seconds(k*c.PeriodS + c.offset())
		late += minLateTurns(p, turns, begin)
	}
	return len(turns) - late
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// minLateTurns returns how many turns of the peak at begin must be late. It looks at
// intervals that start within the peak and end before the next one, so that the
// intervals of different peaks don't overlap.
func minLateTurns(p *plan, turns []turnRecord, begin time.Duration) int {
	const grid = time.Second
	c := p.workload.Peak
	late := 0
	for from := begin; from < begin+seconds(c.LengthS); from += grid {
		inside := turnsWithin(turns, from, begin+seconds(c.PeriodS))
		for to := from + grid; to <= begin+seconds(c.PeriodS); to += grid {
			capacity := (to - from) * time.Duration(p.workload.endpointCount())
			late = max(late, excessTurns(turnsWithin(inside, from, to), capacity))
		}
	}
	return late
}

// turnsWithin returns the turns that are released and due between from and to.
func turnsWithin(turns []turnRecord, from, to time.Duration) []turnRecord {
	var out []turnRecord
	for _, t := range turns {
		if t.release >= from && t.deadline <= to {
			out = append(out, t)
		}
	}
	return out
}

// excessTurns returns the least number of turns without which the others fit into the
// capacity.
func excessTurns(turns []turnRecord, capacity time.Duration) int {
	total := time.Duration(0)
	times := make([]time.Duration, 0, len(turns))
	for _, t := range turns {
		total += t.serviceTime
		times = append(times, t.serviceTime)
	}
	if total <= capacity {
		return 0
	}
	slices.Sort(times)
	n := 0
	for total > capacity {
		n++
		total -= times[len(times)-n]
	}
	return n
}

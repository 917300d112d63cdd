package jkpolicy

import (
	"slices"
	"time"
)

// crestTurns returns the turns that were submitted during a crest.
func crestTurns(p *plan, turns []turnRecord) []turnRecord {
	return slices.DeleteFunc(turns, func(t turnRecord) bool { return !p.load.Crest.high(t.release) })
}

// hindsight bounds from above how many of the turns any scheduler could have
// answered in time, as if no other work existed. Per swing it takes the interval in which the work released
// and due within it exceeds the fleet's time the most: at least the largest
// turns that make up the excess must be late.
func hindsight(p *plan, turns []turnRecord) int {
	c := p.load.Crest
	late := 0
	for k := 0.0; k*c.PeriodS < (p.settle + p.duration).Seconds(); k++ {
		begin := seconds(k*c.PeriodS + c.quiet())
		late += lateInSwing(p, turns, begin)
	}
	return len(turns) - late
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// lateInSwing looks at intervals that start within the crest and end before
// the next one, so that the intervals of different swings don't overlap.
func lateInSwing(p *plan, turns []turnRecord, begin time.Duration) int {
	const grid = time.Second
	c := p.load.Crest
	most := 0
	for from := begin; from < begin+seconds(c.LengthS); from += grid {
		inside := within(turns, from, begin+seconds(c.PeriodS))
		for to := from + grid; to <= begin+seconds(c.PeriodS); to += grid {
			room := (to - from) * time.Duration(p.load.endpointCount())
			most = max(most, excess(within(inside, from, to), room))
		}
	}
	return most
}

func within(turns []turnRecord, from, to time.Duration) []turnRecord {
	var out []turnRecord
	for _, t := range turns {
		if t.release >= from && t.deadline <= to {
			out = append(out, t)
		}
	}
	return out
}

// excess is the least number of turns without which the rest fits into room.
func excess(turns []turnRecord, room time.Duration) int {
	total := time.Duration(0)
	work := make([]time.Duration, 0, len(turns))
	for _, t := range turns {
		total += t.work
		work = append(work, t.work)
	}
	if total <= room {
		return 0
	}
	slices.Sort(work)
	n := 0
	for total > room {
		n++
		total -= work[len(work)-n]
	}
	return n
}

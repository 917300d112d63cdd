package jkquota

import "slices"

// lowPoint is the least room that a bucket has had since a step.
type lowPoint struct {
	step uint64
	room float64
}

// lowPoints tell the least room of a bucket since any step: the steps and their rooms increase.
type lowPoints []lowPoint

// maxLowPoints bounds the memory of a bucket. Beyond it, less is known of the oldest steps, and
// fewer permits are taken back.
const maxLowPoints = 15

// add records the room in a step.
func (l *lowPoints) add(step uint64, room float64) {
	for len(*l) > 0 && (*l)[len(*l)-1].room >= room {
		*l = (*l)[:len(*l)-1]
	}
	if len(*l) == maxLowPoints {
		(*l)[1].room = (*l)[0].room
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, lowPoint{step, room})
}

// use uses up to n of the least room since a step and returns how much that is. Whoever uses room of
// the same time later finds it used.
func (l *lowPoints) use(n float64, since uint64) float64 {
	first := slices.IndexFunc(*l, func(p lowPoint) bool { return p.step > since })
	if first < 0 {
		return 0
	}
	n = max(min(n, (*l)[first].room), 0)
	for i := first; i < len(*l); i++ {
		(*l)[i].room -= n
	}
	least := (*l)[first].room
	*l = slices.DeleteFunc(*l, func(p lowPoint) bool { return p.step <= since && p.room >= least })
	return n
}

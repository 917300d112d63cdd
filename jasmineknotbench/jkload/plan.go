package jkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// turn is one planned call of a program.
type turn struct {
	pause    time.Duration // before the call
	service  string        // empty for a model call
	actionID string
	prompt   string
	tokens   int // of the answer
	stream   bool
}

// plan is all a program is going to do. It depends on the seed and the index
// only, not on the order in which programs run.
type plan struct {
	index int
	turns []turn
}

// arrivals returns the start times of the programs, relative to the start of
// the run: a Poisson process whose rate has a peak, bounded by count and
// duration.
func arrivals(o Options) []time.Duration {
	random := rand.New(rand.NewPCG(o.Seed, math.MaxUint64))
	var out []time.Duration
	at := 0.0 // seconds
	for range o.Programs {
		// The expected number of arrivals until the next one is exponential
		// with mean 1, whatever the rate does meanwhile.
		need := random.ExpFloat64()
		for {
			rate, until := o.rateAt(at)
			if need <= rate*(until-at) {
				at += need / rate
				break
			}
			need -= rate * (until - at)
			at = until
		}
		if at > o.Duration.Seconds() {
			break
		}
		out = append(out, time.Duration(at*float64(time.Second)))
	}
	return out
}

// rateAt returns the rate at a time in seconds and the time until which it
// holds.
func (o Options) rateAt(at float64) (rate, until float64) {
	start := o.PeakStart.Seconds()
	end := start + o.PeakLength.Seconds()
	switch {
	case o.PeakFactor == 0 || at >= end:
		return o.Rate, math.Inf(1)
	case at < start:
		return o.Rate, start
	}
	return o.Rate * o.PeakFactor, end
}

func newPlan(o Options, index int) plan {
	random := rand.New(rand.NewPCG(o.Seed, uint64(index)))
	n := 1 + random.IntN(2*o.Turns-1)
	if random.Float64() < o.Stragglers {
		n *= o.Factor
	}
	services := make([]string, 0, len(o.Services))
	for name := range o.Services {
		services = append(services, name)
	}
	sort.Strings(services)
	p := plan{index: index}
	for i := range n {
		t := turn{pause: time.Duration(random.ExpFloat64() * float64(o.Pause))}
		isService := random.Float64() < o.ServiceShare
		t.stream = random.Float64() < o.StreamShare
		t.tokens = 1 + random.IntN(2*o.AnswerTokens)
		t.prompt = promptText(random, index, i, 1+random.IntN(2*o.PromptTokens))
		if isService {
			t.service = services[random.IntN(len(services))]
			t.actionID = fmt.Sprintf("s%d-p%d-t%d", o.Seed, index, i)
		}
		if i == 0 {
			t.pause = 0
		}
		p.turns = append(p.turns, t)
	}
	return p
}

// promptText returns about n tokens of four bytes that no other turn has.
func promptText(random *rand.Rand, index, turn, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "program %d turn %d:", index, turn)
	for range n {
		fmt.Fprintf(&b, " %03x", random.IntN(0x1000))
	}
	return b.String()
}

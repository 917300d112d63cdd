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

// plan is the sequence of turns of one program. It depends on the options, their
// seed and the index only, not on the order in which programs run, so that a run is
// repeatable.
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
		// with mean 1, however the rate changes in between.
		remaining := random.ExpFloat64()
		for {
			rate, until := o.rateAt(at)
			if remaining <= rate*(until-at) {
				at += remaining / rate
				break
			}
			remaining -= rate * (until - at)
			at = until
		}
		if at > o.Duration.Seconds() {
			break
		}
		out = append(out, time.Duration(at*float64(time.Second)))
	}
	return out
}

// rateAt returns the arrival rate at a time in seconds and the time at which the rate
// next changes.
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
	if random.Float64() < o.StragglerShare {
		n *= o.StragglerFactor
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

// promptText returns a prompt of about n tokens of four bytes. No other turn has the
// same text.
func promptText(random *rand.Rand, index, turn, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "program %d turn %d:", index, turn)
	for range n {
		fmt.Fprintf(&b, " %03x", random.IntN(0x1000))
	}
	return b.String()
}

package jkadmission

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleCount is the number of programs that a route remembers, and minSamples the number
	// from which they replace the assumed shares.
	sampleCount = 64
	minSamples  = 8
	// assumedOutside and assumedAtEndpoints are the shares of the stated time that a program is
	// assumed to spend outside endpoints (tools, pauses, the way) and on idle endpoints.
	assumedOutside     = 0.25
	assumedAtEndpoints = 0.40
	// needQuantile is the quantile of the programs of a route by their need. Programs whose later
	// turns came through other hosts look shorter than they are.
	needQuantile = 0.6
	// waitWeight is the weight of one turn in the mean ratio of actual to predicted waits.
	waitWeight = 0.1
	// assumedTurn is the time of a turn on an idle endpoint until some were seen, and turnWeight the
	// weight of one turn in the mean.
	assumedTurn = 250 * time.Millisecond
	turnWeight  = 0.05
	// recentPeriod is the time in which the mean of the latest waits forgets most of what was before.
	recentPeriod = 500 * time.Millisecond
	// minPredictedWait is the predicted wait from which a turn says something about predictions.
	minPredictedWait = 20 * time.Millisecond
	maxWaitRatio     = 3
)

// programSample holds the shares of the stated time that a program took.
type programSample struct{ outside, atEndpoints float64 }

func (s programSample) total() float64 { return s.outside + s.atEndpoints }

// routeStats is what is known of the programs of a route.
type routeStats struct {
	samples []programSample
	count   int
	// typical is the sample at needQuantile.
	typical programSample
	// meanAlone is the mean time of a turn on an idle endpoint; zero before the first one.
	meanAlone float64
	// waitRatio is the mean ratio of actual to predicted waits.
	waitRatio float64
	// recentWait is the mean of the latest actual waits, and recentWeight the weight of its samples
	// at recentAt.
	recentWait, recentWeight float64
	recentAt                 time.Time
}

func newRouteStats() *routeStats {
	return &routeStats{typical: programSample{assumedOutside, assumedAtEndpoints}, waitRatio: 1}
}

// expectedWait returns the expected wait of the turns of a program. A first turn may find a free
// endpoint, but later ones wait where their prompt is cached, so that what turns of the route have
// waited lately counts as well.
func (s *routeStats) expectedWait(now time.Time, predicted time.Duration) time.Duration {
	wait := s.waitRatio * float64(predicted)
	if weight := s.weightAt(now); weight > 0 {
		// One sample may be an exception.
		wait = max(wait, s.recentWait*weight/(weight+1))
	}
	return time.Duration(wait)
}

// weightAt returns the weight of the latest waits, which they lose with time.
func (s *routeStats) weightAt(now time.Time) float64 {
	return s.recentWeight * math.Exp(-float64(now.Sub(s.recentAt))/float64(recentPeriod))
}

// stretch is the factor by which turns take longer than on idle endpoints. Turns differ by a factor of
// fifty, so that a wait counts against the mean turn of the route, and not against the one at hand.
func (s *routeStats) stretch(o Outlook) float64 {
	if o.Alone <= 0 {
		return 1
	}
	alone := s.meanAlone
	if alone == 0 {
		alone = max(float64(o.Alone), float64(assumedTurn))
	}
	return max(float64(o.Wait)/alone+float64(o.Run)/float64(o.Alone), 1)
}

// observeTurn adds the time that a turn takes on an idle endpoint.
func (s *routeStats) observeTurn(alone time.Duration) {
	if s.meanAlone == 0 {
		s.meanAlone = float64(max(alone, assumedTurn))
	}
	s.meanAlone += (float64(alone) - s.meanAlone) * turnWeight
}

// need returns the expected time of a program with a stated time.
func (s *routeStats) need(stated time.Duration, o Outlook) time.Duration {
	return time.Duration(float64(stated) * (s.typical.outside + s.typical.atEndpoints*s.stretch(o)))
}

// excessWait returns by how much a turn's wait has to fall for a program that is over its time.
func (s *routeStats) excessWait(stated, over time.Duration, o Outlook) time.Duration {
	turns := s.typical.atEndpoints * float64(stated) / max(s.meanAlone, float64(assumedTurn))
	return min(time.Duration(float64(over)/max(turns, 1)), o.Wait)
}

func (s *routeStats) observeProgram(outside, atEndpoints float64) {
	sample := programSample{outside, atEndpoints}
	if len(s.samples) < sampleCount {
		s.samples = append(s.samples, sample)
	} else {
		s.samples[s.count%sampleCount] = sample
	}
	s.count++
	if len(s.samples) < minSamples {
		return
	}
	sorted := slices.Clone(s.samples)
	slices.SortFunc(sorted, func(a, b programSample) int {
		switch {
		case a.total() < b.total():
			return -1
		case a.total() > b.total():
			return 1
		}
		return 0
	})
	s.typical = sorted[int(float64(len(sorted))*needQuantile)]
}

func (s *routeStats) observeWait(now time.Time, predicted, actual time.Duration) {
	weight := s.weightAt(now)
	s.recentWait = (s.recentWait*weight + float64(max(actual, 0))) / (weight + 1)
	s.recentWeight, s.recentAt = weight+1, now
	if predicted < minPredictedWait {
		return
	}
	ratio := min(float64(max(actual, 0))/float64(predicted), maxWaitRatio)
	s.waitRatio += (ratio - s.waitRatio) * waitWeight
}

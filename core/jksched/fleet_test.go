package jksched

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetModel simulates the peak load of a large fleet in virtual time: hosts that place
// calls independently, engines with slots, a queue and a prefix cache, and load digests
// between the hosts of a zone.
type fleetModel struct {
	now     time.Time
	pending actionHeap
	seq     int
	seed    uint64
	// hostChangeShare is the share of turns that arrive at another host than the turn
	// before.
	hostChangeShare float64
	rand            *rand.Rand
	hosts           []*modelHost
	engines         []*modelEngine

	// firstTokenWaits holds the times from a turn's start to its first token.
	firstTokenWaits []time.Duration
	turns           int
	refused         int
	programs        int
	// earnedCredit is the credit of the programs that ended in time, with a part of it for
	// slightly late ones; totalCredit is that of all programs.
	earnedCredit float64
	totalCredit  float64
	// prefilledTokens counts the prompt tokens that engines prefilled,
	// sharedPrefilledTokens those of shared parts among them.
	prefilledTokens       int64
	sharedPrefilledTokens int64
}

type modelHost struct {
	zone       string
	direct     *DirectPlacer
	reported   map[string]DirectLoad
	reportedAt map[string]time.Time
	// placed holds the endpoint and the prompt part of each turn since the last digest.
	placed [][2]string
}

type modelEngine struct {
	id      string
	zone    string
	running []*modelRun
	waiting []*modelRun
	// cache holds the cached prompt parts, the least recently used first.
	cache []Segment
}

type modelRun struct {
	host   *modelHost
	call   Call
	start  time.Time
	rank   int
	events int
	first  time.Time
	ends   time.Time
	// endChanges counts the changes of ends, so that outdated end events are ignored.
	endChanges int
	done       func()
}

type action struct {
	at  time.Time
	seq int
	do  func()
}

type actionHeap []action

func (h actionHeap) Len() int { return len(h) }
func (h actionHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *actionHeap) Push(x any)   { *h = append(*h, x.(action)) }
func (h *actionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (m *fleetModel) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.pending, action{at: m.now.Add(d), seq: m.seq, do: do})
}

// Counts, tokens and times of the grown fleets, from the users' data sheets.
const (
	modelZones   = 4
	modelHosts   = 76
	modelEngines = 48
	modelSlots   = 8
	modelQueue   = 24
	// modelMemory is an engine's memory in tokens, modelEventsPerTurn the mean number of
	// stream events of a turn and modelTokensPerEvent the tokens in each.
	modelMemory         = 239634
	modelEventsPerTurn  = 6
	modelTokensPerEvent = 42
	// modelSharedTokens is the mean length of a shared part. Each kind of program has
	// modelSharedParts of them; modelSkew is the exponent of their Zipf distribution.
	modelSharedTokens = 12600
	modelSharedParts  = 8
	modelSkew         = 0.84
	modelDelay        = 900 * time.Microsecond
	modelPrefill      = time.Millisecond / 328
	modelDeadline     = 3 * time.Second
)

// Figures from simulated days of bulles-pull-grown: the time per token on an idle engine
// and for each further call, the time between two turns, the memory in tokens that a
// running call needs in addition to its shared part, and the spread of lengths.
const (
	modelTokenPace   = 1050 * time.Microsecond
	modelPacePerCall = 25 * time.Microsecond
	modelPause       = 80 * time.Millisecond
	modelRunMemory   = 1500
	modelEventSpread = 0.8
	modelInputSpread = 0.7
)

// Figures of the entries: the interval of load digests and the number of hosts that
// receive each.
const (
	modelDigestInterval  = 200 * time.Millisecond
	modelDigestReceivers = 16
)

// drawLogNormal draws from a log-normal distribution with the given mean.
func drawLogNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

func newFleetModel(seed uint64) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), seed: seed, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range modelEngines {
		m.engines = append(m.engines, &modelEngine{id: fmt.Sprintf("e%02d", i), zone: fmt.Sprint(i % modelZones)})
	}
	for i := range modelHosts {
		opt := DefaultDirectOptions()
		opt.Zone = fmt.Sprint(i % modelZones)
		opt.Delay = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return modelDelay
		}
		h := &modelHost{zone: opt.Zone, direct: NewDirectPlacer(opt), reported: map[string]DirectLoad{}, reportedAt: map[string]time.Time{}}
		for _, e := range m.engines {
			h.direct.SetEndpoint(Endpoint{ID: e.id, Zone: e.zone, Kind: KindModel, Service: "llm", Slots: modelSlots, State: StateLive})
		}
		m.hosts = append(m.hosts, h)
		m.after(time.Duration(m.rand.Int64N(int64(modelDigestInterval))), func() { m.digest(h) })
	}
	return m
}

// digest sends the host's recent load reports and placements to other hosts of its zone.
func (m *fleetModel) digest(h *modelHost) {
	sent := 0
	for _, o := range m.hosts {
		if o == h || o.zone != h.zone || sent == modelDigestReceivers {
			continue
		}
		sent++
		for id, l := range h.reported {
			o.direct.MergeReport(m.now, id, l, m.now.Sub(h.reportedAt[id]))
		}
	}
	for _, o := range m.hosts {
		if o != h && o.zone == h.zone {
			for _, p := range h.placed {
				o.direct.MergeHolder(p[0], p[1])
			}
		}
	}
	h.placed = nil
	clear(h.reported)
	m.after(modelDigestInterval, func() { m.digest(h) })
}

// run simulates arrivals of programs at the given rate per second.
func (m *fleetModel) run(length time.Duration, rate func(t time.Duration) float64) {
	began := m.now
	var next func()
	next = func() {
		t := m.now.Sub(began)
		if t > length {
			return
		}
		m.program()
		m.after(time.Duration(m.rand.ExpFloat64()/rate(t)*float64(time.Second)), next)
	}
	m.after(0, next)
	for len(m.pending) > 0 && m.now.Sub(began) < length+5*time.Second {
		a := heap.Pop(&m.pending).(action)
		m.now = a.at
		a.do()
	}
}

// drawSharedPart draws the index of a shared part from a Zipf distribution.
func drawSharedPart(random *rand.Rand) int {
	total := 0.0
	for k := range modelSharedParts {
		total += math.Pow(float64(k+1), -modelSkew)
	}
	x := random.Float64() * total
	for k := range modelSharedParts {
		x -= math.Pow(float64(k+1), -modelSkew)
		if x < 0 {
			return k
		}
	}
	return modelSharedParts - 1
}

// program simulates the turns of one program, one after the other.
func (m *fleetModel) program() {
	m.programs++
	id := fmt.Sprint("p", m.programs)
	random := rand.New(rand.NewPCG(uint64(m.programs), m.seed))
	turns, credit, input, kind, urgency := 4, 3.0, int64(drawLogNormal(random, 1680, modelInputSpread)), "pull", 5
	if random.Float64() < 0.39 {
		turns, credit, input, kind, urgency = 7, 10.0, 840, "series", 4
	}
	shared := Segment{Hash: fmt.Sprint(kind, drawSharedPart(random)), Tokens: modelSharedTokens}
	h := m.hosts[random.IntN(len(m.hosts))]
	idle := time.Duration(turns) * (time.Duration(modelEventsPerTurn*modelTokensPerEvent)*935*time.Microsecond + time.Duration(input)*modelPrefill + 100*time.Millisecond)
	limit := m.now.Add(idle*135/100 + 250*time.Millisecond)
	m.totalCredit += credit
	length := int64(0)
	var turn func(n, tries int)
	turn = func(n, tries int) {
		if n == turns {
			if !m.now.After(limit) {
				m.earnedCredit += credit
			} else if m.now.Sub(limit) < limit.Sub(limit.Add(-idle)) {
				m.earnedCredit += 0.3 * credit
			}
			return
		}
		if random.Float64() < m.hostChangeShare {
			zone := h.zone
			if random.Float64() < 0.15 {
				zone = fmt.Sprint(random.IntN(modelZones))
			}
			for {
				h = m.hosts[random.IntN(len(m.hosts))]
				if h.zone == zone {
					break
				}
			}
		}
		length += input
		call := Call{
			Program: id, Kind: KindModel, Service: "llm", MaxTokens: modelEventsPerTurn * modelTokensPerEvent,
			PromptTokens: modelSharedTokens + length, Deadline: m.now.Add(modelDeadline),
			Prefix: []Segment{shared, {Hash: id, Tokens: length}},
		}
		events := min(14, max(1, int(drawLogNormal(random, modelEventsPerTurn, modelEventSpread))))
		m.send(h, call, urgency, events, func() {
			length += modelEventsPerTurn * modelTokensPerEvent
			m.after(modelPause, func() { turn(n+1, 0) })
		}, func(retry time.Duration) {
			length -= input
			m.refused++
			if tries < 3 {
				m.after(retry, func() { turn(n, tries+1) })
			}
		})
	}
	turn(0, 0)
}

// send places a turn on an engine and calls served or refused.
func (m *fleetModel) send(h *modelHost, c Call, rank, events int, served func(), refused func(time.Duration)) {
	p, err := h.direct.Place(m.now, c, nil)
	if err != nil {
		var refusal *RefusedError
		if errors.As(err, &refusal) {
			refused(refusal.RetryAfter)
		}
		return
	}
	e := m.engines[slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.id == p.Endpoint })]
	if len(e.waiting) >= modelQueue {
		h.direct.Done(m.now, e.id, DirectRefused, 0)
		m.after(2*time.Millisecond, func() { m.send(h, c, rank, events, served, refused) })
		return
	}
	m.turns++
	h.placed = append(h.placed, [2]string{e.id, c.Prefix[1].Hash})
	r := &modelRun{host: h, call: c, start: m.now, rank: rank, events: events}
	r.done = func() {
		h.direct.Done(m.now, e.id, DirectServed, m.now.Sub(r.start))
		served()
	}
	e.waiting = append(e.waiting, r)
	m.admit(e)
}

// admit starts waiting runs on the engine's free slots, the lowest rank first.
func (m *fleetModel) admit(e *modelEngine) {
	for len(e.running) < modelSlots && len(e.waiting) > 0 {
		best := 0
		for i, r := range e.waiting {
			if r.rank < e.waiting[best].rank {
				best = i
			}
		}
		r := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		unread := e.prefill(r.call.Prefix, r.call.PromptTokens)
		m.prefilledTokens += unread
		if unread > modelSharedTokens {
			m.sharedPrefilledTokens += modelSharedTokens
		}
		prefill := time.Duration(unread) * modelPrefill
		for _, o := range e.running {
			m.scheduleEnd(e, o, o.ends.Add(prefill))
		}
		e.running = append(e.running, r)
		step := modelTokenPace + time.Duration(len(e.running))*modelPacePerCall
		work := prefill + time.Duration(r.events*modelTokensPerEvent)*step
		r.first = m.now.Add(prefill + modelTokensPerEvent*step)
		m.firstTokenWaits = append(m.firstTokenWaits, r.first.Sub(r.start))
		m.scheduleEnd(e, r, m.now.Add(work))
		load := DirectLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: modelSlots, Pace: 1}
		h := r.host
		m.after(r.first.Sub(m.now), func() {
			h.direct.Report(m.now, e.id, load)
			h.reported[e.id], h.reportedAt[e.id] = load, m.now
		})
	}
}

// scheduleEnd sets or changes the time at which a run ends.
func (m *fleetModel) scheduleEnd(e *modelEngine, r *modelRun, at time.Time) {
	r.ends = at
	r.endChanges++
	changes := r.endChanges
	m.after(at.Sub(m.now), func() {
		if changes != r.endChanges {
			return
		}
		e.running = slices.Delete(e.running, slices.Index(e.running, r), slices.Index(e.running, r)+1)
		r.done()
		m.admit(e)
	})
}

// prefill adds the parts to the cache and returns the number of tokens that weren't
// cached.
func (e *modelEngine) prefill(parts []Segment, prompt int64) int64 {
	missing, cached := prompt, true
	for _, p := range parts {
		i := slices.IndexFunc(e.cache, func(c Segment) bool { return c.Hash == p.Hash })
		if i >= 0 {
			if cached {
				missing -= e.cache[i].Tokens
			}
			e.cache = slices.Delete(e.cache, i, i+1)
		} else {
			cached = false
		}
		e.cache = append(e.cache, p)
	}
	sum := int64(len(e.running)+1) * modelRunMemory
	for _, c := range e.cache {
		sum += c.Tokens
	}
	for sum > modelMemory && len(e.cache) > 0 {
		sum -= e.cache[0].Tokens
		e.cache = e.cache[1:]
	}
	return max(missing, 0)
}

// waitQuantile returns a quantile of the waits for the first token.
func (m *fleetModel) waitQuantile(share float64) time.Duration {
	slices.Sort(m.firstTokenWaits)
	return m.firstTokenWaits[int(float64(len(m.firstTokenWaits)-1)*share)]
}

// shareOfWaitsWithin returns the share of turns whose first token came within the limit.
func (m *fleetModel) shareOfWaitsWithin(limit time.Duration) float64 {
	n := 0
	for _, w := range m.firstTokenWaits {
		if w <= limit {
			n++
		}
	}
	return float64(n) / float64(len(m.firstTokenWaits))
}

// peakRate returns the arrival rate of programs of the grown bulles-pull, per second,
// with a burst from 11 s to 15 s.
func peakRate(t time.Duration) float64 {
	s := t.Seconds()
	rate := 131 * (1 + 0.55*math.Sin(2*math.Pi*(s/13-0.1)))
	if s > 11 && s < 15 {
		rate *= 2.4
	}
	return rate
}

// simulatePeak simulates the peak load with several seeds and returns the share of turns
// whose first token comes within the objective of their requests.
func simulatePeak(t *testing.T, hostChangeShare float64) float64 {
	t.Helper()
	const (
		seeds     = 8
		objective = 250 * time.Millisecond
	)
	models := make(chan *fleetModel, seeds)
	for seed := range uint64(seeds) {
		go func() {
			m := newFleetModel(seed)
			m.hostChangeShare = hostChangeShare
			m.run(24*time.Second, peakRate)
			models <- m
		}()
	}
	share := 0.0
	for range seeds {
		m := <-models
		share += m.shareOfWaitsWithin(objective) / seeds
		t.Logf("turns %d, refused %d, share of credit earned %.3f, tokens prefilled per turn %.0f, shared tokens prefilled %.1f M, first token p50 %s p95 %s p99 %s",
			m.turns, m.refused, m.earnedCredit/m.totalCredit, float64(m.prefilledTokens)/float64(m.turns), float64(m.sharedPrefilledTokens)/1e6, m.waitQuantile(0.5), m.waitQuantile(0.95), m.waitQuantile(0.99))
	}
	return share
}

// minShareInTime is the share of first tokens in time that the users' objective demands.
const minShareInTime = 0.95

// Guards against all hosts sending to the engine that was the least loaded in their last
// digests (seen in trouble-1 of the grown bulles-pull at 15 s: 31 turns on one engine
// and 5 on another, each with 8 slots).
func TestPeakLoadOfLargeFleet(t *testing.T) {
	if share := simulatePeak(t, 0); share < minShareInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, minShareInTime)
	}
}

// Guards against prefilling a program's prompt again because the turn arrived at another
// host than the turn before (seen in the grown bulles-pull: half of the turns changed
// the host, and four fifths of these changed the engine).
func TestPeakLoadOfProgramsThatChangeHosts(t *testing.T) {
	if share := simulatePeak(t, 0.53); share < minShareInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, minShareInTime)
	}
}

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
	site    modelSite
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
	// placed holds the endpoint, the own and the shared prompt part of each turn since the last
	// digest.
	placed [][3]string
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

// modelSite holds the counts, tokens and times of a fleet.
type modelSite struct {
	zones, hosts, engines, slots int
	// queue is the number of calls that may wait at an engine, memory the tokens that it has
	// room for, and runMemory those that a running call needs besides its shared part.
	queue             int
	memory, runMemory int64
	// tokenPace is the time per token on an idle engine, pacePerCall what each further call
	// adds, and prefill the time per prompt token.
	tokenPace, pacePerCall, prefill time.Duration
	// events is the mean number of stream events of a turn and tokensPerEvent the tokens in
	// each.
	events, tokensPerEvent int
	// sharedTokens is the mean length of a shared part. Each kind of program has sharedParts
	// of them.
	sharedTokens int64
	sharedParts  int
	delay, pause time.Duration
	// kinds are the kinds of programs; aim is their time limit relative to the time on idle
	// engines.
	kinds []modelKind
	aim   float64
	// rate is the number of programs that arrive in a second.
	rate func(t time.Duration) float64
	// learned switches learned placement on. lostDigests is the share of digests that are lost.
	learned     bool
	lostDigests float64
}

// modelKind is a kind of program.
type modelKind struct {
	name    string
	share   float64
	turns   int
	credit  float64
	input   float64
	spread  float64
	urgency int
}

// bullesGrown is the grown fleet of bulles-pull. Its paces, pause, memory and spreads come
// from simulated days, the rest from the users' data sheet.
var bullesGrown = modelSite{
	zones: 4, hosts: 76, engines: 48, slots: 8, queue: 24, memory: 239634, runMemory: 1500,
	tokenPace: 1050 * time.Microsecond, pacePerCall: 25 * time.Microsecond, prefill: time.Millisecond / 328,
	events: 6, tokensPerEvent: 42, sharedTokens: 12600, sharedParts: 8, delay: 900 * time.Microsecond, pause: 80 * time.Millisecond,
	kinds: []modelKind{
		{name: "series", share: 0.39, turns: 7, credit: 10, input: 840, urgency: 4},
		{name: "pull", share: 1, turns: 4, credit: 3, input: 1680, spread: 0.7, urgency: 5},
	},
	aim: 1.35, rate: peakRate,
}

// charcoalGrown is the grown fleet of the charcoal desk by the users' data sheet: engines
// that take five times as long for a token and nine times for a prompt token.
var charcoalGrown = modelSite{
	zones: 3, hosts: 79, engines: 60, slots: 16, queue: 40, memory: 123203, runMemory: 1500,
	tokenPace: 4340 * time.Microsecond, pacePerCall: 93 * time.Microsecond, prefill: time.Millisecond * 10 / 367,
	events: 7, tokensPerEvent: 19, sharedTokens: 2560, sharedParts: 8, delay: 500 * time.Microsecond, pause: 100 * time.Millisecond,
	kinds: []modelKind{
		{name: "quote", share: 0.77, turns: 3, credit: 4.7, input: 1030, spread: 0.7, urgency: 4},
		{name: "export", share: 1, turns: 7, credit: 4.2, input: 514, urgency: 5},
	},
	aim: 2.2, rate: func(t time.Duration) float64 { return 170 * (1 + 0.15*math.Sin(2*math.Pi*t.Seconds()/11)) },
}

const (
	// modelSkew is the exponent of the Zipf distribution of shared parts.
	modelSkew        = 0.84
	modelDeadline    = 3 * time.Second
	modelEventSpread = 0.8
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

func newFleetModel(site modelSite, seed uint64) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), site: site, seed: seed, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range site.engines {
		m.engines = append(m.engines, &modelEngine{id: fmt.Sprintf("e%02d", i), zone: fmt.Sprint(i % site.zones), sharedParts: map[string]int{}})
	}
	for i := range site.hosts {
		opt := DefaultDirectOptions()
		opt.Zone, opt.Learned = fmt.Sprint(i%site.zones), site.learned
		opt.Delay = func(from, to string) time.Duration {
			if from == to {
				return 0
			}
			return site.delay
		}
		h := &modelHost{zone: opt.Zone, direct: NewDirectPlacer(opt), reported: map[string]DirectLoad{}, reportedAt: map[string]time.Time{}}
		h.direct.SetCacheTokens("llm", site.memory)
		for _, e := range m.engines {
			h.direct.SetEndpoint(Endpoint{ID: e.id, Zone: e.zone, Kind: KindModel, Service: "llm", Slots: site.slots, State: StateLive})
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
		if m.site.lostDigests > 0 && m.rand.Float64() < m.site.lostDigests {
			continue
		}
		for id, l := range h.reported {
			o.direct.MergeReport(m.now, id, l, m.now.Sub(h.reportedAt[id]))
		}
	}
	for _, o := range m.hosts {
		if o != h && o.zone == h.zone {
			for _, p := range h.placed {
				o.direct.MergeHolder(p[0], p[1])
				o.direct.MergeDemand("llm", Segment{Hash: p[2], Tokens: m.site.sharedTokens}, 1)
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

// turnTokens returns the mean number of tokens that a turn generates.
func (s modelSite) turnTokens() int64 { return int64(s.events * s.tokensPerEvent) }

// drawKind draws the kind of a program.
func (s modelSite) drawKind(random *rand.Rand) modelKind {
	for _, kind := range s.kinds[:len(s.kinds)-1] {
		if random.Float64() < kind.share {
			return kind
		}
	}
	return s.kinds[len(s.kinds)-1]
}

// drawSharedPart draws the index of a shared part from a Zipf distribution.
func drawSharedPart(random *rand.Rand, parts int) int {
	total := 0.0
	for k := range parts {
		total += math.Pow(float64(k+1), -modelSkew)
	}
	x := random.Float64() * total
	for k := range parts {
		x -= math.Pow(float64(k+1), -modelSkew)
		if x < 0 {
			return k
		}
	}
	return parts - 1
}

// program simulates the turns of one program, one after the other.
func (m *fleetModel) program() {
	m.programs++
	id := fmt.Sprint("p", m.programs)
	random := rand.New(rand.NewPCG(uint64(m.programs), m.seed))
	kind := m.site.drawKind(random)
	input := int64(kind.input)
	if kind.spread > 0 {
		input = int64(drawLogNormal(random, kind.input, kind.spread))
	}
	shared := Segment{Hash: fmt.Sprint(kind.name, drawSharedPart(random, m.site.sharedParts)), Tokens: m.site.sharedTokens}
	h := m.hosts[random.IntN(len(m.hosts))]
	idle := time.Duration(kind.turns) * (time.Duration(m.site.turnTokens())*m.site.tokenPace*89/100 + time.Duration(input)*m.site.prefill + 100*time.Millisecond)
	limit := m.now.Add(time.Duration(float64(idle)*m.site.aim) + 250*time.Millisecond)
	m.totalCredit += kind.credit
	length := int64(0)
	var turn func(n, tries int)
	turn = func(n, tries int) {
		if n == kind.turns {
			if !m.now.After(limit) {
				m.earnedCredit += kind.credit
			} else if m.now.Sub(limit) < limit.Sub(limit.Add(-idle)) {
				m.earnedCredit += 0.3 * kind.credit
			}
			return
		}
		if random.Float64() < m.hostChangeShare {
			zone := h.zone
			if random.Float64() < 0.15 {
				zone = fmt.Sprint(random.IntN(m.site.zones))
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
			Program: id, Kind: KindModel, Service: "llm", MaxTokens: m.site.turnTokens(),
			PromptTokens: m.site.sharedTokens + length, Deadline: m.now.Add(modelDeadline),
			Prefix: []Segment{shared, {Hash: id, Tokens: length}},
		}
		events := min(14, max(1, int(drawLogNormal(random, float64(m.site.events), modelEventSpread))))
		m.send(h, call, kind.urgency, events, func() {
			length += m.site.turnTokens()
			m.after(m.site.pause, func() { turn(n+1, 0) })
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
	if len(e.waiting) >= m.site.queue {
		h.direct.Finish(m.now, FinishedCall{Endpoint: e.id, Ticket: p.Ticket, Outcome: DirectRefused})
		m.after(2*time.Millisecond, func() { m.send(h, c, rank, events, served, refused) })
		return
	}
	m.turns++
	e.turns++
	e.sharedParts[c.Prefix[0].Hash]++
	h.placed = append(h.placed, [3]string{e.id, c.Prefix[1].Hash, c.Prefix[0].Hash})
	r := &modelRun{host: h, call: c, start: m.now, rank: rank, events: events, uncached: p.UncachedTokens}
	r.done = func() {
		for range r.events - 1 {
			h.direct.ProgressOf(m.now, e.id, p.Ticket, int64(m.site.tokensPerEvent), m.now.Sub(r.first)/time.Duration(r.events-1))
		}
		h.direct.Finish(m.now, FinishedCall{
			Endpoint: e.id, Ticket: p.Ticket, Outcome: DirectServed, Took: m.now.Sub(r.start), Tokens: int64(r.events * m.site.tokensPerEvent),
		})
		served()
	}
	e.waiting = append(e.waiting, r)
	m.admit(e)
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
func simulatePeak(t *testing.T, site modelSite, hostChangeShare float64) float64 {
	t.Helper()
	const (
		seeds     = 8
		objective = 250 * time.Millisecond
	)
	models := make(chan *fleetModel, seeds)
	for seed := range uint64(seeds) {
		go func() {
			m := newFleetModel(site, seed)
			m.hostChangeShare = hostChangeShare
			m.run(24*time.Second, site.rate)
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
	if share := simulatePeak(t, bullesGrown, 0); share < minShareInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, minShareInTime)
	}
}

// Guards against prefilling a program's prompt again because the turn arrived at another
// host than the turn before (seen in the grown bulles-pull: half of the turns changed
// the host, and four fifths of these changed the engine).
func TestPeakLoadOfProgramsThatChangeHosts(t *testing.T) {
	if share := simulatePeak(t, bullesGrown, 0.53); share < minShareInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, minShareInTime)
	}
}

// Guards against placing by the paces of other engines than those that run (seen in scale-2 of
// the grown charcoal desk: 16 calls and a queue at some engines, four at others, since prompts
// and running calls counted for a ninth of the time that they take).
func TestPeakLoadOfEnginesWithOtherPaces(t *testing.T) {
	if share := simulatePeak(t, charcoalGrown, 0.53); share < minShareInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, minShareInTime)
	}
}

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

// fleetModel replays the crest of a grown fleet in virtual time: hosts that
// place on their own, engines with slots, a queue and a prompt cache, and load
// digests between the hosts of a zone.
type fleetModel struct {
	now     time.Time
	pending actionHeap
	seq     int
	seed    uint64
	// moves is the share of turns that come through another host than the turn
	// before.
	moves   float64
	rand    *rand.Rand
	hosts   []*modelHost
	engines []*modelEngine

	// waits are the times from a turn's start to its first token.
	waits    []time.Duration
	turns    int
	refused  int
	programs int
	// onTime and owed are the worth of programs that ended in time, and of all.
	onTime float64
	owed   float64
	// read counts the prompt tokens that engines read, and reread those of shared
	// parts among them.
	read   int64
	reread int64
}

type modelHost struct {
	zone   string
	direct *Direct
	told   map[string]DirectLoad
	toldAt map[string]time.Time
	// placed are the endpoint and the part of each turn since the last digest.
	placed [][2]string
}

type modelEngine struct {
	id      string
	zone    string
	running []*modelRun
	waiting []*modelRun
	// cache holds prompt parts, the least recently used first.
	cache []Segment
}

type modelRun struct {
	host   *modelHost
	call   Call
	began  time.Time
	rank   int
	events int
	first  time.Time
	ends   time.Time
	// moved counts how often ends was changed.
	moved int
	done  func()
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

// Figures of the grown fleets on the users' sheets: counts, tokens and times.
const (
	modelZones   = 4
	modelHosts   = 76
	modelEngines = 48
	modelSlots   = 8
	modelQueue   = 24
	// modelMemory is an engine's memory in tokens, modelEvents the mean number of
	// events of a turn and modelStep the tokens in each.
	modelMemory = 239634
	modelEvents = 6
	modelStep   = 42
	// modelShared is the mean length of a shared part in tokens. Each kind of program
	// has modelThings of them, of which some are wanted more often (modelSkew).
	modelShared   = 12600
	modelThings   = 8
	modelSkew     = 0.84
	modelDelay    = 900 * time.Microsecond
	modelPrefill  = time.Millisecond / 328
	modelPatience = 3 * time.Second
)

// Figures taken from played days of bulles-pull-grown: the time per token on an idle
// engine and for each further call, the time between two turns, the memory that a
// running call needs beside its shared part, and the spread of lengths.
const (
	modelTokenPace   = 1050 * time.Microsecond
	modelPacePerCall = 25 * time.Microsecond
	modelPause       = 80 * time.Millisecond
	modelRunMemory   = 1500
	modelEventSpread = 0.8
	modelInputSpread = 0.7
)

// Figures of the entries: the interval of digests and how many hosts get one.
const (
	modelDigest    = 200 * time.Millisecond
	modelDigestMax = 16
)

// spreadAround draws from a log-normal distribution with a mean.
func spreadAround(random *rand.Rand, mean, spread float64) float64 {
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
		h := &modelHost{zone: opt.Zone, direct: NewDirect(opt), told: map[string]DirectLoad{}, toldAt: map[string]time.Time{}}
		for _, e := range m.engines {
			h.direct.SetEndpoint(Endpoint{ID: e.id, Zone: e.zone, Kind: KindModel, Service: "llm", Slots: modelSlots, State: StateLive})
		}
		m.hosts = append(m.hosts, h)
		m.after(time.Duration(m.rand.Int64N(int64(modelDigest))), func() { m.digest(h) })
	}
	return m
}

func (m *fleetModel) digest(h *modelHost) {
	sent := 0
	for _, o := range m.hosts {
		if o == h || o.zone != h.zone || sent == modelDigestMax {
			continue
		}
		sent++
		for id, l := range h.told {
			o.direct.Hear(m.now, id, l, m.now.Sub(h.toldAt[id]))
		}
	}
	for _, o := range m.hosts {
		if o != h && o.zone == h.zone {
			for _, p := range h.placed {
				o.direct.HearPart(p[0], p[1])
			}
		}
	}
	h.placed = nil
	clear(h.told)
	m.after(modelDigest, func() { m.digest(h) })
}

// run plays arrivals of programs at a rate that rises to the crest and falls.
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

func thing(random *rand.Rand) int {
	total := 0.0
	for k := range modelThings {
		total += math.Pow(float64(k+1), -modelSkew)
	}
	x := random.Float64() * total
	for k := range modelThings {
		x -= math.Pow(float64(k+1), -modelSkew)
		if x < 0 {
			return k
		}
	}
	return modelThings - 1
}

// program plays the turns of one program, one after the other.
func (m *fleetModel) program() {
	m.programs++
	id := fmt.Sprint("p", m.programs)
	random := rand.New(rand.NewPCG(uint64(m.programs), m.seed))
	turns, credit, input, kind, urgency := 4, 3.0, int64(spreadAround(random, 1680, modelInputSpread)), "pull", 5
	if random.Float64() < 0.39 {
		turns, credit, input, kind, urgency = 7, 10.0, 840, "series", 4
	}
	shared := Segment{Hash: fmt.Sprint(kind, thing(random)), Tokens: modelShared}
	h := m.hosts[random.IntN(len(m.hosts))]
	idle := time.Duration(turns) * (time.Duration(modelEvents*modelStep)*935*time.Microsecond + time.Duration(input)*modelPrefill + 100*time.Millisecond)
	limit := m.now.Add(idle*135/100 + 250*time.Millisecond)
	m.owed += credit
	length := int64(0)
	var turn func(n, tries int)
	turn = func(n, tries int) {
		if n == turns {
			if !m.now.After(limit) {
				m.onTime += credit
			} else if m.now.Sub(limit) < limit.Sub(limit.Add(-idle)) {
				m.onTime += 0.3 * credit
			}
			return
		}
		if random.Float64() < m.moves {
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
			Program: id, Kind: KindModel, Service: "llm", MaxTokens: modelEvents * modelStep,
			PromptTokens: modelShared + length, Deadline: m.now.Add(modelPatience),
			Prefix: []Segment{shared, {Hash: id, Tokens: length}},
		}
		events := min(14, max(1, int(spreadAround(random, modelEvents, modelEventSpread))))
		m.send(h, call, urgency, events, func() {
			length += modelEvents * modelStep
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

func (m *fleetModel) send(h *modelHost, c Call, rank, events int, served func(), refused func(time.Duration)) {
	p, err := h.direct.Place(m.now, c, nil)
	if err != nil {
		var no *RefusedError
		if errors.As(err, &no) {
			refused(no.RetryAfter)
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
	r := &modelRun{host: h, call: c, began: m.now, rank: rank, events: events}
	r.done = func() {
		h.direct.Done(m.now, e.id, DirectServed, m.now.Sub(r.began))
		served()
	}
	e.waiting = append(e.waiting, r)
	m.admit(e)
}

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
		unread := e.read(r.call.Prefix, r.call.PromptTokens)
		m.read += unread
		if unread > modelShared {
			m.reread += modelShared
		}
		prefill := time.Duration(unread) * modelPrefill
		for _, o := range e.running {
			m.end(e, o, o.ends.Add(prefill))
		}
		e.running = append(e.running, r)
		step := modelTokenPace + time.Duration(len(e.running))*modelPacePerCall
		work := prefill + time.Duration(r.events*modelStep)*step
		r.first = m.now.Add(prefill + modelStep*step)
		m.waits = append(m.waits, r.first.Sub(r.began))
		m.end(e, r, m.now.Add(work))
		load := DirectLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: modelSlots, Pace: 1}
		h := r.host
		m.after(r.first.Sub(m.now), func() {
			h.direct.Report(m.now, e.id, load)
			h.told[e.id], h.toldAt[e.id] = load, m.now
		})
	}
}

// end moves the end of a run.
func (m *fleetModel) end(e *modelEngine, r *modelRun, at time.Time) {
	r.ends = at
	r.moved++
	moved := r.moved
	m.after(at.Sub(m.now), func() {
		if moved != r.moved {
			return
		}
		e.running = slices.Delete(e.running, slices.Index(e.running, r), slices.Index(e.running, r)+1)
		r.done()
		m.admit(e)
	})
}

// read puts the parts into the cache and returns the tokens that weren't there.
func (e *modelEngine) read(parts []Segment, prompt int64) int64 {
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

func (m *fleetModel) wait(share float64) time.Duration {
	slices.Sort(m.waits)
	return m.waits[int(float64(len(m.waits)-1)*share)]
}

func (m *fleetModel) waitsWithin(limit time.Duration) float64 {
	n := 0
	for _, w := range m.waits {
		if w <= limit {
			n++
		}
	}
	return float64(n) / float64(len(m.waits))
}

// crest is the rate of programs of the grown bulles-pull with a burst.
func crest(t time.Duration) float64 {
	s := t.Seconds()
	rate := 131 * (1 + 0.55*math.Sin(2*math.Pi*(s/13-0.1)))
	if s > 11 && s < 15 {
		rate *= 2.4
	}
	return rate
}

// playCrest replays the crest on several seeds and returns the share of turns whose
// first token comes within the objective of their requests.
func playCrest(t *testing.T, moves float64) float64 {
	t.Helper()
	const (
		seeds     = 8
		objective = 250 * time.Millisecond
	)
	models := make(chan *fleetModel, seeds)
	for seed := range uint64(seeds) {
		go func() {
			m := newFleetModel(seed)
			m.moves = moves
			m.run(24*time.Second, crest)
			models <- m
		}()
	}
	share := 0.0
	for range seeds {
		m := <-models
		share += m.waitsWithin(objective) / seeds
		t.Logf("turns %d, refused %d, worth of programs in time %.3f, tokens read %.0f a turn, shared again %.1f M, first token p50 %s p95 %s p99 %s",
			m.turns, m.refused, m.onTime/m.owed, float64(m.read)/float64(m.turns), float64(m.reread)/1e6, m.wait(0.5), m.wait(0.95), m.wait(0.99))
	}
	return share
}

// wantedInTime is the users' share for first tokens.
const wantedInTime = 0.95

// Guards against hosts that all send to the engine that was the least loaded when
// they last heard of it (grown bulles-pull, trouble-1 at 15 s: 31 turns on one
// engine and 5 on another, each with 8 slots).
func TestCrestOfGrownFleet(t *testing.T) {
	if share := playCrest(t, 0); share < wantedInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, wantedInTime)
	}
}

// Guards against turns that read their program's prompt again because they came
// through another host than the turn before (grown bulles-pull: half of the turns;
// four fifths of these changed the engine).
func TestCrestOfProgramsThatChangeHosts(t *testing.T) {
	if share := playCrest(t, 0.53); share < wantedInTime {
		t.Errorf("%.3f of the first tokens come in time, want %.2f", share, wantedInTime)
	}
}

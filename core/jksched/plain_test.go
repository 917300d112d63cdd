package jksched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainModel simulates hosts that place calls of a plain service in virtual time: endpoints with
// slots and a queue, and load digests between the hosts.
type plainModel struct {
	fleetModel
	site      plainSite
	placers   []*DirectPlacer
	endpoints []*plainEndpoint
	// answered holds the load reports since the last digest, with the time of their arrival.
	answered []map[string]modelReport
	// times holds the times of calls by route, and placed the number of calls by endpoint.
	times  map[string][]time.Duration
	placed map[string]int
}

type modelReport struct {
	load DirectLoad
	at   time.Time
}

// plainSite holds the counts and times of a plain service.
type plainSite struct {
	learned                 bool
	hosts, endpoints, slots int
	// gap is the mean time between two calls, and routes the time of a call by route: half of the
	// calls use each. Paces are the paces of the first endpoints.
	gap    time.Duration
	routes []time.Duration
	paces  []float64
	// lostDigests is the share of digests that are lost, and digestDelay the time that the others
	// take.
	lostDigests float64
	digestDelay time.Duration
}

type plainEndpoint struct {
	id      string
	pace    float64
	running int
	waiting []func()
}

func newPlainModel(site plainSite, seed uint64) *plainModel {
	m := &plainModel{
		fleetModel: fleetModel{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1))},
		site:       site, times: map[string][]time.Duration{}, placed: map[string]int{},
	}
	for i := range site.endpoints {
		e := &plainEndpoint{id: fmt.Sprintf("e%02d", i), pace: 1}
		if i < len(site.paces) {
			e.pace = site.paces[i]
		}
		m.endpoints = append(m.endpoints, e)
	}
	for i := range site.hosts {
		opt := DefaultDirectOptions()
		opt.Learned = site.learned
		d := NewDirectPlacer(opt)
		for _, e := range m.endpoints {
			d.SetEndpoint(Endpoint{ID: e.id, Kind: KindService, Service: "app", Slots: site.slots, State: StateLive})
		}
		m.placers = append(m.placers, d)
		m.answered = append(m.answered, map[string]modelReport{})
		m.after(time.Duration(m.rand.Int64N(int64(modelDigestInterval))), func() { m.digest(i) })
	}
	return m
}

func (m *plainModel) digest(from int) {
	reports := m.answered[from]
	m.answered[from] = map[string]modelReport{}
	for i, d := range m.placers {
		if i == from || m.rand.Float64() < m.site.lostDigests {
			continue
		}
		m.after(m.site.digestDelay, func() {
			for id, r := range reports {
				d.MergeReport(m.now, id, r.load, m.now.Sub(r.at))
			}
		})
	}
	m.after(modelDigestInterval, func() { m.digest(from) })
}

// run simulates calls for a time. Those of the first fifth aren't counted.
func (m *plainModel) run(length time.Duration) {
	began := m.now
	var next func()
	next = func() {
		if m.now.Sub(began) < length {
			route := m.rand.IntN(len(m.site.routes))
			work := time.Duration(drawLogNormal(m.rand, float64(m.site.routes[route]), 0.2))
			m.call(m.rand.IntN(len(m.placers)), fmt.Sprint("r", route), work, m.now.Sub(began) > length/5)
			m.after(time.Duration(m.rand.ExpFloat64()*float64(m.site.gap)), next)
		}
	}
	next()
	for len(m.pending) > 0 && m.now.Sub(began) < length {
		a := heap.Pop(&m.pending).(action)
		m.now = a.at
		a.do()
	}
}

func (m *plainModel) call(host int, route string, work time.Duration, counts bool) {
	d, arrived := m.placers[host], m.now
	m.seq++
	p, err := d.Place(m.now, Call{Kind: KindService, Service: "app", Route: route, Program: fmt.Sprint(m.seq), BodyBytes: 300}, nil)
	if err != nil {
		return
	}
	e := m.endpoints[slices.IndexFunc(m.endpoints, func(e *plainEndpoint) bool { return e.id == p.Endpoint })]
	if counts {
		m.placed[e.id]++
	}
	start := func() {
		e.running++
		m.after(time.Duration(float64(work)*e.pace), func() {
			load := DirectLoad{Running: e.running, Waiting: len(e.waiting), Slots: m.site.slots, Pace: 1}
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			d.Report(m.now, e.id, load)
			m.answered[host][e.id] = modelReport{load: load, at: m.now}
			d.Finish(m.now, FinishedCall{Endpoint: e.id, Ticket: p.Ticket, Outcome: DirectServed, Took: m.now.Sub(arrived)})
			if counts {
				m.times[route] = append(m.times[route], m.now.Sub(arrived))
			}
		})
	}
	if e.running < m.site.slots {
		start()
		return
	}
	e.waiting = append(e.waiting, start)
}

// meanAndTail returns the mean and the 95th percentile of the times of a route's calls.
func (m *plainModel) meanAndTail(route string) (mean, tail time.Duration) {
	times := slices.Clone(m.times[route])
	slices.Sort(times)
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(len(times)), times[len(times)*95/100]
}

// twoRoutes is a service whose calls look alike but take 10 or 39 ms, at 0.85 of its capacity.
var twoRoutes = plainSite{
	hosts: 67, endpoints: 12, slots: 6, gap: 400 * time.Microsecond,
	routes: []time.Duration{10 * time.Millisecond, 39 * time.Millisecond}, digestDelay: 2 * time.Millisecond,
}

// simulatePlain returns the mean and the 95th percentile of the times of short calls with learned
// placement and without it, and the last model with it.
func simulatePlain(t *testing.T, site plainSite) (mean, tail [2]time.Duration, m *plainModel) {
	t.Helper()
	const seeds = 3
	for i, learned := range []bool{false, true} {
		site.learned = learned
		for seed := range uint64(seeds) {
			m = newPlainModel(site, seed)
			m.run(8 * time.Second)
			a, b := m.meanAndTail("r0")
			mean[i], tail[i] = mean[i]+a/seeds, tail[i]+b/seeds
		}
	}
	t.Logf("short calls without learned placement: mean %s, p95 %s; with it: mean %s, p95 %s", mean[0], tail[0], mean[1], tail[1])
	return mean, tail, m
}

// Guards against short calls that queue behind long ones, because all calls of a service count the
// same and hosts act on load reports that are older than the calls that they count.
func TestShortCallsWaitLess(t *testing.T) {
	for _, hosts := range []int{2, 67} {
		site := twoRoutes
		site.hosts = hosts
		mean, tail, _ := simulatePlain(t, site)
		if mean[1]*10 > mean[0]*9 || tail[1]*10 > tail[0]*9 {
			t.Errorf("%d hosts: the times of short calls are more than nine tenths of those without learned placement", hosts)
		}
	}
}

// Guards against placement that is no better than without learning when the digests of other hosts are
// lost or late.
func TestLostAndLateDigests(t *testing.T) {
	for _, test := range []struct {
		lost  float64
		delay time.Duration
	}{{0.8, 0}, {1, 0}, {0, 300 * time.Millisecond}} {
		site := twoRoutes
		site.lostDigests, site.digestDelay = test.lost, test.delay
		mean, tail, _ := simulatePlain(t, site)
		if mean[1]*100 > mean[0]*97 || tail[1] > tail[0] {
			t.Errorf("%+v: the times of short calls aren't 3%% below those without learned placement", test)
		}
	}
}

// Guards against slow endpoints that get as many calls as others, because a time per endpoint that
// contains waits and calls of several kinds doesn't show their speed.
func TestSlowPlainEndpoints(t *testing.T) {
	site := twoRoutes
	site.gap, site.paces = 500*time.Microsecond, []float64{2.5, 2.5}
	mean, _, m := simulatePlain(t, site)
	if mean[1]*10 > mean[0]*9 {
		t.Error("the times of short calls are more than nine tenths of those without learned placement")
	}
	for _, id := range []string{"e00", "e01"} {
		if n := m.placed[id]; n == 0 || n*2 > m.placed["e05"] {
			t.Errorf("%d calls at the slow endpoint %s and %d at another one, want at most half as many", n, id, m.placed["e05"])
		}
	}
}

package jksched

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// costModel learns what calls cost from those that have ended. A cost is known by keys from the
// coarsest (the service) to the finest (with the route, the size class and the workspace). Each
// estimate is blended with that of the next coarser key, so that a key with few samples begins
// with what is known of its relatives.
type costModel struct {
	// recent and older hold the estimates. When recent is full it becomes older, and what older
	// held is forgotten unless it was used since.
	recent, older map[uint64]*costEstimate
}

// costEstimate is a moving average.
type costEstimate struct {
	mean    float64
	samples float64
}

const (
	// maxCostKeys bounds each of the two generations of estimates.
	maxCostKeys = 2048
	// costWeight is the least weight of a sample: routes change what they do within hundreds of
	// calls.
	costWeight = 1.0 / 64
	// coarserWeight is the weight of the coarser estimate in samples.
	coarserWeight = 8
	// maxCostSamples bounds the weight of an estimate against the coarser one.
	maxCostSamples = 1000
)

// costLevels is the largest number of keys of a call.
const costLevels = 4

// costKeys are the keys of a call, the coarsest first.
type costKeys struct {
	keys [costLevels]uint64
	n    int
}

func newCostModel() *costModel {
	return &costModel{recent: map[uint64]*costEstimate{}, older: map[uint64]*costEstimate{}}
}

// sizeClass returns the class of a size: sizes in a class differ by less than a factor of two.
func sizeClass(size int64) int { return bits.Len64(uint64(max(size, 0))) }

// costKeysOf returns the keys of a call. The output of an engine doesn't depend on the workspace
// as much as on the caller's hint, and few calls of a workspace pass one host.
func costKeysOf(c Call) costKeys {
	k := costKeys{n: 3}
	k.keys[0] = xxhash.Sum64String(c.Service)
	k.keys[1] = pairHash(k.keys[0], xxhash.Sum64String(c.Route))
	if c.Kind == KindModel {
		k.keys[2] = pairHash(k.keys[1], uint64(sizeClass(c.MaxTokens)))
		return k
	}
	k.keys[2] = pairHash(k.keys[1], uint64(sizeClass(c.BodyBytes)))
	if c.Workspace != "" {
		k.keys[3], k.n = pairHash(k.keys[2], xxhash.Sum64String(c.Workspace)), 4
	}
	return k
}

// estimate returns the estimate of a key, or nil.
func (m *costModel) estimate(key uint64) *costEstimate {
	if e := m.recent[key]; e != nil {
		return e
	}
	e := m.older[key]
	if e != nil {
		m.add(key, e)
	}
	return e
}

func (m *costModel) add(key uint64, e *costEstimate) {
	if len(m.recent) >= maxCostKeys {
		m.recent, m.older = make(map[uint64]*costEstimate, maxCostKeys), m.recent
	}
	m.recent[key] = e
}

// predict returns the expected cost of a call, or assumed without any sample.
func (m *costModel) predict(k costKeys, assumed float64) float64 {
	value := assumed
	for _, key := range k.keys[:k.n] {
		if e := m.estimate(key); e != nil {
			value = (e.samples*e.mean + coarserWeight*value) / (e.samples + coarserWeight)
		}
	}
	return value
}

// mean returns the mean cost of all calls of the coarsest key.
func (m *costModel) mean(k costKeys, assumed float64) float64 {
	k.n = 1
	return m.predict(k, assumed)
}

// samples returns the number of samples of the finest key.
func (m *costModel) samples(k costKeys) float64 {
	if e := m.estimate(k.keys[k.n-1]); e != nil {
		return e.samples
	}
	return 0
}

// observe adds the cost of a call that has ended.
func (m *costModel) observe(k costKeys, cost float64) {
	for _, key := range k.keys[:k.n] {
		e := m.estimate(key)
		if e == nil {
			e = &costEstimate{}
			m.add(key, e)
		}
		e.samples = min(e.samples+1, maxCostSamples)
		e.mean += (cost - e.mean) * max(1/e.samples, costWeight)
	}
}

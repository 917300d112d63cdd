package jkforward

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkpack"
	"jasmineknot.example/core/jkruleset"
	"jasmineknot.example/core/jksched"
)

// digestMessage is the load digest that hosts of a zone send to each other.
type digestMessage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Loads  []loadEntry
	Placed []placement
}

// demandMessage follows the digestMessage in the same datagram if the host places by learned cost.
// It isn't a field, because builds that don't know a field can't read the digest; they skip what
// follows it.
type demandMessage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Demand []demandEntry
}

// demandEntry is a number of calls with a shared prompt part that the host has placed.
type demandEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Part    string
	Tokens  int64
	Calls   int
}

// placement is an endpoint at which the host has placed a call with a prompt part.
type placement struct {
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	Part     string
}

// loadEntry is the load report of one endpoint in a digest.
type loadEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	Running  int
	Waiting  int
	Slots    int
	// Pace is in percent of the usual pace.
	Pace int
	// Age is the age of the report in milliseconds.
	Age int
}

// maxDigestLoads and maxDigestPlacements bound the entries of a digest, so that it
// fits into one datagram. A host of the users' fleets places three calls between two
// digests.
const (
	maxDigestLoads      = 40
	maxDigestPlacements = 16
	maxDigestDemand     = 16
)

// recordDemand counts the shared prompt part of a call that was placed. The caller holds the lock.
func (f *Fleet) recordDemand(c jksched.Call) {
	if !f.isLearned || len(c.Prefix) < 2 {
		return
	}
	part := c.Prefix[0]
	for i := range f.recentDemand {
		if e := &f.recentDemand[i]; e.Part == part.Hash && e.Service == c.Service {
			e.Calls++
			return
		}
	}
	if len(f.recentDemand) < maxDigestDemand {
		f.recentDemand = append(f.recentDemand, demandEntry{Service: c.Service, Part: part.Hash, Tokens: part.Tokens, Calls: 1})
	}
}

// SetServices tells the placer the sizes of the engines' caches.
func (f *Fleet) SetServices(rules *jkruleset.Set) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range rules.Services() {
		if s := rules.Service(name); s != nil {
			f.direct.SetCacheTokens(name, s.CacheTokens())
		}
	}
}

// NextDigest encodes and clears the loads that endpoints have reported to this host
// and the calls that it has placed since the last digest. It returns nil if there are
// none. In a large fleet a single host receives a report from an endpoint only every
// few seconds, while all hosts of a zone together receive several a second. The next
// turn of a program often comes through another host, which has to know which
// endpoint has its prompt in the prefix cache.
func (f *Fleet) NextDigest() ([]byte, error) {
	f.mu.Lock()
	now := f.timer.Now()
	entries := make([]loadEntry, 0, min(len(f.reportedLoads), maxDigestLoads))
	for id, r := range f.reportedLoads {
		if len(entries) == maxDigestLoads {
			break
		}
		entries = append(entries, loadEntry{
			Endpoint: id, Running: r.load.Running, Waiting: r.load.Waiting, Slots: r.load.Slots,
			Pace: int(r.load.Pace * 100), Age: int(now.Sub(r.at).Milliseconds()),
		})
		delete(f.reportedLoads, id)
	}
	recentPlacements := f.recentPlacements
	recentDemand := f.recentDemand
	f.recentPlacements, f.recentDemand = nil, nil
	f.mu.Unlock()
	if len(entries) == 0 && len(recentPlacements) == 0 {
		return nil, nil
	}
	data, err := msgpack.Marshal(&digestMessage{Loads: entries, Placed: recentPlacements})
	if err != nil || len(recentDemand) == 0 {
		return data, eris.Wrap(err, "encode load digest")
	}
	demand, err := msgpack.Marshal(&demandMessage{Demand: recentDemand})
	return append(data, demand...), eris.Wrap(err, "encode demand")
}

// ApplyDigest applies a digest of another host.
func (f *Fleet) ApplyDigest(data []byte) error {
	if err := jkpack.Check(data); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	var received digestMessage
	var demand demandMessage
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&received); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	if err := decoder.Decode(&demand); err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "decode demand")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	for _, e := range received.Loads {
		l := jksched.DirectLoad{Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Pace: float64(e.Pace) / 100}
		f.direct.MergeReport(now, e.Endpoint, l, time.Duration(max(e.Age, 0))*time.Millisecond)
	}
	for _, p := range received.Placed {
		f.direct.MergeHolder(p.Endpoint, p.Part)
	}
	for _, e := range demand.Demand {
		f.direct.MergeDemand(e.Service, jksched.Segment{Hash: e.Part, Tokens: e.Tokens}, e.Calls)
	}
	return nil
}

package jkforward

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jksched"
)

// digestMessage is the load digest that hosts of a zone send to each other.
type digestMessage struct {
	_msgpack struct{} `msgpack:",as_array"`

	Loads  []loadEntry
	Placed []placement
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
)

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
	f.recentPlacements = nil
	f.mu.Unlock()
	if len(entries) == 0 && len(recentPlacements) == 0 {
		return nil, nil
	}
	data, err := msgpack.Marshal(&digestMessage{Loads: entries, Placed: recentPlacements})
	return data, eris.Wrap(err, "encode load digest")
}

// ApplyDigest applies a digest of another host.
func (f *Fleet) ApplyDigest(data []byte) error {
	var received digestMessage
	if err := msgpack.Unmarshal(data, &received); err != nil {
		return eris.Wrap(err, "decode load digest")
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
	return nil
}

package jkforward

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jksched"
)

// digestMessage is what hosts of a zone tell each other about endpoints.
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

// loadEntry is one endpoint's load in a digest.
type loadEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Endpoint string
	Running  int
	Waiting  int
	Slots    int
	// Pace is in percent of the usual.
	Pace int
	// Age is in milliseconds.
	Age int
}

// maxDigest and maxPlaced bound the entries of a digest, so that it fits into one
// datagram. A host of the users' fleets places three calls between two digests.
const (
	maxDigest = 40
	maxPlaced = 16
)

// TakeDigest encodes the loads that endpoints have reported to this host and the
// calls that it has placed since the last digest, or returns nil if there are none.
// A host of a large fleet hears from one endpoint every few seconds only; all hosts
// of a zone together hear several times a second. The next turn of a program often
// comes through another host, which has to know where its prompt was read.
func (f *Fleet) TakeDigest() ([]byte, error) {
	f.mu.Lock()
	now := f.timer.Now()
	entries := make([]loadEntry, 0, min(len(f.told), maxDigest))
	for id, r := range f.told {
		if len(entries) == maxDigest {
			break
		}
		entries = append(entries, loadEntry{
			Endpoint: id, Running: r.load.Running, Waiting: r.load.Waiting, Slots: r.load.Slots,
			Pace: int(r.load.Pace * 100), Age: int(now.Sub(r.at).Milliseconds()),
		})
		delete(f.told, id)
	}
	placed := f.placed
	f.placed = nil
	f.mu.Unlock()
	if len(entries) == 0 && len(placed) == 0 {
		return nil, nil
	}
	data, err := msgpack.Marshal(&digestMessage{Loads: entries, Placed: placed})
	return data, eris.Wrap(err, "encode load digest")
}

// HearDigest takes a digest of another host.
func (f *Fleet) HearDigest(data []byte) error {
	var heard digestMessage
	if err := msgpack.Unmarshal(data, &heard); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	for _, e := range heard.Loads {
		l := jksched.DirectLoad{Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Pace: float64(e.Pace) / 100}
		f.direct.Hear(now, e.Endpoint, l, time.Duration(max(e.Age, 0))*time.Millisecond)
	}
	for _, p := range heard.Placed {
		f.direct.HearPart(p.Endpoint, p.Part)
	}
	return nil
}

package jkforward

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jksched"
)

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

// maxDigest bounds the entries of a digest, so that it fits into one datagram.
const maxDigest = 40

// TakeDigest encodes the loads that endpoints have reported to this host since
// the last digest, or returns nil if there are none. A host of a large fleet
// hears from one endpoint every few seconds only; all hosts of a zone together
// hear several times a second.
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
	f.mu.Unlock()
	if len(entries) == 0 {
		return nil, nil
	}
	data, err := msgpack.Marshal(entries)
	return data, eris.Wrap(err, "encode load digest")
}

// HearDigest takes a digest of another host.
func (f *Fleet) HearDigest(data []byte) error {
	var entries []loadEntry
	if err := msgpack.Unmarshal(data, &entries); err != nil {
		return eris.Wrap(err, "decode load digest")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.timer.Now()
	for _, e := range entries {
		l := jksched.DirectLoad{Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Pace: float64(e.Pace) / 100}
		f.direct.Hear(now, e.Endpoint, l, time.Duration(max(e.Age, 0))*time.Millisecond)
	}
	return nil
}

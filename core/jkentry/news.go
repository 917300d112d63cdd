package jkentry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkcrash"
	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkpack"
	"jasmineknot.example/core/jktimer"
)

// newsMessage holds what entries have learned about requests and endpoints. Unlike load
// digests, it has to reach the entries of all zones.
type newsMessage struct {
	Suspects []jkcrash.Suspect        `msgpack:"suspects,omitempty"`
	Notices  []jkforward.NoticeReport `msgpack:"notices,omitempty"`
}

const (
	// newsInterval is the interval at which an entry passes on news and the loads that
	// endpoints have reported. It is a third of the time for which a load report is valid.
	newsInterval = 200 * time.Millisecond
	// newsRepeats is the number of intervals for which it passes on what changed, since
	// datagrams are lost.
	newsRepeats = 5
	// refreshInterval is the interval at which it passes on what hasn't changed, for
	// entries that have started or were cut off.
	refreshInterval = time.Second
	// maxSuspectsPerNews bounds the suspects in one datagram: eighty bytes each with three
	// crashes.
	maxSuspectsPerNews = 8
	// maxNoticesPerNews bounds the notices in one datagram: forty bytes each with a name
	// of a usual length.
	maxNoticesPerNews = 12
	// maxNoticesAtStart bounds the notices for an entry that has started. It may take a
	// second packet.
	maxNoticesAtStart = 32
)

// news spreads what this entry learns and merges what others do.
type news struct {
	// self is the name of this entry.
	self    string
	timer   *jktimer.Service
	log     jklog.Logger
	crashes *jkforward.CrashWatch
	fleet   *jkforward.Fleet
	// send sends news to a few other entries, and ask asks one for its news.
	send func(data []byte)
	ask  func(addr string)

	// startedAt is when the process started, and heard is set once another entry has
	// answered.
	startedAt time.Time
	heard     atomic.Bool
	// addrs are the entries that were asked; mu guards it.
	mu    sync.Mutex
	addrs []string
	// repeats is the number of intervals for which the latest change is still passed on.
	repeats   int
	refreshAt time.Time
}

// tick passes on what is due.
func (n *news) tick() {
	n.askAgain()
	now := n.timer.Now()
	if n.crashes.Changed() || n.fleet.NoticesChanged() {
		n.repeats = newsRepeats
	}
	if n.repeats == 0 && now.Before(n.refreshAt) {
		return
	}
	n.repeats = max(n.repeats-1, 0)
	n.refreshAt = now.Add(refreshInterval)
	m := newsMessage{Suspects: n.crashes.Export(maxSuspectsPerNews), Notices: n.fleet.ExportNotices(maxNoticesPerNews)}
	if len(m.Suspects)+len(m.Notices) > 0 {
		n.send(n.encode(&m))
	}
}

// current returns the news for an entry that has started.
func (n *news) current() []byte {
	return n.encode(&newsMessage{Suspects: n.crashes.Latest(maxSuspectsPerNews), Notices: n.fleet.LatestNotices(maxNoticesAtStart)})
}

func (n *news) encode(m *newsMessage) []byte {
	data, err := msgpack.Marshal(m)
	if err != nil {
		n.log.Warn("news can't be encoded", "error", err)
	}
	return data
}

// hostAppeared asks another entry for its news, until one has answered.
func (n *news) hostAppeared(e HostEntry) {
	if e.Ledger || e.Host == n.self || n.heard.Load() {
		return
	}
	n.mu.Lock()
	n.addrs = append(n.addrs, e.Addr)
	n.mu.Unlock()
	n.ask(e.Addr)
}

// askAgain asks the known entries once more. When a whole fleet starts, the first questions
// reach entries that don't listen yet.
func (n *news) askAgain() {
	if n.settled() {
		return
	}
	n.mu.Lock()
	addrs := slices.Clone(n.addrs)
	n.mu.Unlock()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(len(addrs), maxAsked)] {
		n.ask(addr)
	}
}

// maxAsked bounds the entries that are asked again in one interval.
const maxAsked = 4

// startTimeout is how long an entry that has started waits for the news of another one. An
// entry alone gets none.
const startTimeout = time.Second

// settled reports whether this entry has heard the news of another one, or has waited for
// them long enough.
func (n *news) settled() bool {
	return n.heard.Load() || n.timer.Now().Sub(n.startedAt) >= startTimeout
}

// receive merges the news of another entry.
func (n *news) receive(data []byte) {
	var m newsMessage
	if err := jkpack.Unmarshal(data, &m); err != nil {
		n.log.Warn("news can't be decoded", "error", err)
		return
	}
	n.crashes.Merge(m.Suspects)
	n.fleet.MergeNotices(m.Notices)
	n.heard.Store(true)
}

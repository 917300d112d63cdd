// Package jkprobe detects which hosts and zones are reachable from this host. It sends
// small UDP probes, which every host of the system answers, and carries load digests
// over the same socket. It keeps no list of members: the caller adds and removes peers.
package jkprobe

import (
	"cmp"
	"encoding/binary"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Peer describes another host and the UDP address at which it answers probes.
type Peer struct {
	Host string
	Addr string
	Zone string
	// AlwaysProbed is set on hosts that every other host probes, since callers query
	// their state by name. Of the others only a few in each zone are probed.
	AlwaysProbed bool
}

// Options configures a Prober.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	Host  string
	Zone  string
	// Addr is the UDP address on which the prober listens.
	Addr string
	// First is set when the whole system starts for the first time: no host has admitted
	// anything before this one observes it.
	First bool
	// Socket is an open socket at Addr, or nil.
	Socket *net.UDPConn
	// SendProbes is false on a host that only answers probes.
	SendProbes bool
	// OnDigest receives a load digest of another host; if nil, digests are dropped.
	OnDigest func(data []byte)
	// OnNews receives the news that another host spreads; if nil, they are dropped.
	OnNews func(data []byte)
	// CurrentNews returns the news for a host that asks for them; if nil, it gets none.
	CurrentNews func() []byte
	// Replicated reports whether other copies have all that this host has admitted, which its answers say; if nil,
	// they never do.
	Replicated func() bool
	// OnZoneChange is called when a zone becomes unreachable or reachable again. A pause of this
	// process is no sign of an unreachable zone.
	OnZoneChange func(zone string, reachable bool)
	// OnHostChange is called when a host becomes unreachable or reachable again, with
	// the time for which it had not answered.
	OnHostChange func(p Peer, reachable bool, silent time.Duration)
}

// unreachableAfter is the silence after which a host counts as unreachable. It spans
// three probes, so that a single lost datagram isn't enough.
const (
	probeInterval    = 250 * time.Millisecond
	unreachableAfter = 800 * time.Millisecond
)

// maxTickInterval is the time between two ticks of a process that isn't short of processor time.
const maxTickInterval = probeInterval * 3 / 2

// witnessesPerZone is the number of hosts in each zone that are probed to tell whether
// the zone is reachable, besides those that are always probed.
const witnessesPerZone = 2

// Prober sends and answers probes and tracks the reachability of hosts and zones.
type Prober struct {
	Options
	conn *net.UDPConn
	stop func()
	// sendTo sends a datagram.
	sendTo func(kind byte, key uint64, to netip.AddrPort)
	// startedAt is when this host began to observe the others: its start, or the end of its last pause, which lasted for
	// pausedFor at most. Before a start it may have been down for any time.
	startedAt time.Time
	pausedFor time.Duration

	mu    sync.Mutex
	peers map[string]*peerRow
	// tickedAt is the time of the latest tick, lateAt that of the latest one that came late, and pausedAt that of the one
	// before it.
	tickedAt time.Time
	lateAt   time.Time
	pausedAt time.Time
	// alwaysInterval is the interval at which hosts that are always probed are.
	alwaysInterval time.Duration
	// byHash finds the row of a host by the hash in its answers.
	byHash map[uint64]*peerRow
	// zones reports for each other zone whether it is reachable, as of the last tick in
	// which a host of it was probed.
	zones map[string]bool
	// zoneChangedAt is when a zone last became unreachable or reachable again.
	zoneChangedAt map[string]time.Time
	// zoneBreaks tells changes of zones from silences of this process itself.
	zoneBreaks map[string]*breaks
	// lostZones holds the zones of which OnZoneChange was told last that they are unreachable.
	lostZones map[string]bool
}

// peerRow is a peer with the state of its probes.
type peerRow struct {
	peer        Peer
	addr        netip.AddrPort
	lastAnswer  time.Time
	addedAt     time.Time
	unreachable bool
	isProbed    bool
	// loss is the result of viewLoss at the last tick.
	loss lossView
	replication
	// probedAt is when the latest probe was sent, and unansweredSince when the first one since
	// the last answer was.
	probedAt        time.Time
	unansweredSince time.Time
	// silentSince is when an unreachable host last answered before its silence, or was added.
	silentSince time.Time
	// breaks are those between this host and the peer.
	breaks breaks
}

// Datagram types, sent as the first byte.
const (
	kindProbe  = 1
	kindAnswer = 2
	kindDigest = 3
	kindNews   = 4
	kindAsk    = 5
	// kindReplicated precedes an answer of a host whose Replicated is true.
	kindReplicated = 6
)

// datagramSize is the size of a probe and of its answer: one byte of type and eight of a
// hash of the probed host's name.
const datagramSize = 9

// Listen opens the UDP socket, unless the options have one, and starts to answer probes. With
// SendProbes it also sends them at each probeInterval.
func Listen(o Options) (*Prober, error) {
	addr, err := net.ResolveUDPAddr("udp", o.Addr)
	if err != nil {
		return nil, eris.Wrap(err, "resolve probe address")
	}
	conn := o.Socket
	if conn == nil {
		if conn, err = net.ListenUDP("udp", addr); err != nil {
			return nil, eris.Wrap(err, "listen for probes")
		}
	}
	p := &Prober{Options: o, conn: conn, startedAt: o.Timer.Now(), pausedFor: math.MaxInt64, tickedAt: o.Timer.Now(), peers: map[string]*peerRow{}, byHash: map[uint64]*peerRow{}, zones: map[string]bool{}, zoneChangedAt: map[string]time.Time{}, zoneBreaks: map[string]*breaks{}, lostZones: map[string]bool{}, stop: func() {}}
	p.sendTo = p.send
	if o.First {
		p.startedAt = time.Time{}
	}
	go p.receive()
	if o.SendProbes {
		p.stop = o.Timer.Every(probeInterval, p.tick)
	}
	return p, nil
}

// Close stops sending and answering probes.
func (p *Prober) Close() {
	p.stop()
	_ = p.conn.Close()
}

// SetPeer adds a host. One whose description changed is added anew, without its earlier
// answers. This host itself and a host without a valid address are ignored.
func (p *Prober) SetPeer(peer Peer) {
	addr, err := netip.ParseAddrPort(peer.Addr)
	if err != nil || peer.Host == p.Host {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.peers[peer.Host]; known != nil && known.peer == peer {
		return
	}
	row := &peerRow{peer: peer, addr: addr, addedAt: p.Timer.Now()}
	p.peers[peer.Host], p.byHash[hostHash(peer.Host)] = row, row
	p.selectProbed()
}

// RemovePeer removes a host with what was observed of it.
func (p *Prober) RemovePeer(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, host)
	delete(p.byHash, hostHash(host))
	p.selectProbed()
}

// selectProbed selects the hosts to probe: those that are always probed and a few
// witnesses of each zone. Each host ranks the witnesses by a hash that includes its own
// name, which spreads the probes over the zone's hosts.
func (p *Prober) selectProbed() {
	byZone := map[string][]*peerRow{}
	for _, row := range p.peers {
		row.isProbed = row.peer.AlwaysProbed
		if !row.peer.AlwaysProbed {
			byZone[row.peer.Zone] = append(byZone[row.peer.Zone], row)
		}
	}
	for _, rows := range byZone {
		slices.SortFunc(rows, func(a, b *peerRow) int { return cmp.Compare(p.rank(a), p.rank(b)) })
		for _, row := range rows[:min(len(rows), witnessesPerZone)] {
			row.isProbed = true
		}
	}
}

func (p *Prober) rank(row *peerRow) uint64 {
	return xxhash.Sum64String(p.Host + "\x00" + row.peer.Host)
}

// Reachable reports whether a host has answered within unreachableAfter. A host that is
// unknown, was just added or was never probed counts as reachable.
func (p *Prober) Reachable(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row == nil || !row.unreachable
}

// LastAnswer returns when a host last answered, which is zero if it never did, and
// whether this host probes it.
func (p *Prober) LastAnswer(host string) (last time.Time, probed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || !row.isProbed {
		return time.Time{}, false
	}
	return row.lastAnswer, true
}

// downAfter is the silence after which a host counts as down. It exceeds the usual network
// partition, so that hosts which lost contact at different moments agree.
const downAfter = 7 * time.Second

// Down reports whether a probed host has been silent for longer than downAfter.
func (p *Prober) Down(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.unreachable && p.Timer.Now().Sub(later(row.lastAnswer, row.addedAt)) > downAfter
}

// UnreachableFor returns the time since the last answer of an unreachable host, and zero for a
// reachable one. For a host that never answered, it is the time since SetPeer added it.
func (p *Prober) UnreachableFor(host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || !row.unreachable {
		return 0
	}
	return p.Timer.Now().Sub(later(row.lastAnswer, row.addedAt))
}

// ZoneReachable reports whether any probed host of the zone is reachable. The own zone
// and a zone of which no host was ever probed count as reachable. A zone whose probed
// hosts were all removed keeps its last state.
func (p *Prober) ZoneReachable(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable, known := p.zones[zone]
	return !known || reachable
}

// ZoneUnreachableFor returns for how long a zone has been unreachable, and zero for a
// reachable one.
func (p *Prober) ZoneUnreachableFor(zone string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reachable, known := p.zones[zone]; !known || reachable {
		return 0
	}
	return p.Timer.Now().Sub(p.zoneChangedAt[zone])
}

// settleTime is how long the copies on both sides of a partition may take after its end
// to learn what the other side has admitted.
const settleTime = 4 * time.Second

// noticeTime is how long hosts take to notice that a partition has ended.
const noticeTime = 4 * probeInterval

// ZoneSettled reports whether a zone has been reachable for at least settleTime, or for noticeTime since a silence of
// this process itself: what it missed of the zone meanwhile the copies there say, once they have noticed it. The own zone
// is always settled.
func (p *Prober) ZoneSettled(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone == p.Zone {
		return true
	}
	if reachable, known := p.zones[zone]; !known || !reachable {
		return false
	}
	now, b := p.Timer.Now(), p.breaksOf(zone)
	return now.Sub(b.backAt) >= settleTime && now.Sub(b.heardFrom) >= noticeTime
}

// AnsweringAddrs returns the addresses of the zones' witnesses that answer probes. Hosts
// that are always probed aren't among them.
func (p *Prober) AnsweringAddrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, row := range p.peers {
		if row.isProbed && !row.peer.AlwaysProbed && !row.unreachable && !row.lastAnswer.IsZero() {
			out = append(out, row.peer.Addr)
		}
	}
	return out
}

// tick updates the state of all probed hosts and zones, reports the changes and sends the
// next probes.
func (p *Prober) tick() {
	type change struct {
		peer      Peer
		reachable bool
		silent    time.Duration
	}
	var changes []change
	now := p.Timer.Now()
	p.mu.Lock()
	if now.Sub(p.tickedAt) > unreachableAfter {
		p.notePause()
	}
	if now.Sub(p.tickedAt) > maxTickInterval {
		p.lateAt, p.pausedAt = now, p.tickedAt
	}
	p.tickedAt = now
	for _, row := range p.peers {
		if !row.isProbed {
			continue
		}
		unreachable := row.silence(now) > unreachableAfter
		if unreachable == row.unreachable {
			continue
		}
		row.unreachable = unreachable
		row.breaks.note(now, !unreachable, p.isLate(now))
		if unreachable {
			row.silentSince = earlier(later(row.lastAnswer, row.addedAt), row.unansweredSince)
		}
		changes = append(changes, change{row.peer, !unreachable, now.Sub(row.silentSince)})
	}
	p.updateZones()
	zones := p.zoneChanges(now)
	for _, row := range p.peers {
		row.loss = p.viewLoss(now, row)
		row.lostReplicated = p.viewReplicated(now, row)
	}
	targets := p.chooseTargets(now)
	p.mu.Unlock()
	for _, c := range changes {
		p.Log.Info("host reachability changed", "host", c.peer.Host, "zone", c.peer.Zone, "reachable", c.reachable, "silent", c.silent)
		p.OnHostChange(c.peer, c.reachable, c.silent)
	}
	for zone, reachable := range zones {
		p.Log.Info("zone reachability changed", "zone", zone, "reachable", reachable)
		p.OnZoneChange(zone, reachable)
	}
	for _, row := range targets {
		p.sendTo(kindProbe, hostHash(row.peer.Host), row.addr)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// updateZones updates the reachability of the other zones. A zone is unreachable if none of
// its probed hosts answers. The caller holds the lock.
func (p *Prober) updateZones() {
	answers := map[string]bool{}
	now := p.Timer.Now()
	for _, row := range p.peers {
		if row.isProbed && row.peer.Zone != p.Zone {
			// A host that is probed less often is found unreachable later than the others.
			// Two probes without an answer are enough if nobody else answers either.
			seldom := row.peer.AlwaysProbed && p.alwaysInterval > probeInterval
			silent := row.unreachable || seldom && row.silence(now) > 2*probeInterval
			answers[row.peer.Zone] = answers[row.peer.Zone] || !silent
		}
	}
	for zone, reachable := range answers {
		if was, known := p.zones[zone]; (known || !reachable) && was != reachable {
			p.zoneChangedAt[zone] = now
			p.breaksOf(zone).note(now, reachable, p.isLate(now))
		}
		p.zones[zone] = reachable
	}
}

// zoneChanges returns the zones that OnZoneChange has to be told of. After a late tick, whose
// answers may be unread, a zone has as long to answer as at other times. The caller holds the
// lock.
func (p *Prober) zoneChanges(now time.Time) map[string]bool {
	changed := map[string]bool{}
	mayMissAnswers := p.isLate(now)
	for zone, reachable := range p.zones {
		if p.lostZones[zone] == !reachable || !reachable && mayMissAnswers {
			continue
		}
		p.lostZones[zone] = !reachable
		changed[zone] = reachable
	}
	return changed
}

func hostHash(host string) uint64 { return xxhash.Sum64String(host) }

func (p *Prober) send(kind byte, key uint64, to netip.AddrPort) {
	var b [datagramSize]byte
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], key)
	// A failed send is the same as a lost datagram.
	_, _ = p.conn.WriteToUDPAddrPort(b[:], to)
}

// receive answers probes and takes answers and digests until the socket is closed.
func (p *Prober) receive() {
	var b [4096]byte
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b[:])
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > 1 && b[0] == kindDigest && p.OnDigest != nil {
			p.OnDigest(b[1:n])
			continue
		}
		if err == nil && n > 1 && b[0] == kindNews && p.OnNews != nil {
			p.OnNews(b[1:n])
			continue
		}
		if err == nil && n == 1 && b[0] == kindAsk && p.CurrentNews != nil {
			_, _ = p.conn.WriteToUDPAddrPort(append([]byte{kindNews}, p.CurrentNews()...), from)
			continue
		}
		if err != nil || n != datagramSize {
			continue
		}
		p.handle(b[0], binary.BigEndian.Uint64(b[1:]), from)
	}
}

// handle processes a probe, an answer or what a host says with it.
func (p *Prober) handle(kind byte, key uint64, from netip.AddrPort) {
	switch kind {
	case kindProbe:
		p.answer(key, from)
	case kindAnswer:
		p.recordAnswer(key)
	case kindReplicated:
		p.recordReplicated(key)
	}
}

// recordAnswer records an answer of the host whose name has the hash.
func (p *Prober) recordAnswer(key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if row := p.byHash[key]; row != nil {
		row.lastAnswer, row.unansweredSince = p.Timer.Now(), time.Time{}
		row.loss = lossContested
		row.answered(p.Timer.Now())
	}
}

// Package jkprobe tells which hosts and zones can be reached, by small datagrams
// that every host of the system answers.
package jkprobe

import (
	"cmp"
	"encoding/binary"
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

// Peer is a host that answers probes.
type Peer struct {
	Host string
	Addr string
	Zone string
	// Always marks hosts that are probed by all others, since their state is
	// asked for by name.
	Always bool
}

// Options holds what a prober needs.
type Options struct {
	Timer *jktimer.Service
	Log   jklog.Logger
	Host  string
	Zone  string
	// Addr is where the prober listens.
	Addr string
	// Probes is false on a host that only answers.
	Probes bool
	// Digest takes a digest of another host; nil drops it.
	Digest func(data []byte)
	// Zones is called when a zone is lost or reached again.
	Zones func(zone string, reachable bool)
	// Hosts is called when a host is lost or reached again, with the time for
	// which nothing was heard of it.
	Hosts func(p Peer, reachable bool, silent time.Duration)
}

// probeEvery is the interval of probes, and lostAfter the silence after which a
// host counts as lost: three probes, so that a single lost datagram isn't enough.
const (
	probeEvery = 250 * time.Millisecond
	lostAfter  = 800 * time.Millisecond
)

// witnesses is the number of other hosts in a zone by which the zone is judged.
const witnesses = 2

// Prober sends and answers probes.
type Prober struct {
	Options
	conn *net.UDPConn
	stop func()

	mu    sync.Mutex
	peers map[string]*peerRow
	zones map[string]bool
	// since is when a zone was reached again after it was lost.
	since map[string]time.Time
}

type peerRow struct {
	peer   Peer
	addr   netip.AddrPort
	heard  time.Time
	added  time.Time
	lost   bool
	chosen bool
	// silentSince is when a lost host was last heard.
	silentSince time.Time
}

// Kinds of datagrams.
const (
	kindProbe  = 1
	kindAnswer = 2
	kindDigest = 3
)

// datagramSize is one byte of kind and eight of a hash of the probed host's name.
const datagramSize = 9

// Listen starts to answer probes and, if the options say so, to send them.
func Listen(o Options) (*Prober, error) {
	addr, err := net.ResolveUDPAddr("udp", o.Addr)
	if err != nil {
		return nil, eris.Wrap(err, "probe address")
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen for probes")
	}
	p := &Prober{Options: o, conn: conn, peers: map[string]*peerRow{}, zones: map[string]bool{}, since: map[string]time.Time{}, stop: func() {}}
	go p.receive()
	if o.Probes {
		p.stop = o.Timer.Every(probeEvery, p.tick)
	}
	return p, nil
}

// Close stops the prober.
func (p *Prober) Close() {
	p.stop()
	_ = p.conn.Close()
}

// SetPeer adds or changes a host.
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
	p.peers[peer.Host] = &peerRow{peer: peer, addr: addr, added: p.Timer.Now()}
	p.choose()
}

// RemovePeer forgets a host.
func (p *Prober) RemovePeer(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.peers, host)
	p.choose()
}

// choose selects the hosts to probe: those that are always probed and a few
// witnesses of each zone. Another hash on each host spreads the probes.
func (p *Prober) choose() {
	byZone := map[string][]*peerRow{}
	for _, row := range p.peers {
		row.chosen = row.peer.Always
		if !row.peer.Always {
			byZone[row.peer.Zone] = append(byZone[row.peer.Zone], row)
		}
	}
	for _, rows := range byZone {
		slices.SortFunc(rows, func(a, b *peerRow) int { return cmp.Compare(p.rank(a), p.rank(b)) })
		for _, row := range rows[:min(len(rows), witnesses)] {
			row.chosen = true
		}
	}
}

func (p *Prober) rank(row *peerRow) uint64 {
	return xxhash.Sum64String(p.Host + "\x00" + row.peer.Host)
}

// Reachable reports whether a host has answered lately. A host that was just
// added counts as reachable.
func (p *Prober) Reachable(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row == nil || !row.lost
}

// Heard returns when a host last answered, which is zero if it never did, and
// whether this host probes it.
func (p *Prober) Heard(host string) (last time.Time, probed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || !row.chosen {
		return time.Time{}, false
	}
	return row.heard, true
}

// longLost is the silence after which a host counts as lost for good. It exceeds
// the usual cut, so that hosts which lost it at different moments agree.
const longLost = 7 * time.Second

// Lost reports whether a probed host has been silent for long.
func (p *Prober) Lost(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	return row != nil && row.lost && p.Timer.Now().Sub(later(row.heard, row.added)) > longLost
}

// Silent returns for how long nothing was heard of a host that is out of reach. A
// host that was never heard counts from when this process learned of it.
func (p *Prober) Silent(host string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.peers[host]
	if row == nil || !row.lost {
		return 0
	}
	return p.Timer.Now().Sub(later(row.heard, row.added))
}

// ZoneReachable reports whether a host of the zone has answered lately. The own
// zone and one without probed hosts count as reachable.
func (p *Prober) ZoneReachable(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reachable, known := p.zones[zone]
	return !known || reachable
}

// ZoneLostFor returns for how long a zone has been lost, and zero for one in reach.
func (p *Prober) ZoneLostFor(zone string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reachable, known := p.zones[zone]; !known || reachable {
		return 0
	}
	return p.Timer.Now().Sub(p.since[zone])
}

// settleTime is how long after a cut the copies on both sides may take to learn
// what the other side has admitted.
const settleTime = 4 * time.Second

// ZoneSettled reports whether a zone is in reach and has been so for some time.
func (p *Prober) ZoneSettled(zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if zone == p.Zone {
		return true
	}
	reachable, known := p.zones[zone]
	return known && reachable && p.Timer.Now().Sub(p.since[zone]) >= settleTime
}

// Answering returns the addresses of probed hosts that answer, other than those
// that are always probed.
func (p *Prober) Answering() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, row := range p.peers {
		if row.chosen && !row.peer.Always && !row.lost && !row.heard.IsZero() {
			out = append(out, row.peer.Addr)
		}
	}
	return out
}

func (p *Prober) tick() {
	type change struct {
		peer      Peer
		reachable bool
		silent    time.Duration
	}
	var changes []change
	now := p.Timer.Now()
	p.mu.Lock()
	var targets []*peerRow
	for _, row := range p.peers {
		if !row.chosen {
			continue
		}
		targets = append(targets, row)
		last := later(row.heard, row.added)
		lost := now.Sub(last) > lostAfter
		if lost == row.lost {
			continue
		}
		row.lost = lost
		if lost {
			row.silentSince = last
		}
		changes = append(changes, change{row.peer, !lost, now.Sub(row.silentSince)})
	}
	zones := p.judge()
	p.mu.Unlock()
	for _, c := range changes {
		p.Log.Info("host reachability changed", "host", c.peer.Host, "zone", c.peer.Zone, "reachable", c.reachable, "silent", c.silent)
		p.Hosts(c.peer, c.reachable, c.silent)
	}
	for zone, reachable := range zones {
		p.Log.Info("zone reachability changed", "zone", zone, "reachable", reachable)
		p.Zones(zone, reachable)
	}
	for _, row := range targets {
		p.send(kindProbe, hostKey(row.peer.Host), row.addr)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judge returns the zones whose state changed: a zone is lost if none of its
// probed hosts answers.
func (p *Prober) judge() map[string]bool {
	heard := map[string]bool{}
	for _, row := range p.peers {
		if row.chosen && row.peer.Zone != p.Zone {
			heard[row.peer.Zone] = heard[row.peer.Zone] || !row.lost
		}
	}
	changed := map[string]bool{}
	for zone, reachable := range heard {
		if was, known := p.zones[zone]; (known || !reachable) && was != reachable {
			changed[zone] = reachable
			p.since[zone] = p.Timer.Now()
		}
		p.zones[zone] = reachable
	}
	return changed
}

// maxDigestPeers bounds the hosts that get a digest.
const maxDigestPeers = 16

// SendDigest sends data to other hosts that aren't always probed: those of the
// own zone first, then some of other zones.
func (p *Prober) SendDigest(data []byte) {
	p.mu.Lock()
	var rows []*peerRow
	for _, row := range p.peers {
		if !row.peer.Always && !row.lost {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *peerRow) int {
		if x, y := a.peer.Zone == p.Zone, b.peer.Zone == p.Zone; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(p.rank(a), p.rank(b))
	})
	p.mu.Unlock()
	packet := append([]byte{kindDigest}, data...)
	for _, row := range rows[:min(len(rows), maxDigestPeers)] {
		// A datagram that can't be sent is like one that is lost.
		_, _ = p.conn.WriteToUDPAddrPort(packet, row.addr)
	}
}

func hostKey(host string) uint64 { return xxhash.Sum64String(host) }

func (p *Prober) send(kind byte, key uint64, to netip.AddrPort) {
	var b [datagramSize]byte
	b[0] = kind
	binary.BigEndian.PutUint64(b[1:], key)
	// A datagram that can't be sent is like one that is lost.
	_, _ = p.conn.WriteToUDPAddrPort(b[:], to)
}

func (p *Prober) receive() {
	var b [2048]byte
	self := hostKey(p.Host)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b[:])
		if eris.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && n > 1 && b[0] == kindDigest && p.Digest != nil {
			p.Digest(b[1:n])
			continue
		}
		if err != nil || n != datagramSize {
			continue
		}
		key := binary.BigEndian.Uint64(b[1:])
		switch {
		case b[0] == kindProbe && key == self:
			p.send(kindAnswer, key, from)
		case b[0] == kindAnswer:
			p.hear(key)
		}
	}
}

func (p *Prober) hear(key uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, row := range p.peers {
		if hostKey(host) == key {
			row.heard = p.Timer.Now()
			return
		}
	}
}

package jkprobe

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// maxDigestPeers bounds the hosts to which one digest is sent.
const maxDigestPeers = 16

// SendDigest sends a load digest to reachable hosts that aren't always probed: up to
// maxDigestPeers, those of the own zone first.
func (p *Prober) SendDigest(data []byte) {
	p.mu.Lock()
	var rows []*peerRow
	for _, row := range p.peers {
		if !row.peer.AlwaysProbed && !row.unreachable {
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
		// A failed send is the same as a lost datagram.
		_, _ = p.conn.WriteToUDPAddrPort(packet, row.addr)
	}
}

// newsPeers is the number of hosts to which one message of news is sent. News that each
// host passes on to four others reach a hundred hosts in four rounds.
const newsPeers = 4

// SendNews sends news to a few reachable hosts, chosen at random from all zones. Hosts
// that are always probed get none.
func (p *Prober) SendNews(data []byte) {
	p.mu.Lock()
	var rows []*peerRow
	for _, row := range p.peers {
		if !row.peer.AlwaysProbed && !row.unreachable {
			rows = append(rows, row)
		}
	}
	p.mu.Unlock()
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	packet := append([]byte{kindNews}, data...)
	for _, row := range rows[:min(len(rows), newsPeers)] {
		// A failed send is the same as a lost datagram.
		_, _ = p.conn.WriteToUDPAddrPort(packet, row.addr)
	}
}

// AskForNews asks a host for its news.
func (p *Prober) AskForNews(addr string) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return
	}
	// A failed send is the same as a lost datagram.
	_, _ = p.conn.WriteToUDPAddrPort([]byte{kindAsk}, to)
}

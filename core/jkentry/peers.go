package jkentry

import (
	"github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkwire"
)

// Parts of the memory limit that other hosts may take. Copies of the ledger send the keys of all their
// records to storage hosts.
const (
	entryPeersShare   = 8
	storagePeersShare = 3
)

// countPeers returns counters of the connections of other hosts.
func countPeers(set *metrics.Set) *jkwire.Counters {
	c := &jkwire.Counters{}
	set.NewGauge("jk_peer_connections_closed_total", func() float64 { return float64(c.ClosedConns()) })
	return c
}

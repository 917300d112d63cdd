package jkdaemon

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"jasmineknot.example/core/jkapi"
)

// metrics holds the metrics that /metrics exports.
type metrics struct {
	set *vm.Set
}

func newMetrics(d *Daemon) *metrics {
	m := &metrics{set: vm.NewSet()}
	gauge := func(name string, read func() float64) { m.set.NewGauge(name, read) }
	gauge("jk_programs", func() float64 { return float64(d.home.Programs()) })
	gauge("jk_running_calls", func() float64 { return float64(d.home.Running()) })
	gauge("jk_dispatcher_jobs", func() float64 { return float64(d.dispatcher.Jobs()) })
	gauge("jk_config_revision", func() float64 { return float64(d.follower.Revision()) })
	gauge("jk_quarantined", func() float64 { return float64(len(d.gossip.Quarantined())) })
	gauge("jk_peer_sent_bytes", func() float64 { return float64(d.counters.SentBytes()) })
	gauge("jk_peer_received_bytes", func() float64 { return float64(d.counters.ReceivedBytes()) })
	gauge("jk_peer_connections_closed_total", func() float64 { return float64(d.counters.ClosedConns()) })
	gauge("jk_control_sent_bytes", func() float64 { return float64(d.counters.ControlBytes()) })
	d.orders.gauges(gauge)
	if d.copies != nil {
		gauge("jk_copies", func() float64 { return float64(d.copies.Len()) })
		gauge("jk_copy_bytes", func() float64 { return float64(d.copies.Bytes()) })
	}
	return m
}

// observe records a finished request.
func (m *metrics) observe(o jkapi.Observation) {
	labels := fmt.Sprintf(`{kind=%q,workspace=%q,outcome=%q}`, o.Kind, o.Workspace, o.Outcome)
	m.set.GetOrCreateCounter("jk_requests_total" + labels).Inc()
	series := fmt.Sprintf(`{kind=%q,workspace=%q}`, o.Kind, o.Workspace)
	m.set.GetOrCreateHistogram("jk_request_seconds" + series).Update(o.Duration.Seconds())
	if o.FirstToken > 0 {
		m.set.GetOrCreateHistogram("jk_first_token_seconds" + series).Update(o.FirstToken.Seconds())
	}
	if o.Late {
		m.set.GetOrCreateCounter("jk_late_requests_total" + series).Inc()
	}
}

func (m *metrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

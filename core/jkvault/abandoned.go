package jkvault

import (
	"maps"

	"jasmineknot.example/core/jkledger"
)

// connectedReservations holds the reservations that were made since the start over connections that are still open, by
// request. The caller of its methods holds Vault.mu.
type connectedReservations map[string]connectedReservation

// connectedReservation is a reservation of a program with the channel that is closed once its connection has ended.
type connectedReservation struct {
	program      string
	disconnected <-chan struct{}
}

func (c connectedReservation) isConnected() bool {
	select {
	case <-c.disconnected:
		return false
	default:
		return true
	}
}

// add adds a reservation. One without tokens isn't settled.
func (c connectedReservations) add(s *jkledger.Spending, disconnected <-chan struct{}) {
	if s.Tokens == 0 {
		return
	}
	c[s.Request] = connectedReservation{program: s.Program, disconnected: disconnected}
}

// abandoned returns the requests of reservations that aren't settled and have no connection.
func (c connectedReservations) abandoned(spendings []jkledger.Spending) []string {
	var out []string
	for _, s := range spendings {
		if one, ok := c[s.Request]; !s.Settled && s.Tokens > 0 && (!ok || !one.isConnected()) {
			out = append(out, s.Request)
		}
	}
	return out
}

// expire removes the reservations that are settled or have no connection.
func (c connectedReservations) expire(l *jkledger.Ledger) {
	maps.DeleteFunc(c, func(request string, one connectedReservation) bool {
		return !one.isConnected() || !l.IsReserved(one.program, request)
	})
}

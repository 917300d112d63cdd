package jkrelay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"

	"jasmineknot.example/core/jkwire"
)

// maxRelays bounds the relays that are asked for one tunnel.
const maxRelays = 6

// join opens a tunnel to an endpoint. Two relays are asked at a time. Those that don't reach it come last the
// next time, so that all are asked in the end.
func (d *Dialer) join(ctx context.Context, addr string, direct error) (net.Conn, error) {
	id, ok := d.EndpointAt(addr)
	if !ok {
		return nil, &NoWayError{Addr: addr, Direct: direct, Relay: ResultUnknown}
	}
	if !d.hasTime(ctx, minDialTime) {
		// Relays that weren't asked tell nothing.
		return nil, &NoWayError{Addr: addr, Direct: direct, Relay: ResultNoAnswer}
	}
	result := ResultNoWay
	var ended *EndedError
	hosts := d.chosen(addr, d.Relays(id))
	for first := true; len(hosts) > 0 && ctx.Err() == nil; first = false {
		batch := hosts[:min(parallelJoins, len(hosts))]
		hosts = hosts[len(batch):]
		one := d.joinBatch(ctx, &JoinRequest{Endpoint: id}, batch)
		if one.conn != nil {
			d.joined(addr, one.host)
			return one.conn, nil
		}
		if first || ctx.Err() == nil {
			// Later ones that had less than their time come first the next time.
			d.missedBy(ctx, addr, batch)
		}
		switch {
		case one.result == ResultRefused:
			// Relays of one zone may be cut off from the endpoint together.
			ended = &EndedError{Addr: addr, Relay: one.host}
		case result == ResultNoWay || one.result.mayPass():
			result = one.result
		}
	}
	if ended != nil {
		d.notJoined(ctx, addr, ResultRefused)
		return nil, ended
	}
	d.notJoined(ctx, addr, result)
	return nil, &NoWayError{Addr: addr, Direct: direct, Relay: result}
}

// joined records a tunnel to an endpoint through a relay.
func (d *Dialer) joined(addr, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.joinedBy[addr] = host
	d.table.joined(d.Timer.Now(), addr)
	d.relayed.Add(1)
}

func (d *Dialer) notJoined(ctx context.Context, addr string, why Result) {
	_, known := d.EndpointAt(addr)
	if !known || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.notJoined(d.Timer.Now(), addr, why)
}

// missedBy records that relays haven't reached an endpoint.
func (d *Dialer) missedBy(ctx context.Context, addr string, hosts []Host) {
	_, known := d.EndpointAt(addr)
	if !known || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.missedBy(d.Timer.Now(), addr, hosts)
}

// order moves relays to the end that haven't reached an endpoint, and those that failed just now behind them.
func (d *Dialer) order(addr string, hosts []Host) []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.expire(d.Timer.Now())
	missedAt, avoidUntil := d.table.missedAt[addr], d.table.avoidUntil
	slices.SortStableFunc(hosts, func(a, b Host) int {
		return cmp.Or(avoidUntil[a.Name].Compare(avoidUntil[b.Name]), missedAt[a.Name].Compare(missedAt[b.Name]))
	})
	return hosts
}

// chosen returns the relays to ask for an endpoint. The one that reached it last is among them, also after a miss, as it
// may be the only one.
func (d *Dialer) chosen(addr string, hosts []Host) []Host {
	hosts = d.order(addr, hosts)
	out := spread(hosts)
	if i := d.lastJoined(addr, hosts); i >= 0 && !slices.Contains(out, hosts[i]) {
		out[len(out)-1] = hosts[i]
	}
	return out
}

// lastJoined returns the index of the relay that reached an endpoint last, or -1.
func (d *Dialer) lastJoined(addr string, hosts []Host) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.table.joinedBy[addr]
	if !ok {
		return -1
	}
	return slices.IndexFunc(hosts, func(h Host) bool { return h.Name == last })
}

// spread returns up to maxRelays hosts in order, of which no zone has more than a half: all entries
// of a zone may be cut off together.
func spread(hosts []Host) []Host {
	perZone := map[string]int{}
	var out []Host
	for _, h := range hosts {
		if len(out) == maxRelays {
			break
		}
		if perZone[h.Zone] < maxRelays/2 {
			perZone[h.Zone]++
			out = append(out, h)
		}
	}
	return out
}

// joined is the answer of one relay.
type joined struct {
	conn   net.Conn
	host   string
	result Result
}

// joinBatch asks several relays at the same time and returns the first tunnel. Without one it returns a
// refusal, or what tells most of the other answers.
func (d *Dialer) joinBatch(ctx context.Context, request *JoinRequest, hosts []Host) joined {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answers := make(chan joined, len(hosts))
	for _, h := range hosts {
		go func() { answers <- d.ask(ctx, request, h) }()
	}
	best := joined{result: ResultNoWay}
	for i := range hosts {
		one := <-answers
		if one.conn != nil {
			go closeTunnels(answers, len(hosts)-i-1)
			return one
		}
		// A relay that is cut off from one endpoint only takes that for its end.
		if one.result == ResultRefused || best.result != ResultRefused && (one.result.mayPass() || best.result == ResultNoWay) {
			best = one
		}
	}
	return best
}

// closeTunnels closes the tunnels among further answers.
func closeTunnels(answers chan joined, n int) {
	for range n {
		if late := <-answers; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}

// ask asks one relay for a tunnel.
func (d *Dialer) ask(ctx context.Context, request *JoinRequest, h Host) joined {
	var answer JoinAnswer
	isShort := !d.hasTime(ctx, relayDelay)
	conn, err := jkwire.DialTunnel(ctx, d.dial, d.Self, h.Addr, TypeJoin, request, &answer)
	out := joined{host: h.Name, result: answer.Result}
	if err != nil {
		out.result = ResultNoAnswer
	} else if tcp, ok := conn.(*net.TCPConn); ok && answer.Result == ResultJoined {
		out.conn = &tunnelConn{TCPConn: tcp}
		return out
	}
	if conn != nil {
		_ = conn.Close()
	}
	isOfEndpoint := err == nil && (answer.Result == ResultUnanswered || answer.Result == ResultRefused)
	// One that had hardly any time, behind others that took it, may well be in reach.
	hadTime := !isShort || err == nil || !ranOut(ctx, err)
	if !isOfEndpoint && hadTime && !errors.Is(ctx.Err(), context.Canceled) {
		d.mu.Lock()
		d.table.avoid(d.Timer.Now(), h.Name)
		d.mu.Unlock()
	}
	d.Log.Debug("endpoint not joined", "endpoint", request.Endpoint, "host", h.Name, "result", answer.Result, "error", err)
	return out
}

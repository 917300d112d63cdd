package jkrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
)

// NoWayError is returned for an endpoint that neither this host nor a relay reaches. It doesn't
// show that the endpoint has ended.
type NoWayError struct {
	Addr string
	// Direct is why this host doesn't reach it, and Relay what the relays said.
	Direct error
	Relay  Result
}

func (e *NoWayError) Error() string {
	return fmt.Sprintf("no way to %s: %v, by relays: %s", e.Addr, e.Direct, e.Relay)
}

// EndedError is returned for an endpoint that refuses connections.
type EndedError struct {
	Addr string
	// Relay is set if a relay has found out.
	Relay string
}

func (e *EndedError) Error() string {
	if e.Relay == "" {
		return fmt.Sprintf("%s refuses connections", e.Addr)
	}
	return fmt.Sprintf("%s refuses connections, also of %s", e.Addr, e.Relay)
}

// Unwrap returns ECONNREFUSED.
func (e *EndedError) Unwrap() error { return syscall.ECONNREFUSED }

// reachesAnother reports whether this host connects to another endpoint than the given one now, or
// there is none: then a refusal of that one isn't due to a cut from all of them.
func (d *Dialer) reachesAnother(ctx context.Context, addr string) bool {
	others := slices.DeleteFunc(d.Addrs(), func(other string) bool { return other == addr })
	if len(others) == 0 {
		return true
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(parallelJoins, len(others))]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			conn, err := d.dialDirect(ctx, other)
			if err == nil {
				_ = conn.Close()
			}
			reached <- err == nil
		}()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// hasEnded reports whether an endpoint that has refused a connection has ended: it refuses another
// one after this host has connected to a further endpoint, so that no cut refuses them.
func (d *Dialer) hasEnded(ctx context.Context, addr string) bool {
	if !d.reachesAnother(ctx, addr) {
		return false
	}
	conn, err := d.dial(ctx, addr)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// hasEndedSoon is hasEnded within relayDelay: other endpoints that don't answer either keep no relay from
// being asked.
func (d *Dialer) hasEndedSoon(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.Timer.After(relayDelay, cancel)()
	return d.hasEnded(ctx, addr)
}

// confirmEnd asks entries of two zones about an endpoint that has ended as far as this host sees. If one of
// them reaches it, it refuses this host only, and confirmEnd returns a tunnel.
func (d *Dialer) confirmEnd(ctx context.Context, addr string) (net.Conn, bool, error) {
	id, ok := d.EndpointAt(addr)
	if !ok || !d.mayRelay(addr) {
		return nil, false, &EndedError{Addr: addr}
	}
	hosts := d.witnesses(addr, id)
	one := d.joinBatch(ctx, &JoinRequest{Endpoint: id, Refused: true}, hosts)
	if one.conn != nil {
		d.joined(addr, one.host)
		return one.conn, true, nil
	}
	d.missedBy(ctx, addr, hosts)
	d.notJoined(ctx, addr, one.result)
	ended := &EndedError{Addr: addr}
	if one.result == ResultRefused {
		ended.Relay = one.host
	}
	return nil, false, ended
}

// witnesses returns the relays to ask about the end of an endpoint: the one that reached it last, and others, of which
// those that were asked before may be cut off from it too.
func (d *Dialer) witnesses(addr, id string) []Host {
	hosts := d.Relays(id)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = d.order(addr, hosts)
	if i := d.lastJoined(addr, hosts); i > 0 {
		last := hosts[i]
		hosts = slices.Insert(slices.Delete(hosts, i, i+1), 0, last)
	}
	return ofTwoZones(hosts)
}

// ofTwoZones returns the first host and the first one of another zone: all entries of a zone may be cut off from
// an endpoint together.
func ofTwoZones(hosts []Host) []Host {
	for i, h := range hosts {
		if h.Zone != hosts[0].Zone {
			return []Host{hosts[0], hosts[i]}
		}
	}
	return hosts[:min(parallelJoins, len(hosts))]
}

// verdict returns the error if no way has led to an endpoint: of this host's own way and of the relays. A
// refusal that this host has met itself may be that of a cut.
func (d *Dialer) verdict(ctx context.Context, addr string, direct, relay error) error {
	var ended *EndedError
	if errors.As(relay, &ended) {
		return ended
	}
	if !errors.Is(direct, syscall.ECONNREFUSED) {
		return direct
	}
	result := ResultNoAnswer
	var none *NoWayError
	if errors.As(relay, &none) {
		result = none.Relay
	}
	// Relays that may reach the endpoint soon leave it open whether it has ended.
	if (none == nil || !result.mayPass()) && d.hasEnded(ctx, addr) {
		return &EndedError{Addr: addr}
	}
	return &NoWayError{Addr: addr, Direct: direct, Relay: result}
}

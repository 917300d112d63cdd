package jkrelay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkwire"
)

// TypeJoin is the type of the message that opens a tunnel to an endpoint.
const TypeJoin = "relay_join"

// JoinRequest asks an entry to join the connection with one to an endpoint.
type JoinRequest struct {
	// Endpoint is the endpoint's id. The entry takes the address from its own registry.
	Endpoint string `msgpack:"endpoint"`
	// Refused is set if the requesting host reaches other endpoints and is refused by this one.
	Refused bool `msgpack:"refused,omitempty"`
}

// JoinAnswer is the answer to a JoinRequest. After ResultJoined the connection is a tunnel.
type JoinAnswer struct {
	Result Result `msgpack:"result"`
}

// Result is the outcome of a JoinRequest.
type Result string

// Results of a JoinRequest. ResultNoWay is that of an entry which can't reach endpoints itself,
// ResultUnknown that of one whose registry lacks the endpoint or the host that asks, and ResultNoAnswer
// stands for an entry that didn't answer.
const (
	ResultJoined     Result = "joined"
	ResultRefused    Result = "refused"
	ResultUnanswered Result = "unanswered"
	ResultNoWay      Result = "no_way"
	ResultUnknown    Result = "unknown"
	ResultBusy       Result = "busy"
	ResultStopping   Result = "stopping"
	ResultNoAnswer   Result = "no_answer"
)

// mayPass reports whether the same question may soon have another answer.
func (r Result) mayPass() bool {
	return r == ResultBusy || r == ResultStopping || r == ResultNoAnswer
}

// joinDialTimeout bounds the connection to an endpoint on behalf of another entry.
const joinDialTimeout = 220 * time.Millisecond

// Options holds the dependencies of a Relay.
type Options struct {
	Log jklog.Logger
	// AddrOf returns the address of an endpoint of the registry.
	AddrOf func(endpoint string) (addr string, ok bool)
	// IsHost reports whether a host belongs to the system.
	IsHost func(host string) bool
	// Stopping reports whether this host is about to stop.
	Stopping func() bool
	// Dialer tells what this entry reaches itself.
	Dialer *Dialer
	// MaxTunnels bounds the tunnels at the same time.
	MaxTunnels int64
}

// Relay joins connections of other entries with endpoints that this one reaches. It never asks
// a third entry.
type Relay struct {
	Options
	tunnels atomic.Int64

	mu   sync.Mutex
	open map[*tunnel]bool
}

// NewRelay returns a Relay without tunnels.
func NewRelay(o Options) *Relay { return &Relay{Options: o, open: map[*tunnel]bool{}} }

// Leave tells all requesting hosts that this one is about to stop, so that tunnels end with the requests
// that they carry now.
func (r *Relay) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for t := range r.open {
		go t.leave()
	}
}

// Tunnels returns the number of open tunnels.
func (r *Relay) Tunnels() int64 { return r.tunnels.Load() }

// Handle answers a request for a tunnel and keeps the tunnel open until one of its ends closes it.
func (r *Relay) Handle(ctx context.Context, s *jkwire.ServerStream, near net.Conn) {
	far, endpoint, result := r.connect(ctx, s, r.tunnels.Add(1))
	if far == nil {
		// Before the answer: its host may ask again at once.
		r.tunnels.Add(-1)
	} else {
		defer r.tunnels.Add(-1)
		defer far.Close()
	}
	if err := s.End(&JoinAnswer{Result: result}); err != nil || far == nil {
		r.Log.Debug("endpoint not joined", "host", s.Peer().Host, "endpoint", endpoint, "result", result, "error", err)
		return
	}
	if tcp, ok := near.(*net.TCPConn); ok {
		// Ends the tunnel of a host that is gone.
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	t := &tunnel{near: near, far: far, timer: r.Dialer.Timer}
	r.mu.Lock()
	r.open[t] = true
	r.mu.Unlock()
	if r.Stopping() {
		// It may have been opened while the others were told.
		go t.leave()
	}
	t.run(ctx)
	r.mu.Lock()
	delete(r.open, t)
	r.mu.Unlock()
}

// connect connects to the endpoint that a request names, if it may have a tunnel.
func (r *Relay) connect(ctx context.Context, s *jkwire.ServerStream, tunnels int64) (far net.Conn, endpoint string, result Result) {
	var request JoinRequest
	if s.Type() != TypeJoin || s.Decode(&request) != nil {
		return nil, "", ResultUnknown
	}
	addr, known := r.AddrOf(request.Endpoint)
	switch {
	case !known || !r.IsHost(s.Peer().Host):
		return nil, request.Endpoint, ResultUnknown
	case r.Stopping():
		return nil, request.Endpoint, ResultStopping
	case tunnels > r.MaxTunnels:
		return nil, request.Endpoint, ResultBusy
	}
	if known := r.Dialer.prospect(addr); known != ResultJoined {
		return nil, request.Endpoint, known
	}
	ctx, cancel := context.WithTimeout(ctx, joinDialTimeout)
	defer cancel()
	far, err := r.Dialer.dialDirect(ctx, addr)
	switch {
	case err == nil:
		return far, request.Endpoint, ResultJoined
	case errors.Is(err, syscall.ECONNREFUSED) && (request.Refused || r.Dialer.hasEnded(ctx, addr)):
		return nil, request.Endpoint, ResultRefused
	}
	return nil, request.Endpoint, ResultUnanswered
}

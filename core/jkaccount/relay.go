package jkaccount

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkwire"
)

// TypeRelay is the message that asks a host to pass another one on.
const TypeRelay = "ledger_relay"

// RelayRequest is a message for the copy on a host. The answer is the copy's.
type RelayRequest struct {
	Host string             `msgpack:"host"`
	Type string             `msgpack:"type"`
	Body msgpack.RawMessage `msgpack:"body"`
}

// UnreachableError is returned for a copy that no host in reach can reach.
type UnreachableError struct{ Host string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("copy on %q can't be reached", e.Host) }

// maxRelays bounds the hosts that are asked to pass one message on.
const maxRelays = 2

// hopelessFor is how long no message is passed on to a copy that the asked hosts
// couldn't reach either. A copy that is down would otherwise cost messages to
// other hosts for each turn.
const hopelessFor = time.Second

// relays remembers the copies that can't be reached through other hosts.
type relays struct {
	mu       sync.Mutex
	hopeless map[string]time.Time
}

func newRelays() *relays { return &relays{hopeless: map[string]time.Time{}} }

func (r *relays) isHopeless(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.hopeless[host])
}

func (r *relays) setHopeless(host string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hopeless[host] = until
}

// relay passes a message to a copy through another host. A single host that is
// cut off from the copies serves on in this way.
func (c *Client) relay(ctx context.Context, target Copy, messageType string, request, answer any) error {
	if c.relays.isHopeless(target.Host, c.Timer.Now()) {
		return &UnreachableError{Host: target.Host}
	}
	body, err := jkwire.Encode(request)
	if err != nil {
		return err
	}
	err = &UnreachableError{Host: target.Host}
	relays := c.Relays()
	for _, addr := range relays[:min(len(relays), maxRelays)] {
		err = c.Pool.Call(ctx, addr, TypeRelay, &RelayRequest{Host: target.Host, Type: messageType, Body: body}, answer)
		if err == nil {
			return nil
		}
	}
	c.relays.setHopeless(target.Host, c.Timer.Now().Add(hopelessFor))
	return err
}

// Handle passes a message of another host on to a copy that this one can reach.
func (c *Client) Handle(ctx context.Context, s *jkwire.Incoming) {
	if err := c.pass(ctx, s); err != nil {
		c.Log.Debug("message not passed on", "from", s.Peer().Host, "type", s.Type(), "error", err)
		if err := s.Fail("not_passed_on", err.Error()); err != nil {
			c.Log.Info("peer left", "host", s.Peer().Host, "error", err)
		}
	}
}

func (c *Client) pass(ctx context.Context, s *jkwire.Incoming) error {
	var m RelayRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	if !isLedgerType(m.Type) {
		return &UnreachableError{Host: m.Host}
	}
	for _, target := range c.Copies() {
		if target.Host != m.Host || !c.Reachable(m.Host) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer msgpack.RawMessage
		if err := c.Pool.Call(ctx, target.Addr, m.Type, m.Body, &answer); err != nil {
			return err
		}
		return s.End(answer)
	}
	return &UnreachableError{Host: m.Host}
}

// isLedgerType reports whether messages of a type may be passed on.
func isLedgerType(t string) bool {
	switch t {
	case jkledger.TypeReserve, jkledger.TypeWrite, jkledger.TypeChain:
		return true
	}
	return false
}

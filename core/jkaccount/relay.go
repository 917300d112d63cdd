package jkaccount

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkwire"
)

// TypeRelay is the type of a message that asks a host to forward another message.
const TypeRelay = "ledger_relay"

// RelayRequest asks a host to forward a message to the copy on another host. Its answer is
// the answer of the copy.
type RelayRequest struct {
	Host string             `msgpack:"host"`
	Type string             `msgpack:"type"`
	Body msgpack.RawMessage `msgpack:"body"`
}

// UnreachableError is returned for a copy that neither this host nor the relays can reach.
type UnreachableError struct{ Host string }

func (e *UnreachableError) Error() string { return fmt.Sprintf("copy on %q can't be reached", e.Host) }

// maxRelays bounds the hosts that are asked to forward one message.
const maxRelays = 2

// relayBackoff is how long no message is relayed to a copy that the relays couldn't reach
// either. Without it, a copy that is down would cost messages to other hosts for each turn.
const relayBackoff = time.Second

// relayBackoffs holds the copies that can't be reached through relays either, and until when
// they aren't tried again.
type relayBackoffs struct {
	mu           sync.Mutex
	blockedUntil map[string]time.Time
}

func newRelayBackoffs() *relayBackoffs { return &relayBackoffs{blockedUntil: map[string]time.Time{}} }

// isActive reports whether no message may be relayed to the copy on a host now.
func (r *relayBackoffs) isActive(host string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.blockedUntil[host])
}

func (r *relayBackoffs) set(host string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blockedUntil[host] = until
}

// relay sends a message to a copy through another host. A host that can't reach the copies
// itself can go on serving in this way.
func (c *Client) relay(ctx context.Context, target Copy, messageType string, request, answer any) error {
	// Failures of other messages, which have less time or need a newer build, say nothing about the
	// ledger's.
	backoff := target.Host
	if !isLedgerType(messageType) {
		backoff += "\x00" + messageType
	}
	if c.relayBackoffs.isActive(backoff, c.Timer.Now()) {
		return &UnreachableError{Host: target.Host}
	}
	body, err := jkwire.Encode(request)
	if err != nil {
		return err
	}
	err = &UnreachableError{Host: target.Host}
	relayAddrs := c.RelayAddrs()
	for _, addr := range relayAddrs[:min(len(relayAddrs), maxRelays)] {
		err = c.Pool.Call(ctx, addr, TypeRelay, &RelayRequest{Host: target.Host, Type: messageType, Body: body}, answer)
		if err == nil {
			return nil
		}
	}
	c.relayBackoffs.set(backoff, c.Timer.Now().Add(relayBackoff))
	return err
}

// Handle forwards a message of another host to a copy that this host can reach.
func (c *Client) Handle(ctx context.Context, s *jkwire.ServerStream) {
	if err := c.relayToCopy(ctx, s); err != nil {
		c.Log.Debug("message not passed on", "from", s.Peer().Host, "type", s.Type(), "error", err)
		if err := s.Fail("not_passed_on", err.Error()); err != nil {
			c.Log.Info("answer not sent", "host", s.Peer().Host, "error", err)
		}
	}
}

// relayToCopy calls the copy on the requested host and returns its answer to the peer.
func (c *Client) relayToCopy(ctx context.Context, s *jkwire.ServerStream) error {
	var m RelayRequest
	if err := s.Decode(&m); err != nil {
		return err
	}
	if !isLedgerType(m.Type) && !slices.Contains(c.RelayedTypes, m.Type) {
		return &UnreachableError{Host: m.Host}
	}
	for _, target := range c.knownCopies() {
		if target.Host != m.Host || !c.Reachable(m.Host) {
			continue
		}
		ctx, cancel := c.withTimeout(ctx, callTimeout)
		defer cancel()
		var answer msgpack.RawMessage
		if err := c.Pool.Call(ctx, target.Addr, m.Type, m.Body, &answer); err != nil {
			return err
		}
		return s.End(answer)
	}
	return &UnreachableError{Host: m.Host}
}

// isLedgerType reports whether a type is one of the ledger's, which hosts forward.
func isLedgerType(t string) bool {
	switch t {
	case jkledger.TypeReserve, jkledger.TypeWrite, jkledger.TypeChain:
		return true
	}
	return false
}

package jkforward

import (
	"context"
	"fmt"
	"sync"
)

// memoryAccount is an Account in memory.
type memoryAccount struct {
	mu         sync.Mutex
	reserveErr error
	settled    []string
	kept       []string
	failKeep   bool
	canKeepErr error
	// reserved are the names of the reservations by program.
	reserved map[string][]string
	// keep, if set, replaces the result of failKeep.
	keep func(ctx context.Context) error
	// chain, if set, replaces the chains, and holdReserve returns the error of a reservation once that
	// is to be made.
	chain       func(ctx context.Context) ([]byte, error)
	holdReserve func(ctx context.Context) error
}

func (m *memoryAccount) account() Account {
	return Account{
		Reserve: m.reserve,
		Continue: func(ctx context.Context, r Reservation, origin string) (string, error) {
			if err := m.reserve(ctx, r); err != nil {
				return "", err
			}
			return m.versionOf(r.Program, origin)
		},
		Settle: func(s Settlement) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.settled = append(m.settled, fmt.Sprintf("%q %d", s.Request, s.Tokens))
		},
		Release: func(_ context.Context, s Settlement) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.settled = append(m.settled, fmt.Sprintf("%q %d before the answer", s.Request, s.Tokens))
		},
		Chain: func(ctx context.Context, _, request string) (Chain, error) {
			if m.chain != nil {
				content, err := m.chain(ctx)
				return Chain{Content: content}, err
			}
			if request == "known" {
				return Chain{Content: []byte("earlier ")}, nil
			}
			return Chain{}, &UnknownTurnError{Request: request}
		},
		CanKeep: func(context.Context, string) error { return m.canKeepErr },
		Keep: func(ctx context.Context, t Turn) error {
			if m.keep != nil {
				return m.keep(ctx)
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.failKeep {
				return &NoQuorumError{Operation: "keep", Needed: 2}
			}
			m.kept = append(m.kept, fmt.Sprintf("%q -> %q, settles %q", t.Input, t.Output, t.Reservation))
			return nil
		},
	}
}

func (m *memoryAccount) reserve(ctx context.Context, r Reservation) error {
	if m.holdReserve != nil {
		if err := m.holdReserve(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved == nil {
		m.reserved = map[string][]string{}
	}
	if m.reserveErr == nil {
		m.reserved[r.Program] = append(m.reserved[r.Program], r.Request)
	}
	return m.reserveErr
}

// versionOf returns the version in the name of a request's reservation.
func (m *memoryAccount) versionOf(program, request string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.reserved[program] {
		if version, ok := VersionOf(name, request); ok {
			return version, nil
		}
	}
	return "", &UnknownStreamError{Request: request}
}

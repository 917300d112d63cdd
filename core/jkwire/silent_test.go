package jkwire

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jasmineknot.example/core/jktimer"
)

// silencer passes connections on to an address. Those that are open when it is told to
// go silent for good, while new ones work.
type silencer struct {
	listener net.Listener
	target   string
	silenced atomic.Int64
	accepted atomic.Int64
	done     sync.WaitGroup
	// hold, if set, keeps silent connections from being read until it is closed.
	hold chan struct{}
}

func newSilencer(t *testing.T, target string) *silencer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silencer{listener: l, target: target}
	s.done.Add(1)
	go s.accept()
	return s
}

func (s *silencer) accept() {
	defer s.done.Done()
	for {
		from, err := s.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		number := s.accepted.Add(1)
		s.done.Add(2)
		go s.pass(from, to, number)
		go s.pass(to, from, number)
	}
}

func (s *silencer) pass(from, to net.Conn, number int64) {
	defer s.done.Done()
	defer to.Close()
	_, _ = io.Copy(writerFunc(func(b []byte) (int, error) {
		if s.silenced.Load() >= number {
			if s.hold != nil {
				<-s.hold
			}
			return len(b), nil
		}
		return to.Write(b)
	}), from)
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func (s *silencer) silence() { s.silenced.Store(s.accepted.Load()) }

func (s *silencer) close() {
	_ = s.listener.Close()
	s.done.Wait()
}

// echo sends calls that may take a time each, until one is answered, and returns how
// long that took.
func echo(t *testing.T, pool *Pool, addr string, each, within time.Duration) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		ctx, cancel := context.WithTimeout(t.Context(), each)
		err := pool.Call(ctx, addr, "echo", &sample{Text: "x"}, nil)
		cancel()
		if err == nil {
			return time.Since(began), true
		}
	}
	return within, false
}

// Guards against a peer that is never reached again because the connection to it went
// silent without being closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	const silentAfter = 300 * time.Millisecond
	direct, addr := start(t, nil, func(_ context.Context, s *Incoming) { _ = s.End(&sample{}) })
	s := newSilencer(t, addr)
	pool := NewPool(PoolOptions{Self: direct.self, Control: direct.control, Counters: &Counters{}, SilentAfter: silentAfter, Timer: jktimer.New()})
	t.Cleanup(func() {
		pool.Close()
		s.close()
	})
	if _, ok := echo(t, pool, s.listener.Addr().String(), time.Second, time.Second); !ok {
		t.Fatal("the peer doesn't answer")
	}
	s.silence()
	took, ok := echo(t, pool, s.listener.Addr().String(), 100*time.Millisecond, 3*time.Second)
	if !ok || took > 2*silentAfter {
		t.Errorf("the peer answered again after %s (%t), want %s", took, ok, silentAfter)
	}
}

// Guards against a connection that is closed because one call takes long, while the
// peer answers others.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	slow := make(chan struct{})
	direct, addr := start(t, nil, func(ctx context.Context, s *Incoming) {
		if s.Type() == "slow" {
			select {
			case <-slow:
			case <-ctx.Done():
			}
		}
		_ = s.End(&sample{})
	})
	pool := NewPool(PoolOptions{Self: direct.self, Control: direct.control, Counters: &Counters{}, SilentAfter: 200 * time.Millisecond, Timer: jktimer.New()})
	t.Cleanup(pool.Close)
	long := make(chan error, 1)
	go func() { long <- pool.Call(testContext(t), addr, "slow", &sample{}, nil) }()
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if err := pool.Call(ctx, addr, "slow", &sample{}, nil); err == nil {
			t.Error("a slow call is answered")
		}
		cancel()
		if _, ok := echo(t, pool, addr, 100*time.Millisecond, time.Second); !ok {
			t.Error("a quick call isn't answered")
		}
	}
	close(slow)
	if err := <-long; err != nil {
		t.Errorf("the slow call ended with %v", err)
	}
}

// Guards against calls that are held by a peer which doesn't read: they share one
// connection.
func TestCallsAreNotHeldByAPeerThatDoesNotRead(t *testing.T) {
	const silentAfter = 300 * time.Millisecond
	direct, addr := start(t, nil, func(_ context.Context, s *Incoming) { _ = s.End(&sample{}) })
	s := newSilencer(t, addr)
	s.hold = make(chan struct{})
	pool := NewPool(PoolOptions{Self: direct.self, Control: direct.control, Counters: &Counters{}, SilentAfter: silentAfter, Timer: jktimer.New()})
	t.Cleanup(func() {
		pool.Close()
		close(s.hold)
		s.close()
	})
	if _, ok := echo(t, pool, s.listener.Addr().String(), time.Second, time.Second); !ok {
		t.Fatal("the peer doesn't answer")
	}
	s.silence()
	began := time.Now()
	large := &sample{Text: strings.Repeat("x", MaxFrame*3/4)}
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_ = pool.Call(ctx, s.listener.Addr().String(), "echo", large, nil)
		cancel()
	}
	if _, ok := echo(t, pool, s.listener.Addr().String(), 100*time.Millisecond, 3*time.Second); !ok {
		t.Error("the peer is never reached again")
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("the calls were held for %s", took)
	}
}

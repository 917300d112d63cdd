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

// stallingProxy forwards connections to an address. After stall, connections that were
// open then deliver nothing any more, while new ones work.
type stallingProxy struct {
	listener    net.Listener
	target      string
	stalledUpTo atomic.Int64
	accepted    atomic.Int64
	done        sync.WaitGroup
	// resumeReads, if set, keeps stalled connections from being read until it is closed.
	resumeReads chan struct{}
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stallingProxy{listener: l, target: target}
	s.done.Add(1)
	go s.accept()
	return s
}

func (s *stallingProxy) accept() {
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
		go s.forward(from, to, number)
		go s.forward(to, from, number)
	}
}

func (s *stallingProxy) forward(from, to net.Conn, number int64) {
	defer s.done.Done()
	defer to.Close()
	_, _ = io.Copy(writerFunc(func(b []byte) (int, error) {
		if s.stalledUpTo.Load() >= number {
			if s.resumeReads != nil {
				<-s.resumeReads
			}
			return len(b), nil
		}
		return to.Write(b)
	}), from)
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func (s *stallingProxy) stall() { s.stalledUpTo.Store(s.accepted.Load()) }

func (s *stallingProxy) close() {
	_ = s.listener.Close()
	s.done.Wait()
}

// callUntilAnswered sends calls with a timeout each until one is answered, and returns
// how long that took.
func callUntilAnswered(t *testing.T, pool *Pool, addr string, each, within time.Duration) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		ctx, cancel := context.WithTimeout(t.Context(), each)
		err := pool.Call(ctx, addr, "echo", &testMessage{Text: "x"}, nil)
		cancel()
		if err == nil {
			return time.Since(began), true
		}
	}
	return within, false
}

// Guards against a peer that stays unreachable because the connection to it has stalled
// without being closed.
func TestStalledConnectionIsReplaced(t *testing.T) {
	const receiveTimeout = 300 * time.Millisecond
	direct, addr := startPeer(t, nil, func(_ context.Context, s *ServerStream) { _ = s.End(&testMessage{}) })
	s := newStallingProxy(t, addr)
	pool := NewPool(PoolOptions{Self: direct.self, IsControl: direct.isControl, Counters: &Counters{}, ReceiveTimeout: receiveTimeout, Timer: jktimer.New()})
	t.Cleanup(func() {
		pool.Close()
		s.close()
	})
	if _, ok := callUntilAnswered(t, pool, s.listener.Addr().String(), time.Second, time.Second); !ok {
		t.Fatal("the peer doesn't answer")
	}
	s.stall()
	took, ok := callUntilAnswered(t, pool, s.listener.Addr().String(), 100*time.Millisecond, 3*time.Second)
	if !ok || took > 2*receiveTimeout {
		t.Errorf("the peer answered again after %s (answered: %t), want %s", took, ok, receiveTimeout)
	}
}

// Guards against a connection that is closed because one call times out while the peer
// responds to others.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	slow := make(chan struct{})
	direct, addr := startPeer(t, nil, func(ctx context.Context, s *ServerStream) {
		if s.Type() == "slow" {
			select {
			case <-slow:
			case <-ctx.Done():
			}
		}
		_ = s.End(&testMessage{})
	})
	pool := NewPool(PoolOptions{Self: direct.self, IsControl: direct.isControl, Counters: &Counters{}, ReceiveTimeout: 200 * time.Millisecond, Timer: jktimer.New()})
	t.Cleanup(pool.Close)
	long := make(chan error, 1)
	go func() { long <- pool.Call(testContext(t), addr, "slow", &testMessage{}, nil) }()
	for range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if err := pool.Call(ctx, addr, "slow", &testMessage{}, nil); err == nil {
			t.Error("a slow call was answered")
		}
		cancel()
		if _, ok := callUntilAnswered(t, pool, addr, 100*time.Millisecond, time.Second); !ok {
			t.Error("a quick call was not answered")
		}
	}
	close(slow)
	if err := <-long; err != nil {
		t.Errorf("the slow call ended with %v", err)
	}
}

// Guards against a peer that doesn't read and so blocks every call on the shared
// connection.
func TestPeerThatStopsReadingDoesNotBlockCalls(t *testing.T) {
	const receiveTimeout = 300 * time.Millisecond
	direct, addr := startPeer(t, nil, func(_ context.Context, s *ServerStream) { _ = s.End(&testMessage{}) })
	s := newStallingProxy(t, addr)
	s.resumeReads = make(chan struct{})
	pool := NewPool(PoolOptions{Self: direct.self, IsControl: direct.isControl, Counters: &Counters{}, ReceiveTimeout: receiveTimeout, Timer: jktimer.New()})
	t.Cleanup(func() {
		pool.Close()
		close(s.resumeReads)
		s.close()
	})
	if _, ok := callUntilAnswered(t, pool, s.listener.Addr().String(), time.Second, time.Second); !ok {
		t.Fatal("the peer doesn't answer")
	}
	s.stall()
	began := time.Now()
	large := &testMessage{Text: strings.Repeat("x", MaxFrame*3/4)}
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_ = pool.Call(ctx, s.listener.Addr().String(), "echo", large, nil)
		cancel()
	}
	if _, ok := callUntilAnswered(t, pool, s.listener.Addr().String(), 100*time.Millisecond, 3*time.Second); !ok {
		t.Error("the peer was not reached again")
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("the calls were blocked for %s", took)
	}
}

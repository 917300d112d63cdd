package jkwire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

type testMessage struct {
	Text string `msgpack:"text"`
	N    int    `msgpack:"n"`
}

func startPeer(t *testing.T, faults *Faults, handle func(ctx context.Context, s *ServerStream)) (*Pool, string) {
	t.Helper()
	pool, _, addr := startServer(t, faults, handle)
	return pool, addr
}

func startServer(t *testing.T, faults *Faults, handle func(ctx context.Context, s *ServerStream)) (*Pool, *Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := func(string) bool { return false }
	server := NewServer(l, ServerOptions{Self: Hello{Host: "b", Version: ProtocolVersion}, Handle: handle, IsControl: control, Counters: &Counters{}})
	pool := NewPool(PoolOptions{Self: Hello{Host: "a", Version: ProtocolVersion}, IsControl: control, Counters: &Counters{}, Faults: faults})
	t.Cleanup(func() {
		pool.Close()
		server.Close()
		goleak.VerifyNone(t)
	})
	return pool, server, l.Addr().String()
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against responses of concurrent streams that reach the wrong caller.
func TestConcurrentStreamsDoNotMixResponses(t *testing.T) {
	pool, addr := startPeer(t, nil, func(_ context.Context, s *ServerStream) {
		var in testMessage
		if err := s.Decode(&in); err != nil {
			_ = s.Fail("bad", err.Error())
			return
		}
		for i := range 20 {
			_ = s.Send(&testMessage{Text: in.Text, N: i})
		}
		_ = s.End(&in)
	})
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			name := fmt.Sprint("caller ", i)
			s, err := pool.Open(ctx, addr, "echo", &testMessage{Text: name})
			if err != nil {
				t.Error(err)
				return
			}
			defer s.Close()
			for n := 0; ; n++ {
				m, err := s.Receive(ctx)
				if err != nil {
					t.Error(err)
					return
				}
				var out testMessage
				if err := m.Decode(&out); err != nil || out.Text != name {
					t.Errorf("got %q, want %q (%v)", out.Text, name, err)
				}
				if m.Last {
					return
				}
				if out.N != n {
					t.Errorf("got message %d, want %d", out.N, n)
				}
			}
		}()
	}
	wg.Wait()
}

// Guards against a request that is reported as not sent although the peer may have run
// it.
func TestConnectionErrorReportsWhetherRequestWasSent(t *testing.T) {
	pool, addr := startPeer(t, nil, func(_ context.Context, s *ServerStream) {
		_ = s.conn.link.conn.Close()
	})
	ctx := testContext(t)
	err := pool.Call(ctx, addr, "run", &testMessage{}, nil)
	var lost *ConnectionError
	if !errors.As(err, &lost) || !lost.Sent {
		t.Fatalf("got %v, want a *ConnectionError with Sent true", err)
	}
	err = pool.Call(ctx, "127.0.0.1:1", "run", &testMessage{}, nil)
	if !errors.As(err, &lost) || lost.Sent {
		t.Fatalf("got %v, want a *ConnectionError with Sent false", err)
	}
}

// Guards against a handler that continues to run after the caller closed the stream.
func TestCloseCancelsHandler(t *testing.T) {
	cancelled := make(chan struct{})
	pool, addr := startPeer(t, nil, func(ctx context.Context, _ *ServerStream) {
		<-ctx.Done()
		close(cancelled)
	})
	ctx := testContext(t)
	s, err := pool.Open(ctx, addr, "wait", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	select {
	case <-cancelled:
	case <-ctx.Done():
		t.Fatal("handler was not cancelled")
	}
}

// Guards against a connection that is used again after a partition although its streams
// have a gap.
func TestConnectionRecoversAfterPartition(t *testing.T) {
	faults := &Faults{}
	pool, addr := startPeer(t, faults, func(_ context.Context, s *ServerStream) { _ = s.End(&testMessage{}) })
	ctx := testContext(t)
	if err := pool.Call(ctx, addr, "run", &testMessage{}, nil); err != nil {
		t.Fatal(err)
	}
	faults.SetCut([]string{"b"})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if err := pool.Call(short, addr, "run", &testMessage{}, nil); err == nil {
		t.Fatal("call succeeded during the partition")
	}
	faults.SetCut(nil)
	for ctx.Err() == nil {
		if pool.Call(ctx, addr, "run", &testMessage{}, nil) == nil {
			return
		}
	}
	t.Fatal("connection did not recover after the partition")
}

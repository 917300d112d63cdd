package jkwire

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"
)

// shutdownLog records which requests a server has run.
type shutdownLog struct {
	mu  sync.Mutex
	ran map[string]bool
}

func (l *shutdownLog) handle(_ context.Context, s *ServerStream) {
	var in testMessage
	if err := s.Decode(&in); err != nil {
		_ = s.Fail("bad", err.Error())
		return
	}
	l.mu.Lock()
	l.ran[in.Text] = true
	l.mu.Unlock()
	time.Sleep(time.Duration(in.N) * time.Millisecond)
	_ = s.End(&in)
}

func (l *shutdownLog) hasRun(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[text]
}

// Guards against requests whose outcome is unknown because their peer stopped as planned:
// frames that it hadn't read are lost with the connection, and requests that it runs are
// cancelled by its end.
func TestPlannedShutdownLeavesNoOutcomeUnknown(t *testing.T) {
	const rounds, callers = 20, 8
	for range rounds {
		log := &shutdownLog{ran: map[string]bool{}}
		pool, server, addr := startServer(t, nil, log.handle)
		ctx := testContext(t)
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := 0; ; i++ {
					text := fmt.Sprintf("%d-%d", caller, i)
					var out testMessage
					err := pool.Call(ctx, addr, "work", &testMessage{Text: text, N: i % 3}, &out)
					var lost *ConnectionError
					switch {
					case err == nil && out.Text == text:
						continue
					case errors.As(err, &lost) && !lost.Sent:
						if log.hasRun(text) {
							t.Errorf("request %s has run and was reported as not sent: %v", text, err)
						}
					default:
						t.Errorf("request %s (run: %t): %v", text, log.hasRun(text), err)
					}
					return
				}
			}()
		}
		time.Sleep(5 * time.Millisecond)
		stop, cancel := context.WithTimeout(ctx, time.Second)
		server.Shutdown(stop)
		cancel()
		wg.Wait()
	}
}

// Guards against a shutdown that waits for ever for a peer that keeps a stream open.
func TestShutdownEndsAtItsTimeout(t *testing.T) {
	ended := make(chan struct{})
	pool, server, addr := startServer(t, nil, func(ctx context.Context, _ *ServerStream) {
		<-ctx.Done()
		close(ended)
	})
	ctx := testContext(t)
	s, err := pool.Open(ctx, addr, "work", &testMessage{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(20 * time.Millisecond)
	stop, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	server.Shutdown(stop)
	select {
	case <-ended:
	case <-ctx.Done():
		t.Fatal("the handler wasn't cancelled")
	}
	var lost *ConnectionError
	if _, err := s.Receive(ctx); !errors.As(err, &lost) || !lost.Sent {
		t.Errorf("stream of a handler that was cancelled: %v", err)
	}
}

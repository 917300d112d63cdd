package jkforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jkpipe"
)

// newFixtureInBubble returns a fixture for a bubble, whose connections are in memory.
func newFixtureInBubble(t *testing.T) *fixture {
	t.Helper()
	network := jkpipe.NewNetwork()
	f := newFixtureOn(t, network.Listen, pipeOptions(network))
	callers := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return network.Dial(ctx, "front") }}
	t.Cleanup(callers.CloseIdleConnections)
	f.callers = callers
	return f
}

// sendRetainedTurn sends a turn on a route that retains turns, and returns the
// duration of its response and the error that ended it.
func (f *fixture) sendRetainedTurn(t *testing.T) (took time.Duration, ended error) {
	t.Helper()
	f.endpoints["e1"].steps = []string{"events 1,2"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/chat/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(testRequest, "r1")
	began := time.Now()
	resp, err := f.callers.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return time.Since(began), err
}

// Guards against a caller that waits beyond its deadline because the turn can't be
// stored.
func TestUnkeptTurnBreaksOffAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureInBubble(t)
		f.memoryAccount.keep = func(ctx context.Context) error {
			<-ctx.Done()
			return &NoQuorumError{Operation: "keep", Needed: 2}
		}
		const wait = 3 * time.Second
		took, err := f.sendRetainedTurn(t)
		if err == nil {
			t.Error("the response ended without an error, although its turn wasn't kept")
		}
		if took != wait {
			t.Errorf("the response ended after %s, want %s", took, wait)
		}
	})
}

// Guards against a response that ends before its turn is stored: the caller would
// take the turn as complete, and a crash could still lose it.
func TestStreamEndsAfterTurnIsKept(t *testing.T) {
	f := newFixture(t)
	const delay = 400 * time.Millisecond
	f.memoryAccount.keep = func(context.Context) error {
		time.Sleep(delay)
		return nil
	}
	took, err := f.sendRetainedTurn(t)
	if err != nil || took < delay {
		t.Errorf("the response ended after %s with error %v, want %s and no error", took, err, delay)
	}
}

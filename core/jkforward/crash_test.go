package jkforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jktimer"
)

// Guards against requests that are refused because their endpoints were only reset, cut off
// or frozen, and against crashes that don't count because they showed only later.
func TestOnlyEndedEndpointsCount(t *testing.T) {
	refused := func() error { return fmt.Errorf("dial: %w", syscall.ECONNREFUSED) }
	for _, test := range []struct {
		name string
		dial func() error
		// later is what the registry shows afterwards.
		later func(w *CrashWatch, id string)
		want  bool
	}{
		{"refuses connections", refused, nil, true},
		{"only reset", func() error { return nil }, nil, false},
		{"silent", func() error { return context.DeadlineExceeded }, nil, false},
		{"silent, then restarted", func() error { return context.DeadlineExceeded }, func(w *CrashWatch, id string) { w.SetEndpoint(id, "10.0.0.1:80", 2) }, true},
		{"silent, then replaced", func() error { return context.DeadlineExceeded }, func(w *CrashWatch, id string) { w.SetEndpoint(id+"-new", id, 2) }, true},
		{"silent, then removed", func() error { return context.DeadlineExceeded }, func(w *CrashWatch, id string) { w.RemoveEndpoint(id) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := NewCrashWatch(jktimer.New(), jklog.Discard())
			w.dial = func(context.Context, string) error { return test.dial() }
			c := crashingCall(t, "content")
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				w.SetEndpoint(id, id, 1)
				c.sentAt = time.Now()
				w.brokeOff(c, id, id, true)
				if test.later != nil {
					test.later(w, id)
				}
			}
			refusal := w.refusal(c)
			if got := refusal != nil; got != test.want {
				t.Errorf("refused: %t, want %t", got, test.want)
			}
			if refusal != nil && (refusal.status != http.StatusServiceUnavailable || refusal.retryAfter <= 0) {
				t.Errorf("refused with %+v, want 503 and a time", *refusal)
			}
			if w.refusal(crashingCall(t, "other")) != nil {
				t.Error("another content is refused")
			}
		})
	}
}

// Guards against endpoints that are checked each time this host itself gives an exchange up.
func TestOwnCancellationChecksNoEndpoint(t *testing.T) {
	w := NewCrashWatch(jktimer.New(), jklog.Discard())
	w.dial = func(context.Context, string) error {
		t.Error("endpoint checked")
		return errors.New("unexpected")
	}
	began := time.Now()
	w.brokeOff(crashingCall(t, "content"), "i-1", "i-1", false)
	if took := time.Since(began); took >= endedWait {
		t.Errorf("the request waited for %s", took)
	}
}

// Guards against a request that ends the same endpoint again and again while the registry
// doesn't show that it was started again.
func TestRestartsThatTheRegistryMissesCount(t *testing.T) {
	w := NewCrashWatch(jktimer.New(), jklog.Discard())
	w.dial = func(context.Context, string) error { return fmt.Errorf("dial: %w", syscall.ECONNREFUSED) }
	w.SetEndpoint("i-1", "a", 1)
	c := crashingCall(t, "content")
	for n := range 3 {
		if w.refusal(c) != nil {
			t.Fatalf("refused after %d crashes", n)
		}
		c.sentAt = time.Now()
		w.brokeOff(c, "i-1", "a", true)
		// The endpoint's entry is written once more without a new start.
		w.SetEndpoint("i-1", "a", 1)
		time.Sleep(time.Millisecond)
	}
	if w.refusal(c) == nil {
		t.Error("not refused after three crashes of one endpoint")
	}
}

func crashingCall(t *testing.T, body string) *call {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://a.example/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	return &call{request: r, input: []byte(body)}
}

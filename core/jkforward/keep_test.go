package jkforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// chat sends a turn that is kept and returns how its answer ended, and when.
func (b *bed) chat(t *testing.T) (took time.Duration, ended error) {
	t.Helper()
	b.endpoints["e1"].steps = []string{"events 1,2"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+"/chat/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	req.Header.Set(testRequest, "r1")
	began := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return time.Since(began), err
}

// Guards against a caller that is held beyond its time by a turn that can't be kept.
func TestTurnThatIsNotKeptEndsWithItsTime(t *testing.T) {
	b := newBed(t)
	b.ledger.keep = func(ctx context.Context) error {
		<-ctx.Done()
		return &UncertainError{Operation: "keep", Needed: 2}
	}
	const wait = 3 * time.Second
	took, err := b.chat(t)
	if err == nil {
		t.Error("a turn that isn't kept looks complete")
	}
	if took < wait-100*time.Millisecond || took > wait+500*time.Millisecond {
		t.Errorf("the answer ended after %s, want %s", took, wait)
	}
}

// Guards against a turn that counts as complete before it is kept.
func TestAnswerEndsOnceItsTurnIsKept(t *testing.T) {
	b := newBed(t)
	const delay = 400 * time.Millisecond
	b.ledger.keep = func(context.Context) error {
		time.Sleep(delay)
		return nil
	}
	took, err := b.chat(t)
	if err != nil || took < delay {
		t.Errorf("the answer ended after %s with %v, want %s and no error", took, err, delay)
	}
}

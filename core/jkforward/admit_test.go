package jkforward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// continueTurn sends a turn that continues another one and returns the status of its answer.
func (f *fixture) continueTurn(t *testing.T) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.front.URL+"/chat/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "site.example"
	for name, value := range map[string]string{testRequest: "r1", testProgram: "p", testPrevious: "known"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against turns that are refused while copies answer late, since their reservations begin only
// once the chain is read.
func TestTokensAreReservedWhileAChainIsRead(t *testing.T) {
	f := newFixture(t)
	reserving := make(chan struct{})
	f.memoryAccount.holdReserve = func(context.Context) error {
		close(reserving)
		return nil
	}
	f.memoryAccount.chain = func(ctx context.Context) ([]byte, error) {
		select {
		case <-reserving:
			return []byte("earlier "), nil
		case <-ctx.Done():
			return nil, &NoQuorumError{Operation: "chain", Needed: 1}
		}
	}
	f.endpoints["e1"].steps = []string{"events 1,2"}
	status := f.continueTurn(t)
	if seen := f.endpoints["e1"].seen; status != http.StatusOK || len(seen) != 1 || !strings.HasSuffix(seen[0], `"earlier x"`) {
		t.Errorf("status is %d and the endpoint has seen %q, want 200 and the chain before the input", status, seen)
	}
}

// Guards against tokens that stay reserved for a turn that can't go on, and a refusal that waits for
// them.
func TestReservationBesideAChainThatIsNotFoundIsGivenBack(t *testing.T) {
	unknown, noQuorum := &UnknownTurnError{Request: "known"}, &NoQuorumError{Operation: "chain", Needed: 1}
	for _, c := range []struct {
		name       string
		chainErr   error
		reserveErr error
		early      bool
		status     int
		reserved   bool
	}{
		{name: "unknown turn", chainErr: unknown, status: 404, reserved: true},
		{name: "no quorum", chainErr: noQuorum, status: 503, reserved: true},
		{name: "no quorum for both", chainErr: unknown, reserveErr: noQuorum, status: 404},
		{name: "unknown soon", chainErr: unknown, early: true, status: 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			reserving := make(chan struct{})
			f.memoryAccount.chain = func(ctx context.Context) ([]byte, error) {
				if !c.early {
					select {
					case <-reserving:
					case <-ctx.Done():
					}
				}
				return nil, c.chainErr
			}
			f.memoryAccount.holdReserve = func(ctx context.Context) error {
				close(reserving)
				<-ctx.Done()
				return c.reserveErr
			}
			began := time.Now()
			if status := f.continueTurn(t); status != c.status {
				t.Errorf("status is %d, want %d", status, c.status)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("refused after %s, at the end of the time for the admission", took)
			}
			f.memoryAccount.mu.Lock()
			defer f.memoryAccount.mu.Unlock()
			if got := strings.Join(f.memoryAccount.settled, ""); (got == `"r1" 0 before the answer`) != c.reserved {
				t.Errorf("settled are %q", got)
			}
			if seen := f.endpoints["e1"].seen; len(seen) > 0 {
				t.Errorf("the endpoint has seen %q", seen)
			}
		})
	}
}

// Guards against a turn without budget that is held until its chain is read.
func TestSpentBudgetIsRefusedBeforeALateChain(t *testing.T) {
	f := newFixture(t)
	f.memoryAccount.reserveErr = &BudgetSpentError{Program: "p", Spent: 100, Budget: 100}
	ended := make(chan struct{})
	f.memoryAccount.chain = func(ctx context.Context) ([]byte, error) {
		<-ctx.Done()
		close(ended)
		return nil, &NoQuorumError{Operation: "chain", Needed: 1}
	}
	began := time.Now()
	if status := f.continueTurn(t); status != http.StatusPaymentRequired {
		t.Errorf("status is %d, want 402", status)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %s, at the end of the time for the admission", took)
	}
	<-ended
}

// Guards against connections that end without an answer at the end of a planned stop, which the process outlasts by 0.1 s.
func TestRefusalWaitsForCopiesUntilItsDeadlineAndTheEndOfAStopOnly(t *testing.T) {
	for name, within := range map[string]time.Duration{"stop": time.Second, "deadline": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			ended := make(chan struct{})
			defer close(ended)
			f.handler.Account.Release = func(ctx context.Context, _ Settlement) {
				if name == "stop" {
					f.handler.Stop.End()
				}
				select {
				case <-ctx.Done():
				case <-ended:
				}
			}
			f.memoryAccount.chain = func(ctx context.Context) ([]byte, error) {
				time.Sleep(2 * chainHeadStart)
				return nil, &UnknownTurnError{Request: "known"}
			}
			f.memoryAccount.holdReserve = func(ctx context.Context) error {
				<-ctx.Done()
				return nil
			}
			answered := make(chan int, 1)
			go func() { answered <- f.continueTurn(t) }()
			select {
			case status := <-answered:
				if status != http.StatusNotFound {
					t.Errorf("status is %d, want 404", status)
				}
			case <-time.After(within):
				t.Error("not answered")
			}
		})
	}
}

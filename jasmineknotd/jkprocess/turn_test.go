package jkprocess

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkchat"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// Guards against requests that succeed only if they enter through the program's
// home: each turn enters through another daemon, streamed and not, and a retried
// request gets the recorded answer.
func TestTurnsThroughAllDaemons(t *testing.T) {
	s := startSite(t, options{})
	for _, h := range s.hosts {
		p := s.create(h)
		s.noError(p.chatTurns(8))
		header, id := p.newHeaders()
		action := "deposit-" + h.name
		if outcome, r := p.payWithHeaders(action, header, id, callerTimeout); outcome != outcomeCompleted {
			t.Fatalf("deposit: %s", r)
		}
		if outcome, r := p.payWithHeaders(action, header, id, callerTimeout); outcome != outcomeCompleted || r.header.Get(jkapi.HeaderReplayed) != "true" {
			t.Fatalf("deposit again: %s", r)
		}
		p.requests = p.requests[:len(p.requests)-1] // the retry adds no turn
		s.noError(p.chatTurns(2))
		s.noError(p.checkHistory())
	}
	s.checkActions()
}

// Guards against the loss of history or of an answer when the home is killed
// between turns or within a stream.
func TestHomeKilled(t *testing.T) {
	for _, c := range []struct {
		name   string
		stream bool
	}{{"between turns", false}, {"within a stream", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, options{})
			home := s.hosts[0]
			p := s.create(home)
			s.noError(p.chatTurns(3))
			p.entry = 2 // enter through the other zone
			if c.stream {
				p.onFirstText = home.kill
			} else {
				home.kill()
			}
			s.noError(p.chat("go on", c.stream, 800))
			s.noError(p.chatTurns(2))
			s.noError(p.checkHistory())
			if home.running() {
				t.Fatal("the home was not killed")
			}
		})
	}
}

// Guards against a deposit that runs twice or is reported with a wrong outcome
// when its home is killed after the dispatch and the service's answer is lost.
// The caller retries through another zone.
func TestHomeKilledAfterDeposit(t *testing.T) {
	for _, c := range []struct {
		kind    jkstandin.ServiceFaultKind
		allowed []callerOutcome
	}{
		{jkstandin.ServiceCloseAfterRun, []callerOutcome{outcomeUnknown}},
		{jkstandin.ServiceHangAfterRun, []callerOutcome{outcomeUnknown}},
		{jkstandin.ServiceHangBeforeRun, []callerOutcome{outcomeUnknown}},
		{jkstandin.ServiceCloseBeforeRun, []callerOutcome{outcomeUnknown, outcomeNotRun}},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			s := startSite(t, options{})
			p := s.create(s.hosts[0])
			s.noError(p.chatTurns(2))
			s.setServiceFaults(jkstandin.ServiceFault{Kind: c.kind, Times: 1})
			p.entry = 2
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.awaitRequest()
				s.hosts[0].kill()
			}()
			outcome, r := p.pay("d1")
			<-done
			if !contains(c.allowed, outcome) {
				t.Errorf("the caller's outcome is %q (%s), allowed: %q", outcome, r, c.allowed)
			}
			s.setServiceFaults()
			s.noError(p.resume())
			s.noError(p.chatTurns(2))
			if outcome, r := p.pay("d2"); outcome != outcomeCompleted {
				t.Errorf("next deposit: %s", r)
			}
			s.noError(p.checkHistory())
			s.checkActions()
		})
	}
}

// awaitRequest waits until a service has received a request for an action. It
// runs in a goroutine of its own, so it may not call t.Fatal.
func (s *site) awaitRequest() {
	for range 500 {
		for _, p := range s.services {
			var a jkstandin.ServiceAccount
			if s.get(p.ready.Address+"/account", &a) == nil && a.Requests > 0 {
				return
			}
		}
		s.pause(10 * time.Millisecond)
	}
	s.t.Error("no service received a request within 5 s")
}

func contains(outcomes []callerOutcome, outcome callerOutcome) bool {
	for _, w := range outcomes {
		if w == outcome {
			return true
		}
	}
	return false
}

// Guards against a graceful stop that cuts off a request, runs it twice, leaves
// its outcome unknown or loses a program: hosts stop one after the other under
// load, and all programs continue with their tokens.
func TestGracefulStopUnderLoad(t *testing.T) {
	s := startSite(t, options{})
	s.setServiceFaults(jkstandin.ServiceFault{Kind: jkstandin.ServiceSlow, DelayMS: 150})
	stopCh := make(chan struct{})
	errs := make(chan error, 8)
	for i := range 8 {
		p := s.create(s.hosts[i%4])
		go func() { errs <- p.runLoad(i, stopCh) }()
	}
	s.pause(500 * time.Millisecond)
	for _, n := range []int{0, 2} {
		h := s.hosts[n]
		s.setExcluded(h, true)
		h.stop(12 * time.Second)
		s.pause(300 * time.Millisecond)
	}
	close(stopCh)
	for range 8 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if len(s.transportErrors) > 0 {
		t.Errorf("%d requests were cut off, the first: %s", len(s.transportErrors), s.transportErrors[0])
	}
	s.checkActions()
}

// runLoad runs turns and deposits until stopCh is closed. A deposit that did not run
// is sent again under a new request id, so a wrong not_run shows as a second run.
func (p *program) runLoad(n int, stopCh chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stopCh:
			return p.checkHistory()
		default:
		}
		if err := p.chat(fmt.Sprintf("step %d", i), i%2 == 0, 300); err != nil {
			return err
		}
		for try := 0; ; try++ {
			outcome, r := p.pay(fmt.Sprintf("d-%d-%d", n, i))
			if outcome == outcomeCompleted {
				break
			}
			if outcome != outcomeNotRun || try == 20 {
				return fmt.Errorf("deposit of program %s: %s\n%s", p.id, r, strings.Join(p.trace, "\n"))
			}
			p.s.pause(100 * time.Millisecond)
		}
	}
}

// Guards against a program that spends more than its budget when its home is
// killed: completed and lost attempts together stay within it, and the call that
// doesn't fit is refused as not_run.
func TestBudgetSurvivesTakeover(t *testing.T) {
	const budget = 20000
	s := startSite(t, options{desc: jksite.Site{Budget: budget}})
	p := s.create(s.hosts[0])
	spent := 0
	for n := 0; ; n++ {
		if n == 6 {
			s.hosts[0].kill()
		}
		request := p.chatRequest(fmt.Sprintf("step %d", n), false, 200)
		header, id := p.newHeaders()
		r := p.send(callerTimeout, "POST", "/v1/chat/completions", header, request)
		if r.problem.Type == jkproblem.TypeBudgetExhausted && r.outcome == jkprogram.OutcomeNotRun {
			break
		}
		s.noError(p.accept(request, id, r))
		var c jkchat.Completion
		s.noError(json.Unmarshal(r.body, &c))
		if spent += c.Usage.TotalTokens; spent > budget {
			t.Fatalf("%d tokens of %d were spent after %d turns", spent, budget, n+1)
		}
	}
	if len(p.requests) < 7 {
		t.Errorf("the budget ended before the takeover: %d turns, %d tokens", len(p.requests), spent)
	}
	s.noError(p.checkHistory())
}

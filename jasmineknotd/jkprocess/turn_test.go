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

// Guards against a path that serves a program only through its home: each turn
// enters through another daemon, streamed and not, and a repeated request gets
// the recorded answer.
func TestTurnsThroughAllDaemons(t *testing.T) {
	s := startSite(t, options{})
	for _, h := range s.hosts {
		p := s.create(h)
		s.noError(p.chats(8))
		header, id := p.headers()
		action := "deposit-" + h.name
		if word, r := p.payAs(action, header, id, patience); word != toldCompleted {
			t.Fatalf("deposit: %s", r)
		}
		if word, r := p.payAs(action, header, id, patience); word != toldCompleted || r.header.Get(jkapi.HeaderReplayed) != "true" {
			t.Fatalf("deposit again: %s", r)
		}
		p.requests = p.requests[:len(p.requests)-1] // the repetition is no turn
		s.noError(p.chats(2))
		s.noError(p.checkHistory())
	}
	s.checkActions()
}

// Guards against the loss of history or of an answer when the home dies between
// turns or within a stream.
func TestHomeKilled(t *testing.T) {
	for _, c := range []struct {
		name   string
		stream bool
	}{{"between turns", false}, {"within a stream", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, options{})
			home := s.hosts[0]
			p := s.create(home)
			s.noError(p.chats(3))
			p.entry = 2 // enter through the other zone
			if c.stream {
				p.onText = home.kill
			} else {
				home.kill()
			}
			s.noError(p.chat("go on", c.stream, 800))
			s.noError(p.chats(2))
			s.noError(p.checkHistory())
			if home.running() {
				t.Fatal("the home was not killed")
			}
		})
	}
}

// Guards against a deposit that runs twice or is reported wrongly when its home
// dies after the dispatch and the service's answer is lost. The caller retries
// through another zone.
func TestHomeKilledAfterDeposit(t *testing.T) {
	for _, c := range []struct {
		kind    jkstandin.ServiceFaultKind
		allowed []told
	}{
		{jkstandin.ServiceCloseAfterRun, []told{toldUnknown}},
		{jkstandin.ServiceHangAfterRun, []told{toldUnknown}},
		{jkstandin.ServiceHangBeforeRun, []told{toldUnknown}},
		{jkstandin.ServiceCloseBeforeRun, []told{toldUnknown, toldNotRun}},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			s := startSite(t, options{})
			p := s.create(s.hosts[0])
			s.noError(p.chats(2))
			s.serviceFault(jkstandin.ServiceFault{Kind: c.kind, Times: 1})
			p.entry = 2
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.awaitRequest()
				s.hosts[0].kill()
			}()
			word, r := p.pay("d1")
			<-done
			if !contains(c.allowed, word) {
				t.Errorf("the caller was told %q (%s), allowed: %q", word, r, c.allowed)
			}
			s.serviceFault()
			s.noError(p.resume())
			s.noError(p.chats(2))
			if word, r := p.pay("d2"); word != toldCompleted {
				t.Errorf("next deposit: %s", r)
			}
			s.noError(p.checkHistory())
			s.checkActions()
		})
	}
}

// awaitRequest waits until a service was asked for an action. It runs beside
// the test, so it doesn't end it.
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
	s.t.Error("no service was asked")
}

func contains(words []told, word told) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

// Guards against a planned stop that cuts off or doubles a request, leaves an
// outcome unknown or strands a program: hosts stop one after the other under
// load, and all programs go on with their tokens.
func TestGracefulStopUnderLoad(t *testing.T) {
	s := startSite(t, options{})
	s.serviceFault(jkstandin.ServiceFault{Kind: jkstandin.ServiceSlow, DelayMS: 150})
	over := make(chan struct{})
	errs := make(chan error, 8)
	for i := range 8 {
		p := s.create(s.hosts[i%4])
		go func() { errs <- p.load(i, over) }()
	}
	s.pause(500 * time.Millisecond)
	for _, n := range []int{0, 2} {
		h := s.hosts[n]
		s.closeTo(h, true)
		h.stop(12 * time.Second)
		s.pause(300 * time.Millisecond)
	}
	close(over)
	for range 8 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if len(s.broken) > 0 {
		t.Errorf("%d requests were cut off, the first: %s", len(s.broken), s.broken[0])
	}
	s.checkActions()
}

// load runs turns and deposits until over is closed. A deposit that did not run
// is asked for again under a new request id, which shows a wrong not_run as a
// second run.
func (p *program) load(n int, over chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-over:
			return p.checkHistory()
		default:
		}
		if err := p.chat(fmt.Sprintf("step %d", i), i%2 == 0, 300); err != nil {
			return err
		}
		for try := 0; ; try++ {
			word, r := p.pay(fmt.Sprintf("d-%d-%d", n, i))
			if word == toldCompleted {
				break
			}
			if word != toldNotRun || try == 20 {
				return fmt.Errorf("deposit of program %s: %s\n%s", p.id, r, strings.Join(p.trace, "\n"))
			}
			p.s.pause(100 * time.Millisecond)
		}
	}
}

// Guards against a program that spends more than its budget when its home dies:
// all completed and lost attempts together stay below it, and the call that does
// not fit is refused as not_run.
func TestBudgetSurvivesTakeover(t *testing.T) {
	const budget = 20000
	s := startSite(t, options{desc: jksite.Site{Budget: budget}})
	p := s.create(s.hosts[0])
	spent := 0
	for n := 0; ; n++ {
		if n == 6 {
			s.hosts[0].kill()
		}
		request := p.request(fmt.Sprintf("step %d", n), false, 200)
		header, id := p.headers()
		r := p.send(patience, "POST", "/v1/chat/completions", header, request)
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

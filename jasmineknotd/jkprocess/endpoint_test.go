package jkprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// editSection writes a section as the site's description has it through a host.
func (s *site) editSection(h *host, section, id string) error {
	return jksite.WriteSection(context.Background(), s.client, h.ready.HTTP, section, s.desc.Sections()[section], id)
}

// Guards against an endpoint that gets new work although it is drained, and
// against one whose running work is cut off: from 3 s after the edit no engine
// request and no action arrives there.
func TestEndpointLeaves(t *testing.T) {
	s := startSite(t, options{intervals: map[string]string{}})
	stopCh := make(chan struct{})
	errs := make(chan error, 10)
	for i := range 4 {
		// About 4 s each, so they run on both engines while one is drained.
		p := s.create(s.hosts[i])
		go func() { errs <- p.chat("a long story", true, 5000) }()
	}
	for i := range 6 {
		p := s.create(s.hosts[i%4])
		go func() { errs <- p.runLoad(i, stopCh) }()
	}
	s.pause(500 * time.Millisecond)
	engine, service := s.engines[0], s.services[0]
	for i := range s.desc.Endpoints {
		if id := s.desc.Endpoints[i].ID; id == engine.name || id == service.name {
			s.desc.Endpoints[i].State = "leaving"
		}
	}
	s.noError(s.editSection(s.hosts[3], "endpoints", "leave"))
	s.pause(3 * time.Second)
	requests := func() int {
		var a jkstandin.ServiceAccount
		s.noError(s.get(service.ready.Address+"/account", &a))
		return s.engineAccount(engine).Accepted*1000000 + a.Requests
	}
	before := requests()
	s.pause(2 * time.Second)
	if after := requests(); after != before {
		t.Errorf("drained endpoints got work after 3 s: %d, then %d", before, after)
	}
	close(stopCh)
	for range 10 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if a := s.engineAccount(engine); a.Closed > 0 {
		t.Errorf("%d running requests were cut off at the drained engine", a.Closed)
	}
	s.checkActions()
}

// Guards against a request that crashes one engine after the other: sent again
// under new ids it causes at most two crashes and is quarantined at all hosts.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := startSite(t, options{zones: []string{"a", "b", "c"}, hostsPerZone: 1})
	s.crashUntilQuarantined()
}

// Guards against the quarantine of requests that only ran at the same time as the
// one that crashed the engine.
func TestBystandersOfCrash(t *testing.T) {
	s := startSite(t, options{zones: []string{"a", "b", "c"}, hostsPerZone: 1})
	others := make(chan error, 3)
	for i, h := range s.hosts {
		p := s.create(h)
		go func() {
			for n := range 20 {
				if err := p.chat(fmt.Sprintf("program %d, step %d", i, n), false, 100); err != nil {
					others <- err
					return
				}
			}
			others <- nil
		}()
	}
	s.crashUntilQuarantined()
	for range s.hosts {
		if err := <-others; err != nil {
			t.Error(err)
		}
	}
}

// crashUntilQuarantined sends a request that crashes engines until all hosts refuse it.
func (s *site) crashUntilQuarantined() {
	t := s.t
	for _, e := range s.engines {
		s.setFaults(e, jkstandin.EngineFaults{CrashMarker: "POISON", CrashDownMS: 10000})
	}
	bad := s.create(s.hosts[0])
	quarantined := map[string]bool{}
	s.within(12*time.Second, "quarantine at all hosts", func() error {
		for _, h := range s.hosts {
			header, _ := bad.newHeaders()
			r := s.do(h, "POST", "/v1/chat/completions", header, bad.chatRequest("POISON", false, 20), nil)
			if r.outcome == jkprogram.OutcomeCompleted {
				t.Fatalf("the marked request completed: %s", r)
			}
			if r.problem.Type == jkproblem.TypeQuarantined && r.outcome == jkprogram.OutcomeNotRun {
				quarantined[h.name] = true
			}
		}
		// The quarantine is by content, not by program: other homes refuse it as well.
		for _, h := range s.hosts {
			status, err := s.status(h)
			if err != nil {
				return err
			}
			if len(status.Quarantined) == 0 {
				return fmt.Errorf("%s has no quarantine", h.name)
			}
		}
		if len(quarantined) < len(s.hosts) {
			return fmt.Errorf("refused by %v", quarantined)
		}
		return nil
	})
	for _, h := range s.hosts {
		p := s.create(h)
		header, _ := p.newHeaders()
		if r := s.do(h, "POST", "/v1/chat/completions", header, p.chatRequest("POISON", false, 20), nil); r.problem.Type != jkproblem.TypeQuarantined {
			t.Errorf("another program at %s: %s", h.name, r)
		}
	}
	crashes := 0
	for _, e := range s.engines {
		s.within(5*time.Second, "the engine's restart", func() error {
			var a jkstandin.EngineAccount
			err := s.get(e.ready.Address+"/account", &a)
			crashes += a.Crashes
			return err
		})
	}
	if crashes > 2 {
		t.Errorf("the request crashed engines %d times", crashes)
	}
}

// Guards against tools that hang and programs that loop without end: the limits
// of the configuration end them, and the engines' cache is released within 5 s.
func TestLimitsEndPrograms(t *testing.T) {
	s := startSite(t, options{desc: jksite.Site{ServiceTimeout: "1s", MaxTurns: 6, MaxDuration: "6s"}})
	hung := s.create(s.hosts[1])
	s.noError(hung.chatTurns(1))
	s.setServiceFaults(jkstandin.ServiceFault{Kind: jkstandin.ServiceHangBeforeRun, Times: 1})
	begin := clock.Now()
	if outcome, r := hung.pay("d1"); outcome != outcomeUnknown || clock.Now().Sub(begin) > 3*time.Second {
		t.Errorf("hanging tool after %s: %s", clock.Now().Sub(begin), r)
	}
	loop := s.create(s.hosts[2])
	s.noError(loop.chatTurns(6))
	request := loop.chatRequest("again", false, 5)
	header, _ := loop.newHeaders()
	if r := loop.send(time.Second, "POST", "/v1/chat/completions", header, request); r.problem.Type != jkproblem.TypeProgramEnded || r.outcome != jkprogram.OutcomeNotRun {
		t.Errorf("turn beyond the limit: %s", r)
	}
	s.awaitReleased(loop.id)
	long := s.create(s.hosts[0])
	header, _ = long.newHeaders()
	begin = clock.Now()
	r := s.do(s.hosts[0], "POST", "/v1/chat/completions", header, long.chatRequest("for ever", true, 30000), nil)
	if took := clock.Now().Sub(begin); r.outcome == jkprogram.OutcomeCompleted || took > 9*time.Second {
		t.Errorf("program past its duration after %s: %s", took, r)
	}
	s.awaitReleased(long.id)
	s.within(5*time.Second, "engines idle", s.checkIdle)
	s.setServiceFaults()
	s.checkActions()
}

func (s *site) checkIdle() error {
	_, running, err := s.heldTokens("")
	if err == nil && running > 0 {
		err = fmt.Errorf("%d requests run", running)
	}
	return err
}

// Guards against engine cache that stays held when a program ends after its home
// was killed: cancelled by its caller through another host, or ended by its idle
// limit without a caller.
func TestReleaseAfterHomeDied(t *testing.T) {
	s := startSite(t, options{desc: jksite.Site{IdleLimit: "8s"}})
	cancelled, left := s.create(s.hosts[0]), s.create(s.hosts[0])
	s.noError(cancelled.chatTurns(3))
	s.noError(left.chatTurns(3))
	end := clock.Now().Add(8 * time.Second)
	if tokens, _, err := s.heldTokens(left.id); err != nil || tokens == 0 {
		t.Fatalf("no cache to release: %d, %v", tokens, err)
	}
	s.hosts[0].kill()
	s.within(callerTimeout, "cancel", func() error {
		r := s.do(s.hosts[2], "POST", "/v1/programs/"+cancelled.id+"/cancel", map[string]string{jkapi.HeaderToken: cancelled.token}, nil, nil)
		if r.err != nil || r.status != 200 {
			return fmt.Errorf("%s", r)
		}
		return nil
	})
	s.awaitReleased(cancelled.id)
	s.pause(end.Sub(clock.Now()))
	s.awaitReleased(left.id)
}

// Guards against answers that are mixed up, truncated or lost when they come late,
// twice, out of order, in pieces or after their caller has disconnected.
func TestLateAnswers(t *testing.T) {
	s := startSite(t, options{})
	for _, e := range s.engines {
		s.setFaults(e, jkstandin.EngineFaults{LateMS: 10000, CutAfterTokens: 30, CutTimes: 3})
	}
	errs := make(chan error, 8)
	for i := range 8 {
		p := s.create(s.hosts[i%4])
		go func() { errs <- p.runLateAnswers(i) }()
	}
	for range 8 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}

// runLateAnswers requests each turn by a caller that disconnects before the answer
// and by two more callers at once, through different hosts. The two must get the
// same bytes.
func (p *program) runLateAnswers(n int) error {
	for turn := range 4 {
		request := p.chatRequest(fmt.Sprintf("turn %d", turn), turn%2 == n%2, 60)
		header, id := p.newHeaders()
		abandoned := map[string]string{jkapi.HeaderDeadline: "150"}
		for k, v := range header {
			abandoned[k] = v
		}
		p.s.do(p.nextHost(), "POST", "/v1/chat/completions", abandoned, request, nil)
		second := make(chan reply, 1)
		other := p.nextHost()
		go func() { second <- p.s.do(other, "POST", "/v1/chat/completions", header, request, nil) }()
		r := p.send(callerTimeout, "POST", "/v1/chat/completions", header, request)
		if err := p.accept(request, id, r); err != nil {
			return err
		}
		if b := <-second; b.err == nil && b.outcome == jkprogram.OutcomeCompleted && answerText(b) != answerText(r) {
			return fmt.Errorf("request %s of program %s: two answers, %.60q and %.60q", id, p.id, answerText(b), answerText(r))
		}
	}
	return p.checkHistory()
}

func answerText(r reply) string {
	if r.text != "" {
		return r.text
	}
	var c struct {
		Choices []json.RawMessage `json:"choices"`
	}
	_ = json.Unmarshal(r.body, &c)
	var b strings.Builder
	for _, choice := range c.Choices {
		b.Write(choice)
	}
	return b.String()
}

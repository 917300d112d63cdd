package jkprocess

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jksite"
	"jasmineknot.example/core/jkstandin"
)

// setPlatformFaults replaces the named faults of the platform.
func (s *site) setPlatformFaults(f map[string]any) {
	s.t.Helper()
	s.setFaults(s.platform, f)
}

// editPriority writes the section priorities through a host, with a weight that
// depends on n.
func (s *site) editPriority(h *host, n int) error {
	entries := map[string]any{"interactive": map[string]any{"level": 0, "weight": 11 + n}}
	return jksite.WriteSection(context.Background(), s.client, h.ready.HTTP, "priorities", entries, fmt.Sprintf("edit-%d", n))
}

// revisions returns the revision of each running host.
func (s *site) revisions() (map[string]uint64, error) {
	out := map[string]uint64{}
	for _, h := range s.hosts {
		if !h.running() {
			continue
		}
		status, err := s.status(h)
		if err != nil {
			return out, err
		}
		out[h.name] = status.Revision
	}
	return out, nil
}

func (s *site) checkRevision(want uint64) error {
	all, err := s.revisions()
	for name, r := range all {
		if err == nil && r != want {
			err = fmt.Errorf("%s has revision %d of %d", name, r, want)
		}
	}
	return err
}

// Guards against an accepted configuration that needs more than 4 s to reach
// every host, with default intervals.
func TestConfigurationInForce(t *testing.T) {
	s := startSite(t, options{zones: []string{"a", "b", "c"}, intervals: map[string]string{}})
	for n := range 4 {
		s.noError(s.editPriority(s.hosts[n], n))
		want := uint64(7 + n)
		s.within(4*time.Second, "configuration in force", func() error { return s.checkRevision(want) })
	}
}

// Guards against a platform outage that stops programs or makes a restarted host
// revert its configuration, and against an edit that is written twice or not at
// all after a lost answer.
func TestPlatformFaults(t *testing.T) {
	s := startSite(t, options{})
	p := s.create(s.hosts[0])
	s.noError(s.editPriority(s.hosts[0], 0))
	s.within(4*time.Second, "edit", func() error { return s.checkRevision(7) })

	s.setPlatformFaults(map[string]any{"down": true})
	s.noError(p.chatTurns(4))
	if outcome, r := p.pay("down"); outcome != outcomeCompleted {
		t.Errorf("deposit without the platform: %s", r)
	}
	if err := s.editPriority(s.hosts[1], 1); err == nil {
		t.Error("an edit was accepted without the platform")
	}
	restarted := s.hosts[3]
	restarted.stop(10 * time.Second)
	restarted.start()
	s.within(10*time.Second, "configuration from peers", func() error { return s.checkRevision(7) })
	s.noError(p.chatTurns(2))

	s.setPlatformFaults(map[string]any{"down": false, "slow_ms": 400})
	s.noError(p.chatTurns(2))
	s.within(10*time.Second, "edit at a slow platform", func() error { return s.editPriority(s.hosts[2], 2) })
	s.within(6*time.Second, "edit in force", func() error { return s.checkRevision(8) })

	s.setPlatformFaults(map[string]any{"slow_ms": 0, "lose_answers": 3})
	s.within(10*time.Second, "edit with a lost answer", func() error { return s.editPriority(s.hosts[2], 3) })
	s.within(4*time.Second, "edit in force", func() error { return s.checkRevision(9) })

	s.setPlatformFaults(map[string]any{"lose_answers": 0})
	old := s.hosts[0]
	old.kill()
	s.noError(p.chatTurns(3))
	old.start()
	s.awaitReady()
	s.noError(s.checkRevision(9))
	s.noError(p.chatTurns(4))
	s.noError(p.checkHistory())
	s.checkActions()
}

// Guards against a takeover that loses history or repeats a deposit when the
// platform's answer to the record of the ended home is lost.
func TestTakeoverWithLostAnswers(t *testing.T) {
	s := startSite(t, options{})
	p := s.create(s.hosts[0])
	s.noError(p.chatTurns(2))
	s.setPlatformFaults(map[string]any{"lose_answers": 1000000})
	s.hosts[0].kill()
	p.entry = 2
	if outcome, r := p.pay("d1"); outcome == outcomeCompleted {
		t.Errorf("deposit under a former home's token: %s", r)
	}
	s.noError(p.resume())
	s.noError(p.chatTurns(2))
	s.setPlatformFaults(map[string]any{"lose_answers": 0})
	s.noError(p.checkHistory())
	s.checkActions()
}

// Guards against failures that show only in combination: two random faults at a
// time while eight programs run. No action runs twice, none is lost without a
// reported outcome, and no answer has a byte of another one.
func TestRandomFaults(t *testing.T) {
	for seed := range *flagSeeds {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			s := startSite(t, options{desc: jksite.Site{MaxTurns: 4000, Budget: 50000000}})
			r := rand.New(rand.NewSource(int64(seed + 1)))
			stopCh := make(chan struct{})
			var callers sync.WaitGroup
			stop := sync.OnceFunc(func() {
				close(stopCh)
				callers.Wait()
			})
			t.Cleanup(stop)
			for i := range 8 {
				p := s.create(s.hosts[i%4])
				callers.Add(1)
				go func() {
					defer callers.Done()
					if err := p.runUnderFaults(i, stopCh); err != nil {
						t.Error(err)
					}
				}()
			}
			for range 3 {
				first, second := r.Intn(len(randomFaults)), r.Intn(len(randomFaults)-1)
				if second >= first {
					second++
				}
				target, otherTarget := s.hosts[r.Intn(4)], s.hosts[r.Intn(4)]
				t.Logf("%s at %s, %s at %s", randomFaults[first].name, target.name, randomFaults[second].name, otherTarget.name)
				randomFaults[first].begin(s, target)
				randomFaults[second].begin(s, otherTarget)
				s.pause(time.Duration(1500+r.Intn(1500)) * time.Millisecond)
				randomFaults[first].end(s, target)
				randomFaults[second].end(s, otherTarget)
				s.awaitReady()
				s.pause(time.Second)
			}
			stop()
			s.checkActions()
		})
	}
}

// randomFaults are the faults that TestRandomFaults combines.
var randomFaults = []struct {
	name       string
	begin, end func(s *site, h *host)
}{
	{"kill", func(_ *site, h *host) { h.kill() }, func(_ *site, h *host) {
		if !h.running() {
			h.start()
		}
	}},
	{"freeze", func(_ *site, h *host) { h.freeze() }, func(_ *site, h *host) { h.resume() }},
	{
		"platform down", func(s *site, _ *host) { s.setPlatformFaults(map[string]any{"down": true}) },
		func(s *site, _ *host) { s.setPlatformFaults(map[string]any{"down": false}) },
	},
	{
		"lost platform answers", func(s *site, _ *host) { s.setPlatformFaults(map[string]any{"lose_answers": 20}) },
		func(s *site, _ *host) { s.setPlatformFaults(map[string]any{"lose_answers": 0}) },
	},
	{"lost service answers", func(s *site, _ *host) {
		s.setServiceFaults(jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseAfterRun, Every: 3},
			jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseBeforeRun, Every: 3})
	}, func(s *site, _ *host) { s.setServiceFaults() }},
	{
		"cut streams", func(s *site, _ *host) {
			s.setEngineFaults(jkstandin.EngineFaults{CutAfterTokens: 25, CutTimes: 5, LateMS: 1000})
		},
		func(s *site, _ *host) { s.setEngineFaults(jkstandin.EngineFaults{}) },
	},
}

func (s *site) setEngineFaults(f jkstandin.EngineFaults) {
	for _, e := range s.engines {
		s.setFaults(e, f)
	}
}

var errNoAnswer = errors.New("no answer")

// runUnderFaults runs turns and deposits during faults until stopCh is closed. After
// an unknown outcome or a conflict it requests a new token, as a caller does.
func (p *program) runUnderFaults(n int, stopCh chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-stopCh:
			return p.checkHistory()
		default:
		}
		text := fmt.Sprintf("program %d, step %d", n, i)
		if err := p.chat(text, i%2 == 0, 60); err != nil {
			// A takeover records a deposit as a turn if it was announced to the
			// copies, even if the former home then refused it.
			if err := p.resume(); err != nil {
				return err
			}
			if again := p.chat(text, i%2 == 0, 60); again != nil {
				return errors.Join(err, again)
			}
		}
		action := fmt.Sprintf("d-%d-%d", n, i)
		outcome, r := p.pay(action)
		switch {
		case outcome == "":
			return fmt.Errorf("deposit %s: %w: %s\n%s", action, errNoAnswer, r, strings.Join(p.trace, "\n"))
		case outcome == outcomeUnknown, outcome == outcomeCompleted && r.token == "":
			if err := p.resume(); err != nil {
				return err
			}
		case outcome != outcomeCompleted && outcome != outcomeNotRun:
			text, _ := json.Marshal(r.problem)
			return fmt.Errorf("deposit %s: outcome %q: %s", action, outcome, text)
		}
	}
}

// Guards against concurrent edits of several teams that overwrite each other, are
// applied twice or are lost: the revision rises by the number of accepted edits.
func TestConcurrentEdits(t *testing.T) {
	s := startSite(t, options{})
	sections := s.desc.Sections()
	accepted := make(chan string, 16)
	var editors sync.WaitGroup
	for i, name := range []string{"priorities", "priorities", "models", "payments"} {
		editors.Add(1)
		go func() {
			defer editors.Done()
			entries := sections[name].(map[string]any)
			for n := range 3 {
				changed := map[string]any{}
				for id, e := range entries {
					entry := map[string]any{}
					for k, v := range e.(map[string]any) {
						entry[k] = v
					}
					switch name {
					case "priorities":
						entry["weight"] = 20 + 10*i + n
					case "models":
						entry["replicas"] = 2 + n
					case "payments":
						entry["timeout"] = fmt.Sprintf("%ds", 11+n)
					}
					changed[id] = entry
				}
				err := jksite.WriteSection(context.Background(), s.client, s.hosts[i].ready.HTTP, name, changed, fmt.Sprintf("edit-%d-%d", i, n))
				if err == nil {
					accepted <- name
				} else if name != "priorities" {
					t.Errorf("edit of %s, which nobody else edits: %v", name, err)
				}
			}
		}()
	}
	editors.Wait()
	n := len(accepted)
	s.within(4*time.Second, "all edits in force", func() error { return s.checkRevision(uint64(6 + n)) })
	t.Logf("%d of 12 edits were accepted", n)
}

// Guards against a deposit by Idempotency-Key that runs twice when it is sent
// through several hosts, when the platform's answer to its claim is lost or when
// the host of the claim is killed, and against one that runs without a claim.
func TestClaims(t *testing.T) {
	s := startSite(t, options{})
	pay := func(n int, action string) (callerOutcome, reply) {
		p := &program{s: s, entry: n}
		return p.payWithHeaders(action, map[string]string{jkapi.HeaderIdempotency: "key-" + action}, "", 6*time.Second)
	}
	for n := range s.hosts {
		if outcome, r := pay(n, "plain"); outcome != outcomeCompleted {
			t.Errorf("through host %d: %s", n, r)
		}
	}
	s.setPlatformFaults(map[string]any{"lose_answers": 1})
	if outcome, r := pay(0, "lost"); outcome != outcomeCompleted {
		t.Errorf("lost answer: %s", r)
	}
	s.setPlatformFaults(map[string]any{"lose_answers": 0, "down": true})
	if outcome, r := pay(1, "down"); outcome == outcomeCompleted {
		t.Errorf("without the platform: %s", r)
	}
	if runs := s.serviceActions()["down"].Runs; runs != 0 {
		t.Errorf("a deposit without a claim ran %d times", runs)
	}
	s.setPlatformFaults(map[string]any{"down": false})
	s.setServiceFaults(jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseAfterRun, Times: 1})
	if outcome, r := pay(2, "died"); outcome != outcomeUnknown {
		t.Errorf("answer of the service lost: %s", r)
	}
	s.hosts[2].kill()
	if outcome, r := pay(3, "died"); outcome != outcomeUnknown {
		t.Errorf("host of the claim died: %s", r)
	}
	s.checkActions()
}

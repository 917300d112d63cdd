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

// setPlatform replaces the named faults of the platform.
func (s *site) setPlatform(f map[string]any) {
	s.t.Helper()
	s.faults(s.platform, f)
}

// priority puts a changed section into force and returns the revision that a
// host then has.
func (s *site) priority(h *host, n int) error {
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

func (s *site) atRevision(want uint64) error {
	all, err := s.revisions()
	for name, r := range all {
		if err == nil && r != want {
			err = fmt.Errorf("%s has revision %d of %d", name, r, want)
		}
	}
	return err
}

// Guards against an accepted configuration that takes longer than 4 s to be in
// force at every host, with default intervals.
func TestConfigurationInForce(t *testing.T) {
	s := startSite(t, options{zones: []string{"a", "b", "c"}, intervals: map[string]string{}})
	for n := range 4 {
		s.noError(s.priority(s.hosts[n], n))
		want := uint64(7 + n)
		s.within(4*time.Second, "configuration in force", func() error { return s.atRevision(want) })
	}
}

// Guards against a platform outage that stops programs, makes a restarted host
// revert its configuration, or writes an edit twice or not at all after a lost
// answer.
func TestPlatformFaults(t *testing.T) {
	s := startSite(t, options{})
	p := s.create(s.hosts[0])
	s.noError(s.priority(s.hosts[0], 0))
	s.within(4*time.Second, "edit", func() error { return s.atRevision(7) })

	s.setPlatform(map[string]any{"down": true})
	s.noError(p.chats(4))
	if word, r := p.pay("down"); word != toldCompleted {
		t.Errorf("deposit without the platform: %s", r)
	}
	if err := s.priority(s.hosts[1], 1); err == nil {
		t.Error("an edit was accepted without the platform")
	}
	restarted := s.hosts[3]
	restarted.stop(10 * time.Second)
	restarted.start()
	s.within(10*time.Second, "configuration from peers", func() error { return s.atRevision(7) })
	s.noError(p.chats(2))

	s.setPlatform(map[string]any{"down": false, "slow_ms": 400})
	s.noError(p.chats(2))
	s.within(10*time.Second, "edit at a slow platform", func() error { return s.priority(s.hosts[2], 2) })
	s.within(6*time.Second, "edit in force", func() error { return s.atRevision(8) })

	s.setPlatform(map[string]any{"slow_ms": 0, "lose_answers": 3})
	s.within(10*time.Second, "edit with a lost answer", func() error { return s.priority(s.hosts[2], 3) })
	s.within(4*time.Second, "edit in force", func() error { return s.atRevision(9) })

	s.setPlatform(map[string]any{"lose_answers": 0})
	old := s.hosts[0]
	old.kill()
	s.noError(p.chats(3))
	old.start()
	s.awaitReady()
	s.noError(s.atRevision(9))
	s.noError(p.chats(4))
	s.noError(p.checkHistory())
	s.checkActions()
}

// Guards against a takeover that loses history or repeats a deposit when the
// platform loses the answer to the record of the ended home.
func TestTakeoverWithLostAnswers(t *testing.T) {
	s := startSite(t, options{})
	p := s.create(s.hosts[0])
	s.noError(p.chats(2))
	s.setPlatform(map[string]any{"lose_answers": 1000000})
	s.hosts[0].kill()
	p.entry = 2
	if word, r := p.pay("d1"); word == toldCompleted {
		t.Errorf("deposit under a former home's token: %s", r)
	}
	s.noError(p.resume())
	s.noError(p.chats(2))
	s.setPlatform(map[string]any{"lose_answers": 0})
	s.noError(p.checkHistory())
	s.checkActions()
}

// Guards against failures that only show together: two random ones at a time
// beside eight programs. No action runs twice, none is lost without a word, and
// no answer has a foreign byte.
func TestRandomFaults(t *testing.T) {
	for seed := range *flagSeeds {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			s := startSite(t, options{desc: jksite.Site{MaxTurns: 4000, Budget: 50000000}})
			r := rand.New(rand.NewSource(int64(seed + 1)))
			over := make(chan struct{})
			var callers sync.WaitGroup
			stop := sync.OnceFunc(func() {
				close(over)
				callers.Wait()
			})
			t.Cleanup(stop)
			for i := range 8 {
				p := s.create(s.hosts[i%4])
				callers.Add(1)
				go func() {
					defer callers.Done()
					if err := p.endure(i, over); err != nil {
						t.Error(err)
					}
				}()
			}
			for range 3 {
				first, second := r.Intn(len(faults)), r.Intn(len(faults)-1)
				if second >= first {
					second++
				}
				target, beside := s.hosts[r.Intn(4)], s.hosts[r.Intn(4)]
				t.Logf("%s at %s, %s at %s", faults[first].name, target.name, faults[second].name, beside.name)
				faults[first].begin(s, target)
				faults[second].begin(s, beside)
				s.pause(time.Duration(1500+r.Intn(1500)) * time.Millisecond)
				faults[first].end(s, target)
				faults[second].end(s, beside)
				s.awaitReady()
				s.pause(time.Second)
			}
			stop()
			s.checkActions()
		})
	}
}

// faults are the failures of the random test.
var faults = []struct {
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
		"platform down", func(s *site, _ *host) { s.setPlatform(map[string]any{"down": true}) },
		func(s *site, _ *host) { s.setPlatform(map[string]any{"down": false}) },
	},
	{
		"lost platform answers", func(s *site, _ *host) { s.setPlatform(map[string]any{"lose_answers": 20}) },
		func(s *site, _ *host) { s.setPlatform(map[string]any{"lose_answers": 0}) },
	},
	{"lost service answers", func(s *site, _ *host) {
		s.serviceFault(jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseAfterRun, Every: 3},
			jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseBeforeRun, Every: 3})
	}, func(s *site, _ *host) { s.serviceFault() }},
	{
		"cut streams", func(s *site, _ *host) {
			s.engineFaults(jkstandin.EngineFaults{CutAfterTokens: 25, CutTimes: 5, LateMS: 1000})
		},
		func(s *site, _ *host) { s.engineFaults(jkstandin.EngineFaults{}) },
	},
}

func (s *site) engineFaults(f jkstandin.EngineFaults) {
	for _, e := range s.engines {
		s.faults(e, f)
	}
}

var errLost = errors.New("no answer")

// endure runs turns and deposits through failures until over is closed. After an
// unknown outcome or a conflict it asks for a new token, as a caller does.
func (p *program) endure(n int, over chan struct{}) error {
	for i := 0; ; i++ {
		select {
		case <-over:
			return p.checkHistory()
		default:
		}
		text := fmt.Sprintf("program %d, step %d", n, i)
		if err := p.chat(text, i%2 == 0, 60); err != nil {
			// A takeover records a deposit that was announced to the copies as
			// a turn, even if the former home then refused it.
			if err := p.resume(); err != nil {
				return err
			}
			if again := p.chat(text, i%2 == 0, 60); again != nil {
				return errors.Join(err, again)
			}
		}
		action := fmt.Sprintf("d-%d-%d", n, i)
		word, r := p.pay(action)
		switch {
		case word == "":
			return fmt.Errorf("deposit %s: %w: %s\n%s", action, errLost, r, strings.Join(p.trace, "\n"))
		case word == toldUnknown, word == toldCompleted && r.token == "":
			if err := p.resume(); err != nil {
				return err
			}
		case word != toldCompleted && word != toldNotRun:
			text, _ := json.Marshal(r.problem)
			return fmt.Errorf("deposit %s: told %q: %s", action, word, text)
		}
	}
}

// Guards against edits of several teams at once that overwrite each other, are
// applied twice or are lost: the revisions rise by the accepted edits.
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
	s.within(4*time.Second, "all edits in force", func() error { return s.atRevision(uint64(6 + n)) })
	t.Logf("%d of 12 edits were accepted", n)
}

// Guards against a deposit by Idempotency-Key that runs twice when it is sent
// through two hosts, when the platform loses the claim's answer or its host dies,
// and against one that runs without a claim.
func TestClaims(t *testing.T) {
	s := startSite(t, options{})
	pay := func(n int, action string) (told, reply) {
		p := &program{s: s, entry: n}
		return p.payAs(action, map[string]string{jkapi.HeaderIdempotency: "key-" + action}, "", 6*time.Second)
	}
	for n := range s.hosts {
		if word, r := pay(n, "plain"); word != toldCompleted {
			t.Errorf("through host %d: %s", n, r)
		}
	}
	s.setPlatform(map[string]any{"lose_answers": 1})
	if word, r := pay(0, "lost"); word != toldCompleted {
		t.Errorf("lost answer: %s", r)
	}
	s.setPlatform(map[string]any{"lose_answers": 0, "down": true})
	if word, r := pay(1, "down"); word == toldCompleted {
		t.Errorf("without the platform: %s", r)
	}
	if runs := s.account()["down"].Runs; runs != 0 {
		t.Errorf("a deposit without a claim ran %d times", runs)
	}
	s.setPlatform(map[string]any{"down": false})
	s.serviceFault(jkstandin.ServiceFault{Kind: jkstandin.ServiceCloseAfterRun, Times: 1})
	if word, r := pay(2, "died"); word != toldUnknown {
		t.Errorf("answer of the service lost: %s", r)
	}
	s.hosts[2].kill()
	if word, r := pay(3, "died"); word != toldUnknown {
		t.Errorf("host of the claim died: %s", r)
	}
	s.checkActions()
}

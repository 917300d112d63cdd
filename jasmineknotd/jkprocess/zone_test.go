package jkprocess

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"jasmineknot.example/core/jkapi"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jkstandin"
)

// Guards against a zone that stops serving when it is partitioned from the other
// zones and from the platform, against an undetected fork of a history, and
// against a deposit that runs on both sides.
func TestZoneCutOff(t *testing.T) {
	s := startSite(t, options{})
	inside := s.create(s.hosts[0])
	s.noError(inside.chatTurns(3))
	outside := &program{s: s, id: inside.id, token: inside.token, messages: inside.messages, requests: inside.requests, serial: 100, zone: "b", entry: 2}
	before, id := inside.newHeaders()
	before = map[string]string{jkapi.HeaderToken: before[jkapi.HeaderToken], jkapi.HeaderRequest: id}
	inside.zone = "a"

	s.partitionZone("a")
	// Both sides send the same deposit with the same token and request id.
	result := make(chan callerOutcome, 1)
	go func() {
		outcome, _ := outside.payWithHeaders("both-b", before, id, 12*time.Second)
		result <- outcome
	}()
	outcome, r := inside.payWithHeaders("both-a", before, id, callerTimeout)
	if outcome != outcomeCompleted {
		t.Errorf("deposit in the partitioned zone: %s", r)
	}
	s.noError(inside.chatTurns(3))
	fresh := s.create(s.hosts[1])
	fresh.zone = "a"
	s.noError(fresh.chatTurns(4))
	if outcome, r := fresh.pay("new"); outcome != outcomeCompleted {
		t.Errorf("deposit of a new program in the partitioned zone: %s", r)
	}
	if outcome := <-result; outcome == outcomeCompleted {
		t.Error("the deposit of one token completed on both sides")
	}
	// The other zone takes the program over, which forks its history.
	s.noError(outside.resume())
	s.noError(outside.chatTurns(2))

	s.healPartition()
	s.awaitReady()
	inside.zone, outside.zone, fresh.zone = "", "", ""
	s.pause(2 * time.Second)
	// The branch that continues has its own complete history; no caller may get
	// the history of the other branch.
	continued := 0
	for name, p := range map[string]*program{"inside": inside, "outside": outside} {
		header, id := p.newHeaders()
		request := p.chatRequest("after the cut", false, 20)
		r := p.send(5*time.Second, "POST", "/v1/chat/completions", header, request)
		if r.outcome != jkprogram.OutcomeCompleted {
			t.Logf("branch %s got %s", name, r)
			if r.status != 409 {
				t.Errorf("%s: fork is not reported as a conflict: %s", name, r)
			}
			continue
		}
		continued++
		s.noError(p.accept(request, id, r))
		s.noError(p.chatTurns(1))
		s.noError(p.checkHistory())
	}
	if continued != 1 {
		t.Errorf("%d branches of the forked program continued, want 1", continued)
	}
	s.noError(fresh.chatTurns(2))
	s.noError(fresh.checkHistory())
	actions := s.serviceActions()
	if runs := actions["both-a"].Runs + actions["both-b"].Runs; runs != 1 {
		t.Errorf("the deposit of one token ran %d times", runs)
	}
	s.checkActions()
}

// Guards against a home that is frozen beyond its lease, is taken over, and then
// records the answers that it still holds: the deposit runs once, and the history
// is the successor's.
func TestHomeFrozen(t *testing.T) {
	s := startSite(t, options{})
	home := s.hosts[0]
	p, q := s.create(home), s.create(home)
	s.noError(p.chatTurns(2))
	s.noError(q.chatTurns(2))
	p.entry, q.entry = 2, 2
	s.setServiceFaults(jkstandin.ServiceFault{Kind: jkstandin.ServiceSlow, DelayMS: 600})
	type payment struct {
		outcome callerOutcome
		r       reply
	}
	paid := make(chan payment, 1)
	streamed := make(chan error, 1)
	go func() {
		outcome, r := p.pay("d1")
		paid <- payment{outcome, r}
	}()
	q.onFirstText = func() { home.freeze() }
	go func() { streamed <- q.chat("a story", true, 1500) }()
	s.noError(<-streamed)
	s.noError(q.chatTurns(2))
	got := <-paid
	home.resume()
	// The former home detects that its incarnation has ended and continues as a
	// new one.
	s.within(10*time.Second, "return of the former home", func() error {
		_, err := s.tryCreate(home)
		return err
	})
	s.pause(time.Second)
	s.setServiceFaults()
	if got.outcome != outcomeCompleted {
		if got.outcome != outcomeUnknown {
			t.Errorf("deposit during the freeze: %s", got.r)
		}
		s.noError(p.resume())
	}
	for _, p := range []*program{p, q} {
		s.noError(p.chatTurns(4)) // enters through the former home too
		s.noError(p.checkHistory())
	}
	s.checkActions()
}

// Guards against lost history when the hosts of both copies are replaced one
// after the other by hosts with empty disks, and then the home is killed.
func TestCopyHostsReplaced(t *testing.T) {
	s := startSite(t, options{hostsPerZone: 3})
	p := s.create(s.hosts[0])
	s.noError(p.chatTurns(3))
	shown, err := p.show()
	s.noError(err)
	for _, name := range shown.Copies {
		h := s.host(name)
		if h == p.home() {
			s.noError(p.chatTurns(1))
		}
		h.kill()
		s.noError(os.RemoveAll(h.folder))
		h.start()
		s.awaitReady()
		s.noError(p.chatTurns(2))
		s.pause(2500 * time.Millisecond) // the home brings the new copy up to date
	}
	p.home().kill()
	s.noError(p.chatTurns(3))
	s.noError(p.checkHistory())
}

// Guards against lost or invented history when the log of a copy is truncated or
// corrupted in its last record and the home is killed after that.
func TestCopyLogDamaged(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(text []byte) []byte
	}{
		{"truncated", func(text []byte) []byte { return text[:len(text)-7] }},
		{"flipped", func(text []byte) []byte { text[len(text)-7] ^= 0x40; return text }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, options{hostsPerZone: 3})
			p := s.create(s.hosts[0])
			s.noError(p.chatTurns(3))
			shown, err := p.show()
			s.noError(err)
			other := s.host(shown.Copies[0])
			if other == s.hosts[0] {
				other = s.host(shown.Copies[1])
			}
			other.kill()
			s.noError(damageLog(other.folder, c.damage))
			other.start()
			s.awaitReady()
			s.hosts[0].kill()
			p.entry = 1
			if err := p.chatTurns(2); err != nil {
				// The home held the other copy. Without it the history can't be
				// confirmed, so turns are refused until the home is back.
				if shown.Copies[0] != s.hosts[0].name && shown.Copies[1] != s.hosts[0].name {
					t.Fatal(err)
				}
				s.hosts[0].start()
				s.awaitReady()
				p.serial--
				s.noError(p.chatTurns(2))
			}
			s.noError(p.checkHistory())
		})
	}
}

// damageLog changes the newest log file of a copy store.
func damageLog(folder string, damage func([]byte) []byte) error {
	files, err := filepath.Glob(filepath.Join(folder, "copies", "*.log"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no log in %s: %w", folder, err)
	}
	path := files[len(files)-1]
	text, err := os.ReadFile(path)
	if err != nil || len(text) < 8 {
		return fmt.Errorf("log %s has %d bytes: %w", path, len(text), err)
	}
	return os.WriteFile(path, damage(text), 0o600)
}

// Guards against a restarted host that reports the other hosts of its zone as down
// to the other zones, with default intervals.
func TestRestartLeavesZoneUp(t *testing.T) {
	s := startSite(t, options{intervals: map[string]string{}})
	restarted := s.hosts[3]
	restarted.stop(10 * time.Second)
	restarted.start()
	end := clock.Now().Add(6 * time.Second)
	for clock.Now().Before(end) {
		for _, observer := range s.hosts[:2] {
			status, err := s.status(observer)
			s.noError(err)
			for _, h := range status.Hosts {
				if h.Host != restarted.name && h.Status != "up" {
					t.Fatalf("%s counts %s as %s", observer.name, h.Host, h.Status)
				}
			}
		}
		s.pause(20 * time.Millisecond)
	}
	s.awaitReady()
}

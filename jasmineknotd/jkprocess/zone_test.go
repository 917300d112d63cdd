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

// Guards against a zone that stops serving when it is cut off from the others
// and from the platform, against a fork of a history that nobody notices, and
// against a deposit that runs on both sides.
func TestZoneCutOff(t *testing.T) {
	s := startSite(t, options{})
	inside := s.create(s.hosts[0])
	s.noError(inside.chats(3))
	outside := &program{s: s, id: inside.id, token: inside.token, messages: inside.messages, requests: inside.requests, serial: 100, zone: "b", entry: 2}
	before, id := inside.headers()
	before = map[string]string{jkapi.HeaderToken: before[jkapi.HeaderToken], jkapi.HeaderRequest: id}
	inside.zone = "a"

	s.cut("a")
	// Both sides send the same deposit with the same token and request id.
	result := make(chan told, 1)
	go func() {
		word, _ := outside.payAs("both-b", before, id, 12*time.Second)
		result <- word
	}()
	word, r := inside.payAs("both-a", before, id, patience)
	if word != toldCompleted {
		t.Errorf("deposit in the cut zone: %s", r)
	}
	s.noError(inside.chats(3))
	fresh := s.create(s.hosts[1])
	fresh.zone = "a"
	s.noError(fresh.chats(4))
	if word, r := fresh.pay("new"); word != toldCompleted {
		t.Errorf("deposit of a new program in the cut zone: %s", r)
	}
	if word := <-result; word == toldCompleted {
		t.Error("the deposit of one token completed on both sides")
	}
	// The others take the program over, which forks it.
	s.noError(outside.resume())
	s.noError(outside.chats(2))

	s.heal()
	s.awaitReady()
	inside.zone, outside.zone, fresh.zone = "", "", ""
	s.pause(2 * time.Second)
	// A branch that goes on has its own history whole; no caller may get the
	// history of the other one.
	went := 0
	for name, p := range map[string]*program{"inside": inside, "outside": outside} {
		header, id := p.headers()
		request := p.request("after the cut", false, 20)
		r := p.send(5*time.Second, "POST", "/v1/chat/completions", header, request)
		if r.outcome != jkprogram.OutcomeCompleted {
			t.Logf("%s was told %s", name, r)
			if r.status != 409 {
				t.Errorf("%s: fork is not reported as a conflict: %s", name, r)
			}
			continue
		}
		went++
		s.noError(p.accept(request, id, r))
		s.noError(p.chats(1))
		s.noError(p.checkHistory())
	}
	if went != 1 {
		t.Errorf("%d branches of the forked program went on", went)
	}
	s.noError(fresh.chats(2))
	s.noError(fresh.checkHistory())
	account := s.account()
	if runs := account["both-a"].Runs + account["both-b"].Runs; runs != 1 {
		t.Errorf("the deposit of one token ran %d times", runs)
	}
	s.checkActions()
}

// Guards against a home that is frozen past its lease, is taken over, and then
// goes on with the answers that it holds: the deposit runs once, and the history
// is the successor's.
func TestHomeFrozen(t *testing.T) {
	s := startSite(t, options{})
	home := s.hosts[0]
	p, q := s.create(home), s.create(home)
	s.noError(p.chats(2))
	s.noError(q.chats(2))
	p.entry, q.entry = 2, 2
	s.serviceFault(jkstandin.ServiceFault{Kind: jkstandin.ServiceSlow, DelayMS: 600})
	type outcome struct {
		word told
		r    reply
	}
	paid := make(chan outcome, 1)
	streamed := make(chan error, 1)
	go func() {
		word, r := p.pay("d1")
		paid <- outcome{word, r}
	}()
	q.onText = func() { home.freeze() }
	go func() { streamed <- q.chat("a story", true, 1500) }()
	s.noError(<-streamed)
	s.noError(q.chats(2))
	got := <-paid
	home.resume()
	// The former home finds its own end and goes on as a new incarnation.
	s.within(10*time.Second, "return of the former home", func() error {
		_, err := s.tryCreate(home)
		return err
	})
	s.pause(time.Second)
	s.serviceFault()
	if got.word != toldCompleted {
		if got.word != toldUnknown {
			t.Errorf("deposit over the freeze: %s", got.r)
		}
		s.noError(p.resume())
	}
	for _, p := range []*program{p, q} {
		s.noError(p.chats(4)) // enters through the former home too
		s.noError(p.checkHistory())
	}
	s.checkActions()
}

// Guards against lost history when the hosts of both copies are replaced one
// after the other by hosts with empty disks, and then the home dies.
func TestCopyHostsReplaced(t *testing.T) {
	s := startSite(t, options{perZone: 3})
	p := s.create(s.hosts[0])
	s.noError(p.chats(3))
	shown, err := p.show()
	s.noError(err)
	for _, name := range shown.Copies {
		h := s.host(name)
		if h == p.home() {
			s.noError(p.chats(1))
		}
		h.kill()
		s.noError(os.RemoveAll(h.folder))
		h.start()
		s.awaitReady()
		s.noError(p.chats(2))
		s.pause(2500 * time.Millisecond) // the home brings the new copy up to date
	}
	p.home().kill()
	s.noError(p.chats(3))
	s.noError(p.checkHistory())
}

// Guards against lost or invented history when the log of a copy is cut or
// damaged in its last record and the home dies after that.
func TestCopyLogDamaged(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(text []byte) []byte
	}{
		{"truncated", func(text []byte) []byte { return text[:len(text)-7] }},
		{"flipped", func(text []byte) []byte { text[len(text)-7] ^= 0x40; return text }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t, options{perZone: 3})
			p := s.create(s.hosts[0])
			s.noError(p.chats(3))
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
			if err := p.chats(2); err != nil {
				// The home held the other copy: without it nothing is certain.
				if shown.Copies[0] != s.hosts[0].name && shown.Copies[1] != s.hosts[0].name {
					t.Fatal(err)
				}
				s.hosts[0].start()
				s.awaitReady()
				p.serial--
				s.noError(p.chats(2))
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

// Guards against a restarted host that tells the other zones that the rest of its
// zone is down, with default intervals.
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

package jkfollow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jasmineknot.example/core/jklog"
	"jasmineknot.example/core/jkpipe"
	"jasmineknot.example/core/jktimer"
	"jasmineknot.example/core/jkwire"
)

const rulesBound = 5 * time.Second

// rulesSite is a network of hosts that confirm their rules, in a bubble of testing/synctest.
type rulesSite struct {
	t       *testing.T
	network *jkpipe.Network
	peers   []Peer
	started time.Time
	// suspended is the time for which the hosts' machines were suspended.
	suspended atomic.Int64
	// revision is that of the rules in the store.
	revision atomic.Int64
}

func newRulesSite(t *testing.T, hosts ...string) *rulesSite {
	t.Helper()
	s := &rulesSite{t: t, network: jkpipe.NewNetwork(), started: time.Now()}
	s.revision.Store(1)
	for _, name := range hosts {
		s.peers = append(s.peers, Peer{Host: name, Addr: name})
	}
	s.peers = rankPeers(s.peers)
	return s
}

// uptime begins at an hour, as that of a machine that has been up for a while.
func (s *rulesSite) uptime() time.Duration {
	return time.Hour + time.Since(s.started) + time.Duration(s.suspended.Load())
}

func (s *rulesSite) item() Item {
	return Item{Key: "op/config", Value: []byte("rules"), Revision: s.revision.Load()}
}

func (s *rulesSite) readStore(context.Context) (Item, bool, error) {
	time.Sleep(4 * time.Millisecond)
	return s.item(), true, nil
}

func refuse(context.Context) (Item, bool, error) { return Item{}, false, errors.New("refused") }

// watch returns a host with the rules of revision 1 in force, which applies those that come.
func (s *rulesSite) watch(name string, read func(context.Context) (Item, bool, error)) *RulesWatch {
	pool := jkwire.NewPool(jkwire.PoolOptions{
		Self: jkwire.Hello{Host: name, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true }, Dial: s.network.Dial,
	})
	s.t.Cleanup(pool.Close)
	var r *RulesWatch
	r = NewRulesWatch(RulesWatchOptions{
		Timer: jktimer.New().WithUptime(s.uptime), Log: jklog.Discard(), Host: name, Bound: rulesBound, Read: read, Pool: pool,
		Peers: func() []Peer { return append([]Peer(nil), s.peers...) },
		Apply: func(i Item) { r.SetInForce(i, true) },
	})
	r.SetInForce(Item{Key: "op/config", Revision: 1}, true)
	return r
}

// serve answers the messages of other hosts.
func (s *rulesSite) serve(name string, handle func(in *jkwire.ServerStream) error) {
	server := jkwire.NewServer(s.network.Listen(name), jkwire.ServerOptions{
		Self: jkwire.Hello{Host: name, Version: jkwire.ProtocolVersion}, Counters: &jkwire.Counters{},
		IsControl: func(string) bool { return true },
		// Connections close at the end of the test while answers are written.
		Handle: func(_ context.Context, in *jkwire.ServerStream) { _ = handle(in) },
	})
	s.t.Cleanup(server.Close)
}

// start runs a host that answers others.
func (s *rulesSite) start(r *RulesWatch) {
	s.serve(r.Host, r.Handle)
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	s.t.Cleanup(func() { cancel(); <-done })
}

// checkAge fails unless a host has a confirmation whose age is in a range.
func checkAge(t *testing.T, r *RulesWatch, least, most time.Duration) {
	t.Helper()
	if age, ok := r.Age(); !ok || age < least || age > most {
		t.Errorf("rules of %s are %s old, confirmed %t, want %s to %s", r.Host, age, ok, least, most)
	}
}

// Guards against entries that aren't current because the store refuses the two hosts that read it for
// the others, and against new rules that come into force only by the watch.
func TestRulesAreConfirmedThoughTheStoreRefusesBothReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRulesSite(t, "a", "b", "c", "d", "e", "f", "g")
		var hosts []*RulesWatch
		for i, p := range s.peers {
			read := s.readStore
			if i < directWatchers {
				read = refuse
			}
			r := s.watch(p.Host, read)
			s.start(r)
			hosts = append(hosts, r)
		}
		time.Sleep(3 * time.Second)
		for i := range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, r := range hosts {
				checkAge(t, r, 0, 2*time.Second)
				if !r.MayServe() || !r.IsReady() || !r.MayDeny() {
					t.Fatalf("%s isn't current after %d rounds", r.Host, i)
				}
			}
		}
		s.revision.Store(2)
		time.Sleep(3 * time.Second)
		for _, r := range hosts {
			if got := r.InForce(); got != 2 {
				t.Errorf("%s has revision %d in force, want 2", r.Host, got)
			}
		}
	})
}

// Guards against an entry that isn't current because the readers are of a build that doesn't know the
// question, and against one that asks them again and again.
func TestHostsOfAnOldBuildAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRulesSite(t, "a", "b", "c")
		var asked atomic.Int64
		for _, p := range s.peers[:directWatchers] {
			s.serve(p.Host, func(in *jkwire.ServerStream) error {
				asked.Add(1)
				return in.Fail("not_passed_on", "host \"\" is not reachable")
			})
		}
		r := s.watch(s.peers[directWatchers].Host, s.readStore)
		s.start(r)
		time.Sleep(2 * time.Second)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !r.MayServe() || !r.IsReady() || !r.MayDeny() {
				t.Fatal("the rules aren't current")
			}
		}
		if n := asked.Load(); n > 2*6 {
			t.Errorf("old hosts were asked %d times in 22 s, want one each 4 s", n)
		}
	})
}

// Guards against rules that count as younger than they are, after an answer that was on its way while
// the peer, this process or this machine stood still.
func TestLateAnswersCountFromTheQuestion(t *testing.T) {
	for name, pause := range map[string]func(s *rulesSite){
		"frozen peer": func(*rulesSite) { time.Sleep(150 * time.Millisecond) },
		"suspension":  func(s *rulesSite) { s.suspended.Add(int64(10 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRulesSite(t, "a", "b")
				stopped := func() time.Duration {
					before := s.uptime()
					pause(s)
					return s.uptime() - before
				}
				var late time.Duration
				peer := s.watch("b", s.readStore)
				s.serve("b", func(in *jkwire.ServerStream) error {
					answer := peer.answer(RulesRequest{Revision: 1})
					late = stopped()
					return in.End(&answer)
				})
				if _, err := peer.read(t.Context()); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				known, _ := peer.Age()
				r := s.watch("a", func(ctx context.Context) (Item, bool, error) {
					item, found, err := s.readStore(ctx)
					late = stopped()
					return item, found, err
				})
				outcome, err := r.ask(t.Context(), Peer{Host: "b", Addr: "b"})
				if outcome != RulesConfirmed || err != nil {
					t.Fatalf("question %s, error %v", outcome, err)
				}
				checkAge(t, r, known+late, known+late+time.Millisecond)
				if outcome, err := r.read(t.Context()); outcome != RulesConfirmed || err != nil {
					t.Fatalf("read %s, error %v", outcome, err)
				}
				checkAge(t, r, late, late+10*time.Millisecond)
				if r.MayServe() != (late < rulesBound*4/5) {
					t.Errorf("keys are served: %t, %s after the read was sent", r.MayServe(), late)
				}
			})
		})
	}
}

// Guards against a machine that serves removed keys after a suspension, which its clock doesn't show.
func TestSuspendedHostRefusesUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRulesSite(t, "a")
		r := s.watch("a", s.readStore)
		if r.MayServe() || r.MayDeny() || r.IsReady() {
			t.Error("rules count as current before the first confirmation")
		}
		s.start(r)
		time.Sleep(1500 * time.Millisecond)
		if !r.MayServe() || !r.MayDeny() || !r.IsReady() {
			t.Fatal("the rules aren't current")
		}
		s.suspended.Add(int64(time.Minute))
		if r.MayServe() || r.MayDeny() || r.IsReady() {
			t.Error("rules count as current after a suspension")
		}
		time.Sleep(time.Second)
		if !r.MayServe() || !r.MayDeny() || !r.IsReady() {
			t.Error("the rules aren't current a second after the suspension")
		}
	})
}

// Guards against confirmations by answers that prove nothing: rules that couldn't be applied, a store
// that shows none or older ones, a host without a confirmation, an age below zero.
func TestAnswersThatConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRulesSite(t, "a", "b")
		var answer RulesAnswer
		s.serve("b", func(in *jkwire.ServerStream) error { return in.End(&answer) })
		read := func(item Item, found bool) func(context.Context) (Item, bool, error) {
			return func(context.Context) (Item, bool, error) { return item, found, nil }
		}
		for i, c := range []struct {
			read    func(context.Context) (Item, bool, error)
			answer  RulesAnswer
			outcome RulesOutcome
		}{
			{read: read(Item{}, false), outcome: RulesContradicted},
			{read: read(Item{Key: "op/config", Revision: 4}, true), outcome: RulesContradicted},
			{read: read(Item{Key: "op/config", Revision: 6}, true), outcome: RulesNothingNewer},
			{outcome: RulesNothingNewer},
			{answer: RulesAnswer{Revision: 5, Age: -time.Second}, outcome: RulesContradicted},
			{answer: RulesAnswer{Revision: 6, Item: &Item{Key: "op/config", Revision: 6}}, outcome: RulesNothingNewer},
		} {
			r := s.watch("a", c.read)
			r.Apply = func(Item) {}
			r.SetInForce(Item{Key: "op/config", Revision: 5}, true)
			var outcome RulesOutcome
			if c.read != nil {
				outcome, _ = r.read(t.Context())
			} else {
				answer = c.answer
				outcome, _ = r.ask(t.Context(), Peer{Host: "b", Addr: "b"})
			}
			if age, ok := r.Age(); ok || outcome != c.outcome {
				t.Errorf("case %d: %s, age %s, want %s without an age", i, outcome, age, c.outcome)
			}
		}
	})
}

// Guards against rules that reach a host with a confirmation and aren't in force there, and against
// values that are sent although the host has them.
func TestNewerRulesComeWithTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRulesSite(t, "a", "b")
		s.revision.Store(3)
		peer, r := s.watch("b", s.readStore), s.watch("a", refuse)
		s.serve("b", peer.Handle)
		if outcome, err := peer.read(t.Context()); outcome != RulesNewer || err != nil {
			t.Fatalf("read %s, error %v", outcome, err)
		}
		var applied []string
		apply := r.Apply
		r.Apply = func(i Item) {
			applied = append(applied, fmt.Sprintf("%s %d via %s", i.Value, i.Revision, i.Via))
			apply(i)
		}
		for range 2 {
			time.Sleep(time.Millisecond)
			_, _ = peer.read(t.Context())
			if outcome, err := r.ask(t.Context(), Peer{Host: "b", Addr: "b"}); err != nil || outcome == RulesFailed {
				t.Fatalf("question %s, error %v", outcome, err)
			}
		}
		if got := fmt.Sprint(applied); got != "[rules 3 via b]" || r.InForce() != 3 || !r.MayDeny() {
			t.Errorf("applied %s, revision %d in force", got, r.InForce())
		}
		if a := peer.answer(RulesRequest{Revision: 3}); a.Item != nil {
			t.Error("the rules are sent to a host that has them")
		}
	})
}

package jkvault

import (
	"context"
	"net"
	"strings"
	"testing"

	"jasmineknot.example/core/jkwire"

	"jasmineknot.example/core/jkledger"
)

// copyFrom copies all records of other nodes, one after the other.
func (n *node) copyFrom(others ...*node) {
	for _, other := range others {
		n.vault.CatchUp(context.Background(), []string{other.addr}, 0)
	}
}

// knows sets the other copies that a node knows, and the number of disks that may be lost.
func (n *node) knows(lostDisks int, others ...*node) {
	var sources []Source
	for _, other := range others {
		sources = append(sources, Source{Host: other.folder, Addr: other.addr})
	}
	n.vault.Sources = func() ([]Source, bool) { return sources, true }
	n.vault.MaxLostDisks = lostDisks
}

// Guards against a copy that counts as complete with the records of the first certain source,
// while each of several sources has other ones (inc39), also after a restart in between.
func TestCopyIsCertainOnlyWithTheRecordsOfAllSources(t *testing.T) {
	a, b := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
	wiped := start(t, memoryFolder(t), false)
	a.writeTurns(t, wiped, "1", "2")
	b.writeTurns(t, wiped, "3", "4")
	wiped.knows(1, a, b)
	wiped.copyFrom(a)
	if wiped.vault.Certain() {
		t.Errorf("the copy is certain with %d of 4 turns", wiped.turns())
	}
	wiped.stop()
	again := start(t, wiped.folder, false)
	again.knows(1, a, b)
	if again.vault.Certain() || again.vault.CatchUpWindow() != 0 {
		t.Errorf("certain %t after a restart with a window of %s, want false without a limit", again.vault.Certain(), again.vault.CatchUpWindow())
	}
	again.copyFrom(b)
	if again.vault.Certain() {
		t.Error("the copy is certain without what the first source added during the restart")
	}
	again.copyFrom(a)
	if !again.vault.Certain() || again.turns() != 4 {
		t.Errorf("certain %t with %d turns, want true with 4", again.vault.Certain(), again.turns())
	}
	again.stop()
	if !start(t, wiped.folder, false).vault.Certain() {
		t.Error("the complete copy isn't certain after a restart")
	}
}

// Guards against two copies with lost disks that never become certain because each waits for
// the other one.
func TestTwoCopiesWithLostDisksBecomeCertain(t *testing.T) {
	a, b := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
	x, y := start(t, memoryFolder(t), false), start(t, memoryFolder(t), false)
	a.writeTurns(t, x, "1", "2")
	b.writeTurns(t, x, "3", "4")
	x.knows(2, a, b, y)
	y.knows(2, a, b, x)
	x.copyFrom(a, y, b)
	y.copyFrom(x, b, a)
	for name, n := range map[string]*node{"x": x, "y": y} {
		if !n.vault.Certain() || n.turns() != 4 {
			t.Errorf("%s is certain %t with %d turns, want true with 4", name, n.vault.Certain(), n.turns())
		}
	}
}

// Guards against turns that are reported as unknown while they are on a disk of a host that is
// only down (inc39), and against copies that wait for hosts that they don't need.
func TestCopyIsCertainWithoutAsManySourcesAsMayBeLost(t *testing.T) {
	for name, c := range map[string]struct {
		lostDisks, copied, uncertain, missing int
		isNew, want                           bool
	}{
		"one disk may be lost":                   {lostDisks: 1, copied: 2, missing: 1},
		"one disk may be lost, all copied":       {lostDisks: 1, copied: 2, want: true},
		"two disks may be lost":                  {lostDisks: 2, copied: 2, missing: 1, want: true},
		"two disks may be lost, two missing":     {lostDisks: 2, copied: 1, missing: 2},
		"another disk was lost":                  {lostDisks: 2, copied: 2, uncertain: 1, missing: 1},
		"another disk was lost, all copied":      {lostDisks: 2, copied: 1, uncertain: 1, want: true},
		"more disks than allowed are lost":       {lostDisks: 1, copied: 1, uncertain: 2, want: true},
		"no source is certain":                   {lostDisks: 3, uncertain: 1},
		"new host":                               {lostDisks: 1, copied: 1, missing: 1, isNew: true, want: true},
		"new host, two missing":                  {lostDisks: 1, copied: 1, missing: 2, isNew: true},
		"new host, another disk was lost":        {lostDisks: 1, copied: 1, uncertain: 1, missing: 1, isNew: true},
		"no disk may be lost, one source is off": {lostDisks: 0, copied: 1, missing: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var sources []*node
			for range c.copied {
				sources = append(sources, start(t, memoryFolder(t), true))
			}
			for range c.uncertain {
				sources = append(sources, start(t, memoryFolder(t), false))
			}
			for range c.missing {
				down := start(t, memoryFolder(t), true)
				down.stop()
				sources = append(sources, down)
			}
			n := start(t, memoryFolder(t), false)
			n.knows(c.lostDisks, sources...)
			n.vault.IsNew = func() bool { return c.isNew }
			n.copyFrom(sources...)
			if got := n.vault.Certain(); got != c.want {
				t.Errorf("certain %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a copy that counts a source that is down as copied because another host, here the
// copy itself, has its address by now.
func TestHostWithTheAddressOfASourceIsNotTheSource(t *testing.T) {
	a, b := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
	uncertain, down := start(t, memoryFolder(t), false), start(t, memoryFolder(t), true)
	down.stop()
	n := start(t, memoryFolder(t), false)
	l, err := net.Listen("tcp", down.addr)
	if err != nil {
		t.Fatal(err)
	}
	server := jkwire.NewServer(l, jkwire.ServerOptions{
		Self: jkwire.Hello{Host: n.folder, Version: jkwire.ProtocolVersion}, Handle: n.vault.Handle,
		IsControl: func(string) bool { return true }, Counters: &jkwire.Counters{},
	})
	defer server.Close()
	n.knows(2, a, b, uncertain, down)
	n.copyFrom(a, b, uncertain, down)
	if p := n.vault.Recovery(); n.vault.Certain() || len(p.Missing) != 1 || p.Missing[0].Host != down.folder {
		t.Errorf("certain %t, missing are %+v, want the source that is down", n.vault.Certain(), p.Missing)
	}
}

// Guards against a copy that counts as complete before it knows from which hosts it has to copy.
func TestCopyIsNotCertainBeforeItsSourcesAreKnown(t *testing.T) {
	a, n := start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
	allKnown := false
	n.vault.Sources = func() ([]Source, bool) { return nil, allKnown }
	n.copyFrom(a)
	if n.vault.Certain() {
		t.Error("the copy is certain before its sources are known")
	}
	allKnown = true
	if !n.vault.CheckComplete() {
		t.Error("the copy isn't certain with the records of all sources")
	}
}

// Guards against a copy that counts as complete after it has copied recent records only.
func TestRecentRecordsDoNotCompleteACopy(t *testing.T) {
	a, n := start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
	n.knows(1, a)
	n.vault.CatchUp(context.Background(), []string{a.addr}, catchUpMargin)
	if n.vault.Certain() {
		t.Error("the copy is certain without older records")
	}
}

// Guards against a copy that counts as a certain source although it collected its records before
// it was complete.
func TestSourceThatCompletesWhileItAnswersIsUncertain(t *testing.T) {
	source, n := start(t, memoryFolder(t), false), start(t, memoryFolder(t), false)
	source.vault.Holds = func(string) func(string) bool {
		source.vault.certain.Store(true)
		return func(string) bool { return true }
	}
	if _, certain, err := n.vault.pull(context.Background(), source.addr, 0); err != nil || certain {
		t.Errorf("certain %t, %v; want false", certain, err)
	}
}

// Guards against a copy that does without a host that is gone before it has copied from those that
// have taken over from it, or while these lack records themselves.
func TestHostThatIsGoneIsMissingUntilItsSuccessorsWereCopied(t *testing.T) {
	first, second := start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
	other, n := start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
	n.vault.MaxLostDisks = 1
	n.vault.Sources = func() ([]Source, bool) {
		return []Source{
			{Host: "gone", Addr: "gone", Zone: "z", Gone: []jkledger.GoneHost{{Host: "gone"}}, TakenOverBy: []string{first.addr, second.addr}},
			{Host: first.folder, Addr: first.addr, Zone: "z"},
			{Host: second.folder, Addr: second.addr, Zone: "z"},
			{Host: other.folder, Addr: other.addr},
		}, true
	}
	first.hasTakenOver(t, n.folder)
	second.hasTakenOver(t, n.folder)
	n.copyFrom(other, first)
	if n.vault.Certain() {
		t.Error("the copy is certain before it has copied from both successors")
	}
	n.copyFrom(second)
	if n.vault.Certain() {
		t.Error("the copy is certain although a successor isn't")
	}
	second.copyFrom(other)
	n.copyFrom(second)
	if !n.vault.Certain() {
		t.Error("the copy isn't certain after it has copied from both successors")
	}
}

// hasTakenOver makes a node say that it has taken over from hosts since the host gone was marked as suspected.
func (n *node) hasTakenOver(t *testing.T, from ...string) {
	t.Helper()
	n.hasTakenOverFrom(t, jkledger.GoneHost{Host: "gone", Suspected: true}, nil, from...)
}

func (n *node) hasTakenOverFrom(t *testing.T, gone jkledger.GoneHost, seen []jkledger.Silence, from ...string) {
	t.Helper()
	if err := n.vault.takeovers.end(Silent{Hosts: []jkledger.GoneHost{gone}, Since: n.vault.Answers(), Seen: seen}, from...); err != nil {
		t.Fatal(err)
	}
}

// silences are those of a host that last answered at a time, as another host sees them.
func silences(host string, lastAnswer int64) []jkledger.Silence {
	return []jkledger.Silence{{Host: host, SeenBy: "other", LastAnswer: lastAnswer}}
}

// Guards against a copy that does without a host that is down with its disk, while the ones that
// take over from it couldn't get what it shares with a lost or missing disk.
func TestHostThatIsGoneIsMissingUnlessItsSuccessorsHaveTakenOver(t *testing.T) {
	for name, c := range map[string]struct {
		// first and second are the hosts from which the two successors have taken over: the copy
		// itself, and another source, which is missing or uncertain.
		first, second      string
		isNew              bool
		missing, uncertain bool
		lostDisks          int
		// unmarked is set if the host wasn't marked before. The silences are those that the other zone told of before, and that
		// it has noted since.
		unmarked    bool
		seen, noted []jkledger.Silence
		want        bool
	}{
		"both have taken over":                     {first: "self", second: "self", lostDisks: 1, want: true},
		"one was late":                             {first: "self", lostDisks: 1},
		"both were late":                           {lostDisks: 1},
		"taken over from another one":              {first: "other", second: "other", lostDisks: 1},
		"new copy":                                 {isNew: true, missing: true, first: "other", second: "other", lostDisks: 1, want: true},
		"new copy, one was late":                   {isNew: true, missing: true, first: "other", lostDisks: 1},
		"new copy, uncertain source":               {isNew: true, uncertain: true, first: "other", lostDisks: 1},
		"new copy, uncertain source was available": {isNew: true, uncertain: true, first: "other", second: "other", lostDisks: 1, want: true},
		"another one is missing":                   {missing: true, first: "self", second: "self", lostDisks: 2},
		"taken over from both":                     {missing: true, first: "self other", second: "other self", lostDisks: 2, want: true},
		"before the mark":                          {first: "self", second: "self", lostDisks: 1, unmarked: true},
		"before the mark, noted":                   {first: "self", second: "self", lostDisks: 1, unmarked: true, seen: silences("gone", 1), noted: silences("gone", 1), want: true},
		"before the mark and the silence, noted":   {first: "self", second: "self", lostDisks: 1, unmarked: true, noted: silences("gone", 1)},
		"before the mark, other silence noted":     {first: "self", second: "self", lostDisks: 1, unmarked: true, seen: silences("gone", 1), noted: silences("gone", 2)},
		"before the mark, silence not noted":       {first: "self", second: "self", lostDisks: 1, unmarked: true, seen: silences("gone", 1)},
		"before the mark, noted without a silence": {first: "self", second: "self", lostDisks: 1, unmarked: true, seen: silences("gone", 1), noted: silences("", 0)},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
			other, n := start(t, memoryFolder(t), !c.uncertain), start(t, memoryFolder(t), false)
			hosts := map[string]string{"self": n.folder, "other": other.folder}
			for successor, from := range map[*node]string{first: c.first, second: c.second} {
				var names []string
				for _, name := range strings.Fields(from) {
					names = append(names, hosts[name])
				}
				successor.hasTakenOverFrom(t, jkledger.GoneHost{Host: "gone", Suspected: !c.unmarked}, c.seen, names...)
			}
			for _, silence := range c.noted {
				other.vault.NoteLoss(jkledger.GoneHost{Host: "gone"}, silence)
			}
			n.vault.MaxLostDisks, n.vault.IsNew = c.lostDisks, func() bool { return c.isNew }
			n.vault.Sources = func() ([]Source, bool) {
				return []Source{
					{Host: "gone", Addr: "gone", Zone: "z", Gone: []jkledger.GoneHost{{Host: "gone"}}, TakenOverBy: []string{first.addr, second.addr}},
					{Host: first.folder, Addr: first.addr, Zone: "z"},
					{Host: second.folder, Addr: second.addr, Zone: "z"},
					{Host: other.folder, Addr: other.addr},
				}, true
			}
			n.copyFrom(first, second)
			if !c.missing {
				n.copyFrom(other)
			}
			if got := n.vault.Certain(); got != c.want {
				t.Errorf("certain %t, want %t; %+v", got, c.want, n.vault.Recovery())
			}
		})
	}
}

// Guards against a copy that does without a host that is gone and whose successor lost its disk, while another zone
// hasn't copied from both lost disks what that host shared with them.
func TestHostThatIsGoneIsMissingUnlessAnotherZoneHasCopied(t *testing.T) {
	for name, c := range map[string]struct {
		self, successor, unmarked, want bool
	}{
		"from none":            {},
		"from the copy":        {self: true},
		"from the successor":   {successor: true},
		"from both":            {self: true, successor: true, want: true},
		"from both, too early": {self: true, successor: true, unmarked: true},
	} {
		t.Run(name, func(t *testing.T) {
			successor, other, n := start(t, memoryFolder(t), false), start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
			for from, copied := range map[*node]bool{n: c.self, successor: c.successor} {
				if copied {
					other.hasTakenOverFrom(t, jkledger.GoneHost{Host: "gone", Suspected: !c.unmarked}, nil, from.folder)
				}
			}
			n.vault.MaxLostDisks = 2
			n.vault.Sources = func() ([]Source, bool) {
				return []Source{
					{Host: "gone", Addr: "gone", Zone: "z", Gone: []jkledger.GoneHost{{Host: "gone"}}, TakenOverBy: []string{successor.addr}},
					{Host: successor.folder, Addr: successor.addr, Zone: "z"},
					{Host: other.folder, Addr: other.addr, Zone: "y"},
				}, true
			}
			n.copyFrom(successor, other)
			if got := n.vault.Certain(); got != c.want {
				t.Errorf("certain %t, want %t; %+v", got, c.want, n.vault.Recovery())
			}
		})
	}
}

// Guards against a copy that does without a host that is gone because its successors of an earlier
// release don't say from which hosts they have taken over.
func TestHostThatIsGoneIsMissingIfItsSuccessorsDoNotSay(t *testing.T) {
	successor, n := start(t, memoryFolder(t), true), start(t, memoryFolder(t), false)
	n.vault.MaxLostDisks = 1
	n.vault.Sources = func() ([]Source, bool) {
		return []Source{
			{Host: "gone", Addr: "gone", Zone: "z", Gone: []jkledger.GoneHost{{Host: "gone"}}, TakenOverBy: []string{successor.addr}},
			{Host: successor.folder, Addr: successor.addr, Zone: "z"},
		}, true
	}
	n.copyFrom(successor)
	if n.vault.Certain() {
		t.Error("the copy is certain, although its successor says nothing")
	}
	successor.hasTakenOver(t, n.folder)
	n.copyFrom(successor)
	if !n.vault.Certain() {
		t.Error("the copy isn't certain after its successor has said that it took over")
	}
}

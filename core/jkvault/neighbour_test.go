package jkvault

import (
	"context"
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jkledger"
)

// writePrograms sends one turn of each program to the node.
func (n *node) writePrograms(t *testing.T, from *node, programs ...string) {
	t.Helper()
	m := jkledger.WriteRequest{Sync: true}
	for _, p := range programs {
		m.Records = append(m.Records, jkledger.Record{Turn: &jkledger.Turn{Request: p, Program: p, Retention: time.Minute}})
	}
	if err := from.vault.Pool.Call(context.Background(), n.addr, jkledger.TypeWrite, &m, nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against turns that a copy took in place of a neighbour and doesn't get back once it has lost
// its disk, because the neighbour wasn't in reach when it copied from the others.
func TestCopyGetsBackWhatItTookForALateNeighbour(t *testing.T) {
	source, neighbour := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
	wiped := start(t, memoryFolder(t), false)
	source.writePrograms(t, wiped, "own", "taken", "neighbour's", "other's")
	neighbour.writePrograms(t, wiped, "neighbour's")
	source.vault.Holds = func(host string) func(string) bool {
		return func(program string) bool { return host == wiped.folder && program == "own" }
	}
	source.vault.AnyHolds = func(hosts []string) func(string) bool {
		isKnown := slices.Contains(hosts, neighbour.folder)
		return func(program string) bool { return isKnown && (program == "taken" || program == "neighbour's") }
	}
	neighbour.vault.Holds = func(string) func(string) bool { return func(string) bool { return false } }
	reachable := false
	wiped.vault.Neighbours = func() []Source {
		if !reachable {
			return nil
		}
		return []Source{{Host: neighbour.folder, Addr: neighbour.addr, Neighbour: true}}
	}
	wiped.vault.MaxLostDisks = 1
	wiped.vault.Sources = func() ([]Source, bool) {
		return []Source{{Host: source.folder, Addr: source.addr}, {Host: neighbour.folder, Addr: neighbour.addr, Neighbour: true}}, true
	}
	wiped.copyFrom(source)
	reachable = true
	wiped.copyFrom(neighbour)
	if wiped.vault.Certain() {
		t.Errorf("the copy is certain with %d turns, want 2", wiped.turns())
	}
	if p := wiped.vault.Recovery(); len(p.Missing) != 1 || p.Missing[0].Addr != source.addr {
		t.Errorf("missing are %+v, want the source", p.Missing)
	}
	wiped.copyFrom(source)
	if !wiped.vault.Certain() || wiped.turns() != 2 {
		t.Errorf("certain %t with %d turns, want true with 2", wiped.vault.Certain(), wiped.turns())
	}
}

// Guards against a copy that copies from nobody while a neighbour counts as in reach but answers no
// calls.
func TestCopyDoesWithoutANeighbourThatDoesNotAnswer(t *testing.T) {
	source, stopped := start(t, memoryFolder(t), true), start(t, memoryFolder(t), true)
	wiped := start(t, memoryFolder(t), false)
	source.writeTurns(t, wiped, "1", "2")
	stopped.stop()
	neighbour := Source{Host: stopped.folder, Addr: stopped.addr, Neighbour: true}
	wiped.vault.Neighbours = func() []Source { return []Source{neighbour} }
	wiped.vault.MaxLostDisks = 2
	wiped.vault.Sources = func() ([]Source, bool) {
		return []Source{{Host: source.folder, Addr: source.addr}, neighbour}, true
	}
	wiped.copyFrom(source)
	if !wiped.vault.Certain() || wiped.turns() != 2 {
		t.Errorf("certain %t with %d turns, want true with 2", wiped.vault.Certain(), wiped.turns())
	}
}

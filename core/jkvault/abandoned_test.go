package jkvault

import (
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jkledger"
	"jasmineknot.example/core/jkwire"
)

// reserve sends a reservation to the node and returns the requests that it calls abandoned.
func (n *node) reserve(t *testing.T, from *jkwire.Pool, request string) []string {
	t.Helper()
	m := jkledger.ReserveRequest{Marks: true, Spending: jkledger.Spending{Program: "p", Request: request, Tokens: 1, Retention: time.Minute}}
	var answer jkledger.ReserveAnswer
	if err := from.Call(t.Context(), n.addr, jkledger.TypeReserve, &m, &answer); err != nil {
		t.Fatal(err)
	}
	slices.Sort(answer.Abandoned)
	return answer.Abandoned
}

// Guards against programs whose budget is used up by tries that ended with their entry, and against turns in progress that
// are taken for such tries.
func TestReservationsWithoutTheirEntryAreAbandoned(t *testing.T) {
	folder := memoryFolder(t)
	n, entry, other := start(t, folder, true), start(t, t.TempDir(), true), start(t, t.TempDir(), true)
	for _, request := range []string{"settled", "open", "open again"} {
		if got := n.reserve(t, entry.vault.Pool, request); got != nil {
			t.Errorf("%q are abandoned while their entry is connected", got)
		}
	}
	settled := jkledger.WriteRequest{Records: []jkledger.Record{{Spending: &jkledger.Spending{Program: "p", Request: "settled", Tokens: 1, Settled: true, Retention: time.Minute}}}}
	if err := entry.vault.Pool.Call(t.Context(), n.addr, jkledger.TypeWrite, &settled, nil); err != nil {
		t.Fatal(err)
	}
	n.vault.expire()
	if got := n.reserve(t, other.vault.Pool, "of another"); got != nil {
		t.Errorf("%q are abandoned while their entry is connected", got)
	}
	entry.stop()
	want := []string{"open", "open again"}
	var got []string
	for end := time.Now().Add(5 * time.Second); !slices.Equal(got, want) && time.Now().Before(end); {
		got = n.reserve(t, other.vault.Pool, "of another")
	}
	if !slices.Equal(got, want) {
		t.Errorf("%q are abandoned after the end of their entry, want %q", got, want)
	}
	n.stop()
	n, other = start(t, folder, false), start(t, t.TempDir(), true)
	want = slices.Insert(want, 0, "of another")
	if got := n.reserve(t, other.vault.Pool, "after the start"); !slices.Equal(got, want) {
		t.Errorf("%q are abandoned after a start, want %q", got, want)
	}
}

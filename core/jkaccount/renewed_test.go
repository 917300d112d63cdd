package jkaccount

import (
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Guards against chains that are lost before the retention of their last turn ends, because another program
// continues them whose turns are on other copies, where they renew nothing.
func TestTurnOfAnotherProgramRenewsTheChain(t *testing.T) {
	f := newFixture(t)
	for _, zone := range []string{"a", "b", "c"} {
		f.startCopy(t, zone+"-2", zone)
	}
	first, next := f.programOf(t, "a", "b", "c"), f.programOf(t, "a-2", "b-2", "c-2")
	keep := func(turn jkforward.Turn) {
		turn.Retention = time.Minute
		if err := f.client.Keep(t.Context(), turn); err != nil {
			t.Fatal(err)
		}
	}
	keep(jkforward.Turn{Program: first, Request: "1", Input: []byte("in"), Output: []byte(" out\n")})
	for _, request := range []string{"2", "3"} {
		previous := string(rune(request[0] - 1))
		chain, err := f.client.Chain(t.Context(), next, previous)
		if err != nil {
			t.Fatal(err)
		}
		keep(jkforward.Turn{Program: next, Request: request, Previous: previous, ChainPrograms: chain.Programs})
	}
	for _, host := range []string{"a", "b", "c"} {
		target := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })]
		var got jkledger.ChainAnswer
		for end := time.Now().Add(5 * time.Second); len(got.Turns) != 3 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if err := f.client.callUntilAnswered(t.Context(), target, jkledger.TypeChain, &jkledger.ChainRequest{Request: "3"}, &got); err != nil {
				t.Fatal(err)
			}
		}
		if len(got.Turns) != 3 {
			t.Errorf("copy %s of the first turn has %d turns of the chain, want 3", host, len(got.Turns))
		}
	}
}

package jkaccount

import (
	"errors"
	"slices"
	"testing"
	"time"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Guards against a budget that is granted without the word of a copy in reach, which knows that it is spent and is a little slower.
func TestBudgetSpentOnACopyThatAnswersLater(t *testing.T) {
	f := newFixture(t)
	spend := func(host, request string, known jkledger.Holdings) {
		spent := jkledger.Spending{Program: "p", Request: request, Tokens: 100, Settled: true, Retention: time.Minute}
		records := []jkledger.Record{{Spending: &spent}}
		if known.Tokens != nil {
			said := known.Spending("p", request, time.Minute)
			records = append(records, jkledger.Record{Spending: &said})
		}
		to := f.copies[slices.IndexFunc(f.copies, func(c Copy) bool { return c.Host == host })]
		if err := f.client.Pool.Call(t.Context(), to.Addr, jkledger.TypeWrite, &jkledger.WriteRequest{Records: records, Sync: true}, nil); err != nil {
			t.Fatal(err)
		}
	}
	half := jkledger.Holdings{At: f.client.Timer.Now(), Tokens: map[string]int64{"a": 100, "b": 100}, Requests: []string{"1"}}
	spend("a", "1", half)
	spend("b", "1", half)
	spend("b", "2", jkledger.Holdings{})
	end := f.stall("b")
	time.AfterFunc(100*time.Millisecond, end)
	err := f.client.Reserve(t.Context(), jkforward.Reservation{Program: "p", Request: "3", Tokens: 50, Budget: 200, Retention: time.Minute})
	var spent *jkforward.BudgetSpentError
	if !errors.As(err, &spent) {
		t.Errorf("turn beyond the budget: %v, want that it is spent", err)
	}
}

package jkledger

import (
	"fmt"
	"testing"
	"time"
)

func ExampleHoldings() {
	at := time.UnixMilli(1000)
	h := &Holdings{At: at, Tokens: map[string]int64{"b-1": 20, "a-1": 30}, Requests: []string{"first", "second"}}
	said := h.Spending("program", "second", time.Minute)
	all := []Spending{{Request: "first"}, {Request: "second"}, said}
	fmt.Println(HeldBy("a-1", all, at), HeldBy("b-1", all, at), HeldBy("a", all, at))
	fmt.Println("without the first:", HeldBy("a-1", all[1:], at))
	fmt.Println("late:", HeldBy("a-1", all, at.Add(31*time.Second)))
	// Output:
	// 30 20 0
	// without the first: 0
	// late: 0
}

// Guards against callers that say holdings by the names of their requests, and versions of requests that look like holdings.
func TestRequestsAreNoHoldings(t *testing.T) {
	at := time.UnixMilli(1000)
	h := &Holdings{At: at, Tokens: map[string]int64{"a-1": 30}}
	for _, request := range []string{"a-1=1000", "x\x00a-1=1000", "\x00a-1=1000\x00\x00", "holdings\x001000\x00a-1=1000\x00\x00", holdingsPrefix, holdingsPrefix + "1000\x00a-1=1000\x00zz\x00"} {
		if got := HeldBy("a-1", []Spending{{Request: request, Settled: true, Retention: time.Minute}}, at); got != 0 {
			t.Errorf("request %q says that a-1 has %d tokens", request, got)
		}
		said := h.Spending("p", request, time.Minute)
		if got := HeldBy("a-1", []Spending{said}, at); got != 30 {
			t.Errorf("the holdings at request %q say that a-1 has %d tokens, want 30", request, got)
		}
	}
}

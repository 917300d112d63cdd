package jkledger

import (
	"fmt"
	"time"
)

func ExampleHoldings() {
	s := Holdings{"b-1": 20, "a-1": 30}.Spending("program", "turn", time.Minute)
	fmt.Printf("%q %d %t\n", s.Request, s.Tokens, s.Settled)
	fmt.Println(HoldingOf(s, "a-1"), HoldingOf(s, "b-1"), HoldingOf(s, "a"))
	fmt.Println(HoldingOf(Spending{Request: "a-1=30"}, "a-1"))
	// Output:
	// "holdings\x00turn\x00a-1=30\x00b-1=20" 0 true
	// 30 20 0
	// 0
}

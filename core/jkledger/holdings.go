package jkledger

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Holdings says by host how many tokens of a program its copy counted at least when a reservation was settled. Copies that
// have it also have all spendings which these hosts had then. It is kept as a settled spending without tokens, so that hosts
// of builds that don't know it hand it on.
type Holdings map[string]int64

// holdingsPrefix begins the request of a spending that is a Holdings. Requests of callers have no such byte.
const holdingsPrefix = "holdings\x00"

// Spending returns the spending that says the holdings at the settlement of a reservation.
func (h Holdings) Spending(program, reservation string, retention time.Duration) Spending {
	var name strings.Builder
	name.WriteString(holdingsPrefix + reservation)
	for _, host := range slices.Sorted(maps.Keys(h)) {
		name.WriteString("\x00" + host + "=" + strconv.FormatInt(h[host], 10))
	}
	return Spending{Program: program, Request: name.String(), Settled: true, Retention: retention}
}

// HoldingOf returns how many tokens a spending says that the copy on a host counted, and zero if it says nothing of that.
func HoldingOf(s Spending, host string) int64 {
	if !strings.HasPrefix(s.Request, holdingsPrefix) {
		return 0
	}
	for _, part := range strings.Split(s.Request[len(holdingsPrefix):], "\x00") {
		if tokens, ok := strings.CutPrefix(part, host+"="); ok {
			// What can't be read says nothing.
			n, _ := strconv.ParseInt(tokens, 10, 64)
			return n
		}
	}
	return 0
}

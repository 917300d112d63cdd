package jkaccount

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"jasmineknot.example/core/jkforward"
	"jasmineknot.example/core/jkledger"
)

// Guards against budgets that are exceeded, and turns that are refused without need, for
// sets of answers from copies. The format is described in testdata/quorum.
func TestQuorum(t *testing.T) {
	datadriven.RunTest(t, "testdata/quorum", func(t *testing.T, d *datadriven.TestData) string {
		var copies, budget, tokens int
		d.ScanArgs(t, "copies", &copies)
		d.ScanArgs(t, "budget", &budget)
		d.ScanArgs(t, "tokens", &tokens)
		q := newQuorum(copies)
		q.exclusive, q.parted = d.HasArg("whole"), d.HasArg("parted")
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			if line != "" {
				line, unproven := strings.CutPrefix(line, "unproven ")
				line, standsIn := strings.CutPrefix(line, "stand-in ")
				q.add(parseAnswer(t, line), standsIn)
				if unproven {
					q.unprovenAnswers++
				}
			}
		}
		err := q.decide(jkforward.Reservation{Budget: int64(budget), Tokens: int64(tokens)})
		var spent *jkforward.BudgetSpentError
		var noQuorum *jkforward.NoQuorumError
		switch {
		case err == nil:
			return "admitted\n"
		case errors.As(err, &spent):
			return fmt.Sprintf("spent %d of %d\n", spent.Spent, spent.Budget)
		case errors.As(err, &noQuorum):
			return fmt.Sprintf("uncertain: %d of %d\n", noQuorum.Answers, noQuorum.Needed)
		}
		return err.Error() + "\n"
	})
}

// parseAnswer returns the answer in a line such as "certain a=260 b=260".
func parseAnswer(t *testing.T, line string) *jkledger.ReserveAnswer {
	t.Helper()
	fields := strings.Fields(line)
	a := &jkledger.ReserveAnswer{Certain: fields[0] == "certain"}
	for _, f := range fields[1:] {
		name, value, _ := strings.Cut(f, "=")
		value, isAbandoned := strings.CutSuffix(value, "!")
		if isAbandoned {
			a.Abandoned = append(a.Abandoned, name)
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		a.Spendings = append(a.Spendings, jkledger.Spending{Request: name, Tokens: n})
	}
	return a
}

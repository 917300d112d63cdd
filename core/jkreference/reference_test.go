package jkreference

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestScripts guards against a reference that breaks the design's rules for tokens,
// request ids and budgets (sections 6.1 to 6.3). A differential test would then accept
// the same fault in the core.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := New(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runCommand(t, h, d)
		})
	})
}

func runCommand(t *testing.T, h *Home, d *datadriven.TestData) string {
	t.Helper()
	var turn uint64
	var id, answer string
	var cost, budget int64
	d.MaybeScanArgs(t, "turn", &turn)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "cost", &cost)
	d.MaybeScanArgs(t, "budget", &budget)
	result := ""
	switch d.Cmd {
	case "new":
		*h = *New(budget)
	case "submit":
		outcome, recorded := h.Submit(turn, id, cost)
		result = fmt.Sprintf("%s %s\n", outcome, recorded)
	case "complete", "fail":
		outcome := Completed
		if d.Cmd == "fail" {
			outcome = Failed
		}
		if err := h.Complete(outcome, answer, cost); err != nil {
			result = err.Error() + "\n"
		}
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return result + fmt.Sprintf("turn=%d remaining=%d\n", h.Turn(), h.Remaining())
}

// TestInvariants guards against a request that runs twice, a refused request that runs
// later, a final reply that changes, and an exceeded budget.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Int64Range(0, 20).Draw(t, "budget")
		h := New(budget)
		final := map[requestKey]string{}
		started := map[requestKey]bool{}
		var spent int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "complete") {
				outcome := rapid.SampledFrom([]Outcome{Completed, Failed}).Draw(t, "outcome")
				cost := rapid.Int64Range(0, 8).Draw(t, "actual")
				if h.Complete(outcome, fmt.Sprint("answer ", h.Turn()), cost) == nil {
					spent += cost
				}
			}
			k := requestKey{rapid.Uint64Range(0, h.Turn()+1).Draw(t, "turn"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")}
			outcome, answer := h.Submit(k.turn, k.id, rapid.Int64Range(0, 8).Draw(t, "cost"))
			got := fmt.Sprint(outcome, answer)
			if was, ok := final[k]; ok && was != got {
				t.Fatalf("%v: reply %q after %q", k, got, was)
			}
			if outcome == Started && started[k] {
				t.Fatalf("%v runs twice", k)
			}
			started[k] = started[k] || outcome == Started
			if outcome != Started && outcome != Running && outcome != InvalidToken {
				final[k] = got
			}
			if spent > budget || h.Remaining() != budget-spent {
				t.Fatalf("spent %d of %d, remaining %d", spent, budget, h.Remaining())
			}
		}
	})
}

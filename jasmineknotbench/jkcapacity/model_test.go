package jkcapacity

import (
	"math"
	"os"
	"strings"
	"testing"
)

// pagePath is the document that contains the plan's table.
const pagePath = "../../docs/CAPACITY.md"

// Guards against a page whose figures don't match the slopes or the model any more.
func TestPageShowsPlan(t *testing.T) {
	p, err := NewPlan(defaultSlopes)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := p.WriteMarkdown(&table); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), table.String()) {
		t.Fatalf("%s lacks the output of `go run ./jasmineknotbench capacity`:\n%s", pagePath, table.String())
	}
}

// Guards against an error in the least-squares fit.
func TestFitLine(t *testing.T) {
	slope, start := fitLine([]float64{1, 2, 3}, []float64{5, 7, 9})
	if math.Abs(slope-2) > 1e-9 || math.Abs(start-3) > 1e-9 {
		t.Fatalf("got %f x + %f, want 2 x + 3", slope, start)
	}
}

// Guards against a slopes file that is accepted although rows are missing.
func TestNewPlanRejectsMissingRows(t *testing.T) {
	if _, err := NewPlan([]byte(`{"fleet_idle":[]}`)); err == nil {
		t.Fatal("no error for missing rows")
	}
}

package jkcapacity

import (
	"math"
	"os"
	"strings"
	"testing"
)

// page is the document that shows the plan.
const page = "../../docs/CAPACITY.md"

// Guards against a page whose figures no longer follow from the slopes.
func TestPageShowsPlan(t *testing.T) {
	p, err := Work(measured)
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := p.Write(&table); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), table.String()) {
		t.Fatalf("%s lacks the output of `go run ./jasmineknotbench capacity`:\n%s", page, table.String())
	}
}

// Guards against an error in the line through the measurements.
func TestFit(t *testing.T) {
	slope, start := fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	if math.Abs(slope-2) > 1e-9 || math.Abs(start-3) > 1e-9 {
		t.Fatalf("got %f x + %f, want 2 x + 3", slope, start)
	}
}

// Guards against slopes that are read without a word although rows are missing.
func TestWorkRefusesMissingRows(t *testing.T) {
	if _, err := Work([]byte(`{"fleet_idle":[]}`)); err == nil {
		t.Fatal("no error for missing rows")
	}
}

package jkproblem

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"

	"jasmineknot.example/core/jkprogram"
)

// Guards against not_run as the outcome of an error after which the request may have run.
func TestOutcomeOfErrors(t *testing.T) {
	for _, tc := range []struct {
		err  error
		want jkprogram.Outcome
	}{
		{&jkprogram.OldEpochError{}, jkprogram.OutcomeUnknown},
		{&jkprogram.HistoryBehindError{}, jkprogram.OutcomeUnknown},
		{errors.New("anything else"), jkprogram.OutcomeUnknown},
		{&jkprogram.ClosedError{}, jkprogram.OutcomeNotRun},
		{&jkprogram.BudgetError{}, jkprogram.OutcomeNotRun},
	} {
		if got := From(eris.Wrap(tc.err, "context")).Outcome; got != tc.want {
			t.Errorf("%T: got %s, want %s", tc.err, got, tc.want)
		}
	}
}

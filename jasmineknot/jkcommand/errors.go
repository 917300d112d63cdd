package jkcommand

import (
	"cmp"
	"errors"
	"fmt"

	"jasmineknot.example/core/jkconfigapi"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitUsage       = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitNotOwner    = 4
	ExitUnavailable = 5
	ExitUncertain   = 6
	ExitNotFound    = 7
)

// UsageError is returned for invalid arguments, flags or input files.
type UsageError struct {
	Detail string
}

func (e *UsageError) Error() string { return e.Detail }

// NoAnswerError is returned when a daemon gave no usable answer.
type NoAnswerError struct {
	Server string
	// Edit reports whether the request was an edit, which may have been applied.
	Edit  bool
	Cause error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Server, e.Cause)
}

func (e *NoAnswerError) Unwrap() error { return e.Cause }

// AdviceError adds a second line to an error, with what the operator can do.
type AdviceError struct {
	Cause  error
	Advice string
}

func (e *AdviceError) Error() string { return e.Cause.Error() + "\n" + e.Advice }

func (e *AdviceError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var p *jkconfigapi.Problem
	if errors.As(err, &p) {
		return configExitCode(p.Type)
	}
	var caller *jkproblem.Problem
	if errors.As(err, &caller) {
		return apiExitCode(caller)
	}
	var noAnswer *NoAnswerError
	if errors.As(err, &noAnswer) {
		if noAnswer.Edit {
			return ExitUncertain
		}
		return ExitUnavailable
	}
	return ExitUsage
}

func configExitCode(kind jkconfigapi.Kind) int {
	switch kind {
	case jkconfigapi.KindInvalid, jkconfigapi.KindTooLarge:
		return ExitInvalid
	case jkconfigapi.KindConflict:
		return ExitConflict
	case jkconfigapi.KindNotOwner:
		return ExitNotOwner
	case jkconfigapi.KindUnavailable:
		return ExitUnavailable
	case jkconfigapi.KindUncertain:
		return ExitUncertain
	case jkconfigapi.KindNotFound:
		return ExitNotFound
	}
	return ExitUsage
}

// apiExitCode returns the exit code for a problem of the callers' API.
func apiExitCode(p *jkproblem.Problem) int {
	switch p.Type {
	case jkproblem.TypeBadRequest:
		return ExitInvalid
	case jkproblem.TypeUnknownProgram, jkproblem.TypeUnknownModel, jkproblem.TypeUnknownService:
		return ExitNotFound
	case jkproblem.TypeStaleToken, jkproblem.TypeHistoryMismatch:
		return ExitConflict
	}
	switch p.Outcome {
	case jkprogram.OutcomeUnknown:
		return ExitUncertain
	case jkprogram.OutcomeNotRun:
		if p.RetryAfter > 0 || p.Type == jkproblem.TypeUnavailable {
			return ExitUnavailable
		}
	}
	return ExitUsage
}

// advise adds to an error of the API what the operator can do.
func (c *configCommand) advise(err error) error {
	if err == nil {
		return nil
	}
	again := fmt.Sprintf("send it again, it is applied only once: jasmineknot config edit %s --team %s --edit-id %s", cmp.Or(c.file, "-"), c.team, c.editID)
	var noAnswer *NoAnswerError
	var p *jkconfigapi.Problem
	switch {
	case errors.As(err, &noAnswer) && !noAnswer.Edit:
		return &AdviceError{Cause: err, Advice: "check --server or name another daemon"}
	case errors.As(err, &noAnswer):
		return &AdviceError{Cause: err, Advice: "the edit may have taken effect; " + again}
	case !errors.As(err, &p):
		return err
	}
	switch p.Type {
	case jkconfigapi.KindConflict:
		return &AdviceError{Cause: err, Advice: c.conflictAdvice(p)}
	case jkconfigapi.KindUncertain:
		return &AdviceError{Cause: err, Advice: again}
	case jkconfigapi.KindUnavailable:
		if c.editID == "" {
			return &AdviceError{Cause: err, Advice: "try again when the platform is back"}
		}
		return &AdviceError{Cause: err, Advice: "when the platform is back, " + again}
	case jkconfigapi.KindNotOwner:
		return &AdviceError{Cause: err, Advice: "ask the owner team for the change"}
	}
	return err
}

func (c *configCommand) conflictAdvice(p *jkconfigapi.Problem) string {
	if p.Conflict == nil {
		return "read the section again, repeat your change and send it as a new edit"
	}
	theirs, err := indentJSON(p.Conflict.Theirs)
	if err != nil {
		theirs = string(p.Conflict.Theirs)
	}
	yours, err := indentJSON(p.Conflict.Yours)
	if err != nil {
		yours = string(p.Conflict.Yours)
	}
	return fmt.Sprintf("theirs:\n%s\nyours:\n%s\nrepeat your change on a fresh copy: jasmineknot config get %s --for-edit",
		theirs, yours, p.Conflict.Section)
}

func unknownSection(name string) error {
	return &UsageError{Detail: fmt.Sprintf("section %q does not exist, the sections are %v", name, sectionNames())}
}

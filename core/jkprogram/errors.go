package jkprogram

import "fmt"

// UnknownProgramError is returned for a program that this home does not have.
type UnknownProgramError struct {
	Program string
}

func (e *UnknownProgramError) Error() string {
	return fmt.Sprintf("program %s is not known here", e.Program)
}

// StaleTokenError is returned when another request has used the token.
type StaleTokenError struct {
	Program string
	Turn    uint64
	Current uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("token of program %s at turn %d was used by another request; the program is at turn %d", e.Program, e.Turn, e.Current)
}

// HistoryMismatchError is returned when a request does not continue the
// program's history.
type HistoryMismatchError struct {
	Program string
	Turn    uint64
}

func (e *HistoryMismatchError) Error() string {
	return fmt.Sprintf("request does not continue the history of program %s at turn %d", e.Program, e.Turn)
}

// HistoryBehindError is returned when a token names turns that this home does
// not hold, which happens when a former home could not reach its copies.
type HistoryBehindError struct {
	Program string
	Turn    uint64
	Held    uint64
}

func (e *HistoryBehindError) Error() string {
	return fmt.Sprintf("token of program %s names turn %d; only %d turns are held here", e.Program, e.Turn, e.Held)
}

// ForkError is returned for a token of a former home's branch after this home has
// continued from an earlier turn.
type ForkError struct {
	Program string
	Turn    uint64
	Base    uint64
}

func (e *ForkError) Error() string {
	return fmt.Sprintf("token of program %s at turn %d belongs to a branch that ended at a takeover after turn %d", e.Program, e.Turn, e.Base)
}

// EndedError is returned for a program that has ended.
type EndedError struct {
	Program string
	Reason  EndReason
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("program %s has ended: %s", e.Program, e.Reason)
}

// BudgetError is returned when a call does not fit into the program's budget.
// All amounts are in tokens.
type BudgetError struct {
	Program string
	Budget  int64
	Spent   int64
	Needed  int64
	// GrantUnavailable is true if the budget would suffice, but the copies could
	// not record the grant.
	GrantUnavailable bool
}

func (e *BudgetError) Error() string {
	if e.GrantUnavailable {
		return fmt.Sprintf("call of program %s needs %d tokens; the history copies can't record a larger grant now", e.Program, e.Needed)
	}
	return fmt.Sprintf("call of program %s needs %d tokens; %d of %d are spent", e.Program, e.Needed, e.Spent, e.Budget)
}

// ClosedError is returned for a request that this home refused before and that
// will never run.
type ClosedError struct {
	Program   string
	RequestID string
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("request %s of program %s was refused and will not run", e.RequestID, e.Program)
}

// OldEpochError is returned for a non-repeatable call under the token of a
// former home, which may have run it.
type OldEpochError struct {
	Program   string
	RequestID string
	Epoch     uint64
	Current   uint64
}

func (e *OldEpochError) Error() string {
	return fmt.Sprintf("request %s of program %s may have run at a former home (epoch %d, now %d)", e.RequestID, e.Program, e.Epoch, e.Current)
}

// SupersededError is returned once another home has taken the program over.
type SupersededError struct {
	Program string
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("program %s has moved to another home", e.Program)
}

// TableFullError is returned when a bounded table has no room.
type TableFullError struct {
	Table string
	Limit int
}

func (e *TableFullError) Error() string {
	return fmt.Sprintf("table of %s is full: limit %d", e.Table, e.Limit)
}

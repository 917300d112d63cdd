// Package jkprogram implements the state machine of a home, the host that owns
// the state of a program. It orders the calls of a program by a chain of tokens,
// de-duplicates retries and enforces budgets and limits. Its methods take
// requests and results and return decisions and history records. The package
// does no I/O and reads no clock: its callers pass the time, store the records
// at the copies and dispatch the calls.
package jkprogram

import (
	"time"

	"jasmineknot.example/core/jktoken"
)

// Kind is the kind of a call.
type Kind string

// Kinds of calls.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "outcome_unknown"
)

// EndReason says why a program ended.
type EndReason string

// Reasons for a program's end.
const (
	EndCompleted   EndReason = "completed"
	EndCancelled   EndReason = "cancelled"
	EndIdle        EndReason = "idle"
	EndMaxDuration EndReason = "max_duration"
	EndMaxTurns    EndReason = "max_turns"
	EndParent      EndReason = "parent_ended"
)

// Limits end programs that loop or that their caller has abandoned. A field of
// zero means no limit.
type Limits struct {
	MaxTurns    uint64        `msgpack:"max_turns"`
	MaxDuration time.Duration `msgpack:"max_duration"`
	IdleLimit   time.Duration `msgpack:"idle_limit"`
}

// Meta holds the properties that a program gets when it is created.
type Meta struct {
	Workspace string    `msgpack:"workspace"`
	Template  string    `msgpack:"template"`
	Parent    string    `msgpack:"parent"`
	Budget    int64     `msgpack:"budget"`
	Priority  int       `msgpack:"priority"`
	Limits    Limits    `msgpack:"limits"`
	Created   time.Time `msgpack:"created"`
}

// Turn is one finished call in the history of a program.
type Turn struct {
	Number    uint64  `msgpack:"number"`
	RequestID string  `msgpack:"request_id"`
	Kind      Kind    `msgpack:"kind"`
	Outcome   Outcome `msgpack:"outcome"`
	// Endpoint ran the call; its prefix cache may still hold the program.
	Endpoint string `msgpack:"endpoint"`
	// Status is the HTTP status of the endpoint's response.
	Status int    `msgpack:"status"`
	Input  []byte `msgpack:"input"`
	Answer []byte `msgpack:"answer"`
	// Messages holds one digest for each chat message that the turn added.
	Messages []string `msgpack:"messages"`
	Cost     int64    `msgpack:"cost"`
	// Digest identifies the history up to and including this turn.
	Digest string `msgpack:"digest"`
}

// RecordKind is the kind of a history record.
type RecordKind string

// Kinds of history records.
const (
	RecordSnapshot RecordKind = "snapshot"
	RecordGrant    RecordKind = "grant"
	RecordIntent   RecordKind = "intent"
	RecordTurn     RecordKind = "turn"
	// RecordClosed cancels the intent of a call that was not dispatched.
	RecordClosed RecordKind = "closed"
	RecordEnd    RecordKind = "end"
)

// Intent is recorded at the copies before a non-repeatable call is dispatched, so
// that a successor knows that the call may have run.
type Intent struct {
	RequestID string `msgpack:"request_id"`
	Turn      uint64 `msgpack:"turn"`
}

// Record is one entry of a program's history as its copies store it. Records
// of one epoch have consecutive sequence numbers; a snapshot replaces all
// records before it.
type Record struct {
	Program  string              `msgpack:"program"`
	Home     jktoken.Incarnation `msgpack:"home"`
	Epoch    uint64              `msgpack:"epoch"`
	Seq      uint64              `msgpack:"seq"`
	Kind     RecordKind          `msgpack:"kind"`
	Granted  int64               `msgpack:"granted"`
	Intent   *Intent             `msgpack:"intent,omitempty"`
	Turn     *Turn               `msgpack:"turn,omitempty"`
	End      EndReason           `msgpack:"end,omitempty"`
	Snapshot *State              `msgpack:"snapshot,omitempty"`
}

// Origin is the home and epoch that issued a token.
type Origin struct {
	Home  jktoken.Incarnation `msgpack:"home"`
	Epoch uint64              `msgpack:"epoch"`
}

// State is the complete state of a program, as its copies store it and a handover
// transfers it.
type State struct {
	Program string              `msgpack:"program"`
	Home    jktoken.Incarnation `msgpack:"home"`
	Epoch   uint64              `msgpack:"epoch"`
	Seq     uint64              `msgpack:"seq"`
	Meta    Meta                `msgpack:"meta"`
	Turns   []Turn              `msgpack:"turns"`
	Granted int64               `msgpack:"granted"`
	Spent   int64               `msgpack:"spent"`
	Intent  *Intent             `msgpack:"intent,omitempty"`
	// Closed lists the ids of refused requests that must never run.
	Closed []string `msgpack:"closed,omitempty"`
	// Prior lists the homes that handed the program over in a planned handover.
	// Their tokens are accepted like those of the present home, because these
	// homes stopped before the handover.
	Prior []Origin `msgpack:"prior,omitempty"`
	// Base is the number of turns at the last takeover.
	Base   uint64    `msgpack:"base"`
	Copies []string  `msgpack:"copies"`
	End    EndReason `msgpack:"end,omitempty"`
}

// Turn returns the number of finished turns.
func (s *State) Turn() uint64 { return uint64(len(s.Turns)) }

// Digest returns the digest of the whole history.
func (s *State) Digest() string {
	if len(s.Turns) == 0 {
		return startDigest(s.Program)
	}
	return s.Turns[len(s.Turns)-1].Digest
}

// Apply adds a record to the state. It reports false for a record that does not
// follow the state; the writer then sends a snapshot.
func (s *State) Apply(r Record) bool {
	if r.Kind == RecordSnapshot {
		*s = *r.Snapshot
		s.Seq = r.Seq
		return true
	}
	if r.Seq != s.Seq+1 || r.Epoch != s.Epoch {
		return false
	}
	s.Seq = r.Seq
	s.Granted = max(s.Granted, r.Granted)
	switch r.Kind {
	case RecordIntent:
		s.Intent = r.Intent
	case RecordTurn:
		s.Turns = append(s.Turns, *r.Turn)
		s.Spent += r.Turn.Cost
		s.Intent = nil
	case RecordClosed:
		s.Intent = nil
	case RecordEnd:
		s.End = r.End
	case RecordGrant, RecordSnapshot:
	}
	return true
}

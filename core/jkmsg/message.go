// Package jkmsg defines the messages that daemons exchange: their types, fields and
// encoding. The transport is jkwire; the packages that own the state handle them.
package jkmsg

import (
	"time"

	"jasmineknot.example/core/jkmember"
	"jasmineknot.example/core/jkproblem"
	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jksched"
	"jasmineknot.example/core/jktoken"
)

// Message types.
const (
	TypeHeartbeat   = "heartbeat"
	TypeZoneDigest  = "zone_digest"
	TypeZonePull    = "zone_pull"
	TypeConfigPull  = "config_pull"
	TypeEndedNotice = "ended_notice"
	TypeCall        = "call"
	TypeCreate      = "create"
	TypeProgram     = "program"
	TypeDispatch    = "dispatch"
	TypeRelease     = "release"
	TypeReleased    = "released"
	TypeCopyAppend  = "copy_append"
	TypeCopyRead    = "copy_read"
	TypeHandover    = "handover"
)

// IsControl reports whether a message type is control traffic, as opposed to callers'
// requests and program history.
func IsControl(messageType string) bool {
	switch messageType {
	case TypeHeartbeat, TypeZoneDigest, TypeZonePull, TypeConfigPull, TypeEndedNotice:
		return true
	}
	return false
}

// Suspect identifies a request content that has crashed endpoints.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint string `msgpack:"fingerprint"`
	Crashes     int    `msgpack:"crashes"`
	// Owner is the home that may retry the request once.
	Owner jktoken.Incarnation `msgpack:"owner"`
	// Age is the time since the last crash. It is relative, so that hosts need no common
	// clock.
	Age time.Duration `msgpack:"age"`
}

// Heartbeat is sent by each host to all hosts of its zone.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation jktoken.Incarnation `msgpack:"incarnation"`
	Revision    uint64              `msgpack:"revision"`
	// Host is the sender's full description. Most heartbeats omit it; a host that does not
	// know the sender's incarnation waits for the next one that has it.
	Host     *jkmember.Host               `msgpack:"host"`
	Loads    []jksched.Load               `msgpack:"loads"`
	Suspects []Suspect                    `msgpack:"suspects"`
	Zones    map[string]jkmember.ZoneSeen `msgpack:"zones"`
}

// ZoneDigest is sent by one of the two hosts of a zone that rank first, in alternating
// rounds, to one host of each other zone.
type ZoneDigest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Zone string `msgpack:"zone"`
	// Addr is the address from which the receiver pulls the hosts of the zone if it does
	// not have this version.
	Addr     string         `msgpack:"addr"`
	Version  uint64         `msgpack:"version"`
	Revision uint64         `msgpack:"revision"`
	Loads    []jksched.Load `msgpack:"loads"`
	Suspects []Suspect      `msgpack:"suspects"`
}

// ZonePull requests a host's digest of a zone.
type ZonePull struct {
	Zone string `msgpack:"zone"`
}

// ConfigPull requests a host's configuration if it is newer than KnownRevision.
type ConfigPull struct {
	KnownRevision uint64 `msgpack:"have"`
}

// Config is the response to ConfigPull: the changes since the requested revision, or the
// whole document if those changes are no longer in memory.
type Config struct {
	Revision uint64   `msgpack:"revision"`
	Changes  [][]byte `msgpack:"changes,omitempty"`
	Document []byte   `msgpack:"document,omitempty"`
}

// EndedNotice announces that an incarnation has stopped, with the successors that took
// over its programs.
type EndedNotice struct {
	Incarnation jktoken.Incarnation   `msgpack:"incarnation"`
	Successors  []jktoken.Incarnation `msgpack:"successors"`
}

// Call is a caller's request, forwarded to the program's home.
type Call struct {
	Token     string         `msgpack:"token,omitempty"`
	Program   string         `msgpack:"program"`
	RequestID string         `msgpack:"request_id"`
	Kind      jkprogram.Kind `msgpack:"kind"`
	// Chat is the JSON body of a chat request.
	Chat []byte `msgpack:"chat,omitempty"`
	// Append is set if the chat request holds only the messages that follow the program's
	// history.
	Append bool `msgpack:"append,omitempty"`
	// Service, Method, Path, Header and Body describe a service call.
	Service string            `msgpack:"service,omitempty"`
	Method  string            `msgpack:"method,omitempty"`
	Path    string            `msgpack:"path,omitempty"`
	Header  map[string]string `msgpack:"header,omitempty"`
	Body    []byte            `msgpack:"body,omitempty"`
	// Priority overrides the program's priority if HasPriority is set.
	Priority    int       `msgpack:"priority,omitempty"`
	HasPriority bool      `msgpack:"has_priority,omitempty"`
	Deadline    time.Time `msgpack:"deadline"`
	Stream      bool      `msgpack:"stream,omitempty"`
	// Claimed is set for a service call without a program whose Idempotency-Key is claimed
	// in the platform.
	Claimed bool `msgpack:"claimed,omitempty"`
	// Hops counts how often the call has been forwarded.
	Hops int `msgpack:"hops,omitempty"`
}

// CallChunk is a piece of the text of a streamed response.
type CallChunk struct {
	Text string `msgpack:"text"`
}

// CallResult is the last message of the response to a Call.
type CallResult struct {
	Outcome jkprogram.Outcome `msgpack:"outcome"`
	Status  int               `msgpack:"status"`
	Header  map[string]string `msgpack:"header,omitempty"`
	// Body is the completion in JSON for a model call, else the service's body.
	Body    []byte `msgpack:"body,omitempty"`
	Program string `msgpack:"program,omitempty"`
	// Token is the continuation token; empty if the program can't be continued from here.
	Token   string             `msgpack:"token,omitempty"`
	Problem *jkproblem.Problem `msgpack:"problem,omitempty"`
	// Moved is the incarnation to send the call to instead.
	Moved jktoken.Incarnation `msgpack:"moved"`
	// Replayed is set if the response is the recorded one of an earlier run.
	Replayed bool `msgpack:"replayed,omitempty"`
	// Workspace and Template are the program's, for the metrics of the entry host.
	Workspace string `msgpack:"workspace,omitempty"`
	Template  string `msgpack:"template,omitempty"`
}

// Create requests a sub-program from the home of its parent.
type Create struct {
	Workspace   string `msgpack:"workspace"`
	Template    string `msgpack:"template"`
	ParentToken string `msgpack:"parent_token"`
	// Parent is the parent's id, for parent tokens that a former home issued.
	Parent    string `msgpack:"parent"`
	Budget    int64  `msgpack:"budget"`
	Priority  int    `msgpack:"priority"`
	RequestID string `msgpack:"request_id"`
	Hops      int    `msgpack:"hops,omitempty"`
}

// ProgramAction is an operation on a whole program, or on all programs of a host.
type ProgramAction string

// Actions on programs.
const (
	ActionShow   ProgramAction = "show"
	ActionResume ProgramAction = "resume"
	ActionCancel ProgramAction = "cancel"
	ActionFinish ProgramAction = "finish"
	ActionList   ProgramAction = "list"
	// ActionExpire ends a program whose home has died and which no caller has used since.
	ActionExpire ProgramAction = "expire"
)

// Program requests an action on a program from its home, or a list of programs.
type Program struct {
	Action    ProgramAction `msgpack:"action"`
	Program   string        `msgpack:"program,omitempty"`
	Workspace string        `msgpack:"workspace,omitempty"`
	Token     string        `msgpack:"token,omitempty"`
	Hops      int           `msgpack:"hops,omitempty"`
}

// ProgramResult is the response to Create and Program.
type ProgramResult struct {
	Programs []jkprogram.Info    `msgpack:"programs,omitempty"`
	Token    string              `msgpack:"token,omitempty"`
	Problem  *jkproblem.Problem  `msgpack:"problem,omitempty"`
	Moved    jktoken.Incarnation `msgpack:"moved"`
	// Turns is the history, for display.
	Turns []jkprogram.Turn `msgpack:"turns,omitempty"`
}

// Dispatch requests that an endpoint's dispatcher runs a call.
type Dispatch struct {
	Call        jksched.Call        `msgpack:"call"`
	Endpoint    string              `msgpack:"endpoint"`
	Home        jktoken.Incarnation `msgpack:"home"`
	Fingerprint string              `msgpack:"fingerprint"`
	// Crashes is how often the content has crashed endpoints, as far as the home knows.
	Crashes int `msgpack:"crashes"`
	// IdleLimit and ProgramEnd are the program's limits, zero for none: once one has
	// passed, the dispatcher drops the program's cache even if the home has died.
	IdleLimit  time.Duration     `msgpack:"idle_limit"`
	ProgramEnd time.Time         `msgpack:"ends"`
	Chat       []byte            `msgpack:"chat,omitempty"`
	Method     string            `msgpack:"method,omitempty"`
	Path       string            `msgpack:"path,omitempty"`
	Header     map[string]string `msgpack:"header,omitempty"`
	Body       []byte            `msgpack:"body,omitempty"`
}

// DispatchEvent is a message of the response to a Dispatch, before its result.
type DispatchEvent struct {
	// Text is a piece of the generated text.
	Text string `msgpack:"text,omitempty"`
	// SecondDispatch requests that the home dispatches the call a second time, to another
	// endpoint (a hedged request).
	SecondDispatch bool `msgpack:"second,omitempty"`
}

// DispatchResult is the last message of the response to a Dispatch.
type DispatchResult struct {
	Outcome jkprogram.Outcome `msgpack:"outcome"`
	Status  int               `msgpack:"status"`
	Header  map[string]string `msgpack:"header,omitempty"`
	// Body is the completion in JSON, or the service's body.
	Body       []byte         `msgpack:"body,omitempty"`
	Reason     jksched.Reason `msgpack:"reason,omitempty"`
	Detail     string         `msgpack:"detail,omitempty"`
	RetryAfter time.Duration  `msgpack:"retry_after,omitempty"`
	// Crashes is how often the content has crashed endpoints so far. It is set only if the
	// endpoint died while it ran the call.
	Crashes int `msgpack:"crashes,omitempty"`
	// Load is the endpoint's load digest after the call.
	Load *jksched.Load `msgpack:"load,omitempty"`
}

// Release requests that a dispatcher drops a program's cache at the endpoints, whether
// or not the dispatcher has a record of one there.
type Release struct {
	Program   string   `msgpack:"program"`
	Endpoints []string `msgpack:"endpoints"`
	// Moved is set if the program continues with its cache at another endpoint.
	Moved bool `msgpack:"moved,omitempty"`
}

// Released notifies a program's home that an endpoint has dropped the program's cache.
type Released struct {
	Program  string `msgpack:"program"`
	Endpoint string `msgpack:"endpoint"`
}

// CopyStatus is the result of a write to one copy of a program's history.
type CopyStatus string

// Results of a write to one copy.
const (
	CopyStored CopyStatus = "stored"
	CopyFenced CopyStatus = "fenced"
	CopyGap    CopyStatus = "gap"
	CopyFailed CopyStatus = "failed"
)

// CopyAppend appends a record to a copy.
type CopyAppend struct {
	Record jkprogram.Record `msgpack:"record"`
}

// CopyAppendResult is the response to CopyAppend.
type CopyAppendResult struct {
	Status CopyStatus `msgpack:"status"`
}

// CopyRead reads a program from a copy. With TakeOver it also raises the copy's fence to
// at least Epoch, which refuses writes of earlier epochs.
type CopyRead struct {
	Program  string              `msgpack:"program"`
	TakeOver bool                `msgpack:"take_over"`
	Reader   jktoken.Incarnation `msgpack:"reader"`
	Epoch    uint64              `msgpack:"epoch"`
}

// CopyReadResult is the response to CopyRead.
type CopyReadResult struct {
	// Held reports whether the host holds a copy of the program.
	Held bool `msgpack:"held"`
	// Host is the incarnation that responds.
	Host      jktoken.Incarnation `msgpack:"host"`
	Uncertain bool                `msgpack:"uncertain"`
	Fence     uint64              `msgpack:"fence"`
	State     jkprogram.State     `msgpack:"state"`
}

// Handover transfers a program to its next home when its home is drained.
type Handover struct {
	State jkprogram.State `msgpack:"state"`
}

// HandoverResult is the response to Handover.
type HandoverResult struct {
	Accepted bool `msgpack:"accepted"`
}

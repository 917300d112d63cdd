// Package jkmsg holds the messages that daemons exchange.
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

// IsControl reports whether a message type is control traffic, as opposed to
// callers' requests and history.
func IsControl(messageType string) bool {
	switch messageType {
	case TypeHeartbeat, TypeZoneDigest, TypeZonePull, TypeConfigPull, TypeEndedNotice:
		return true
	}
	return false
}

// Suspect is a request content that has crashed endpoints.
type Suspect struct {
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint string `msgpack:"fingerprint"`
	Crashes     int    `msgpack:"crashes"`
	// Owner is the home that may try the request once more.
	Owner jktoken.Incarnation `msgpack:"owner"`
	// Age is the time since the last crash, so that hosts need no common clock.
	Age time.Duration `msgpack:"age"`
}

// Heartbeat goes from each host to all hosts of its zone.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation jktoken.Incarnation `msgpack:"incarnation"`
	Revision    uint64              `msgpack:"revision"`
	// Host is the sender's whole description. It is left out of most beats; a
	// host that does not know the sender's incarnation waits for the next one.
	Host     *jkmember.Host               `msgpack:"host"`
	Loads    []jksched.Load               `msgpack:"loads"`
	Suspects []Suspect                    `msgpack:"suspects"`
	Zones    map[string]jkmember.ZoneSeen `msgpack:"zones"`
}

// ZoneDigest goes from the leader of a zone to one host of each other zone.
type ZoneDigest struct {
	_msgpack struct{} `msgpack:",as_array"`

	Zone string `msgpack:"zone"`
	// Addr is where the receiver pulls the hosts of the zone if it does not
	// have this version.
	Addr     string         `msgpack:"addr"`
	Version  uint64         `msgpack:"version"`
	Revision uint64         `msgpack:"revision"`
	Loads    []jksched.Load `msgpack:"loads"`
	Suspects []Suspect      `msgpack:"suspects"`
}

// ZonePull asks a host for its digest of a zone.
type ZonePull struct {
	Zone string `msgpack:"zone"`
}

// ConfigPull asks a host for its configuration if it is newer than Have.
type ConfigPull struct {
	Have uint64 `msgpack:"have"`
}

// Config is the answer to ConfigPull: the changes since the asker's revision, or
// the whole document if they are no longer in memory.
type Config struct {
	Revision uint64   `msgpack:"revision"`
	Changes  [][]byte `msgpack:"changes,omitempty"`
	Document []byte   `msgpack:"document,omitempty"`
}

// EndedNotice tells that an incarnation has stopped and who took its programs.
type EndedNotice struct {
	Incarnation jktoken.Incarnation   `msgpack:"incarnation"`
	Successors  []jktoken.Incarnation `msgpack:"successors"`
}

// Call is a caller's request on its way to the program's home.
type Call struct {
	Token     string         `msgpack:"token,omitempty"`
	Program   string         `msgpack:"program"`
	RequestID string         `msgpack:"request_id"`
	Kind      jkprogram.Kind `msgpack:"kind"`
	// Chat is the JSON body of a chat request.
	Chat []byte `msgpack:"chat,omitempty"`
	// Append tells that the chat request holds only the messages that follow
	// the program's history.
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
	// Claimed marks a service call without program whose Idempotency-Key is
	// claimed in the platform.
	Claimed bool `msgpack:"claimed,omitempty"`
	// Hops counts the forwards so far.
	Hops int `msgpack:"hops,omitempty"`
}

// CallChunk is a piece of a streamed answer's text.
type CallChunk struct {
	Text string `msgpack:"text"`
}

// CallResult is the end of a call.
type CallResult struct {
	Outcome jkprogram.Outcome `msgpack:"outcome"`
	Status  int               `msgpack:"status"`
	Header  map[string]string `msgpack:"header,omitempty"`
	// Body is the completion in JSON for a model call, else the service's body.
	Body    []byte `msgpack:"body,omitempty"`
	Program string `msgpack:"program,omitempty"`
	// Token continues the program; empty if it can't go on from here.
	Token   string             `msgpack:"token,omitempty"`
	Problem *jkproblem.Problem `msgpack:"problem,omitempty"`
	// Moved names the incarnation to ask instead.
	Moved jktoken.Incarnation `msgpack:"moved"`
	// Replayed tells that the answer was recorded before.
	Replayed bool `msgpack:"replayed,omitempty"`
	// Workspace and Template are the program's, for the entry host's figures.
	Workspace string `msgpack:"workspace,omitempty"`
	Template  string `msgpack:"template,omitempty"`
}

// Create asks a parent's home for a sub-program.
type Create struct {
	Workspace   string `msgpack:"workspace"`
	Template    string `msgpack:"template"`
	ParentToken string `msgpack:"parent_token"`
	// Parent is the parent's id, for tokens of former homes.
	Parent    string `msgpack:"parent"`
	Budget    int64  `msgpack:"budget"`
	Priority  int    `msgpack:"priority"`
	RequestID string `msgpack:"request_id"`
	Hops      int    `msgpack:"hops,omitempty"`
}

// ProgramAction is an operation on a program as a whole.
type ProgramAction string

// Actions on programs.
const (
	ActionShow   ProgramAction = "show"
	ActionResume ProgramAction = "resume"
	ActionCancel ProgramAction = "cancel"
	ActionFinish ProgramAction = "finish"
	ActionList   ProgramAction = "list"
	// ActionExpire ends a program whose home has died and that no caller has
	// used since.
	ActionExpire ProgramAction = "expire"
)

// Program asks a home for an action on a program, or for a list of programs.
type Program struct {
	Action    ProgramAction `msgpack:"action"`
	Program   string        `msgpack:"program,omitempty"`
	Workspace string        `msgpack:"workspace,omitempty"`
	Token     string        `msgpack:"token,omitempty"`
	Hops      int           `msgpack:"hops,omitempty"`
}

// ProgramResult answers Create and Program.
type ProgramResult struct {
	Programs []jkprogram.Info    `msgpack:"programs,omitempty"`
	Token    string              `msgpack:"token,omitempty"`
	Problem  *jkproblem.Problem  `msgpack:"problem,omitempty"`
	Moved    jktoken.Incarnation `msgpack:"moved"`
	// Turns is the history, for show.
	Turns []jkprogram.Turn `msgpack:"turns,omitempty"`
}

// Dispatch asks an endpoint's dispatcher to run a call.
type Dispatch struct {
	Call        jksched.Call        `msgpack:"call"`
	Endpoint    string              `msgpack:"endpoint"`
	Home        jktoken.Incarnation `msgpack:"home"`
	Fingerprint string              `msgpack:"fingerprint"`
	// Crashes is the number of crashes of the content that the home knows of.
	Crashes int `msgpack:"crashes"`
	// IdleLimit and Ends are the program's limits, zero for none: after them
	// the dispatcher drops the cache even if the home has died.
	IdleLimit time.Duration     `msgpack:"idle_limit"`
	Ends      time.Time         `msgpack:"ends"`
	Chat      []byte            `msgpack:"chat,omitempty"`
	Method    string            `msgpack:"method,omitempty"`
	Path      string            `msgpack:"path,omitempty"`
	Header    map[string]string `msgpack:"header,omitempty"`
	Body      []byte            `msgpack:"body,omitempty"`
}

// DispatchEvent is one message of a dispatch's answer before its end.
type DispatchEvent struct {
	// Text is a piece of the answer.
	Text string `msgpack:"text,omitempty"`
	// Second asks the home for a second dispatch elsewhere.
	Second bool `msgpack:"second,omitempty"`
}

// DispatchResult is the end of a dispatch.
type DispatchResult struct {
	Outcome jkprogram.Outcome `msgpack:"outcome"`
	Status  int               `msgpack:"status"`
	Header  map[string]string `msgpack:"header,omitempty"`
	// Body is the completion in JSON, or the service's body.
	Body       []byte         `msgpack:"body,omitempty"`
	Reason     jksched.Reason `msgpack:"reason,omitempty"`
	Detail     string         `msgpack:"detail,omitempty"`
	RetryAfter time.Duration  `msgpack:"retry_after,omitempty"`
	// Crashes is set if the endpoint died while it ran the call: the crashes
	// of the content so far.
	Crashes int `msgpack:"crashes,omitempty"`
	// Load is the endpoint's digest after the call.
	Load *jksched.Load `msgpack:"load,omitempty"`
}

// Release asks a dispatcher to drop a program's cache at its endpoints, whether
// or not it knows of one there.
type Release struct {
	Program   string   `msgpack:"program"`
	Endpoints []string `msgpack:"endpoints"`
	// Moved tells that the program goes on with its cache elsewhere.
	Moved bool `msgpack:"moved,omitempty"`
}

// Released tells a program's home that an endpoint has dropped its cache.
type Released struct {
	Program  string `msgpack:"program"`
	Endpoint string `msgpack:"endpoint"`
}

// CopyStatus is the result of a write to one copy.
type CopyStatus string

// Results of a write to one copy.
const (
	CopyStored CopyStatus = "stored"
	CopyFenced CopyStatus = "fenced"
	CopyGap    CopyStatus = "gap"
	CopyFailed CopyStatus = "failed"
)

// CopyAppend stores a record at a copy.
type CopyAppend struct {
	Record jkprogram.Record `msgpack:"record"`
}

// CopyAppendResult answers CopyAppend.
type CopyAppendResult struct {
	Status CopyStatus `msgpack:"status"`
}

// CopyRead reads a program at a copy. With TakeOver the copy's fence rises to
// at least Epoch.
type CopyRead struct {
	Program  string              `msgpack:"program"`
	TakeOver bool                `msgpack:"take_over"`
	Reader   jktoken.Incarnation `msgpack:"reader"`
	Epoch    uint64              `msgpack:"epoch"`
}

// CopyReadResult answers CopyRead.
type CopyReadResult struct {
	Held bool `msgpack:"held"`
	// Host is the incarnation that answers.
	Host      jktoken.Incarnation `msgpack:"host"`
	Uncertain bool                `msgpack:"uncertain"`
	Fence     uint64              `msgpack:"fence"`
	State     jkprogram.State     `msgpack:"state"`
}

// Handover passes a program to its next home at a planned stop.
type Handover struct {
	State jkprogram.State `msgpack:"state"`
}

// HandoverResult answers Handover.
type HandoverResult struct {
	Accepted bool `msgpack:"accepted"`
}

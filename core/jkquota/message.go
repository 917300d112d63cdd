// Package jkquota decides about the caps of workspaces over all hosts: an Issuer holds the token
// buckets of one storage host, and a Wallet the permits and questions of one entry. It does no
// I/O and reads no clock; package jkentry carries the messages. The design is in
// docs/design/caps.md.
package jkquota

import "time"

// TypeTake is the type of the message in which an entry asks an issuer for permits.
const TypeTake = "quota_take"

// Request asks for permits of one workspace, and returns permits that weren't used.
type Request struct {
	Workspace string `msgpack:"workspace"`
	// Version is the version of the rules that Rate and Burst are from, the cap over all hosts.
	Version int64   `msgpack:"version"`
	Rate    float64 `msgpack:"rate"`
	Burst   float64 `msgpack:"burst"`
	// Count is the number of requests that wait and aren't first turns, First that of first
	// turns, and Spare that of permits for requests that are expected.
	Count int `msgpack:"count"`
	First int `msgpack:"first"`
	Spare int `msgpack:"spare"`
	// Returned is the number of this issuer's permits that weren't used, and ReturnedStamp that
	// of the oldest of them.
	Returned      int   `msgpack:"returned,omitempty"`
	ReturnedStamp Stamp `msgpack:"returned_stamp"`
}

// Stamp is when an issuer granted a permit: the number of its step, and its start, which
// identifies it.
type Stamp struct {
	_msgpack struct{} `msgpack:",as_array"`

	Start int64  `msgpack:"start"`
	Step  uint64 `msgpack:"step"`
}

// Answer grants permits. Retry is the time after which the issuer expects to have a permit for a
// request that isn't a first turn, and RetryFirst for a first turn; both are zero if all were
// granted.
type Answer struct {
	Granted      int           `msgpack:"granted"`
	GrantedFirst int           `msgpack:"granted_first"`
	Spare        int           `msgpack:"spare"`
	Retry        time.Duration `msgpack:"retry"`
	RetryFirst   time.Duration `msgpack:"retry_first"`
	Stamp        Stamp         `msgpack:"stamp"`
}

// TypePull is the type of the message in which an issuer asks another one for what it has
// collected for workspaces with small caps.
const TypePull = "quota_pull"

// PullRequest asks for permits of workspaces for which the sender is a holder.
type PullRequest struct {
	Items []PullItem `msgpack:"items"`
}

// PullItem is one workspace of a PullRequest. Room is how much the
// sender's bucket can take from this issuer.
type PullItem struct {
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string  `msgpack:"workspace"`
	Version   int64   `msgpack:"version"`
	Rate      float64 `msgpack:"rate"`
	Burst     float64 `msgpack:"burst"`
	Room      float64 `msgpack:"room"`
}

// PullAnswer holds the parts of permits that go to the sender, in the order of its request.
type PullAnswer struct {
	Moved []float64 `msgpack:"moved"`
}

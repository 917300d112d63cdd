package jkupstream

import (
	"fmt"
	"math"
	"net"
)

// Part is a part of an answer whose size is bounded.
type Part string

// Parts of an answer.
const (
	PartHead          Part = "head"
	PartInformational Part = "informational"
	PartOtherAnswer   Part = "other_answer"
	PartBody          Part = "body"
	PartEvent         Part = "event"
	PartEvents        Part = "events"
)

// TooLongError is the cause of an exchange that was given up because a part of
// the answer exceeds its bound. An endpoint may otherwise send without end.
type TooLongError struct {
	Addr string
	Part Part
	// Limit is a number of answers for PartInformational, a number of events for
	// PartEvents, and else in bytes.
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("answer of %s is too long: %s exceeds %d", e.Addr, e.Part, e.Limit)
}

const (
	// maxHeadBytes bounds the head of an answer together with the informational
	// answers before it. The heads of callers have the same default.
	maxHeadBytes = 64 << 10
	// maxInformational is the bound of net/http's client for 1xx answers.
	maxInformational = 5
	// DefaultMaxBody bounds the body of an answer whose request names no bound.
	// The bodies of callers have the same default.
	DefaultMaxBody = 4 << 20
)

// inflow reads from a connection up to the bound of the part that is due.
type inflow struct {
	conn  net.Conn
	addr  string
	part  Part
	limit int64
	left  int64
}

func (f *inflow) expect(part Part, limit int64) { f.part, f.limit, f.left = part, limit, limit }

// expectBody leaves the bound to Response.Read, which counts the content without
// its framing.
func (f *inflow) expectBody() { f.expect(PartBody, math.MaxInt64) }

func (f *inflow) Read(b []byte) (int, error) {
	if f.left <= 0 {
		return 0, &TooLongError{Addr: f.addr, Part: f.part, Limit: f.limit}
	}
	if int64(len(b)) > f.left {
		b = b[:f.left]
	}
	n, err := f.conn.Read(b)
	f.left -= int64(n)
	return n, err
}

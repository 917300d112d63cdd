package jkupstream

import (
	"fmt"
	"math"
	"net"
)

// Part is a part of a response whose size is bounded.
type Part string

// Parts of a response. PartOtherAnswer is the body of a response to another request, and
// PartOutputs stands for the outputs of all turns that are in progress.
const (
	PartHead          Part = "head"
	PartInformational Part = "informational"
	PartOtherAnswer   Part = "other_answer"
	PartBody          Part = "body"
	PartEvent         Part = "event"
	PartEvents        Part = "events"
	PartOutputs       Part = "outputs"
)

// TooLongError is the cause of an exchange that was abandoned because a part of the
// response exceeds its bound. Without bounds an endpoint could send without end.
type TooLongError struct {
	Addr string
	Part Part
	// Limit is a number of responses for PartInformational, a number of events for
	// PartEvents, and a number of bytes otherwise.
	Limit int64
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("response of %s is too long: %s exceeds %d", e.Addr, e.Part, e.Limit)
}

const (
	// maxHeadBytes bounds the status line and header of a response together with the
	// informational responses before it. The headers of callers have the same default.
	maxHeadBytes = 64 << 10
	// maxInformational is the maximum number of 1xx responses, the same as in
	// net/http's client.
	maxInformational = 5
	// DefaultMaxBody bounds the body of a response whose request sets no bound.
	// The bodies of callers have the same default.
	DefaultMaxBody = 4 << 20
)

// boundedReader reads from a connection up to the bound of the part that is expected
// next.
type boundedReader struct {
	conn      net.Conn
	addr      string
	part      Part
	limit     int64
	remaining int64
}

// setPart sets the part that is expected next and its bound in bytes.
func (r *boundedReader) setPart(part Part, limit int64) {
	r.part, r.limit, r.remaining = part, limit, limit
}

// setBody leaves the bound to Response.Read, which counts the content without the
// chunk framing.
func (r *boundedReader) setBody() { r.setPart(PartBody, math.MaxInt64) }

func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, &TooLongError{Addr: r.addr, Part: r.part, Limit: r.limit}
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.conn.Read(b)
	r.remaining -= int64(n)
	return n, err
}

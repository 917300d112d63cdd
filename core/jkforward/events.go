package jkforward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"jasmineknot.example/core/jkupstream"
)

// event is one complete event of a stream, or a block of comments, as the endpoint
// sent it.
type event struct {
	raw []byte
	id  string
	// data is the content of the event's data lines, joined by line feeds. The first line may be
	// empty, so that hasData tells whether there was one.
	data    []byte
	hasData bool
	// hasField is false for a block of comment lines only.
	hasField bool
	// isEvent is set if the block has a field of an event.
	isEvent bool
}

// NotAnEventError is returned for a block of a stream that has fields, but none of an
// event, such as the header of another response.
type NotAnEventError struct{ Line string }

func (e *NotAnEventError) Error() string {
	return fmt.Sprintf("the stream has a block that isn't an event: %.60q", e.Line)
}

// maxEventBytes bounds one event of a stream, including the blank and comment lines
// before it. Events carry a few tokens of at most maxTokenBytes each.
const maxEventBytes = 256 << 10

// eventReader splits a stream into complete events. An endpoint may stop in the
// middle of an event; such an incomplete event is never forwarded.
type eventReader struct {
	lines *bufio.Reader
	ctx   context.Context //nolint:containedctx // A reader lives as long as one exchange.
	slot  eventSlot
	// peeked is the next event, if it was read by peek.
	peeked *event
	// tooLong returns the error for an event that exceeds the bound.
	tooLong func(part jkupstream.Part, limit int64) error
}

// eventBufferSize has room for a few events of typical size.
const eventBufferSize = 2 << 10

// newEventReader returns a reader of a response. Large events wait for one of the slots, until
// the context ends.
func newEventReader(ctx context.Context, resp *jkupstream.Response, slots chan struct{}) *eventReader {
	return &eventReader{
		lines: bufio.NewReaderSize(resp, eventBufferSize), tooLong: resp.TooLong, ctx: ctx, slot: eventSlot{slots: slots},
	}
}

// next returns the next event or block of comments, or io.EOF after the last one.
// If the stream ends with an incomplete event, it returns io.ErrUnexpectedEOF. The event before
// it isn't used any more.
func (r *eventReader) next() (event, error) {
	if e := r.peeked; e != nil {
		r.peeked = nil
		return *e, nil
	}
	r.slot.release()
	var e event
	blank := true
	for {
		line, err := r.line(&e)
		if err != nil {
			return event{}, truncationError(e.raw, err)
		}
		if len(line) > 0 {
			blank = blank && len(bytes.TrimSpace(line)) == 0
			e.parseLine(line)
			continue
		}
		if e.hasField && !e.isEvent {
			first, _, _ := bytes.Cut(bytes.TrimSpace(e.raw), []byte("\n"))
			return event{}, &NotAnEventError{Line: string(first)}
		}
		if !blank {
			return e, nil
		}
	}
}

// peek returns the next event, which next returns once more, or io.EOF. It drops the comments before it.
func (r *eventReader) peek() (event, error) {
	for commentBytes := 0; ; {
		e, err := r.next()
		if err != nil {
			return event{}, err
		}
		if e.hasField {
			r.peeked = &e
			return e, nil
		}
		if commentBytes += len(e.raw); commentBytes > maxEventBytes {
			return event{}, r.tooLong(jkupstream.PartEvent, maxEventBytes)
		}
	}
}

// close ends the use of the last event.
func (r *eventReader) close() { r.slot.release() }

// hasBuffered reports whether more of the stream has been read already.
func (r *eventReader) hasBuffered() bool { return r.lines.Buffered() > 0 }

// line appends the next line to e.raw and returns it without its line break.
func (r *eventReader) line(e *event) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := r.lines.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return nil, r.tooLong(jkupstream.PartEvent, maxEventBytes)
		}
		if len(e.raw) > smallEventBytes {
			if err := r.slot.hold(r.ctx); err != nil {
				return nil, err
			}
		}
		if err == nil {
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// truncationError returns io.ErrUnexpectedEOF in place of io.EOF if the stream ended
// within an event.
func truncationError(raw []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseLine adds the field of a line to the event.
func (e *event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	e.hasField = e.hasField || len(bytes.TrimSpace(name)) > 0
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event", "retry":
		e.isEvent = true
	case "id":
		e.isEvent = true
		e.id = string(value)
	case "data":
		e.isEvent = true
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.hasData = true
		e.data = append(e.data, value...)
	}
}

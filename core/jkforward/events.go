package jkforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"jasmineknot.example/core/jkupstream"
)

// event is one whole event of a stream as the endpoint sent it.
type event struct {
	raw []byte
	id  string
	// data is the content of the event's data lines.
	data []byte
	// hasField is false for a block of comment lines only.
	hasField bool
}

// maxEventBytes bounds one event of a stream, the blank and comment lines before
// it included. Events carry a few tokens of at most maxTokenBytes each.
const maxEventBytes = 256 << 10

// eventReader splits a stream into whole events. An endpoint may stop in the
// middle of an event; such a rest is never passed on.
type eventReader struct {
	lines *bufio.Reader
	// tooLong returns the error for an event beyond the bound.
	tooLong func(part jkupstream.Part, limit int64) error
}

// eventBuffer holds a few events of ordinary size.
const eventBuffer = 2 << 10

func newEventReader(resp *jkupstream.Response) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(resp, eventBuffer), tooLong: resp.TooLong}
}

// next returns the next event or block of comments, or io.EOF after the last one.
// A rest that is not a whole event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var e event
	blank := true
	for {
		line, err := r.line(&e)
		if err != nil {
			return event{}, unfinished(e.raw, err)
		}
		if len(line) > 0 {
			blank = blank && len(bytes.TrimSpace(line)) == 0
			e.field(line)
			continue
		}
		if !blank {
			return e, nil
		}
	}
}

// isBehind reports whether more of the stream has arrived already.
func (r *eventReader) isBehind() bool { return r.lines.Buffered() > 0 }

// line adds the next line to the event and returns it without its line break.
func (r *eventReader) line(e *event) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := r.lines.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return nil, r.tooLong(jkupstream.PartEvent, maxEventBytes)
		}
		if err == nil {
			return bytes.TrimRight(e.raw[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func unfinished(raw []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (e *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	e.hasField = e.hasField || len(bytes.TrimSpace(name)) > 0
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}

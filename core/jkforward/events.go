package jkforward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// event is one whole event of a stream as the endpoint sent it.
type event struct {
	raw []byte
	id  string
	// data is the content of the event's data lines.
	data []byte
}

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a stream into whole events. An endpoint may stop in the
// middle of an event; such a rest is never passed on.
type eventReader struct{ lines *bufio.Reader }

// eventBuffer holds a few events of ordinary size.
const eventBuffer = 2 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event, or io.EOF after the last one. A rest that is not
// a whole event gives io.ErrUnexpectedEOF.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.raw) < maxEventBytes {
			rest, err := r.lines.ReadBytes('\n')
			e.raw = append(e.raw, rest...)
			line = append(bytes.Clone(line), rest...)
			if err != nil {
				return event{}, unfinished(e.raw, err)
			}
		} else if err != nil {
			return event{}, unfinished(e.raw, err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(bytes.TrimSpace(e.raw)) == 0 {
				continue
			}
			return e, nil
		}
		e.field(line)
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

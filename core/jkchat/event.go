package jkchat

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Done is the data of the last event of a chat stream.
const Done = "[DONE]"

// ContentType is the media type of a stream of events.
const ContentType = "text/event-stream"

// ErrEventTooLarge reports an event above the reader's limit.
var ErrEventTooLarge = errors.New("server-sent event too large")

// Event is one server-sent event. Name is empty for the default type.
type Event struct {
	Name string
	ID   string
	Data []byte
}

// EventReader reads server-sent events.
type EventReader struct {
	lines *bufio.Reader
	limit int
}

// NewEventReader returns a reader that accepts events of up to limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	return &EventReader{lines: bufio.NewReader(r), limit: limit}
}

// Next returns the next event. It returns io.EOF at a clean end and
// io.ErrUnexpectedEOF if the stream ends within an event; an event counts only
// once its blank line arrived.
func (r *EventReader) Next() (Event, error) {
	var e Event
	var data [][]byte
	size, started := 0, false
	for {
		line, err := r.readLine(r.limit - size)
		if errors.Is(err, io.EOF) && (started || len(line) > 0) {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		size += len(line)
		if len(line) > 0 {
			started = started || line[0] != ':'
			data = e.addLine(line, data)
			continue
		}
		if data != nil {
			e.Data = bytes.Join(data, []byte("\n"))
			return e, nil
		}
		e, started, size = Event{}, false, 0
	}
}

// addLine applies one field line. Comments and unknown fields are ignored.
func (e *Event) addLine(line []byte, data [][]byte) [][]byte {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "event":
		e.Name = string(value)
	case "id":
		e.ID = string(value)
	case "data":
		return append(data, value)
	}
	return data
}

// readLine returns a copy of the next line without its line ending.
func (r *EventReader) readLine(limit int) ([]byte, error) {
	var out []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(out)+len(part) > limit+2 { // the line ending does not count
			return nil, ErrEventTooLarge
		}
		out = append(out, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return out, err
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(out, []byte("\n")), []byte("\r")), nil
	}
}

// EventWriter writes server-sent events, flushing after each one.
type EventWriter struct {
	w     io.Writer
	flush func() error
}

// NewEventWriter returns a writer. Flush may be nil; a handler passes the
// Flush of its http.ResponseController.
func NewEventWriter(w io.Writer, flush func() error) *EventWriter {
	return &EventWriter{w: w, flush: flush}
}

// Write sends one event.
func (w *EventWriter) Write(e Event) error {
	if strings.ContainsAny(e.Name, "\r\n") || strings.ContainsAny(e.ID, "\r\n") {
		return fmt.Errorf("event name %q or id %q contains a line break", e.Name, e.ID)
	}
	if bytes.IndexByte(e.Data, '\r') >= 0 {
		return errors.New("event data contains a carriage return, which ends a line")
	}
	var b bytes.Buffer
	if e.Name != "" {
		b.WriteString("event: " + e.Name + "\n")
	}
	if e.ID != "" {
		b.WriteString("id: " + e.ID + "\n")
	}
	for _, line := range bytes.Split(e.Data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	if _, err := w.w.Write(b.Bytes()); err != nil {
		return err
	}
	if w.flush == nil {
		return nil
	}
	return w.flush()
}

package jkcopy

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jkrecord"
	"jasmineknot.example/core/jktoken"
)

// maxEntryBytes bounds one entry; a larger length field means that the log is damaged.
const maxEntryBytes = 64 << 20

// entry is one entry of the log: a record, a raised fence, or the deletion of the
// program that Forget names.
type entry struct {
	Record *jkprogram.Record `msgpack:"record,omitempty"`
	Fence  *fence            `msgpack:"fence,omitempty"`
	Forget string            `msgpack:"forget,omitempty"`
}

// fence is the lowest epoch that may append to a program, with the incarnation that
// owns it.
type fence struct {
	Program string              `msgpack:"program"`
	Epoch   uint64              `msgpack:"epoch"`
	Owner   jktoken.Incarnation `msgpack:"owner"`
}

// location is the position of an entry in the log; offset and size are in bytes.
type location struct {
	segment int
	offset  int64
	size    int
}

// segment is one file of the log.
type segment struct {
	number int
	file   *os.File
	size   int64
	// liveEntries counts the entries that the index still refers to.
	liveEntries int
}

func segmentPath(folder string, number int) string {
	return filepath.Join(folder, strconv.Itoa(number)+".log")
}

func segmentNumbers(folder string) ([]int, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrap(err, "list log segments")
	}
	var numbers []int
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), ".log")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(name); err == nil {
			numbers = append(numbers, n)
		}
	}
	sort.Ints(numbers)
	return numbers, nil
}

// openSegment opens the file of a segment, or creates it, without reading it.
func openSegment(folder string, number int) (*segment, error) {
	file, err := os.OpenFile(segmentPath(folder, number), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log segment")
	}
	return &segment{number: number, file: file}, nil
}

// load calls apply for each valid entry. The segment is truncated at the first damaged
// entry; damaged reports whether that happened.
func (s *segment) load(apply func(e entry, l location)) (damaged bool, err error) {
	reader := bufio.NewReaderSize(s.file, 256<<10)
	for {
		e, size, err := readEntry(reader)
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return true, eris.Wrap(s.file.Truncate(s.size), "truncate damaged log segment")
		}
		apply(e, location{segment: s.number, offset: s.size, size: size})
		s.size += int64(size)
	}
}

// readEntry returns the next entry and its size in the log. It returns io.EOF only
// after a complete entry.
func readEntry(r *bufio.Reader) (entry, int, error) {
	data, err := jkrecord.Read(r, maxEntryBytes)
	if err != nil {
		return entry{}, 0, err
	}
	var e entry
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return entry{}, 0, jkrecord.ErrDamaged
	}
	return e, jkrecord.HeaderSize + len(data), nil
}

// append writes an entry at the end of the segment.
func (s *segment) append(e entry) (location, error) {
	data, err := msgpack.Marshal(&e)
	if err != nil {
		return location{}, eris.Wrap(err, "encode log entry")
	}
	buf := jkrecord.Append(make([]byte, 0, jkrecord.HeaderSize+len(data)), data)
	if _, err := s.file.WriteAt(buf, s.size); err != nil {
		// A partial entry stays beyond the recorded size, so the next one
		// overwrites it.
		return location{}, eris.Wrap(err, "write log entry")
	}
	l := location{segment: s.number, offset: s.size, size: len(buf)}
	s.size += int64(len(buf))
	return l, nil
}

// read returns the entry at a location.
func (s *segment) read(l location) (entry, error) {
	r := bufio.NewReader(io.NewSectionReader(s.file, l.offset, int64(l.size)))
	e, _, err := readEntry(r)
	return e, eris.Wrapf(err, "read log segment %d at offset %d", l.segment, l.offset)
}

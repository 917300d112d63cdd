package jkcopy

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkprogram"
	"jasmineknot.example/core/jktoken"
)

// headerSize is the length of an entry's header: four bytes of length and
// eight bytes of xxhash64 over the content.
const headerSize = 12

// maxEntry bounds one entry in bytes; a longer length field is damage.
const maxEntry = 64 << 20

// entry is one line of the log: either a record or a raised fence.
type entry struct {
	Record *jkprogram.Record `msgpack:"record,omitempty"`
	Fence  *fence            `msgpack:"fence,omitempty"`
	Forget string            `msgpack:"forget,omitempty"`
}

// fence is the lowest epoch that may append to a program, and its owner.
type fence struct {
	Program string              `msgpack:"program"`
	Epoch   uint64              `msgpack:"epoch"`
	Owner   jktoken.Incarnation `msgpack:"owner"`
}

// location is the place of an entry in the log. Offset and size are in bytes.
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
	// live counts the entries that the index still refers to.
	live int
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

// openSegment opens or creates the file of a segment without reading it.
func openSegment(folder string, number int) (*segment, error) {
	file, err := os.OpenFile(segmentPath(folder, number), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open log segment")
	}
	return &segment{number: number, file: file}, nil
}

// load hands each good entry to apply. Everything after the first damaged
// entry is cut off; damaged tells whether that happened.
func (s *segment) load(apply func(e entry, l location)) (damaged bool, err error) {
	reader := bufio.NewReaderSize(s.file, 256<<10)
	for {
		e, size, err := readEntry(reader)
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return true, eris.Wrap(s.file.Truncate(s.size), "cut off damaged log")
		}
		apply(e, location{segment: s.number, offset: s.size, size: size})
		s.size += int64(size)
	}
}

// errDamaged marks an entry that is cut short or fails its checksum.
var errDamaged = errors.New("log entry is damaged")

// readEntry returns io.EOF only at the end of a whole entry.
func readEntry(r *bufio.Reader) (entry, int, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return entry{}, 0, io.EOF
		}
		return entry{}, 0, errDamaged
	}
	size := binary.BigEndian.Uint32(head[:4])
	if size > maxEntry {
		return entry{}, 0, errDamaged
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return entry{}, 0, errDamaged
	}
	if xxhash.Sum64(data) != binary.BigEndian.Uint64(head[4:]) {
		return entry{}, 0, errDamaged
	}
	var e entry
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return entry{}, 0, errDamaged
	}
	return e, headerSize + int(size), nil
}

// append writes one entry at the end of the segment.
func (s *segment) append(e entry) (location, error) {
	data, err := msgpack.Marshal(&e)
	if err != nil {
		return location{}, eris.Wrap(err, "encode log entry")
	}
	buf := make([]byte, headerSize, headerSize+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	binary.BigEndian.PutUint64(buf[4:], xxhash.Sum64(data))
	buf = append(buf, data...)
	if _, err := s.file.WriteAt(buf, s.size); err != nil {
		// A partial entry stays beyond the size and is overwritten by the
		// next one.
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
	return e, eris.Wrapf(err, "read log segment %d at %d", l.segment, l.offset)
}

package jkledger

import (
	"bufio"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"jasmineknot.example/core/jkrecord"
)

// maxRecord bounds one record in bytes; a longer length field is damage.
const maxRecord = 16 << 20

// segmentSize is the size in bytes at which a new file is begun.
const segmentSize = 16 << 20

// Log is the file form of a ledger: checksummed records in numbered segments
// under one folder. A record that a power loss has torn ends its segment.
type Log struct {
	folder string
	file   *os.File
	number int
	size   int64
	buffer []byte
	// written is the last time found by OpenLog, and stamped the last one appended.
	written time.Time
	stamped time.Time
}

// Written returns when the log was last in use before it was opened, to a second, or
// the zero time for an empty log. The host's clock may have been set since.
func (l *Log) Written() time.Time { return l.written }

// stampEvery is the time between two times in the log.
const stampEvery = time.Second

// Stamp appends the time, unless that was done within the last second.
func (l *Log) Stamp(now time.Time) error {
	if now.Sub(l.stamped) < stampEvery && !now.Before(l.stamped) {
		return nil
	}
	l.stamped = now
	return l.Append(Record{Time: now.UnixMilli()})
}

// OpenLog reads all segments, hands each record to apply and begins a new
// segment.
func OpenLog(folder string, apply func(Record)) (*Log, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create ledger folder")
	}
	numbers, err := segments(folder)
	if err != nil {
		return nil, err
	}
	l := &Log{folder: folder}
	for _, n := range numbers {
		if err := readSegment(l.path(n), l.take(apply)); err != nil {
			return nil, err
		}
		l.number = n
	}
	return l, l.roll()
}

// take passes records on and keeps the times.
func (l *Log) take(apply func(Record)) func(Record) {
	return func(r Record) {
		if r.Time != 0 {
			l.written = time.UnixMilli(r.Time)
			return
		}
		apply(r)
	}
}

func segments(folder string) ([]int, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrap(err, "list ledger segments")
	}
	var out []int
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), ".ledger")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(name); err == nil {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out, nil
}

func (l *Log) path(n int) string {
	return filepath.Join(l.folder, strconv.Itoa(n)+".ledger")
}

func readSegment(path string, apply func(Record)) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open ledger segment")
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, 256<<10)
	for {
		r, err := readRecord(reader)
		if err != nil {
			// The rest was never acknowledged.
			return nil
		}
		apply(r)
	}
}

func readRecord(r io.Reader) (Record, error) {
	data, err := jkrecord.Read(r, maxRecord)
	if err != nil {
		return Record{}, err
	}
	var out Record
	if err := msgpack.Unmarshal(data, &out); err != nil {
		return Record{}, jkrecord.ErrDamaged
	}
	return out, nil
}

// Append adds a record to the buffer that the next Flush writes.
func (l *Log) Append(r Record) error {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return eris.Wrap(err, "encode ledger record")
	}
	l.buffer = jkrecord.Append(l.buffer, data)
	return nil
}

// Take returns the buffered bytes, to be written by Write.
func (l *Log) Take() []byte {
	out := l.buffer
	l.buffer = nil
	return out
}

// Write writes and syncs bytes returned by Take.
func (l *Log) Write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := l.file.Write(data); err != nil {
		return eris.Wrap(err, "write ledger")
	}
	l.size += int64(len(data))
	return eris.Wrap(l.file.Sync(), "sync ledger")
}

// IsFull reports whether the segment has reached its size.
func (l *Log) IsFull() bool { return l.size >= segmentSize }

func (l *Log) roll() error {
	file, err := os.OpenFile(l.path(l.number+1), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "create ledger segment")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.number, l.size = file, l.number+1, 0
	return l.syncFolder()
}

func (l *Log) syncFolder() error {
	folder, err := os.Open(l.folder)
	if err != nil {
		return eris.Wrap(err, "open ledger folder")
	}
	defer folder.Close()
	return eris.Wrap(folder.Sync(), "sync ledger folder")
}

// Compact begins a new segment with the given records and removes the older
// ones once they are on disk.
func (l *Log) Compact(records []Record) error {
	last := l.number
	if err := l.roll(); err != nil {
		return err
	}
	for _, r := range records {
		if err := l.Append(r); err != nil {
			return err
		}
	}
	if err := l.Write(l.Take()); err != nil {
		return err
	}
	numbers, err := segments(l.folder)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n > last {
			continue
		}
		if err := os.Remove(l.path(n)); err != nil {
			return eris.Wrap(err, "remove ledger segment")
		}
	}
	return l.syncFolder()
}

// Mark writes an empty file into the folder that outlives a power loss.
func (l *Log) Mark(name string) error {
	file, err := os.OpenFile(filepath.Join(l.folder, name), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "create marker")
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return eris.Wrap(err, "sync marker")
	}
	return l.syncFolder()
}

// Close closes the file.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close ledger") }

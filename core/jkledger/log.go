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

// maxRecordBytes bounds one record. A larger length field means that the log is damaged.
const maxRecordBytes = 16 << 20

// maxSegmentBytes is the size from which IsFull reports a segment as full.
const maxSegmentBytes = 16 << 20

// Log is the write-ahead log of a ledger: checksummed records in numbered segment files
// of one folder. A segment is read up to the first damaged record, such as one that a
// power loss has cut short.
type Log struct {
	folder string
	// file is the segment that is written to, segment its number and size its bytes.
	file    *os.File
	segment int
	size    int64
	// readBytes is the size of the segments that OpenLog read.
	readBytes int64
	// buffer holds the encoded records that TakeBuffer hasn't returned yet.
	buffer []byte
	// lastUsed is the last timestamp read by OpenLog, lastStamp the last one appended.
	lastUsed  time.Time
	lastStamp time.Time
}

// LastUsed returns the time of the last use of the log before it was opened, with a
// resolution of one second, or the zero time for an empty log. It is the host's clock at
// that time, which may have been set since.
func (l *Log) LastUsed() time.Time { return l.lastUsed }

// ReadBytes returns the size of the log when it was opened.
func (l *Log) ReadBytes() int64 { return l.readBytes }

// stampInterval is the time between two timestamps in the log.
const stampInterval = time.Second

// Stamp appends a timestamp, unless one was appended within the last second.
func (l *Log) Stamp(now time.Time) error {
	if now.Sub(l.lastStamp) < stampInterval && !now.Before(l.lastStamp) {
		return nil
	}
	l.lastStamp = now
	return l.Append(Record{Time: now.UnixMilli()})
}

// OpenLog opens the log in a folder, which it creates if needed. It syncs all segments, calls
// apply for each of their records, in the order of their numbers, and begins a new segment.
func OpenLog(folder string, apply func(Record)) (*Log, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create ledger folder")
	}
	numbers, err := listSegments(folder)
	if err != nil {
		return nil, err
	}
	l := &Log{folder: folder}
	for _, n := range numbers {
		size, err := readSegment(l.segmentPath(n), l.replayTo(apply))
		if err != nil {
			return nil, err
		}
		l.readBytes += size
		l.segment = n
	}
	return l, l.roll()
}

// replayTo returns a function that passes records to apply, with the time of the last timestamp
// before, and saves timestamps in lastUsed.
func (l *Log) replayTo(apply func(Record)) func(Record) {
	return func(r Record) {
		if r.Time != 0 {
			l.lastUsed = time.UnixMilli(r.Time)
			return
		}
		if !l.lastUsed.IsZero() {
			r.Time = l.lastUsed.UnixMilli()
		}
		apply(r)
	}
}

// listSegments returns the numbers of the segment files in a folder, in ascending order.
func listSegments(folder string) ([]int, error) {
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

func (l *Log) segmentPath(n int) string {
	return filepath.Join(l.folder, strconv.Itoa(n)+".ledger")
}

// readSegment syncs a segment, calls apply for each of its records and returns the size of its
// file. A process that was killed may have left bytes that can be read and that a power loss still
// takes away, while the copy vouches for what it has read.
func readSegment(path string, apply func(Record)) (size int64, err error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, eris.Wrap(err, "open ledger segment")
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return 0, eris.Wrap(err, "sync ledger segment")
	}
	info, err := file.Stat()
	if err != nil {
		return 0, eris.Wrap(err, "read size of ledger segment")
	}
	reader := bufio.NewReaderSize(file, 256<<10)
	for {
		r, err := readRecord(reader)
		if err != nil {
			// What follows was never acknowledged.
			return info.Size(), nil
		}
		apply(r)
	}
}

func readRecord(r io.Reader) (Record, error) {
	data, err := jkrecord.Read(r, maxRecordBytes)
	if err != nil {
		return Record{}, err
	}
	var out Record
	if err := msgpack.Unmarshal(data, &out); err != nil {
		return Record{}, jkrecord.ErrDamaged
	}
	return out, nil
}

// Append encodes a record into the buffer that TakeBuffer returns.
func (l *Log) Append(r Record) error {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return eris.Wrap(err, "encode ledger record")
	}
	l.buffer = jkrecord.Append(l.buffer, data)
	return nil
}

// AppendAll encodes records into the buffer that TakeBuffer returns.
func (l *Log) AppendAll(records []Record) error {
	for _, r := range records {
		if err := l.Append(r); err != nil {
			return err
		}
	}
	return nil
}

// TakeBuffer returns the buffered bytes, which the caller passes to Write, and empties
// the buffer.
func (l *Log) TakeBuffer() []byte {
	out := l.buffer
	l.buffer = nil
	return out
}

// Write appends bytes returned by TakeBuffer to the segment and syncs it.
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

// writeBuffer writes the buffered bytes and keeps the buffer for the next ones.
func (l *Log) writeBuffer() error {
	if err := l.Write(l.buffer); err != nil {
		return err
	}
	l.buffer = l.buffer[:0]
	return nil
}

// IsFull reports whether the segment has reached maxSegmentBytes.
func (l *Log) IsFull() bool { return l.size >= maxSegmentBytes }

// roll closes the current segment and begins the next one.
func (l *Log) roll() error {
	file, err := os.OpenFile(l.segmentPath(l.segment+1), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "create ledger segment")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.segment, l.size = file, l.segment+1, 0
	return l.syncFolder()
}

// syncFolder syncs the folder, so that created and removed files survive a power loss.
func (l *Log) syncFolder() error {
	folder, err := os.Open(l.folder)
	if err != nil {
		return eris.Wrap(err, "open ledger folder")
	}
	defer folder.Close()
	return eris.Wrap(folder.Sync(), "sync ledger folder")
}

// compactPieceBytes is the size of the pieces in which Compact encodes and writes.
const compactPieceBytes = 4 << 20

// Compact writes the given records to a new segment and, once they are on disk, removes
// all older segments.
func (l *Log) Compact(records []Record) error {
	lastOld := l.segment
	if err := l.roll(); err != nil {
		return err
	}
	for _, r := range records {
		if err := l.Append(r); err != nil {
			return err
		}
		if len(l.buffer) < compactPieceBytes {
			continue
		}
		if err := l.writeBuffer(); err != nil {
			return err
		}
	}
	if err := l.writeBuffer(); err != nil {
		return err
	}
	numbers, err := listSegments(l.folder)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n > lastOld {
			continue
		}
		if err := os.Remove(l.segmentPath(n)); err != nil {
			return eris.Wrap(err, "remove ledger segment")
		}
	}
	return l.syncFolder()
}

// WriteMarker creates an empty file in the folder and syncs both, so that the file
// survives a power loss.
func (l *Log) WriteMarker(name string) error {
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

// WriteFile replaces a file in the folder, so that a power loss leaves the former content or the new one.
func (l *Log) WriteFile(name string, data []byte) error {
	path := filepath.Join(l.folder, name)
	file, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", name)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return eris.Wrapf(err, "replace %s", name)
	}
	return l.syncFolder()
}

// ReadFile returns the content of a file in the folder, which is empty if it can't be read.
func (l *Log) ReadFile(name string) []byte {
	data, err := os.ReadFile(filepath.Join(l.folder, name))
	if err != nil {
		return nil
	}
	return data
}

// Close closes the segment without writing what is buffered.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close ledger") }
